//! Shards that nobody can be asked for yet: all searchers lack room, or failed or rejected connections a moment ago.
//!
//! A shard is given up only when nobody is left, or when its request's time is over before anybody may be asked.

use super::{RoutingAction, RoutingEngine, UnsentCause, WaitingShard};
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::giving_up::is_too_late;
use crate::decision::retry::budget_retry_at;
use crate::keys::{AttemptKey, RequestKey, SearcherKey};
use crate::state::request::{SendReason, ShardState, Waiting};
use staircross_types::BootTime;
use std::collections::VecDeque;
use std::sync::Arc;

/// Shards of one service that wait at once; those beyond are given up. Bounds memory.
const MAX_WAITING: usize = 1024;

/// A sending that can't be made yet.
pub(super) struct Postponed {
    pub reason: SendReason,
    pub cause: UnsentCause,
    /// When to try again; `None` when room is waited for.
    pub retry_at: Option<BootTime>,
}

impl RoutingEngine {
    /// When a searcher of a service besides `excluded` may be asked, room aside; `None` when there is nobody.
    pub(super) fn next_chance(
        &self,
        now: BootTime,
        regions: AllowedRegions<'_>,
        service: &Arc<str>,
        excluded: &[SearcherKey],
    ) -> Option<BootTime> {
        let others = self.askable(now, regions, service).filter(|(peer, _)| !excluded.contains(peer));
        let chances = others.filter_map(|(_, searcher)| self.place.next_chance(now, searcher));
        let chance = chances.map(|at| at.max(now)).min();
        chance.filter(|at| self.settings.policy.waiting || *at <= now)
    }

    /// Nobody can be asked now: has the shard wait, or gives it up. A shard that somebody is at work on does neither.
    pub(super) fn note_unplaced(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
    ) -> UnsentCause {
        let Some(request) = self.requests.get(&key) else {
            return UnsentCause::NobodyLeft;
        };
        let shard = &request.shards[shard_index];
        let chance = self.next_chance(now, request.allowed_regions(), &shard.service, &self.excluded(key, shard_index));
        let cause = match chance {
            Some(at) if at <= now => UnsentCause::NoRoom,
            Some(_) => UnsentCause::Avoided,
            None => UnsentCause::NobodyLeft,
        };
        if shard.is_open() && shard.outstanding == 0 {
            let retry_at = chance.filter(|at| *at > now);
            self.begin_waiting(now, key, shard_index, Postponed { reason, cause, retry_at });
        }
        cause
    }

    /// Searchers of a shard that may not be asked for this request.
    pub(super) fn excluded(&self, key: RequestKey, shard_index: usize) -> Vec<SearcherKey> {
        let Some(request) = self.requests.get(&key) else {
            return Vec::new();
        };
        let (shard, most) = (&request.shards[shard_index], request.route().max_attempts);
        let peers = self.by_service.get(&shard.service).map_or(&[][..], Vec::as_slice);
        peers.iter().copied().filter(|peer| shard.is_excluded(*peer, most)).collect()
    }

    /// A shard that may not be sent again yet, because the budget for extra sends is spent, waits for it.
    pub(super) fn wait_for_budget(&mut self, now: BootTime, key: RequestKey, shard_index: usize, reason: SendReason) {
        let Some(shard) = self.requests.get(&key).map(|request| &request.shards[shard_index]) else {
            return;
        };
        let retry_at = budget_retry_at(now, &self.settings.policy);
        if retry_at.is_some() && shard.is_open() && shard.outstanding == 0 {
            let wait = Postponed { reason, cause: UnsentCause::OverBudget, retry_at };
            self.begin_waiting(now, key, shard_index, wait);
        }
    }

    /// Whether the budget will reach one more repeat for a service by a time, after those that wait already.
    fn may_be_permitted_by(&mut self, now: BootTime, service: &Arc<str>, deadline: BootTime) -> bool {
        let Some(window) = self.windows.get_mut(service) else {
            return true;
        };
        let permitted = window.permitted_until(now, deadline, &self.settings.extra, self.slack_share);
        let mut ahead = self.waiting.get(service).into_iter().flatten().filter(|waiting| self.needs_budget(waiting));
        permitted > 0 && ahead.nth(permitted - 1).is_none()
    }

