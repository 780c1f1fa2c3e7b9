//! State of one request in flight.
//!
//! Invariants: a shard is merged at most once; hits come from replies to this request's own
//! attempts, at its own snapshot; coverage is counted against the snapshot's own shard map.

use crate::message::{SubOutcome, SubReply, Work};
use staircross_config::Priority;
use staircross_types::query::PagePosition;
use staircross_types::{
    BootTime, Coverage, Hit, MissingCause, MissingShard, SearcherId, ServiceName, SessionToken, ShardHits, ShardMap,
    Snapshot, Ticket,
};
use std::sync::Arc;

/// What is known about one shard of the request.
#[derive(Clone, Debug)]
pub(crate) enum ShardProgress {
    /// Asked, or to be asked.
    Open {
        /// Attempts out for it.
        outstanding: u16,
        /// Attempts made for it, over all searchers.
        sends: u16,
        /// Searchers that were asked and are not to be asked again.
        tried: Vec<SearcherId>,
        /// What went wrong last.
        last_failure: Option<MissingCause>,
    },
    /// Merged.
    Included,
    /// Given up.
    Missing(MissingCause),
}

/// One sub-request sent.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub searcher: SearcherId,
    /// Positions in the shard map.
    pub shards: Vec<u32>,
    pub sent_at: BootTime,
    /// Whether no final word on it has come.
    pub open: bool,
    /// Whether lateness has been acted on.
    pub hedged: bool,
}

impl Attempt {
    /// Closes the attempt and returns what it was.
    pub fn close(&mut self) -> Attempt {
        self.open = false;
        let shards = std::mem::take(&mut self.shards);
        Attempt { shards, ..self.clone() }
    }
}

/// One request.
pub(crate) struct Request {
    pub session: SessionToken,
    pub service: ServiceName,
    pub work: Work,
    pub ticket: Option<Ticket>,
    pub map: Arc<ShardMap>,
    pub shards: ShardLedger,
    pub attempts: Vec<Attempt>,
    pub admitted_at: BootTime,
    pub deadline: BootTime,
    pub least_per_mille: u32,
    pub priority: Priority,
    pub floor: Option<Snapshot>,
    pub excluded: Vec<Snapshot>,
    pub hits: Vec<Hit>,
    pub matched: u64,
    pub needed: u32,
    pub troubled: bool,
    /// Whether a plan was made; later ones are extra work.
    pub planned: bool,
    /// Whether any attempt ended, or may have ended, in execution.
    pub may_have_run: bool,
    /// Attempts of abandoned plans; replies to them are ignored.
    pub first_valid_attempt: u32,
}

impl Request {
    /// Whether the request is a paged pull.
    pub fn page_start(&self) -> Option<&PagePosition> {
        self.work.page_start()
    }

    /// Whether `count` shards are enough for an answer.
    pub fn is_enough(&self, count: usize) -> bool {
        count * 1000 >= self.shards.len() * self.least_per_mille as usize
    }

    /// Merges the shards of a good reply that were asked for and aren't merged yet.
    pub fn merge(&mut self, asked: &[u32], found: Vec<ShardHits>) -> MergeResult {
        let mut contested = false;
        for shard_hits in found {
            let Some(position) = self.asked_position(asked, &shard_hits) else {
                continue;
            };
            contested |= self.merge_shard(position, shard_hits);
        }
        let unanswered = asked.iter().copied().filter(|position| self.shards.is_open(*position)).collect();
        MergeResult { unanswered, contested }
    }

    fn asked_position(&self, asked: &[u32], found: &ShardHits) -> Option<u32> {
        let index = self.map.shards.binary_search_by_key(&found.shard, |placement| placement.shard).ok()?;
        let position = index as u32;
        asked.binary_search(&position).ok()?;
        let foreign = found.hits.iter().any(|hit| hit.shard != found.shard);
        (!foreign).then_some(position)
    }

    /// Merges one shard; returns whether other attempts are out for it.
    fn merge_shard(&mut self, position: u32, found: ShardHits) -> bool {
        // Two replicas may both reply; the shard counts once.
        let Some(ShardProgress::Open { outstanding, .. }) = self.shards.get(position) else {
            return false;
        };
        let contested = *outstanding > 0;
        self.shards.include(position);
        self.matched += found.matched;
        self.hits.extend(found.hits);
        if self.hits.len() > 4 * self.limit() {
            self.keep_best();
        }
        contested
    }

    fn limit(&self) -> usize {
        match &self.work {
            Work::Search(query) => query.limit as usize,
            Work::Act(_) => 0,
        }
    }

    /// Sorts the hits and drops those beyond the limit.
    pub fn keep_best(&mut self) {
        if self.page_start().is_some() {
            self.hits.sort_by(|left, right| (left.shard, &left.document).cmp(&(right.shard, &right.document)));
        } else {
            self.hits.sort_by(|left, right| {
                right.score.total_cmp(&left.score).then_with(|| left.document.cmp(&right.document))
            });
        }
        let limit = self.limit();
        self.hits.truncate(limit);
    }

    /// Coverage as of now; shards still open are missing for `open_cause` or their last failure.
    pub fn coverage(&self, open_cause: MissingCause) -> Coverage {
        let mut coverage = Coverage::default();
        for (placement, progress) in self.map.shards.iter().zip(self.shards.iter()) {
            let cause = match progress {
                ShardProgress::Included => {
                    coverage.included.push(placement.shard);
                    continue;
                }
                ShardProgress::Missing(cause) => *cause,
                ShardProgress::Open { outstanding: 0, last_failure: Some(cause), .. } => *cause,
                ShardProgress::Open { .. } => open_cause,
            };
            coverage.missing.push(MissingShard { shard: placement.shard, cause });
        }
        coverage
    }

