//! Tests of the connections to other nodes.

mod common;

use common::free_address;
use crossbeam::channel::{Receiver, unbounded};
use staircross_node::event::CoreEvent;
use staircross_node::logs::Logs;
use staircross_node::metrics::Metrics;
use staircross_node::peers::{PeerTransport, PeerTransportParts};
use staircross_types::{AttemptId, NodeId, RequestId};
use staircross_wire::frame::MAX_FRAME;
use staircross_wire::{ClusterKey, PeerMessage, accept, read_frame};
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
    let (events, received) = unbounded();
    let parts = PeerTransportParts {
        node: NODE,
        listen: free_address(),
        key: key(),
        events,
        logs: Logs::from_filter("off").expect("a filter"),
        metrics: Metrics::new().expect("registers"),
        stop: Arc::new(AtomicBool::new(false)),
    };
    (PeerTransport::start(parts).expect("starts"), received)
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
    let silent_since = Instant::now();
    let is_replaced = loop {
        transport.send(address, cancel(2));
        match listener.accept() {
            Ok(_) => break true,
            Err(_) if silent_since.elapsed() > WAIT_TIMEOUT => break false,
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    };
    assert!(is_replaced, "no new connection within {WAIT_TIMEOUT:?}");
}
