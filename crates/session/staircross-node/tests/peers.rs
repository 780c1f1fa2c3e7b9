//! Tests of the connections to other nodes.

mod common;

use common::free_address;
use crossbeam::channel::{Receiver, unbounded};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use staircross_node::event::CoreEvent;
use staircross_node::logs::Logs;
use staircross_node::metrics::Metrics;
use staircross_node::peers::{PeerTransport, PeerTransportParts};
use staircross_types::{AttemptId, NodeId, RequestId};
use staircross_wire::frame::MAX_FRAME;
use staircross_wire::{ClusterKey, PONG, PeerMessage, accept, connect, read_frame, write_frame};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

const NODE: NodeId = NodeId(1);
/// Time after which a wait fails. It is far longer than any step takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

fn key() -> ClusterKey {
    ClusterKey::new("test", "a key for this test only")
}

fn start_transport() -> (PeerTransport, Receiver<CoreEvent>) {
    let (transport, received, _) = start_listening_transport();
    (transport, received)
}

fn start_listening_transport() -> (PeerTransport, Receiver<CoreEvent>, SocketAddr) {
    let (events, received) = unbounded();
    let listen = free_address();
    let parts = PeerTransportParts {
        node: NODE,
        listen,
        key: key(),
        events,
        logs: Logs::from_filter("off").expect("a filter"),
        metrics: Metrics::new().expect("registers"),
        stop: Arc::new(AtomicBool::new(false)),
    };
    (PeerTransport::start(parts).expect("starts"), received, listen)
}

fn cancel(sequence: u64) -> PeerMessage {
    let attempt = AttemptId { request: RequestId { node: NODE, sequence }, attempt: 1 };
    PeerMessage::Cancel { from: NODE, attempt }
}

