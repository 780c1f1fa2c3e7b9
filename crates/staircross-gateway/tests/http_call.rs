//! Tests calls to the store and to peers over loopback sockets, with the time set by the test.

use mio::{Events, Poll};
use staircross_gateway::http_call::{CallFailure, CallOutcome, HttpClient};
use staircross_http::ServerLimits;
use staircross_transport::socket::{IoContext, READ_CHUNK, SocketId, SocketKind};
use staircross_types::BootTime;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const KIND: SocketKind = SocketKind::Store;
/// Maximum size of an answer in bytes.
const MAX_ANSWER: usize = 64 * 1024;
const UNANSWERED: CallOutcome = CallOutcome::Failed(CallFailure::Unanswered);
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
    listener: TcpListener,
    server: TcpStream,
    now: BootTime,
    buf: Box<[u8; READ_CHUNK]>,
}

impl Fixture {
    /// Creates a client whose call the server has received.
    fn new() -> Self {
        let mut fixture = Fixture::connecting();
        fixture.wait_for_request();
        fixture
    }

    /// Creates a client that hasn't noticed yet that its connection is established.
    fn connecting() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        let mut client = HttpClient::new(KIND, 0, address, MAX_ANSWER);
        let poll = Poll::new().expect("a poll");
        let mut buf = Box::new([0; READ_CHUNK]);
        start_call(&mut client, START, &poll, &mut buf);
        let (server, _) = listener.accept().expect("a connection");
        Fixture { poll, client, listener, server, now: START, buf }
    }

    /// Makes another call, which must come on the connection that is open.
    fn call_on_kept_connection(&mut self) {
        start_call(&mut self.client, self.now, &self.poll, &mut self.buf);
        self.wait_for_request();
    }

    /// Answers the call with a body of six bytes.
    fn answer(&mut self, body: &[u8; 6]) {
        assert_answered(self.send_part(&[ANSWER_HEAD, body].concat()).expect("an outcome"), body);
    }

    /// Makes another call, which must come on a new connection.
    fn call_on_new_connection(&mut self) {
        start_call(&mut self.client, self.now, &self.poll, &mut self.buf);
        self.listener.set_nonblocking(true).expect("a socket option");
        let end = Instant::now() + WAIT_TIMEOUT;
        self.server = loop {
            if let Ok((server, _)) = self.listener.accept() {
                break server;
            }
            assert_eq!(self.poll_once(), None, "the call doesn't end on the connection before");
            assert!(Instant::now() < end, "no new connection");
        };
        self.wait_for_request();
    }

    /// Handles readiness events until the call ends.
    fn wait_for_outcome(&mut self) -> CallOutcome {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(outcome) = self.poll_once() {
                return outcome;
            }
            assert!(Instant::now() < end, "the call has no end");
        }
    }

    /// Sends bytes and closes the connection before the client looks. Returns how the call ends.
    fn send_and_close(&mut self, bytes: &[u8]) -> CallOutcome {
        self.server.write_all(bytes).expect("the connection is open");
        self.server.shutdown(Shutdown::Both).expect("the connection is open");
        self.wait_for_outcome()
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

fn start_call(client: &mut HttpClient, now: BootTime, poll: &Poll, buf: &mut [u8; READ_CHUNK]) {
    let limits = ServerLimits { head_bytes: 1 << 16, body_bytes: 1 << 20 };
    let mut io = IoContext { now, registry: poll.registry(), buffer: buf, limits };
    assert_eq!(client.get("/x", CALL_TIMEOUT, &mut io), None);
}

fn assert_answered(outcome: CallOutcome, body: &[u8]) {
    assert!(matches!(&outcome, CallOutcome::Answered(answer) if answer.body == body), "{outcome:?}");
}

#[test]
fn a_call_that_is_not_answered_is_given_up_in_its_time() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.advance_time(CALL_TIMEOUT - Duration::from_millis(1)), None);
    assert_eq!(fixture.advance_time(Duration::from_millis(1)), Some(UNANSWERED));
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
    assert_eq!(fixture.advance_time(Duration::from_millis(1)), Some(UNANSWERED));
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
    assert_eq!(outcome, Some(UNANSWERED));
    assert_eq!(fixture.now.since(began), Duration::from_secs(10));
}

/// Guards against answers that are never seen to end: a close that had arrived together with the answer wasn't read.
#[test]
fn an_answer_without_length_is_complete_when_its_close_arrives_with_it() {
    let mut fixture = Fixture::new();
    assert_answered(fixture.send_and_close(b"HTTP/1.1 200 OK\r\n\r\nwhole"), b"whole");
}

/// Guards against calls that fail on a connection that the server has closed: reading ended with the answer, and the close
/// behind it was never read.
#[test]
fn a_close_behind_an_answer_is_noticed_before_the_next_call() {
    let mut fixture = Fixture::new();
    assert_answered(fixture.send_and_close(&[ANSWER_HEAD, b"abcdef"].concat()), b"abcdef");
    fixture.call_on_new_connection();
    fixture.answer(b"second");
}

