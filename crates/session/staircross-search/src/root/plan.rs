//! Planning: chooses which searcher is asked for which shards, and sends the sub-requests.

use super::{RootAction, RootEngine};
use crate::message::{SubRequest, Work};
use crate::request::{Attempt, ShardProgress};
use hashbrown::{HashMap, HashSet};
use staircross_types::{AttemptId, BootTime, MissingCause, RequestId, SearcherId};
use std::cmp::Reverse;

/// Why a sub-request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendReason {
    /// The first attempt of a plan for its shards.
    Primary,
    /// An additional attempt while an earlier one is late.
    Hedge,
    /// Another attempt after an earlier one failed.
    Retry,
    /// Another attempt after a `NotRun` reply for another reason than `Shed`. Nothing is executed twice, so it is no
    /// extra load.
    Reroute,
}

/// Shards that one searcher is to be asked for.
struct Batch {
    searcher: SearcherId,
    shards: Vec<u32>,
}

impl RootEngine {
    /// Sends the first attempts for all open shards of a new plan.
    pub(super) fn plan(&mut self, now: BootTime, sequence: u64, actions: &mut Vec<RootAction>) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let open = request.shards.open_positions();
        let batches = self.choose_batches(now, sequence, &open);
        self.give_up_unplaced(sequence, &open, &batches);
        if self.is_coverage_unreachable(sequence) {
            // The request is refused before anything is sent: no searcher does work whose result can't be used, and the
            // request was certainly not executed.
            self.finish_if_settled(now, sequence, actions);
            return;
        }
        let count = batches.len();
        if let Some(request) = self.requests.get_mut(&sequence) {
            // Only the first plan counts as needed. What a later plan sends is extra work.
            if !request.planned {
                request.planned = true;
                request.needed = count as u32;
            }
            if let Some(service) = self.services.get_mut(&request.service) {
                service.hedges.earn(count);
                service.retries.earn(count);
            }
        }
        for batch in batches {
            self.send(now, sequence, batch.searcher, batch.shards, SendReason::Primary, actions);
        }
        self.schedule(now, sequence);
        self.finish_if_settled(now, sequence, actions);
    }

    /// Returns whether too few shards are included or open to reach the least coverage.
    pub(super) fn is_coverage_unreachable(&self, sequence: u64) -> bool {
        self.requests.get(&sequence).is_some_and(|request| !request.reaches_coverage(request.shards.reachable()))
    }

    /// Gives up the shards of a plan for which no searcher can be asked.
    fn give_up_unplaced(&mut self, sequence: u64, planned: &[u32], batches: &[Batch]) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let placed_count: usize = batches.iter().map(|batch| batch.shards.len()).sum();
        if placed_count == planned.len() {
            return;
        }
        let placed: HashSet<u32> = batches.iter().flat_map(|batch| batch.shards.iter().copied()).collect();
        for position in planned.iter().filter(|position| !placed.contains(*position)) {
            let cause = match request.shards.get(*position) {
                Some(ShardProgress::Open { last_failure: Some(cause), .. }) => *cause,
                _ => MissingCause::Lost,
            };
            request.shards.give_up_idle(*position, cause);
        }
    }

    /// Sends further attempts for shards, as far as the budget allows. Returns the shards that weren't sent.
    pub(super) fn send_extra(
        &mut self,
        now: BootTime,
        sequence: u64,
        shards: &[u32],
        reason: SendReason,
        actions: &mut Vec<RootAction>,
    ) -> Vec<u32> {
        let mut unsent: Vec<u32> = shards.to_vec();
        for batch in self.choose_batches(now, sequence, shards) {
            if !self.spend_budget(now, sequence, reason) {
                break;
            }
            unsent.retain(|position| !batch.shards.contains(position));
            self.send(now, sequence, batch.searcher, batch.shards, reason, actions);
        }
        unsent
    }

    /// Returns whether a sub-request may be sent, and spends a token of the budget if the reason needs one.
    fn spend_budget(&mut self, now: BootTime, sequence: u64, reason: SendReason) -> bool {
        let Some(request) = self.requests.get(&sequence) else {
            return false;
        };
        let Some(service) = self.services.get_mut(&request.service) else {
            return false;
        };
        match reason {
            SendReason::Primary | SendReason::Reroute => true,
            // An action is sent again only if it was certainly not executed. That repeats no work and needs no budget.
            SendReason::Retry if matches!(request.work, Work::Act(_)) => true,
            SendReason::Hedge => service.hedges.try_spend(now),
            SendReason::Retry => service.retries.try_spend(now),
        }
    }

    /// Chooses for each shard a replica that hasn't been tried, and groups the shards by searcher. Shards without such
    /// a replica are left out.
    fn choose_batches(&mut self, now: BootTime, sequence: u64, shards: &[u32]) -> Vec<Batch> {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return Vec::new();
        };
        let typical = match self.services.get(&request.service) {
            Some(service) => service.latency.median(),
            None => self.settings.initial_latency,
        };
        let snapshot = request.map.snapshot;
        let mut batches: Vec<Batch> = Vec::new();
        let mut batch_indices: HashMap<SearcherId, usize> = HashMap::new();
        let mut eligible: Vec<SearcherId> = Vec::new();
        for position in shards {
            let placement = &request.map.shards[*position as usize];
            let Some(ShardProgress::Open { tried, outstanding, last_failure, .. }) =
                request.shards.get_open_mut(*position)
            else {
                continue;
            };
            eligible.clear();
            eligible.extend(placement.replicas.iter().copied().filter(|replica| {
                let serves = self.views.get(replica).is_some_and(|view| view.serves(snapshot));
                serves && !tried.contains(replica)
            }));
            let is_not_avoided = |replica: &SearcherId| !self.replica_health.is_avoided(now, *replica, placement.shard);
            // Avoided replicas are used only if there are no others, and then only those with the fewest slow replies.
            if !self.replica_health.is_empty() && eligible.iter().any(is_not_avoided) {
                eligible.retain(is_not_avoided);
            } else if !self.replica_health.is_empty() {
                let slow_replies = |replica: &SearcherId| self.replica_health.slow_replies(*replica, placement.shard);
                let fewest = eligible.iter().map(slow_replies).min().unwrap_or(0);
                eligible.retain(|replica| slow_replies(replica) == fewest);
            }
            let chosen = self.searcher_stats.choose(now, &eligible, &batch_indices, typical, &mut self.random);
            if let Some(searcher) = chosen {
                self.replica_health.record_asked(now, searcher, placement.shard);
            }
            let Some(searcher) = chosen else {
                if *outstanding == 0 && last_failure.is_none() {
                    *last_failure = Some(no_replica_cause(&placement.replicas, &self.views));
                }
                continue;
            };
            if self.replica_health.slow_replies(searcher, placement.shard) > 0 {
                batches.push(Batch { searcher, shards: vec![*position] });
                continue;
            }
            match batch_indices.get(&searcher) {
                Some(index) => batches[*index].shards.push(*position),
                None => {
                    batch_indices.insert(searcher, batches.len());
                    batches.push(Batch { searcher, shards: vec![*position] });
                }
            }
        }
        batches
    }

    /// Sends one sub-request and records it as an attempt.
    fn send(
        &mut self,
        now: BootTime,
        sequence: u64,
        searcher: SearcherId,
        shards: Vec<u32>,
        reason: SendReason,
        actions: &mut Vec<RootAction>,
    ) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        for position in &shards {
            if let Some(ShardProgress::Open { outstanding, attempt_count, tried, .. }) =
                request.shards.get_open_mut(*position)
            {
                *outstanding += 1;
                *attempt_count += 1;
                tried.push(searcher);
            }
        }
        let shard_ids = shards.iter().map(|position| request.map.shards[*position as usize].shard).collect();
        request.attempts.push(Attempt { searcher, shards, sent_at: now, open: true, hedged: false });
        let request_id = RequestId { node: self.node, sequence };
        let attempt = AttemptId { request: request_id, attempt: request.attempts.len() as u32 };
        self.searcher_stats.record_sent(searcher);
        match reason {
            SendReason::Primary => self.counters.primaries += 1,
            SendReason::Hedge => self.counters.hedges += 1,
            SendReason::Retry => self.counters.retries += 1,
            SendReason::Reroute => self.counters.reroutes += 1,
        }
        actions.push(RootAction::Send(SubRequest {
            attempt,
            searcher,
            snapshot: request.map.snapshot,
            shards: shard_ids,
            work: request.work.clone(),
            remaining: now.until(request.deadline),
        }));
    }

    /// Sets the request's next timer to the earliest of its next hedge, its early answer and its deadline.
    pub(super) fn schedule(&mut self, now: BootTime, sequence: u64) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let mut due = request.deadline;
        if let (Some(service), Work::Search(_)) = (self.services.get(&request.service), &request.work) {
            let delay = service.latency.hedge_delay();
            let unhedged = request.attempts.iter().filter(|attempt| attempt.open && !attempt.hedged);
            if let Some(first) = unhedged.map(|attempt| attempt.sent_at + delay).min() {
                due = due.min(first.max(now));
            }
            if let Some(early_answer) = super::deadline::early_answer_time(request, service).filter(|end| *end > now) {
                due = due.min(early_answer);
            }
        }
        self.timers.push(Reverse((due, sequence)));
    }
}

/// Returns why none of a shard's replicas can be asked.
fn no_replica_cause(replicas: &[SearcherId], views: &HashMap<SearcherId, crate::view::SearcherView>) -> MissingCause {
    let known: Vec<_> = replicas.iter().filter_map(|replica| views.get(replica)).collect();
    if known.iter().any(|view| view.leaving) {
        return MissingCause::Draining;
    }
    let holds_snapshots =
        |view: &&crate::view::SearcherView| view.report.as_ref().is_some_and(|report| !report.snapshots.is_empty());
    if known.iter().any(holds_snapshots) {
        return MissingCause::SnapshotGone;
    }
    MissingCause::Lost
}
