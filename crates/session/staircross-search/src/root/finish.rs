//! The end of a request: when it ends and with which outcome.

use super::submit::{FinishedAction, refused};
use super::{RootAction, RootEngine};
use crate::message::{Answer, Outcome, Work};
use crate::request::{Request, ShardProgress};
use crate::snapshot_choice::{SnapshotNeeds, choose_for_request};
use staircross_types::query::PagePosition;
use staircross_types::{AttemptId, BootTime, ErrorKind, MissingCause, RequestId};
use std::time::Duration;

/// Time after the end of an action during which a late receipt is still recorded as its ticket's outcome.
const LATE_RECEIPT_WINDOW: Duration = Duration::from_secs(60);
/// Shortest time until the deadline that allows a new plan. With this time or less left, a request isn't planned again.
const MIN_TIME_TO_REPLAN: Duration = Duration::from_millis(5);

impl RootEngine {
    /// Ends the request if no shard is open, too few shards can still be included, or a latency-first request has
    /// waited long enough. If the request's snapshot is gone, plans the request again instead if that is possible.
    pub(super) fn finish_if_settled(&mut self, now: BootTime, sequence: u64, actions: &mut Vec<RootAction>) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        if self.is_early_answer_due(now, request) {
            self.conclude(now, sequence, actions);
            return;
        }
        if !request.shards.none_open() && !self.is_coverage_unreachable(sequence) {
            return;
        }
        if self.replan(now, sequence, actions) {
            return;
        }
        self.conclude(now, sequence, actions);
    }

    /// Plans a search again on another snapshot, if a shard is missing because the snapshot is gone. All merged hits
    /// are dropped. Returns whether a new plan was made.
    fn replan(&mut self, now: BootTime, sequence: u64, actions: &mut Vec<RootAction>) -> bool {
        let Some(request) = self.requests.get(&sequence) else {
            return false;
        };
        let snapshot_gone =
            request.shards.iter().any(|shard| matches!(shard, ShardProgress::Missing(MissingCause::SnapshotGone)));
        let is_search = matches!(request.work, Work::Search(_));
        let is_page = request.page_start().is_some();
        let plans = request.excluded.len() + 1;
        let in_time = now.until(request.deadline) > MIN_TIME_TO_REPLAN;
        if !snapshot_gone || !is_search || is_page || !in_time || plans >= self.settings.max_plans_per_request {
            return false;
        }
        let name = request.service.clone();
        let floor = request.floor;
        let least_coverage_per_mille = request.least_coverage_per_mille;
        let mut excluded = request.excluded.clone();
        excluded.push(request.map.snapshot);
        self.refresh_service(&name);
        let Some(service) = self.services.get(&name) else {
            return false;
        };
        let needs = SnapshotNeeds { floor, least_coverage_per_mille, excluded: &excluded };
        let Some(candidate) = choose_for_request(&service.candidates, service.current, needs) else {
            return false;
        };
        let map = candidate.map.clone();
        self.cancel_open_attempts(sequence, actions);
        if let Some(request) = self.requests.get_mut(&sequence) {
            let next_attempt = request.attempts.len() as u32 + 1;
            request.restart_on(map, next_attempt);
        }
        self.plan(now, sequence, actions);
        true
    }

    /// Ends the request with what has been merged so far: answers if that is enough, otherwise refuses.
    pub(super) fn conclude(&mut self, now: BootTime, sequence: u64, actions: &mut Vec<RootAction>) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let outcome = match request.work {
            Work::Search(_) => request.conclude_search(now),
            Work::Act(_) => request.conclude_action(),
        };
        self.finish(now, sequence, outcome, actions);
    }

    /// Ends the request with an outcome: cancels its open attempts, and updates limiter, ticket and session.
    pub(super) fn finish(&mut self, now: BootTime, sequence: u64, outcome: Outcome, actions: &mut Vec<RootAction>) {
        let id = RequestId { node: self.node, sequence };
        self.store_finished_action(now, sequence);
        self.cancel_open_attempts(sequence, actions);
        let Some(request) = self.requests.remove(&sequence) else {
            return;
        };
        let is_refusal = matches!(&outcome, Outcome::Refusal(_));
        if let Some(service) = self.services.get_mut(&request.service) {
            service.limiter.finish(now, request.was_shed || is_refusal);
        }
        self.record_ticket_outcome(now, &request, &outcome);
        if let (Outcome::Answer(answer), Some(session)) = (&outcome, self.sessions.touch(now, request.session)) {
            session.raise_floor(&request.service, answer.snapshot);
        }
        actions.push(RootAction::Finish { request: id, outcome });
    }

    /// Marks the open attempts as ended, and cancels those of a search.
    fn cancel_open_attempts(&mut self, sequence: u64, actions: &mut Vec<RootAction>) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let is_search = matches!(request.work, Work::Search(_));
        for (index, attempt) in request.attempts.iter_mut().enumerate() {
            if !attempt.open {
                continue;
            }
            attempt.open = false;
            // The attempt's reply won't be awaited, so the attempt must count as one that may have been executed.
            request.may_have_run = true;
            self.searcher_stats.record_ended(attempt.searcher);
            // An action isn't cancelled: it might stop half-way, and a late receipt is still of use for its ticket.
            if is_search {
                let request = RequestId { node: self.node, sequence };
                let id = AttemptId { request, attempt: index as u32 + 1 };
                actions.push(RootAction::Cancel { attempt: id, searcher: attempt.searcher });
            }
        }
    }

    /// Stores the attempts of a request with a ticket, so that a late receipt can still be recorded.
    fn store_finished_action(&mut self, now: BootTime, sequence: u64) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let Some(ticket) = request.ticket else {
            return;
        };
        for number in 1..=request.attempts.len() as u32 {
            let id = AttemptId { request: RequestId { node: self.node, sequence }, attempt: number };
            let expires_at = now + LATE_RECEIPT_WINDOW;
            self.finished_actions.insert(id, FinishedAction { session: request.session, ticket, expires_at });
        }
    }
}

