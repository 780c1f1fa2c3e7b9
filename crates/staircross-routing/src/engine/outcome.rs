//! Handles the end of an attempt: updates its searcher and its request, and carries out what
//! [`crate::decision::retry`] decides.
//!
//! The module also defines how long the answer of a superseded attempt is still read.

use super::{AbandonCause, RoutingAction, RoutingEngine, SendReason, SentAttempt, UnsentCause};
use crate::decision::retry::{self, NextStep, RequestKind};
use crate::keys::{AttemptKey, RequestKey, SearcherKey};
use crate::merge;
use crate::state::request::{AttemptOutcome, NotRun, Request, SearcherAnswer, ShardState};
use staircross_types::BootTime;
use std::time::Duration;

/// Time after which the connection of a superseded attempt is closed if its answer hasn't been read completely. A
/// connection whose answer arrives by then can be kept.
const SUPERSEDED_ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

impl RoutingEngine {
    /// Handles the end of an attempt, whose request may have ended before.
    pub(super) fn on_ended(
        &mut self,
        now: BootTime,
        attempt: AttemptKey,
        outcome: AttemptOutcome,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(sent) = self.sent_attempts.remove(&attempt) else {
            return;
        };
        let outcome = self.outcome_of_recalled(attempt.request, outcome);
        self.searchers[sent.searcher.0 as usize].note_released(attempt);
        self.record_wait(now, &sent, &outcome, actions);
        self.update_searcher(now, &sent, &outcome);
        self.update_departure(now, &sent, &outcome, actions);
        let shard_index = self.close_attempt(attempt);
        // This must come before `update_suspicion`, which may end the request at once.
        if matches!(outcome, AttemptOutcome::Unknown(_)) {
            self.mark_may_have_run(attempt.request);
        }
        self.update_suspicion(now, attempt, &sent, &outcome, actions);
        if let Some(shard_index) = shard_index {
            self.allow_searcher_reuse(attempt.request, shard_index, sent.searcher, &outcome);
            self.apply_outcome(now, attempt.request, shard_index, outcome, actions);
            self.finish_if_done(now, attempt.request, actions);
            self.schedule_wake(attempt.request);
        }
        let service = self.searchers[sent.searcher.0 as usize].entry.service.clone();
        self.send_waiting_shards(now, &service, actions);
    }

    /// Closes an attempt within its request and returns its shard; `None` when the attempt was abandoned.
    fn close_attempt(&mut self, key: AttemptKey) -> Option<usize> {
        let request = self.requests.get_mut(&key.request)?;
        let attempt = request.attempts.get_mut(usize::from(key.number))?;
        if !attempt.is_open {
            return None;
        }
        attempt.is_open = false;
        attempt.is_resolved = true;
        let shard_index = attempt.shard as usize;
        request.shards[shard_index].open_attempts -= 1;
        Some(shard_index)
    }

