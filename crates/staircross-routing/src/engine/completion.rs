//! Ends requests and sends their due hedges: collects the inputs of [`crate::decision::request_lifecycle`] and
//! [`crate::decision::hedging`], and carries out their decisions.
//!
//! The module also defines how long attempts may go on after their caller has disconnected.

use super::{AbandonCause, LeftOutCause, RoutingAction, RoutingEngine, SendReason};
use crate::decision::hedging::{self, HedgeDecision, LateAttempt};
use crate::decision::request_lifecycle::{self, EndDecision, FailedRequest, Progress, Refusal};
use crate::keys::{RequestKey, SearcherKey};
use crate::merge::greatest_records;
use crate::state::request::{MergedAnswer, Request, RequestOutcome, ShardState};
use staircross_types::{BootTime, ErrorKind};
use std::time::Duration;

/// Time after which an attempt's connection is closed when its caller has disconnected. Most answers in transit still
/// arrive by then, so that their connections can be kept.
const CALLER_GONE_ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after which the connection is closed when the caller has disconnected and the route isn't idempotent. It is
/// longer than any such work takes.
const NON_IDEMPOTENT_ANSWER_TIMEOUT: Duration = Duration::from_secs(600);

impl RoutingEngine {
    /// Handles a wake of a request: a hedge, a retry or a probe may be due, or the goal or the deadline has been
    /// reached.
    pub(super) fn on_wake(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        if !self.requests.contains_key(&key) {
            return self.end_expired_hold(now, key, actions);
        }
        self.send_due_hedges(now, key, actions);
        self.retry_due_shards(now, key, actions);
        self.widen_probe(now, key, actions);
        if let Some(request) = self.requests.get_mut(&key) {
            request.is_past_goal |= now >= request.answer_by;
        }
        self.finish_if_done(now, key, actions);
        self.schedule_wake(key);
    }

    /// Sends a hedge for each late attempt that may have one.
    fn send_due_hedges(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let policy = &self.settings.policy;
        let hedges_paused_until = hedging::hedges_paused_until(self.settings.restarted_at, policy);
        let (route, is_key_revoked) = (request.route(), request.is_key_revoked);
        let (is_idempotent, max_attempts) = (route.is_idempotent, route.max_attempts);
        let mut late_shards = Vec::new();
        for attempt in request.attempts.iter_mut().filter(|attempt| attempt.is_open && attempt.hedge_at <= now) {
            let shard = &request.shards[attempt.shard as usize];
            let (is_alone, may_be_sent) = (shard.open_attempts == 1, shard.may_be_sent(max_attempts));
            let state = LateAttempt { is_idempotent, is_key_revoked, is_alone, may_be_sent };
            attempt.hedge_at = match hedging::decide_hedge(now, state, hedges_paused_until, policy) {
                HedgeDecision::Hedge { again_at } => {
                    late_shards.push(attempt.shard as usize);
                    again_at
                }
                HedgeDecision::NotBefore(time) => time,
                HedgeDecision::Never => BootTime::FAR_FUTURE,
            };
        }
        for shard_index in late_shards {
            // `hedge_at` was set above to the time at which a hedge that isn't sent is tried again.
            let _unsent = self.dispatch(now, key, shard_index, SendReason::Hedge, actions);
        }
    }

    /// Ends a request if all shards are done, if too few can still answer, or if its deadline has passed; also if
    /// enough have answered and either the latency goal has passed or no further answer can arrive before it.
    pub(super) fn finish_if_done(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let progress = progress(now, request);
        let decision = request_lifecycle::decide_end(progress);
        if decision == EndDecision::Continue {
            return;
        }
        self.log_left_out(key, actions);
        self.abandon_attempts(key, Self::superseded_answer_timeout(), AbandonCause::Superseded, actions);
        let Some(mut request) = self.requests.remove(&key) else {
            return;
        };
        let is_answered = decision == EndDecision::Answer;
        if is_answered && request.gather().is_some() && progress.parts < request.shards.len() {
            self.counters.partial_answers += 1;
        }
        let outcome =
            if is_answered { success_outcome(&mut request) } else { failure_outcome(now, &request, self.stops_at) };
        actions.push(RoutingAction::Finish { request: key, outcome });
    }

