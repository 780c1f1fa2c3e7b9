//! Stand-ins of searchers: they run requests in slots, queue a few more, and have the faults that a case gives them.

use crate::http::{Connection, Message, render, status_line};
use crate::random::Random;
use crate::record::{Record, lock};
use crate::store::Store;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const REQUEST_ID: &str = "X-Staircross-Request-Id";
const DEADLINE: &str = "X-Staircross-Deadline-Ms";
const EXPECTED_INSTANCE: &str = "X-Staircross-Expect-Instance";
const INSTANCE: &str = "X-Staircross-Instance-Id";
const NOT_EXECUTED: &str = "X-Staircross-Not-Executed";
const STAMP: &str = "X-Staircross-Server-Stamp";

/// Interval at which a searcher at work looks whether its caller is still there.
const WORK_STEP: Duration = Duration::from_millis(4);

/// The faults of a searcher, each as the share of its requests or answers that it strikes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Requests that it turns away although it has room (503 with `X-Staircross-Not-Executed`).
    pub sheds: f64,
    /// Requests that it runs and answers with a 500 of its own.
    pub fails: f64,
    /// Answers of which a second copy is sent late, at the place where the next answer should come.
    pub extra_late: f64,
    /// Answers that are followed by the first bytes of another one, which is cut off there.
    pub extra_cut_off: f64,
    /// How many times as long as usual its work takes; 0 and 1 mean as long as usual.
    pub slow: f64,
}

/// The bytes of an extra answer that is cut off within its first line.
const CUT_OFF_ANSWER: &[u8] = b"HTTP/1.1 200 OK";

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub instance: String,
    pub at: Duration,
    /// Status and signature of the answer that the searcher gave, once it has.
    pub status: u16,
    pub stamp: String,
    /// Time at which the work is done if nobody stops it, and time at which the run did end.
    pub due: Duration,
    pub ended: Option<Duration>,
}

/// Properties of a searcher that it says of itself.
#[derive(Clone)]
pub struct Plan {
    pub instance: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    /// Shortest and longest time that work takes.
    pub work: (Duration, Duration),
    pub body: Vec<u8>,
}

struct Shared {
    plan: Plan,
    record: Record,
    faults: Mutex<Faults>,
    random: Mutex<Random>,
    runs: Mutex<Vec<Run>>,
    /// Time and id of each request that arrived, whatever became of it.
    arrivals: Mutex<Vec<(Duration, String)>>,
    running: AtomicUsize,
    waiting: AtomicUsize,
}

/// A running searcher.
#[derive(Clone)]
pub struct Searcher {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Searcher {
    pub fn start(plan: Plan, record: &Record, seed: u64) -> io::Result<Searcher> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            plan,
            record: record.clone(),
            faults: Mutex::new(Faults::default()),
            random: Mutex::new(Random::new(seed)),
            runs: Mutex::new(Vec::new()),
            arrivals: Mutex::new(Vec::new()),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
        });
        let server = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        Ok(Searcher { address, shared })
    }

    pub fn instance(&self) -> &str {
        &self.shared.plan.instance
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.shared.plan.instance)
    }

    /// Writes the searcher's entry to the store and returns the revision.
    pub fn register(&self, store: &Store, state: &str) -> u64 {
        let Plan { service, zone, slots, .. } = &self.shared.plan;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":1}}",
            self.address
        );
        store.put(&self.key(), &entry)
    }

    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }

    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    pub fn arrivals(&self) -> Vec<(Duration, String)> {
        lock(&self.shared.arrivals).clone()
    }
}

