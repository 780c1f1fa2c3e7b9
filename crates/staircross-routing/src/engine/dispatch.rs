//! Sends attempts: decides whether a shard may be sent, chooses its searcher, schedules the hedge and records the
//! attempt.
//!
//! The module owns no state. The rules are in [`crate::decision::placement`], [`crate::decision::hedging`] and
//! [`crate::decision::extra_budget`]. A shard that can't be sent now is queued by [`super::waiting`] or given up.

use super::{LastLoadReport, RoutingAction, RoutingEngine, SendOrder, SendReason, SentAttempt, UnsentCause};
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::extra_budget::is_paid;
use crate::decision::hedging::{HedgeTimes, hedge_delay_factor};
use crate::decision::placement::{Choice, choose};
use crate::decision::quarantine::Suspicion;
use crate::decision::request_lifecycle::DEADLINE_GUARD;
use crate::keys::{AttemptKey, RequestKey, SearcherKey};
use crate::state::request::{Attempt, Request};
use crate::state::searcher::PendingAttempt;
use staircross_types::BootTime;
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an attempt is overdue, as a multiple of the searcher's usual work, plus the round trip. It is later
/// than the earliest hedge.
const OVERDUE_WORK_FACTOR: f64 = 2.2;
/// Maximum wait for a connection, in addition to [`CONNECT_TIMEOUT_ROUND_TRIPS`]. It leaves time for a searcher process
/// that isn't scheduled for a while.
const BASE_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of round trips that are added to [`BASE_CONNECT_TIMEOUT`]. They leave time for a connection that is
/// established at the second try.
const CONNECT_TIMEOUT_ROUND_TRIPS: u32 = 4;

/// An attempt that is about to be sent.
#[derive(Clone, Copy)]
struct PlannedAttempt {
    request: RequestKey,
    shard_index: usize,
    searcher: SearcherKey,
    reason: SendReason,
}

impl RoutingEngine {
    /// Sends one more attempt for a shard, or returns why none is sent.
    pub(super) fn dispatch(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
        actions: &mut Vec<RoutingAction>,
    ) -> Result<(), UnsentCause> {
        self.check_sendable(now, key, shard_index, reason, actions)?;
        let Some(request) = self.requests.get(&key) else {
            return Err(UnsentCause::NoSearcherLeft);
        };
        let service = request.shards[shard_index].service.clone();
        let outcome = match self.choose_searcher(now, key, shard_index, &service) {
            None => Err(self.wait_for_searcher(now, key, shard_index, reason)),
            Some(searcher) => self.check_extra_send(now, key, &service, reason).map(|()| searcher),
        };
        match outcome {
            Ok(searcher) => {
                self.send_attempt(now, PlannedAttempt { request: key, shard_index, searcher, reason }, actions)
            }
            Err(cause) => actions.push(RoutingAction::Unsent { request: key, service, reason, cause }),
        }
        outcome.map(|_| ())
    }

    /// Checks whether a shard may be sent to any searcher at present. Queues a shard that must wait for a current view,
    /// for the trial of a suspect content or for a first probe.
    fn check_sendable(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
        actions: &mut Vec<RoutingAction>,
    ) -> Result<(), UnsentCause> {
        let Some(request) = self.requests.get(&key) else {
            return Err(UnsentCause::NoSearcherLeft);
        };
        if request.is_key_revoked {
            return Err(Self::log_unsent_revoked(key, request, shard_index, reason, actions));
        }
        if self.is_view_outdated {
            return Err(self.postpone_for_view(now, key, shard_index, reason, actions));
        }
        if self.suspicion(now, request.content) == Suspicion::Quarantined {
            return Err(UnsentCause::Quarantined);
        }
        if self.must_wait_for_trial(now, request) {
            return Err(self.postpone_suspect(now, key, shard_index, reason, actions));
        }
        match self.is_blocked_by_probe(now, request, reason) {
            true => Err(self.postpone_for_probe(now, key, shard_index, reason)),
            false => Ok(()),
        }
    }

