//! What the end of an attempt means for its request and its searcher.

use super::{AbandonCause, RoutingAction, RoutingEngine, SendReason, SentAttempt, UnsentCause};
use crate::keys::{AttemptKey, RequestKey, SearcherKey};
use crate::state::request::{AttemptOutcome, NotRun, SearcherAnswer, ShardState};
use staircross_types::BootTime;
use std::time::Duration;

/// How long the answer of an attempt that nobody waits for is read out before its connection is closed.
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
        self.searchers[sent.searcher.0 as usize].released(attempt);
        self.note_wait(now, &sent, &outcome, actions);
        self.note_searcher(now, &sent, &outcome);
        let shard = self.close_attempt(attempt);
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
            searcher.take_report(now, answer.report);
        }
        match outcome {
            AttemptOutcome::Answered(answer) if answer.status < 500 => {
                let Some(statistics) = self.routes.get_mut(&sent.route) else {
                    return;
                };
                let usual = statistics.work.median().max(Duration::from_micros(100));
                searcher.answered(now, sent.sent_at, worked.as_secs_f64() / usual.as_secs_f64());
                statistics.work.record(worked);
            }
            AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) => searcher.faltered(now),
            // A kept connection that has ended says nothing of how the searcher works.
            AttemptOutcome::Cancelled | AttemptOutcome::NotRun(NotRun::Stale) => {}
            AttemptOutcome::NotRun(NotRun::Unconnected) => searcher.failed(now),
            AttemptOutcome::NotRun(NotRun::ConnectionRejected) => searcher.connection_rejected(now),
            AttemptOutcome::NotRun(NotRun::Shed) => searcher.shed(now),
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
        match outcome {
            AttemptOutcome::Answered(answer) => self.apply_answer(now, key, shard, answer, actions),
            // Only attempts of requests whose key is gone are taken back while their request goes on.
            AttemptOutcome::Cancelled => self.give_up(key, shard, None),
            AttemptOutcome::NotRun(NotRun::Unconnected | NotRun::ConnectionRejected | NotRun::Stale) => {
                self.try_again(now, key, shard, SendReason::Reroute, None, actions);
            }
            AttemptOutcome::NotRun(NotRun::Shed | NotRun::OtherInstance) => {
                self.try_again(now, key, shard, SendReason::Retry, None, actions);
            }
            AttemptOutcome::Unknown(_) => self.try_again_if_repeatable(now, key, shard, None, actions),
        }
    }

    fn apply_answer(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard: usize,
        answer: Box<SearcherAnswer>,
        actions: &mut Vec<RoutingAction>,
    ) {
        self.note_may_have_run(key);
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let is_success = (200..300).contains(&answer.status) && answer.stamp.is_some();
        request.is_answered |= is_run_to_its_end(&answer);
        let is_gather = request.gather().is_some();
        // A searcher's own refusal of the request as such is final; another would say the same.
        let is_final = is_success || (!is_gather && answer.status < 500 && !promises_not_run(answer.status));
        if is_final {
            request.shards[shard].state = ShardState::In(answer);
            self.abandon_shard(key, shard, actions);
            self.end_probe(now, key, actions);
            return;
        }
        self.try_again_if_repeatable(now, key, shard, Some(answer), actions);
    }

    fn note_may_have_run(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.may_have_run = true;
        }
    }

    /// What didn't run: a searcher that got nothing doesn't count against the most that may be asked, and may be asked again;
    /// so may one that rejected the request for lack of room. Finding an ended connection uses it up, and whoever
    /// can't be reached or rejects something is avoided for a while, so this is paced.
    fn note_unused(&mut self, key: RequestKey, shard: usize, searcher: SearcherKey, outcome: &AttemptOutcome) {
        let AttemptOutcome::NotRun(reason) = outcome else {
            return;
        };
        let may_be_asked_again = match reason {
            NotRun::Stale => true,
            NotRun::Unconnected | NotRun::ConnectionRejected | NotRun::Shed => self.settings.policy.waiting,
            NotRun::OtherInstance => false,
        };
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let shard = &mut request.shards[shard];
        if matches!(reason, NotRun::Unconnected | NotRun::ConnectionRejected | NotRun::Stale) {
            shard.forget_sending(searcher);
        }
        if may_be_asked_again {
            shard.tried.retain(|tried| *tried != searcher);
        }
    }

    fn try_again_if_repeatable(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard: usize,
        failure: Option<Box<SearcherAnswer>>,
        actions: &mut Vec<RoutingAction>,
    ) {
        let is_idempotent = self.requests.get(&key).is_some_and(|request| request.route().is_idempotent);
        if is_idempotent {
            self.try_again(now, key, shard, SendReason::Retry, failure, actions);
        } else {
            self.note_unsent(key, shard, SendReason::Retry, UnsentCause::NotRepeatable, actions);
            self.give_up(key, shard, failure);
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
        // A failure that is at hand is passed on rather than kept until another may be asked.
        let may_wait = failure.is_none() || request.gather().is_some();
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

/// Whether the searcher ran the request and lived on. A failure of its own may be told before the work that ends it.
pub(super) fn is_run_to_its_end(answer: &SearcherAnswer) -> bool {
    answer.status < 500 && !promises_not_run(answer.status)
}

/// Statuses by which a request is promised not to have run.
pub(super) fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
