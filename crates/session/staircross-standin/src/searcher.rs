//! Searcher stand-in: an HTTP server for term search with call slots, drain, cold start and injected faults.

use crate::corpus::Corpus;
use crate::faults::{Fault, FaultScript};
use crate::http::{bytes_response, close_without_reply, json_response, read_json, text_response, truncated_response};
use crate::index::SnapshotIndex;
use crate::ledger::{Ledger, LedgerEntry};
use oxhttp::Server;
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use staircross_types::searcher_api::{
    ACT_PATH, ActCall, CANCEL_PATH, CallReply, CallStatus, CancelCall, SEARCH_PATH, STATE_PATH, SearchCall, StateReply,
};
use staircross_types::{
    ActionCommand, AttemptId, SearchQuery, SearcherId, SearcherIncarnation, ShardHits, ShardId, Snapshot, body_digest,
};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Settings of a searcher stand-in.
#[derive(Clone, Debug)]
pub struct SearcherSettings {
    /// Id of the searcher.
    pub id: SearcherId,
    /// Address on which the searcher listens.
    pub listen: SocketAddr,
    /// Largest number of calls executed at once.
    pub slots: u32,
    /// Largest number of calls that may wait for a slot. Further calls are shed.
    pub queue: u32,
    /// Largest number of connections accepted at once.
    pub connections: u32,
    /// Time that each call takes in addition to the search itself.
    pub work: Duration,
    /// Time after the start of the searcher during which `work` takes [`COLD_FACTOR`] times as long.
    pub cold: Duration,
}

/// Factor by which [`SearcherSettings::work`] takes longer during a cold start.
const COLD_FACTOR: u32 = 4;
/// Interval at which a call that is being executed checks whether it was cancelled. A call that waits for a slot checks
/// at five times this interval, and when a slot is freed.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Number of stored cancelled attempts at which all of them are removed before the next one is stored.
const MAX_CANCELLED: usize = 10_000;

/// Command of the control endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum ControlCommand {
    /// Refuse new calls.
    Drain,
    /// Add a fault.
    AddFault {
        /// The fault to add.
        fault: Fault,
        /// Number of calls after which the fault ends, or `None` for no end.
        calls: Option<u32>,
    },
    /// Remove all faults.
    ClearFaults,
    /// Remove a snapshot.
    Retire {
        /// The snapshot to remove.
        snapshot: Snapshot,
    },
}

#[derive(Default)]
struct State {
    indexes: BTreeMap<Snapshot, Arc<SnapshotIndex>>,
    faults: FaultScript,
    ledger: Ledger,
    draining: bool,
    active: u32,
    waiting: u32,
    cancelled: HashSet<AttemptId>,
}

struct Shared {
    settings: SearcherSettings,
    incarnation: SearcherIncarnation,
    started: Instant,
    state: Mutex<State>,
    slot_freed: Condvar,
}

/// A running searcher stand-in. It runs until its process ends.
#[derive(Clone)]
pub struct SearcherStandin {
    shared: Arc<Shared>,
}

