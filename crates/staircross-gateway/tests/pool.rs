//! Tests connections to searchers over loopback sockets, with the time set by the test.

use mio::{Events, Poll};
use rustix::net::sockopt::set_socket_linger;
use staircross_gateway::HeaderNames;
use staircross_gateway::outbound::OutboundRequest;
use staircross_gateway::pool::{Pool, PoolEvent};
use staircross_http::{Request, RequestHead, ServerLimits};
use staircross_routing::decision::placement::Distance;
use staircross_routing::engine::{SendOrder, SendReason};
use staircross_routing::state::request::Unknown;
use staircross_routing::{AttemptKey, AttemptOutcome, NotRun, RequestKey, SearcherKey, SearcherReport, SentIdentity};
use staircross_transport::socket::{IoContext, READ_CHUNK, SocketId};
use staircross_types::BootTime;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Maximum time for which a test waits for an event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const START: BootTime = BootTime(1_000_000);
const NAMES: HeaderNames = HeaderNames {
    request_id: "Id",
    deadline_ms: "Deadline",
    stamp: "Stamp",
    expect_instance: "Expect",
    not_executed: "Not-Executed",
    retry_after: "Retry-After",
    part_stamps: "Part-Stamps",
    api_key: "Key",
    tenant: "Tenant",
    missing_parts: "Missing-Parts",
    report: |_| SearcherReport::default(),
};

/// A pool whose time stays the same unless the test changes it.
struct Fixture {
    poll: Poll,
    pool: Pool,
    now: BootTime,
    buf: Box<[u8; READ_CHUNK]>,
    events: Vec<PoolEvent>,
}

impl Fixture {
    /// Creates a pool that proves all fresh connections: it sends nothing on a connection that hasn't stayed open for a
    /// moment.
    fn new() -> Self {
        Fixture::with_proving_until(BootTime::FAR_FUTURE)
    }

    /// Creates a pool that proves all fresh connections until the given time.
    fn with_proving_until(until: BootTime) -> Self {
        Fixture {
            poll: Poll::new().expect("a poll"),
            pool: Pool::new(NAMES, 1 << 20, until),
            now: START,
            buf: Box::new([0; READ_CHUNK]),
            events: Vec::new(),
        }
    }

