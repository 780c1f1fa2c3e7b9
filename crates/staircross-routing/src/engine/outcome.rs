//! What the end of an attempt means for its request and its searcher.

use super::{AbandonCause, RoutingAction, RoutingEngine, SendReason, SentAttempt};
use crate::keys::{AttemptKey, RequestKey, SearcherKey};
use crate::request::{AttemptOutcome, NotRun, SearcherAnswer, ShardState, Unknown};
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
        if let Some(shard) = self.close_attempt(attempt) {
            if self.may_be_asked_again(&outcome) {
                self.allow_again(attempt.request, shard, sent.searcher);
            }
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
        let way = self.place.way(&self.searchers[sent.searcher.0 as usize].entry.zone);
        let worked = now.since(sent.sent_at).saturating_sub(way);
        let searcher = &mut self.searchers[sent.searcher.0 as usize];
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
            AttemptOutcome::Withdrawn | AttemptOutcome::NotRun(NotRun::Stale) => {}
            AttemptOutcome::NotRun(NotRun::Unconnected) => searcher.failed(now),
            AttemptOutcome::NotRun(NotRun::TurnedAway) => searcher.turned_away(now),
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
            AttemptOutcome::Withdrawn => {}
            AttemptOutcome::NotRun(NotRun::Unconnected | NotRun::TurnedAway | NotRun::Stale) => {
                self.forget_send(key, shard);
                self.try_again(now, key, shard, SendReason::Reroute, None, actions);
            }
            AttemptOutcome::NotRun(NotRun::Shed | NotRun::OtherInstance) => {
                self.try_again(now, key, shard, SendReason::Retry, None, actions);
            }
            AttemptOutcome::Unknown(Unknown::Broken | Unknown::TooLong) => {
                self.note_may_have_run(key);
                self.try_again_if_repeatable(now, key, shard, None, actions);
            }
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
        let is_gather = request.gather().is_some();
        // A searcher's own refusal of the request as such is final; another would say the same.
        let is_final = is_success || (!is_gather && answer.status < 500 && !promises_not_run(answer.status));
        if is_final {
            request.shards[shard].state = ShardState::In(answer);
            self.abandon_shard(key, shard, actions);
            return;
        }
        self.try_again_if_repeatable(now, key, shard, Some(answer), actions);
    }

    fn note_may_have_run(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.may_have_run = true;
        }
    }

    /// Nothing was sent, so the attempt doesn't count against the most that may be made.
    fn forget_send(&mut self, key: RequestKey, shard: usize) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.shards[shard].sends -= 1;
        }
    }

    /// Whether nothing was sent to whoever was asked, so that it may be asked for the same shard once more.
    fn may_be_asked_again(&self, outcome: &AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::NotRun(NotRun::Stale) => true,
            AttemptOutcome::NotRun(NotRun::Unconnected | NotRun::TurnedAway) => self.settings.policy.waiting,
            AttemptOutcome::NotRun(NotRun::Shed | NotRun::OtherInstance)
            | AttemptOutcome::Answered(_)
            | AttemptOutcome::Unknown(_)
            | AttemptOutcome::Withdrawn => false,
        }
    }

    /// Lets a searcher that nothing was sent to be asked again for the same shard. Finding an ended connection
    /// uses it up, and whoever can't be reached or turns connections away is avoided for a while, so this is paced.
    fn allow_again(&mut self, key: RequestKey, shard: usize, searcher: SearcherKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.shards[shard].tried.retain(|tried| *tried != searcher);
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
            self.give_up(key, shard, failure);
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
        let may_send = state.sends < most;
        let has_other = state.outstanding > 0;
        if has_other {
            return;
        }
        let was_sent = may_send && self.dispatch(now, key, shard, reason, actions);
        if !was_sent && !self.is_waiting(key, shard) {
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
                actions.push(RoutingAction::Abandon { attempt, patience, cause });
            }
        }
    }

    /// How long answers are read out that nobody waits for any more.
    pub(super) fn read_out_patience() -> Duration {
        READ_OUT_PATIENCE
    }
}

/// Statuses by which a request is promised not to have run.
pub(super) fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
