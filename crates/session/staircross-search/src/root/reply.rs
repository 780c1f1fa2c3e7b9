//! Handling of replies to sub-requests.

use super::plan::SendReason;
use super::{RootAction, RootEngine};
use crate::message::{NotRunReason, Outcome, SubOutcome, SubReply, Work};
use crate::request::{Attempt, Request, reply_matches};
use staircross_types::{AttemptId, BootTime, MissingCause, RequestId, SearcherId, ShardHits};
use std::time::Duration;

impl RootEngine {
    /// Checks a reply against its attempt and applies it to the request.
    pub(super) fn on_reply(&mut self, now: BootTime, reply: SubReply, actions: &mut Vec<RootAction>) {
        if reply.attempt.request.node != self.node {
            self.counters.foreign_replies += 1;
            return;
        }
        let sequence = reply.attempt.request.sequence;
        let Some(request) = self.requests.get_mut(&sequence) else {
            self.on_late_reply(now, reply);
            return;
        };
        let index = (reply.attempt.attempt as usize).wrapping_sub(1);
        let abandoned = reply.attempt.attempt < request.first_attempt_of_plan;
        let Some(entry) = request.attempts.get_mut(index).filter(|attempt| attempt.open) else {
            self.counters.late_replies += 1;
            return;
        };
        let attempt = entry.close();
        let matches = reply_matches(request, &attempt, &reply);
        if abandoned {
            self.searcher_stats.record_ended(attempt.searcher);
            return;
        }
        request.shards.end_attempt(&attempt.shards);
        if matches {
            self.apply(now, sequence, &attempt, reply, actions);
        } else {
            self.counters.foreign_replies += 1;
            self.apply_unknown(now, sequence, &attempt, MissingCause::Unreachable, actions);
        }
        self.finish_if_settled(now, sequence, actions);
    }

    /// Applies a reply that matches its attempt.
    fn apply(
        &mut self,
        now: BootTime,
        sequence: u64,
        attempt: &Attempt,
        reply: SubReply,
        actions: &mut Vec<RootAction>,
    ) {
        match reply.outcome {
            SubOutcome::Found(found) => self.apply_found(now, sequence, attempt, found, reply.worked, actions),
            SubOutcome::Acted(receipt) => {
                self.searcher_stats.record_success(now, attempt.searcher, now.since(attempt.sent_at));
                self.finish(now, sequence, Outcome::Acted(receipt), actions);
            }
            SubOutcome::NotRun(reason) => self.apply_not_run(now, sequence, attempt, reason, actions),
            SubOutcome::Unknown(reason) => {
                self.apply_unknown(now, sequence, attempt, reason.missing_cause(), actions);
            }
        }
    }

    /// Records the latency of a reply with hits, merges the hits, cancels overtaken attempts, and retries the shards
    /// that the reply left out.
    fn apply_found(
        &mut self,
        now: BootTime,
        sequence: u64,
        attempt: &Attempt,
        found: Vec<ShardHits>,
        worked: Duration,
        actions: &mut Vec<RootAction>,
    ) {
        let latency = now.since(attempt.sent_at);
        self.searcher_stats.record_success(now, attempt.searcher, latency);
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.may_have_run = true;
        if let Some(service) = self.services.get(&request.service) {
            let tail = service.work_latency.hedge_delay();
            let shards = attempt.shards.iter().map(|position| request.map.shards[*position as usize].shard);
            // The wait for a slot is left out, because it says nothing about the speed of the replica.
            self.replica_health.record_reply(now, attempt.searcher, shards, worked, tail);
        }
        let merged = request.merge(&attempt.shards, found);
        let overtaken = if merged.has_other_attempts { request.close_overtaken_attempts() } else { Vec::new() };
        if let Some(service) = self.services.get_mut(&request.service) {
            service.latency.record(latency);
            service.work_latency.record(worked);
        }
        for OvertakenAttempt { number, searcher, sent_at } in overtaken {
            self.searcher_stats.record_ended(searcher);
            self.searcher_stats.record_lag(now, searcher, now.since(sent_at));
            self.record_overtaken(now, sequence, number);
            let attempt = AttemptId { request: RequestId { node: self.node, sequence }, attempt: number };
            actions.push(RootAction::Cancel { attempt, searcher });
        }
        if !merged.unanswered.is_empty() {
            let cause = MissingCause::Unreachable;
            self.retry(now, sequence, &merged.unanswered, cause, SendReason::Retry, actions);
        }
    }

