//! Connections from their beginning until they carry something, and proving fresh ones.
//!
//! A searcher that has all the connections it may have accepts one more and resets it at once. What was sent by then may have
//! run; proving waits for that reset before anything is sent. Relies on the socket for what became of a connection.

use super::{Assignment, Connection, Pool, PoolEvent, State, USUAL_REST};
use crate::socket::{ConnectingState, IoContext, Socket, SocketId, SocketKind, WriteOutcome};
use crate::traffic::{Purpose, Reach};
use staircross_http::{ClientConnection, ClientFault};
use staircross_routing::{AttemptOutcome, NotRun, SearcherKey};
use staircross_types::BootTime;
use std::cmp::Reverse;
use std::time::Duration;

/// Time for which a fresh connection is proved, beside the time that it took to come up. Measured: on one day with a loss of
/// power 119 answers 502 became none; on another, which kept 70, 8 ms instead changed nothing.
const PROVING: Duration = Duration::from_millis(3);
/// Longest time for which a fresh connection is proved. So that a connection that came up slowly costs its request no more than a slow searcher does.
const MAX_PROVING: Duration = Duration::from_millis(50);
/// Time after the reset of a fresh connection during which those to its searcher are proved. For the seconds in which searchers notice that machines
/// are gone.
const RESET_MEMORY: Duration = Duration::from_secs(5);

impl Pool {
    pub(super) fn connect(&mut self, assignment: Box<Assignment>, io: &mut IoContext<'_>, events: &mut Vec<PoolEvent>) {
        let attempt = assignment.order.attempt;
        let searcher = assignment.order.searcher;
        self.counters.connects += 1;
        let generation = self.next_generation;
        self.next_generation = self.next_generation.wrapping_add(1).max(1);
        let entry = self.connections.vacant_entry();
        let slot = entry.key();
        let id = SocketId { kind: SocketKind::Searcher, generation, slot: slot as u32 };
        match Socket::connecting(assignment.order.address, id.token(), io.registry) {
            Ok(socket) => {
                entry.insert(Connection {
                    socket,
                    http: ClientConnection::new(self.max_answer),
                    searcher,
                    generation,
                    since: io.now,
                    rest: USUAL_REST,
                    is_fresh: true,
                    purpose: Purpose::of_attempt(assignment.order.reason),
                    reach: Reach::Known(assignment.order.distance),
                    state: State::Connecting { assignment: Some(assignment) },
                });
                self.by_attempt.insert(attempt, slot);
            }
            Err(_) => events.push(PoolEvent::Ended { attempt, outcome: AttemptOutcome::NotRun(NotRun::Unconnected) }),
        }
    }

    pub(super) fn on_connecting(&mut self, slot: usize, io: &mut IoContext<'_>, events: &mut Vec<PoolEvent>) {
        let connection = &mut self.connections[slot];
        match connection.socket.connecting_state() {
            ConnectingState::InProgress => return,
            ConnectingState::Failed => return self.fail(slot, ClientFault::Reset, events),
            ConnectingState::Reset => return self.on_reset_at_once(slot, events),
            ConnectingState::Established => {}
        }
        let took = io.now.since(connection.since);
        events.push(PoolEvent::Connected { searcher: connection.searcher, took });
        if connection.socket.flush(io.registry) == WriteOutcome::Broken {
            return self.fail(slot, ClientFault::Reset, events);
        }
        let state = std::mem::replace(&mut connection.state, State::Idle);
        connection.since = io.now;
        let State::Connecting { assignment } = state else {
            return;
        };
        if self.must_prove(slot, io.now) {
            let until = io.now + (took + PROVING).min(MAX_PROVING);
            let connection = &mut self.connections[slot];
            connection.state = State::Proving { assignment };
            self.proving.push(Reverse((until, slot, connection.generation)));
            return;
        }
        self.begin_use(slot, assignment, io, events);
    }

    /// A searcher that has all the connections it may have accepts one more and resets it at once. What
    /// was sent by then may have run, so where that is likely, nothing is sent until it would have come.
    fn must_prove(&self, slot: usize, now: BootTime) -> bool {
        let is_starting = now < self.proves_until;
        self.policy.proving && (is_starting || self.is_contested(self.connections[slot].searcher, now))
    }

    /// Whether a searcher has reset a fresh connection lately.
    pub fn is_contested(&self, searcher: SearcherKey, now: BootTime) -> bool {
        self.resets.get(&searcher).is_some_and(|at| now.since(*at) < RESET_MEMORY)
    }

    fn begin_use(
        &mut self,
        slot: usize,
        assignment: Option<Box<Assignment>>,
        io: &mut IoContext<'_>,
        events: &mut Vec<PoolEvent>,
    ) {
        match assignment {
            Some(assignment) => {
                events.push(PoolEvent::Begun { attempt: assignment.order.attempt });
                self.start(slot, assignment, io, events);
            }
            None => self.rest(slot, io.now),
        }
    }

    /// When a connection that is being proved may be used.
    pub fn next_wake(&self) -> Option<BootTime> {
        self.proving.peek().map(|Reverse((due, _, _))| *due)
    }

    /// Uses connections that have held.
    pub fn on_tick(&mut self, io: &mut IoContext<'_>, events: &mut Vec<PoolEvent>) {
        while let Some(Reverse((due, slot, generation))) = self.proving.peek().copied() {
            if due > io.now {
                return;
            }
            self.proving.pop();
            let same = self.connections.get_mut(slot).filter(|connection| connection.generation == generation);
            let Some(connection) = same else {
                continue;
            };
            match std::mem::replace(&mut connection.state, State::Idle) {
                State::Proving { assignment } => self.begin_use(slot, assignment, io, events),
                other => connection.state = other,
            }
        }
    }
}
