//! Simulated searchers, with slots, a queue, snapshots, draining, cold starts, slow shards and scripted reply faults.

use super::oracle::simulated_hit;
use super::records::ExecutionRecord;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use staircross_search::{ActionReceipt, NotRunReason, ProbeReport, SubOutcome, SubReply, SubRequest, Work};
use staircross_types::{BootTime, SearcherId, SearcherIncarnation, ShardHits, ShardId, Snapshot};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A fault of one reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ReplyFault {
    /// The sub-request runs, but no reply comes.
    Lost,
    /// The reply comes after an additional delay.
    Late,
    /// The reply comes twice.
    Doubled,
    /// The reply names another request and has its hits.
    Crossed,
    /// The reply ends early.
    Truncated,
    /// The reply comes from another snapshot.
    WrongSnapshot,
    /// The reply lacks a shard.
    OmittedShard,
    /// The reply has a shard that was not requested.
    ForeignShard,
}

/// Distribution of the time that a sub-request takes.
#[derive(Clone, Debug)]
pub struct WorkTime {
    /// Median time of one sub-request.
    pub median: Duration,
    /// Standard deviation of the logarithm of the time, which is normally distributed.
    pub sigma: f64,
    /// Shards whose replica at this searcher is slow, each with the factor by which it is slower.
    pub slow_replicas: BTreeMap<ShardId, f64>,
}

impl WorkTime {
    /// Draws the time of a sub-request on these shards. The slowest shard determines it.
    pub fn draw(&self, shards: &[ShardId], random: &mut ChaCha8Rng) -> Duration {
        let factor = shards.iter().filter_map(|shard| self.slow_replicas.get(shard)).copied().fold(1.0, f64::max);
        // A sum of uniform samples is close enough to a normal one and is the same on every machine.
        let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
        self.median.mul_f64(factor * (self.sigma * normal).exp())
    }
}

/// Decision of a searcher about an arriving sub-request.
pub enum Admission {
    /// The sub-request starts, and its reply is ready after this time.
    Started(Duration),
    /// The sub-request waits for a free slot.
    Queued,
    /// The sub-request is refused and does not run.
    Refused(NotRunReason),
}

/// State of one simulated searcher.
pub struct SimSearcher {
    /// Id of the searcher.
    pub id: SearcherId,
    /// Incarnation of the searcher; each start gives a new one.
    pub incarnation: SearcherIncarnation,
    /// Index of the searcher's zone.
    pub zone: usize,
    /// Whether the process is running.
    pub is_up: bool,
    /// Time at which the searcher began to drain or the platform listed it as leaving, if either happened. If its state
    /// endpoint hides the drain, this is the time at which a node first gets a refusal because of the drain.
    pub leaving_since: Option<BootTime>,
    /// Whether the searcher drains and refuses new work. It does not when only the platform lists it as leaving.
    pub is_draining: bool,
    /// Whether the state endpoint hides that the searcher drains.
    pub hides_draining: bool,
    /// End of the current pause of the process.
    pub paused_until: BootTime,
    /// Shards that the searcher holds, by snapshot.
    pub shards_by_snapshot: BTreeMap<Snapshot, BTreeSet<ShardId>>,
    /// Number of sub-requests that the searcher executes at a time.
    pub slots: usize,
    /// Number of sub-requests that may wait for a slot.
    pub queue_capacity: usize,
    /// Number of sub-requests that are running.
    pub active: usize,
    /// Sub-requests that wait for a slot, each with the index of the node to reply to and its deadline.
    pub queue: VecDeque<(usize, SubRequest, BootTime)>,
    /// Distribution of the time that a sub-request takes.
    pub work_time: WorkTime,
    /// End of the time after a restart during which work takes longer.
    pub cold_until: BootTime,
    /// Faults of the next replies, one for each reply.
    pub reply_faults: VecDeque<ReplyFault>,
    last_entry: u64,
}

/// Factor by which work takes longer after a restart.
const COLD_FACTOR: f64 = 4.0;

