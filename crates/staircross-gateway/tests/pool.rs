//! Tests connections to searchers over loopback sockets, with the time set by the test.

mod pool_fixture;

use mio::Events;
use pool_fixture::{
    Fixture, START, WAIT_TIMEOUT, count_ended, is_connected, is_ended, listener, read_request, write_answer,
};
use rustix::net::sockopt::set_socket_linger;
use staircross_gateway::pool::PoolEvent;
use staircross_routing::state::request::Unknown;
use staircross_routing::{AttemptOutcome, NotRun, SearcherKey};
use staircross_types::BootTime;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Closes a connection with a reset, which a linger time of zero causes.
fn reset(stream: TcpStream) {
    set_socket_linger(&stream, Some(Duration::ZERO)).expect("the linger option is set");
    drop(stream);
}

#[test]
fn a_reset_while_a_connection_is_proved_means_that_nothing_ran() {
    let (listener, address) = listener();
    let mut fixture = Fixture::new();
    fixture.send(address);
    fixture.wait_until("the connection is established", is_connected);
    let (stream, _) = listener.accept().expect("a connection");
    assert!(fixture.pool.next_wake().is_some_and(|due| due > fixture.now), "the connection is being proved");
    reset(stream);
    // The time stays the same, so nothing has been sent however late the reset arrives.
    fixture.wait_until("the reset", is_ended);
    assert!(
        matches!(fixture.outcome(), Some(AttemptOutcome::NotRun(NotRun::ConnectionRejected))),
        "{:?}",
        fixture.events
    );
    assert_eq!(fixture.pool.connection_count(), 0);
    assert_eq!(fixture.pool.counters.connections_rejected, 1);
}

#[test]
fn a_reset_after_the_request_was_sent_is_never_called_not_run() {
    let (listener, address) = listener();
    let mut fixture = Fixture::new();
    fixture.send(address);
    fixture.wait_until("the connection is established", is_connected);
    let (mut stream, _) = listener.accept().expect("a connection");
    let due = fixture.pool.next_wake().expect("the connection is being proved");
    fixture.now = due;
    fixture.with_io(|pool, io, events| pool.on_tick(io, events));
    let mut buf = [0; 512];
    let count = stream.read(&mut buf).expect("the request");
    assert!(buf[..count].starts_with(b"GET /one HTTP/1.1\r\n"));
    assert!(fixture.outcome().is_none());
    reset(stream);
    fixture.wait_until("the reset", is_ended);
    assert!(matches!(fixture.outcome(), Some(AttemptOutcome::Unknown(Unknown::Broken))), "{:?}", fixture.events);
    assert_eq!(fixture.pool.counters.connections_rejected, 0);
}

#[test]
fn a_proved_connection_that_holds_carries_the_request_no_earlier_than_it_was_due() {
    let (listener, address) = listener();
    let mut fixture = Fixture::new();
    fixture.send(address);
    fixture.wait_until("the connection is established", is_connected);
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("the stream is set non-blocking");
    let due = fixture.pool.next_wake().expect("the connection is being proved");
    fixture.now = due - Duration::from_micros(1);
    fixture.with_io(|pool, io, events| pool.on_tick(io, events));
    assert_eq!(fixture.pool.next_wake(), Some(due), "the connection is still being proved");
    let waiting = stream.peek(&mut [0; 1]).map_err(|error| error.kind());
    assert_eq!(waiting, Err(std::io::ErrorKind::WouldBlock), "nothing was sent");
}

#[test]
fn a_reset_that_is_first_noticed_by_writing_means_that_nothing_ran() {
    let (listener, address) = listener();
    let mut fixture = Fixture::new();
    fixture.send(address);
    fixture.wait_until("the connection is established", is_connected);
    let (stream, _) = listener.accept().expect("a connection");
    reset(stream);
    // The reset has arrived, but the pool begins to use the connection before it handles the readiness event.
    let mut ready = Events::with_capacity(16);
    fixture.poll.poll(&mut ready, Some(WAIT_TIMEOUT)).expect("polling");
    assert!(ready.iter().any(|event| event.is_readable()), "the reset has arrived");
    fixture.now = fixture.pool.next_wake().expect("the connection is being proved");
    fixture.with_io(|pool, io, events| pool.on_tick(io, events));
    assert!(
        matches!(fixture.outcome(), Some(AttemptOutcome::NotRun(NotRun::ConnectionRejected))),
        "{:?}",
        fixture.events
    );
}

