//! Connections to searchers.
//!
//! A connection belongs to one run of a searcher and carries one attempt at a time. It goes back to
//! rest only when the attempt's whole answer has been read and all bytes were written.

use crate::dialect::HeaderNames;
use crate::outbound::OutboundRequest;
use crate::socket::{IoContext, ReadOutcome, Socket, SocketId, WriteOutcome};
use hashbrown::HashMap;
use slab::Slab;
use staircross_http::client::{Expected, ExpectedId};
use staircross_http::{Answer, ClientConnection, ClientFault, ClientProgress};
use staircross_routing::engine::{AbandonCause, SendOrder};
use staircross_routing::request::Unknown;
use staircross_routing::selection::SearcherKey;
use staircross_routing::{AttemptKey, AttemptOutcome, NotRun, SearcherAnswer};
use staircross_types::BootTime;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Rest of a connection whose searcher doesn't say how long it keeps it.
const USUAL_REST: Duration = Duration::from_secs(30);
/// A connection is given up so long before its searcher would close it.
const REST_GUARD: Duration = Duration::from_millis(1200);
/// A request that can't be repeated uses a connection only if it has been used this lately.
const FRESH_ENOUGH: Duration = Duration::from_millis(800);
/// A fresh connection is proved for the time that it took to come up and this, but not longer than that.
const PROVING: Duration = Duration::from_millis(3);
const MOST_PROVING: Duration = Duration::from_millis(50);
/// Time after the reset of a fresh connection during which those to its searcher are proved.
const RESET_MEMORY: Duration = Duration::from_secs(5);
/// Status of a searcher that isn't the run asked for.
const MISDIRECTED: u16 = 421;

/// What happened to an attempt or its connection.
#[derive(Debug)]
pub enum PoolEvent {
    /// A connection came up.
    Connected {
        /// To whom.
        searcher: SearcherKey,
        /// How long it took.
        took: Duration,
    },
    /// An attempt has ended and holds no connection any more.
    Ended {
        /// Which.
        attempt: AttemptKey,
        /// How.
        outcome: AttemptOutcome,
    },
    /// An answer to another request was skipped.
    Skipped {
        /// On whose connection.
        searcher: SearcherKey,
    },
}

struct Assignment {
    order: SendOrder,
    request: OutboundRequest,
    /// Set when nobody waits for the answer any more: until when it is read out, and why.
    abandoned: Option<(BootTime, AbandonCause)>,
}

enum State {
    Connecting {
        assignment: Option<Box<Assignment>>,
    },
    /// Up, but nothing is sent until it has held for a moment.
    Proving {
        assignment: Option<Box<Assignment>>,
    },
    Busy(Box<Assignment>),
    Idle,
}

struct Connection {
    socket: Socket,
    http: ClientConnection,
    searcher: SearcherKey,
    generation: u32,
    since: BootTime,
    rest: Duration,
    state: State,
    /// Whether nothing has been answered on it yet.
    is_fresh: bool,
}

/// Counters of the pool, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounters {
    /// Connections begun.
    pub connects: u64,
    /// Answers to other requests that were skipped.
    pub skipped: u64,
    /// Connections closed because of what came on them.
    pub broken: u64,
    /// Connections that were reset before anything was sent.
    pub turned_away: u64,
}

/// All connections to searchers.
pub struct Pool {
    kind: u8,
    names: HeaderNames,
    max_answer: usize,
    connections: Slab<Connection>,
    next_generation: u32,
    /// Connections at rest, the one used last at the end.
    resting: HashMap<SearcherKey, Vec<usize>>,
    by_attempt: HashMap<AttemptKey, usize>,
    /// When fresh connections that are being proved may be used, by slot and generation.
    proving: BinaryHeap<Reverse<(BootTime, usize, u32)>>,
    /// Searchers that have reset a fresh connection lately.
    resets: HashMap<SearcherKey, BootTime>,
    proves_until: BootTime,
    /// Counters for metrics.
    pub counters: PoolCounters,
}

impl Pool {
    /// A pool without connections; `max_answer` bounds answers, in bytes. Fresh connections are proved
    /// until `proves_until`, and later where one has been reset.
    pub fn new(kind: u8, names: HeaderNames, max_answer: usize, proves_until: BootTime) -> Self {
        Pool {
            kind,
            names,
            max_answer,
            connections: Slab::new(),
            next_generation: 1,
            resting: HashMap::new(),
            by_attempt: HashMap::new(),
            proving: BinaryHeap::new(),
            resets: HashMap::new(),
            proves_until,
            counters: PoolCounters::default(),
        }
    }

