//! Tests of requests that a peer sends before it has the answer to the one before.

use mio::{Events, Poll};
use staircross_http::ServerLimits;
use staircross_transport::server::{Server, ServerEvent, ServerTimeouts};
use staircross_transport::socket::{IoContext, READ_CHUNK, SocketId, SocketKind};
use staircross_types::BootTime;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: shop\r\n\r\n";
/// Time without an event of a socket after which nothing more is expected.
const QUIET_TIME: Duration = Duration::from_millis(100);

/// A server whose requests wait until the test answers them.
struct TestServer {
    server: Server<()>,
    poll: Poll,
    buffer: Box<[u8; READ_CHUNK]>,
    /// Connections whose request waits for an answer.
    waiting: Vec<SocketId>,
    now: BootTime,
}

impl TestServer {
    fn listen() -> (Self, SocketAddr) {
        let poll = Poll::new().expect("a poll");
        let mut server = Server::new(10);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = server.listen((), any_port, poll.registry()).expect("listens");
        (
            TestServer {
                server,
                poll,
                buffer: Box::new([0; READ_CHUNK]),
                waiting: Vec::new(),
                now: BootTime::default(),
            },
            address,
        )
    }

    /// Handles events of sockets until there are none for [`QUIET_TIME`].
    fn run_until_quiet(&mut self) {
        let mut poll_events = Events::with_capacity(16);
        loop {
            self.poll.poll(&mut poll_events, Some(QUIET_TIME)).expect("polls");
            if poll_events.is_empty() {
                return;
            }
            for event in &poll_events {
                let id = SocketId::from_token(event.token()).expect("a token of the server");
                if id.kind == SocketKind::Listener {
                    self.server.accept_connections(self.now, id, self.poll.registry());
                    continue;
                }
                let mut events = Vec::new();
                let mut io = io_context(self.now, &self.poll, &mut self.buffer);
                self.server.on_ready(id, event.is_writable(), &mut io, &mut events);
                self.record(events);
            }
        }
    }

    /// Answers the first request that waits.
    fn answer(&mut self, answer: Vec<u8>) {
        let connection = self.waiting.remove(0);
        let mut events = Vec::new();
        let mut io = io_context(self.now, &self.poll, &mut self.buffer);
        self.server.respond(connection, answer, false, &mut io, &mut events);
        self.record(events);
    }

    /// Checks the timeouts, of three seconds for a request and of fifteen for an idle connection.
    fn sweep(&mut self) {
        let timeouts = ServerTimeouts { partial_request: Duration::from_secs(3), idle: Duration::from_secs(15) };
        let mut events = Vec::new();
        self.server.sweep(self.now, timeouts, self.poll.registry(), &mut events);
        self.record(events);
    }

    fn record(&mut self, events: Vec<ServerEvent<()>>) {
        for event in events {
            match event {
                ServerEvent::Request { connection, .. } => self.waiting.push(connection),
                other => panic!("not a request: {other:?}"),
            }
        }
    }
}

fn io_context<'a>(now: BootTime, poll: &'a Poll, buffer: &'a mut [u8; READ_CHUNK]) -> IoContext<'a> {
    let limits = ServerLimits { head_bytes: 4096, body_bytes: 1_000_000 };
    IoContext { now, registry: poll.registry(), buffer, limits }
}

fn response(length: usize) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    [head.as_bytes(), &vec![b'x'; length]].concat()
}

/// Guards against a request that is never read to its end: reading had stopped at a limit while the request before
/// waited for its answer, and no event of the socket says that the rest is still there. Which lengths this befalls
/// depends on how the system passes the bytes on.
#[test]
fn the_rest_of_a_request_that_came_early_is_read_after_the_answer() {
    (80_000..200_000).step_by(4_000).for_each(answer_a_request_that_came_early);
}

fn answer_a_request_that_came_early(length: usize) {
    let (mut server, address) = TestServer::listen();
    let mut caller = TcpStream::connect(address).expect("connects");
    server.run_until_quiet();
    let head = format!("POST / HTTP/1.1\r\nHost: shop\r\nContent-Length: {length}\r\n\r\n");
    let sender = thread::spawn(move || {
        caller.write_all(&[REQUEST, head.as_bytes(), &vec![b'x'; length]].concat()).expect("sent");
        caller
    });
    server.run_until_quiet();
    server.answer(response(0));
    server.run_until_quiet();
    assert_eq!(server.waiting.len(), 1, "the second request, of {length} bytes, is complete");
    drop(sender.join().expect("everything is sent"));
}

/// Guards against answers that fill the memory: a peer may send requests and never read.
#[test]
fn no_further_request_is_taken_while_an_answer_is_not_written() {
    const REQUESTS: usize = 100;
    const LENGTH: usize = 1_000_000;
    let (mut server, address) = TestServer::listen();
    let mut caller = TcpStream::connect(address).expect("connects");
    caller.write_all(&REQUEST.repeat(REQUESTS)).expect("sent");
    server.run_until_quiet();
    let mut answered = 0;
    while !server.waiting.is_empty() {
        server.answer(response(LENGTH));
        answered += 1;
    }
    // The buffers of both sockets hold some megabytes.
    assert!(answered < 20, "{answered} answers of which the caller has read nothing");

    let reader = thread::spawn(move || {
        let mut received = 0;
        let mut buffer = vec![0; 1 << 20];
        while received < REQUESTS * response(LENGTH).len() {
            received += caller.read(&mut buffer).expect("reads");
        }
    });
    while answered < REQUESTS {
        server.run_until_quiet();
        while !server.waiting.is_empty() {
            server.answer(response(LENGTH));
            answered += 1;
        }
    }
    server.run_until_quiet();
    reader.join().expect("everything is received");
}

/// Guards against callers that are cut while they read a long answer slowly: the next request, which they had sent early,
/// counted as one that takes too long, and the connection as idle.
#[test]
fn a_slow_reader_is_neither_late_nor_idle() {
    const LENGTH: usize = 30_000_000;
    const PART: usize = 3_000_000;
    let (mut server, address) = TestServer::listen();
    let mut caller = TcpStream::connect(address).expect("connects");
    caller.write_all(&REQUEST.repeat(2)).expect("sent");
    server.run_until_quiet();
    server.answer(response(LENGTH));
    let mut part = vec![0; PART];
    for _ in 0..LENGTH / PART {
        server.now = server.now + Duration::from_secs(5);
        server.run_until_quiet();
        server.sweep();
        caller.read_exact(&mut part).expect("the connection is open");
    }
    server.run_until_quiet();
    assert_eq!(server.waiting.len(), 1, "the second request is taken");
}
