//! Pool of connections to searchers.
//!
//! A connection belongs to one incarnation of a searcher and carries one attempt at a time. It becomes idle, and so
//! available to other attempts, only after the whole answer was read and the whole request was written. It never carries
//! two attempts of one request.
//!
//! [`Pool`] owns the connections and reports how each attempt ended, in particular whether the searcher may have run
//! it. The engine chooses the searcher of each attempt, and decides what the end of an attempt means for its request.
//! `establish` opens connections and proves fresh ones, that is, it waits for a possible reset before anything is sent.
//! `reading` reads connections and handles the answers. `endings` ends attempts and connections. `connection` holds the
//! state of one connection, and `carried` remembers its requests. `reuse` remembers the services whose connections carry one attempt each.

mod carried;
mod connection;
mod endings;
mod establish;
mod reading;
mod reuse;

use crate::connection_reuse::Evidence;
use crate::dialect::HeaderNames;
use crate::outbound::OutboundRequest;
use crate::settings::NodePolicy;
use crate::traffic::{Purpose, Traffic};
use connection::{Assignment, Connection, ConnectionState};
use hashbrown::HashMap;
use reuse::ReuseByService;
use slab::Slab;
use staircross_http::ClientFault;
use staircross_http::expected::{Expected, ExpectedId};
use staircross_routing::engine::{AbandonCause, SendOrder};
use staircross_routing::{AttemptKey, AttemptOutcome, SearcherKey};
use staircross_transport::socket::{IoContext, Readiness, SocketId, WriteOutcome};
use staircross_types::BootTime;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an idle connection is closed if its searcher doesn't state a keep-alive timeout. The timeout is
/// shorter than usual timeouts of servers.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time by which a connection is closed before its searcher would close it. This margin is longer than the transit time
/// of a request plus the rounding error of the searcher's keep-alive timeout, which is stated in whole seconds.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1200);
/// HTTP status of an answer from a searcher that isn't the incarnation that the request names.
const HTTP_MISDIRECTED_REQUEST: u16 = 421;

/// A change of an attempt or its connection.
#[derive(Debug)]
pub enum PoolEvent {
    /// A connection was established.
    Connected {
        /// The searcher.
        searcher: SearcherKey,
        /// Time that it took to connect.
        took: Duration,
    },
    /// An attempt that waited for a new connection is now sent.
    Begun {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// An attempt ended and no longer occupies a connection.
    Ended {
        /// The attempt.
        attempt: AttemptKey,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// A connection delivered an answer to another request, which was skipped.
    Skipped {
        /// The searcher of the connection.
        searcher: SearcherKey,
    },
    /// From now on, connections to a service carry one attempt each, because its answers are ambiguous on a connection
    /// in use.
    ReuseEnded {
        /// The service.
        service: Arc<str>,
        /// What its answer shows.
        evidence: Evidence,
    },
}

/// Counters of connections and answers, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounters {
    /// Number of connections opened, including those that failed.
    pub connects: u64,
    /// Number of skipped answers, which belonged to other requests.
    pub skipped: u64,
    /// Number of connections that failed while an attempt on them may have run.
    pub broken: u64,
    /// Number of fresh connections that failed before anything was sent on them.
    pub connections_rejected: u64,
}

/// All connections to searchers.
pub struct Pool {
    names: HeaderNames,
    max_answer_body: usize,
    /// Maximum number of bytes of incomplete answers on all connections together.
    max_buffered: usize,
    connections: Slab<Connection>,
    next_generation: u32,
    /// Slots of the idle connections of each searcher, the most recently used one last.
    idle: HashMap<SearcherKey, Vec<usize>>,
    /// Slot of the connection that each attempt is assigned to.
    slot_by_attempt: HashMap<AttemptKey, usize>,
    /// Times at which connections in state `Proving` may be used, with their slots and generations.
    proving_queue: BinaryHeap<Reverse<(BootTime, usize, u32)>>,
    /// Time of the last reset of a fresh connection, for each searcher that reset one.
    last_resets: HashMap<SearcherKey, BootTime>,
    /// Services whose connections carry one attempt each.
    reuse: ReuseByService,
    /// Slots and generations of the connections that have more to read, in the order in which they are read.
    unread: Vec<(usize, u32)>,
    /// Time until which every fresh connection is proved.
    proves_until: BootTime,
    policy: NodePolicy,
    /// Counters of connections and answers, for metrics.
    pub counters: PoolCounters,
    /// Bytes sent to and received from searchers, by purpose and distance.
    pub traffic: Traffic,
}

impl Pool {
    /// Creates a pool without connections. `max_answer_body` is the maximum length of an answer's body, in bytes. Until
    /// `proves_until`, all fresh connections are proved, and after that only those to searchers that recently reset
    /// one.
    pub fn new(names: HeaderNames, max_answer_body: usize, proves_until: BootTime) -> Self {
        Pool {
            names,
            max_answer_body,
            max_buffered: usize::MAX,
            connections: Slab::new(),
            next_generation: 1,
            idle: HashMap::new(),
            slot_by_attempt: HashMap::new(),
            proving_queue: BinaryHeap::new(),
            last_resets: HashMap::new(),
            reuse: ReuseByService::default(),
            unread: Vec::new(),
            proves_until,
            policy: NodePolicy::default(),
            counters: PoolCounters::default(),
            traffic: Traffic::default(),
        }
    }

    /// Sets which optional mechanisms are turned on.
    pub fn with_policy(self, policy: NodePolicy) -> Self {
        Pool { policy, ..self }
    }

    /// Sets the maximum number of bytes of incomplete answers on all connections together. If it is exceeded, the
    /// connection that holds most is closed.
    pub fn with_max_buffered(self, max_buffered: usize) -> Self {
        Pool { max_buffered, ..self }
    }