/// Guards against answers to other calls: bytes behind an answer stayed in the connection's buffer and were taken for the
/// answer to the next call. They come in two parts, split at each byte, the second one after the call has ended.
#[test]
fn bytes_behind_an_answer_are_not_taken_for_the_answer_to_the_next_call() {
    let answer = [ANSWER_HEAD, b"abcdef"].concat();
    let extra = [ANSWER_HEAD, b"strange"].concat();
    for split in 1..=extra.len() {
        let mut fixture = Fixture::new();
        let outcome = fixture.send_part(&[&answer, &extra[..split]].concat()).expect("an outcome");
        assert_answered(outcome, b"abcdef");
        // The connection may be closed by now.
        let _may_be_closed = fixture.server.write_all(&extra[split..]);
        fixture.call_on_new_connection();
        fixture.answer(b"second");
    }
}

/// Guards against the same when the bytes come while no call is in flight.
#[test]
fn bytes_between_calls_end_the_connection() {
    for part in [&b"H"[..], b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"] {
        let mut fixture = Fixture::new();
        fixture.answer(b"abcdef");
        assert_eq!(fixture.send_part(part), None);
        fixture.call_on_new_connection();
        fixture.answer(b"second");
    }
}

/// An answer with a field that contains a status line, as a proxy or a debugging option may add it.
const ANSWER_WITH_STATUS_LINE: &[u8] =
    b"HTTP/1.1 200 OK\r\nX-Upstream: HTTP/1.1 304 Not Modified\r\nContent-Length: 6\r\n\r\nabcdef";

/// Guards against a store that can't be read because a proxy before it repeats a status line in a field.
#[test]
fn calls_to_a_server_whose_fields_contain_status_lines_are_answered() {
    let mut fixture = Fixture::new();
    for _ in 0..5 {
        assert_answered(fixture.send_part(ANSWER_WITH_STATUS_LINE).expect("an outcome"), b"abcdef");
        fixture.call_on_new_connection();
    }
    fixture.answer(b"abcdef");
    // Answers without such a field may be followed by one with it.
    fixture.call_on_new_connection();
}

/// Guards against answers that are read as the continuation of bytes before them, which came when the call had been sent.
#[test]
fn an_answer_that_continues_the_beginning_of_another_is_not_believed() {
    let extra = b"HTTP/1.1 503 Busy\r\nX-Upstream: HTTP/1.1 304 Not Modified\r\nContent-Length: 0\r\n\r\n";
    for length in 1..extra.len() {
        let mut fixture = Fixture::new();
        fixture.answer(b"abcdef");
        fixture.call_on_kept_connection();
        let outcome = fixture.send_and_close(&[&extra[..length], ANSWER_WITH_STATUS_LINE].concat());
        assert_eq!(outcome, UNANSWERED, "cut off after {length} bytes");
    }
}

/// Guards against the same where the beginning came with the connection.
#[test]
fn no_call_is_sent_on_a_connection_whose_first_bytes_come_with_its_establishing() {
    let mut fixture = Fixture::connecting();
    fixture.server.write_all(b"HTTP/1.1 200 OK").expect("the connection is open");
    assert_eq!(fixture.wait_for_outcome(), UNANSWERED);
    fixture.server.set_read_timeout(Some(Duration::from_millis(20))).expect("a socket option");
    let mut received = Vec::new();
    let _ended_by_a_reset = fixture.server.read_to_end(&mut received);
    assert_eq!(received, b"");
}

/// Guards against a server that is called on a new connection each time for one mistake.
#[test]
fn a_connection_is_kept_again_some_time_after_an_answer_was_dropped() {
    let mut fixture = Fixture::new();
    fixture.answer(b"abcdef");
    fixture.call_on_kept_connection();
    assert_eq!(fixture.send_part(ANSWER_WITH_STATUS_LINE), Some(UNANSWERED));
    fixture.call_on_new_connection();
    fixture.answer(b"abcdef");
    fixture.now = fixture.now + Duration::from_secs(30);
    fixture.call_on_new_connection();
    fixture.answer(b"abcdef");
    fixture.call_on_kept_connection();
}

/// Guards against a process that is killed for its memory: whoever answers calls of the store or of peers sends without
/// end. The call ends after the largest answer that is allowed, and the next one is answered.
#[test]
fn an_answer_that_is_longer_than_allowed_fails_the_call() {
    let mut fixture = Fixture::new();
    let mut sent = 0;
    let mut outcome = fixture.send_part(b"HTTP/1.1 200 OK\r\n\r\n");
    while outcome.is_none() {
        assert!(sent <= MAX_ANSWER, "{sent} bytes are held");
        outcome = fixture.send_part(&[b'x'; 4096]);
        sent += 4096;
    }
    assert_eq!(outcome, Some(CallOutcome::Failed(CallFailure::TooLong)));
    fixture.call_on_new_connection();
    fixture.answer(b"second");
}
