//! Listeners and accepted connections.
//!
//! [`Server`] owns both. It reads complete requests and writes the answers, one at a time on each connection. The node
//! decides what a request means and when it is answered; it must answer each [`ServerEvent::Request`],
//! [`ServerEvent::Fault`], [`ServerEvent::RequestTimedOut`] and [`ServerEvent::RequestDropped`] with
//! [`Server::respond`]. [`ServerConnection`](staircross_http::ServerConnection) finds the ends of messages in the byte
//! stream.
//!
//! `accepting` has the listeners, `connection` holds the state of one connection, `budget` says what all may cost
//! together, and `room` ends connections when they cost more. Each turn of the node's loop ends with [`Server::resume`],
//! so that a peer that sends many requests ahead waits for its turn like others.
//!
//! A node has one server for all its listeners. The type parameter `E` tells them apart: it states what a listener serves.

mod accepting;
mod budget;
mod connection;
mod event;
mod room;

pub use connection::ConnectionInfo;
pub use event::{ServerEvent, ServerTimeouts};

use crate::listener::Listener;
use crate::socket::{IoContext, ReadOutcome, Readiness, SocketId, SocketKind, WriteOutcome};
use budget::Budget;
use connection::{Connection, State, TimeoutOutcome};
use mio::Registry;
use slab::Slab;
use staircross_http::ServerProgress;
use staircross_types::BootTime;
use std::time::Duration;

/// Interim response that permits the client to send its body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Time for which all connections of a closed listener must have been idle before it counts as drained. Peers that pause
/// longer between requests see that the connection has ended before they send again.
const FINAL_IDLE_TIME: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read ahead while the connection's previous request is still being answered, and that
/// are read in one go from a connection that is about to close. A close behind them is noticed.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// Number of requests after which a connection waits for the next turn. A peer that sends many requests ahead doesn't keep
/// the node from its other work.
const MAX_REQUESTS_PER_TURN: u32 = 16;

/// All listeners and accepted connections.
pub struct Server<E> {
    /// Listeners by slot; `None` once a listener is closed.
    listeners: Vec<Option<Listener<E>>>,
    connections: Slab<Connection<E>>,
    next_generation: u32,
    /// What all connections together may cost.
    budget: Budget,
    /// Number of the present turn.
    turn: u64,
    /// Connections that took as many requests as they may in this turn; each further one waits for the next.
    deferred: Vec<SocketId>,
    /// Number of connections that ended in favour of new ones and haven't been reported.
    stalled_count: u64,
    /// Answer to a connection beyond the maximum; if there is none, such a connection is closed at once.
    rejection: Option<Vec<u8>>,
}

impl<E: Copy + PartialEq> Server<E> {
    /// Creates a server without listeners that holds at most `max_connections` accepted connections.
    pub fn new(max_connections: usize) -> Self {
        Server {
            listeners: Vec::new(),
            connections: Slab::new(),
            next_generation: 1,
            budget: Budget::unbounded(max_connections),
            turn: 1,
            deferred: Vec::new(),
            stalled_count: 0,
            rejection: None,
        }
    }

    /// Sets the maximum number of bytes that all connections together cost: their own state, what the kernel may hold for
    /// them, requests that aren't complete or answered, and answers that peers haven't acknowledged. If it is exceeded,
    /// connections end. If the connections alone could exceed it, their maximum number is lowered.
    pub fn with_max_bytes(self, max_bytes: usize) -> Self {
        Server { budget: Budget::new(self.budget.max_connections(), max_bytes), ..self }
    }

    /// Returns a budget for [`Server::with_max_bytes`] in which `max_connections` have room, each with `held` bytes.
    pub const fn bytes_for(max_connections: usize, held: usize) -> usize {
        Budget::for_connections(max_connections, held)
    }

    /// Returns the maximum number of connections.
    pub fn max_connections(&self) -> usize {
        self.budget.max_connections()
    }

    /// Returns the number of connections that ended in favour of new ones since this was last asked.
    pub fn take_stalled_count(&mut self) -> u64 {
        std::mem::take(&mut self.stalled_count)
    }

    /// Answers connections beyond the maximum with `rejection`, a complete response that refuses any request, before they
    /// are closed. Up to an eighth more connections than the maximum are held for that.
    pub fn with_rejection(self, rejection: Vec<u8>) -> Self {
        Server { rejection: Some(rejection), ..self }
    }

    /// Returns whether nobody uses an endpoint any more: its listeners have closed, no request is being received or
    /// answered, and its connections have been idle for [`FINAL_IDLE_TIME`]. Connections that are about to close don't
    /// count.
    pub fn is_drained(&self, now: BootTime, endpoint: E) -> bool {
        let is_in_use = |connection: &Connection<E>| {
            connection.state == State::Reading && now.since(connection.last_progress) < FINAL_IDLE_TIME
        };
        let mut connections = self.connections.iter().filter(|(_, connection)| connection.endpoint == endpoint);
        !self.is_listening(endpoint) && !self.is_busy(endpoint) && !connections.any(|(_, one)| is_in_use(one))
    }

