//! Tests the server without free descriptors. The file holds one test, because it uses up those of its process.

use mio::Poll;
use staircross_transport::server::{Server, ServerTimeouts};
use staircross_transport::socket::{SocketId, SocketKind};
use staircross_types::BootTime;
use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Guards against connections that nobody accepts: they had come while no descriptor was free, and were looked at only
/// when a further one came.
#[test]
fn connections_that_came_without_a_free_descriptor_are_accepted_later() {
    let now = BootTime::from_millis(1000);
    let poll = Poll::new().expect("a poll");
    let mut server = Server::new(10);
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = server.listen((), any_port, poll.registry()).expect("listens");
    let mut files: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    drop(files.pop());
    let _caller = TcpStream::connect(address).expect("connects with the last descriptor");

    let listener = SocketId { kind: SocketKind::Listener, generation: 0, slot: 0 };
    server.accept_connections(now, listener, poll.registry());
    assert_eq!(server.connection_count(), 0, "no descriptor is free");
    files.clear();
    let timeouts = ServerTimeouts { partial_request: Duration::from_secs(3), idle: Duration::from_secs(30) };
    server.sweep(now, timeouts, poll.registry(), &mut Vec::new());
    assert_eq!(server.connection_count(), 1);
}
