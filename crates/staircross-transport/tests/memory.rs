//! What connections hold together is bounded: incomplete requests, and answers that peers don't read.

mod common;

use common::{TestServer, response};
use staircross_transport::server::Server;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MAX_HELD: usize = 1_000_000;
const BODY: usize = 300_000;

fn listen() -> (TestServer, SocketAddr) {
    TestServer::listen_with(Server::new(100).with_max_held(MAX_HELD))
}

/// Begins a request with a body of [`BODY`] bytes, of which all but one are sent.
fn begin_request(server: &mut TestServer, address: SocketAddr) -> TcpStream {
    let mut peer = TcpStream::connect(address).expect("connects");
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {BODY}\r\n\r\n");
    let bytes = [head.as_bytes(), &vec![b'x'; BODY - 1]].concat();
    let writer = std::thread::spawn(move || {
        peer.write_all(&bytes).expect("written");
        peer
    });
    server.run_until_quiet();
    server.now = server.now + Duration::from_millis(10);
    writer.join().expect("no panic")
}

/// Guards against a process that is killed for its memory by many peers, each of which keeps to its own limit.
#[test]
fn requests_that_hold_too_much_together_are_refused_the_oldest_first() {
    let (mut server, address) = listen();
    let mut peers: Vec<TcpStream> = (0..5).map(|_| begin_request(&mut server, address)).collect();
    assert_eq!(server.dropped_requests, 2, "three of 300 KB fit");
    assert_eq!(server.waiting.len(), 2);
    while !server.waiting.is_empty() {
        server.answer(response(2));
    }
    for (number, peer) in peers.iter_mut().enumerate() {
        if number >= 2 {
            peer.write_all(b"x").expect("written");
        }
    }
    server.run_until_quiet();
    assert_eq!(server.waiting.len(), 3, "the other requests are complete");
    for peer in &mut peers[..2] {
        let mut buf = [0; 15];
        peer.read_exact(&mut buf).expect("an answer");
        assert_eq!(&buf, b"HTTP/1.1 200 OK");
    }
}

/// Guards against the same by peers that don't read, and against a bound that strikes those that do.
#[test]
fn answers_that_nobody_reads_are_dropped_before_those_that_are_read() {
    let (mut server, address) = listen();
    let ask = |server: &mut TestServer| {
        let mut peer = TcpStream::connect(address).expect("connects");
        peer.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("written");
        server.run_until_quiet();
        peer
    };
    // More than the socket's buffers hold, so that at most one fits beside another.
    let length = 8_000_000;
    let stalled: Vec<TcpStream> = (0..3).map(|_| ask(&mut server)).collect();
    let mut reading = ask(&mut server);
    while !server.waiting.is_empty() {
        server.answer(response(length));
        server.now = server.now + Duration::from_millis(10);
    }
    assert_eq!((server.dropped_answers, server.server.connection_count()), (3, 1));
    let reader = std::thread::spawn(move || {
        let mut whole = Vec::new();
        let mut buf = vec![0; 64 * 1024];
        while whole.len() < length {
            let count = reading.read(&mut buf).expect("more of the answer");
            assert!(count > 0, "the answer ends after {} bytes", whole.len());
            whole.extend_from_slice(&buf[..count]);
        }
    });
    while !reader.is_finished() {
        server.poll_once(Duration::from_millis(10));
    }
    reader.join().expect("the whole answer");
    drop(stalled);
}
