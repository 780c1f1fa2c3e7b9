//! Queues of shards that can't be sent yet.
//!
//! A shard waits while all its searchers are at capacity or are avoided after failures or rejected connections, while
//! the budget for retries is spent, or while a first probe or the trial of a suspect content is under way. It is
//! given up when no searcher is left, when it couldn't be sent before its request's deadline, or when its queue is
//! full.

use super::{RoutingAction, RoutingEngine, UnsentCause, WaitingShard};
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::request_lifecycle::is_too_late;
use crate::decision::retry::budget_retry_at;
use crate::keys::{AttemptKey, RequestKey, SearcherKey};
use crate::state::request::{SendReason, ShardState, Waiting};
use staircross_types::BootTime;
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of shards of one service that wait at once; further ones are given up. This bounds memory.
const MAX_WAITING_PER_SERVICE: usize = 1024;

/// Why a shard is to be sent, why it can't be sent yet, and when to try again.
pub(super) struct PostponedSend {
    pub reason: SendReason,
    pub cause: UnsentCause,
    /// Time at which to try again; `None` when the shard waits for an event, such as the end of another attempt.
    pub retry_at: Option<BootTime>,
}

impl RoutingEngine {
    /// Returns the earliest time at which a searcher of a service, other than those in `excluded`, may be asked,
    /// regardless of its capacity; `None` when there is no such searcher. With `routing.waiting = false`, only a
    /// searcher that may be asked at once counts.
    pub(super) fn earliest_availability(
        &self,
        now: BootTime,
        regions: AllowedRegions<'_>,
        service: &Arc<str>,
        excluded: &[SearcherKey],
    ) -> Option<BootTime> {
        let others =
            self.eligible_searchers(now, regions, service).filter(|(candidate, _)| !excluded.contains(candidate));
        let times = others.filter_map(|(_, searcher)| self.placement.available_from(now, searcher));
        let earliest = times.map(|at| at.max(now)).min();
        earliest.filter(|at| self.settings.policy.waiting || *at <= now)
    }

    /// Queues a shard for which no searcher can be asked now, or gives it up if none is left. A shard with an open
    /// attempt is left as it is. Returns the cause.
    pub(super) fn wait_for_searcher(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
    ) -> UnsentCause {
        let Some(request) = self.requests.get(&key) else {
            return UnsentCause::NoSearcherLeft;
        };
        let shard = &request.shards[shard_index];
        let earliest = self.earliest_availability(
            now,
            request.allowed_regions(),
            &shard.service,
            &self.excluded_searchers(key, shard_index),
        );
        let cause = match earliest {
            Some(at) if at <= now => UnsentCause::NoRoom,
            Some(_) => UnsentCause::Avoided,
            None => UnsentCause::NoSearcherLeft,
        };
        if shard.is_open() && shard.open_attempts == 0 {
            let retry_at = earliest.filter(|at| *at > now);
            self.begin_waiting(now, key, shard_index, PostponedSend { reason, cause, retry_at });
        }
        cause
    }

    /// Returns the searchers of a shard that this request may not ask.
    pub(super) fn excluded_searchers(&self, key: RequestKey, shard_index: usize) -> Vec<SearcherKey> {
        let Some(request) = self.requests.get(&key) else {
            return Vec::new();
        };
        let (shard, max_attempts) = (&request.shards[shard_index], request.route().max_attempts);
        let candidates = self.by_service.get(&shard.service).map_or(&[][..], Vec::as_slice);
        candidates.iter().copied().filter(|candidate| shard.is_excluded(*candidate, max_attempts)).collect()
    }

    /// Queues a shard that can't be sent again yet because the budget for extra sends is spent.
    pub(super) fn wait_for_budget(&mut self, now: BootTime, key: RequestKey, shard_index: usize, reason: SendReason) {
        let Some(shard) = self.requests.get(&key).map(|request| &request.shards[shard_index]) else {
            return;
        };
        let retry_at = budget_retry_at(now, &self.settings.policy);
        if retry_at.is_some() && shard.is_open() && shard.open_attempts == 0 {
            let postponed = PostponedSend { reason, cause: UnsentCause::OverBudget, retry_at };
            self.begin_waiting(now, key, shard_index, postponed);
        }
    }

    /// Returns whether the budget of a service is expected to permit one more retry by `deadline`, after the retries
    /// that already wait.
    fn budget_permits_retry_by(&mut self, now: BootTime, service: &Arc<str>, deadline: BootTime) -> bool {
        let Some(window) = self.extra_windows.get_mut(service) else {
            return true;
        };
        let permitted = window.permitted_until(now, deadline, &self.settings.extra, self.slack_share);
        let mut retries_ahead =
            self.waiting_shards.get(service).into_iter().flatten().filter(|waiting| self.needs_budget(waiting));
        permitted > 0 && retries_ahead.nth(permitted - 1).is_none()
    }

    /// Returns whether a waiting shard must be paid from the budget for extra sends.
    fn needs_budget(&self, waiting: &WaitingShard) -> bool {
        let shard = self.requests.get(&waiting.request).map(|request| &request.shards[waiting.shard as usize]);
        shard.and_then(|shard| shard.waiting).is_some_and(|waiting| waiting.reason == SendReason::Retry)
    }