/// Accepts the next connection, as one run of a peer does.
fn accept_peer(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("an open socket");
    let started = Instant::now();
    loop {
        if let Ok((mut stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("an open socket");
            accept(&mut stream, &key(), 7).expect("the key is known");
            return stream;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "nobody connects");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn receive(stream: &mut TcpStream) -> PeerMessage {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    read_frame(stream, MAX_FRAME).expect("a message")
}

/// Starts a peer, lets it receive one message, and ends it. Returns its address.
fn run_peer_once(transport: &mut PeerTransport) -> SocketAddr {
    let listener = TcpListener::bind(free_address()).expect("binds");
    let address = listener.local_addr().expect("has an address");
    transport.send(address, cancel(1));
    let mut stream = accept_peer(&listener);
    assert_eq!(receive(&mut stream), cancel(1));
    address
}

/// Guards against messages lost after the restart of a peer: the first was written to the connection to the run before,
/// and the second found that connection broken. A session's copies were late by two seconds, and lost with their holder.
#[test]
fn the_first_message_to_a_peer_that_has_started_again_arrives() {
    let (mut transport, _events) = start_transport();
    let address = run_peer_once(&mut transport);
    let listener = TcpListener::bind(address).expect("binds");
    transport.send(address, cancel(2));
    assert_eq!(receive(&mut accept_peer(&listener)), cancel(2));
}

/// Guards against requests whose reply never comes because the peer has ended: the core learns of it with the next
/// message to that peer.
#[test]
fn the_core_learns_that_a_peer_has_closed_its_connection() {
    let (mut transport, events) = start_transport();
    let address = run_peer_once(&mut transport);
    transport.send(address, cancel(2));
    let event = events.recv_timeout(WAIT_TIMEOUT).expect("an event");
    assert!(matches!(event, CoreEvent::PeerBroken(broken) if broken == address));
}

/// Guards against requests and replies that are lost for as long as there is traffic: the connection to the peer goes
/// silent for good, though the bytes written on it are acknowledged and new connections work.
#[test]
fn a_connection_to_a_peer_that_has_gone_silent_is_replaced() {
    let (mut transport, _events) = start_transport();
    let listener = TcpListener::bind(free_address()).expect("binds");
    let address = listener.local_addr().expect("has an address");
    transport.send(address, cancel(1));
    let mut silent = accept_peer(&listener);
    assert_eq!(receive(&mut silent), cancel(1));
    assert!(opens_another_connection(&mut transport, &listener), "no new connection within {WAIT_TIMEOUT:?}");
}

/// Sends messages to the listener's address for [`WAIT_TIMEOUT`] at most, and returns whether a connection was opened.
fn opens_another_connection(transport: &mut PeerTransport, listener: &TcpListener) -> bool {
    let address = listener.local_addr().expect("has an address");
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        transport.send(address, cancel(2));
        if listener.accept().is_ok() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Returns whether another connection is opened while `peer` handles the first one.
fn is_replaced(accept: fn(&mut TcpStream), peer: fn(TcpStream)) -> bool {
    let (mut transport, _events) = start_transport();
    let listener = TcpListener::bind(free_address()).expect("binds");
    let address = listener.local_addr().expect("has an address");
    transport.send(address, cancel(1));
    let (mut stream, _) = listener.accept().expect("a connection");
    accept(&mut stream);
    std::thread::spawn(move || peer(stream));
    listener.set_nonblocking(true).expect("an open socket");
    opens_another_connection(&mut transport, &listener)
}

/// Guards against new connections to a peer that is merely slow: it answers each ping after more than a second.
#[test]
fn a_connection_to_a_peer_that_answers_pings_late_is_kept() {
    let accept_new = |stream: &mut TcpStream| {
        accept(stream, &key(), 7).expect("the key is known");
    };
    let answer_late = |mut stream: TcpStream| {
        while let Ok(message) = read_frame::<PeerMessage>(&mut stream, MAX_FRAME) {
            if message == PeerMessage::Ping {
                std::thread::sleep(Duration::from_millis(1200));
                stream.write_all(&[PONG]).expect("an open connection");
            }
        }
    };
    assert!(!is_replaced(accept_new, answer_late));
}

/// Guards against a connection for every few seconds to a peer of a release that knows no pings, and against frames that
/// it can't read.
#[test]
fn a_connection_to_a_peer_without_pings_is_kept() {
    /// The first and the second frame of the handshake as that release has them.
    #[derive(Deserialize)]
    struct Hello {
        node: NodeId,
        nonce: u128,
    }
    #[derive(Serialize)]
    struct Challenge {
        nonce: u128,
        proof: [u8; 32],
    }
    let accept_old = |stream: &mut TcpStream| {
        let hello: Hello = read_frame(stream, MAX_FRAME).expect("a hello");
        let parts: [&[u8]; 4] =
            [b"acceptor", &hello.nonce.to_be_bytes(), &7_u128.to_be_bytes(), &hello.node.0.to_be_bytes()];
        write_frame(stream, &Challenge { nonce: 7, proof: key().sign(&parts) }).expect("writes");
        read_frame::<IgnoredAny>(stream, MAX_FRAME).expect("a response");
    };
    let read_on = |mut stream: TcpStream| loop {
        match read_frame::<PeerMessage>(&mut stream, MAX_FRAME) {
            Ok(message) => assert_ne!(message, PeerMessage::Ping),
            Err(_) => return,
        }
    };
    assert!(!is_replaced(accept_old, read_on));
}

#[test]
fn a_node_answers_pings() {
    let (_transport, _events, address) = start_listening_transport();
    let mut stream = TcpStream::connect(address).expect("connects");
    assert!(connect(&mut stream, &key(), NodeId(2), 8).expect("the key is known").answers_pings);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    for _ in 0..2 {
        write_frame(&mut stream, &PeerMessage::Ping).expect("writes");
        let mut buf = [0];
        stream.read_exact(&mut buf).expect("an answer");
        assert_eq!(buf, [PONG]);
    }
}

/// Guards against strangers that hold a thread and a descriptor each for as long as they send a byte now and then.
#[test]
fn a_handshake_that_comes_byte_by_byte_has_the_time_of_one_handshake() {
    let (_transport, _received, address) = start_listening_transport();
    let mut stranger = TcpStream::connect(address).expect("connects");
    stranger.set_read_timeout(Some(Duration::from_millis(300))).expect("a timeout");
    let started = Instant::now();
    // The length of a frame, and then its bytes.
    let mut frame = [0, 0, 4, 0].into_iter().chain(std::iter::repeat(0));
    loop {
        assert!(started.elapsed() < WAIT_TIMEOUT, "the handshake goes on");
        let is_closed = match stranger.read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => !matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
        };
        if is_closed || stranger.write_all(&[frame.next().expect("endless")]).is_err() {
            return;
        }
    }
}

/// Guards against nodes that can't connect because strangers hold as many handshakes as there may be.
#[test]
fn a_node_that_connects_beside_many_strangers_is_heard() {
    const STRANGERS: usize = 300;
    let (_transport, received, address) = start_listening_transport();
    let strangers: Vec<TcpStream> = (0..STRANGERS).map(|_| TcpStream::connect(address).expect("connects")).collect();
    let mut peer = TcpStream::connect(address).expect("connects");
    connect(&mut peer, &key(), NodeId(2), 3).expect("the key is known");
    write_frame(&mut peer, &cancel(9)).expect("written");
    let event = received.recv_timeout(WAIT_TIMEOUT).expect("the message");
    assert!(matches!(event, CoreEvent::Peer(PeerMessage::Cancel { .. })));
    let mut oldest = &strangers[0];
    oldest.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    assert_eq!(oldest.read(&mut [0]).expect("closed"), 0, "the oldest handshake made room");
}