    /// Updates what is known of a searcher's load, speed and failures by the outcome of an attempt.
    fn update_searcher(&mut self, now: BootTime, sent: &SentAttempt, outcome: &AttemptOutcome) {
        let round_trip = self.placement.round_trip(&self.searchers[sent.searcher.0 as usize].entry.zone);
        let worked = now.since(sent.sent_at).saturating_sub(round_trip);
        let searcher = &mut self.searchers[sent.searcher.0 as usize];
        if let AttemptOutcome::Answered(answer) = outcome {
            searcher.note_report(now, answer.report);
        }
        match outcome {
            AttemptOutcome::Answered(answer) if answer.status < 500 => {
                let Some(statistics) = self.routes.get_mut(&sent.route) else {
                    return;
                };
                let usual = statistics.work.median().max(Duration::from_micros(100));
                searcher.note_answer(now, sent.sent_at, worked.as_secs_f64() / usual.as_secs_f64());
                statistics.work.record(worked);
            }
            AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) => searcher.note_failed_answer(now),
            // An idle connection that was closed says nothing about the searcher's speed or health.
            AttemptOutcome::Cancelled | AttemptOutcome::NotRun(NotRun::Stale) => {}
            AttemptOutcome::NotRun(NotRun::Unconnected) => searcher.note_unreachable(now),
            AttemptOutcome::NotRun(NotRun::ConnectionRejected) => searcher.note_connection_rejected(now),
            AttemptOutcome::NotRun(NotRun::Shed) => searcher.note_rejection(now),
            AttemptOutcome::NotRun(NotRun::OtherInstance) => self.mark_searcher_gone(sent.searcher),
        }
    }

    /// Applies the outcome of an attempt to its shard, as [`retry::next_step`] decides, and moves a first probe on.
    fn apply_outcome(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        outcome: AttemptOutcome,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let kind = request_kind(request);
        let step = retry::next_step(&outcome, kind);
        request.may_have_run |= retry::may_have_run(&outcome);
        let answer = match outcome {
            AttemptOutcome::Answered(answer) => Some(answer),
            AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) | AttemptOutcome::Cancelled => None,
        };
        let has_run_to_end = answer.as_ref().is_some_and(|answer| retry::ran_to_completion(answer));
        request.is_answered |= has_run_to_end;
        match (step, answer) {
            (NextStep::AcceptAnswer, Some(answer)) => self.accept_answer(key, shard_index, answer, actions),
            (NextStep::SendAgain(reason), failure) => {
                self.resend_or_give_up(now, key, shard_index, reason, failure, actions)
            }
            (NextStep::NotRepeatable, failure) => {
                self.log_unsent(key, shard_index, SendReason::Retry, UnsentCause::NotRepeatable, actions);
                self.give_up_shard(key, shard_index, failure);
            }
            (NextStep::GiveUp | NextStep::AcceptAnswer, failure) => self.give_up_shard(key, shard_index, failure),
        }
        match has_run_to_end {
            true => self.end_probe(now, key, actions),
            false => self.widen_probe(now, key, actions),
        }
    }

    /// Stores a shard's answer, of a part only what the merged answer needs, and abandons the shard's other attempts.
    fn accept_answer(
        &mut self,
        key: RequestKey,
        shard_index: usize,
        mut answer: Box<SearcherAnswer>,
        actions: &mut Vec<RoutingAction>,
    ) {
        if let Some(request) = self.requests.get_mut(&key) {
            if let Some(gather) = request.gather() {
                merge::reduce_part(&mut answer, gather.top_k);
            }
            request.shards[shard_index].state = ShardState::Answered(answer);
        }
        self.abandon_shard_attempts(key, shard_index, actions);
    }

    fn mark_may_have_run(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.may_have_run = true;
        }
    }

    /// After an attempt that didn't run, allows the request to ask the same searcher again where the rules permit it.
    fn allow_searcher_reuse(
        &mut self,
        key: RequestKey,
        shard_index: usize,
        searcher: SearcherKey,
        outcome: &AttemptOutcome,
    ) {
        let AttemptOutcome::NotRun(reason) = outcome else {
            return;
        };
        let reuse = retry::reuse_after_not_run(*reason, &self.settings.policy);
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let shard = &mut request.shards[shard_index];
        if !reuse.is_counted {
            shard.remove_sent(searcher);
        }
        if reuse.may_be_asked_again {
            shard.excluded.retain(|excluded| *excluded != searcher);
        }
    }

    fn log_unsent(
        &self,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
        cause: UnsentCause,
        actions: &mut Vec<RoutingAction>,
    ) {
        if let Some(request) = self.requests.get(&key) {
            let service = request.shards[shard_index].service.clone();
            actions.push(RoutingAction::Unsent { request: key, service, reason, cause });
        }
    }

    /// Sends a shard again unless another attempt for it is open. Gives the shard up when it can be neither sent nor
    /// queued.
    fn resend_or_give_up(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
        failure: Option<Box<SearcherAnswer>>,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let max_attempts = request.route().max_attempts;
        let shard = &request.shards[shard_index];
        if shard.open_attempts > 0 {
            return;
        }
        let may_wait = retry::may_wait(failure.is_some(), request_kind(request));
        let outcome = match shard.may_be_sent(max_attempts) {
            true => self.dispatch(now, key, shard_index, reason, actions),
            false => {
                self.log_unsent(key, shard_index, reason, UnsentCause::MaxAttempts, actions);
                Err(UnsentCause::MaxAttempts)
            }
        };
        if may_wait && outcome == Err(UnsentCause::OverBudget) {
            self.wait_for_budget(now, key, shard_index, reason);
        }
        if outcome.is_err() && !self.is_waiting(key, shard_index) {
            self.give_up_shard(key, shard_index, failure);
        }
    }

    /// Marks a shard as failed, unless it has an open attempt or an answer.
    pub(super) fn give_up_shard(&mut self, key: RequestKey, shard_index: usize, failure: Option<Box<SearcherAnswer>>) {
        if let Some(request) = self.requests.get_mut(&key) {
            let shard = &mut request.shards[shard_index];
            if shard.open_attempts == 0 && matches!(shard.state, ShardState::Open | ShardState::Failed(None)) {
                shard.state = ShardState::Failed(failure);
            }
        }
    }

    /// Abandons the open attempts of a shard that has been answered.
    fn abandon_shard_attempts(&mut self, key: RequestKey, shard_index: usize, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        for (number, attempt) in request.attempts.iter_mut().enumerate() {
            if attempt.is_open && attempt.shard as usize == shard_index {
                attempt.is_open = false;
                request.shards[shard_index].open_attempts -= 1;
                let attempt = AttemptKey { request: key, number: number as u16 };
                let (answer_timeout, cause) = (SUPERSEDED_ANSWER_TIMEOUT, AbandonCause::Superseded);
                actions.push(RoutingAction::Abandon { attempt, answer_timeout, cause });
            }
        }
    }

    /// Abandons all open attempts of a request.
    pub(super) fn abandon_attempts(
        &mut self,
        key: RequestKey,
        answer_timeout: Duration,
        cause: AbandonCause,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        for (number, attempt) in request.attempts.iter_mut().enumerate() {
            if attempt.is_open {
                attempt.is_open = false;
                let attempt = AttemptKey { request: key, number: number as u16 };
                if let Some(sent) = self.sent_attempts.get_mut(&attempt) {
                    sent.is_request_answered = request.is_answered;
                }
                actions.push(RoutingAction::Abandon { attempt, answer_timeout, cause });
            }
        }
    }

    /// Returns the time for which the answer of a superseded attempt is still read.
    pub(super) fn superseded_answer_timeout() -> Duration {
        SUPERSEDED_ANSWER_TIMEOUT
    }
}

fn request_kind(request: &Request) -> RequestKind {
    RequestKind { is_idempotent: request.route().is_idempotent, is_gather: request.gather().is_some() }
}
