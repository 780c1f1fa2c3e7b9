//! Simulated searchers: slots, snapshots, drain, cold start, slowness, scripted reply faults.

use super::oracle::simulated_hit;
use super::records::RunRecord;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use staircross_search::{ActionReceipt, Evidence, NotRunReason, SubOutcome, SubReply, SubRequest, Work};
use staircross_types::{BootTime, SearcherId, SearcherIncarnation, ShardHits, ShardId, Snapshot};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A way in which the next reply is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ReplyFault {
    /// Runs, and no reply comes.
    Lost,
    /// The reply comes after a long time.
    Late,
    /// The reply comes twice.
    Doubled,
    /// The reply names another request and holds its hits.
    Crossed,
    /// The reply breaks off.
    Truncated,
    /// The reply comes from another snapshot.
    WrongSnapshot,
    /// The reply lacks a shard.
    OmittedShard,
    /// The reply has a shard that wasn't asked for.
    ForeignShard,
}

/// Time that work takes.
#[derive(Clone, Debug)]
pub struct WorkTime {
    /// Median of one sub-request.
    pub median: Duration,
    /// Spread: the logarithm of a sample is normal with this deviation.
    pub sigma: f64,
    /// Shard copies that are slow, with the factor.
    pub slow_copies: BTreeMap<ShardId, f64>,
}

impl WorkTime {
    /// One sample for a sub-request on these shards: as slow as its slowest shard.
    pub fn sample(&self, shards: &[ShardId], random: &mut ChaCha8Rng) -> Duration {
        let factor = shards.iter().filter_map(|shard| self.slow_copies.get(shard)).copied().fold(1.0, f64::max);
        // Sum of uniform samples: close enough to a normal one, and the same on every machine.
        let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
        self.median.mul_f64(factor * (self.sigma * normal).exp())
    }
}

/// What a searcher does with an arriving sub-request.
pub enum Arrival {
    /// Starts it; the reply is ready after this time.
    Started(Duration),
    /// Keeps it until a slot is free.
    Queued,
    /// Refuses it.
    Refused(NotRunReason),
}

/// One simulated searcher.
pub struct SimSearcher {
    /// Its number.
    pub id: SearcherId,
    /// Its run.
    pub incarnation: SearcherIncarnation,
    /// Its zone.
    pub zone: usize,
    /// Whether the process runs.
    pub is_up: bool,
    /// When it began to leave.
    pub leaving_since: Option<BootTime>,
    /// Whether it refuses work because it leaves. Not so when only the platform says that it leaves.
    pub refuses: bool,
    /// Whether its state endpoint hides that it leaves.
    pub misleads: bool,
    /// Stopped until then, by a pause.
    pub paused_until: BootTime,
    /// Snapshots held, with their shards.
    pub held: BTreeMap<Snapshot, BTreeSet<ShardId>>,
    /// Slots.
    pub slots: usize,
    /// Sub-requests that may wait for a slot.
    pub queue_bound: usize,
    /// Sub-requests running.
    pub active: usize,
    /// Sub-requests waiting, with the node to reply to and the time they are good for.
    pub queue: VecDeque<(usize, SubRequest, BootTime)>,
    /// Time that work takes.
    pub work_time: WorkTime,
    /// Slower until then, after a cold start.
    pub cold_until: BootTime,
    /// Wrong replies to come.
    pub faults: VecDeque<ReplyFault>,
    next_entry: u64,
}

/// How much slower a cold searcher is.
const COLD_FACTOR: f64 = 4.0;

impl SimSearcher {
    /// A searcher that holds nothing yet.
    pub fn new(id: SearcherId, zone: usize, slots: usize, work_time: WorkTime) -> Self {
        SimSearcher {
            id,
            incarnation: SearcherIncarnation(u128::from(id.0) << 32 | 1),
            zone,
            is_up: true,
            leaving_since: None,
            refuses: false,
            misleads: false,
            paused_until: BootTime::default(),
            held: BTreeMap::new(),
            slots,
            queue_bound: slots,
            active: 0,
            queue: VecDeque::new(),
            work_time,
            cold_until: BootTime::default(),
            faults: VecDeque::new(),
            next_entry: 0,
        }
    }

    /// Starts again as a new run, cold; what was running is gone.
    pub fn restart(&mut self, now: BootTime) {
        self.incarnation.0 += 1;
        self.is_up = true;
        self.leaving_since = None;
        self.refuses = false;
        self.misleads = false;
        self.active = 0;
        self.queue.clear();
        self.cold_until = now + Duration::from_secs(2);
    }

