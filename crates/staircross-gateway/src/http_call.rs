//! An HTTP client for calls to the store or to a peer, one call at a time.
//!
//! [`HttpClient`] owns a connection and the call in flight on it. It relies on `socket` for reading and writing, and on
//! `staircross_http` for the format of messages. Its user interprets the answers.
//!
//! The connection is kept between calls, unless [`ConnectionReuse`] forbids it. A call that times out closes the
//! connection, so that a late answer is never taken for the answer to a later call.
//!
//! | what stays silent | timeout |
//! | --- | --- |
//! | a connection that isn't established yet | `CONNECT_TIMEOUT` |
//! | a server that has got the request | the timeout that the call was made with |
//! | a server in the middle of its answer | `PROGRESS_TIMEOUT`, and `MAX_CALL_TIME` for the whole call |
//! | a host that acknowledges nothing | `TCP_USER_TIMEOUT_MS`, or the keep-alive probes while nothing is sent |

use crate::connection_reuse::{ConnectionReuse, Evidence};
use rustix::net::sockopt;
use staircross_http::expected::Expected;
use staircross_http::{Answer, ClientConnection, ClientFault, ClientProgress, write};
use staircross_transport::socket::{
    ConnectingState, IoContext, ReadOutcome, Readiness, Socket, SocketId, SocketKind, WriteOutcome,
};
use staircross_types::BootTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout after each part of an answer. Giving up an answer that has partly arrived and asking for it again would add
/// load to a busy server.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum time from a call's start to the end of its answer, however steadily the answer arrives.
const MAX_CALL_TIME: Duration = Duration::from_secs(10);
/// Timeout for establishing a connection. This timeout is shorter than the timeout of every call, so that a host that
/// is gone is noticed first.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle time of a connection after which the kernel probes it. Together with `KEEP_ALIVE_INTERVAL` and
/// `KEEP_ALIVE_COUNT`, an unreachable host is noticed within four seconds.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two keep-alive probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which the connection is broken. It is more than one, so that one probe
/// may be lost.
const KEEP_ALIVE_COUNT: u32 = 2;
/// Maximum time for which written bytes may stay unacknowledged, in milliseconds. The time lies between the timeout of
/// a call and the four seconds of the keep-alive probes.
const TCP_USER_TIMEOUT_MS: u32 = 2500;

/// The outcome of a call.
#[derive(Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The server answered.
    Answered(Box<Answer>),
    /// The call has no answer.
    Failed(CallFailure),
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection could be established, the connection broke, or the call timed out.
    Unanswered,
    /// The answer is longer than allowed.
    TooLong,
}

struct Connection {
    socket: Socket,
    http: ClientConnection,
    is_established: bool,
}

struct PendingCall {
    /// Time at which the call times out unless more of its answer arrives.
    deadline: BootTime,
    /// Time at which the call times out however much of its answer has arrived.
    overall_deadline: BootTime,
    /// Time at which the call times out if it hasn't been sent.
    connect_deadline: BootTime,
    request: Vec<u8>,
    is_sent: bool,
}

/// A client of one HTTP server that makes one call at a time.
pub struct HttpClient {
    socket_kind: SocketKind,
    slot: u32,
    generation: u32,
    address: SocketAddr,
    /// Maximum size of an answer's body in bytes.
    max_answer: usize,
    connection: Option<Connection>,
    reuse: ConnectionReuse,
    pending: Option<PendingCall>,
    /// Bytes sent and received since [`HttpClient::take_bytes`] was last called.
    bytes: usize,
}

impl HttpClient {
    /// Creates a client of the server at `address`. Its socket ids carry `socket_kind` and `slot`. An answer whose body
    /// has more than `max_answer` bytes fails its call.
    pub fn new(socket_kind: SocketKind, slot: u32, address: SocketAddr, max_answer: usize) -> Self {
        HttpClient {
            socket_kind,
            slot,
            generation: 0,
            address,
            max_answer,
            connection: None,
            reuse: ConnectionReuse::default(),
            pending: None,
            bytes: 0,
        }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the server's address. If it differs from the present one, the connection is closed and the call in
    /// flight is cancelled.
    pub fn set_address(&mut self, address: SocketAddr) {
        if address != self.address {
            self.address = address;
            self.reuse = ConnectionReuse::default();
            self.cancel();
        }
    }

    /// Returns the number of bytes sent and received since the last call of this function, and resets it.
    pub fn take_bytes(&mut self) -> usize {
        std::mem::take(&mut self.bytes)
    }

    /// Returns whether a call is in flight.
    pub fn is_call_in_flight(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns whether a part of the answer to the call in flight has arrived.
    pub fn is_receiving(&self) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.http.has_unread_bytes())
    }