impl SearcherStandin {
    /// Starts a searcher that has no snapshot yet.
    pub fn start(settings: SearcherSettings) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            incarnation: SearcherIncarnation(rand::random()),
            started: Instant::now(),
            state: Mutex::new(State::default()),
            slot_freed: Condvar::new(),
            settings: settings.clone(),
        });
        let handler = shared.clone();
        let server = Server::new(move |request| handler.handle(request))
            .bind(settings.listen)
            .with_max_concurrent_connections(settings.connections as usize)
            .with_global_timeout(Duration::from_secs(60));
        server.spawn()?;
        Ok(SearcherStandin { shared })
    }

    /// Adds a snapshot of `shard_count` shards by indexing the documents that belong to the shards in `held`.
    pub fn publish(&self, snapshot: Snapshot, corpus: &Corpus, held: &[ShardId], shard_count: usize) {
        let index = Arc::new(SnapshotIndex::build(corpus, held, shard_count));
        self.shared.lock().indexes.insert(snapshot, index);
    }

    /// Executes a control command.
    pub fn control(&self, command: ControlCommand) {
        self.shared.control(command);
    }

    /// Returns a copy of the ledger.
    pub fn ledger(&self) -> Ledger {
        self.shared.lock().ledger.clone()
    }

    /// Returns the searcher's id.
    pub fn id(&self) -> SearcherId {
        self.shared.settings.id
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // An injected fault may unwind a connection's thread and poison the lock. The state itself stays valid.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, request: &mut Request<Body>) -> Response<Body> {
        if self.lock().faults.contains(&Fault::Dead) && request.uri().path() != "/v1/control" {
            close_without_reply();
        }
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        match (method, path.as_str()) {
            (Method::POST, SEARCH_PATH) => match read_json::<SearchCall>(request) {
                Ok(call) => self.search(call),
                Err(response) => response,
            },
            (Method::POST, ACT_PATH) => match read_json::<ActCall>(request) {
                Ok(call) => self.act(call),
                Err(response) => response,
            },
            (Method::POST, CANCEL_PATH) => match read_json::<CancelCall>(request) {
                Ok(call) => self.cancel(call),
                Err(response) => response,
            },
            (Method::POST, "/v1/control") => match read_json::<ControlCommand>(request) {
                Ok(command) => {
                    self.control(command);
                    text_response(StatusCode::OK, "done\n")
                }
                Err(response) => response,
            },
            (Method::GET, STATE_PATH) => json_response(&self.state_reply()),
            (Method::GET, "/v1/ledger") => json_response(&self.lock().ledger),
            (Method::GET, "/v1/health") => text_response(StatusCode::OK, "ok\n"),
            _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    fn control(&self, command: ControlCommand) {
        let mut state = self.lock();
        match command {
            ControlCommand::Drain => state.draining = true,
            ControlCommand::AddFault { fault, calls } => state.faults.add(fault, calls),
            ControlCommand::ClearFaults => state.faults.clear(),
            ControlCommand::Retire { snapshot } => {
                state.indexes.remove(&snapshot);
            }
        }
    }

    fn state_reply(&self) -> StateReply {
        let state = self.lock();
        let misleading = state.faults.contains(&Fault::MisleadingState);
        let load = f64::from(state.active) / f64::from(self.settings.slots);
        StateReply {
            searcher: self.settings.id,
            incarnation: self.incarnation,
            snapshots: state.indexes.keys().copied().collect(),
            draining: state.draining && !misleading,
            load: if misleading { 0.0 } else { load },
        }
    }

    fn cancel(&self, call: CancelCall) -> Response<Body> {
        let mut state = self.lock();
        if state.cancelled.len() >= MAX_CANCELLED {
            state.cancelled.clear();
        }
        state.cancelled.insert(call.attempt);
        text_response(StatusCode::OK, "cancelled\n")
    }

    fn search(&self, call: SearchCall) -> Response<Body> {
        let deadline = Instant::now() + Duration::from_millis(call.remaining_ms);
        let faults = self.lock().faults.take_for_call();
        let slot = match self.acquire_slot(&faults, call.snapshot, call.attempt, deadline) {
            Ok(slot) => slot,
            Err(status) => return self.reply(&faults, call.attempt, call.snapshot, status),
        };
        let status = self.run_search(&slot, &call, &faults, deadline);
        drop(slot);
        self.reply(&faults, call.attempt, call.snapshot, status)
    }

    fn run_search(&self, slot: &Slot<'_>, call: &SearchCall, faults: &[Fault], deadline: Instant) -> CallStatus {
        self.record_call(call.attempt, call.snapshot, call.shards.clone(), None);
        if !self.simulate_work(call.attempt, &call.shards, faults, deadline) {
            return CallStatus::Stopped;
        }
        let found = call.shards.iter().filter_map(|shard| slot.index.search(*shard, &call.query)).collect();
        CallStatus::Found { shards: apply_shard_faults(found, faults, &call.query) }
    }

    fn act(&self, call: ActCall) -> Response<Body> {
        let deadline = Instant::now() + Duration::from_millis(call.remaining_ms);
        let faults = self.lock().faults.take_for_call();
        let slot = match self.acquire_slot(&faults, call.snapshot, call.attempt, deadline) {
            Ok(slot) => slot,
            Err(status) => return self.reply(&faults, call.attempt, call.snapshot, status),
        };
        let status = if slot.index.holds(call.shard) {
            let message = format!("{} {}", call.command.verb, call.command.target);
            let entry = self.record_call(call.attempt, call.snapshot, vec![call.shard], Some(call.command));
            // The action is in the ledger, so it is reported as executed even if it was cancelled meanwhile.
            let _finished_in_time = self.simulate_work(call.attempt, &[call.shard], &faults, deadline);
            CallStatus::Acted { entry, message }
        } else {
            CallStatus::SnapshotGone
        };
        drop(slot);
        self.reply(&faults, call.attempt, call.snapshot, status)
    }

    /// Waits for a slot. The error is the status with which a call that isn't executed is answered.
    fn acquire_slot(
        &self,
        faults: &[Fault],
        snapshot: Snapshot,
        attempt: AttemptId,
        deadline: Instant,
    ) -> Result<Slot<'_>, CallStatus> {
        let mut state = self.lock();
        if state.draining {
            return Err(CallStatus::Draining);
        }
        let Some(index) = state.indexes.get(&snapshot).cloned() else {
            return Err(CallStatus::SnapshotGone);
        };
        let is_full = state.active >= self.settings.slots && state.waiting >= self.settings.queue;
        if is_full || faults.contains(&Fault::Shed) {
            return Err(CallStatus::Shed);
        }
        state.waiting += 1;
        while state.active >= self.settings.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || state.cancelled.contains(&attempt) {
                state.waiting -= 1;
                return Err(CallStatus::Shed);
            }
            let waited = self.slot_freed.wait_timeout(state, left.min(CANCEL_CHECK_INTERVAL * 5));
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.waiting -= 1;
        state.active += 1;
        Ok(Slot { shared: self, index })
    }

    /// Adds a call to the ledger and returns the number of its entry.
    fn record_call(
        &self,
        attempt: AttemptId,
        snapshot: Snapshot,
        shards: Vec<ShardId>,
        action: Option<ActionCommand>,
    ) -> u64 {
        let searcher = self.settings.id;
        let mut state = self.lock();
        let while_draining = state.draining;
        state.ledger.add(LedgerEntry { searcher, attempt, snapshot, shards, action, while_draining })
    }

    /// Waits for as long as a call takes. Returns `false` if the call was cancelled or its deadline passed.
    fn simulate_work(&self, attempt: AttemptId, shards: &[ShardId], faults: &[Fault], deadline: Instant) -> bool {
        let mut span = self.settings.work;
        if self.started.elapsed() < self.settings.cold {
            span *= COLD_FACTOR;
        }
        for fault in faults {
            match fault {
                Fault::Slow { delay_ms } => span += Duration::from_millis(*delay_ms),
                Fault::SlowShard { shard, delay_ms } if shards.contains(shard) => {
                    span += Duration::from_millis(*delay_ms);
                }
                _ => {}
            }
        }
        let end = Instant::now() + span;
        loop {
            let now = Instant::now();
            if now >= end {
                return true;
            }
            if now >= deadline || self.lock().cancelled.contains(&attempt) {
                return false;
            }
            std::thread::sleep((end - now).min(CANCEL_CHECK_INTERVAL));
        }
    }
}