    fn with_io(&mut self, work: impl FnOnce(&mut Pool, &mut IoContext<'_>, &mut Vec<PoolEvent>)) {
        let limits = ServerLimits { head_bytes: 1 << 16, body_bytes: 1 << 20 };
        let mut io = IoContext { now: self.now, registry: self.poll.registry(), buffer: &mut self.buf, limits };
        work(&mut self.pool, &mut io, &mut self.events);
    }

    fn send(&mut self, address: SocketAddr) {
        self.send_numbered(address, 0);
    }

    fn send_numbered(&mut self, address: SocketAddr, number: u16) {
        let mut order = order(address);
        order.attempt.number = number;
        let request = request();
        self.with_io(|pool, io, events| pool.send(order, request, io, events));
    }

    /// Handles readiness events until `is_done` returns true for the pool's events so far.
    fn wait_until(&mut self, what: &str, is_done: impl Fn(&[PoolEvent]) -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        let mut ready = Events::with_capacity(16);
        while !is_done(&self.events) {
            assert!(Instant::now() < end, "{what}: {:?}", self.events);
            self.poll.poll(&mut ready, Some(Duration::from_millis(20))).expect("polling");
            for event in &ready {
                let id = SocketId::from_token(event.token()).expect("a token of the pool");
                let is_writable = event.is_writable();
                self.with_io(|pool, io, events| pool.on_ready(id, is_writable, io, events));
            }
        }
    }

    fn sweep(&mut self, max_idle: Duration) {
        self.pool.sweep(self.now, max_idle, &mut self.events);
    }

    fn outcome(&self) -> Option<&AttemptOutcome> {
        self.events.iter().find_map(|event| match event {
            PoolEvent::Ended { outcome, .. } => Some(outcome),
            _ => None,
        })
    }
}

fn order(address: SocketAddr) -> SendOrder {
    SendOrder {
        attempt: AttemptKey { request: RequestKey(1), number: 0 },
        searcher: SearcherKey(0),
        instance: "i-1".into(),
        address,
        distance: Distance::OwnZone,
        deadline: START + Duration::from_secs(5),
        is_idempotent: false,
        connect_timeout: Duration::from_secs(1),
        reason: SendReason::First,
        reported: None,
        identity: SentIdentity::Unmanaged,
    }
}

fn request() -> OutboundRequest {
    let parsed = RequestHead::parse(b"GET /one HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n").expect("a head");
    let (head, _) = parsed.expect("a whole head");
    OutboundRequest::new(&Request { head, body: Vec::new() }, &NAMES)
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// Closes a connection with a reset, which a linger time of zero causes.
fn reset(stream: TcpStream) {
    set_socket_linger(&stream, Some(Duration::ZERO)).expect("the linger option is set");
    drop(stream);
}

fn is_connected(events: &[PoolEvent]) -> bool {
    events.iter().any(|event| matches!(event, PoolEvent::Connected { .. }))
}

fn is_ended(events: &[PoolEvent]) -> bool {
    events.iter().any(|event| matches!(event, PoolEvent::Ended { .. }))
}

#[test]
fn a_reset_while_a_connection_is_proved_means_that_nothing_ran() {
    let (listener, address) = listener();
    let mut fixture = Fixture::new();
    fixture.send(address);
    fixture.wait_until("the connection is established", is_connected);
    let (stream, _) = listener.accept().expect("a connection");
    assert!(fixture.pool.next_wake().is_some_and(|due| due > fixture.now), "the connection is being proved");
    reset(stream);
    // The time stays the same, so nothing has been sent however late the reset arrives.
    fixture.wait_until("the reset", is_ended);
    assert!(
        matches!(fixture.outcome(), Some(AttemptOutcome::NotRun(NotRun::ConnectionRejected))),
        "{:?}",
        fixture.events
    );
    assert_eq!(fixture.pool.connection_count(), 0);
    assert_eq!(fixture.pool.counters.connections_rejected, 1);
}

#[test]
fn a_reset_after_the_request_was_sent_is_never_called_not_run() {
    let (listener, address) = listener();
    let mut fixture = Fixture::new();
    fixture.send(address);
    fixture.wait_until("the connection is established", is_connected);
    let (mut stream, _) = listener.accept().expect("a connection");
    let due = fixture.pool.next_wake().expect("the connection is being proved");
    fixture.now = due;
    fixture.with_io(|pool, io, events| pool.on_tick(io, events));
    let mut buf = [0; 512];
    let count = stream.read(&mut buf).expect("the request");
    assert!(buf[..count].starts_with(b"GET /one HTTP/1.1\r\n"));
    assert!(fixture.outcome().is_none());
    reset(stream);
    fixture.wait_until("the reset", is_ended);
    assert!(matches!(fixture.outcome(), Some(AttemptOutcome::Unknown(Unknown::Broken))), "{:?}", fixture.events);
    assert_eq!(fixture.pool.counters.connections_rejected, 0);
}

#[test]
fn a_proved_connection_that_holds_carries_the_request_no_earlier_than_it_was_due() {
    let (listener, address) = listener();
    let mut fixture = Fixture::new();
    fixture.send(address);
    fixture.wait_until("the connection is established", is_connected);
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("the stream is set non-blocking");
    let due = fixture.pool.next_wake().expect("the connection is being proved");
    fixture.now = due - Duration::from_micros(1);
    fixture.with_io(|pool, io, events| pool.on_tick(io, events));
    assert_eq!(fixture.pool.next_wake(), Some(due), "the connection is still being proved");
    let waiting = stream.peek(&mut [0; 1]).map_err(|error| error.kind());
    assert_eq!(waiting, Err(std::io::ErrorKind::WouldBlock), "nothing was sent");
}

#[test]
fn a_reset_that_is_first_noticed_by_writing_means_that_nothing_ran() {
    let (listener, address) = listener();
    let mut fixture = Fixture::new();
    fixture.send(address);
    fixture.wait_until("the connection is established", is_connected);
    let (stream, _) = listener.accept().expect("a connection");
    reset(stream);
    // The reset has arrived, but the pool begins to use the connection before it handles the readiness event.
    let mut ready = Events::with_capacity(16);
    fixture.poll.poll(&mut ready, Some(WAIT_TIMEOUT)).expect("polling");
    assert!(ready.iter().any(|event| event.is_readable()), "the reset has arrived");
    fixture.now = fixture.pool.next_wake().expect("the connection is being proved");
    fixture.with_io(|pool, io, events| pool.on_tick(io, events));
    assert!(
        matches!(fixture.outcome(), Some(AttemptOutcome::NotRun(NotRun::ConnectionRejected))),
        "{:?}",
        fixture.events
    );
}

/// Sends two requests at once and answers both, which leaves two idle connections.
fn two_idle_connections() -> (Fixture, TcpListener) {
    let (listener, address) = listener();
    let mut fixture = Fixture::with_proving_until(BootTime::default());
    for number in 0..2 {
        fixture.send_numbered(address, number);
    }
    let connected =
        |events: &[PoolEvent]| events.iter().filter(|event| matches!(event, PoolEvent::Connected { .. })).count() == 2;
    fixture.wait_until("both connections are established", connected);
    for _ in 0..2 {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 512];
        let _count = stream.read(&mut buf).expect("the request");
        stream.write_all(b"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n").expect("answered");
        // Dropping the stream would close the connection, so it is left open until the process ends.
        std::mem::forget(stream);
    }
    fixture.wait_until("both requests are answered", |events| {
        events.iter().filter(|event| matches!(event, PoolEvent::Ended { .. })).count() == 2
    });
    assert_eq!(fixture.pool.connection_count(), 2);
    (fixture, listener)
}

#[test]
fn a_connection_besides_the_one_used_last_does_not_rest_for_long() {
    let (mut fixture, _listener) = two_idle_connections();
    fixture.now = START + Duration::from_millis(1400);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 2);
    fixture.now = START + Duration::from_millis(1600);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 1, "the most recently used connection stays open");
    fixture.now = START + Duration::from_secs(20);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 1);
    fixture.now = START + Duration::from_secs(31);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 0);
}