impl Shared {
    fn serve(&self, mut connection: Connection) {
        // Id of the request to which the late copy belongs, and the bytes of the copy.
        let mut late_copy: Option<(String, Vec<u8>)> = None;
        loop {
            let request = match connection.read(false) {
                Ok(Some(request)) => request,
                Ok(None) | Err(_) => return,
            };
            let id = request.field(REQUEST_ID).unwrap_or("").to_owned();
            let at = self.record.add(format!("arrived {id} at {}", self.plan.instance));
            lock(&self.arrivals).push((at, id.clone()));
            if let Some((earlier, copy)) = late_copy.take() {
                let from = &self.plan.instance;
                self.record.add(format!("extra answer to {earlier}, late, before the answer to {id} from {from}"));
                if connection.write(&copy).is_err() {
                    return;
                }
            }
            let Some(mut answer) = self.handle(&connection, &request, &id) else {
                return;
            };
            let faults = *lock(&self.faults);
            if self.strikes(faults.extra_late) {
                late_copy = Some((id.clone(), answer.clone()));
            } else if self.strikes(faults.extra_cut_off) {
                self.record.add(format!("bytes after the answer to {id} from {}", self.plan.instance));
                answer.extend_from_slice(CUT_OFF_ANSWER);
            }
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a request, or `None` if the caller has closed the connection.
    fn handle(&self, connection: &Connection, request: &Message, id: &str) -> Option<Vec<u8>> {
        let arrived = Instant::now();
        if request.second_word() == "/health" {
            return Some(render(&status_line(200), &[(INSTANCE, &self.plan.instance)], b""));
        }
        if request.field(EXPECTED_INSTANCE).is_some_and(|expected| expected != self.plan.instance) {
            let fields = [(REQUEST_ID, id), (INSTANCE, &*self.plan.instance)];
            return Some(render(&status_line(421), &fields, b""));
        }
        let deadline_ms = request.field(DEADLINE).and_then(|text| text.parse().ok()).unwrap_or(60_000);
        let deadline = arrived + Duration::from_millis(deadline_ms);
        let faults = *lock(&self.faults);
        if self.strikes(faults.sheds) || !self.take_slot(deadline) {
            self.record.add(format!("turned away {id} by {}", self.plan.instance));
            return Some(render(&status_line(503), &[(REQUEST_ID, id), (NOT_EXECUTED, "1")], b""));
        }
        let work = self.work_time(faults.slow);
        let stamp = self.begin_run(id, work);
        let is_done = self.work(connection, work, deadline);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let status = match is_done {
            false => 0,
            true if self.strikes(faults.fails) => 500,
            true => 200,
        };
        self.end_run(&stamp, status);
        if !is_done {
            return None;
        }
        let body: &[u8] = if status == 200 { &self.plan.body } else { b"failed" };
        Some(render(&status_line(status), &[(REQUEST_ID, id), (STAMP, &stamp)], body))
    }

    /// Waits for a slot. Returns `false` if the queue is full or the deadline passes before.
    fn take_slot(&self, deadline: Instant) -> bool {
        let claim = || {
            let slots = self.plan.slots;
            self.running
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |used| (used < slots).then_some(used + 1))
                .is_ok()
        };
        if claim() {
            return true;
        }
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= self.plan.queue {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        let mut has_slot = false;
        while !has_slot && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(1));
            has_slot = claim();
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        has_slot
    }

    fn work_time(&self, slow: f64) -> Duration {
        let (shortest, longest) = self.plan.work;
        let usual = shortest + (longest - shortest).mul_f64(lock(&self.random).fraction());
        usual.mul_f64(slow.max(1.0))
    }

    /// Records that a run begins, and returns the signature of its answer.
    fn begin_run(&self, id: &str, work: Duration) -> String {
        let mut runs = lock(&self.runs);
        let instance = self.plan.instance.clone();
        let stamp = format!("{instance}.{:x}", runs.len());
        let at = self.record.add(format!("ran {id} at {instance} stamp={stamp}"));
        let (due, ended) = (at + work, None);
        runs.push(Run { id: id.to_owned(), instance, at, status: 0, stamp: stamp.clone(), due, ended });
        stamp
    }

    /// Records that a run has ended; status 0 means that the searcher dropped it.
    fn end_run(&self, stamp: &str, status: u16) {
        if let Some(run) = lock(&self.runs).iter_mut().find(|run| run.stamp == stamp) {
            run.status = status;
            run.ended = Some(self.record.add(format!("ended {} at {} status={status}", run.id, run.instance)));
        }
    }

    /// Works on a request. Returns `false` if the caller closes the connection meanwhile or the deadline passes.
    fn work(&self, connection: &Connection, work: Duration, deadline: Instant) -> bool {
        let until = Instant::now() + work;
        while Instant::now() < until {
            if connection.is_closed_by_peer() || Instant::now() >= deadline {
                return false;
            }
            thread::sleep(WORK_STEP.min(until.saturating_duration_since(Instant::now())));
        }
        true
    }

    fn strikes(&self, share: f64) -> bool {
        share > 0.0 && lock(&self.random).fraction() < share
    }
}
