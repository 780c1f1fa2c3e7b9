//! Stand-in of the platform's store: items with revisions, listings by page, watches, and a return from an older copy.

use crate::http::{Message, Reader, response};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of items on one page of a listing.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Change {
    revision: u64,
    key: String,
    /// `None` if the item was removed.
    value: Option<String>,
}

/// What the store holds; a copy of it is what the store comes back from in a drill.
#[derive(Clone, Default)]
pub struct Contents {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    history: Vec<Change>,
}

#[derive(Default)]
struct State {
    contents: Contents,
    /// Value of the header `Store-Era`, which rises whenever the store comes back from an older copy.
    era: u64,
    /// While the store is away, it refuses connections' calls by closing them.
    is_away: bool,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { contents: Contents { revision: 100, ..Contents::default() }, era: 1, is_away: false };
        let store = Store { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item unless it has this value already. Returns the revision that the item then has; `None` if the store
    /// is away, so that nothing was written.
    pub fn put(&self, key: &str, value: &str) -> Option<u64> {
        let mut state = self.state.0.lock().unwrap();
        if state.is_away {
            return None;
        }
        let contents = &mut state.contents;
        if let Some((revision, known)) = contents.items.get(key)
            && known == value
        {
            return Some(*revision);
        }
        contents.revision += 1;
        let revision = contents.revision;
        contents.items.insert(key.to_owned(), (revision, value.to_owned()));
        contents.history.push(Change { revision, key: key.to_owned(), value: Some(value.to_owned()) });
        self.state.1.notify_all();
        Some(revision)
    }

    /// Returns the store's revision.
    pub fn revision(&self) -> u64 {
        self.state.0.lock().unwrap().contents.revision
    }

    /// Returns a copy of everything that the store holds now.
    pub fn copy(&self) -> Contents {
        self.state.0.lock().unwrap().contents.clone()
    }

    /// Takes the store away: calls get no answer, and their connections end.
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
    }

    /// Brings the store back, from an older copy if there is one.
    pub fn come_back(&self, copy: Option<Contents>) {
        let mut state = self.state.0.lock().unwrap();
        if let Some(contents) = copy {
            state.contents = contents;
            state.era += 1;
        }
        state.is_away = false;
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.next() {
            let Some(answer) = self.answer(&request) else {
                return;
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call, or `None` if the store is away.
    fn answer(&self, request: &Message) -> Option<Vec<u8>> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let found = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
            found.map(|(_, value)| percent_decoded(value)).unwrap_or_default()
        };
        let prefix = parameter("path-prefix");
        match path {
            "/api/kv-range" => self.range(&prefix, &parameter("after")),
            "/api/kv-watch" => {
                let wait = parameter("wait-ms").parse().unwrap_or(0).min(30_000);
                self.watch(&prefix, parameter("after").parse().unwrap_or(0), Duration::from_millis(wait))
            }
            _ => Some(json_response(404, self.state.0.lock().unwrap().era, "{}")),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Option<Vec<u8>> {
        let state = self.state.0.lock().unwrap();
        if state.is_away {
            return None;
        }
        let contents = &state.contents;
        let mut found = contents.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> =
            found.by_ref().take(PAGE_ITEMS).map(|(key, (revision, value))| item(key, *revision, value)).collect();
        let more = found.next().is_some();
        let body = format!("{{\"items\":[{}],\"more\":{more},\"at\":{}}}", items.join(","), contents.revision);
        Some(json_response(200, state.era, &body))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<Vec<u8>> {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            let contents = &state.contents;
            if after > contents.revision {
                return Some(json_response(410, state.era, "{}"));
            }
            let changes = contents.history.iter().filter(|change| change.revision > after);
            let events: Vec<String> = changes.filter(|change| change.key.starts_with(prefix)).map(event).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), contents.revision);
                return Some(json_response(200, state.era, &body));
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, value: &str) -> String {
    let value = base64(value.as_bytes());
    format!(
        "{{\"private-key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{revision},\"lease\":0}}"
    )
}

fn event(change: &Change) -> String {
    match &change.value {
        Some(value) => item(&change.key, change.revision, value),
        None => format!("{{\"private-key\":\"{}\",\"revision\":{},\"gone\":true}}", change.key, change.revision),
    }
}

fn json_response(status: u16, era: u64, body: &str) -> Vec<u8> {
    response(status, &[("Content-Type", "application/json"), ("Store-Era", &era.to_string())], body.as_bytes())
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for digit in 0..4 {
            let is_padding = digit > group.len();
            let index = (bits >> (18 - 6 * digit)) as usize & 63;
            text.push(if is_padding { '=' } else { DIGITS[index] as char });
        }
    }
    text
}
