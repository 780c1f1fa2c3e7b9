//! State of one request in flight.
//!
//! Invariants: the hits of a shard are merged at most once; hits come only from replies to this request's attempts, at
//! the request's snapshot; coverage is counted against that snapshot's shard map.

use crate::message::{SubOutcome, SubReply, Work};
use staircross_config::Priority;
use staircross_types::query::PagePosition;
use staircross_types::{
    BootTime, Coverage, Hit, MissingCause, MissingShard, SearcherId, ServiceName, SessionToken, ShardHits, ShardMap,
    Snapshot, Ticket,
};
use std::sync::Arc;

/// Progress of one shard of a request.
#[derive(Clone, Debug)]
pub(crate) enum ShardProgress {
    /// The shard has been asked for or is still to be asked for.
    Open {
        /// Number of attempts for the shard that have not ended.
        outstanding: u16,
        /// Number of attempts made for the shard, over all searchers.
        attempt_count: u16,
        /// Searchers that were asked for the shard and must not be asked for it again.
        tried: Vec<SearcherId>,
        /// Cause of the last failure.
        last_failure: Option<MissingCause>,
    },
    /// The shard's hits are merged, or the request doesn't need the shard.
    Included,
    /// No further attempt is made for the shard.
    Missing(MissingCause),
}

/// One sub-request that was sent.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub searcher: SearcherId,
    /// Positions of its shards in the shard map.
    pub shards: Vec<u32>,
    pub sent_at: BootTime,
    /// Whether a reply to the attempt is still expected.
    pub open: bool,
    /// Whether the attempt was late and a hedge has been tried for it.
    pub hedged: bool,
}

impl Attempt {
    /// Marks the attempt as ended and moves its shards into the copy that is returned.
    pub fn close(&mut self) -> Attempt {
        self.open = false;
        let shards = std::mem::take(&mut self.shards);
        Attempt { shards, ..self.clone() }
    }
}

/// One request in flight.
pub(crate) struct Request {
    pub session: SessionToken,
    pub service: ServiceName,
    pub work: Work,
    pub ticket: Option<Ticket>,
    pub map: Arc<ShardMap>,
    pub shards: ShardProgressTable,
    pub attempts: Vec<Attempt>,
    pub admitted_at: BootTime,
    pub deadline: BootTime,
    /// Least coverage for an answer, in shards per thousand.
    pub least_coverage_per_mille: u32,
    pub priority: Priority,
    /// Oldest snapshot that may be used.
    pub floor: Option<Snapshot>,
    /// Snapshots of abandoned plans, which the request must not be planned on again.
    pub excluded: Vec<Snapshot>,
    pub hits: Vec<Hit>,
    /// Number of matching documents in the merged shards.
    pub matched: u64,
    /// Number of sub-requests of the first plan.
    pub needed: u32,
    /// Whether a sub-request was shed.
    pub was_shed: bool,
    /// Whether a plan has been made. The sub-requests of later plans count as extra work.
    pub planned: bool,
    /// Whether any attempt was executed or may have been.
    pub may_have_run: bool,
    /// Number of the first attempt of the current plan. Replies to earlier attempts are ignored.
    pub first_attempt_of_plan: u32,
}

impl Request {
    /// Returns where the page starts, if the request is a page of a pull.
    pub fn page_start(&self) -> Option<&PagePosition> {
        self.work.page_start()
    }

    /// Returns whether `count` shards reach the least coverage.
    pub fn reaches_coverage(&self, count: usize) -> bool {
        count * 1000 >= self.shards.len() * self.least_coverage_per_mille as usize
    }

    /// Merges those shards of a matching reply that the attempt asked for and that are still open.
    pub fn merge(&mut self, asked: &[u32], found: Vec<ShardHits>) -> MergeResult {
        let mut has_other_attempts = false;
        for shard_hits in found {
            let Some(position) = self.asked_position(asked, &shard_hits) else {
                continue;
            };
            has_other_attempts |= self.merge_shard(position, shard_hits);
        }
        let unanswered = asked.iter().copied().filter(|position| self.shards.is_open(*position)).collect();
        MergeResult { unanswered, has_other_attempts }
    }

    /// Returns the position of a shard of a reply; `None` if the attempt didn't ask for the shard or one of its hits is
    /// from another shard.
    fn asked_position(&self, asked: &[u32], found: &ShardHits) -> Option<u32> {
        let index = self.map.shards.binary_search_by_key(&found.shard, |placement| placement.shard).ok()?;
        let position = index as u32;
        asked.binary_search(&position).ok()?;
        let has_foreign_hit = found.hits.iter().any(|hit| hit.shard != found.shard);
        (!has_foreign_hit).then_some(position)
    }

    /// Merges the hits of one open shard. Returns whether other attempts for it have not ended.
    fn merge_shard(&mut self, position: u32, found: ShardHits) -> bool {
        // After a hedge, two replicas may reply for the shard. Only the first reply counts.
        let Some(ShardProgress::Open { outstanding, .. }) = self.shards.get(position) else {
            return false;
        };
        let has_other_attempts = *outstanding > 0;
        self.shards.include(position);
        self.matched += found.matched;
        self.hits.extend(found.hits);
        if self.hits.len() > 4 * self.hit_limit() {
            self.sort_and_truncate_hits();
        }
        has_other_attempts
    }

    /// Returns the largest number of hits that the answer may have.
    fn hit_limit(&self) -> usize {
        match &self.work {
            Work::Search(query) => query.limit as usize,
            Work::Act(_) => 0,
        }
    }