    /// Chooses the searcher that a shard is sent to; `None` when none can be asked now.
    fn choose_searcher(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        service: &Arc<str>,
    ) -> Option<SearcherKey> {
        let request = self.requests.get(&key)?;
        let (table, route_index, tenant) = (request.table.clone(), request.route_index, request.tenant);
        let route = &table.definition().routes[route_index];
        let regions = AllowedRegions::new(route, tenant.and_then(|key| table.tenant(key)));
        let excluded = self.excluded_searchers(key, shard_index);
        let goal = Duration::from_millis(route.goal_ms);
        let usual_work = self.route_statistics(&route.name, goal).work.median();
        let candidates = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let choice = Choice { regions, excluded: &excluded, usual_work, goal };
        choose(now, &choice, candidates, &self.searchers, &self.placement, &mut self.random)
    }

    /// Checks whether an attempt may be made as a hedge or retry, and spends the budget for it. First attempts and
    /// reroutes are free.
    fn check_extra_send(
        &mut self,
        now: BootTime,
        key: RequestKey,
        service: &Arc<str>,
        reason: SendReason,
    ) -> Result<(), UnsentCause> {
        if reason == SendReason::Hedge && self.is_queue_too_long(now, key, service) {
            return Err(UnsentCause::QueueTooLong);
        }
        match !is_paid(reason) || self.spend_extra(now, service) {
            true => Ok(()),
            false => Err(UnsentCause::OverBudget),
        }
    }

    /// Spends one extra send from a service's budget; returns `false` when the budget doesn't permit it.
    fn spend_extra(&mut self, now: BootTime, service: &Arc<str>) -> bool {
        let window = self.extra_windows.entry(service.clone()).or_default();
        let is_within_budget = window.try_spend(now, &self.settings.extra, self.slack_share);
        if !is_within_budget {
            self.counters.over_budget += 1;
        }
        is_within_budget
    }

    /// Records and counts an attempt, and orders to send it.
    fn send_attempt(&mut self, now: BootTime, planned: PlannedAttempt, actions: &mut Vec<RoutingAction>) {
        let Some(attempt) = self.record_attempt(now, planned) else {
            return;
        };
        match planned.reason {
            SendReason::First => self.counters.first_attempts += 1,
            SendReason::Hedge => self.counters.hedges += 1,
            SendReason::Retry => self.counters.retries += 1,
            SendReason::Reroute => self.counters.reroutes += 1,
        }
        actions.extend(self.new_send_order(now, planned, attempt).map(RoutingAction::Send));
    }

    /// Records an attempt with its request and its searcher.
    fn record_attempt(&mut self, now: BootTime, planned: PlannedAttempt) -> Option<AttemptKey> {
        let times = self.hedge_times(now, planned)?;
        let request = self.requests.get_mut(&planned.request)?;
        let searcher = &mut self.searchers[planned.searcher.0 as usize];
        let attempt = AttemptKey { request: planned.request, number: request.attempts.len() as u16 };
        let work = times.usual.mul_f64(searcher.slowness(now));
        let due_at = now + times.round_trip + work.mul_f64(OVERDUE_WORK_FACTOR);
        searcher.note_sent(now, PendingAttempt { attempt, sent_at: now, due_at });
        let shard = &mut request.shards[planned.shard_index];
        shard.sent_to.push(planned.searcher);
        shard.open_attempts += 1;
        shard.excluded.push(planned.searcher);
        let hedge_at = times.hedge_at(now, request.answer_by);
        let open_attempts = request.open_attempts();
        if let Some(probe) = &mut request.probe {
            probe.note_sent(now, times.round_trip, work, open_attempts);
        }
        let shard = planned.shard_index as u32;
        request.attempts.push(Attempt { shard, hedge_at, is_open: true, is_resolved: false });
        let sent = SentAttempt {
            searcher: planned.searcher,
            route: request.route().name.clone(),
            sent_at: now,
            begun_at: now,
            group: request.group.clone(),
            content: request.content,
            is_request_answered: false,
        };
        self.sent_attempts.insert(attempt, sent);
        Some(attempt)
    }

