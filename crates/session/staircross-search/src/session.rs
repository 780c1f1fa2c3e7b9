//! Sessions: what a caller has seen and which tickets it used.
//!
//! Invariants: a floor only rises; a ticket leaves `Unused` before anything of its request is
//! sent; a request refused as never run gives its ticket back.

use crate::message::Outcome;
use hashbrown::HashMap;
use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, Executed, ServiceName, SessionToken, Snapshot, Ticket};
use std::collections::BTreeMap;
use std::time::Duration;

/// A session unused for so long may be dropped, but only when a full table needs the room.
const ABANDONED_AFTER: Duration = Duration::from_secs(3600);
/// Tickets remembered per session; the oldest used ones are forgotten first.
const MAX_TICKETS: usize = 256;

/// Life of one ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TicketState {
    /// Minted, not used.
    Unused,
    /// Its request is in flight.
    Running,
    /// Its request ended like this.
    Ended(Box<Outcome>),
}

/// One session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionState {
    /// Newest snapshot seen, per service.
    pub floors: BTreeMap<ServiceName, Snapshot>,
    /// Tickets by serial, in minting order.
    tickets: Vec<(Ticket, TicketState)>,
}

/// Why a ticket can't be used.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketRefusal {
    /// Minted by another node or another run of this node: whether it was used is not known.
    Foreign,
    /// Not a ticket of this session.
    Unknown,
    /// Its request is in flight.
    Running,
    /// Its request has ended; this was the outcome.
    Ended(Box<Outcome>),
}

impl SessionState {
    /// Raises the floor for a service.
    pub fn raise_floor(&mut self, service: &ServiceName, seen: Snapshot) {
        let floor = self.floors.entry(service.clone()).or_insert(seen);
        *floor = (*floor).max(seen);
    }

    /// Adds a fresh ticket.
    pub fn add_ticket(&mut self, ticket: Ticket) {
        if self.tickets.len() >= MAX_TICKETS {
            let oldest_idle = self.tickets.iter().position(|(_, state)| *state != TicketState::Running);
            if let Some(index) = oldest_idle {
                self.tickets.remove(index);
            }
        }
        self.tickets.push((ticket, TicketState::Unused));
    }

    /// Marks a ticket as running, or says why it can't be.
    pub fn use_ticket(&mut self, ticket: Ticket, holder: staircross_types::NodeId) -> Result<(), TicketRefusal> {
        let entry = self.tickets.iter_mut().find(|(known, _)| *known == ticket);
        match entry {
            Some((_, TicketState::Ended(outcome))) => Err(TicketRefusal::Ended(outcome.clone())),
            Some((_, TicketState::Running)) => Err(TicketRefusal::Running),
            _ if ticket.node != holder => Err(TicketRefusal::Foreign),
            Some((_, state)) => {
                *state = TicketState::Running;
                Ok(())
            }
            None => Err(TicketRefusal::Unknown),
        }
    }

    /// Records how a ticket's request ended. A known outcome is never overwritten by another.
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

/// A session in the table.
struct HeldSession {
    state: SessionState,
    /// Last use, on this node's boot clock. No part of the state: a use that shows nothing new needs no copy.
    last_used: BootTime,
}

/// All sessions that a node holds.
pub struct SessionTable {
    sessions: HashMap<SessionToken, HeldSession>,
    capacity: usize,
}

impl SessionTable {
    /// A table of at most `capacity` sessions.
    pub fn new(capacity: usize) -> Self {
        SessionTable { sessions: HashMap::new(), capacity }
    }

    /// Opens a session; `false` when the table is full of sessions in use.
    pub fn open(&mut self, now: BootTime, token: SessionToken) -> bool {
        if !self.make_room(now) {
            return false;
        }
        let state = SessionState { floors: BTreeMap::new(), tickets: Vec::new() };
        self.sessions.insert(token, HeldSession { state, last_used: now });
        true
    }

    /// Whether there is room for one more, after dropping the longest idle session if it is abandoned.
    fn make_room(&mut self, now: BootTime) -> bool {
        if self.sessions.len() < self.capacity {
            return true;
        }
        let oldest = self.sessions.iter().min_by_key(|(token, session)| (session.last_used, **token));
        let abandoned = oldest.filter(|(_, session)| now.since(session.last_used) >= ABANDONED_AFTER);
        let Some(token) = abandoned.map(|(token, _)| *token) else {
            return false;
        };
        self.sessions.remove(&token);
        true
    }

    /// Takes over a session from a replica; `false` when the table is full of sessions in use.
    pub fn adopt(&mut self, now: BootTime, token: SessionToken, state: SessionState) -> bool {
        if !self.make_room(now) {
            return false;
        }
        self.sessions.entry(token).or_insert(HeldSession { state, last_used: now });
        true
    }

    /// Closes a session; `false` when there is none.
    pub fn close(&mut self, token: SessionToken) -> bool {
        self.sessions.remove(&token).is_some()
    }

    /// The session with this token, noting its use.
    pub fn touch(&mut self, now: BootTime, token: SessionToken) -> Option<&mut SessionState> {
        let session = self.sessions.get_mut(&token)?;
        session.last_used = now;
        Some(&mut session.state)
    }

    /// The session with this token.
    pub fn get(&self, token: SessionToken) -> Option<&SessionState> {
        self.sessions.get(&token).map(|session| &session.state)
    }

    /// Number of sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there is no session.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// All tokens.
    pub fn tokens(&self) -> impl Iterator<Item = SessionToken> + '_ {
        self.sessions.keys().copied()
    }
}