    /// Returns when the call in flight times out.
    pub fn next_wake(&self) -> Option<BootTime> {
        let pending = self.pending.as_ref()?;
        Some(if pending.is_sent { pending.deadline } else { pending.deadline.min(pending.connect_deadline) })
    }

    /// Starts a `GET` call; any earlier call must have ended. Returns the outcome if the call fails at once.
    pub fn get(&mut self, target: &str, timeout: Duration, io: &mut IoContext<'_>) -> Option<CallOutcome> {
        self.get_with_fields(target, &[], timeout, io)
    }

    /// Starts a `GET` call like [`HttpClient::get`], with further header fields.
    pub fn get_with_fields(
        &mut self,
        target: &str,
        fields: &[(&str, &str)],
        timeout: Duration,
        io: &mut IoContext<'_>,
    ) -> Option<CallOutcome> {
        let mut request = Vec::with_capacity(160);
        write::request_line(&mut request, "GET", target);
        write::field_display(&mut request, "Host", self.address);
        fields.iter().for_each(|(name, value)| write::field(&mut request, name, value.as_bytes()));
        write::end_head(&mut request);
        let deadline = io.now + timeout;
        let connect_deadline = io.now + CONNECT_TIMEOUT;
        let overall_deadline = deadline.max(io.now + MAX_CALL_TIME);
        self.pending = Some(PendingCall { deadline, overall_deadline, connect_deadline, request, is_sent: false });
        if self.connection.is_none() && !self.start_connecting(io) {
            return Some(self.fail_call());
        }
        self.send_if_established(io)
    }

    /// Returns whether the attempt could be started.
    fn start_connecting(&mut self, io: &mut IoContext<'_>) -> bool {
        self.generation = self.generation.wrapping_add(1);
        let id = SocketId { kind: self.socket_kind, generation: self.generation, slot: self.slot };
        let Ok(socket) = Socket::connecting(self.address, id.token(), io.registry) else {
            return false;
        };
        enable_dead_host_detection(&socket);
        self.connection =
            Some(Connection { socket, http: ClientConnection::new(self.max_answer), is_established: false });
        true
    }

    /// Sends the pending call if the connection is established and the call hasn't been sent yet.
    fn send_if_established(&mut self, io: &mut IoContext<'_>) -> Option<CallOutcome> {
        let connection = self.connection.as_mut().filter(|connection| connection.is_established)?;
        let pending = self.pending.as_mut().filter(|pending| !pending.is_sent)?;
        pending.is_sent = true;
        connection.http.expect(Expected { method: "GET".to_owned(), id: None });
        let bytes = std::mem::take(&mut pending.request);
        self.bytes += bytes.len();
        if connection.socket.write(bytes, io.registry) == WriteOutcome::Broken {
            return Some(self.fail_call());
        }
        None
    }

    /// Cancels the call in flight without an outcome, and closes the connection.
    pub fn cancel(&mut self) {
        self.connection = None;
        self.pending = None;
    }

    fn fail_call(&mut self) -> CallOutcome {
        self.cancel();
        CallOutcome::Failed(CallFailure::Unanswered)
    }

    /// Handles a readiness event of the connection. Returns the outcome if the call in flight ends.
    pub fn on_ready(&mut self, id: SocketId, readiness: Readiness, io: &mut IoContext<'_>) -> Option<CallOutcome> {
        if id.generation != self.generation {
            return None;
        }
        let connection = self.connection.as_mut()?;
        connection.socket.note_readiness(readiness);
        if !connection.is_established {
            match connection.socket.connecting_state() {
                ConnectingState::InProgress => return None,
                ConnectingState::Reset | ConnectingState::Failed => return self.close_broken(),
                ConnectingState::Established => connection.is_established = true,
            }
            // The server has closed the connection, or has sent bytes that belong to no call.
            if readiness.is_readable || connection.socket.flush(io.registry) == WriteOutcome::Broken {
                return self.close_broken();
            }
            return self.send_if_established(io);
        }
        if readiness.is_writable && connection.socket.flush(io.registry) == WriteOutcome::Broken {
            return self.close_broken();
        }
        self.read(io)
    }

