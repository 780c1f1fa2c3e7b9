//! Detection of slow replicas of shards. Here a replica is one shard at one searcher.
//!
//! A searcher may be fast for all its shards but one. After a slow reply every replica that the sub-request asked for
//! is suspected; a fast reply clears the suspicion. A replica with two slow replies in a row is avoided, for a time
//! that doubles with each further slow reply, and is then tried again by one request at a time. Each suspected replica
//! is asked in a sub-request of its own. A replica that was suspected only because it was asked together with a slow
//! one is therefore cleared by its first fast reply, while the slow replica is tried less and less often.

use hashbrown::HashMap;
use staircross_types::{BootTime, SearcherId, ShardId};
use std::time::Duration;

/// Number of slow replies in a row from which on a replica is avoided.
const SLOW_REPLIES_TO_AVOID: u8 = 2;
/// Time for which a replica is avoided at first. The time doubles with each further slow reply.
const INITIAL_AVOIDANCE: Duration = Duration::from_secs(1);
/// Largest number of doublings. It limits the avoidance to 64 seconds.
const MAX_AVOIDANCE_DOUBLINGS: u8 = 6;
/// Shortest time between two requests that try a replica whose avoidance has ended.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Multiple of the usual tail latency above which a reply counts as slow.
const SLOW_FACTOR: f64 = 1.5;

/// The replica of a shard that one searcher holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ShardReplica {
    searcher: SearcherId,
    shard: ShardId,
}

/// The slow replies of a suspected replica.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// Slow replies in a row.
    slow_replies: u8,
    avoided_until: BootTime,
}

/// The suspected replicas. Replicas that aren't suspected take no memory.
#[derive(Default)]
pub struct ReplicaHealth {
    suspicions: HashMap<ShardReplica, Suspicion>,
}

impl ReplicaHealth {
    /// Creates a table without suspected replicas.
    pub fn new() -> Self {
        ReplicaHealth::default()
    }

    /// Counts a slow reply for each of `shards`, because another replica that was asked later replied first.
    pub fn record_overtaken(&mut self, now: BootTime, searcher: SearcherId, shards: impl Iterator<Item = ShardId>) {
        for shard in shards {
            self.count_slow_reply(now, ShardReplica { searcher, shard });
        }
    }

    /// Counts a slow reply for each of `shards`, or clears them, by comparing the time that a reply took with the usual
    /// tail latency.
    pub fn record_reply(
        &mut self,
        now: BootTime,
        searcher: SearcherId,
        shards: impl Iterator<Item = ShardId>,
        took: Duration,
        tail: Duration,
    ) {
        let is_slow = took > tail.mul_f64(SLOW_FACTOR);
        if !is_slow && self.suspicions.is_empty() {
            return;
        }
        for shard in shards {
            let replica = ShardReplica { searcher, shard };
            if is_slow {
                self.count_slow_reply(now, replica);
            } else {
                self.suspicions.remove(&replica);
            }
        }
    }

    /// Counts a slow reply of a replica, and starts or extends its avoidance once there are enough.
    fn count_slow_reply(&mut self, now: BootTime, replica: ShardReplica) {
        let suspicion = self.suspicions.entry(replica).or_insert(Suspicion { slow_replies: 0, avoided_until: now });
        suspicion.slow_replies = suspicion.slow_replies.saturating_add(1);
        if suspicion.slow_replies >= SLOW_REPLIES_TO_AVOID {
            let doublings = (suspicion.slow_replies - SLOW_REPLIES_TO_AVOID).min(MAX_AVOIDANCE_DOUBLINGS);
            suspicion.avoided_until = now + INITIAL_AVOIDANCE * (1 << doublings);
        }
    }

    /// Returns whether a replica is to be avoided now.
    pub fn is_avoided(&self, now: BootTime, searcher: SearcherId, shard: ShardId) -> bool {
        if self.suspicions.is_empty() {
            return false;
        }
        self.suspicions.get(&ShardReplica { searcher, shard }).is_some_and(|suspicion| now < suspicion.avoided_until)
    }

    /// Returns the number of slow replies of a replica in a row; zero when it isn't suspected.
    ///
    /// A suspected replica is asked in a sub-request of its own, so that the time of the reply depends on this replica
    /// alone. Replicas that are asked together are suspected together, and one slow replica would keep the others
    /// suspected.
    pub fn slow_replies(&self, searcher: SearcherId, shard: ShardId) -> u8 {
        if self.suspicions.is_empty() {
            return 0;
        }
        self.suspicions.get(&ShardReplica { searcher, shard }).map_or(0, |suspicion| suspicion.slow_replies)
    }

    /// Records that a replica is asked. A replica with enough slow replies to be avoided isn't asked again for a while,
    /// so that one request at a time tries it.
    pub fn record_asked(&mut self, now: BootTime, searcher: SearcherId, shard: ShardId) {
        if self.suspicions.is_empty() {
            return;
        }
        if let Some(suspicion) = self.suspicions.get_mut(&ShardReplica { searcher, shard })
            && suspicion.slow_replies >= SLOW_REPLIES_TO_AVOID
        {
            suspicion.avoided_until = suspicion.avoided_until.max(now + MIN_TRIAL_INTERVAL);
        }
    }

    /// Clears the suspicion of all replicas at a searcher, which has restarted.
    pub fn clear_searcher(&mut self, searcher: SearcherId) {
        self.suspicions.retain(|replica, _| replica.searcher != searcher);
    }

    /// Returns the number of suspected replicas.
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Returns whether no replica is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }
}
