//! A server on a loopback port whose requests wait until the test answers them, with the time set by the test.
// Each test file uses a part of this.
#![allow(dead_code)]

use mio::{Events, Poll};
use staircross_http::ServerLimits;
use staircross_transport::server::{Server, ServerEvent, ServerTimeouts};
use staircross_transport::socket::{IoContext, READ_CHUNK, SocketId, SocketKind};
use staircross_types::BootTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Time without an event of a socket after which nothing more is expected.
const QUIET_TIME: Duration = Duration::from_millis(100);

/// A server whose requests wait until the test answers them. Any other event panics, but for a disconnect where the test
/// expects one, and for requests and answers that are dropped, which only a server with a bound on what it holds reports.
pub struct TestServer {
    pub server: Server<()>,
    poll: Poll,
    buffer: Box<[u8; READ_CHUNK]>,
    /// Connections whose request waits for an answer.
    pub waiting: Vec<SocketId>,
    /// Connections whose peer closed them before the answer to their request.
    pub disconnected: Vec<SocketId>,
    /// Number of requests and of answers that were dropped for want of room.
    pub dropped_requests: usize,
    pub dropped_answers: usize,
    expects_disconnects: bool,
    pub now: BootTime,
}

impl TestServer {
    pub fn listen() -> (Self, SocketAddr) {
        TestServer::listen_with(Server::new(10))
    }

    pub fn listen_with(mut server: Server<()>) -> (Self, SocketAddr) {
        let poll = Poll::new().expect("a poll");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = server.listen((), any_port, poll.registry()).expect("listens");
        let test_server = TestServer {
            server,
            poll,
            buffer: Box::new([0; READ_CHUNK]),
            waiting: Vec::new(),
            disconnected: Vec::new(),
            dropped_requests: 0,
            dropped_answers: 0,
            expects_disconnects: false,
            now: BootTime::default(),
        };
        (test_server, address)
    }

    /// Records disconnects from now on, which panic otherwise.
    pub fn expect_disconnects(&mut self) {
        self.expects_disconnects = true;
    }

    /// Handles events of sockets until there are none for [`QUIET_TIME`].
    pub fn run_until_quiet(&mut self) {
        while self.poll_once(QUIET_TIME) {}
    }

    /// Waits for events of sockets once, at most for `timeout`, and handles them. Returns whether there was one.
    pub fn poll_once(&mut self, timeout: Duration) -> bool {
        let mut poll_events = Events::with_capacity(16);
        self.poll.poll(&mut poll_events, Some(timeout)).expect("polls");
        for event in &poll_events {
            let id = SocketId::from_token(event.token()).expect("a token of the server");
            if id.kind == SocketKind::Listener {
                self.server.accept_connections(self.now, id, self.poll.registry());
                continue;
            }
            let mut events = Vec::new();
            let mut io = io_context(self.now, &self.poll, &mut self.buffer);
            self.server.on_ready(id, event.into(), &mut io, &mut events);
            self.record(events);
        }
        let had_deferred = self.server.has_deferred();
        let mut events = Vec::new();
        self.server.resume(&mut io_context(self.now, &self.poll, &mut self.buffer), &mut events);
        self.record(events);
        had_deferred || !poll_events.is_empty()
    }

    /// Answers the first request that waits.
    pub fn answer(&mut self, answer: Vec<u8>) {
        let connection = self.waiting.remove(0);
        let mut events = Vec::new();
        let mut io = io_context(self.now, &self.poll, &mut self.buffer);
        self.server.respond(connection, answer, false, &mut io, &mut events);
        self.record(events);
    }

    /// Checks the timeouts, of three seconds for a request and of fifteen for an idle connection.
    pub fn sweep(&mut self) {
        let timeouts = ServerTimeouts { partial_request: Duration::from_secs(3), idle: Duration::from_secs(15) };
        let mut events = Vec::new();
        self.server.sweep(self.now, timeouts, self.poll.registry(), &mut events);
        self.record(events);
    }

    fn record(&mut self, events: Vec<ServerEvent<()>>) {
        for event in events {
            match event {
                ServerEvent::Request { connection, .. } => self.waiting.push(connection),
                ServerEvent::Disconnected { connection } if self.expects_disconnects => {
                    self.disconnected.push(connection);
                }
                ServerEvent::RequestDropped { connection } => {
                    self.dropped_requests += 1;
                    self.waiting.push(connection);
                }
                ServerEvent::AnswerDropped { .. } => self.dropped_answers += 1,
                other => panic!("not expected: {other:?}"),
            }
        }
    }
}

fn io_context<'a>(now: BootTime, poll: &'a Poll, buffer: &'a mut [u8; READ_CHUNK]) -> IoContext<'a> {
    let limits = ServerLimits { head_bytes: 4096, body_bytes: 1_000_000 };
    IoContext { now, registry: poll.registry(), buffer, limits }
}

/// Returns a response with a body of `length` bytes.
pub fn response(length: usize) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    [head.as_bytes(), &vec![b'x'; length]].concat()
}