    /// Reads until nothing waits, also after the answer: a close or further bytes behind it end the connection, so that
    /// the next call isn't sent on it.
    fn read(&mut self, io: &mut IoContext<'_>) -> Option<CallOutcome> {
        let mut outcome = None;
        while let Some(connection) = &mut self.connection {
            match connection.socket.read(io.buffer) {
                ReadOutcome::Bytes { count, may_have_more } => {
                    connection.http.receive(&io.buffer[..count]);
                    self.bytes += count;
                    self.extend_deadline(io.now);
                    outcome = outcome.or(self.advance(io.now));
                    if !may_have_more {
                        break;
                    }
                }
                ReadOutcome::WouldBlock => break,
                ReadOutcome::Closed => {
                    let progress = connection.http.on_close();
                    outcome = outcome.or(self.handle_progress(progress, io.now));
                }
                ReadOutcome::Broken => outcome = outcome.or(self.close_broken()),
            }
        }
        outcome
    }

    /// Gives the call in flight more time, since part of its answer has arrived.
    fn extend_deadline(&mut self, now: BootTime) {
        if let Some(pending) = &mut self.pending {
            pending.deadline = pending.deadline.max(now + PROGRESS_TIMEOUT).min(pending.overall_deadline);
        }
    }

    /// Looks for the answer in the bytes received so far.
    fn advance(&mut self, now: BootTime) -> Option<CallOutcome> {
        let connection = self.connection.as_mut()?;
        if !connection.http.is_waiting() {
            // Answers carry no ids. Bytes that belong to no call could be taken for the answer to the next one.
            return self.close_broken();
        }
        let progress = connection.http.advance();
        self.handle_progress(progress, now)
    }

    fn handle_progress(&mut self, progress: ClientProgress, now: BootTime) -> Option<CallOutcome> {
        match progress {
            ClientProgress::NeedMore => None,
            ClientProgress::Answered(answer) => Some(self.complete_call(answer, now)),
            ClientProgress::Broken(ClientFault::Ambiguous) => {
                self.reuse.note_ambiguous(Evidence::Doubtful, now);
                self.close_broken()
            }
            ClientProgress::Broken(ClientFault::TooLong) => {
                self.cancel();
                Some(CallOutcome::Failed(CallFailure::TooLong))
            }
            ClientProgress::Broken(_) | ClientProgress::Skipped => self.close_broken(),
        }
    }

    fn complete_call(&mut self, answer: Box<Answer>, now: BootTime) -> CallOutcome {
        self.pending = None;
        if answer.needs_fresh_connection {
            self.reuse.note_ambiguous(Evidence::Certain, now);
        }
        let has_further_bytes = self.connection.as_ref().is_some_and(|connection| connection.http.has_unread_bytes());
        if !answer.is_reusable || has_further_bytes || !self.reuse.is_allowed(now) {
            self.connection = None;
        }
        CallOutcome::Answered(answer)
    }

    /// Closes a broken connection. Returns an outcome only if a call was in flight.
    fn close_broken(&mut self) -> Option<CallOutcome> {
        let was_calling = self.pending.is_some();
        self.cancel();
        was_calling.then_some(CallOutcome::Failed(CallFailure::Unanswered))
    }

    /// Fails the call in flight if it has timed out.
    pub fn on_tick(&mut self, now: BootTime) -> Option<CallOutcome> {
        let has_timed_out = self.next_wake().is_some_and(|deadline| deadline <= now);
        has_timed_out.then(|| self.fail_call())
    }
}

/// Sets the options by which the kernel notices a host that sends nothing more, not even a reset. Errors are ignored:
/// without these options the call's own timeout notices it, only later.
fn enable_dead_host_detection(socket: &Socket) {
    let stream = socket.stream();
    let _keep_alive = sockopt::set_socket_keepalive(stream, true);
    let _idle = sockopt::set_tcp_keepidle(stream, KEEP_ALIVE_IDLE);
    let _interval = sockopt::set_tcp_keepintvl(stream, KEEP_ALIVE_INTERVAL);
    let _count = sockopt::set_tcp_keepcnt(stream, KEEP_ALIVE_COUNT);
    let _unacknowledged = sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS);
}