    /// Open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Sends an attempt on a resting connection, or begins a new one for it.
    pub fn send(
        &mut self,
        order: SendOrder,
        request: OutboundRequest,
        io: &mut IoContext<'_>,
        events: &mut Vec<PoolEvent>,
    ) {
        let attempt = order.attempt;
        let searcher = order.searcher;
        let assignment = Box::new(Assignment { order, request, abandoned: None });
        if let Some(slot) = self.take_resting(searcher, io.now, assignment.order.is_idempotent) {
            self.by_attempt.insert(attempt, slot);
            self.start(slot, assignment, io, events);
            return;
        }
        self.connect(assignment, io, events);
    }

    fn take_resting(&mut self, searcher: SearcherKey, now: BootTime, is_idempotent: bool) -> Option<usize> {
        let resting = self.resting.get_mut(&searcher)?;
        let slot = *resting.last()?;
        let is_fresh = now.since(self.connections[slot].since) < FRESH_ENOUGH;
        if !is_idempotent && !is_fresh {
            return None;
        }
        resting.pop()
    }

    fn connect(&mut self, assignment: Box<Assignment>, io: &mut IoContext<'_>, events: &mut Vec<PoolEvent>) {
        let attempt = assignment.order.attempt;
        let searcher = assignment.order.searcher;
        self.counters.connects += 1;
        let generation = self.next_generation;
        self.next_generation = self.next_generation.wrapping_add(1).max(1);
        let entry = self.connections.vacant_entry();
        let slot = entry.key();
        let id = SocketId { kind: self.kind, generation, slot: slot as u32 };
        match Socket::connecting(assignment.order.address, id.token(), io.registry) {
            Ok(socket) => {
                entry.insert(Connection {
                    socket,
                    http: ClientConnection::new(self.max_answer),
                    searcher,
                    generation,
                    since: io.now,
                    rest: USUAL_REST,
                    state: State::Connecting { assignment: Some(assignment) },
                    is_fresh: true,
                });
                self.by_attempt.insert(attempt, slot);
            }
            Err(_) => events.push(PoolEvent::Ended { attempt, outcome: AttemptOutcome::NotRun(NotRun::Unconnected) }),
        }
    }

    /// Writes an attempt on a connection that is up and free.
    fn start(&mut self, slot: usize, assignment: Box<Assignment>, io: &mut IoContext<'_>, events: &mut Vec<PoolEvent>) {
        let connection = &mut self.connections[slot];
        let remaining = io.now.until(assignment.order.deadline);
        let bytes = assignment.request.attempt(&self.names, &assignment.order.instance, remaining);
        let id = assignment.request.id.as_ref();
        connection.http.expect(Expected {
            method: assignment.request.method.to_string(),
            id: id.map(|value| ExpectedId { field: self.names.request_id, value: value.to_vec() }),
        });
        connection.since = io.now;
        connection.state = State::Busy(assignment);
        if connection.socket.write(bytes, io.registry) == WriteOutcome::Broken {
            self.fail(slot, ClientFault::Reset, events);
        }
    }

    /// Nobody waits for an attempt's answer any more.
    pub fn abandon(
        &mut self,
        now: BootTime,
        attempt: AttemptKey,
        patience: Duration,
        cause: AbandonCause,
        events: &mut Vec<PoolEvent>,
    ) {
        let Some(slot) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        let connection = &mut self.connections[slot];
        match &mut connection.state {
            State::Busy(assignment) => assignment.abandoned = Some((now + patience, cause)),
            State::Connecting { assignment } | State::Proving { assignment } => {
                // Nothing was sent. Once it is up, the connection rests until somebody needs it.
                *assignment = None;
                self.by_attempt.remove(&attempt);
                events.push(PoolEvent::Ended { attempt, outcome: AttemptOutcome::Withdrawn });
            }
            State::Idle => {}
        }
    }

