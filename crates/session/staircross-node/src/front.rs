//! HTTP server for callers and operators.
//!
//! One thread owns the listener and all connections. It converts each request into a typed command for the core
//! thread and writes the reply when the core sends it. The number of connections, the length of a request and the time
//! that a caller may take to send one are bounded.
//!
//! In a planned stop the server goes on until the core has nothing left to do. Then it stops listening, answers
//! whoever still sends, and ends when no caller uses a connection any more. The core ends after the server, so that it
//! handles every command that the server has sent.

mod response;
mod route;
mod statement;

use crate::caller::{CallerCommand, CallerReply};
use crate::event::CoreEvent;
use crate::front_message::{FrontMessage, FrontReceiver, FrontSender};
use crate::logs::Logs;
use crate::metrics::Metrics;
use crossbeam::channel::{Receiver, Sender};
use hashbrown::HashMap;
use mio::{Events, Poll};
use response::{Framing, Response};
use route::{Route, find_route};
use spdlog::{error, info, warn};
use staircross_config::{LimitSettings, Settings};
use staircross_http::{Request, ServerFault, ServerLimits};
use staircross_search::Refusal;
use staircross_transport::server::{Server, ServerEvent, ServerTimeouts};
use staircross_transport::socket::{IoContext, READ_CHUNK, SocketId, SocketKind};
use staircross_types::boot_clock as clock;
use staircross_types::{BootTime, ErrorKind};
use statement::read_statement;
use std::io;
use std::time::Duration;

/// Maximum length of a request's first line and header fields, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of events that one poll returns; the next turn gets the others.
const EVENT_CAPACITY: usize = 1024;
/// Interval at which timeouts and the end of a stop are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest silence within a request that a stopping node waits for after its listener has closed.
const STOPPING_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The only listener of the server.
#[derive(Clone, Copy, PartialEq, Eq)]
struct CallerEndpoint;

/// Arguments of [`start`].
pub struct FrontParts<'a> {
    /// Settings of the node.
    pub settings: &'a Settings,
    /// Channel to the core.
    pub events: Sender<CoreEvent>,
    /// Sender whose messages this server receives.
    pub sender: FrontSender,
    /// Messages of the core.
    pub receiver: FrontReceiver,
    /// Loggers of the node.
    pub logs: Logs,
    /// Metrics of the node.
    pub metrics: Metrics,
}

/// Listens on the node's address for callers and starts the server's thread.
///
/// # Errors
///
/// Returns an error if the address can't be bound or the thread can't be started.
pub fn start(parts: FrontParts<'_>) -> io::Result<()> {
    let limits = &parts.settings.limits;
    // Connections with their requests keep to the first part by themselves. The rest is room for responses that callers
    // haven't read yet, which a small limit on requests must not take.
    let max_bytes =
        Server::<CallerEndpoint>::bytes_for(limits.caller_connections, limits.request_bytes) + limits.reply_bytes;
    let mut server =
        Server::new(limits.caller_connections).with_rejection(connection_rejection()).with_max_bytes(max_bytes);
    server.listen(CallerEndpoint, parts.settings.node.listen, parts.receiver.poll.registry())?;
    let end_notice = EndNotice(parts.events.clone());
    let front = Front {
        events: parts.events,
        sender: parts.sender,
        messages: parts.receiver.messages,
        poll: parts.receiver.poll,
        limits: parts.settings.limits.clone(),
        logs: parts.logs,
        metrics: parts.metrics,
        server,
        server_events: Vec::new(),
        buffer: Box::new([0; READ_CHUNK]),
        awaiting_reply: HashMap::new(),
        is_leaving: false,
        now: clock::now(),
        next_tick: clock::now(),
    };
    let run = move || {
        let _sent_when_the_thread_ends = end_notice;
        front.run();
    };
    std::thread::Builder::new().name("front".to_owned()).spawn(run).map(|_| ())
}

/// Returns the response to connections beyond the limit.
fn connection_rejection() -> Vec<u8> {
    let refusal = Refusal::new(ErrorKind::Overloaded, "the node has as many connections as it may; ask another");
    Response::refusal(&refusal).to_bytes(Framing { announces_close: true, is_head: false })
}

/// Tells the core on drop that the server has ended, also when its thread panics.
struct EndNotice(Sender<CoreEvent>);

impl Drop for EndNotice {
    fn drop(&mut self) {
        // Sending fails only if the core has ended first.
        let _core_may_have_ended = self.0.send(CoreEvent::FrontEnded);
    }
}

/// A request that waits for the core's reply.
#[derive(Clone, Copy)]
struct AwaitingReply {
    /// Whether the request is a readiness check, whose response shows part of the node's state.
    is_readiness: bool,
    exchange: Exchange,
}

/// Properties of a request that its response depends on.
#[derive(Clone, Copy)]
struct Exchange {
    connection: SocketId,
    keeps_alive: bool,
    is_head: bool,
}