    /// Sorts the hits, a pull's by document and a search's by score, and drops those beyond the limit.
    pub fn sort_and_truncate_hits(&mut self) {
        if self.page_start().is_some() {
            self.hits.sort_by(|left, right| (left.shard, &left.document).cmp(&(right.shard, &right.document)));
        } else {
            self.hits.sort_by(|left, right| {
                right.score.total_cmp(&left.score).then_with(|| left.document.cmp(&right.document))
            });
        }
        let limit = self.hit_limit();
        self.hits.truncate(limit);
    }

    /// Returns the coverage as of now. A shard that is still open is missing for its last failure if no attempt for it
    /// is in flight, otherwise for `open_cause`.
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

    /// Discards all merged hits and progress, so that the request can be planned on another snapshot.
    pub fn restart_on(&mut self, map: Arc<ShardMap>, next_attempt: u32) {
        self.excluded.push(self.map.snapshot);
        self.shards = ShardProgressTable::new(&map, self.page_start());
        self.map = map;
        self.hits.clear();
        self.matched = 0;
        self.first_attempt_of_plan = next_attempt;
    }
}

/// What merging a reply did.
pub(crate) struct MergeResult {
    /// Shards that the attempt asked for and that are still open after the merge.
    pub unanswered: Vec<u32>,
    /// Whether another attempt for a merged shard has not ended.
    pub has_other_attempts: bool,
}

/// Progress of all shards. The counts of open and included shards are kept, so that a reply needs to visit only its own
/// shards.
pub(crate) struct ShardProgressTable {
    progress: Vec<ShardProgress>,
    open: usize,
    included: usize,
}

impl ShardProgressTable {
    /// Creates the table for a new plan. A page of a pull skips the shards before its start; they count as included.
    pub fn new(map: &ShardMap, page_start: Option<&PagePosition>) -> Self {
        let first = page_start.map(|position| position.shard);
        let progress = map.shards.iter().map(|placement| {
            if first.is_some_and(|first| placement.shard < first) {
                return ShardProgress::Included;
            }
            ShardProgress::Open { outstanding: 0, attempt_count: 0, tried: Vec::new(), last_failure: None }
        });
        let progress: Vec<ShardProgress> = progress.collect();
        let open = progress.iter().filter(|shard| matches!(shard, ShardProgress::Open { .. })).count();
        let included = progress.len() - open;
        ShardProgressTable { progress, open, included }
    }

    /// Returns the number of shards.
    pub fn len(&self) -> usize {
        self.progress.len()
    }

    /// Returns the number of shards that are included.
    pub fn included(&self) -> usize {
        self.included
    }

    /// Returns the number of shards that are included or still open.
    pub fn reachable(&self) -> usize {
        self.included + self.open
    }

    /// Returns whether no shard is open.
    pub fn none_open(&self) -> bool {
        self.open == 0
    }

    /// Iterates over the progress of all shards, in the order of the shard map.
    pub fn iter(&self) -> impl Iterator<Item = &ShardProgress> {
        self.progress.iter()
    }

    /// Returns the progress of one shard.
    pub fn get(&self, position: u32) -> Option<&ShardProgress> {
        self.progress.get(position as usize)
    }

    /// Returns the progress of one shard if it is still open.
    pub fn get_open_mut(&mut self, position: u32) -> Option<&mut ShardProgress> {
        self.progress.get_mut(position as usize).filter(|shard| matches!(shard, ShardProgress::Open { .. }))
    }

    /// Returns whether a shard is still open.
    pub fn is_open(&self, position: u32) -> bool {
        matches!(self.get(position), Some(ShardProgress::Open { .. }))
    }

    /// Returns the positions of all open shards.
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

    /// Gives up an open shard, unless an attempt for it has not ended.
    pub fn give_up_idle(&mut self, position: u32, cause: MissingCause) {
        let Some(progress) = self.get_open_mut(position) else {
            return;
        };
        if matches!(progress, ShardProgress::Open { outstanding: 0, .. }) {
            *progress = ShardProgress::Missing(cause);
            self.open -= 1;
        }
    }

    /// Counts one attempt for each of the shards as ended.
    pub fn end_attempt(&mut self, positions: &[u32]) {
        for position in positions {
            if let Some(ShardProgress::Open { outstanding, .. }) = self.get_open_mut(*position) {
                *outstanding = outstanding.saturating_sub(1);
            }
        }
    }

    /// Records a failure of the shards that are open. Returns those of them for which no attempt is in flight.
    pub fn record_failure(&mut self, positions: &[u32], cause: MissingCause) -> Vec<u32> {
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

    /// Removes a searcher, which the sub-request never reached, from those that must not be asked again for the shards.
    pub fn remove_tried(&mut self, positions: &[u32], searcher: SearcherId) {
        for position in positions {
            if let Some(ShardProgress::Open { tried, .. }) = self.get_open_mut(*position) {
                tried.retain(|known| *known != searcher);
            }
        }
    }

    /// Returns the number of attempts made for an open shard; `usize::MAX` for any other.
    pub fn attempt_count(&self, position: u32) -> usize {
        match self.get(position) {
            Some(ShardProgress::Open { attempt_count, .. }) => usize::from(*attempt_count),
            _ => usize::MAX,
        }
    }
}

/// Returns whether a reply comes from the searcher that was asked and, if it was executed, from the request's snapshot.
pub(crate) fn reply_matches(request: &Request, attempt: &Attempt, reply: &SubReply) -> bool {
    let right_searcher = attempt.searcher == reply.searcher;
    // A reply without a result carries no data of a snapshot, so its snapshot isn't compared.
    let right_snapshot = match &reply.outcome {
        SubOutcome::Found(_) | SubOutcome::Acted(_) => reply.snapshot == request.map.snapshot,
        SubOutcome::NotRun(_) | SubOutcome::Unknown(_) => true,
    };
    right_searcher && right_snapshot
}
