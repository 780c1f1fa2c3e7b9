//! Sessions: the snapshots that a caller has seen and the tickets for its actions.
//!
//! Invariants: a floor (the newest snapshot seen of a service) never falls; a ticket is marked as running before any
//! part of its request is sent; the refusal of a request that was never executed makes its ticket unused again.

use crate::message::Outcome;
use hashbrown::HashMap;
use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, Executed, ServiceName, SessionToken, Snapshot, Ticket};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after its last use at which a session may be dropped. It is dropped only when the table is full.
const MIN_IDLE_BEFORE_DROP: Duration = Duration::from_secs(3600);
/// Number of tickets of a session from which on a new one replaces the oldest ticket whose request isn't running.
const MAX_TICKETS_PER_SESSION: usize = 256;

/// State of one ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TicketState {
    /// The ticket was minted and has not been used.
    Unused,
    /// The ticket's request is in flight.
    Running,
    /// The ticket's request ended with this outcome.
    Ended(Box<Outcome>),
}

/// State of one session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionState {
    /// Newest snapshot that the session has seen of each service.
    pub floors: BTreeMap<ServiceName, Snapshot>,
    /// Tickets with their states, in the order in which they were minted.
    tickets: Vec<(Ticket, TicketState)>,
}

/// Why a ticket can't be used for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketRefusal {
    /// The ticket was minted by another node or an earlier incarnation of this one, so that this node doesn't know
    /// whether it was used.
    MintedElsewhere,
    /// The session has no such ticket.
    Unknown,
    /// The ticket's request is in flight.
    Running,
    /// The ticket's request has ended with this outcome.
    Ended(Box<Outcome>),
}

impl SessionState {
    /// Raises the floor of a service to `seen`, unless it is higher already.
    pub fn raise_floor(&mut self, service: &ServiceName, seen: Snapshot) {
        let floor = self.floors.entry(service.clone()).or_insert(seen);
        *floor = (*floor).max(seen);
    }

    /// Adds a newly minted ticket, and drops an old one if there are too many.
    pub fn add_ticket(&mut self, ticket: Ticket) {
        if self.tickets.len() >= MAX_TICKETS_PER_SESSION {
            let oldest_not_running = self.tickets.iter().position(|(_, state)| *state != TicketState::Running);
            if let Some(index) = oldest_not_running {
                self.tickets.remove(index);
            }
        }
        self.tickets.push((ticket, TicketState::Unused));
    }

    /// Marks a ticket as running, or returns why it can't be used.
    pub fn use_ticket(&mut self, ticket: Ticket, this_node: staircross_types::NodeId) -> Result<(), TicketRefusal> {
        let entry = self.tickets.iter_mut().find(|(known, _)| *known == ticket);
        match entry {
            Some((_, TicketState::Ended(outcome))) => Err(TicketRefusal::Ended(outcome.clone())),
            Some((_, TicketState::Running)) => Err(TicketRefusal::Running),
            _ if ticket.node != this_node => Err(TicketRefusal::MintedElsewhere),
            Some((_, state)) => {
                *state = TicketState::Running;
                Ok(())
            }
            None => Err(TicketRefusal::Unknown),
        }
    }

    /// Records how a ticket's request ended, in place of what was recorded before. The refusal of a request that was
    /// never executed makes the ticket unused again.
    pub fn end_ticket(&mut self, ticket: Ticket, outcome: &Outcome) {
        let Some((_, state)) = self.tickets.iter_mut().find(|(known, _)| *known == ticket) else {
            return;
        };
        *state = match outcome {
            Outcome::Refusal(refusal) if refusal.kind.executed() == Executed::Never => TicketState::Unused,
            _ => TicketState::Ended(Box::new(outcome.clone())),
        };
    }
}

/// A session of the table, with the time of its last use.
struct SessionEntry {
    state: SessionState,
    /// Time of the last use, on this node's boot clock. It isn't part of [`SessionState`], because a changed state is
    /// copied to other nodes, and a use that shows the session no new snapshot must not cause that.
    last_used: BootTime,
}

/// All sessions that a node holds.
pub struct SessionTable {
    sessions: HashMap<SessionToken, SessionEntry>,
    capacity: usize,
}

impl SessionTable {
    /// Creates a table of at most `capacity` sessions.
    pub fn new(capacity: usize) -> Self {
        SessionTable { sessions: HashMap::new(), capacity }
    }

    /// Opens a session. Returns `false` when the table is full and no session may be dropped.
    pub fn open(&mut self, now: BootTime, token: SessionToken) -> bool {
        if !self.make_room(now) {
            return false;
        }
        let state = SessionState { floors: BTreeMap::new(), tickets: Vec::new() };
        self.sessions.insert(token, SessionEntry { state, last_used: now });
        true
    }

    /// Returns whether there is room for one more session. If the table is full, drops the session that has been idle
    /// longest, provided that it has been idle long enough.
    fn make_room(&mut self, now: BootTime) -> bool {
        if self.sessions.len() < self.capacity {
            return true;
        }
        let oldest = self.sessions.iter().min_by_key(|(token, session)| (session.last_used, **token));
        let droppable = oldest.filter(|(_, session)| now.since(session.last_used) >= MIN_IDLE_BEFORE_DROP);
        let Some(token) = droppable.map(|(token, _)| *token) else {
            return false;
        };
        self.sessions.remove(&token);
        true
    }

    /// Adds a session whose state comes from a copy at another node; a session that is held already is kept. Returns
    /// `false` when the table is full and no session may be dropped.
    pub fn adopt(&mut self, now: BootTime, token: SessionToken, state: SessionState) -> bool {
        if !self.make_room(now) {
            return false;
        }
        self.sessions.entry(token).or_insert(SessionEntry { state, last_used: now });
        true
    }

    /// Closes a session. Returns `false` when the table doesn't hold it.
    pub fn close(&mut self, token: SessionToken) -> bool {
        self.sessions.remove(&token).is_some()
    }

    /// Returns the session with this token and records the use.
    pub fn touch(&mut self, now: BootTime, token: SessionToken) -> Option<&mut SessionState> {
        let session = self.sessions.get_mut(&token)?;
        session.last_used = now;
        Some(&mut session.state)
    }

    /// Returns the session with this token without recording a use.
    pub fn get(&self, token: SessionToken) -> Option<&SessionState> {
        self.sessions.get(&token).map(|session| &session.state)
    }

    /// Returns the number of sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns whether there is no session.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Returns the tokens of all sessions.
    pub fn tokens(&self) -> impl Iterator<Item = SessionToken> + '_ {
        self.sessions.keys().copied()
    }
}