    /// Returns whether a connection exists: neither side has closed it.
    pub fn is_open(&self, id: SocketId) -> bool {
        self.connections.get(id.slot as usize).is_some_and(|connection| connection.generation == id.generation)
    }

    /// Returns the number of open connections, on all listeners.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether a request to an endpoint is partly received, waits for its answer, or has an answer that isn't
    /// fully written.
    pub fn is_busy(&self, endpoint: E) -> bool {
        self.connections.iter().any(|(_, connection)| {
            connection.endpoint == endpoint
                && (connection.state == State::AwaitingAnswer
                    || !connection.socket.is_flushed()
                    || connection.http.has_partial_request())
        })
    }

    /// Returns a connection, or `None` if it no longer exists.
    fn get(&mut self, id: SocketId) -> Option<&mut Connection<E>> {
        self.connections.get_mut(id.slot as usize).filter(|connection| connection.generation == id.generation)
    }

    /// Handles a readiness event of a connection.
    pub fn on_ready(
        &mut self,
        id: SocketId,
        readiness: Readiness,
        io: &mut IoContext<'_>,
        events: &mut Vec<ServerEvent<E>>,
    ) {
        let Some(connection) = self.get(id) else {
            return;
        };
        connection.socket.note_readiness(readiness);
        if readiness.is_writable && !connection.socket.is_flushed() {
            connection.last_progress = io.now;
            let outcome = connection.socket.flush(io.registry);
            if !self.handle_write_outcome(id, outcome, events) {
                return;
            }
            self.parse_next_request(id, io, events);
        }
        self.read(id, io, events);
        self.settle(id, events);
    }

    /// Begins the next turn: looks at the connections whose next request may have had to wait for it.
    pub fn resume(&mut self, io: &mut IoContext<'_>, events: &mut Vec<ServerEvent<E>>) {
        self.turn += 1;
        for id in std::mem::take(&mut self.deferred) {
            self.continue_reading(id, io, events);
        }
    }

    /// Returns whether a connection's next request may wait for the next turn, which should begin at once.
    pub fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Takes the next request of a connection, and reads what was left unread.
    fn continue_reading(&mut self, id: SocketId, io: &mut IoContext<'_>, events: &mut Vec<ServerEvent<E>>) {
        self.parse_next_request(id, io, events);
        if self.get(id).is_some_and(|connection| connection.has_unread && connection.can_take_request()) {
            self.read(id, io, events);
        }
        self.settle(id, events);
    }

    /// Returns the number of bytes that are read ahead of an answer, which a receive buffer holds too.
    fn max_read_ahead(&self) -> usize {
        self.budget.receive_buffer().unwrap_or(MAX_READ_AHEAD).min(MAX_READ_AHEAD)
    }

    /// Reads until nothing waits, and emits the request that is complete. While a connection can't take its next request,
    /// reading stops after [`Server::max_read_ahead`] bytes; what is left is read when it can, unless the peer has closed.
    fn read(&mut self, id: SocketId, io: &mut IoContext<'_>, events: &mut Vec<ServerEvent<E>>) {
        let (max_read_ahead, turn) = (self.max_read_ahead(), self.turn);
        let mut discarded = 0;
        loop {
            let Some(connection) = self.get(id) else {
                return;
            };
            connection.has_unread = !connection.may_read(max_read_ahead, turn) || discarded > MAX_READ_AHEAD;
            if connection.has_unread {
                return self.stop_reading_ahead(id, events);
            }
            match connection.socket.read(io.buffer) {
                ReadOutcome::Bytes { count, may_have_more } => {
                    if connection.state == State::Closing {
                        discarded += count;
                    } else {
                        connection.http.receive(&io.buffer[..count]);
                    }
                    if connection.can_take_request() {
                        connection.last_progress = io.now;
                        self.parse_next_request(id, io, events);
                    }
                    if !may_have_more {
                        return;
                    }
                }
                ReadOutcome::WouldBlock => return,
                ReadOutcome::Closed => return self.on_peer_closed(id, events),
                ReadOutcome::Broken => return self.on_broken(id, events),
            }
        }
    }

    /// Leaves further requests unread, or ends the connection if its peer is gone.
    fn stop_reading_ahead(&mut self, id: SocketId, events: &mut Vec<ServerEvent<E>>) {
        if self.get(id).is_some_and(|connection| connection.socket.is_read_closed()) {
            self.on_peer_closed(id, events);
        }
    }

