//! Tests which connections are reused, where the fields of a service's answers may contain status lines.

mod pool_fixture;

use pool_fixture::{Fixture, count_ended, is_connected, listener, order, read_request, write_answer};
use staircross_gateway::pool::PoolEvent;
use staircross_routing::state::request::Unknown;
use staircross_routing::{AttemptOutcome, SearcherKey};
use staircross_types::BootTime;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A field with a status line, as a proxy or a debugging option may add it.
const STATUS_LINE_FIELD: &str = "X-Upstream: HTTP/1.1 304 Not Modified";
/// Service of the searchers in these tests.
const SERVICE: &str = "docs";

/// A searcher, its connections, and the pool that asks it.
struct Searcher {
    listener: TcpListener,
    address: SocketAddr,
    key: SearcherKey,
    service: &'static str,
}

impl Searcher {
    fn new(key: u32, service: &'static str) -> Self {
        let (listener, address) = listener();
        Searcher { listener, address, key: SearcherKey(key), service }
    }

    fn send(&self, fixture: &mut Fixture, number: u16) {
        let mut order = order(self.address);
        order.attempt.number = number;
        order.searcher = self.key;
        order.service = self.service.into();
        fixture.send_order(order, &number.to_string());
    }

    /// Sends an attempt and accepts the connection that the pool must open for it.
    fn send_on_new_connection(&self, fixture: &mut Fixture, number: u16) -> TcpStream {
        let before = fixture.events.len();
        self.send(fixture, number);
        fixture.wait_until("a new connection", |events| is_connected(&events[before..]));
        let (mut stream, _) = self.listener.accept().expect("a connection");
        assert_eq!(read_request(&mut stream), number.to_string());
        stream
    }

    /// Opens a connection, which is idle after one attempt.
    fn open_idle_connection(&self, fixture: &mut Fixture, number: u16) -> TcpStream {
        let mut stream = self.send_on_new_connection(fixture, number);
        answer_plainly(fixture, &mut stream, number);
        stream
    }

    /// Sends an attempt on the connection that is already open.
    fn send_on_used_connection(&self, fixture: &mut Fixture, number: u16, stream: &mut TcpStream) {
        self.send(fixture, number);
        assert_eq!(read_request(stream), number.to_string());
    }
}

/// Writes an answer with a status line in a field before the id, and waits until the attempt ends.
fn answer_with_status_line(fixture: &mut Fixture, stream: &mut TcpStream, number: u16) {
    let text = format!("HTTP/1.1 200 OK\r\n{STATUS_LINE_FIELD}\r\nId: {number}\r\nContent-Length: 5\r\n\r\nwhole");
    let ended = count_ended(&fixture.events);
    stream.write_all(text.as_bytes()).expect("the connection is open");
    fixture.wait_until("the attempt ends", |events| count_ended(events) > ended);
}

fn answer_plainly(fixture: &mut Fixture, stream: &mut TcpStream, number: u16) {
    let ended = count_ended(&fixture.events);
    write_answer(stream, "200 OK", &number.to_string(), "");
    fixture.wait_until("the attempt ends", |events| count_ended(events) > ended);
    assert!(matches!(fixture.last_outcome(), AttemptOutcome::Answered(_)));
}

fn is_believed(outcome: &AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Answered(answer) if answer.body == b"whole")
}

fn count_reuse_ended(fixture: &Fixture) -> usize {
    fixture.events.iter().filter(|event| matches!(event, PoolEvent::ReuseEnded { .. })).count()
}

fn new_fixture() -> Fixture {
    Fixture::with_proving_until(BootTime::default())
}

/// Guards against a service that is refused as a whole because its answers contain a status line in a field.
#[test]
fn each_answer_of_a_service_with_status_lines_in_fields_is_believed() {
    let mut fixture = new_fixture();
    let searcher = Searcher::new(0, SERVICE);
    for number in 0..20 {
        let mut stream = searcher.send_on_new_connection(&mut fixture, number);
        answer_with_status_line(&mut fixture, &mut stream, number);
        assert!(is_believed(fixture.last_outcome()), "{:?}", fixture.last_outcome());
    }
    assert_eq!((count_reuse_ended(&fixture), fixture.pool.connection_count()), (1, 0));
}

/// Guards against more than one dropped answer of a service that sends such fields only now and then: all its searchers
/// are asked on fresh connections from then on.
#[test]
fn a_service_with_status_lines_in_some_answers_loses_one_answer() {
    let mut fixture = new_fixture();
    let (first, second) = (Searcher::new(0, SERVICE), Searcher::new(1, SERVICE));
    let mut stream = first.open_idle_connection(&mut fixture, 0);
    let _idle = second.open_idle_connection(&mut fixture, 1);
    first.send_on_used_connection(&mut fixture, 2, &mut stream);
    answer_with_status_line(&mut fixture, &mut stream, 2);
    assert!(matches!(fixture.last_outcome(), AttemptOutcome::Unknown(Unknown::Ambiguous)));

    for number in 3..6 {
        let mut stream = second.send_on_new_connection(&mut fixture, number);
        answer_with_status_line(&mut fixture, &mut stream, number);
        assert!(is_believed(fixture.last_outcome()), "{:?}", fixture.last_outcome());
    }
}

/// Guards against other services that pay for it.
#[test]
fn connections_to_other_services_stay_in_use() {
    let mut fixture = new_fixture();
    let (searcher, other) = (Searcher::new(0, SERVICE), Searcher::new(1, "maps"));
    let mut stream = searcher.send_on_new_connection(&mut fixture, 0);
    answer_with_status_line(&mut fixture, &mut stream, 0);
    let mut stream = other.open_idle_connection(&mut fixture, 1);
    other.send_on_used_connection(&mut fixture, 2, &mut stream);
}

/// Guards against connections that nobody may use any more but that take room at the searcher.
#[test]
fn used_connections_are_closed_when_reuse_ends() {
    let mut fixture = new_fixture();
    let (first, second) = (Searcher::new(0, SERVICE), Searcher::new(1, SERVICE));
    let _idle = first.open_idle_connection(&mut fixture, 0);
    let mut other = second.send_on_new_connection(&mut fixture, 1);
    answer_with_status_line(&mut fixture, &mut other, 1);
    assert_eq!(fixture.pool.connection_count(), 1);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 0);
}

/// Guards against one mistake of a searcher for which all connections of its service are given up for good.
#[test]
fn connections_are_reused_again_some_time_after_an_answer_was_dropped() {
    let mut fixture = new_fixture();
    let searcher = Searcher::new(0, SERVICE);
    let mut stream = searcher.open_idle_connection(&mut fixture, 0);
    searcher.send_on_used_connection(&mut fixture, 1, &mut stream);
    answer_with_status_line(&mut fixture, &mut stream, 1);
    fixture.now = fixture.now + Duration::from_secs(30);
    let mut stream = searcher.open_idle_connection(&mut fixture, 2);
    searcher.send_on_used_connection(&mut fixture, 3, &mut stream);
}