    /// Whether a shard that waits needs room in the budget to be sent.
    fn needs_budget(&self, waiting: &WaitingShard) -> bool {
        let shard = self.requests.get(&waiting.request).map(|request| &request.shards[waiting.shard as usize]);
        shard.and_then(|shard| shard.waiting).is_some_and(|waiting| waiting.reason == SendReason::Retry)
    }

    pub(super) fn begin_waiting(&mut self, now: BootTime, key: RequestKey, shard_index: usize, wait: Postponed) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let (service, deadline) = (request.shards[shard_index].service.clone(), request.deadline);
        let is_hopeless = wait.cause == UnsentCause::NobodyLeft
            || wait.retry_at.is_some_and(|at| is_too_late(at, deadline))
            || (wait.reason == SendReason::Retry && !self.may_be_permitted_by(now, &service, deadline));
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let shard = &mut request.shards[shard_index];
        let queue = self.waiting.entry(service).or_default();
        let has_place = shard.is_queued || queue.len() < MAX_WAITING;
        if is_hopeless || !has_place {
            shard.waiting = None;
            shard.state = ShardState::Failed(None);
            return;
        }
        let retry_at = wait.retry_at.unwrap_or(BootTime::FAR_FUTURE);
        shard.waiting = Some(Waiting { reason: wait.reason, retry_at });
        if !shard.is_queued {
            shard.is_queued = true;
            queue.push_back(WaitingShard { request: key, shard: shard_index as u32 });
        }
    }

    /// Gives the shards that have waited longest another chance, after a searcher has got room or come back.
    pub(super) fn serve_waiting(&mut self, now: BootTime, service: &Arc<str>, actions: &mut Vec<RoutingAction>) {
        let waiting = self.waiting.get(service).map_or(0, VecDeque::len);
        for _ in 0..waiting {
            let Some(next) = self.waiting.get_mut(service).and_then(VecDeque::pop_front) else {
                return;
            };
            let (key, shard_index) = (next.request, next.shard as usize);
            let Some(request) = self.requests.get_mut(&key) else {
                continue;
            };
            request.shards[shard_index].is_queued = false;
            if request.shards[shard_index].waiting.is_some() && !self.send_waiting(now, key, shard_index, actions) {
                return;
            }
        }
    }

    /// Sends the shards of a request whose time to be asked again has come.
    pub(super) fn retry_due(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let is_due = |index: &usize| request.shards[*index].waiting.is_some_and(|waiting| waiting.retry_at <= now);
        let due: Vec<usize> = (0..request.shards.len()).filter(is_due).collect();
        for shard_index in due {
            self.send_waiting(now, key, shard_index, actions);
        }
    }

    /// Sends a shard that has waited, has it wait on, or gives it up. Returns whether those behind it may be sent.
    pub(super) fn send_waiting(
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
                self.give_up(key, shard_index, None);
            }
            self.settle(now, key, actions);
        }
        self.schedule(key);
        // What waits for a trial of its own content is in nobody's way.
        outcome.is_ok() || matches!(outcome, Err(UnsentCause::Suspect | UnsentCause::Probing))
    }

    pub(super) fn is_waiting(&self, key: RequestKey, shard_index: usize) -> bool {
        self.requests.get(&key).is_some_and(|request| request.shards[shard_index].waiting.is_some())
    }

    /// An attempt has a connection to be written on: its searcher accepts more again.
    pub(super) fn on_begun(&mut self, now: BootTime, attempt: AttemptKey, actions: &mut Vec<RoutingAction>) {
        let Some(sent) = self.sent.get_mut(&attempt) else {
            return;
        };
        sent.begun_at = now;
        let searcher = &mut self.searchers[sent.searcher.0 as usize];
        searcher.note_connection_accepted();
        let service = searcher.entry.service.clone();
        self.serve_waiting(now, &service, actions);
    }
}
