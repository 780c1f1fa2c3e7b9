//! Tests that answers of searchers are read correctly wherever the system splits them, and whether the end of the
//! connection comes with the last byte or later.

mod pool_fixture;

use pool_fixture::{Fixture, START, is_connected, is_ended, listener, read_request};
use staircross_routing::AttemptOutcome;
use staircross_types::BootTime;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// An answer to request 7 that has no length and ends with its connection.
const UNFRAMED_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nId: 7\r\nStamp: s\r\n\r\nwhole";
/// Time that the test gives to bytes on loopback, so that those sent before and after it come in separate events.
const DELIVERY_TIME: Duration = Duration::from_millis(20);

/// Sends request 7 on a new connection. Returns the searcher's end of it.
fn send_request() -> (Fixture, TcpStream) {
    let (listener, address) = listener();
    let mut fixture = Fixture::with_proving_until(BootTime::default());
    fixture.send(address);
    fixture.wait_until("the connection is established", is_connected);
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.set_nodelay(true).expect("an open socket");
    read_request(&mut stream);
    (fixture, stream)
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
    let (mut fixture, mut stream) = send_request();
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
            let (mut fixture, mut stream) = send_request();
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
