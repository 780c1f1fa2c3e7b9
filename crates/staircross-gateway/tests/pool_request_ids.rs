//! Tests that an answer is never taken for the answer to another attempt of the same request.

mod pool_fixture;

use pool_fixture::{Fixture, count_ended, is_connected, listener, read_request, write_answer};
use staircross_routing::{AttemptOutcome, NotRun};
use staircross_types::BootTime;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Time that the test gives to bytes on loopback.
const DELIVERY_TIME: Duration = Duration::from_millis(50);
const NOT_EXECUTED: &str = "Not-Executed: 1\r\n";
/// Number of requests that a connection carries at most.
const MAX_REQUESTS: u16 = 1000;

struct Searcher {
    listener: TcpListener,
    address: SocketAddr,
    fixture: Fixture,
}

impl Searcher {
    fn new() -> Self {
        let (listener, address) = listener();
        Searcher { listener, address, fixture: Fixture::with_proving_until(BootTime::default()) }
    }

    /// Sends an attempt and accepts the connection that the pool must open for it.
    fn send_on_new_connection(&mut self, number: u16, id: &str) -> TcpStream {
        let before = self.fixture.events.len();
        self.fixture.send_with_id(self.address, number, id);
        self.fixture.wait_until("a new connection", |events| is_connected(&events[before..]));
        let (mut stream, _) = self.listener.accept().expect("a connection");
        assert_eq!(read_request(&mut stream), id);
        stream
    }

    fn answer(&mut self, stream: &mut TcpStream, status: &str, id: &str, fields: &str) {
        let ended = count_ended(&self.fixture.events);
        write_answer(stream, status, id, fields);
        self.fixture.wait_until("the attempt ends", |events| count_ended(events) > ended);
    }
}

/// Guards against requests that run twice: a late copy of a refusal was taken for the answer to the next attempt of the
/// same request, which was running.
#[test]
fn a_late_copy_of_a_refusal_does_not_answer_the_next_attempt() {
    let mut searcher = Searcher::new();
    let mut first = searcher.send_on_new_connection(0, "7");
    searcher.answer(&mut first, "503 Service Unavailable", "7", NOT_EXECUTED);
    assert!(matches!(searcher.fixture.last_outcome(), AttemptOutcome::NotRun(NotRun::Shed)));

    let mut second = searcher.send_on_new_connection(1, "7");
    write_answer(&mut first, "503 Service Unavailable", "7", NOT_EXECUTED);
    searcher.fixture.run_for(DELIVERY_TIME);
    assert_eq!(count_ended(&searcher.fixture.events), 1, "the second attempt is still running");

    searcher.answer(&mut second, "200 OK", "7", "Stamp: s\r\n");
    assert!(matches!(searcher.fixture.last_outcome(), AttemptOutcome::Answered(answer) if answer.status == 200));
}

/// Guards against the same when a caller repeats an id: a late copy of the answer to an earlier request with this id.
#[test]
fn a_late_copy_of_an_answer_does_not_answer_a_later_request_with_the_same_id() {
    let mut searcher = Searcher::new();
    let mut first = searcher.send_on_new_connection(0, "7");
    searcher.answer(&mut first, "200 OK", "7", "Stamp: s\r\n");
    // Another request on the same connection in between.
    searcher.fixture.send_with_id(searcher.address, 1, "8");
    assert_eq!(read_request(&mut first), "8");
    searcher.answer(&mut first, "200 OK", "8", "Stamp: t\r\n");
    searcher.send_on_new_connection(2, "7");
}

/// Guards against new connections where none is needed: another idle connection may carry the next attempt.
#[test]
fn the_next_attempt_uses_an_idle_connection_that_has_not_carried_the_request() {
    let mut searcher = Searcher::new();
    let mut first = searcher.send_on_new_connection(0, "7");
    let mut second = searcher.send_on_new_connection(1, "8");
    searcher.answer(&mut second, "200 OK", "8", "Stamp: s\r\n");
    searcher.answer(&mut first, "503 Service Unavailable", "7", NOT_EXECUTED);
    searcher.fixture.send_with_id(searcher.address, 2, "7");
    assert_eq!(read_request(&mut second), "7");
    assert_eq!(searcher.fixture.pool.counters.connects, 2);
}

/// Guards against callers that use up a searcher's connections by repeating an id: each repetition needs a connection that
/// hasn't carried it.
#[test]
fn a_caller_that_repeats_an_id_holds_one_connection() {
    let mut searcher = Searcher::new();
    // The searcher closes none of its connections.
    let mut streams = Vec::new();
    for number in 0..20 {
        let mut stream = searcher.send_on_new_connection(number, "7");
        searcher.answer(&mut stream, "200 OK", "7", "");
        streams.push(stream);
        assert_eq!(searcher.fixture.pool.connection_count(), 1);
    }
}

/// Guards against connections that remember ever more ids.
#[test]
fn a_connection_is_closed_after_as_many_requests_as_it_remembers() {
    let mut searcher = Searcher::new();
    let mut stream = searcher.send_on_new_connection(0, "0");
    searcher.answer(&mut stream, "200 OK", "0", "");
    for number in 1..MAX_REQUESTS {
        let id = number.to_string();
        searcher.fixture.send_with_id(searcher.address, number, &id);
        assert_eq!(read_request(&mut stream), id);
        searcher.answer(&mut stream, "200 OK", &id, "");
    }
    assert_eq!(searcher.fixture.pool.connection_count(), 0);
    searcher.send_on_new_connection(MAX_REQUESTS, "next");
}
