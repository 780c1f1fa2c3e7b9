//! Which copies of shards are slow.
//!
//! A searcher may be quick for all its shards but one. A slow reply puts every shard that it was
//! asked for under suspicion; a quick one clears its shards. Copies that were in slow replies
//! twice in a row are avoided for a while, ever longer, and tried again by one request at a time.
//! Suspects are asked one by one. So the innocent come free at their first quick reply and the slow
//! one is tried ever more seldom.

use hashbrown::HashMap;
use staircross_types::{BootTime, SearcherId, ShardId};
use std::time::Duration;

/// Slow replies in a row after which a copy is avoided.
const STRIKES_TO_AVOID: u8 = 2;
/// First time of avoidance; doubles with each further strike.
const AVOID_BASE: Duration = Duration::from_secs(1);
/// Doublings at the most: the longest avoidance is about a minute.
const MAX_DOUBLINGS: u8 = 6;
/// Time after which another request may try an avoided copy whose time is up.
const TRIAL_SPACING: Duration = Duration::from_millis(500);
/// A reply is slow when it takes this many times the usual tail.
const SLOW_FACTOR: f64 = 1.5;

/// One copy of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Copy {
    searcher: SearcherId,
    shard: ShardId,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    strikes: u8,
    avoid_until: BootTime,
}

/// Suspicions against copies. Only suspected copies take memory.
#[derive(Default)]
pub struct CopyHealth {
    suspicions: HashMap<Copy, Suspicion>,
}

impl CopyHealth {
    /// No suspicions.
    pub fn new() -> Self {
        CopyHealth::default()
    }

    /// Notes that these shards' replies were overtaken by those of another copy asked later.
    pub fn note_overtaken(&mut self, now: BootTime, searcher: SearcherId, shards: impl Iterator<Item = ShardId>) {
        for shard in shards {
            self.strike(now, Copy { searcher, shard });
        }
    }

    /// Notes how long a reply took against the usual `tail`.
    pub fn note_reply(
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
            let copy = Copy { searcher, shard };
            if is_slow {
                self.strike(now, copy);
            } else {
                self.suspicions.remove(&copy);
            }
        }
    }

    fn strike(&mut self, now: BootTime, copy: Copy) {
        let suspicion = self.suspicions.entry(copy).or_insert(Suspicion { strikes: 0, avoid_until: now });
        suspicion.strikes = suspicion.strikes.saturating_add(1);
        if suspicion.strikes >= STRIKES_TO_AVOID {
            let doublings = (suspicion.strikes - STRIKES_TO_AVOID).min(MAX_DOUBLINGS);
            suspicion.avoid_until = now + AVOID_BASE * (1 << doublings);
        }
    }

    /// Whether a copy is to be avoided now.
    pub fn is_avoided(&self, now: BootTime, searcher: SearcherId, shard: ShardId) -> bool {
        if self.suspicions.is_empty() {
            return false;
        }
        self.suspicions.get(&Copy { searcher, shard }).is_some_and(|suspicion| now < suspicion.avoid_until)
    }

    /// Strikes against a copy; zero when it isn't suspected.
    ///
    /// A suspected copy is asked in a sub-request of its own, so that the reply tells about it alone:
    /// shards asked together are suspected together, and would never come free of a slow one.
    pub fn strikes(&self, searcher: SearcherId, shard: ShardId) -> u8 {
        if self.suspicions.is_empty() {
            return 0;
        }
        self.suspicions.get(&Copy { searcher, shard }).map_or(0, |suspicion| suspicion.strikes)
    }

    /// Notes that a copy is asked; one that was avoided isn't asked again until this trial has told.
    pub fn note_asked(&mut self, now: BootTime, searcher: SearcherId, shard: ShardId) {
        if self.suspicions.is_empty() {
            return;
        }
        if let Some(suspicion) = self.suspicions.get_mut(&Copy { searcher, shard })
            && suspicion.strikes >= STRIKES_TO_AVOID
        {
            suspicion.avoid_until = suspicion.avoid_until.max(now + TRIAL_SPACING);
        }
    }

    /// Forgets a searcher that has restarted.
    pub fn forget(&mut self, searcher: SearcherId) {
        self.suspicions.retain(|copy, _| copy.searcher != searcher);
    }

    /// Copies under suspicion.
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Whether no copy is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }
}
