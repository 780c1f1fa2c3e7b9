//! The end of an attempt: notes it with its searcher and its request, and carries out what [`crate::decision::retry`] says.
//!
//! Owns how long answers are read out that nobody waits for.

use super::{AbandonCause, RoutingAction, RoutingEngine, SendReason, SentAttempt, UnsentCause};
use crate::decision::retry::{self, NextStep, RequestKind};
use crate::keys::{AttemptKey, RequestKey, SearcherKey};
use crate::state::request::{AttemptOutcome, NotRun, Request, SearcherAnswer, ShardState};
use staircross_types::BootTime;
use std::time::Duration;

/// How long the answer of an attempt that nobody waits for is read out before its connection is closed. So that a connection whose answer is under
/// way can be kept.
const READ_OUT_PATIENCE: Duration = Duration::from_millis(1500);

impl RoutingEngine {
    pub(super) fn on_ended(
        &mut self,
        now: BootTime,
        attempt: AttemptKey,
        outcome: AttemptOutcome,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(sent) = self.sent.remove(&attempt) else {
            return;
        };
        self.searchers[sent.searcher.0 as usize].note_released(attempt);
        self.note_wait(now, &sent, &outcome, actions);
        self.note_searcher(now, &sent, &outcome);
        let shard = self.close_attempt(attempt);
        // Before the outcome is judged as a lost searcher, which may end the request at once.
        if matches!(outcome, AttemptOutcome::Unknown(_)) {
            self.note_may_have_run(attempt.request);
        }
        self.note_suspicion(now, attempt, &sent, &outcome, actions);
        if let Some(shard) = shard {
            self.note_unused(attempt.request, shard, sent.searcher, &outcome);
            self.apply(now, attempt.request, shard, outcome, actions);
            self.settle(now, attempt.request, actions);
            self.schedule(attempt.request);
        }
        let service = self.searchers[sent.searcher.0 as usize].entry.service.clone();
        self.serve_waiting(now, &service, actions);
    }

    /// Closes the attempt within its request; `None` when nobody waits for it.
    fn close_attempt(&mut self, key: AttemptKey) -> Option<usize> {
        let request = self.requests.get_mut(&key.request)?;
        let attempt = request.attempts.get_mut(usize::from(key.number))?;
        if !attempt.is_open {
            return None;
        }
        attempt.is_open = false;
        attempt.is_resolved = true;
        let shard = attempt.shard as usize;
        request.shards[shard].outstanding -= 1;
        Some(shard)
    }