    /// Removes a connection that the peer has closed, and reports it if a request is unanswered. If the peer hasn't
    /// acknowledged its answers yet, the connection is kept until it has.
    fn on_peer_closed(&mut self, id: SocketId, events: &mut Vec<ServerEvent<E>>) {
        let Some(connection) = self.get(id) else {
            return;
        };
        if connection.state != State::AwaitingAnswer && connection.socket.has_unacknowledged() {
            return connection.begin_closing();
        }
        self.on_broken(id, events);
    }

    /// Removes a connection that is broken, and reports it if a request is unanswered.
    fn on_broken(&mut self, id: SocketId, events: &mut Vec<ServerEvent<E>>) {
        let Some(connection) = self.get(id) else {
            return;
        };
        if connection.state == State::AwaitingAnswer {
            events.push(ServerEvent::Disconnected { connection: id });
        }
        self.discard(id.slot as usize);
    }

    /// Emits the next request of a connection that can take one if it is complete, or a fault if it isn't valid.
    fn parse_next_request(&mut self, id: SocketId, io: &IoContext<'_>, events: &mut Vec<ServerEvent<E>>) {
        let turn = self.turn;
        let may_take =
            |connection: &&mut Connection<E>| connection.can_take_request() && connection.may_take_request_in(turn);
        let Some(connection) = self.get(id).filter(may_take) else {
            return;
        };
        let endpoint = connection.endpoint;
        match connection.advance(io) {
            ServerProgress::NeedMore { continue_expected: false } => {}
            ServerProgress::NeedMore { continue_expected: true } => {
                let outcome = connection.socket.write(CONTINUE_RESPONSE.to_vec(), io.registry);
                self.handle_write_outcome(id, outcome, events);
            }
            ServerProgress::Ready(request) => {
                connection.begin_answer(&request, turn);
                let info = connection.info;
                connection.info.is_new = false;
                let is_last_in_turn = !connection.may_take_request_in(turn);
                let is_long = connection.request_bytes > self.max_read_ahead();
                if is_last_in_turn {
                    self.deferred.push(id);
                }
                self.settle(id, events);
                if is_long && self.budget.is_exceeded() {
                    return self.drop_request(id, events);
                }
                events.push(ServerEvent::Request { connection: id, endpoint, request, info });
            }
            ServerProgress::Fault(fault) => {
                connection.state = State::AwaitingAnswer;
                events.push(ServerEvent::Fault { connection: id, fault });
            }
        }
    }

    /// Writes the answer to the connection's current request. If `closes` is set, the connection ends after the answer.
    pub fn respond(
        &mut self,
        id: SocketId,
        answer: Vec<u8>,
        closes: bool,
        io: &mut IoContext<'_>,
        events: &mut Vec<ServerEvent<E>>,
    ) {
        let Some(connection) = self.get(id) else {
            return;
        };
        connection.end_answer(io.now, closes);
        let outcome = connection.socket.write(answer, io.registry);
        if !self.handle_write_outcome(id, outcome, events) {
            return;
        }
        self.continue_reading(id, io, events);
    }

    /// Handles the outcome of a write. Returns whether the connection still exists.
    fn handle_write_outcome(&mut self, id: SocketId, outcome: WriteOutcome, events: &mut Vec<ServerEvent<E>>) -> bool {
        let Some(connection) = self.get(id) else {
            return false;
        };
        match outcome {
            WriteOutcome::Blocked => true,
            WriteOutcome::Done => {
                if connection.state == State::Closing {
                    // The peer closes the connection when it has read everything. If this side closed first, a reset
                    // could discard what the peer hasn't read.
                    connection.socket.shutdown_write();
                }
                true
            }
            WriteOutcome::Broken => {
                self.on_broken(id, events);
                false
            }
        }
    }

    /// Looks after the listeners that have stopped listening or had no descriptor, and ends connections whose timeouts
    /// have passed. Where a request has partly arrived, the connection isn't ended yet but reported by
    /// [`ServerEvent::RequestTimedOut`].
    pub fn sweep(
        &mut self,
        now: BootTime,
        timeouts: ServerTimeouts,
        registry: &Registry,
        events: &mut Vec<ServerEvent<E>>,
    ) {
        self.sweep_listeners(now, registry);
        let mut expired = Vec::new();
        for (slot, connection) in &mut self.connections {
            match connection.check_timeouts(now, timeouts) {
                TimeoutOutcome::Stays => {}
                TimeoutOutcome::Expired => expired.push(slot),
                TimeoutOutcome::RequestLate => {
                    let generation = connection.generation;
                    let id = SocketId { kind: SocketKind::Inbound, generation, slot: slot as u32 };
                    events.push(ServerEvent::RequestTimedOut { connection: id });
                }
            }
        }
        for slot in expired {
            self.discard(slot);
        }
    }
}