impl SimSearcher {
    /// Returns a running searcher that holds no snapshot yet.
    pub fn new(id: SearcherId, zone: usize, slots: usize, work_time: WorkTime) -> Self {
        SimSearcher {
            id,
            incarnation: SearcherIncarnation(u128::from(id.0) << 32 | 1),
            zone,
            is_up: true,
            leaving_since: None,
            is_draining: false,
            hides_draining: false,
            paused_until: BootTime::default(),
            shards_by_snapshot: BTreeMap::new(),
            slots,
            queue_capacity: slots,
            active: 0,
            queue: VecDeque::new(),
            work_time,
            cold_until: BootTime::default(),
            reply_faults: VecDeque::new(),
            last_entry: 0,
        }
    }

    /// Starts a new, cold incarnation. Sub-requests that were running or waiting are lost.
    pub fn restart(&mut self, now: BootTime) {
        self.incarnation.0 += 1;
        self.is_up = true;
        self.leaving_since = None;
        self.is_draining = false;
        self.hides_draining = false;
        self.active = 0;
        self.queue.clear();
        self.cold_until = now + Duration::from_secs(2);
    }

    /// Returns the reply of the state endpoint.
    pub fn probe_report(&self) -> ProbeReport {
        ProbeReport {
            incarnation: self.incarnation,
            snapshots: self.shards_by_snapshot.keys().copied().collect(),
            draining: self.is_draining && !self.hides_draining,
        }
    }

    /// Starts, queues or refuses an arriving sub-request.
    pub fn admit(&mut self, now: BootTime, from: usize, request: &SubRequest, random: &mut ChaCha8Rng) -> Admission {
        if self.is_draining {
            return Admission::Refused(NotRunReason::Draining);
        }
        let holds_all = self
            .shards_by_snapshot
            .get(&request.snapshot)
            .is_some_and(|shards| request.shards.iter().all(|shard| shards.contains(shard)));
        if !holds_all {
            return Admission::Refused(NotRunReason::SnapshotGone);
        }
        if self.active < self.slots {
            self.active += 1;
            return Admission::Started(self.draw_work_time(now, request, random));
        }
        if self.queue.len() < self.queue_capacity {
            self.queue.push_back((from, request.clone(), now + request.remaining));
            return Admission::Queued;
        }
        Admission::Refused(NotRunReason::Shed)
    }

    /// Draws the time that a sub-request takes if it starts now.
    pub fn draw_work_time(&self, now: BootTime, request: &SubRequest, random: &mut ChaCha8Rng) -> Duration {
        let span = self.work_time.draw(&request.shards, random);
        if now < self.cold_until { span.mul_f64(COLD_FACTOR) } else { span }
    }

    /// Returns the history record of a sub-request that this searcher executes.
    pub fn execution_record(&self, request: &SubRequest) -> ExecutionRecord {
        let note = match &request.work {
            Work::Act(command) => Some(command.note.clone()),
            Work::Search(_) => None,
        };
        ExecutionRecord {
            attempt: request.attempt,
            searcher: self.id,
            snapshot: request.snapshot,
            shards: request.shards.clone(),
            note,
        }
    }

    /// Returns the correct reply to a sub-request that has run.
    pub fn correct_reply(&mut self, request: &SubRequest) -> SubReply {
        let outcome = match &request.work {
            Work::Act(command) => {
                self.last_entry += 1;
                SubOutcome::Acted(ActionReceipt { entry: self.last_entry, message: command.note.clone() })
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

/// Applies a fault to a correct reply and returns what the searcher client of a node reports.
///
/// Returns `None` if no reply comes.
pub fn apply_reply_fault(fault: ReplyFault, mut reply: SubReply) -> Option<SubReply> {
    use staircross_search::UnknownReason;
    match fault {
        ReplyFault::Lost => return None,
        ReplyFault::Late | ReplyFault::Doubled => {}
        // The client compares ids and digests and reports a reply that does not match as broken.
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