    /// Takes readiness of a connection.
    pub fn on_ready(&mut self, id: SocketId, is_writable: bool, io: &mut IoContext<'_>, events: &mut Vec<PoolEvent>) {
        let slot = id.slot as usize;
        let is_known = self.connections.get(slot).is_some_and(|connection| connection.generation == id.generation);
        if !is_known {
            return;
        }
        if matches!(self.connections[slot].state, State::Connecting { .. }) {
            self.on_connecting(slot, io, events);
        } else if is_writable && self.connections[slot].socket.flush(io.registry) == WriteOutcome::Broken {
            self.fail(slot, ClientFault::Reset, events);
        }
        self.read(slot, id.generation, io, events);
    }

    fn on_connecting(&mut self, slot: usize, io: &mut IoContext<'_>, events: &mut Vec<PoolEvent>) {
        let connection = &mut self.connections[slot];
        match connection.socket.is_up() {
            None => return,
            Some(false) => return self.fail(slot, ClientFault::Reset, events),
            Some(true) => {}
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
            let until = io.now + (took + PROVING).min(MOST_PROVING);
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
        let is_young = now < self.proves_until;
        let reset_at = self.resets.get(&self.connections[slot].searcher);
        is_young || reset_at.is_some_and(|at| now.since(*at) < RESET_MEMORY)
    }

    fn begin_use(
        &mut self,
        slot: usize,
        assignment: Option<Box<Assignment>>,
        io: &mut IoContext<'_>,
        events: &mut Vec<PoolEvent>,
    ) {
        match assignment {
            Some(assignment) => self.start(slot, assignment, io, events),
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

    fn rest(&mut self, slot: usize, now: BootTime) {
        let connection = &mut self.connections[slot];
        connection.state = State::Idle;
        connection.since = now;
        self.resting.entry(connection.searcher).or_default().push(slot);
    }

    fn read(&mut self, slot: usize, generation: u32, io: &mut IoContext<'_>, events: &mut Vec<PoolEvent>) {
        loop {
            let same = self.connections.get_mut(slot).filter(|connection| connection.generation == generation);
            let Some(connection) = same else {
                return;
            };
            if matches!(connection.state, State::Connecting { .. }) {
                return;
            }
            match connection.socket.read(io.buffer) {
                ReadOutcome::Bytes { count, is_full } => {
                    connection.http.receive(&io.buffer[..count]);
                    self.advance(slot, generation, io.now, events);
                    if !is_full {
                        return;
                    }
                }
                ReadOutcome::Nothing => return,
                ReadOutcome::Closed => {
                    let progress = connection.http.on_close();
                    self.take_progress(slot, progress, io.now, events);
                    let is_left =
                        self.connections.get(slot).is_some_and(|connection| connection.generation == generation);
                    if is_left {
                        self.fail(slot, ClientFault::ClosedUnanswered, events);
                    }
                    return;
                }
                ReadOutcome::Broken => return self.fail(slot, ClientFault::Reset, events),
            }
        }
    }

    fn advance(&mut self, slot: usize, generation: u32, now: BootTime, events: &mut Vec<PoolEvent>) {
        loop {
            let same = self.connections.get_mut(slot).filter(|connection| connection.generation == generation);
            let Some(connection) = same else {
                return;
            };
            let progress = connection.http.advance();
            if progress == ClientProgress::NeedMore {
                return;
            }
            self.take_progress(slot, progress, now, events);
        }
    }

    fn take_progress(&mut self, slot: usize, progress: ClientProgress, now: BootTime, events: &mut Vec<PoolEvent>) {
        match progress {
            ClientProgress::NeedMore => {}
            ClientProgress::Skipped => {
                self.counters.skipped += 1;
                events.push(PoolEvent::Skipped { searcher: self.connections[slot].searcher });
            }
            ClientProgress::Broken(fault) => self.fail(slot, fault, events),
            ClientProgress::Answered(answer) => self.answered(slot, *answer, now, events),
        }
    }

    fn answered(&mut self, slot: usize, answer: Answer, now: BootTime, events: &mut Vec<PoolEvent>) {
        let connection = &mut self.connections[slot];
        connection.is_fresh = false;
        if let Some(seconds) = answer.head.headers.keep_alive_seconds() {
            connection.rest = Duration::from_secs(seconds).saturating_sub(REST_GUARD);
        }
        let state = std::mem::replace(&mut connection.state, State::Idle);
        let is_reusable = answer.is_reusable && connection.socket.is_flushed() && !connection.rest.is_zero();
        if let State::Busy(assignment) = state {
            let attempt = assignment.order.attempt;
            self.by_attempt.remove(&attempt);
            events.push(PoolEvent::Ended { attempt, outcome: self.outcome_of(answer) });
        }
        if is_reusable {
            self.rest(slot, now);
        } else {
            // What is left of a long request may not be followed by anything else, so it ends here.
            self.connections.remove(slot);
        }
    }

    fn outcome_of(&self, answer: Answer) -> AttemptOutcome {
        let headers = &answer.head.headers;
        if answer.head.status == MISDIRECTED {
            return AttemptOutcome::NotRun(NotRun::OtherInstance);
        }
        if headers.first(self.names.not_executed).is_some() {
            return AttemptOutcome::NotRun(NotRun::Shed);
        }
        let stamp = headers.first(self.names.stamp).map(<[u8]>::to_vec);
        AttemptOutcome::Answered(Box::new(SearcherAnswer {
            status: answer.head.status,
            stamp,
            headers: answer.head.headers,
            body: answer.body,
        }))
    }

    /// Ends a connection; its attempt, if any, may have run if anything was sent.
    fn fail(&mut self, slot: usize, fault: ClientFault, events: &mut Vec<PoolEvent>) {
        let Some(connection) = self.connections.try_remove(slot) else {
            return;
        };
        match connection.state {
            State::Idle => {
                if let Some(resting) = self.resting.get_mut(&connection.searcher) {
                    resting.retain(|known| *known != slot);
                }
            }
            State::Connecting { assignment } => {
                let Some(assignment) = assignment else {
                    return;
                };
                let attempt = assignment.order.attempt;
                self.by_attempt.remove(&attempt);
                let outcome = AttemptOutcome::NotRun(NotRun::Unconnected);
                events.push(PoolEvent::Ended { attempt, outcome });
            }
            State::Proving { assignment } => {
                self.counters.turned_away += 1;
                let Some(assignment) = assignment else {
                    return;
                };
                let attempt = assignment.order.attempt;
                self.by_attempt.remove(&attempt);
                let outcome = AttemptOutcome::NotRun(NotRun::TurnedAway);
                events.push(PoolEvent::Ended { attempt, outcome });
            }
            State::Busy(assignment) => {
                if connection.is_fresh {
                    self.resets.insert(connection.searcher, connection.since);
                }
                self.counters.broken += 1;
                let attempt = assignment.order.attempt;
                self.by_attempt.remove(&attempt);
                let reason = match fault {
                    ClientFault::TooLong => Unknown::TooLong,
                    ClientFault::Malformed
                    | ClientFault::Truncated
                    | ClientFault::ClosedUnanswered
                    | ClientFault::Reset => Unknown::Broken,
                };
                events.push(PoolEvent::Ended { attempt, outcome: AttemptOutcome::Unknown(reason) });
            }
        }
    }

    /// Ends connections that don't come up, whose answers nobody waits for, or that rest too long.
    pub fn sweep(&mut self, now: BootTime, events: &mut Vec<PoolEvent>) {
        let mut over = Vec::new();
        for (slot, connection) in &self.connections {
            let age = now.since(connection.since);
            let is_over = match &connection.state {
                State::Idle => age >= connection.rest,
                State::Connecting { assignment: Some(assignment) } => age >= assignment.order.connect_patience,
                State::Connecting { assignment: None } => age >= Duration::from_secs(1),
                State::Proving { .. } => false,
                State::Busy(assignment) => assignment.abandoned.is_some_and(|(until, _)| now >= until),
            };
            if is_over {
                over.push(slot);
            }
        }
        for slot in over {
            self.end(slot, events);
        }
    }

    fn end(&mut self, slot: usize, events: &mut Vec<PoolEvent>) {
        let departed = match &self.connections[slot].state {
            State::Busy(assignment) => {
                let is_departed = matches!(assignment.abandoned, Some((_, AbandonCause::CallerGone)));
                is_departed.then_some(assignment.order.attempt)
            }
            State::Idle | State::Connecting { .. } | State::Proving { .. } => None,
        };
        let Some(attempt) = departed else {
            return self.fail(slot, ClientFault::Reset, events);
        };
        // The caller left, so the searcher isn't to blame.
        self.connections.remove(slot);
        self.by_attempt.remove(&attempt);
        events.push(PoolEvent::Ended { attempt, outcome: AttemptOutcome::Withdrawn });
    }
}
