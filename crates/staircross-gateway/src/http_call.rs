//! An HTTP client for calls to the store or to a peer, one call at a time.
//!
//! [`HttpCaller`] owns a connection and the call in flight on it. It relies on `socket` for reading and writing, and on
//! `staircross_http` for the format of messages. Its user interprets the answers.
//!
//! The connection is kept between calls. A call that times out closes the connection, so that a late answer is never
//! taken for the answer to a later call.
//!
//! | what stays silent | timeout |
//! | --- | --- |
//! | a connection that isn't established yet | `CONNECT_PATIENCE` |
//! | a server that has got the request | the timeout that the call was made with |
//! | a server in the middle of its answer | `PROGRESS_PATIENCE`, and `MAX_PATIENCE` for the whole call |
//! | a host that acknowledges nothing | `USER_TIMEOUT_MS`, or the keep-alive probes while nothing is sent |

use crate::socket::{ConnectingState, IoContext, ReadOutcome, Socket, SocketId, SocketKind, WriteOutcome};
use rustix::net::sockopt;
use staircross_http::client::Expected;
use staircross_http::{Answer, ClientConnection, ClientProgress, write};
use staircross_types::BootTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of an answer in bytes; a longer one fails the call. A page of the store has about 1 MB, so this only
/// bounds the memory.
const MAX_ANSWER: usize = 32 * 1024 * 1024;
/// Timeout after each part of an answer. Giving up an answer that has partly arrived and asking for it again would add
/// load to a busy server.
const PROGRESS_PATIENCE: Duration = Duration::from_millis(1000);
/// Maximum time from a call's start to the end of its answer, however steadily the answer arrives.
const MAX_PATIENCE: Duration = Duration::from_secs(10);
/// Timeout for establishing a connection. Shorter than the timeout of every call, so that a host that is gone is
/// noticed first.
const CONNECT_PATIENCE: Duration = Duration::from_millis(700);
/// Idle time of a connection after which the kernel probes it. Together with `KEEP_ALIVE_INTERVAL` and
/// `KEEP_ALIVE_COUNT`, an unreachable host is noticed within four seconds.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two keep-alive probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which the connection is broken. More than one, so that one probe may be
/// lost.
const KEEP_ALIVE_COUNT: u32 = 2;
/// Maximum time for which written bytes may stay unacknowledged, in milliseconds. Between the timeout of a call and the
/// four seconds of the keep-alive probes.
const USER_TIMEOUT_MS: u32 = 2500;

/// The outcome of a call.
#[derive(Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The server answered.
    Answered(Box<Answer>),
    /// No connection could be established, the connection broke, or the call timed out.
    Failed,
}

struct Link {
    socket: Socket,
    http: ClientConnection,
    is_up: bool,
}

struct Pending {
    /// When the call times out unless more of its answer arrives.
    due: BootTime,
    /// When the call times out however much of its answer has arrived.
    latest: BootTime,
    /// When the call times out if it hasn't been sent.
    connect_due: BootTime,
    request: Vec<u8>,
    is_sent: bool,
}

/// A client of one HTTP server that makes one call at a time.
pub struct HttpCaller {
    id_kind: SocketKind,
    slot: u32,
    generation: u32,
    address: SocketAddr,
    link: Option<Link>,
    pending: Option<Pending>,
    /// Bytes sent and received since [`HttpCaller::take_bytes`] was last called.
    bytes: usize,
}