    /// What its state endpoint says.
    pub fn evidence(&self) -> Evidence {
        Evidence {
            incarnation: self.incarnation,
            snapshots: self.held.keys().copied().collect(),
            draining: self.refuses && !self.misleads,
        }
    }

    /// Takes an arriving sub-request.
    pub fn arrive(&mut self, now: BootTime, from: usize, request: &SubRequest, random: &mut ChaCha8Rng) -> Arrival {
        if self.refuses {
            return Arrival::Refused(NotRunReason::Draining);
        }
        let holds_all = self
            .held
            .get(&request.snapshot)
            .is_some_and(|shards| request.shards.iter().all(|shard| shards.contains(shard)));
        if !holds_all {
            return Arrival::Refused(NotRunReason::SnapshotGone);
        }
        if self.active < self.slots {
            self.active += 1;
            return Arrival::Started(self.time_for(now, request, random));
        }
        if self.queue.len() < self.queue_bound {
            self.queue.push_back((from, request.clone(), now + request.remaining));
            return Arrival::Queued;
        }
        Arrival::Refused(NotRunReason::Shed)
    }

    /// Time that a sub-request takes.
    pub fn time_for(&self, now: BootTime, request: &SubRequest, random: &mut ChaCha8Rng) -> Duration {
        let span = self.work_time.sample(&request.shards, random);
        if now < self.cold_until { span.mul_f64(COLD_FACTOR) } else { span }
    }

    /// The ledger's entry for a sub-request that runs.
    pub fn run_record(&self, request: &SubRequest) -> RunRecord {
        let note = match &request.work {
            Work::Act(command) => Some(command.note.clone()),
            Work::Search(_) => None,
        };
        RunRecord {
            attempt: request.attempt,
            searcher: self.id,
            snapshot: request.snapshot,
            shards: request.shards.clone(),
            note,
        }
    }

    /// The true reply to a sub-request that has run.
    pub fn true_reply(&mut self, request: &SubRequest) -> SubReply {
        let outcome = match &request.work {
            Work::Act(command) => {
                self.next_entry += 1;
                SubOutcome::Acted(ActionReceipt { entry: self.next_entry, message: command.note.clone() })
            }
            Work::Search(query) => {
                let term = query.terms.first().cloned().unwrap_or_default();
                let snapshot = request.snapshot.to_string();
                let search = |shard: &ShardId| ShardHits {
                    shard: *shard,
                    matched: 1,
                    hits: vec![simulated_hit(&snapshot, *shard, &term)],
                };
                SubOutcome::Found(request.shards.iter().map(search).collect())
            }
        };
        SubReply {
            attempt: request.attempt,
            searcher: self.id,
            snapshot: request.snapshot,
            outcome,
            worked: Default::default(),
        }
    }
}

/// Applies a fault to a true reply, as the searcher client of a node would report it.
///
/// `None`: no reply comes.
pub fn distort(fault: ReplyFault, mut reply: SubReply) -> Option<SubReply> {
    use staircross_search::UnknownReason;
    match fault {
        ReplyFault::Lost => return None,
        ReplyFault::Late | ReplyFault::Doubled => {}
        // The client compares identities and digests, and reports what doesn't match as broken.
        ReplyFault::Crossed | ReplyFault::Truncated => reply.outcome = SubOutcome::Unknown(UnknownReason::Broken),
        ReplyFault::WrongSnapshot => {
            reply.snapshot.version += 1000;
            if let SubOutcome::Found(found) = &mut reply.outcome {
                let snapshot = reply.snapshot.to_string();
                for shard_hits in found.iter_mut() {
                    let shard = shard_hits.shard;
                    shard_hits.hits.iter_mut().for_each(|hit| *hit = simulated_hit(&snapshot, shard, "wrong"));
                }
            }
        }
        ReplyFault::OmittedShard => {
            if let SubOutcome::Found(found) = &mut reply.outcome {
                found.pop();
            }
        }
        ReplyFault::ForeignShard => {
            if let SubOutcome::Found(found) = &mut reply.outcome {
                let shard = ShardId(u32::MAX);
                let hits = vec![simulated_hit("foreign", shard, "foreign")];
                found.push(ShardHits { shard, matched: 1, hits });
            }
        }
    }
    Some(reply)
}
