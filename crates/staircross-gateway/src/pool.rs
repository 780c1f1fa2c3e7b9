//! Connections to searchers.
//!
//! A connection belongs to one incarnation of a searcher and carries one attempt at a time. It goes back to
//! rest only when the attempt's whole answer has been read and all bytes were written.
//!
//! [`Pool`] owns the connections and says how each attempt ended, above all whether it may have run. Whom to ask, and what an
//! end means for the request, is the engine's; `establish` has the beginning of connections, `endings` their end.

mod endings;
mod establish;

use crate::dialect::HeaderNames;
use crate::outbound::OutboundRequest;
use crate::settings::NodePolicy;
use crate::socket::{IoContext, ReadOutcome, Socket, SocketId, WriteOutcome};
use crate::traffic::{Purpose, Reach, Traffic};
use hashbrown::HashMap;
use slab::Slab;
use staircross_http::client::{Expected, ExpectedId};
use staircross_http::{ClientConnection, ClientFault, ClientProgress};
use staircross_routing::engine::{AbandonCause, SendOrder};
use staircross_routing::{AttemptKey, AttemptOutcome, SearcherKey};
use staircross_types::BootTime;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Rest of a connection whose searcher doesn't say how long it keeps it. Below what servers usually keep.
const USUAL_REST: Duration = Duration::from_secs(30);
/// Time before its searcher would close it at which a connection is closed. Above the way of a request and the second to which searchers state what
/// they keep.
const REST_GUARD: Duration = Duration::from_millis(1200);
/// Time since its last use within which a connection is good enough for a request that can't be repeated: a searcher that has gone meanwhile leaves
/// it open whether such a request ran. Below a second, the shortest that a searcher can say it keeps a connection.
const FRESH_ENOUGH: Duration = Duration::from_millis(800);
/// Status of a searcher that isn't the incarnation asked for.
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
    /// An attempt that had to wait for a connection has one now.
    Begun {
        /// Which.
        attempt: AttemptKey,
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

/// An attempt on its connection.
struct Assignment {
    order: SendOrder,
    request: OutboundRequest,
    /// Set when nobody waits for the answer any more: until when it is read out, and why.
    abandoned: Option<(BootTime, AbandonCause)>,
}

/// What a connection is doing. Without an assignment, the attempt that it was begun for was taken back.
enum State {
    /// Not known to be up.
    Connecting { assignment: Option<Box<Assignment>> },
    /// Up, but nothing is sent until it has held for a moment.
    Proving { assignment: Option<Box<Assignment>> },
    /// An attempt was begun to be written on it, and its answer isn't complete.
    Busy(Box<Assignment>),
    /// At rest until an attempt needs it.
    Idle,
}

struct Connection {
    socket: Socket,
    http: ClientConnection,
    searcher: SearcherKey,
    generation: u32,
    /// Since when it is in its present state.
    since: BootTime,
    /// How long it may rest.
    rest: Duration,
    state: State,
    /// Whether nothing has been answered on it yet.
    is_fresh: bool,
    /// What it was used for last, and how far it goes.
    purpose: Purpose,
    reach: Reach,
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
    pub connections_rejected: u64,
}

/// All connections to searchers.
pub struct Pool {
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
    policy: NodePolicy,
    /// Counters for metrics.
    pub counters: PoolCounters,
    /// Bytes to and from searchers.
    pub traffic: Traffic,
}

impl Pool {
    /// A pool without connections; `max_answer` bounds answers, in bytes. Fresh connections are proved
    /// until `proves_until`, and later where one has been reset.
    pub fn new(names: HeaderNames, max_answer: usize, proves_until: BootTime) -> Self {
        Pool {
            names,
            max_answer,
            connections: Slab::new(),
            next_generation: 1,
            resting: HashMap::new(),
            by_attempt: HashMap::new(),
            proving: BinaryHeap::new(),
            resets: HashMap::new(),
            proves_until,
            policy: NodePolicy::default(),
            counters: PoolCounters::default(),
            traffic: Traffic::default(),
        }
    }

    /// The same with mechanisms turned off.
    pub fn with_policy(self, policy: NodePolicy) -> Self {
        Pool { policy, ..self }
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

    /// Writes an attempt on a connection that is up and free.
    fn start(&mut self, slot: usize, assignment: Box<Assignment>, io: &mut IoContext<'_>, events: &mut Vec<PoolEvent>) {
        let connection = &mut self.connections[slot];
        let remaining = io.now.until(assignment.order.deadline);
        let order = &assignment.order;
        let bytes = assignment.request.attempt(&self.names, &order.instance, &order.identity, remaining);
        connection.purpose = Purpose::of_attempt(assignment.order.reason);
        self.traffic.count(connection.purpose, connection.reach, bytes.len());
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
            State::Connecting { .. } | State::Proving { .. } => self.recall(attempt, events),
            State::Idle => {}
        }
    }

    /// Takes an attempt back of which nothing was sent; once it is up, its connection rests until somebody needs it.
    pub fn recall(&mut self, attempt: AttemptKey, events: &mut Vec<PoolEvent>) {
        let Some(slot) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        if let State::Connecting { assignment } | State::Proving { assignment } = &mut self.connections[slot].state {
            *assignment = None;
            self.by_attempt.remove(&attempt);
            events.push(PoolEvent::Ended { attempt, outcome: AttemptOutcome::Cancelled });
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
                    self.traffic.count(connection.purpose, connection.reach, count);
                    self.advance(slot, generation, io.now, events);
                    if !is_full {
                        return;
                    }
                }
                ReadOutcome::WouldBlock => return,
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
}
