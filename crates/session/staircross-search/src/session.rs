//! Sessions: the snapshots that a caller has seen and the tickets for its actions.
//!
//! Invariants: a floor (the newest snapshot seen of a service) never falls; a ticket is marked as running before any
//! part of its request is sent; the refusal of a request that was never executed makes its ticket unused again; a node
//! that takes back a session which it gave away still knows which of its tickets it has used.

use crate::message::Outcome;
use hashbrown::HashMap;
use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, Executed, NodeId, ServiceName, SessionToken, Snapshot, Ticket};
use std::collections::{BTreeMap, VecDeque};
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

impl TicketState {
    /// Returns the state of a ticket whose request has ended with this outcome.
    fn after(outcome: &Outcome) -> TicketState {
        match outcome {
            Outcome::Refusal(refusal) if refusal.kind.executed() == Executed::Never => TicketState::Unused,
            _ => TicketState::Ended(Box::new(outcome.clone())),
        }
    }
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
    pub fn use_ticket(&mut self, ticket: Ticket, this_node: NodeId) -> Result<(), TicketRefusal> {
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
        *state = TicketState::after(outcome);
    }

    /// Sets the state of a ticket to the one that the node which minted it knows, unless the session has an outcome that
    /// this node doesn't know.
    fn restore_ticket(&mut self, ticket: Ticket, known: TicketState) {
        let Some((_, state)) = self.tickets.iter_mut().find(|(other, _)| *other == ticket) else {
            self.tickets.push((ticket, known));
            return;
        };
        if matches!(known, TicketState::Ended(_)) || !matches!(state, TicketState::Ended(_)) {
            *state = known;
        }
    }

    /// Marks all unused tickets as running, so that none of them can be used.
    fn block_unused_tickets(&mut self) {
        let unused = self.tickets.iter_mut().filter(|(_, state)| *state == TicketState::Unused);
        unused.for_each(|(_, state)| *state = TicketState::Running);
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
    released: ReleasedTickets,
    capacity: usize,
}

/// Tickets that this node minted and used, of sessions that another node has taken over since.
///
/// The other node has its state of the session from a copy, which may be older than the use of a ticket.
struct ReleasedTickets {
    sessions: HashMap<SessionToken, Vec<(Ticket, TicketState)>>,
    /// Sessions in the order in which they were released.
    order: VecDeque<SessionToken>,
    /// Whether tickets were forgotten because there were too many sessions.
    is_incomplete: bool,
    capacity: usize,
}

impl ReleasedTickets {
    fn new(capacity: usize) -> Self {
        ReleasedTickets { sessions: HashMap::new(), order: VecDeque::new(), is_incomplete: false, capacity }
    }

    fn add(&mut self, token: SessionToken, tickets: Vec<(Ticket, TicketState)>) {
        if self.sessions.len() >= self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.sessions.remove(&oldest);
            self.is_incomplete = true;
        }
        self.sessions.insert(token, tickets);
        self.order.push_back(token);
    }

    fn end_ticket(&mut self, token: SessionToken, ticket: Ticket, outcome: &Outcome) {
        let tickets = self.sessions.get_mut(&token);
        let entry = tickets.and_then(|tickets| tickets.iter_mut().find(|(known, _)| *known == ticket));
        if let Some((_, state)) = entry {
            *state = TicketState::after(outcome);
        }
    }

    /// Moves the tickets of a session into a state that comes from a copy.
    fn restore(&mut self, token: SessionToken, state: &mut SessionState) {
        if self.is_incomplete {
            state.block_unused_tickets();
        }
        let Some(tickets) = self.sessions.remove(&token) else {
            return;
        };
        self.order.retain(|released| *released != token);
        for (ticket, known) in tickets {
            state.restore_ticket(ticket, known);
        }
    }
}

impl SessionTable {
    /// Creates a table of at most `capacity` sessions.
    pub fn new(capacity: usize) -> Self {
        SessionTable { sessions: HashMap::new(), released: ReleasedTickets::new(capacity), capacity }
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
    pub fn adopt(&mut self, now: BootTime, token: SessionToken, mut state: SessionState) -> bool {
        if !self.make_room(now) {
            return false;
        }
        if !self.sessions.contains_key(&token) {
            self.released.restore(token, &mut state);
            self.sessions.insert(token, SessionEntry { state, last_used: now });
        }
        true
    }

    /// Removes a session that another node has taken over. The tickets that `this_node` has minted and used stay known.
    pub fn release(&mut self, token: SessionToken, this_node: NodeId) {
        let Some(session) = self.sessions.remove(&token) else {
            return;
        };
        let is_kept =
            |(ticket, state): &(Ticket, TicketState)| ticket.node == this_node && *state != TicketState::Unused;
        let used: Vec<_> = session.state.tickets.into_iter().filter(is_kept).collect();
        if !used.is_empty() {
            self.released.add(token, used);
        }
    }

    /// Records how a ticket's request ended, also if another node has taken its session over meanwhile.
    pub fn end_ticket(&mut self, now: BootTime, token: SessionToken, ticket: Ticket, outcome: &Outcome) {
        match self.touch(now, token) {
            Some(session) => session.end_ticket(ticket, outcome),
            None => self.released.end_ticket(token, ticket, outcome),
        }
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