    /// Counts a slow reply for each replica of an overtaken attempt, if the attempt was already late when other
    /// attempts answered its shards.
    fn record_overtaken(&mut self, now: BootTime, sequence: u64, number: u32) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let Some(service) = self.services.get(&request.service) else {
            return;
        };
        let Some(attempt) = request.attempts.get(number as usize - 1) else {
            return;
        };
        if now.since(attempt.sent_at) > service.latency.hedge_delay() {
            let shards = attempt.shards.iter().map(|position| request.map.shards[*position as usize].shard);
            self.replica_health.record_overtaken(now, attempt.searcher, shards);
        }
    }

    /// Handles an attempt that was certainly not executed, and asks other replicas for its shards.
    fn apply_not_run(
        &mut self,
        now: BootTime,
        sequence: u64,
        attempt: &Attempt,
        reason: NotRunReason,
        actions: &mut Vec<RootAction>,
    ) {
        if reason == NotRunReason::Unconnected {
            self.record_searcher_failure(now, sequence, attempt.searcher);
        } else {
            self.searcher_stats.record_ended(attempt.searcher);
        }
        // A sub-request that was certainly not executed can be sent elsewhere without extra load. After a shed it
        // counts as a retry, because overloaded searchers must not get unlimited additional work.
        let mut send_reason = SendReason::Reroute;
        match reason {
            NotRunReason::Shed => {
                send_reason = SendReason::Retry;
                self.on_shed(now, sequence);
            }
            NotRunReason::NotOwner | NotRunReason::LeafLeaving => self.remove_tried(sequence, attempt),
            NotRunReason::Draining | NotRunReason::SnapshotGone | NotRunReason::Unconnected => {}
        }
        self.retry(now, sequence, &attempt.shards, reason.missing_cause(), send_reason, actions);
    }

    /// Allows the same searcher to be asked for the shards of an attempt again, because the attempt didn't reach it.
    fn remove_tried(&mut self, sequence: u64, attempt: &Attempt) {
        if let Some(request) = self.requests.get_mut(&sequence) {
            request.shards.remove_tried(&attempt.shards, attempt.searcher);
        }
    }

    /// Handles a shed reply, which means that searchers of the service are overloaded: pauses the budgets and lowers
    /// the service's limit.
    fn on_shed(&mut self, now: BootTime, sequence: u64) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.was_shed = true;
        if let Some(service) = self.services.get_mut(&request.service) {
            service.hedges.pause_after_shed(now);
            service.retries.pause_after_shed(now);
            service.limiter.back_off(now);
        }
    }

    /// Records a failure of a searcher, which may eject it.
    fn record_searcher_failure(&mut self, now: BootTime, sequence: u64, searcher: SearcherId) {
        let service = self.requests.get(&sequence).and_then(|request| self.services.get(&request.service));
        let service_searchers = service.map_or(&[][..], |service| &service.searchers);
        self.searcher_stats.record_failure(now, searcher, service_searchers);
    }

    /// Handles an attempt that may or may not have been executed. A search is retried; an action is given up.
    fn apply_unknown(
        &mut self,
        now: BootTime,
        sequence: u64,
        attempt: &Attempt,
        cause: MissingCause,
        actions: &mut Vec<RootAction>,
    ) {
        self.record_searcher_failure(now, sequence, attempt.searcher);
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.may_have_run = true;
        if matches!(request.work, Work::Act(_)) {
            // An action runs at most once: after a searcher that may have executed the action, no other is asked.
            request.give_up(&attempt.shards, cause);
            return;
        }
        self.retry(now, sequence, &attempt.shards, cause, SendReason::Retry, actions);
    }

    /// Asks other replicas for the shards of a failed attempt, and gives up the shards for which that isn't possible.
    fn retry(
        &mut self,
        now: BootTime,
        sequence: u64,
        shards: &[u32],
        cause: MissingCause,
        reason: SendReason,
        actions: &mut Vec<RootAction>,
    ) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let max_attempts = self.settings.max_attempts_per_shard;
        let idle = request.shards.record_failure(shards, cause);
        let (again, exhausted): (Vec<u32>, Vec<u32>) =
            idle.into_iter().partition(|position| request.shards.attempt_count(*position) < max_attempts);
        request.give_up(&exhausted, cause);
        let unsent = self.send_extra(now, sequence, &again, reason, actions);
        if let Some(request) = self.requests.get_mut(&sequence) {
            request.give_up(&unsent, cause);
        }
        self.schedule(now, sequence);
    }

    /// Drops the reply to a finished request, except that the late receipt of an action is recorded with its ticket.
    fn on_late_reply(&mut self, now: BootTime, reply: SubReply) {
        self.counters.late_replies += 1;
        let SubOutcome::Acted(receipt) = reply.outcome else {
            return;
        };
        let Some(action) = self.finished_actions.remove(&reply.attempt) else {
            return;
        };
        self.sessions.end_ticket(now, action.session, action.ticket, &Outcome::Acted(receipt));
    }
}

impl Request {
    /// Gives up those of the shards for which no attempt is in flight.
    fn give_up(&mut self, shards: &[u32], cause: MissingCause) {
        for position in shards {
            self.shards.give_up_idle(*position, cause);
        }
    }

    /// Marks the attempts that have no open shard left as ended, and returns them.
    fn close_overtaken_attempts(&mut self) -> Vec<OvertakenAttempt> {
        let mut overtaken = Vec::new();
        for (index, attempt) in self.attempts.iter_mut().enumerate() {
            if attempt.open && !attempt.shards.iter().any(|position| self.shards.is_open(*position)) {
                attempt.open = false;
                overtaken.push(OvertakenAttempt {
                    number: index as u32 + 1,
                    searcher: attempt.searcher,
                    sent_at: attempt.sent_at,
                });
            }
        }
        overtaken
    }
}

/// An attempt all of whose shards were answered by other attempts.
struct OvertakenAttempt {
    number: u32,
    searcher: SearcherId,
    sent_at: BootTime,
}