/// Sends two requests at once and answers both, which leaves two idle connections.
fn two_idle_connections() -> (Fixture, TcpListener) {
    let (listener, address) = listener();
    let mut fixture = Fixture::with_proving_until(BootTime::default());
    for number in 0..2 {
        fixture.send_numbered(address, number);
    }
    let connected =
        |events: &[PoolEvent]| events.iter().filter(|event| matches!(event, PoolEvent::Connected { .. })).count() == 2;
    fixture.wait_until("both connections are established", connected);
    for _ in 0..2 {
        let (mut stream, _) = listener.accept().expect("a connection");
        let id = read_request(&mut stream);
        write_answer(&mut stream, "200 OK", &id, "");
        // Dropping the stream would close the connection, so it is left open until the process ends.
        std::mem::forget(stream);
    }
    fixture.wait_until("both requests are answered", |events| count_ended(events) == 2);
    assert_eq!(fixture.pool.connection_count(), 2);
    (fixture, listener)
}

#[test]
fn a_connection_besides_the_one_used_last_does_not_rest_for_long() {
    let (mut fixture, _listener) = two_idle_connections();
    fixture.now = START + Duration::from_millis(1400);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 2);
    fixture.now = START + Duration::from_millis(1600);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 1, "the most recently used connection stays open");
    fixture.now = START + Duration::from_secs(20);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 1);
    fixture.now = START + Duration::from_secs(31);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 0);
}

#[test]
fn a_node_that_serves_no_callers_lets_go_of_resting_connections() {
    let (mut fixture, _listener) = two_idle_connections();
    fixture.now = START + Duration::from_millis(1100);
    fixture.sweep(Duration::from_secs(1));
    assert_eq!(fixture.pool.connection_count(), 0);
}

#[test]
fn connections_to_a_searcher_that_turned_another_away_are_left_to_others_soon() {
    let (mut fixture, listener) = two_idle_connections();
    let address = listener.local_addr().expect("its address");
    // Two of the requests use the idle connections. The third needs a new one, which is reset, as by a searcher that
    // has reached its connection limit.
    let before = fixture.events.len();
    for number in 2..5 {
        fixture.send_numbered(address, number);
    }
    fixture.wait_until("the third connection is established", |events| is_connected(&events[before..]));
    let (stream, _) = listener.accept().expect("a connection");
    reset(stream);
    fixture.wait_until("the reset", |events| is_ended(&events[before..]));
    assert_eq!(fixture.pool.connection_count(), 2);
    assert!(fixture.pool.has_reset_recently(SearcherKey(0), fixture.now));
    assert!(!fixture.pool.has_reset_recently(SearcherKey(1), fixture.now), "another searcher");
    let later = fixture.now + Duration::from_secs(6);
    assert!(!fixture.pool.has_reset_recently(SearcherKey(0), later), "the searcher may accept connections again");
}

#[test]
fn a_contested_connection_rests_for_a_moment_only() {
    let (listener, address) = listener();
    let mut fixture = Fixture::with_proving_until(BootTime::default());
    fixture.send_numbered(address, 0);
    fixture.wait_until("the connection is established", is_connected);
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.read_exact(&mut [0; 16]).expect("the request");
    fixture.send_numbered(address, 1);
    let (rejected, _) = listener.accept().expect("a second connection");
    reset(rejected);
    fixture.wait_until("the reset", is_ended);
    stream.write_all(b"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n").expect("answered");
    fixture.wait_until("the answer", |events| count_ended(events) == 2);
    assert_eq!(fixture.pool.connection_count(), 1);
    fixture.now = START + Duration::from_millis(200);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 1);
    fixture.now = START + Duration::from_millis(400);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 0, "an idle connection to a contested searcher is closed soon");
}
