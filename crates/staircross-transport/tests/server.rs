//! Tests that the server still reads connections that were made before their listener closed.

use mio::{Events, Poll};
use staircross_http::ServerLimits;
use staircross_transport::server::{Server, ServerEvent, ServerTimeouts};
use staircross_transport::socket::{IoContext, SocketId, SocketKind};
use staircross_types::BootTime;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The only endpoint of these tests' servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Endpoint {
    Callers,
}

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Waits for readiness events once, and passes them to the server. Returns the server's events.
fn handle_readiness(server: &mut Server<Endpoint>, poll: &mut Poll, now: BootTime) -> Vec<ServerEvent<Endpoint>> {
    let mut poll_events = Events::with_capacity(16);
    let mut buffer = Box::new([0_u8; staircross_transport::socket::READ_CHUNK]);
    let mut server_events = Vec::new();
    poll.poll(&mut poll_events, Some(Duration::from_millis(20))).expect("polls");
    for event in &poll_events {
        let id = SocketId::from_token(event.token()).expect("a token of the server");
        let limits = ServerLimits { head_bytes: 4096, body_bytes: 4096 };
        let mut io = IoContext { now, registry: poll.registry(), buffer: &mut buffer, limits };
        match id.kind {
            SocketKind::Inbound => server.on_ready(id, event.into(), &mut io, &mut server_events),
            _ => server.accept_connections(now, id, poll.registry()),
        }
    }
    server_events
}

/// Passes readiness events to the server until a request is complete. Returns whether one was.
fn next_request(server: &mut Server<Endpoint>, poll: &mut Poll, now: BootTime) -> bool {
    let is_request = |event: &ServerEvent<Endpoint>| matches!(event, ServerEvent::Request { .. });
    (0..100).any(|_| handle_readiness(server, poll, now).iter().any(is_request))
}

/// Checks the timeouts. Returns the events.
fn sweep(server: &mut Server<Endpoint>, poll: &Poll, now: BootTime) -> Vec<ServerEvent<Endpoint>> {
    let timeouts = ServerTimeouts { partial_request: PARTIAL_REQUEST_TIMEOUT, idle: Duration::from_secs(30) };
    let mut events = Vec::new();
    server.sweep(now, timeouts, poll.registry(), &mut events);
    events
}

#[test]
fn what_has_connected_before_a_listener_closes_is_read() {
    let mut poll = Poll::new().expect("a poll");
    let mut server = Server::new(10);
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = server.listen(Endpoint::Callers, any_port, poll.registry()).expect("listens");
    let mut caller = TcpStream::connect(address).expect("connects");
    caller.write_all(b"GET / HTTP/1.1\r\nHost: shop\r\n\r\n").expect("sent");

    server.stop_listening(at(950), Endpoint::Callers).expect("the filter is taken");
    sweep(&mut server, &poll, at(1000));
    assert!(TcpStream::connect(address).is_err(), "new connections are refused");
    assert!(!server.is_drained(at(1000), Endpoint::Callers));
    assert!(server.is_drained(at(1500), Endpoint::Callers));
    assert!(next_request(&mut server, &mut poll, at(1600)), "the request from before the listener closed is read");
    assert!(server.is_busy(Endpoint::Callers));
}

/// Guards against callers that hold connections for ever by sending a byte of a request's head now and then: each byte
/// began the time for a head anew.
#[test]
fn a_head_that_comes_byte_by_byte_has_the_time_of_one_head() {
    let mut poll = Poll::new().expect("a poll");
    let mut server = Server::new(10);
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = server.listen(Endpoint::Callers, any_port, poll.registry()).expect("listens");
    let mut caller = TcpStream::connect(address).expect("connects");
    caller.set_nodelay(true).expect("an open socket");
    handle_readiness(&mut server, &mut poll, at(0));
    for (index, byte) in b"GET / HTTP/1.1\r\n".iter().enumerate() {
        let now = at(index as u64 * 500);
        caller.write_all(&[*byte]).expect("sent");
        assert!(handle_readiness(&mut server, &mut poll, now).is_empty(), "the head isn't complete");
        let events = sweep(&mut server, &poll, now);
        if let Some(ServerEvent::RequestTimedOut { .. }) = events.first() {
            assert_eq!(now, at(3000), "three seconds after the first byte");
            return;
        }
        assert!(events.is_empty(), "{events:?}");
    }
    panic!("the head has no end");
}
