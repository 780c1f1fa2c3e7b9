//! Sending attempts, and when more are to be sent.

use super::{ReportedAt, RoutingAction, RoutingEngine, SendOrder, SendReason, SentAttempt, UnsentCause};
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::first_probe::HARMLESS_WORK_FACTOR;
use crate::decision::placement::{Choice, choose};
use crate::decision::quarantine::Suspicion;
use crate::keys::{AttemptKey, RequestKey, SearcherKey};
use crate::state::request::{Attempt, Verdict};
use crate::state::searcher::OpenAttempt;
use staircross_types::{BootTime, ErrorKind};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// An attempt is overdue after the round trip and so many times the usual work.
const OVERDUE_FACTOR: f64 = 2.2;
/// A hedge isn't sent before the round trip and so many times the usual work.
const MIN_HEDGE_FACTOR: f64 = 1.5;
/// Parts of the unusually long time after which a hedge is sent, while all of the budget is left and while none is. What isn't spent
/// in a window is lost, so a full budget buys earlier hedges; a scarce one is kept for attempts that are surely late, and for repeats
/// of those that failed. Against the whole time whatever is left: 0.006 of a day's worth where goals are short, in each kind of day.
const HEDGE_DELAY_FACTORS: (f64, f64) = (0.5, 1.3);
/// Times the usual work that a hedge is taken to need.
const HEDGE_WORK_FACTOR: f64 = 2.0;
/// The final answer goes out so long before the deadline.
pub(super) const DEADLINE_GUARD: Duration = Duration::from_millis(10);
/// Wait for a connection: a constant and so many times the round trip.
const CONNECT_PATIENCE: Duration = Duration::from_millis(100);
const CONNECT_ROUND_TRIPS: u32 = 4;

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
        if let Some(until) = self.probed_until(now, key) {
            return Err(self.postpone_for_probe(now, key, shard_index, reason, until));
        }
        let Some(request) = self.requests.get(&key) else {
            return Err(UnsentCause::NobodyLeft);
        };
        let (table, route_index, tenant) = (request.table.clone(), request.route_index, request.tenant);
        let route = &table.definition().routes[route_index];
        let regions = AllowedRegions::new(route, tenant.and_then(|key| table.tenant(key)));
        let service = request.shards[shard_index].service.clone();
        let excluded = self.excluded(key, shard_index);
        let goal = Duration::from_millis(route.goal_ms);
        let usual_work = self.statistics(&route.name, goal).work.median();
        let candidates = self.by_service.get(&service).map_or(&[][..], Vec::as_slice);
        let choice = Choice { regions, excluded: &excluded, usual_work, goal };
        let chosen = choose(now, &choice, candidates, &self.searchers, &self.place, &mut self.random);
        let is_extra = matches!(reason, SendReason::Hedge | SendReason::Retry);
        let outcome = match chosen {
            None => Err(self.note_unplaced(now, key, shard_index, reason)),
            Some(_) if reason == SendReason::Hedge && self.is_pressed(now, key, &service) => Err(UnsentCause::Pressed),
            Some(_) if is_extra && !self.spend(now, &service) => Err(UnsentCause::OverBudget),
            Some(searcher) => Ok(searcher),
        };
        match outcome {
            Ok(searcher) => self.send(now, key, shard_index, searcher, reason, actions),
            Err(cause) => actions.push(RoutingAction::Unsent { request: key, service, reason, cause }),
        }
        outcome.map(|_| ())
    }

    fn spend(&mut self, now: BootTime, service: &Arc<str>) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        let is_within_budget = window.try_spend(now, &self.settings.extra, self.slack_share);
        if !is_within_budget {
            self.counters.over_budget += 1;
        }
        is_within_budget
    }

    fn send(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        searcher_key: SearcherKey,
        reason: SendReason,
        actions: &mut Vec<RoutingAction>,
    ) {
        let other_round_trip = self.longest_other_round_trip(now, key, searcher_key);
        let hedge_delay_factor = self.hedge_delay_factor(now, searcher_key);
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let route = &request.table.definition().routes[request.route_index];
        let searcher = &mut self.searchers[searcher_key.0 as usize];
        let round_trip = self.place.round_trip(&searcher.entry.zone);
        let (usual, late) = match self.routes.get(&route.name) {
            Some(statistics) => (statistics.work.median(), statistics.work.hedge_delay()),
            None => (Duration::ZERO, Duration::ZERO),
        };
        let attempt = AttemptKey { request: key, number: request.attempts.len() as u16 };
        let work = usual.mul_f64(searcher.slowness(now));
        let due_at = now + round_trip + work.mul_f64(OVERDUE_FACTOR);
        searcher.sent(now, OpenAttempt { attempt, sent_at: now, due_at });
        let shard = &mut request.shards[shard_index];
        shard.sent_to.push(searcher_key);
        shard.outstanding += 1;
        shard.tried.push(searcher_key);
        let times = HedgeTimes { round_trip, other_round_trip, usual, late: late.mul_f64(hedge_delay_factor) };
        let hedge_at = times.hedge_at(now, request.answer_by);
        let harmless_at = now + round_trip + work.mul_f64(HARMLESS_WORK_FACTOR);
        let shard = shard_index as u32;
        request.attempts.push(Attempt { shard, hedge_at, harmless_at, is_open: true, is_resolved: false });
        let sent = SentAttempt {
            searcher: searcher_key,
            route: route.name.clone(),
            sent_at: now,
            begun_at: now,
            group: request.group.clone(),
            content: request.content,
            is_request_answered: false,
        };
        self.sent.insert(attempt, sent);
        match reason {
            SendReason::First => self.counters.firsts += 1,
            SendReason::Hedge => self.counters.hedges += 1,
            SendReason::Retry => self.counters.retries += 1,
            SendReason::Reroute => self.counters.reroutes += 1,
        }
        actions.push(RoutingAction::Send(SendOrder {
            attempt,
            searcher: searcher_key,
            instance: searcher.entry.instance.clone(),
            identity: request.identity(),
            address: searcher.entry.address,
            distance: self.place.distance(&searcher.entry.zone),
            deadline: request.deadline + DEADLINE_GUARD,
            is_idempotent: route.is_idempotent,
            connect_patience: CONNECT_PATIENCE + round_trip * CONNECT_ROUND_TRIPS,
            reason,
            reported: searcher.reported().map(|(at, load)| ReportedAt { load, age: now.since(at) }),
        }));
    }

    /// Part of the unusually long time that a hedge for an attempt at a searcher waits, by what is left of its service's budget.
    fn hedge_delay_factor(&mut self, now: BootTime, searcher: SearcherKey) -> f64 {
        if !self.settings.policy.hedge_by_budget {
            return 1.0;
        }
        let service = &self.searchers[searcher.0 as usize].entry.service;
        let (bound, slack_share) = (&self.settings.extra, self.slack_share);
        let spare = self.windows.get_mut(service).map_or(1.0, |window| window.spare_fraction(now, bound, slack_share));
        let (least, most) = HEDGE_DELAY_FACTORS;
        most - (most - least) * spare
    }

    /// The round trip to the farthest other searcher that the same shard may be sent to: a hedge may have to go there.
    fn longest_other_round_trip(&self, now: BootTime, request: RequestKey, asked: SearcherKey) -> Duration {
        let Some(request) = self.requests.get(&request) else {
            return Duration::ZERO;
        };
        let service = &self.searchers[asked.0 as usize].entry.service;
        let others = self.askable(now, request.allowed_regions(), service).filter(|(peer, _)| *peer != asked);
        others.map(|(_, searcher)| self.place.round_trip(&searcher.entry.zone)).max().unwrap_or_default()
    }

    /// Sets the time at which the request needs attention next.
    pub(super) fn schedule(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let hedges = request.attempts.iter().filter(|attempt| attempt.is_open).map(|attempt| attempt.hedge_at);
        let retries = request.shards.iter().filter_map(|shard| shard.waiting).map(|waiting| waiting.retry_at);
        let answer_by = (!request.is_past_goal).then_some(request.answer_by);
        let due = hedges.chain(retries).chain(answer_by).min().unwrap_or(request.deadline).min(request.deadline);
        self.wakes.push(Reverse((due, key)));
    }
}

/// What the time of a hedge follows from.
struct HedgeTimes {
    /// To the searcher asked, and to the farthest other.
    round_trip: Duration,
    other_round_trip: Duration,
    /// Median of the route's work, and what is taken as too long.
    usual: Duration,
    late: Duration,
}

impl HedgeTimes {
    /// As late as still leaves time for another searcher's answer, but not later than is unusual.
    fn hedge_at(&self, now: BootTime, answer_by: BootTime) -> BootTime {
        let needed = self.other_round_trip + self.usual.mul_f64(HEDGE_WORK_FACTOR);
        let last_moment = answer_by - needed;
        let unusual = now + self.round_trip + self.late;
        let least = now + self.round_trip + self.usual.mul_f64(MIN_HEDGE_FACTOR);
        unusual.min(last_moment).max(least)
    }
}

pub(super) fn refused(kind: ErrorKind, detail: &'static str) -> Verdict {
    Verdict::Refused { kind, detail, retry_after: None }
}
