//! Tests that nothing is sent on a connection on which the searcher has closed its side, or has sent bytes, before any
//! request.

mod pool_fixture;

use pool_fixture::{Fixture, START, is_connected, is_ended, listener};
use staircross_routing::{AttemptOutcome, NotRun};
use staircross_types::BootTime;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Time that the test gives to bytes on loopback.
const DELIVERY_TIME: Duration = Duration::from_millis(20);
/// Time after which each fresh connection has been proved.
const PROVED: Duration = Duration::from_millis(100);

/// Asserts that the attempt ended as not run and that the searcher was sent nothing.
fn assert_nothing_was_sent(fixture: &Fixture, mut stream: TcpStream, what: &str) {
    let outcome = fixture.outcome();
    assert!(matches!(outcome, Some(AttemptOutcome::NotRun(NotRun::ConnectionRejected))), "{what}: {outcome:?}");
    stream.set_read_timeout(Some(DELIVERY_TIME)).expect("an open socket");
    let mut received = Vec::new();
    let _ended_by_the_timeout_or_a_reset = stream.read_to_end(&mut received);
    assert_eq!(received, b"", "{what}");
}

/// Guards against requests that count as run though they can't have been: the searcher had closed the connection before
/// the request was written.
#[test]
fn nothing_is_sent_on_a_connection_whose_close_comes_with_its_establishing() {
    let (listener, address) = listener();
    let mut fixture = Fixture::with_proving_until(BootTime::default());
    fixture.send(address);
    let (stream, _) = listener.accept().expect("a connection");
    stream.shutdown(std::net::Shutdown::Write).expect("an open socket");
    fixture.wait_until("the attempt ends", is_ended);
    assert_nothing_was_sent(&fixture, stream, "closed");
}

/// Guards against answers that are read as the continuation of bytes that came with the connection.
#[test]
fn nothing_is_sent_on_a_connection_whose_first_bytes_come_with_its_establishing() {
    for bytes in [&b"H"[..], b"HTTP/1.1 200 OK", b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"] {
        let (listener, address) = listener();
        let mut fixture = Fixture::with_proving_until(BootTime::default());
        fixture.send(address);
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.write_all(bytes).expect("an open socket");
        fixture.wait_until("the attempt ends", is_ended);
        assert_nothing_was_sent(&fixture, stream, &String::from_utf8_lossy(bytes));
    }
}

/// Guards against the same while a fresh connection is proved.
#[test]
fn nothing_is_sent_on_a_connection_on_which_bytes_come_while_it_is_proved() {
    for bytes in [&b"H"[..], b"HTTP/1.1 200 OK"] {
        let (listener, address) = listener();
        let mut fixture = Fixture::new();
        fixture.send(address);
        let (mut stream, _) = listener.accept().expect("a connection");
        fixture.wait_until("the connection is established", is_connected);
        stream.write_all(bytes).expect("an open socket");
        fixture.run_for(DELIVERY_TIME);
        fixture.now = START + PROVED;
        fixture.with_io(|pool, io, events| pool.on_tick(io, events));
        assert_nothing_was_sent(&fixture, stream, &String::from_utf8_lossy(bytes));
    }
}
