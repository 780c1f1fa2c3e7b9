//! Carries out first probes: holds the other shards back, sends them when any has answered, and logs alarms.
//!
//! [`crate::decision::first_probe`] says which requests, and why.

use super::waiting::Postponed;
use super::{ProbeStep, RoutingAction, RoutingEngine, SendReason, UnsentCause};
use crate::configuration::definition::RouteDefinition;
use crate::decision::first_probe::{self, FirstProbe};
use crate::keys::{ContentKey, RequestKey, RouteDigest};
use crate::state::request::Request;
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

/// Time between looks for alarms that are over: each goes through all routes. So that a line comes a second late at most.
const ALARM_LOOKS: Duration = Duration::from_secs(1);

/// The alarms that were logged last.
#[derive(Default)]
pub(super) struct AlarmLog {
    /// Routes on alarm.
    routes: Vec<Arc<str>>,
    logged_at: BootTime,
}

impl RoutingEngine {
    /// The probe of a request that is to be tried on one shard first.
    pub(super) fn new_probe(&self, now: BootTime, route: &RouteDefinition, content: ContentKey) -> Option<FirstProbe> {
        let is_needed = first_probe::is_needed(now, &self.settings.policy, &self.quarantine, &route.name, content);
        is_needed.then(|| FirstProbe::new(now))
    }

    /// Tells how a request of several shards begins while its route is on alarm.
    pub(super) fn note_probe_begun(&self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get(&key).filter(|request| request.shards.len() > 1) else {
            return;
        };
        if !self.quarantine.has_alarms() {
            return;
        }
        let alarm_age = self.quarantine.alarm_age(now, RouteDigest::of(&request.route().name));
        let step = alarm_age.map(|alarm_age| match request.probe {
            Some(_) => ProbeStep::Begun { alarm_age },
            None => ProbeStep::Needless { alarm_age },
        });
        actions.extend(step.map(|step| RoutingAction::Probe { request: key, step }));
    }

    /// The shard that a request is sent to first.
    pub(super) fn first_shard(&mut self, request: &Request) -> usize {
        match request.probe {
            Some(_) => first_probe::first_of(request.shards.len(), &mut self.random),
            None => 0,
        }
    }

    /// Whether a request may be sent to a shard as far as its first probe goes. Hedges wait: a second searcher of a shard that is silent would be
    /// one more that may end, and another shard's part is needed anyway.
    pub(super) fn is_held_by_probe(&self, now: BootTime, request: &Request, reason: SendReason) -> bool {
        let is_permitted =
            |probe: FirstProbe| reason != SendReason::Hedge && probe.may_send(now, request.open_attempts());
        request.probe.is_some_and(|probe| !is_permitted(probe))
    }

    /// Has a shard wait until any that was asked has answered, or its turn comes.
    pub(super) fn postpone_for_probe(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
    ) -> UnsentCause {
        let cause = UnsentCause::Probing;
        let shard = self.requests.get(&key).map(|request| &request.shards[shard_index]);
        if shard.is_some_and(|shard| shard.is_open() && shard.outstanding == 0) {
            self.begin_waiting(now, key, shard_index, Postponed { reason, cause, retry_at: None });
        }
        cause
    }

    /// Sends one more shard of a request that nobody has answered, if it is time or nobody is at work on it any more.
    pub(super) fn widen_probe(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let is_due = |probe: FirstProbe| probe.may_send(now, request.open_attempts());
        if !request.probe.is_some_and(is_due) {
            return;
        }
        let sent = request.attempts.len();
        for shard_index in shards_after_first(request) {
            self.send_waiting(now, key, shard_index, actions);
            let Some(request) = self.requests.get(&key) else {
                return;
            };
            if request.attempts.len() > sent {
                actions.push(RoutingAction::Probe { request: key, step: ProbeStep::Widened });
                return;
            }
        }
        if let Some(probe) = self.requests.get_mut(&key).and_then(|request| request.probe.as_mut()) {
            probe.put_off(now);
        }
    }

    /// A searcher has run the request and lived on: the other shards are sent now.
    pub(super) fn end_probe(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        if request.probe.take().is_none() {
            return;
        }
        actions.push(RoutingAction::Probe { request: key, step: ProbeStep::Answered });
        let waiting = request.shards.iter_mut().filter_map(|shard| shard.waiting.as_mut());
        waiting.for_each(|waiting| waiting.retry_at = now);
        self.retry_due(now, key, actions);
    }

    /// Logs alarms that are over, a second late at most.
    pub(super) fn log_ended_alarms(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        if !self.alarms.routes.is_empty() && now >= self.alarms.logged_at + ALARM_LOOKS {
            self.log_alarms(now, actions);
        }
    }

    /// Logs which routes' alarms were raised or are over since the last time.
    pub(super) fn log_alarms(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        self.alarms.logged_at = now;
        if !self.quarantine.has_alarms() && self.alarms.routes.is_empty() {
            return;
        }
        let Some(table) = self.table.clone() else {
            return;
        };
        let is_alarmed = |route: &&RouteDefinition| self.quarantine.is_alarmed(now, RouteDigest::of(&route.name));
        let routes = table.definition().routes.iter();
        let alarmed: Vec<Arc<str>> = routes.filter(is_alarmed).map(|route| route.name.clone()).collect();
        let raised = alarmed.iter().filter(|route| !self.alarms.routes.contains(route)).map(|route| (route, true));
        let over = self.alarms.routes.iter().filter(|route| !alarmed.contains(route)).map(|route| (route, false));
        let changes = raised.chain(over);
        actions.extend(changes.map(|(route, is_raised)| RoutingAction::Alarm { route: route.clone(), is_raised }));
        self.alarms.routes = alarmed;
    }

    /// Routes whose requests have ended searchers lately, as logged last.
    pub fn alarm_count(&self) -> usize {
        self.alarms.routes.len()
    }
}

/// Shards that wait, from the one after that which was sent first.
fn shards_after_first(request: &Request) -> Vec<usize> {
    let count = request.shards.len();
    let next = request.attempts.first().map_or(0, |first| first.shard as usize + 1);
    let in_turn = (next..count).chain(0..next.min(count));
    in_turn.filter(|index| request.shards[*index].waiting.is_some()).collect()
}
