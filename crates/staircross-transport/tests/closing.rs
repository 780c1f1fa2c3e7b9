//! Tests that callers which connect while a listener closes are answered or refused, and never cut.

use mio::{Events, Poll};
use staircross_http::ServerLimits;
use staircross_transport::server::{Server, ServerEvent, ServerTimeouts};
use staircross_transport::socket::{IoContext, READ_CHUNK, Readiness, SocketId, SocketKind};
use staircross_types::boot_clock as clock;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Number of servers that are stopped, and how many of them run at once.
const STOPS: usize = 30;
const STOPS_AT_ONCE: usize = 6;
/// Number of callers of each server.
const CALLERS: usize = 8;
/// Time for which a server is used before it stops.
const SERVING_TIME: Duration = Duration::from_millis(100);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// A server that answers each request and closes its connection.
struct ClosingServer {
    server: Server<()>,
    poll: Poll,
}

impl ClosingServer {
    fn listen() -> (Self, SocketAddr) {
        let poll = Poll::new().expect("a poll");
        let mut server = Server::new(1000);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = server.listen((), any_port, poll.registry()).expect("listens");
        (ClosingServer { server, poll }, address)
    }

    /// Answers requests until `must_stop` is set and nobody uses the server any more.
    fn run(mut self, must_stop: &AtomicBool) {
        let mut poll_events = Events::with_capacity(64);
        while !self.server.is_drained(clock::now(), ()) {
            if must_stop.load(Ordering::Acquire) {
                self.server.stop_listening(clock::now(), ()).expect("the filter is taken");
            }
            self.poll.poll(&mut poll_events, Some(Duration::from_millis(5))).expect("polls");
            let mut events = Vec::new();
            for event in &poll_events {
                let id = SocketId::from_token(event.token()).expect("a token of the server");
                self.on_socket(id, event.into(), &mut events);
            }
            let timeouts = ServerTimeouts { partial_request: Duration::from_secs(30), idle: Duration::from_secs(30) };
            self.server.sweep(clock::now(), timeouts, self.poll.registry(), &mut events);
            for event in events {
                self.answer(event);
            }
        }
    }

    fn on_socket(&mut self, id: SocketId, readiness: Readiness, events: &mut Vec<ServerEvent<()>>) {
        let now = clock::now();
        if id.kind == SocketKind::Listener {
            return self.server.accept_connections(now, id, self.poll.registry());
        }
        let mut buffer = [0; READ_CHUNK];
        let limits = ServerLimits { head_bytes: 4096, body_bytes: 4096 };
        let mut io = IoContext { now, registry: self.poll.registry(), buffer: &mut buffer, limits };
        self.server.on_ready(id, readiness, &mut io, events);
    }

    fn answer(&mut self, event: ServerEvent<()>) {
        let ServerEvent::Request { connection, .. } = event else {
            return;
        };
        let mut buffer = [0; READ_CHUNK];
        let limits = ServerLimits { head_bytes: 4096, body_bytes: 4096 };
        let mut io = IoContext { now: clock::now(), registry: self.poll.registry(), buffer: &mut buffer, limits };
        self.server.respond(connection, RESPONSE.to_vec(), true, &mut io, &mut Vec::new());
    }
}

/// Sends requests on a new connection each until connections are refused. Returns how many were cut.
fn count_cut_requests(address: SocketAddr) -> usize {
    let mut cut = 0;
    while let Ok(stream) = TcpStream::connect(address) {
        cut += usize::from(!is_answered(stream));
    }
    cut
}

fn is_answered(mut stream: TcpStream) -> bool {
    let mut response = Vec::new();
    let sent = stream.write_all(b"GET / HTTP/1.1\r\nHost: shop\r\n\r\n");
    sent.is_ok() && stream.read_to_end(&mut response).is_ok() && response == RESPONSE
}

/// Stops a server that callers use. Returns how many requests were cut.
fn stop_once() -> usize {
    let (server, address) = ClosingServer::listen();
    let must_stop = Arc::new(AtomicBool::new(false));
    let seen_by_server = must_stop.clone();
    let serving = thread::spawn(move || server.run(&seen_by_server));
    let callers: Vec<_> = (0..CALLERS).map(|_| thread::spawn(move || count_cut_requests(address))).collect();
    thread::sleep(SERVING_TIME);
    must_stop.store(true, Ordering::Release);
    let cut = callers.into_iter().map(|caller| caller.join().expect("a caller ends")).sum();
    serving.join().expect("the server ends");
    cut
}

/// Guards against requests cut at the end of a planned stop: a connection that completes its handshake between the
/// last accept and the close of the listener is reset, and its caller can't know whether its request ran.
#[test]
fn callers_that_connect_while_a_listener_closes_are_not_cut() {
    let workers = (0..STOPS_AT_ONCE).map(|_| thread::spawn(|| (0..STOPS / STOPS_AT_ONCE).map(|_| stop_once()).sum()));
    let workers: Vec<thread::JoinHandle<usize>> = workers.collect();
    let cut: usize = workers.into_iter().map(|worker| worker.join().expect("a worker ends")).sum();
    assert_eq!(cut, 0, "requests cut in {STOPS} stops");
}