/// A slot in use, which is freed when it is dropped, and the index of the call's snapshot.
struct Slot<'a> {
    shared: &'a Shared,
    index: Arc<SnapshotIndex>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.shared.lock().active -= 1;
        self.shared.slot_freed.notify_one();
    }
}

/// Applies the faults that remove a shard from a search result or add one.
fn apply_shard_faults(mut found: Vec<ShardHits>, faults: &[Fault], query: &SearchQuery) -> Vec<ShardHits> {
    if faults.contains(&Fault::OmitShard) {
        found.pop();
    }
    if faults.contains(&Fault::AddShard) {
        let matched = u64::from(query.limit);
        found.push(ShardHits { shard: ShardId(u32::MAX), matched, hits: Vec::new() });
    }
    found
}

impl Shared {
    /// Creates the reply to a call, with the faults of the call applied.
    fn reply(&self, faults: &[Fault], attempt: AttemptId, snapshot: Snapshot, status: CallStatus) -> Response<Body> {
        if faults.contains(&Fault::LoseReply) {
            close_without_reply();
        }
        let mut reply = CallReply { attempt, snapshot, incarnation: self.incarnation, status };
        if faults.contains(&Fault::CrossReply) {
            reply.attempt.request.sequence = reply.attempt.request.sequence.wrapping_add(1);
        }
        if faults.contains(&Fault::WrongSnapshot) {
            reply.snapshot.version += 1;
        }
        let Ok(mut bytes) = serde_json::to_vec(&reply) else {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "unserializable reply");
        };
        let digest = body_digest(&bytes);
        if faults.contains(&Fault::DamageReply) {
            bytes.reverse();
        }
        if faults.contains(&Fault::TruncateReply) {
            return truncated_response(&digest, bytes);
        }
        bytes_response(&digest, bytes)
    }
}
