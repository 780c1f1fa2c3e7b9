//! Stand-in of a searcher: keeps its entry in the store, runs requests, and notes what it ran.

use crate::http::{Message, Reader, response};
use crate::store::Store;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two writes of a searcher's entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A request that a searcher has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub at: Instant,
    /// What the searcher did with its answer.
    pub answer: &'static str,
}

/// How a searcher spoils some of its answers. It is given the number of the run and the whole answer.
pub type Spoil = fn(u64, Vec<u8>) -> (Vec<u8>, &'static str);

/// A running searcher.
#[derive(Clone)]
pub struct Searcher {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born_ms: u64,
    work: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    spoil: Arc<Mutex<Option<Spoil>>>,
    is_draining: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
}

impl Searcher {
    /// Starts a searcher and its heartbeat.
    pub fn start(store: &Store, id: &str, service: &str, zone: &str, work: Duration) -> Searcher {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let searcher = Searcher {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born_ms: since_epoch.as_millis() as u64,
            work,
            runs: Arc::default(),
            spoil: Arc::default(),
            is_draining: Arc::default(),
            has_ended: Arc::default(),
        };
        searcher.write_entry(store);
        let (served, beating, store) = (searcher.clone(), searcher.clone(), store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let searcher = served.clone();
                thread::spawn(move || searcher.serve(stream));
            }
        });
        thread::spawn(move || {
            while !beating.has_ended.load(Ordering::Acquire) {
                thread::sleep(HEARTBEAT);
                beating.write_entry(&store);
            }
        });
        searcher
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Writes the entry. The item changes only if more than `sequence` has changed, so the sequence isn't counted here.
    pub fn write_entry(&self, store: &Store) {
        let state = if self.is_draining.load(Ordering::Acquire) { "draining" } else { "ready" };
        store.put(&self.key(), &self.entry(state));
    }

    fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":5,\"state\":\"{state}\",\
             \"cold-remaining-ms\":0,\"sequence\":1,\"born\":{}}}",
            self.service, self.address, self.zone, self.born_ms
        )
    }

    /// Makes the searcher spoil answers as `spoil` says, or sound again.
    pub fn set_spoil(&self, spoil: Option<Spoil>) {
        *self.spoil.lock().unwrap() = spoil;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.next() {
            if writer.write_all(&self.answer(&request)).is_err() {
                return;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let Some(id) = request.field("X-Staircross-Request-Id").map(str::to_owned) else {
            return response(400, &[("X-Staircross-Not-Executed", "1")], b"");
        };
        if request.field("X-Staircross-Expect-Instance").is_some_and(|expected| expected != self.id) {
            return response(421, &[("X-Staircross-Request-Id", &id), ("X-Staircross-Not-Executed", "1")], b"");
        }
        let (at, target) = (Instant::now(), request.target().to_owned());
        thread::sleep(self.work);
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run { id: id.clone(), target, at, answer: "whole" });
            runs.len() as u64
        };
        let stamp = format!("{}.{number}", self.id);
        let body = format!("answer of {} ({}) to {id}\n", self.id, self.service);
        let fields = [("X-Staircross-Request-Id", id.as_str()), ("X-Staircross-Server-Stamp", stamp.as_str())];
        let whole = response(200, &fields, body.as_bytes());
        let spoil = *self.spoil.lock().unwrap();
        let Some(spoil) = spoil else {
            return whole;
        };
        let (bytes, what) = spoil(number, whole);
        self.runs.lock().unwrap()[number as usize - 1].answer = what;
        bytes
    }
}
