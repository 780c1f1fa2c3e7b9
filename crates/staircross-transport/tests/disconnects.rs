//! Tests that the server notices a peer that closes its connection, however the close is delivered: together with the
//! last bytes of the request, or later.

mod common;

use common::{TestServer, response};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nHost: shop\r\nContent-Length: 2\r\n\r\nhi";
/// Time that the test gives to bytes on loopback, so that those sent before and after it come in separate events.
const DELIVERY_TIME: Duration = Duration::from_millis(20);

fn listen() -> (TestServer, SocketAddr) {
    let (mut server, address) = TestServer::listen();
    server.expect_disconnects();
    (server, address)
}

fn connect(address: SocketAddr) -> TcpStream {
    let peer = TcpStream::connect(address).expect("connects");
    peer.set_nodelay(true).expect("an open socket");
    peer
}

/// Asserts that the server has reported one request and then its disconnect, and holds no connection.
fn assert_request_and_disconnect(server: &TestServer, what: &str) {
    assert_eq!(server.waiting.len(), 1, "{what}: the request is complete");
    assert_eq!(server.disconnected, server.waiting, "{what}: its peer is gone");
    assert_eq!(server.server.connection_count(), 0, "{what}");
}

/// Guards against work for peers that are gone: a read that didn't fill the buffer was taken to be the last one, so a
/// close that had arrived together with the request was never read.
#[test]
fn a_close_that_arrives_together_with_its_request_is_noticed() {
    let (mut server, address) = listen();
    let mut peer = connect(address);
    peer.write_all(REQUEST).expect("sent");
    drop(peer);
    server.run_until_quiet();
    assert_request_and_disconnect(&server, "on a new connection");
}

/// Guards against the same on a connection that is in use, whose events are separate from those of the accept.
#[test]
fn a_close_that_arrives_together_with_a_later_request_is_noticed() {
    let (mut server, address) = listen();
    let mut peer = connect(address);
    peer.write_all(REQUEST).expect("sent");
    server.run_until_quiet();
    server.answer(response(0));
    peer.read_exact(&mut vec![0; response(0).len()]).expect("answered");
    peer.write_all(REQUEST).expect("sent");
    drop(peer);
    server.run_until_quiet();
    assert_request_and_disconnect(&server, "on a used connection");
}

/// Guards against a boundary at which the close is missed: the request comes in two parts, split at each byte, and the
/// close comes with the second part or after it.
#[test]
fn a_close_is_noticed_wherever_the_request_is_split() {
    for split in 1..REQUEST.len() {
        for closes_with_last_byte in [true, false] {
            let (mut server, address) = listen();
            let mut peer = connect(address);
            peer.write_all(&REQUEST[..split]).expect("sent");
            while server.poll_once(DELIVERY_TIME) {}
            peer.write_all(&REQUEST[split..]).expect("sent");
            if !closes_with_last_byte {
                while server.poll_once(DELIVERY_TIME) {}
            }
            drop(peer);
            while server.poll_once(DELIVERY_TIME) {}
            assert_request_and_disconnect(
                &server,
                &format!("split at {split}, closed with it: {closes_with_last_byte}"),
            );
        }
    }
}

/// Guards against peers that hide their close behind more bytes than the server reads ahead.
#[test]
fn a_close_behind_more_bytes_than_are_read_ahead_is_noticed() {
    let (mut server, address) = listen();
    let mut peer = connect(address);
    // A thread of its own, since the peer may have to wait until the server reads.
    let sender = thread::spawn(move || peer.write_all(&REQUEST.repeat(120_000 / REQUEST.len())));
    server.run_until_quiet();
    sender.join().expect("the peer's thread ends").expect("sent");
    server.run_until_quiet();
    assert_request_and_disconnect(&server, "behind 120 kB");
}

/// Guards against the same where the close can't arrive, because the unread bytes before it fill the socket's buffer.
#[test]
fn a_close_behind_more_bytes_than_the_socket_holds_is_noticed() {
    let (mut server, address) = listen();
    let mut peer = connect(address);
    peer.set_write_timeout(Some(Duration::from_millis(200))).expect("an open socket");
    let sender = thread::spawn(move || {
        // What the system doesn't take in time is left out.
        let _may_time_out = peer.write_all(&REQUEST.repeat(8_000_000 / REQUEST.len()));
    });
    server.run_until_quiet();
    sender.join().expect("the peer's thread ends");
    server.run_until_quiet();
    assert_request_and_disconnect(&server, "behind 8 MB");
}