    /// Creates the order to send an attempt that has been recorded.
    fn new_send_order(&self, now: BootTime, planned: PlannedAttempt, attempt: AttemptKey) -> Option<SendOrder> {
        let request = self.requests.get(&planned.request)?;
        let searcher = &self.searchers[planned.searcher.0 as usize];
        let round_trip = self.placement.round_trip(&searcher.entry.zone);
        Some(SendOrder {
            attempt,
            searcher: planned.searcher,
            instance: searcher.entry.instance.clone(),
            service: searcher.entry.service.clone(),
            identity: request.identity(),
            address: searcher.entry.address,
            distance: self.placement.distance(&searcher.entry.zone),
            deadline: request.deadline + DEADLINE_GUARD,
            is_idempotent: request.route().is_idempotent,
            connect_timeout: BASE_CONNECT_TIMEOUT + round_trip * CONNECT_TIMEOUT_ROUND_TRIPS,
            reason: planned.reason,
            reported: searcher.reported().map(|(at, load)| LastLoadReport { load, age: now.since(at) }),
        })
    }

    /// Returns the round trips and work times from which the time of an attempt's hedge is computed.
    fn hedge_times(&mut self, now: BootTime, planned: PlannedAttempt) -> Option<HedgeTimes> {
        let delay_factor = hedge_delay_factor(self.spare_fraction(now, planned.searcher));
        let request = self.requests.get(&planned.request)?;
        let other_round_trip = self.longest_other_round_trip(now, request, planned.searcher);
        let round_trip = self.placement.round_trip(&self.searchers[planned.searcher.0 as usize].entry.zone);
        let (usual, late) = match self.routes.get(&request.route().name) {
            Some(statistics) => (statistics.work.median(), statistics.work.hedge_delay()),
            None => (Duration::ZERO, Duration::ZERO),
        };
        Some(HedgeTimes { round_trip, other_round_trip, usual, late, delay_factor })
    }

    /// Returns the unspent fraction of the extra-send budget of a searcher's service; `None` when hedges don't depend
    /// on it.
    fn spare_fraction(&mut self, now: BootTime, searcher: SearcherKey) -> Option<f64> {
        if !self.settings.policy.hedge_by_budget {
            return None;
        }
        let service = &self.searchers[searcher.0 as usize].entry.service;
        let (bound, slack_share) = (&self.settings.extra, self.slack_share);
        Some(self.extra_windows.get_mut(service).map_or(1.0, |window| window.spare_fraction(now, bound, slack_share)))
    }

    /// Returns the longest round trip to another searcher that the same shard may be sent to, since a hedge may have
    /// to go there.
    fn longest_other_round_trip(&self, now: BootTime, request: &Request, asked: SearcherKey) -> Duration {
        let service = &self.searchers[asked.0 as usize].entry.service;
        let others = self
            .eligible_searchers(now, request.allowed_regions(), service)
            .filter(|(candidate, _)| *candidate != asked);
        others.map(|(_, searcher)| self.placement.round_trip(&searcher.entry.zone)).max().unwrap_or_default()
    }

    /// Schedules the next wake of a request, unless an earlier one is scheduled. One wake is enough, since handling it
    /// schedules the next. If there were two, each would schedule another one when it is handled, for as long as the
    /// request is in flight.
    pub(super) fn schedule_wake(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let hedges = request.attempts.iter().filter(|attempt| attempt.is_open).map(|attempt| attempt.hedge_at);
        let retries = request.shards.iter().filter_map(|shard| shard.waiting).map(|waiting| waiting.retry_at);
        let answer_by = (!request.is_past_goal).then_some(request.answer_by);
        let probe = request.probe.map(|probe| probe.next_at());
        let due =
            hedges.chain(retries).chain(answer_by).chain(probe).min().unwrap_or(request.deadline).min(request.deadline);
        if request.wake_at.is_none_or(|at| due < at) {
            request.wake_at = Some(due);
            self.wakes.push(Reverse((due, key)));
        }
    }
}