    /// Throws away everything gathered so far, for a new plan at another snapshot.
    pub fn restart(&mut self, map: Arc<ShardMap>, next_attempt: u32) {
        self.excluded.push(self.map.snapshot);
        self.shards = ShardLedger::open(&map, self.page_start());
        self.map = map;
        self.hits.clear();
        self.matched = 0;
        self.first_valid_attempt = next_attempt;
    }
}

/// What a merge did.
pub(crate) struct MergeResult {
    /// Shards that the reply should have answered and didn't, and nobody else has.
    pub unanswered: Vec<u32>,
    /// Whether another attempt is out for a shard that was merged.
    pub contested: bool,
}

/// Progress of all shards, with counts kept so that each reply costs only its own shards.
pub(crate) struct ShardLedger {
    progress: Vec<ShardProgress>,
    open: usize,
    included: usize,
}

impl ShardLedger {
    /// Progress of a fresh plan. A pull's pages skip the shards before their position.
    pub fn open(map: &ShardMap, page_start: Option<&PagePosition>) -> Self {
        let first = page_start.map(|position| position.shard);
        let progress = map.shards.iter().map(|placement| {
            if first.is_some_and(|first| placement.shard < first) {
                return ShardProgress::Included;
            }
            ShardProgress::Open { outstanding: 0, sends: 0, tried: Vec::new(), last_failure: None }
        });
        let progress: Vec<ShardProgress> = progress.collect();
        let open = progress.iter().filter(|shard| matches!(shard, ShardProgress::Open { .. })).count();
        let included = progress.len() - open;
        ShardLedger { progress, open, included }
    }

    /// Number of shards.
    pub fn len(&self) -> usize {
        self.progress.len()
    }

    /// Shards included so far.
    pub fn included(&self) -> usize {
        self.included
    }

    /// Shards that are included or may still be.
    pub fn reachable(&self) -> usize {
        self.included + self.open
    }

    /// Whether nothing more can come.
    pub fn is_settled(&self) -> bool {
        self.open == 0
    }

    /// Progress of all shards, in the map's order.
    pub fn iter(&self) -> impl Iterator<Item = &ShardProgress> {
        self.progress.iter()
    }

    /// Progress of one shard.
    pub fn get(&self, position: u32) -> Option<&ShardProgress> {
        self.progress.get(position as usize)
    }

    /// Progress of one shard that is still open.
    pub fn get_open_mut(&mut self, position: u32) -> Option<&mut ShardProgress> {
        self.progress.get_mut(position as usize).filter(|shard| matches!(shard, ShardProgress::Open { .. }))
    }

    /// Whether a shard is still open.
    pub fn is_open(&self, position: u32) -> bool {
        matches!(self.get(position), Some(ShardProgress::Open { .. }))
    }

    /// Positions of all open shards.
    pub fn open_positions(&self) -> Vec<u32> {
        (0..self.progress.len() as u32).filter(|position| self.is_open(*position)).collect()
    }

    /// Marks an open shard as included.
    pub fn include(&mut self, position: u32) {
        if let Some(progress) = self.get_open_mut(position) {
            *progress = ShardProgress::Included;
            self.open -= 1;
            self.included += 1;
        }
    }

    /// Gives up an open shard unless an attempt is out for it.
    pub fn give_up_idle(&mut self, position: u32, cause: MissingCause) {
        let Some(progress) = self.get_open_mut(position) else {
            return;
        };
        if matches!(progress, ShardProgress::Open { outstanding: 0, .. }) {
            *progress = ShardProgress::Missing(cause);
            self.open -= 1;
        }
    }

    /// Takes an ended attempt off its shards.
    pub fn release(&mut self, positions: &[u32]) {
        for position in positions {
            if let Some(ShardProgress::Open { outstanding, .. }) = self.get_open_mut(*position) {
                *outstanding = outstanding.saturating_sub(1);
            }
        }
    }

    /// Notes a failure and returns the shards that have no other attempt out.
    pub fn note_failure(&mut self, positions: &[u32], cause: MissingCause) -> Vec<u32> {
        let mut idle = Vec::new();
        for position in positions {
            if let Some(ShardProgress::Open { outstanding, last_failure, .. }) = self.get_open_mut(*position) {
                *last_failure = Some(cause);
                if *outstanding == 0 {
                    idle.push(*position);
                }
            }
        }
        idle
    }

    /// Lets shards be asked again of a searcher that was never reached.
    pub fn forget_try(&mut self, positions: &[u32], searcher: SearcherId) {
        for position in positions {
            if let Some(ShardProgress::Open { tried, .. }) = self.get_open_mut(*position) {
                tried.retain(|known| *known != searcher);
            }
        }
    }

    /// Attempts made for an open shard.
    pub fn sends(&self, position: u32) -> usize {
        match self.get(position) {
            Some(ShardProgress::Open { sends, .. }) => usize::from(*sends),
            _ => usize::MAX,
        }
    }
}

/// Whether a reply is a whole one to what was asked: right searcher and right snapshot.
pub(crate) fn reply_matches(request: &Request, attempt: &Attempt, reply: &SubReply) -> bool {
    let right_searcher = attempt.searcher == reply.searcher;
    // A refusal says nothing about the index, so its snapshot doesn't matter.
    let right_snapshot = match &reply.outcome {
        SubOutcome::Found(_) | SubOutcome::Acted(_) => reply.snapshot == request.map.snapshot,
        SubOutcome::NotRun(_) | SubOutcome::Unknown(_) => true,
    };
    right_searcher && right_snapshot
}