    /// Logs each shard that hasn't answered when its request ends.
    fn log_left_out(&self, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        for shard in &request.shards {
            let cause = match (&shard.state, shard.open_attempts > 0, shard.sent_to.is_empty()) {
                (ShardState::Answered(_), _, _) => continue,
                (ShardState::Open, true, _) => LeftOutCause::Late,
                (ShardState::Open, false, _) => LeftOutCause::NoRoom,
                (ShardState::Failed(_), _, false) => LeftOutCause::Failed,
                (ShardState::Failed(_), _, true) => LeftOutCause::NoSearcher,
            };
            let instance = |searcher: &SearcherKey| self.searchers[searcher.0 as usize].entry.instance.clone();
            let asked = shard.sent_to.iter().map(instance).collect();
            let service = shard.service.clone();
            actions.push(RoutingAction::LeftOut { request: key, service, asked, cause });
        }
    }

    /// Ends a request whose caller has disconnected, and abandons its attempts.
    pub(super) fn on_caller_gone(&mut self, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get(&key) else {
            return self.remove_held(key);
        };
        // Work of a route that isn't idempotent may finish: the caller may ask later what became of it.
        let is_idempotent = request.route().is_idempotent;
        let answer_timeout = if is_idempotent { CALLER_GONE_ANSWER_TIMEOUT } else { NON_IDEMPOTENT_ANSWER_TIMEOUT };
        self.abandon_attempts(key, answer_timeout, AbandonCause::CallerGone, actions);
        self.requests.remove(&key);
    }
}

fn progress(now: BootTime, request: &Request) -> Progress {
    Progress {
        parts: request.answered_shards(),
        open: request.open_shards(),
        min_shards: request.min_shards(),
        may_grow_in_time: request.may_gain_parts(),
        is_past_goal: now >= request.answer_by,
        is_past_deadline: now >= request.deadline,
        awaits_outcome: request.awaits_outcome_after_revocation(),
    }
}

fn success_outcome(request: &mut Request) -> RequestOutcome {
    let Some(gather) = request.gather() else {
        return match request.shards.pop().map(|shard| shard.state) {
            Some(ShardState::Answered(answer)) => RequestOutcome::Passed(answer),
            _ => Refusal::new(ErrorKind::Internal, "a request without a part was taken as answered").into(),
        };
    };
    let parts = request.shards.iter().filter_map(|shard| match &shard.state {
        ShardState::Answered(answer) => Some(answer),
        _ => None,
    });
    let body = greatest_records(parts.clone().map(|answer| answer.body.as_slice()), gather.top_k);
    let stamps: Vec<Vec<u8>> = parts.filter_map(|answer| answer.stamp.clone()).collect();
    let missing = request.shards.len() - stamps.len();
    RequestOutcome::Merged(MergedAnswer { stamps, missing, body })
}

fn failure_outcome(now: BootTime, request: &Request, stops_at: Option<BootTime>) -> RequestOutcome {
    if let Some(ShardState::Failed(Some(answer))) = request.shards.first().map(|shard| &shard.state)
        && request_lifecycle::is_passed_on(answer, request.gather().is_some())
    {
        return RequestOutcome::Passed(answer.clone());
    }
    let may_have_run = request.may_have_run || !request.attempts.iter().all(|attempt| attempt.is_resolved);
    let failed = FailedRequest {
        may_have_run,
        is_past_deadline: now >= request.deadline,
        is_key_revoked: request.is_key_revoked,
        ends_with_node: stops_at == Some(request.deadline),
    };
    request_lifecycle::refuse(failed).into()
}
