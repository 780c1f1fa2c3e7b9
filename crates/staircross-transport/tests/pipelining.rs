//! Tests of requests that a peer sends before it has the answer to the one before.

mod common;

use common::{TestServer, response};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: shop\r\n\r\n";

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

/// Guards against a peer that keeps the node from its other work: all requests that it had sent ahead were taken in one
/// turn of the node's loop, and those that came meanwhile too.
#[test]
fn requests_sent_ahead_wait_for_their_turns() {
    const REQUESTS: usize = 2000;
    const MOST_IN_A_TURN: usize = 100;
    let (mut server, address) = TestServer::listen();
    let mut caller = TcpStream::connect(address).expect("connects");
    caller.write_all(&REQUEST.repeat(REQUESTS)).expect("sent");
    let mut answered = 0;
    while answered < REQUESTS {
        server.poll_once(Duration::from_millis(10));
        let before = answered;
        while !server.waiting.is_empty() {
            server.answer(response(0));
            answered += 1;
        }
        assert!(answered - before <= MOST_IN_A_TURN, "{} requests in one turn", answered - before);
    }
}
