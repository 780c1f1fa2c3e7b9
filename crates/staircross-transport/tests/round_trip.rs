//! Tests that the kernel reports the round-trip time of an accepted connection.

use staircross_transport::round_trip::round_trip;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

#[test]
fn a_peer_on_loopback_is_near() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let _caller = TcpStream::connect(listener.local_addr().expect("bound")).expect("somebody listens");
    let (accepted, _) = listener.accept().expect("the caller waits");
    accepted.set_nonblocking(true).expect("an open socket");
    let measured = round_trip(&mio::net::TcpStream::from_std(accepted)).expect("the kernel has measured the handshake");
    assert!(measured < Duration::from_secs(1), "{measured:?}");
}
