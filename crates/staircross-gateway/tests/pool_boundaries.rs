//! Tests that answers of searchers are read correctly wherever the system splits them, and whether the end of the
//! connection comes with the last byte or later.

mod pool_fixture;

use pool_fixture::{Fixture, START, count_ended, is_connected, is_ended, listener, read_request, write_answer};
use staircross_routing::AttemptOutcome;
use staircross_types::BootTime;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// An answer to request 7 that has no length and ends with its connection.
const UNFRAMED_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nId: 7\r\nStamp: s\r\n\r\nwhole";
/// An answer to request 7 that is sent once more than it should be. It says that the request didn't run.
const EXTRA_ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nId: 7\r\nNot-Executed: 1\r\nContent-Length: 5\r\n\r\nsorry";
/// Time that the test gives to bytes on loopback, so that those sent before and after it come in separate events.
const DELIVERY_TIME: Duration = Duration::from_millis(20);

/// Sends request 7 on a new connection. Returns the searcher's listener and its end of the connection.
fn send_request() -> (Fixture, TcpListener, TcpStream) {
    let (listener, address) = listener();
    let mut fixture = Fixture::with_proving_until(BootTime::default());
    fixture.send(address);
    fixture.wait_until("the connection is established", is_connected);
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.set_nodelay(true).expect("an open socket");
    read_request(&mut stream);
    (fixture, listener, stream)
}

fn assert_whole_answer(fixture: &Fixture, what: &str) {
    let outcome = fixture.outcome();
    assert!(
        matches!(outcome, Some(AttemptOutcome::Answered(answer)) if answer.body == b"whole"),
        "{what}: {outcome:?}"
    );
    assert_eq!(fixture.now, START, "{what}: no timeout was waited for");
}

/// Guards against answers that are never seen to end: a read that didn't fill the buffer was taken to be the last one,
/// so a close that had arrived together with the answer was never read.
#[test]
fn an_answer_without_length_is_complete_when_its_close_arrives_with_it() {
    let (mut fixture, _listener, mut stream) = send_request();
    stream.write_all(UNFRAMED_ANSWER).expect("sent");
    drop(stream);
    fixture.wait_until("the answer", is_ended);
    assert_whole_answer(&fixture, "at once");
}

/// Guards against a boundary at which the end is missed: the answer comes in two parts, split at each byte, and the
/// close comes with the second part or after it.
#[test]
fn an_answer_without_length_is_complete_wherever_it_is_split() {
    for split in 1..UNFRAMED_ANSWER.len() {
        for closes_with_last_byte in [true, false] {
            let (mut fixture, _listener, mut stream) = send_request();
            stream.write_all(&UNFRAMED_ANSWER[..split]).expect("sent");
            fixture.run_for(DELIVERY_TIME);
            stream.write_all(&UNFRAMED_ANSWER[split..]).expect("sent");
            if !closes_with_last_byte {
                fixture.run_for(DELIVERY_TIME);
            }
            assert!(!is_ended(&fixture.events), "the answer has no end yet");
            drop(stream);
            fixture.wait_until("the answer", is_ended);
            assert_whole_answer(&fixture, &format!("split at {split}, closed with it: {closes_with_last_byte}"));
        }
    }
}

/// Sends request 7 and answers it, which leaves its connection idle. Returns what [`send_request`] does.
fn idle_connection() -> (Fixture, TcpListener, TcpStream) {
    let (mut fixture, listener, mut stream) = send_request();
    write_answer(&mut stream, "200 OK", "7", "Stamp: s\r\n");
    fixture.wait_until("the answer", is_ended);
    (fixture, listener, stream)
}

/// Guards against failures that are read as successes, and answers as refusals: the beginning of an answer, cut off at any
/// byte, stayed in the buffer of a connection that went on to be used, and the next answer was read as its continuation.
#[test]
fn no_request_follows_the_beginning_of_an_answer() {
    for length in 1..EXTRA_ANSWER.len() {
        let (mut fixture, listener, mut stream) = idle_connection();
        stream.write_all(&EXTRA_ANSWER[..length]).expect("sent");
        fixture.run_for(DELIVERY_TIME);
        let before = fixture.events.len();
        fixture.send_numbered(listener.local_addr().expect("its address"), 1);
        fixture.wait_until("a new connection", |events| is_connected(&events[before..]));
    }
}

/// Guards against connections that nobody can use any more but that take room at the searcher.
#[test]
fn an_idle_connection_with_the_beginning_of_an_answer_is_closed() {
    let (mut fixture, _listener, mut stream) = idle_connection();
    stream.write_all(&EXTRA_ANSWER[..15]).expect("sent");
    fixture.run_for(DELIVERY_TIME);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 0);
}

/// Guards against the same mistake where the beginning of an answer arrives after the next request was written.
#[test]
fn an_answer_that_continues_the_beginning_of_another_is_not_believed() {
    let real_answer = b"HTTP/1.1 500 Internal Server Error\r\nId: 8\r\nStamp: t\r\nContent-Length: 0\r\n\r\n";
    for length in 1..EXTRA_ANSWER.len() {
        let (mut fixture, listener, mut stream) = idle_connection();
        fixture.send_numbered(listener.local_addr().expect("its address"), 1);
        assert_eq!(read_request(&mut stream), "8");
        stream.write_all(&[&EXTRA_ANSWER[..length], real_answer].concat()).expect("sent");
        drop(stream);
        fixture.wait_until("the attempt ends", |events| count_ended(events) == 2);
        let outcome = fixture.last_outcome();
        assert!(matches!(outcome, AttemptOutcome::Unknown(_)), "cut off after {length} bytes: {outcome:?}");
    }
}

/// Guards against a cure that costs connections: a whole extra answer is skipped, and its connection stays in use.
#[test]
fn a_connection_with_a_whole_extra_answer_stays_in_use() {
    let (mut fixture, listener, mut stream) = idle_connection();
    stream.write_all(EXTRA_ANSWER).expect("sent");
    fixture.run_for(DELIVERY_TIME);
    fixture.sweep(Duration::MAX);
    fixture.send_numbered(listener.local_addr().expect("its address"), 1);
    assert_eq!(read_request(&mut stream), "8");
    assert_eq!((fixture.pool.counters.connects, fixture.pool.counters.skipped), (1, 1));
}
