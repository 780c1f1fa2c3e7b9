//! Sending attempts: asks the rules whether, to whom and how late a hedge may follow, and notes what was sent.
//!
//! Owns no state of its own. Relies on [`crate::decision::placement`], [`crate::decision::hedging`] and [`crate::decision::extra_budget`]. What can't be sent
//! now is left waiting by `waiting`, or given up.

use super::{ReportedAt, RoutingAction, RoutingEngine, SendOrder, SendReason, SentAttempt, UnsentCause};
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::extra_budget::is_paid;
use crate::decision::giving_up::DEADLINE_GUARD;
use crate::decision::hedging::{HedgeTimes, hedge_delay_factor};
use crate::decision::placement::{Choice, choose};
use crate::decision::quarantine::Suspicion;
use crate::keys::{AttemptKey, RequestKey, SearcherKey};
use crate::state::request::{Attempt, Request};
use crate::state::searcher::OpenAttempt;
use staircross_types::BootTime;
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// An attempt is overdue after the round trip and so many times the usual work of its searcher: later than the earliest hedge.
const OVERDUE_FACTOR: f64 = 2.2;
/// Wait for a connection, the round trips besides. For a searcher's process that gets no turn for a while.
const CONNECT_PATIENCE: Duration = Duration::from_millis(100);
/// Round trips that a connection may take besides. For one that connects at its second try.
const CONNECT_ROUND_TRIPS: u32 = 4;

/// One attempt that is about to be made.
#[derive(Clone, Copy)]
struct Sending {
    request: RequestKey,
    shard_index: usize,
    searcher: SearcherKey,
    reason: SendReason,
}