impl HttpCaller {
    /// Creates a client of the server at `address`. Its socket ids carry `id_kind` and `slot`.
    pub fn new(id_kind: SocketKind, slot: u32, address: SocketAddr) -> Self {
        HttpCaller { id_kind, slot, generation: 0, address, link: None, pending: None, bytes: 0 }
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
            self.link = None;
            self.pending = None;
        }
    }

    /// Returns the number of bytes sent and received since the last call of this function, and resets it.
    pub fn take_bytes(&mut self) -> usize {
        std::mem::take(&mut self.bytes)
    }

    /// Whether a call is in flight.
    pub fn is_calling(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns when the call in flight times out.
    pub fn next_wake(&self) -> Option<BootTime> {
        let pending = self.pending.as_ref()?;
        Some(if pending.is_sent { pending.due } else { pending.due.min(pending.connect_due) })
    }

    /// Starts a `GET` call; any earlier call must have ended. Returns the outcome if the call fails at once.
    pub fn get(&mut self, target: &str, patience: Duration, io: &mut IoContext<'_>) -> Option<CallOutcome> {
        let mut request = Vec::with_capacity(160);
        write::request_line(&mut request, "GET", target);
        write::field_display(&mut request, "Host", self.address);
        write::end_head(&mut request);
        let due = io.now + patience;
        let connect_due = io.now + CONNECT_PATIENCE;
        let latest = due.max(io.now + MAX_PATIENCE);
        self.pending = Some(Pending { due, latest, connect_due, request, is_sent: false });
        if self.link.is_none() && !self.connect(io) {
            return Some(self.fail());
        }
        self.send_if_up(io)
    }

    fn connect(&mut self, io: &mut IoContext<'_>) -> bool {
        self.generation = self.generation.wrapping_add(1);
        let id = SocketId { kind: self.id_kind, generation: self.generation, slot: self.slot };
        let Ok(socket) = Socket::connecting(self.address, id.token(), io.registry) else {
            return false;
        };
        watch_for_silence(&socket);
        self.link = Some(Link { socket, http: ClientConnection::new(MAX_ANSWER), is_up: false });
        true
    }

    fn send_if_up(&mut self, io: &mut IoContext<'_>) -> Option<CallOutcome> {
        let link = self.link.as_mut().filter(|link| link.is_up)?;
        let pending = self.pending.as_mut().filter(|pending| !pending.is_sent)?;
        pending.is_sent = true;
        link.http.expect(Expected { method: "GET".to_owned(), id: None });
        let bytes = std::mem::take(&mut pending.request);
        self.bytes += bytes.len();
        if link.socket.write(bytes, io.registry) == WriteOutcome::Broken {
            return Some(self.fail());
        }
        None
    }

    /// Cancels the call in flight without an outcome, and closes the connection.
    pub fn cancel(&mut self) {
        self.link = None;
        self.pending = None;
    }

    fn fail(&mut self) -> CallOutcome {
        self.cancel();
        CallOutcome::Failed
    }

    /// Handles a readiness event of the connection. Returns the outcome if the call in flight ends.
    pub fn on_ready(&mut self, id: SocketId, is_writable: bool, io: &mut IoContext<'_>) -> Option<CallOutcome> {
        if id.generation != self.generation {
            return None;
        }
        let link = self.link.as_mut()?;
        if !link.is_up {
            match link.socket.connecting_state() {
                ConnectingState::Underway => return None,
                ConnectingState::Reset | ConnectingState::Failed => return self.end_broken(),
                ConnectingState::Up => link.is_up = true,
            }
            if link.socket.flush(io.registry) == WriteOutcome::Broken {
                return self.end_broken();
            }
            return self.send_if_up(io);
        }
        if is_writable && link.socket.flush(io.registry) == WriteOutcome::Broken {
            return self.end_broken();
        }
        self.read(io)
    }

    fn read(&mut self, io: &mut IoContext<'_>) -> Option<CallOutcome> {
        loop {
            let link = self.link.as_mut()?;
            let (progress, is_full) = match link.socket.read(io.buffer) {
                ReadOutcome::Bytes { count, is_full } => {
                    link.http.receive(&io.buffer[..count]);
                    self.bytes += count;
                    if let Some(pending) = &mut self.pending {
                        pending.due = pending.due.max(io.now + PROGRESS_PATIENCE).min(pending.latest);
                    }
                    (link.http.advance(), is_full)
                }
                ReadOutcome::Nothing => return None,
                ReadOutcome::Closed => (link.http.on_close(), false),
                ReadOutcome::Broken => return self.end_broken(),
            };
            match progress {
                ClientProgress::Answered(answer) => return Some(self.answered(answer)),
                ClientProgress::Broken(_) | ClientProgress::Skipped => return self.end_broken(),
                ClientProgress::NeedMore if is_full => {}
                ClientProgress::NeedMore => return None,
            }
        }
    }

    fn answered(&mut self, answer: Box<Answer>) -> CallOutcome {
        self.pending = None;
        if !answer.is_reusable {
            self.link = None;
        }
        CallOutcome::Answered(answer)
    }

    /// Closes a broken connection. Returns an outcome only if a call was in flight.
    fn end_broken(&mut self) -> Option<CallOutcome> {
        let was_calling = self.pending.is_some();
        self.cancel();
        was_calling.then_some(CallOutcome::Failed)
    }

    /// Fails the call in flight if it has timed out.
    pub fn on_tick(&mut self, now: BootTime) -> Option<CallOutcome> {
        let is_over = self.next_wake().is_some_and(|due| due <= now);
        is_over.then(|| self.fail())
    }
}

/// Sets the options by which the kernel notices a host that sends nothing more, not even a reset. Errors are ignored:
/// without these options the call's own timeout notices it, only later.
fn watch_for_silence(socket: &Socket) {
    let stream = socket.stream();
    let _keep_alive = sockopt::set_socket_keepalive(stream, true);
    let _idle = sockopt::set_tcp_keepidle(stream, KEEP_ALIVE_IDLE);
    let _interval = sockopt::set_tcp_keepintvl(stream, KEEP_ALIVE_INTERVAL);
    let _count = sockopt::set_tcp_keepcnt(stream, KEEP_ALIVE_COUNT);
    let _unacknowledged = sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS);
}