/// The server with its connections.
struct Front {
    events: Sender<CoreEvent>,
    sender: FrontSender,
    messages: Receiver<FrontMessage>,
    poll: Poll,
    limits: LimitSettings,
    logs: Logs,
    metrics: Metrics,
    server: Server<CallerEndpoint>,
    /// Events of the server that haven't been handled yet. They are handled in a loop, because the response to one
    /// request may bring the event of the next.
    server_events: Vec<ServerEvent<CallerEndpoint>>,
    buffer: Box<[u8; READ_CHUNK]>,
    awaiting_reply: HashMap<SocketId, AwaitingReply>,
    /// Whether a planned stop has begun.
    is_leaving: bool,
    now: BootTime,
    next_tick: BootTime,
}

impl Front {
    /// Serves callers until a planned stop is complete.
    fn run(mut self) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        while !self.server.is_drained(self.now, CallerEndpoint) {
            match self.poll.poll(&mut events, Some(self.poll_timeout())) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => events.clear(),
                Err(error) => {
                    error!(logger: self.logs.front, "event=poll_failed error={error}");
                    return;
                }
            }
            self.now = clock::now();
            self.handle_messages();
            self.handle_server_events();
            self.handle_socket_events(&events);
            self.resume_server();
            if self.now >= self.next_tick {
                self.next_tick = self.now + TICK_INTERVAL;
                self.sweep();
            }
        }
        info!(logger: self.logs.front, "event=callers_left");
    }

    /// Returns the time until the next tick, or none if requests wait for the next turn.
    fn poll_timeout(&self) -> Duration {
        if self.server.has_deferred() { Duration::ZERO } else { clock::now().until(self.next_tick) }
    }

    /// Takes the requests that had to wait for the next turn.
    fn resume_server(&mut self) {
        let mut io = io_context(self.now, &self.poll, &mut self.buffer, &self.limits);
        self.server.resume(&mut io, &mut self.server_events);
        self.handle_server_events();
    }

    fn handle_messages(&mut self) {
        while let Ok(message) = self.messages.try_recv() {
            match message {
                FrontMessage::Reply { connection, reply } => self.on_reply(connection, reply.map(|reply| *reply)),
                FrontMessage::StopBegun => self.is_leaving = true,
                FrontMessage::StopListening => self.stop_listening(),
            }
        }
    }

    fn stop_listening(&mut self) {
        if let Err(error) = self.server.stop_listening(self.now, CallerEndpoint) {
            warn!(logger: self.logs.front, "event=filter_refused error={error}");
        }
    }

    fn handle_socket_events(&mut self, events: &Events) {
        for event in events {
            let Some(id) = SocketId::from_token(event.token()) else {
                continue;
            };
            if id.kind == SocketKind::Listener {
                self.server.accept_connections(self.now, id, self.poll.registry());
                continue;
            }
            let mut io = io_context(self.now, &self.poll, &mut self.buffer, &self.limits);
            self.server.on_ready(id, event.into(), &mut io, &mut self.server_events);
            self.handle_server_events();
        }
    }

    fn sweep(&mut self) {
        let caller_timeout = Duration::from_millis(self.limits.caller_timeout_ms);
        let partial_request = match self.server.is_listening(CallerEndpoint) {
            true => caller_timeout,
            false => caller_timeout.min(STOPPING_REQUEST_TIMEOUT),
        };
        let timeouts = ServerTimeouts { partial_request, idle: caller_timeout };
        self.server.sweep(self.now, timeouts, self.poll.registry(), &mut self.server_events);
        self.handle_server_events();
        let count = self.server.take_stalled_count();
        if count > 0 {
            warn!(logger: self.logs.front, "event=connections_ended cause=stalled count={count}");
        }
    }

    fn handle_server_events(&mut self) {
        while !self.server_events.is_empty() {
            for event in std::mem::take(&mut self.server_events) {
                self.on_server_event(event);
            }
        }
    }

    fn on_server_event(&mut self, event: ServerEvent<CallerEndpoint>) {
        match event {
            ServerEvent::Request { connection, request, .. } => self.on_request(connection, *request),
            ServerEvent::Fault { connection, fault } => self.refuse_connection(connection, &self.refusal_of(fault)),
            ServerEvent::RequestTimedOut { connection } => {
                let kind = if self.is_leaving { ErrorKind::Leaving } else { ErrorKind::CallerTooSlow };
                self.refuse_connection(connection, &Refusal::new(kind, "the request did not arrive whole in time"));
            }
            ServerEvent::RequestDropped { connection } => {
                let detail = "callers' connections hold too much; the request was dropped before it was complete";
                self.refuse_connection(connection, &Refusal::new(ErrorKind::Overloaded, detail));
            }
            ServerEvent::AnswerDropped { .. } => warn!(logger: self.logs.front, "event=answer_dropped cause=unread"),
            // The request goes on; its reply is dropped.
            ServerEvent::Disconnected { connection } => {
                self.awaiting_reply.remove(&connection);
            }
        }
    }

    fn refusal_of(&self, fault: ServerFault) -> Refusal {
        match fault {
            ServerFault::BadRequest => Refusal::new(ErrorKind::BadRequest, "the request is no valid HTTP/1.1"),
            ServerFault::BodyTooLong => {
                Refusal::new(ErrorKind::TooLarge, format!("body: more than {} bytes", self.limits.request_bytes))
            }
            ServerFault::HeadTooLong => {
                Refusal::new(ErrorKind::HeadTooLarge, format!("head: more than {MAX_HEAD_BYTES} bytes"))
            }
        }
    }

    fn on_request(&mut self, connection: SocketId, request: Request) {
        let keeps_alive = request.head.keeps_alive();
        let exchange = Exchange { connection, keeps_alive, is_head: request.head.method == "HEAD" };
        match find_route(&request.head).and_then(|route| self.serve(route, request.body, exchange)) {
            Ok(Some(response)) => self.respond(exchange, &response, false),
            // The core replies.
            Ok(None) => {}
            Err(refusal) => self.respond(exchange, &Response::refusal(&refusal), false),
        }
    }

    /// Serves a request. Returns the response, or `None` if the core replies.
    fn serve(&mut self, route: Route, body: Vec<u8>, exchange: Exchange) -> Result<Option<Response>, Refusal> {
        let command = match route {
            Route::Metrics => return Ok(Some(Response::text(200, self.metrics.render()))),
            Route::Alive => return Ok(Some(Response::text(200, "alive\n"))),
            Route::OpenSession => CallerCommand::OpenSession,
            Route::CloseSession(token) => CallerCommand::CloseSession(token),
            Route::Tickets(token) => CallerCommand::MintTicket(token),
            Route::Status | Route::Ready => CallerCommand::Status,
            Route::Query(token) => CallerCommand::Execute { token, statement: read_statement(body)? },
            Route::Command => CallerCommand::ExecuteOperatorStatement(read_statement(body)?),
        };
        let is_readiness = matches!(route, Route::Ready);
        self.awaiting_reply.insert(exchange.connection, AwaitingReply { is_readiness, exchange });
        let reply = self.sender.reply_sender(exchange.connection);
        // If the core has ended, the event is dropped with its reply sender, which answers the caller.
        let _core_may_have_ended = self.events.send(CoreEvent::Caller { command, reply });
        Ok(None)
    }

    fn on_reply(&mut self, connection: SocketId, reply: Option<CallerReply>) {
        let Some(awaiting) = self.awaiting_reply.remove(&connection) else {
            return;
        };
        // In a planned stop, an answer names the node to use next. Its connection closes, so that the caller doesn't
        // keep one that is about to end. A refusal doesn't close it, because the caller may go on sending.
        let is_answer = |reply: &CallerReply| matches!(reply, CallerReply::Statement(reply) if !reply.is_refusal());
        let names_next_node = self.is_leaving && reply.as_ref().is_some_and(is_answer);
        let response = match reply {
            Some(CallerReply::Status(status)) if awaiting.is_readiness => Response::readiness(&status),
            Some(reply) => Response::from(reply),
            None => {
                error!(logger: self.logs.front, "event=command_dropped");
                Response::refusal(&Refusal::new(ErrorKind::Internal, "no reply from the node's core; it may have run"))
            }
        };
        self.respond(awaiting.exchange, &response, names_next_node);
    }

    /// Writes a response. In a planned stop, connections stay open while the node listens, unless `closes` is set:
    /// otherwise a caller that goes on sending would make a new connection for each request, and one that is made just
    /// as the listener closes is reset.
    fn respond(&mut self, exchange: Exchange, response: &Response, closes: bool) {
        let closes = closes || !self.server.is_listening(CallerEndpoint);
        let framing = Framing { announces_close: closes && exchange.keeps_alive, is_head: exchange.is_head };
        self.write(exchange.connection, response.to_bytes(framing), closes || !exchange.keeps_alive);
    }

    /// Refuses a connection that sent no valid request in time, and closes it.
    fn refuse_connection(&mut self, connection: SocketId, refusal: &Refusal) {
        let framing = Framing { announces_close: true, is_head: false };
        self.write(connection, Response::refusal(refusal).to_bytes(framing), true);
    }

    fn write(&mut self, connection: SocketId, bytes: Vec<u8>, closes: bool) {
        let mut io = io_context(self.now, &self.poll, &mut self.buffer, &self.limits);
        self.server.respond(connection, bytes, closes, &mut io, &mut self.server_events);
    }
}

/// Returns the context that the sockets need for one call.
fn io_context<'a>(
    now: BootTime,
    poll: &'a Poll,
    buffer: &'a mut [u8; READ_CHUNK],
    limits: &LimitSettings,
) -> IoContext<'a> {
    let limits = ServerLimits { head_bytes: MAX_HEAD_BYTES, body_bytes: limits.request_bytes };
    IoContext { now, registry: poll.registry(), buffer, limits }
}
