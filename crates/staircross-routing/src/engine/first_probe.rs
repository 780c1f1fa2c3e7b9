//! Carries out first probes: while the alarm of a route is raised because its requests have crashed searchers lately,
//! sends one shard of a request first, holds the others back until any has answered, and logs alarms.
//!
//! [`crate::decision::first_probe`] decides which requests are probed, and says why.

use super::waiting::PostponedSend;
use super::{ProbeStep, RoutingAction, RoutingEngine, SendReason, UnsentCause};
use crate::configuration::definition::RouteDefinition;
use crate::decision::first_probe::{self, FirstProbe};
use crate::keys::{ContentKey, RequestKey, RouteDigest};
use crate::state::request::Request;
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

/// Time between two checks for alarms that are over, since each check goes through all routes. The end of an alarm is
/// logged at most this much late.
const ALARM_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The raised alarms that were logged last, by route, and the time of that check.
#[derive(Default)]
pub(super) struct LoggedAlarms {
    /// Routes whose alarm is raised.
    routes: Vec<Arc<str>>,
    checked_at: BootTime,
}

impl RoutingEngine {
    /// Returns the probe of a request that must be sent to one shard first; `None` for other requests.
    pub(super) fn new_probe(&self, now: BootTime, route: &RouteDefinition, content: ContentKey) -> Option<FirstProbe> {
        let is_needed = first_probe::is_needed(now, &self.settings.policy, &self.quarantine, &route.name, content);
        is_needed.then(|| FirstProbe::new(now))
    }

    /// Logs whether a request of several shards starts with a probe, if the alarm of its route is raised.
    pub(super) fn log_probe_start(&self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
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

    /// Returns the shard that a request is sent to first: a random one for a probe.
    pub(super) fn choose_first_shard(&mut self, request: &Request) -> usize {
        match request.probe {
            Some(_) => first_probe::choose_first_shard(request.shards.len(), &mut self.random),
            None => 0,
        }
    }

    /// Returns whether a request's first probe keeps it from being sent to a further searcher. Hedges are always held
    /// back: a hedge would risk a second searcher of a silent shard, while another shard's answer is needed anyway.
    pub(super) fn is_blocked_by_probe(&self, now: BootTime, request: &Request, reason: SendReason) -> bool {
        let is_permitted =
            |probe: FirstProbe| reason != SendReason::Hedge && probe.may_send(now, request.open_attempts());
        request.probe.is_some_and(|probe| !is_permitted(probe))
    }

    /// Queues a shard until another shard has answered, or until the probe is extended to this shard.
    pub(super) fn postpone_for_probe(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
    ) -> UnsentCause {
        let cause = UnsentCause::Probing;
        let shard = self.requests.get(&key).map(|request| &request.shards[shard_index]);
        if shard.is_some_and(|shard| shard.is_open() && shard.open_attempts == 0) {
            self.begin_waiting(now, key, shard_index, PostponedSend { reason, cause, retry_at: None });
        }
        cause
    }

    /// Sends one more shard of a probed request that no shard has answered, if the probe's time has come or no
    /// attempt is open.
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
            self.send_waiting_shard(now, key, shard_index, actions);
            let Some(request) = self.requests.get(&key) else {
                return;
            };
            if request.attempts.len() > sent {
                actions.push(RoutingAction::Probe { request: key, step: ProbeStep::Widened });
                return;
            }
        }
        if let Some(probe) = self.requests.get_mut(&key).and_then(|request| request.probe.as_mut()) {
            probe.postpone(now);
        }
    }

    /// Ends the probe of a request that a searcher has run and survived, and sends the other shards.
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
        self.retry_due_shards(now, key, actions);
    }

    /// Logs alarms that are over, at most [`ALARM_CHECK_INTERVAL`] late.
    pub(super) fn log_ended_alarms(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        if !self.logged_alarms.routes.is_empty() && now >= self.logged_alarms.checked_at + ALARM_CHECK_INTERVAL {
            self.log_alarms(now, actions);
        }
    }

    /// Logs the routes whose alarms were raised or have ended since the last call.
    pub(super) fn log_alarms(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        self.logged_alarms.checked_at = now;
        if !self.quarantine.has_alarms() && self.logged_alarms.routes.is_empty() {
            return;
        }
        let Some(table) = self.table.clone() else {
            return;
        };
        let is_alarmed = |route: &&RouteDefinition| self.quarantine.is_alarmed(now, RouteDigest::of(&route.name));
        let routes = table.definition().routes.iter();
        let alarmed: Vec<Arc<str>> = routes.filter(is_alarmed).map(|route| route.name.clone()).collect();
        let raised =
            alarmed.iter().filter(|route| !self.logged_alarms.routes.contains(route)).map(|route| (route, true));
        let over =
            self.logged_alarms.routes.iter().filter(|route| !alarmed.contains(route)).map(|route| (route, false));
        let changes = raised.chain(over);
        actions.extend(changes.map(|(route, is_raised)| RoutingAction::Alarm { route: route.clone(), is_raised }));
        self.logged_alarms.routes = alarmed;
    }

    /// Returns the number of routes whose alarm is raised, as logged last.
    pub fn alarm_count(&self) -> usize {
        self.logged_alarms.routes.len()
    }
}

/// Returns the waiting shards, in cyclic order from the one after the shard that was sent first.
fn shards_after_first(request: &Request) -> Vec<usize> {
    let count = request.shards.len();
    let next = request.attempts.first().map_or(0, |first| first.shard as usize + 1);
    let in_cyclic_order = (next..count).chain(0..next.min(count));
    in_cyclic_order.filter(|index| request.shards[*index].waiting.is_some()).collect()
}
