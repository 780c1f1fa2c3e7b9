//! Tests of what searchers that send fast may take of a turn and of the memory.

mod pool_fixture;

use pool_fixture::{Fixture, count_ended, is_connected, listener, read_request};
use staircross_routing::AttemptOutcome;
use staircross_routing::state::request::Unknown;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Number of chunks in the answer of a fast searcher.
const CHUNKS: usize = 1 << 20;
/// Maximum number of bytes of all incomplete answers together.
const MAX_BUFFERED: usize = 1 << 20;
/// Maximum number of bytes that one turn may read from a connection: the pool's limit, and the buffer that exceeds it.
const MAX_READ_PER_TURN: u64 = 64 * 1024 + 16 * 1024;
/// Maximum time for which a test waits.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends the request `number` on a new connection, and returns the searcher's end of it.
fn connect(fixture: &mut Fixture, listener: &TcpListener, address: SocketAddr, number: u16) -> TcpStream {
    let before = fixture.events.len();
    fixture.send_numbered(address, number);
    fixture.wait_until("the connection is established", |events| is_connected(&events[before..]));
    let (mut stream, _) = listener.accept().expect("a connection");
    read_request(&mut stream);
    stream
}

fn bytes_read(fixture: &Fixture) -> u64 {
    fixture.pool.traffic.nonzero_counts().map(|(_, _, bytes)| bytes).sum()
}

/// Runs a turn: what is due by the clock, then readiness events. Returns the number of bytes read for the one that read
/// more.
fn turn(fixture: &mut Fixture) -> u64 {
    let before = bytes_read(fixture);
    fixture.with_io(|pool, io, events| pool.on_tick(io, events));
    let after_tick = bytes_read(fixture);
    fixture.poll_once(Duration::from_millis(1));
    (after_tick - before).max(bytes_read(fixture) - after_tick)
}

/// Guards against a searcher that holds up all other requests: a turn read its connection for as long as bytes came.
#[test]
fn a_turn_reads_a_part_of_what_a_fast_searcher_sends() {
    let (listener, address) = listener();
    let mut fixture = Fixture::with_max_answer(CHUNKS);
    let mut stream = connect(&mut fixture, &listener, address, 0);
    let sender = thread::spawn(move || {
        // Chunks of one byte take longer to read than to send, so the reader never catches up.
        let body = b"1\r\nx\r\n".repeat(CHUNKS);
        let head = b"HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(&[head, &body[..], b"0\r\n\r\n"].concat()).expect("the answer is read");
        stream
    });
    let end = Instant::now() + WAIT_TIMEOUT;
    while count_ended(&fixture.events) == 0 {
        assert!(Instant::now() < end, "the answer isn't read to its end");
        let read = turn(&mut fixture);
        assert!(read <= MAX_READ_PER_TURN, "{read} bytes in one turn");
    }
    sender.join().expect("the sender ends");
    let outcome = fixture.outcome();
    assert!(
        matches!(outcome, Some(AttemptOutcome::Answered(answer)) if answer.body.len() == CHUNKS),
        "a long legal answer is read whole"
    );
}

/// Guards against a process that is killed for its memory: each answer was bounded, but not all answers together.
#[test]
fn answers_that_are_too_large_together_cost_the_largest() {
    let (listener, address) = listener();
    let mut fixture = Fixture::with_max_answer(MAX_BUFFERED);
    fixture.pool = fixture.pool.with_max_buffered(MAX_BUFFERED);
    let lengths = [300_000, 500_000, 400_000];
    let mut streams = Vec::new();
    for (number, length) in (0..).zip(lengths) {
        let mut stream = connect(&mut fixture, &listener, address, number);
        let head = format!("HTTP/1.1 200 OK\r\nId: {}\r\nContent-Length: 600000\r\n\r\n", 7 + number);
        let bytes = [head.as_bytes(), &vec![b'x'; length]].concat();
        let writer = thread::spawn(move || {
            stream.write_all(&bytes).expect("the answer is read");
            stream
        });
        let end = Instant::now() + WAIT_TIMEOUT;
        while !writer.is_finished() && Instant::now() < end {
            turn(&mut fixture);
        }
        for _ in 0..20 {
            turn(&mut fixture);
        }
        streams.push(writer.join().expect("the sender ends"));
    }
    assert_eq!(count_ended(&fixture.events), 1, "{:?}", fixture.events);
    let outcome = fixture.outcome();
    assert!(matches!(outcome, Some(AttemptOutcome::Unknown(Unknown::TooLong))), "{outcome:?}");
    assert_eq!(fixture.pool.connection_count(), 2, "the others go on");
}