    fn note_searcher(&mut self, now: BootTime, sent: &SentAttempt, outcome: &AttemptOutcome) {
        let round_trip = self.place.round_trip(&self.searchers[sent.searcher.0 as usize].entry.zone);
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
            // A kept connection that has ended says nothing of how the searcher works.
            AttemptOutcome::Cancelled | AttemptOutcome::NotRun(NotRun::Stale) => {}
            AttemptOutcome::NotRun(NotRun::Unconnected) => searcher.note_unreachable(now),
            AttemptOutcome::NotRun(NotRun::ConnectionRejected) => searcher.note_connection_rejected(now),
            AttemptOutcome::NotRun(NotRun::Shed) => searcher.note_rejection(now),
            AttemptOutcome::NotRun(NotRun::OtherInstance) => self.forget_serving(sent.searcher),
        }
    }

    fn apply(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard: usize,
        outcome: AttemptOutcome,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let kind = kind_of(request);
        let step = retry::next_step(&outcome, kind);
        request.may_have_run |= retry::may_have_run(&outcome);
        let answer = match outcome {
            AttemptOutcome::Answered(answer) => Some(answer),
            AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) | AttemptOutcome::Cancelled => None,
        };
        let is_outlived = answer.as_ref().is_some_and(|answer| retry::is_run_to_its_end(answer));
        request.is_answered |= is_outlived;
        match (step, answer) {
            (NextStep::TakePart, Some(answer)) => self.take_part(key, shard, answer, actions),
            (NextStep::SendAgain(reason), failure) => self.try_again(now, key, shard, reason, failure, actions),
            (NextStep::NotRepeatable, failure) => {
                self.note_unsent(key, shard, SendReason::Retry, UnsentCause::NotRepeatable, actions);
                self.give_up(key, shard, failure);
            }
            (NextStep::GiveUp | NextStep::TakePart, failure) => self.give_up(key, shard, failure),
        }
        match is_outlived {
            true => self.end_probe(now, key, actions),
            false => self.widen_probe(now, key, actions),
        }
    }

    /// A shard's part is in: nothing more is done for it.
    fn take_part(
        &mut self,
        key: RequestKey,
        shard: usize,
        answer: Box<SearcherAnswer>,
        actions: &mut Vec<RoutingAction>,
    ) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.shards[shard].state = ShardState::Answered(answer);
        }
        self.abandon_shard(key, shard, actions);
    }

    fn note_may_have_run(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.may_have_run = true;
        }
    }

    /// What didn't run may leave its searcher free to be asked again by the same request.
    fn note_unused(&mut self, key: RequestKey, shard: usize, searcher: SearcherKey, outcome: &AttemptOutcome) {
        let AttemptOutcome::NotRun(reason) = outcome else {
            return;
        };
        let unused = retry::after_not_run(*reason, &self.settings.policy);
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let shard = &mut request.shards[shard];
        if !unused.is_counted {
            shard.remove_sent(searcher);
        }
        if unused.may_be_asked_again {
            shard.tried.retain(|tried| *tried != searcher);
        }
    }

    fn note_unsent(
        &self,
        key: RequestKey,
        shard: usize,
        reason: SendReason,
        cause: UnsentCause,
        actions: &mut Vec<RoutingAction>,
    ) {
        if let Some(request) = self.requests.get(&key) {
            let service = request.shards[shard].service.clone();
            actions.push(RoutingAction::Unsent { request: key, service, reason, cause });
        }
    }

    /// Asks another searcher; gives the shard up when that can't be and nobody else is at work on it.
    fn try_again(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard: usize,
        reason: SendReason,
        failure: Option<Box<SearcherAnswer>>,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let most = request.route().max_attempts;
        let state = &request.shards[shard];
        if state.outstanding > 0 {
            return;
        }
        let may_wait = retry::may_wait(failure.is_some(), kind_of(request));
        let outcome = match state.may_be_sent(most) {
            true => self.dispatch(now, key, shard, reason, actions),
            false => {
                self.note_unsent(key, shard, reason, UnsentCause::MostAttempts, actions);
                Err(UnsentCause::MostAttempts)
            }
        };
        if may_wait && outcome == Err(UnsentCause::OverBudget) {
            self.wait_for_budget(now, key, shard, reason);
        }
        if outcome.is_err() && !self.is_waiting(key, shard) {
            self.give_up(key, shard, failure);
        }
    }

    pub(super) fn give_up(&mut self, key: RequestKey, shard: usize, failure: Option<Box<SearcherAnswer>>) {
        if let Some(request) = self.requests.get_mut(&key) {
            let state = &mut request.shards[shard];
            if state.outstanding == 0 && matches!(state.state, ShardState::Open | ShardState::Failed(None)) {
                state.state = ShardState::Failed(failure);
            }
        }
    }

    /// The shard's part is in: other attempts for it are needless.
    fn abandon_shard(&mut self, key: RequestKey, shard: usize, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        for (number, attempt) in request.attempts.iter_mut().enumerate() {
            if attempt.is_open && attempt.shard as usize == shard {
                attempt.is_open = false;
                request.shards[shard].outstanding -= 1;
                let attempt = AttemptKey { request: key, number: number as u16 };
                let (patience, cause) = (READ_OUT_PATIENCE, AbandonCause::Superseded);
                actions.push(RoutingAction::Abandon { attempt, patience, cause });
            }
        }
    }

    /// Ends all open attempts of a request that is over.
    pub(super) fn abandon_all(
        &mut self,
        key: RequestKey,
        patience: Duration,
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
                if let Some(sent) = self.sent.get_mut(&attempt) {
                    sent.is_request_answered = request.is_answered;
                }
                actions.push(RoutingAction::Abandon { attempt, patience, cause });
            }
        }
    }

    /// How long answers are read out that nobody waits for any more.
    pub(super) fn read_out_patience() -> Duration {
        READ_OUT_PATIENCE
    }
}

fn kind_of(request: &Request) -> RequestKind {
    RequestKind { is_idempotent: request.route().is_idempotent, is_gather: request.gather().is_some() }
}