    /// Returns the number of connections, including those that aren't established yet.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Sends an attempt on an idle connection, or opens a new connection for it.
    pub fn send(
        &mut self,
        order: SendOrder,
        request: OutboundRequest,
        io: &mut IoContext<'_>,
        events: &mut Vec<PoolEvent>,
    ) {
        let attempt = order.attempt;
        let assignment = Box::new(Assignment { order, request, abandoned: None });
        if let Some(slot) = self.take_idle(&assignment, io.now) {
            self.slot_by_attempt.insert(attempt, slot);
            self.write_attempt(slot, assignment, io, events);
            return;
        }
        self.close_carrier(&assignment);
        self.open_connection(assignment, io, events);
    }

    /// Takes the most recently used one of the searcher's idle connections that suit the request.
    fn take_idle(&mut self, assignment: &Assignment, now: BootTime) -> Option<usize> {
        let is_reuse_allowed = self.reuse.is_allowed(&assignment.order.service, now);
        let idle = self.idle.get_mut(&assignment.order.searcher)?;
        let suits = |slot: &usize| self.connections[*slot].suits(assignment, is_reuse_allowed, now);
        let position = idle.iter().rposition(suits)?;
        Some(idle.remove(position))
    }

    /// Closes the least recently used idle connection that has carried the request, if there is one. The new connection
    /// takes its place, so that a caller that repeats an id doesn't use up the searcher's connections.
    fn close_carrier(&mut self, assignment: &Assignment) {
        let Some(idle) = self.idle.get_mut(&assignment.order.searcher) else {
            return;
        };
        let carrier = idle.iter().position(|slot| self.connections[*slot].has_carried(&assignment.request));
        if let Some(position) = carrier {
            self.connections.remove(idle.remove(position));
        }
    }

    /// Writes an attempt on a connection that is established and free.
    fn write_attempt(
        &mut self,
        slot: usize,
        assignment: Box<Assignment>,
        io: &mut IoContext<'_>,
        events: &mut Vec<PoolEvent>,
    ) {
        let connection = &mut self.connections[slot];
        let remaining = io.now.until(assignment.order.deadline);
        let order = &assignment.order;
        let bytes = assignment.request.attempt_bytes(&self.names, &order.instance, &order.identity, remaining);
        connection.purpose = Purpose::of_attempt(assignment.order.reason);
        self.traffic.count(connection.purpose, connection.reach, bytes.len());
        let id = assignment.request.id.as_ref();
        if let Some(id) = id {
            connection.carried.insert(id);
        }
        connection.http.expect(Expected {
            method: assignment.request.method.to_string(),
            id: id.map(|value| ExpectedId { field: self.names.request_id, value: value.to_vec() }),
        });
        connection.state_since = io.now;
        connection.state = ConnectionState::Busy(assignment);
        if connection.socket.write(bytes, io.registry) == WriteOutcome::Broken {
            self.fail_connection(slot, ClientFault::Reset, events);
        }
    }

    /// Gives up an attempt whose answer is no longer wanted. If nothing was sent, the attempt is recalled; otherwise
    /// its connection is closed unless the answer is complete within `answer_timeout`.
    pub fn abandon(
        &mut self,
        now: BootTime,
        attempt: AttemptKey,
        answer_timeout: Duration,
        cause: AbandonCause,
        events: &mut Vec<PoolEvent>,
    ) {
        let Some(slot) = self.slot_by_attempt.get(&attempt).copied() else {
            return;
        };
        let connection = &mut self.connections[slot];
        match &mut connection.state {
            ConnectionState::Busy(assignment) => assignment.abandoned = Some((now + answer_timeout, cause)),
            ConnectionState::Connecting { .. } | ConnectionState::Proving { .. } => self.recall(attempt, events),
            ConnectionState::Idle => {}
        }
    }

    /// Cancels an attempt of which nothing was sent. Its connection becomes idle once it is established.
    pub fn recall(&mut self, attempt: AttemptKey, events: &mut Vec<PoolEvent>) {
        let Some(slot) = self.slot_by_attempt.get(&attempt).copied() else {
            return;
        };
        if let ConnectionState::Connecting { assignment } | ConnectionState::Proving { assignment } =
            &mut self.connections[slot].state
        {
            *assignment = None;
            self.slot_by_attempt.remove(&attempt);
            events.push(PoolEvent::Ended { attempt, outcome: AttemptOutcome::Cancelled });
        }
    }

    /// Handles a readiness event of a connection's socket.
    pub fn on_ready(
        &mut self,
        id: SocketId,
        readiness: Readiness,
        io: &mut IoContext<'_>,
        events: &mut Vec<PoolEvent>,
    ) {
        let slot = id.slot as usize;
        let current = self.connections.get_mut(slot).filter(|connection| connection.generation == id.generation);
        let Some(connection) = current else {
            return;
        };
        connection.socket.note_readiness(readiness);
        if matches!(connection.state, ConnectionState::Connecting { .. }) {
            self.on_connecting(slot, readiness, io, events);
        } else if readiness.is_writable && self.connections[slot].socket.flush(io.registry) == WriteOutcome::Broken {
            self.fail_connection(slot, ClientFault::Reset, events);
        }
        self.read(slot, id.generation, io, events);
    }

    /// Makes a connection available to other attempts.
    fn make_idle(&mut self, slot: usize, now: BootTime) {
        let connection = &mut self.connections[slot];
        connection.state = ConnectionState::Idle;
        connection.state_since = now;
        self.idle.entry(connection.searcher).or_default().push(slot);
    }
}
