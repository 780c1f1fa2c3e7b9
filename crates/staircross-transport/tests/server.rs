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

/// Passes readiness events to the server until a request is complete. Returns whether one was.
fn next_request(server: &mut Server<Endpoint>, poll: &mut Poll, now: BootTime) -> bool {
    let mut poll_events = Events::with_capacity(16);
    let mut buffer = Box::new([0_u8; staircross_transport::socket::READ_CHUNK]);
    for _ in 0..100 {
        poll.poll(&mut poll_events, Some(Duration::from_millis(20))).expect("polls");
        let mut server_events = Vec::new();
        for event in &poll_events {
            let id = SocketId::from_token(event.token()).expect("a token of the server");
            let limits = ServerLimits { head_bytes: 4096, body_bytes: 4096 };
            let mut io = IoContext { now, registry: poll.registry(), buffer: &mut buffer, limits };
            if id.kind == SocketKind::Inbound {
                server.on_ready(id, event.is_writable(), &mut io, &mut server_events);
            }
        }
        if server_events.iter().any(|event| matches!(event, ServerEvent::Request { .. })) {
            return true;
        }
    }
    false
}

fn sweep(server: &mut Server<Endpoint>, poll: &Poll, now: BootTime) {
    let timeouts = ServerTimeouts { partial_request: Duration::from_secs(30), idle: Duration::from_secs(30) };
    server.sweep(now, timeouts, poll.registry(), &mut Vec::new());
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