#[test]
fn a_node_that_serves_no_callers_lets_go_of_resting_connections() {
    let (mut fixture, _listener) = two_idle_connections();
    fixture.now = START + Duration::from_millis(1100);
    fixture.sweep(Duration::from_secs(1));
    assert_eq!(fixture.pool.connection_count(), 0);
}

#[test]
fn connections_to_a_searcher_that_turned_another_away_are_left_to_others_soon() {
    let (mut fixture, listener) = two_idle_connections();
    let address = listener.local_addr().expect("its address");
    // Two of the requests use the idle connections. The third needs a new one, which is reset, as by a searcher that
    // has reached its connection limit.
    let before = fixture.events.len();
    for number in 2..5 {
        fixture.send_numbered(address, number);
    }
    fixture.wait_until("the third connection is established", |events| is_connected(&events[before..]));
    let (stream, _) = listener.accept().expect("a connection");
    reset(stream);
    fixture.wait_until("the reset", |events| is_ended(&events[before..]));
    assert_eq!(fixture.pool.connection_count(), 2);
    assert!(fixture.pool.has_reset_recently(SearcherKey(0), fixture.now));
    assert!(!fixture.pool.has_reset_recently(SearcherKey(1), fixture.now), "another searcher");
    let later = fixture.now + Duration::from_secs(6);
    assert!(!fixture.pool.has_reset_recently(SearcherKey(0), later), "the searcher may accept connections again");
}

#[test]
fn a_contested_connection_rests_for_a_moment_only() {
    let (listener, address) = listener();
    let mut fixture = Fixture::with_proving_until(BootTime::default());
    fixture.send_numbered(address, 0);
    fixture.wait_until("the connection is established", is_connected);
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.read_exact(&mut [0; 16]).expect("the request");
    fixture.send_numbered(address, 1);
    let (rejected, _) = listener.accept().expect("a second connection");
    reset(rejected);
    fixture.wait_until("the reset", is_ended);
    stream.write_all(b"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n").expect("answered");
    let ended_count =
        |events: &[PoolEvent]| events.iter().filter(|event| matches!(event, PoolEvent::Ended { .. })).count();
    fixture.wait_until("the answer", |events| ended_count(events) == 2);
    assert_eq!(fixture.pool.connection_count(), 1);
    fixture.now = START + Duration::from_millis(200);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 1);
    fixture.now = START + Duration::from_millis(400);
    fixture.sweep(Duration::MAX);
    assert_eq!(fixture.pool.connection_count(), 0, "an idle connection to a contested searcher is closed soon");
}
