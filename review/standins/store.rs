//! A stand-in of the platform's store: reading calls only, with watches, history and revisions as the pages say.

use crate::http::{Connection, Message, render, status_line};
use crate::record::lock;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PAGE_SIZE: usize = 50;
const POLL_INTERVAL: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Change {
    revision: u64,
    key: String,
    value: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision and value of each item.
    items: BTreeMap<String, (u64, String)>,
    history: Vec<Change>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts a store whose revisions begin at `first_revision`.
    pub fn start(first_revision: u64) -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State { revision: first_revision, ..State::default() })),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an item and returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (revision, value.to_owned()));
        state.history.push(Change { revision, key: key.to_owned(), value: value.to_owned() });
        revision
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read(false) {
            let Some(answer) = self.answer(&connection, &request) else {
                return;
            };
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call, or `None` if the connection ends without one.
    fn answer(&self, connection: &Connection, request: &Message) -> Option<Vec<u8>> {
        let (path, query) = request.second_word().split_once('?').unwrap_or((request.second_word(), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| unescape(value)).next().unwrap_or_default()
        };
        // The store takes some milliseconds for an answer.
        thread::sleep(Duration::from_millis(4));
        match path {
            "/api/kv-key" => Some(self.item(&parameter("private-key"))),
            "/api/kv-range" => Some(self.range(&parameter("path-prefix"), &parameter("after"))),
            "/api/kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait-ms").parse().unwrap_or(0).min(30_000));
                self.watch(connection, &parameter("path-prefix"), after, wait)
            }
            _ => Some(respond(404, "{}")),
        }
    }

    fn item(&self, key: &str) -> Vec<u8> {
        let state = lock(&self.state);
        match state.items.get(key) {
            Some((revision, value)) => {
                let item = item_json(key, *revision, value);
                let body = format!("{},\"at\":{}}}", item.trim_end_matches('}'), state.revision);
                respond(200, &body)
            }
            None => respond(404, &format!("{{\"at\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Vec<u8> {
        let state = lock(&self.state);
        let mut matching = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<String> = matching
            .by_ref()
            .take(PAGE_SIZE)
            .map(|(key, (revision, value))| item_json(key, *revision, value))
            .collect();
        let more = matching.next().is_some();
        let body = format!("{{\"items\":[{}],\"more\":{more},\"at\":{}}}", page.join(","), state.revision);
        respond(200, &body)
    }

    fn watch(&self, connection: &Connection, prefix: &str, after: u64, wait: Duration) -> Option<Vec<u8>> {
        let began = Instant::now();
        loop {
            {
                let state = lock(&self.state);
                let changes = state.history.iter().filter(|change| change.revision > after);
                let events: Vec<String> = changes
                    .filter(|change| change.key.starts_with(prefix))
                    .map(|change| item_json(&change.key, change.revision, &change.value))
                    .collect();
                if !events.is_empty() || began.elapsed() >= wait {
                    let body = format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
                    return Some(respond(200, &body));
                }
            }
            if connection.is_closed_by_peer() {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn respond(status: u16, body: &str) -> Vec<u8> {
    let fields = [("Content-Type", "application/json")];
    render(&status_line(status), &fields, body.as_bytes())
}

fn item_json(key: &str, revision: u64, value: &str) -> String {
    format!(
        "{{\"private-key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"made\":{revision},\"lease\":0}}",
        base64(value.as_bytes())
    )
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for index in 0..4 {
            let is_padding = index > group.len();
            let digit = ALPHABET[(number >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if is_padding { '=' } else { digit });
        }
    }
    text
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut result = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let escaped = bytes.get(index + 1..index + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        match (bytes[index], escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(byte)) => {
                result.push(byte);
                index += 3;
            }
            (byte, _) => {
                result.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&result).into_owned()
}