    /// Queues a shard, or gives it up if it can't be sent before the deadline or the queue of its service is full.
    pub(super) fn begin_waiting(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        postponed: PostponedSend,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let (service, deadline) = (request.shards[shard_index].service.clone(), request.deadline);
        let is_hopeless = postponed.cause == UnsentCause::NoSearcherLeft
            || postponed.retry_at.is_some_and(|at| is_too_late(at, deadline))
            || (postponed.reason == SendReason::Retry && !self.budget_permits_retry_by(now, &service, deadline));
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let shard = &mut request.shards[shard_index];
        let queue = self.waiting_shards.entry(service).or_default();
        let has_queue_space = shard.is_queued || queue.len() < MAX_WAITING_PER_SERVICE;
        if is_hopeless || !has_queue_space {
            shard.waiting = None;
            shard.state = ShardState::Failed(None);
            return;
        }
        let retry_at = postponed.retry_at.unwrap_or(BootTime::FAR_FUTURE);
        shard.waiting = Some(Waiting { reason: postponed.reason, retry_at });
        if !shard.is_queued {
            shard.is_queued = true;
            queue.push_back(WaitingShard { request: key, shard: shard_index as u32 });
        }
    }

    /// Sends the waiting shards of a service, longest wait first, after a searcher has gained capacity or become
    /// available. Stops at the first shard that blocks those behind it. Sends none while the view is outdated.
    pub(super) fn send_waiting_shards(&mut self, now: BootTime, service: &Arc<str>, actions: &mut Vec<RoutingAction>) {
        if self.is_view_outdated {
            return;
        }
        let waiting = self.waiting_shards.get(service).map_or(0, VecDeque::len);
        for _ in 0..waiting {
            let Some(next) = self.waiting_shards.get_mut(service).and_then(VecDeque::pop_front) else {
                return;
            };
            let (key, shard_index) = (next.request, next.shard as usize);
            let Some(request) = self.requests.get_mut(&key) else {
                continue;
            };
            request.shards[shard_index].is_queued = false;
            if request.shards[shard_index].waiting.is_some() && !self.send_waiting_shard(now, key, shard_index, actions)
            {
                return;
            }
        }
    }

    /// Returns the services for which shards wait.
    pub(super) fn services_with_waiting_shards(&self) -> Vec<Arc<str>> {
        let mut services: Vec<Arc<str>> = self.waiting_shards.keys().cloned().collect();
        // A fixed order makes the replay of a recording deterministic.
        services.sort_unstable();
        services
    }

    /// Queues a shard like [`Self::begin_waiting`] and logs it, unless the shard has an open attempt. Returns the cause.
    pub(super) fn postpone_and_log(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        postponed: PostponedSend,
        actions: &mut Vec<RoutingAction>,
    ) -> UnsentCause {
        let (reason, cause) = (postponed.reason, postponed.cause);
        let Some(shard) = self.requests.get(&key).map(|request| &request.shards[shard_index]) else {
            return cause;
        };
        if shard.is_open() && shard.open_attempts == 0 {
            // The line is logged once, not with each retry.
            if !shard.is_queued {
                let service = shard.service.clone();
                actions.push(RoutingAction::Unsent { request: key, service, reason, cause });
            }
            self.begin_waiting(now, key, shard_index, postponed);
        }
        cause
    }

    /// Sends the waiting shards of a request that are due to be tried again.
    pub(super) fn retry_due_shards(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let is_due = |index: &usize| request.shards[*index].waiting.is_some_and(|waiting| waiting.retry_at <= now);
        let due: Vec<usize> = (0..request.shards.len()).filter(is_due).collect();
        for shard_index in due {
            self.send_waiting_shard(now, key, shard_index, actions);
        }
    }

    /// Sends a waiting shard, queues it again, or gives it up. Returns whether the shards behind it may be tried,
    /// too.
    pub(super) fn send_waiting_shard(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        actions: &mut Vec<RoutingAction>,
    ) -> bool {
        let waiting = self.requests.get_mut(&key).and_then(|request| request.shards[shard_index].waiting.take());
        let Some(waiting) = waiting else {
            return false;
        };
        let outcome = self.dispatch(now, key, shard_index, waiting.reason, actions);
        if outcome == Err(UnsentCause::OverBudget) {
            self.wait_for_budget(now, key, shard_index, waiting.reason);
        }
        if outcome.is_err() {
            if !self.is_waiting(key, shard_index) {
                self.give_up_shard(key, shard_index, None);
            }
            self.finish_if_done(now, key, actions);
        }
        self.schedule_wake(key);
        // A shard that waits for a trial or a probe of its own request doesn't block the shards behind it.
        outcome.is_ok() || matches!(outcome, Err(UnsentCause::Suspect | UnsentCause::Probing))
    }

    pub(super) fn is_waiting(&self, key: RequestKey, shard_index: usize) -> bool {
        self.requests.get(&key).is_some_and(|request| request.shards[shard_index].waiting.is_some())
    }

    /// Records that an attempt has got its connection, and sends waiting shards, since the searcher accepts
    /// connections.
    pub(super) fn on_begun(&mut self, now: BootTime, attempt: AttemptKey, actions: &mut Vec<RoutingAction>) {
        let Some(sent) = self.sent_attempts.get_mut(&attempt) else {
            return;
        };
        sent.begun_at = now;
        let searcher = &mut self.searchers[sent.searcher.0 as usize];
        searcher.note_connection_accepted();
        let service = searcher.entry.service.clone();
        self.send_waiting_shards(now, &service, actions);
    }
}