impl Request {
    /// Answers with the merged hits if the coverage is enough, otherwise refuses.
    fn conclude_search(&mut self, now: BootTime) -> Outcome {
        let coverage = self.coverage(MissingCause::Late);
        if !self.reaches_coverage(coverage.included.len()) {
            return self.refuse_search(now, &coverage);
        }
        if self.page_start().is_some() && !coverage.missing.is_empty() {
            return refused(ErrorKind::CoverageTooLow, "a page of a pull needs every shard; ask for it again");
        }
        self.sort_and_truncate_hits();
        let next = self.next_page();
        Outcome::Answer(Box::new(Answer {
            snapshot: self.map.snapshot,
            coverage,
            matched: self.matched,
            next,
            hits: std::mem::take(&mut self.hits),
            sent: self.attempts.len() as u32,
            needed: self.needed,
            elapsed: now.since(self.admitted_at),
        }))
    }

    /// Returns where the next page of a pull starts; `None` if this page isn't full.
    fn next_page(&self) -> Option<PagePosition> {
        self.page_start()?;
        let Work::Search(query) = &self.work else {
            return None;
        };
        let is_full = self.hits.len() >= query.limit as usize;
        let last = self.hits.last().filter(|_| is_full)?;
        Some(PagePosition { shard: last.shard, document: last.document.clone() })
    }

    /// Refuses a search whose coverage is too low. The kind of the refusal says whether any part of it may have been
    /// executed.
    fn refuse_search(&self, now: BootTime, coverage: &staircross_types::Coverage) -> Outcome {
        let detail = format!(
            "{} of {} shards answered, {} per thousand are needed; missing: {}",
            coverage.included.len(),
            coverage.total(),
            self.least_coverage_per_mille,
            summarize_causes(coverage)
        );
        let any_open = self.attempts.iter().any(|attempt| attempt.open);
        let kind = match (self.may_have_run || any_open, now >= self.deadline) {
            (false, _) if self.attempts.is_empty() => ErrorKind::NoSnapshot,
            (false, _) => ErrorKind::NotDelivered,
            (true, true) => ErrorKind::TimedOut,
            (true, false) => ErrorKind::CoverageTooLow,
        };
        refused(kind, detail)
    }

    /// Refuses an action that has no receipt.
    fn conclude_action(&self) -> Outcome {
        let any_open = self.attempts.iter().any(|attempt| attempt.open);
        if self.may_have_run || any_open {
            return refused(ErrorKind::OutcomeUnknown, "the action was sent and no receipt came back");
        }
        refused(ErrorKind::NotDelivered, "no back end took the action")
    }
}

/// Describes how many shards are missing for each cause, such as `2 late, 1 shed`.
fn summarize_causes(coverage: &staircross_types::Coverage) -> String {
    let mut counts = std::collections::BTreeMap::new();
    for missing in &coverage.missing {
        *counts.entry(missing.cause).or_insert(0) += 1;
    }
    let parts: Vec<String> = counts.iter().map(|(cause, count)| format!("{count} {cause}")).collect();
    parts.join(", ")
}
