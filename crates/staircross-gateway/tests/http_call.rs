//! Tests calls to the store and to peers over loopback sockets, with the time set by the test.

use mio::{Events, Poll};
use staircross_gateway::http_call::{CallOutcome, HttpClient};
use staircross_http::ServerLimits;
use staircross_transport::socket::{IoContext, READ_CHUNK, SocketId, SocketKind};
use staircross_types::BootTime;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const KIND: SocketKind = SocketKind::Store;
const START: BootTime = BootTime(1_000_000);
/// Timeout that the call is made with.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which a test waits for bytes to arrive.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const ANSWER_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n";

/// A client with a call in flight, and the server's end of its connection.
struct Fixture {
    poll: Poll,
    client: HttpClient,
    server: TcpStream,
    now: BootTime,
    buf: Box<[u8; READ_CHUNK]>,
}

impl Fixture {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        let mut client = HttpClient::new(KIND, 0, address);
        let poll = Poll::new().expect("a poll");
        let mut buf = Box::new([0; READ_CHUNK]);
        let limits = ServerLimits { head_bytes: 1 << 16, body_bytes: 1 << 20 };
        let mut io = IoContext { now: START, registry: poll.registry(), buffer: &mut buf, limits };
        assert_eq!(client.get("/x", CALL_TIMEOUT, &mut io), None);
        let (server, _) = listener.accept().expect("a connection");
        let mut fixture = Fixture { poll, client, server, now: START, buf };
        fixture.wait_for_request();
        fixture
    }

    /// Polls once and handles the readiness events. Returns the outcome if the call ends.
    fn poll_once(&mut self) -> Option<CallOutcome> {
        let mut events = Events::with_capacity(8);
        self.poll.poll(&mut events, Some(Duration::from_millis(10))).expect("polls");
        let limits = ServerLimits { head_bytes: 1 << 16, body_bytes: 1 << 20 };
        for event in &events {
            let mut io = IoContext { now: self.now, registry: self.poll.registry(), buffer: &mut self.buf, limits };
            let id = SocketId::from_token(event.token()).expect("a token of the client");
            if let Some(outcome) = self.client.on_ready(id, event.into(), &mut io) {
                return Some(outcome);
            }
        }
        None
    }

    fn wait_for_request(&mut self) {
        self.server.set_nonblocking(true).expect("a socket option");
        let end = Instant::now() + WAIT_TIMEOUT;
        let mut buf = [0; 256];
        while !matches!(self.server.read(&mut buf), Ok(count) if count > 0) {
            assert_eq!(self.poll_once(), None);
            assert!(Instant::now() < end, "the request doesn't arrive");
        }
        self.server.set_nonblocking(false).expect("a socket option");
    }

    /// Sends a part of the answer and waits until the client has read it. Returns the outcome if the call ends.
    fn send_part(&mut self, part: &[u8]) -> Option<CallOutcome> {
        self.server.write_all(part).expect("the connection is open");
        // Resets the count of bytes.
        let earlier_bytes = self.client.take_bytes();
        assert!(earlier_bytes < usize::MAX);
        let end = Instant::now() + WAIT_TIMEOUT;
        let mut read = 0;
        while read < part.len() {
            if let Some(outcome) = self.poll_once() {
                return Some(outcome);
            }
            read += self.client.take_bytes();
            assert!(Instant::now() < end, "the part doesn't arrive");
        }
        None
    }

    /// Advances the time by `span`. Returns the outcome if the call ends.
    fn advance_time(&mut self, span: Duration) -> Option<CallOutcome> {
        self.now = self.now + span;
        self.client.on_tick(self.now)
    }
}

#[test]
fn a_call_that_is_not_answered_is_given_up_in_its_time() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.advance_time(CALL_TIMEOUT - Duration::from_millis(1)), None);
    assert_eq!(fixture.advance_time(Duration::from_millis(1)), Some(CallOutcome::Failed));
}

#[test]
fn an_answer_that_is_coming_in_is_waited_for() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send_part(ANSWER_HEAD), None);
    for byte in [b"a", b"b", b"c", b"d", b"e"] {
        assert_eq!(fixture.advance_time(Duration::from_millis(900)), None, "the answer is still arriving");
        assert_eq!(fixture.send_part(byte), None);
    }
    assert!(matches!(fixture.send_part(b"f"), Some(CallOutcome::Answered(answer)) if answer.body == b"abcdef"));
}

#[test]
fn an_answer_that_stops_half_way_is_given_up() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send_part(ANSWER_HEAD), None);
    assert_eq!(fixture.send_part(b"abc"), None);
    assert_eq!(fixture.advance_time(Duration::from_millis(999)), None);
    assert_eq!(fixture.advance_time(Duration::from_millis(1)), Some(CallOutcome::Failed));
}

#[test]
fn an_answer_that_comes_for_ever_is_given_up_too() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send_part(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"), None);
    let began = fixture.now;
    let outcome = (0..100).find_map(|_| {
        let ended = fixture.advance_time(Duration::from_millis(500));
        if ended.is_none() {
            assert_eq!(fixture.send_part(b"x"), None);
        }
        ended
    });
    assert_eq!(outcome, Some(CallOutcome::Failed));
    assert_eq!(fixture.now.since(began), Duration::from_secs(10));
}
