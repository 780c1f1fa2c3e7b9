//! What connections cost together is bounded: incomplete requests, and answers that peers don't read, in this process and
//! in the kernel.

mod common;

use common::{TestServer, response};
use socket2::{Domain, Socket, Type};
use staircross_transport::server::Server;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

const MAX_HELD: usize = 1_000_000;
const BODY: usize = 300_000;

fn listen() -> (TestServer, SocketAddr) {
    TestServer::listen_with(Server::new(100).with_max_bytes(MAX_HELD))
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

/// Connects a peer whose buffers hold little, so that what it doesn't read stays at the server.
fn connect_small(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a size");
    socket.set_send_buffer_size(32 * 1024).expect("a size");
    socket.connect(&address.into()).expect("connects");
    socket.into()
}

/// Guards against answers that fill the kernel's memory: those that it had taken counted as read.
#[test]
fn answers_that_the_kernel_holds_count() {
    const LENGTH: usize = 100_000;
    let (mut server, address) = listen();
    let mut peers: Vec<TcpStream> = (0..30).map(|_| connect_small(address)).collect();
    for peer in &mut peers {
        peer.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("written");
        server.run_until_quiet();
        server.answer(response(LENGTH));
        server.now = server.now + Duration::from_millis(10);
    }
    let most = MAX_HELD / LENGTH;
    assert!(server.server.connection_count() <= most, "{} unread answers", server.server.connection_count());
    assert_eq!(server.dropped_answers + server.server.connection_count(), peers.len());
}

/// Guards against requests that fill the memory: each event of the socket read some more of those sent ahead.
#[test]
fn a_peer_that_sends_ahead_is_read_no_further() {
    let (mut server, address) = listen();
    let mut peer = connect_small(address);
    peer.set_nonblocking(true).expect("an open socket");
    let requests = b"GET / HTTP/1.1\r\n\r\n".repeat(1000);
    let mut sent = 0;
    for _ in 0..2000 {
        if let Ok(count) = peer.write(&requests) {
            sent += count;
        }
        server.poll_once(Duration::from_millis(1));
    }
    assert_eq!(server.waiting.len(), 1);
    assert!(sent < MAX_HELD, "{sent} bytes sent while the first request waits");
}

/// Guards against answers that the kernel goes on holding for a peer that has closed its side and doesn't read.
#[test]
fn a_peer_that_closes_its_side_is_kept_until_it_has_read() {
    const LENGTH: usize = 100_000;
    let (mut server, address) = listen();
    let mut peer = connect_small(address);
    peer.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("written");
    server.run_until_quiet();
    server.answer(response(LENGTH));
    peer.shutdown(Shutdown::Write).expect("an open socket");
    server.run_until_quiet();
    server.sweep();
    assert_eq!(server.server.connection_count(), 1, "the answer isn't read");
    let mut whole = vec![0; response(LENGTH).len()];
    let reader = std::thread::spawn(move || peer.read_exact(&mut whole).map(|()| peer));
    while !reader.is_finished() {
        server.poll_once(Duration::from_millis(10));
    }
    drop(reader.join().expect("no panic").expect("the whole answer"));
    server.run_until_quiet();
    server.sweep();
    assert_eq!(server.server.connection_count(), 0, "the answer is read");
}

/// Guards against the same from a peer that never reads: its connection has the time of an idle one.
#[test]
fn a_peer_that_closes_its_side_and_never_reads_is_reset() {
    let (mut server, address) = listen();
    let mut peer = connect_small(address);
    peer.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("written");
    server.run_until_quiet();
    server.answer(response(100_000));
    peer.shutdown(Shutdown::Write).expect("an open socket");
    server.run_until_quiet();
    for _ in 0..4 {
        server.now = server.now + Duration::from_secs(15);
        server.sweep();
    }
    assert_eq!(server.server.connection_count(), 0);
    let mut rest = Vec::new();
    assert!(peer.read_to_end(&mut rest).is_err(), "the answer doesn't look whole");
}

/// Guards against callers that are kept out by connections that do nothing.
#[test]
fn a_stalled_connection_gives_way_to_a_new_one() {
    let (mut server, address) = TestServer::listen_with(Server::new(2).with_max_bytes(MAX_HELD));
    let mut idle: Vec<TcpStream> = (0..2).map(|_| connect_small(address)).collect();
    idle[1].write_all(b"GET / HT").expect("written");
    server.run_until_quiet();
    let mut early = connect_small(address);
    server.run_until_quiet();
    assert_eq!(early.read(&mut [0]).expect("closed"), 0, "the others have just connected");
    server.now = server.now + Duration::from_secs(1);
    let mut late = connect_small(address);
    late.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("written");
    server.run_until_quiet();
    assert_eq!((server.waiting.len(), server.server.take_stalled_count()), (1, 1));
    assert_eq!(idle[0].read(&mut [0]).expect("closed"), 0, "the one without progress for the longest time");
}

/// Guards against a bound that honest callers meet: the machines of the known deployments keep the number of connections
/// that their descriptors allow.
#[test]
fn the_memory_of_usual_machines_holds_the_connections_of_their_descriptors() {
    for (memory_mb, descriptors) in [(112, 2870), (160, 4100), (256, 1024), (260, 4100), (512, 8192)] {
        let connections = (descriptors - 264) / 2;
        let server = Server::<()>::new(connections).with_max_bytes(memory_mb * 1024 * 1024 / 4);
        assert_eq!(server.max_connections(), connections, "{memory_mb} MB");
    }
}
