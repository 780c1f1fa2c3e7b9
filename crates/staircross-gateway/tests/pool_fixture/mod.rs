//! A pool of connections to searchers, with the time set by the test.
// Each test file uses a part of this.
#![allow(dead_code)]

use mio::{Events, Poll};
use staircross_gateway::HeaderNames;
use staircross_gateway::outbound::OutboundRequest;
use staircross_gateway::pool::{Pool, PoolEvent};
use staircross_http::{Request, RequestHead, ServerLimits};
use staircross_routing::decision::placement::Distance;
use staircross_routing::engine::{SendOrder, SendReason};
use staircross_routing::{AttemptKey, AttemptOutcome, RequestKey, SearcherKey, SearcherReport, SentIdentity};
use staircross_transport::socket::{IoContext, READ_CHUNK, SocketId};
use staircross_types::BootTime;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Maximum time for which a test waits for an event.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
pub const START: BootTime = BootTime(1_000_000);
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
pub struct Fixture {
    pub poll: Poll,
    pub pool: Pool,
    pub now: BootTime,
    buf: Box<[u8; READ_CHUNK]>,
    pub events: Vec<PoolEvent>,
}

impl Fixture {
    /// Creates a pool that proves all fresh connections: it sends nothing on a connection that hasn't stayed open for a
    /// moment.
    pub fn new() -> Self {
        Fixture::with_proving_until(BootTime::FAR_FUTURE)
    }

    /// Creates a pool that proves all fresh connections until the given time.
    pub fn with_proving_until(until: BootTime) -> Self {
        Fixture {
            poll: Poll::new().expect("a poll"),
            pool: Pool::new(NAMES, 1 << 20, until),
            now: START,
            buf: Box::new([0; READ_CHUNK]),
            events: Vec::new(),
        }
    }

    /// Creates a pool that proves no connection and takes answers of up to `max_answer` bytes.
    pub fn with_max_answer(max_answer: usize) -> Self {
        let pool = Pool::new(NAMES, max_answer, BootTime::default());
        Fixture { pool, ..Fixture::with_proving_until(BootTime::default()) }
    }

    pub fn with_io(&mut self, work: impl FnOnce(&mut Pool, &mut IoContext<'_>, &mut Vec<PoolEvent>)) {
        let limits = ServerLimits { head_bytes: 1 << 16, body_bytes: 1 << 20 };
        let mut io = IoContext { now: self.now, registry: self.poll.registry(), buffer: &mut self.buf, limits };
        work(&mut self.pool, &mut io, &mut self.events);
    }

    pub fn send(&mut self, address: SocketAddr) {
        self.send_numbered(address, 0);
    }

    /// Sends the attempt `number`, which belongs to a request of its own with the id 7 + `number`.
    pub fn send_numbered(&mut self, address: SocketAddr, number: u16) {
        self.send_with_id(address, number, &(7 + u32::from(number)).to_string());
    }

    pub fn send_with_id(&mut self, address: SocketAddr, number: u16, id: &str) {
        let mut order = order(address);
        order.attempt.number = number;
        self.send_order(order, id);
    }

    pub fn send_order(&mut self, order: SendOrder, id: &str) {
        let request = request(id);
        self.with_io(|pool, io, events| pool.send(order, request, io, events));
    }

    /// Handles readiness events until `is_done` returns true for the pool's events so far.
    pub fn wait_until(&mut self, what: &str, is_done: impl Fn(&[PoolEvent]) -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !is_done(&self.events) {
            assert!(Instant::now() < end, "{what}: {:?}", self.events);
            self.poll_once(Duration::from_millis(20));
        }
    }

    /// Handles readiness events for a span of real time.
    pub fn run_for(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.poll_once(end.saturating_duration_since(Instant::now()));
        }
    }

    /// Waits for readiness events and handles them.
    pub fn poll_once(&mut self, timeout: Duration) {
        let mut ready = Events::with_capacity(16);
        self.poll.poll(&mut ready, Some(timeout)).expect("polling");
        for event in &ready {
            let id = SocketId::from_token(event.token()).expect("a token of the pool");
            self.with_io(|pool, io, events| pool.on_ready(id, event.into(), io, events));
        }
    }

    pub fn sweep(&mut self, max_idle: Duration) {
        self.pool.sweep(self.now, max_idle, &mut self.events);
    }

    /// Returns how the first attempt ended.
    pub fn outcome(&self) -> Option<&AttemptOutcome> {
        self.outcomes().next()
    }

    /// Returns how the last attempt that has ended did.
    pub fn last_outcome(&self) -> &AttemptOutcome {
        self.outcomes().last().expect("an attempt has ended")
    }

    fn outcomes(&self) -> impl Iterator<Item = &AttemptOutcome> {
        self.events.iter().filter_map(|event| match event {
            PoolEvent::Ended { outcome, .. } => Some(outcome),
            _ => None,
        })
    }
}

pub fn order(address: SocketAddr) -> SendOrder {
    SendOrder {
        attempt: AttemptKey { request: RequestKey(1), number: 0 },
        searcher: SearcherKey(0),
        instance: "i-1".into(),
        service: "docs".into(),
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

pub fn request(id: &str) -> OutboundRequest {
    let text = format!("GET /one HTTP/1.1\r\nHost: h\r\nId: {id}\r\n\r\n");
    let parsed = RequestHead::parse(text.as_bytes()).expect("a head");
    let (head, _) = parsed.expect("a whole head");
    OutboundRequest::new(&Request { head, body: Vec::new() }, &NAMES)
}

pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// Reads a request without a body to its end: a searcher that closes with bytes unread would reset the connection.
/// Returns the request's id.
pub fn read_request(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("an open socket");
    let mut request = Vec::new();
    let mut buf = [0; 512];
    while !request.ends_with(b"\r\n\r\n") {
        let count = stream.read(&mut buf).expect("a request comes");
        assert!(count > 0, "the request ends early");
        request.extend_from_slice(&buf[..count]);
    }
    let text = String::from_utf8(request).expect("text");
    text.lines().find_map(|line| line.strip_prefix("Id: ")).expect("an id").to_owned()
}

/// Writes an empty answer to request `id` with a status line's end and further header fields.
pub fn write_answer(stream: &mut TcpStream, status: &str, id: &str, fields: &str) {
    let answer = format!("HTTP/1.1 {status}\r\nId: {id}\r\n{fields}Content-Length: 0\r\n\r\n");
    stream.write_all(answer.as_bytes()).expect("the connection is open");
}

pub fn count_ended(events: &[PoolEvent]) -> usize {
    events.iter().filter(|event| matches!(event, PoolEvent::Ended { .. })).count()
}

pub fn is_connected(events: &[PoolEvent]) -> bool {
    events.iter().any(|event| matches!(event, PoolEvent::Connected { .. }))
}

pub fn is_ended(events: &[PoolEvent]) -> bool {
    events.iter().any(|event| matches!(event, PoolEvent::Ended { .. }))
}
