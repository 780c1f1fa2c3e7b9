//! Traffic of clients: one request after the other on each route at each gateway, each on a connection of its own.

use crate::client;
use crate::gateway::Gateway;
use crate::http::Message;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// One request of a client and what came of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub gateway: String,
    pub target: String,
    pub at: Instant,
    /// The answer, or why there is none.
    pub answer: Result<Message, String>,
}

impl Sent {
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }

    /// Returns whether the request was answered with a signed success.
    pub fn is_served(&self) -> bool {
        let has_stamp = |answer: &Message| answer.field("X-Staircross-Server-Stamp").is_some();
        self.answer.as_ref().is_ok_and(|answer| answer.status() / 100 == 2 && has_stamp(answer))
    }

    /// Returns a line for the record.
    pub fn line(&self) -> String {
        let answer = match &self.answer {
            Ok(answer) => {
                let stamp = answer.field("X-Staircross-Server-Stamp").unwrap_or("-");
                let text = String::from_utf8_lossy(&answer.body).replace('\n', " ");
                format!("status={} stamp={stamp} body={:?}", answer.status(), text.trim_end())
            }
            Err(error) => format!("no answer: {error}"),
        };
        format!("sent id={} gateway={} target={} {answer}", self.id, self.gateway, self.target)
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// A stream of requests to one gateway.
#[derive(Clone)]
pub struct Stream {
    pub gateway: String,
    pub address: SocketAddr,
    pub path_prefix: &'static str,
    /// Time between two requests.
    pub interval: Duration,
    pub deadline_ms: u64,
}

impl Stream {
    pub fn new(gateway: &Gateway, path_prefix: &'static str, interval_ms: u64, deadline_ms: u64) -> Stream {
        Stream {
            gateway: gateway.name.clone(),
            address: gateway.addresses.callers,
            path_prefix,
            interval: Duration::from_millis(interval_ms),
            deadline_ms,
        }
    }
}

/// Sends the requests of all streams for a time, side by side, and returns all of them in order of time.
pub fn send_all(streams: &[Stream], span: Duration) -> Vec<Sent> {
    let until = Instant::now() + span;
    let workers: Vec<_> = streams.iter().cloned().map(|stream| thread::spawn(move || send(&stream, until))).collect();
    let mut sent: Vec<Sent> = workers.into_iter().flat_map(|worker| worker.join().expect("a worker ends")).collect();
    sent.sort_by_key(|one| one.at);
    sent
}

/// Each request has a thread of its own, so that a slow answer delays no other request.
fn send(stream: &Stream, until: Instant) -> Vec<Sent> {
    let mut requests = Vec::new();
    let mut due = Instant::now();
    while due < until {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let stream_of_request = stream.clone();
        requests.push(thread::spawn(move || send_one(&stream_of_request)));
        due += stream.interval;
    }
    requests.into_iter().map(|request| request.join().expect("a request ends")).collect()
}

fn send_one(stream: &Stream) -> Sent {
    let id = next_id();
    let target = format!("{}{id}", stream.path_prefix);
    let at = Instant::now();
    let answer = client::get(stream.address, &target, &id, stream.deadline_ms).map_err(|error| error.to_string());
    Sent { id, gateway: stream.gateway.clone(), target, at, answer }
}
