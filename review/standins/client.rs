//! Stand-ins of clients: each asks the directory for gateways, keeps a connection and sends one request at a time.

use crate::gateway::Addresses;
use crate::http::{Connection, Message, render};
use crate::random::Random;
use crate::record::{Record, lock};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What a client sends.
#[derive(Clone)]
pub struct Kind {
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub body: &'static [u8],
    pub deadline: Duration,
}

/// One request and its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    /// Status of the answer; 0 if the connection ended without one.
    pub status: u16,
    pub stamp: Option<String>,
    pub body: Vec<u8>,
}

/// Clients of one zone.
pub struct Clients {
    threads: Vec<JoinHandle<()>>,
    stops: Arc<AtomicBool>,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
}

impl Clients {
    /// Starts `count` clients that together send about `per_s` requests a second.
    pub fn start(
        count: usize,
        per_s: f64,
        kind: &Kind,
        directories: &[Addresses],
        place: (&'static str, &'static str),
        record: &Record,
        seed: u64,
    ) -> Clients {
        let stops = Arc::new(AtomicBool::new(false));
        let exchanges = Arc::new(Mutex::new(Vec::new()));
        let interval = Duration::from_secs_f64(count as f64 / per_s);
        let threads = (0..count).map(|index| {
            let mut client = Client {
                kind: kind.clone(),
                directories: directories.iter().map(|addresses| addresses.directory).collect(),
                place,
                record: record.clone(),
                random: Random::new(seed * 1000 + index as u64 + 1),
                connection: None,
                gateways: Vec::new(),
                gateways_until: Instant::now(),
                name: format!("{seed:02x}{index:02x}"),
                sent: 0,
            };
            let (stops, exchanges) = (stops.clone(), exchanges.clone());
            thread::spawn(move || {
                let mut next = Instant::now() + interval.mul_f64(client.random.fraction());
                while !stops.load(Ordering::SeqCst) {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next = (next + interval.mul_f64(0.5 + client.random.fraction())).max(Instant::now());
                    let exchange = client.ask();
                    lock(&exchanges).push(exchange);
                }
            })
        });
        Clients { threads: threads.collect(), stops, exchanges }
    }

    /// Waits for the answers that are still to come, and returns all exchanges.
    pub fn finish(self) -> Vec<Exchange> {
        self.stops.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _panicked = thread.join();
        }
        lock(&self.exchanges).clone()
    }
}

struct Client {
    kind: Kind,
    directories: Vec<SocketAddr>,
    place: (&'static str, &'static str),
    record: Record,
    random: Random,
    connection: Option<Connection>,
    gateways: Vec<SocketAddr>,
    gateways_until: Instant,
    name: String,
    sent: u64,
}

impl Client {
    /// Sends one request and waits for its answer. Each request is a single try with an id of its own.
    fn ask(&mut self) -> Exchange {
        self.sent += 1;
        let id = format!("{}{:08x}", self.name, self.sent);
        let Kind { method, host, path, body, deadline } = self.kind.clone();
        let deadline_ms = deadline.as_millis().to_string();
        let fields = [("Host", host), ("X-Staircross-Request-Id", &*id), ("X-Staircross-Deadline-Ms", &*deadline_ms)];
        let bytes = render(&format!("{method} {path}{} HTTP/1.1", self.sent), &fields, body);
        self.record.add(format!("sent {id}"));
        let answer = self.exchange(&bytes, deadline);
        let (status, stamp, body) = match &answer {
            Ok(Some(message)) => {
                let stamp = message.field("X-Staircross-Server-Stamp").map(str::to_owned);
                (message.status(), stamp, message.body.clone())
            }
            _ => (0, None, Vec::new()),
        };
        self.record.add(format!("answered {id} status={status} stamp={}", stamp.as_deref().unwrap_or("-")));
        let closes = |message: &Message| message.field("Connection").is_some_and(|value| value.contains("close"));
        if !matches!(&answer, Ok(Some(message)) if !closes(message)) {
            self.connection = None;
        }
        Exchange { id, status, stamp, body }
    }

    fn exchange(&mut self, bytes: &[u8], deadline: Duration) -> io::Result<Option<Message>> {
        let is_kept = self.connection.as_ref().is_some_and(|connection| !connection.is_closed_by_peer());
        if !is_kept {
            self.connection = Some(self.connect()?);
        }
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        connection.stream.set_read_timeout(Some(deadline))?;
        connection.write(bytes)?;
        connection.read(true)
    }

    fn connect(&mut self) -> io::Result<Connection> {
        if self.gateways.is_empty() || Instant::now() >= self.gateways_until {
            self.resolve();
        }
        if self.gateways.is_empty() {
            return Err(io::ErrorKind::NotFound.into());
        }
        let index = self.random.below(self.gateways.len());
        Connection::connect(self.gateways[index])
    }

    /// Asks the directory of up to three gateways.
    fn resolve(&mut self) {
        let (zone, region) = self.place;
        for _ in 0..3 {
            let directory = self.directories[self.random.below(self.directories.len())];
            let target = format!("/api/resolve?name={}&region={region}&zone={zone}", self.kind.host);
            let ask = || -> io::Result<Option<Message>> {
                let mut connection = Connection::connect(directory)?;
                connection.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                connection.write(&render(&format!("GET {target} HTTP/1.1"), &[("Host", "directory")], b""))?;
                connection.read(true)
            };
            let Ok(Some(answer)) = ask() else {
                continue;
            };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let list = text.split_once('[').and_then(|(_, rest)| rest.split_once(']')).map_or("", |(list, _)| list);
            let addresses: Vec<SocketAddr> =
                list.split(',').filter_map(|address| address.trim().trim_matches('"').parse().ok()).collect();
            if !addresses.is_empty() {
                self.gateways = addresses;
                self.gateways_until = Instant::now() + Duration::from_secs(1);
                return;
            }
        }
    }
}
