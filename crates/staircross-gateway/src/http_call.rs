//! One outgoing call at a time, to the store or a peer.
//!
//! Owns one connection and the call that is out on it. Relies on `socket` for bytes and on the HTTP crate for messages; what an answer
//! means is for the caller.
//!
//! The connection is kept between calls. A call that isn't answered in its time ends the connection,
//! so that a late answer can never be taken for that of a later call.
//!
//! | silence | bounded by |
//! | --- | --- |
//! | of a connection that isn't up yet | `CONNECT_PATIENCE` |
//! | of a server that has been asked | the call's own patience |
//! | of a server in the middle of an answer | `PROGRESS_PATIENCE`, and `MAX_PATIENCE` for the whole answer |
//! | of a host that acknowledges nothing | `USER_TIMEOUT_MS`, the keep-alive probes where nothing is sent |

use crate::socket::{ConnectingState, IoContext, ReadOutcome, Socket, SocketId, SocketKind, WriteOutcome};
use rustix::net::sockopt;
use staircross_http::client::Expected;
use staircross_http::{Answer, ClientConnection, ClientProgress, write};
use staircross_types::BootTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest answer, in bytes; a longer one breaks the call. Far above a page of the store, about 1 MB, so that it bounds the memory only.
const MAX_ANSWER: usize = 32 * 1024 * 1024;
/// Silence that is borne after each piece of an answer: giving up one that is half there and asking for it again makes a busy server
/// busier.
const PROGRESS_PATIENCE: Duration = Duration::from_millis(1000);
/// Longest time from a call's start to its answer's end, however steadily that comes in.
const MAX_PATIENCE: Duration = Duration::from_secs(10);
/// Longest wait for a connection. Below the patience of every call, so that a host that is gone is noticed before.
const CONNECT_PATIENCE: Duration = Duration::from_millis(700);
/// Silence of a connection after which the kernel probes it. With the two figures below a host that is cut off is noticed in
/// four seconds.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between these probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection is broken. So that one may be lost.
const KEEP_ALIVE_COUNT: u32 = 2;
/// Longest time that written bytes may stay unacknowledged, in milliseconds. Between a call's patience and the keep-alive probes' four seconds.
const USER_TIMEOUT_MS: u32 = 2500;

/// How a call ended.
#[derive(Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered.
    Answered(Box<Answer>),
    /// No connection, a broken one, or no answer in time.
    Failed,
}

struct Link {
    socket: Socket,
    http: ClientConnection,
    is_up: bool,
}

struct Pending {
    /// When the call is over unless more of its answer comes.
    due: BootTime,
    /// When the call is over however much of its answer has come.
    latest: BootTime,
    /// When the call is over unless it has been sent.
    connect_due: BootTime,
    request: Vec<u8>,
    is_sent: bool,
}

/// A caller of one HTTP server, one call at a time.
pub struct HttpCaller {
    id_kind: SocketKind,
    slot: u32,
    generation: u32,
    address: SocketAddr,
    link: Option<Link>,
    pending: Option<Pending>,
    /// Bytes sent and received that aren't counted as traffic yet.
    bytes: usize,
}

impl HttpCaller {
    /// A caller of `address`; its tokens carry `id_kind` and `slot`.
    pub fn new(id_kind: SocketKind, slot: u32, address: SocketAddr) -> Self {
        HttpCaller { id_kind, slot, generation: 0, address, link: None, pending: None, bytes: 0 }
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls another server from now on.
    pub fn set_address(&mut self, address: SocketAddr) {
        if address != self.address {
            self.address = address;
            self.link = None;
            self.pending = None;
        }
    }

    /// Bytes sent and received since this was asked last.
    pub fn take_bytes(&mut self) -> usize {
        std::mem::take(&mut self.bytes)
    }

    /// Whether a call is out.
    pub fn is_calling(&self) -> bool {
        self.pending.is_some()
    }

    /// When the call's time is over.
    pub fn next_wake(&self) -> Option<BootTime> {
        let pending = self.pending.as_ref()?;
        Some(if pending.is_sent { pending.due } else { pending.due.min(pending.connect_due) })
    }

    /// Begins a `GET`; any call before it must have ended.
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

    /// Gives up the call and its connection, without an outcome.
    pub fn cancel(&mut self) {
        self.link = None;
        self.pending = None;
    }

    fn fail(&mut self) -> CallOutcome {
        self.cancel();
        CallOutcome::Failed
    }

    /// Takes readiness of the connection.
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

    /// The connection is over; that matters only to a call that is out.
    fn end_broken(&mut self) -> Option<CallOutcome> {
        let was_calling = self.pending.is_some();
        self.cancel();
        was_calling.then_some(CallOutcome::Failed)
    }

    /// Ends a call whose time is over.
    pub fn on_tick(&mut self, now: BootTime) -> Option<CallOutcome> {
        let is_over = self.next_wake().is_some_and(|due| due <= now);
        is_over.then(|| self.fail())
    }
}

/// A host that sends nothing more, not even a reset, must be noticed. Best effort, so errors are left: without
/// these options the call's own time-out does it, only later.
fn watch_for_silence(socket: &Socket) {
    let stream = socket.stream();
    let _keep_alive = sockopt::set_socket_keepalive(stream, true);
    let _idle = sockopt::set_tcp_keepidle(stream, KEEP_ALIVE_IDLE);
    let _interval = sockopt::set_tcp_keepintvl(stream, KEEP_ALIVE_INTERVAL);
    let _count = sockopt::set_tcp_keepcnt(stream, KEEP_ALIVE_COUNT);
    let _unacknowledged = sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS);
}