impl RoutingEngine {
    /// Sends one more attempt for a shard, or says why not.
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
            return Err(UnsentCause::NobodyLeft);
        };
        let service = request.shards[shard_index].service.clone();
        let outcome = match self.choose_searcher(now, key, shard_index, &service) {
            None => Err(self.note_unplaced(now, key, shard_index, reason)),
            Some(searcher) => self.check_extra(now, key, &service, reason).map(|()| searcher),
        };
        match outcome {
            Ok(searcher) => self.send(now, Sending { request: key, shard_index, searcher, reason }, actions),
            Err(cause) => actions.push(RoutingAction::Unsent { request: key, service, reason, cause }),
        }
        outcome.map(|_| ())
    }

    /// Whether a request may be sent to anybody at present; a shard that may be later waits.
    fn check_sendable(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
        actions: &mut Vec<RoutingAction>,
    ) -> Result<(), UnsentCause> {
        let Some(request) = self.requests.get(&key) else {
            return Err(UnsentCause::NobodyLeft);
        };
        if request.is_key_revoked {
            return Err(Self::note_unsent_revoked(key, request, shard_index, reason, actions));
        }
        if self.suspicion(now, request.content) == Suspicion::Quarantined {
            return Err(UnsentCause::Quarantined);
        }
        if self.waits_for_trial(now, request) {
            return Err(self.postpone_suspect(now, key, shard_index, reason, actions));
        }
        match self.is_held_by_probe(now, request, reason) {
            true => Err(self.postpone_for_probe(now, key, shard_index, reason)),
            false => Ok(()),
        }
    }

    /// The searcher that a shard is sent to; `None` when none can be asked now.
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
        let excluded = self.excluded(key, shard_index);
        let goal = Duration::from_millis(route.goal_ms);
        let usual_work = self.statistics(&route.name, goal).work.median();
        let candidates = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let choice = Choice { regions, excluded: &excluded, usual_work, goal };
        choose(now, &choice, candidates, &self.searchers, &self.place, &mut self.random)
    }

    /// Whether an attempt beyond the needed may be made; one that may is paid from the budget.
    fn check_extra(
        &mut self,
        now: BootTime,
        key: RequestKey,
        service: &Arc<str>,
        reason: SendReason,
    ) -> Result<(), UnsentCause> {
        if reason == SendReason::Hedge && self.is_pressed(now, key, service) {
            return Err(UnsentCause::Pressed);
        }
        match !is_paid(reason) || self.spend(now, service) {
            true => Ok(()),
            false => Err(UnsentCause::OverBudget),
        }
    }

    fn spend(&mut self, now: BootTime, service: &Arc<str>) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        let is_within_budget = window.try_spend(now, &self.settings.extra, self.slack_share);
        if !is_within_budget {
            self.counters.over_budget += 1;
        }
        is_within_budget
    }

    fn send(&mut self, now: BootTime, sending: Sending, actions: &mut Vec<RoutingAction>) {
        let Some(attempt) = self.begin_attempt(now, sending) else {
            return;
        };
        match sending.reason {
            SendReason::First => self.counters.firsts += 1,
            SendReason::Hedge => self.counters.hedges += 1,
            SendReason::Retry => self.counters.retries += 1,
            SendReason::Reroute => self.counters.reroutes += 1,
        }
        actions.extend(self.send_order(now, sending, attempt).map(RoutingAction::Send));
    }

    /// Notes an attempt with its request and its searcher.
    fn begin_attempt(&mut self, now: BootTime, sending: Sending) -> Option<AttemptKey> {
        let times = self.hedge_times(now, sending)?;
        let request = self.requests.get_mut(&sending.request)?;
        let searcher = &mut self.searchers[sending.searcher.0 as usize];
        let attempt = AttemptKey { request: sending.request, number: request.attempts.len() as u16 };
        let work = times.usual.mul_f64(searcher.slowness(now));
        let due_at = now + times.round_trip + work.mul_f64(OVERDUE_FACTOR);
        searcher.note_sent(now, OpenAttempt { attempt, sent_at: now, due_at });
        let shard = &mut request.shards[sending.shard_index];
        shard.sent_to.push(sending.searcher);
        shard.outstanding += 1;
        shard.tried.push(sending.searcher);
        let hedge_at = times.hedge_at(now, request.answer_by);
        let at_work = request.open_attempts();
        if let Some(probe) = &mut request.probe {
            probe.note_sent(now, times.round_trip, work, at_work);
        }
        let shard = sending.shard_index as u32;
        request.attempts.push(Attempt { shard, hedge_at, is_open: true, is_resolved: false });
        let sent = SentAttempt {
            searcher: sending.searcher,
            route: request.route().name.clone(),
            sent_at: now,
            begun_at: now,
            group: request.group.clone(),
            content: request.content,
            is_request_answered: false,
        };
        self.sent.insert(attempt, sent);
        Some(attempt)
    }

    fn send_order(&self, now: BootTime, sending: Sending, attempt: AttemptKey) -> Option<SendOrder> {
        let request = self.requests.get(&sending.request)?;
        let searcher = &self.searchers[sending.searcher.0 as usize];
        let round_trip = self.place.round_trip(&searcher.entry.zone);
        Some(SendOrder {
            attempt,
            searcher: sending.searcher,
            instance: searcher.entry.instance.clone(),
            identity: request.identity(),
            address: searcher.entry.address,
            distance: self.place.distance(&searcher.entry.zone),
            deadline: request.deadline + DEADLINE_GUARD,
            is_idempotent: request.route().is_idempotent,
            connect_patience: CONNECT_PATIENCE + round_trip * CONNECT_ROUND_TRIPS,
            reason: sending.reason,
            reported: searcher.reported().map(|(at, load)| ReportedAt { load, age: now.since(at) }),
        })
    }

    fn hedge_times(&mut self, now: BootTime, sending: Sending) -> Option<HedgeTimes> {
        let delay_factor = hedge_delay_factor(self.spare_fraction(now, sending.searcher));
        let request = self.requests.get(&sending.request)?;
        let other_round_trip = self.longest_other_round_trip(now, request, sending.searcher);
        let round_trip = self.place.round_trip(&self.searchers[sending.searcher.0 as usize].entry.zone);
        let (usual, late) = match self.routes.get(&request.route().name) {
            Some(statistics) => (statistics.work.median(), statistics.work.hedge_delay()),
            None => (Duration::ZERO, Duration::ZERO),
        };
        Some(HedgeTimes { round_trip, other_round_trip, usual, late, delay_factor })
    }

    /// Fraction of the budget of a searcher's service that isn't spent; `None` where hedges don't go by it.
    fn spare_fraction(&mut self, now: BootTime, searcher: SearcherKey) -> Option<f64> {
        if !self.settings.policy.hedge_by_budget {
            return None;
        }
        let service = &self.searchers[searcher.0 as usize].entry.service;
        let (bound, slack_share) = (&self.settings.extra, self.slack_share);
        Some(self.windows.get_mut(service).map_or(1.0, |window| window.spare_fraction(now, bound, slack_share)))
    }

    /// The round trip to the farthest other searcher that the same shard may be sent to: a hedge may have to go there.
    fn longest_other_round_trip(&self, now: BootTime, request: &Request, asked: SearcherKey) -> Duration {
        let service = &self.searchers[asked.0 as usize].entry.service;
        let others = self.askable(now, request.allowed_regions(), service).filter(|(peer, _)| *peer != asked);
        others.map(|(_, searcher)| self.place.round_trip(&searcher.entry.zone)).max().unwrap_or_default()
    }

    /// Sets the time at which the request needs attention next. One look is enough, since it schedules the next: a second one would go on beside it
    /// for as long as the request lives.
    pub(super) fn schedule(&mut self, key: RequestKey) {
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
