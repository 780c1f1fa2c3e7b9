//! Carries out first probes: holds the other shards back, sends them when the first has answered, and logs alarms.
//!
//! [`crate::decision::first_probe`] says which requests, and why.

use super::waiting::Postponed;
use super::{ProbeStep, RoutingAction, RoutingEngine, SendReason, UnsentCause};
use crate::configuration::definition::RouteDefinition;
use crate::decision::first_probe;
use crate::keys::{ContentKey, RequestKey, RouteDigest};
use crate::state::request::{Request, Waiting};
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

/// Time between looks for alarms that are over: each goes through all routes. Not measured; chosen so that a line comes a second late at most.
const ALARM_LOOKS: Duration = Duration::from_secs(1);

/// The alarms that were logged last.
#[derive(Default)]
pub(super) struct AlarmLog {
    /// Routes on alarm.
    routes: Vec<Arc<str>>,
    logged_at: BootTime,
}

impl RoutingEngine {
    /// Whether a request is to be tried on one shard first.
    pub(super) fn is_to_be_probed(&self, now: BootTime, route: &RouteDefinition, content: ContentKey) -> bool {
        first_probe::is_needed(now, &self.settings.policy, &self.quarantine, &route.name, content)
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
        let step = alarm_age.map(|alarm_age| match request.is_probing {
            true => ProbeStep::Begun { alarm_age },
            false => ProbeStep::Needless { alarm_age },
        });
        actions.extend(step.map(|step| RoutingAction::Probe { request: key, step }));
    }

    /// The shard that a request is sent to first.
    pub(super) fn first_shard(&mut self, request: &Request) -> usize {
        match request.is_probing {
            true => first_probe::first_of(request.shards.len(), &mut self.random),
            false => 0,
        }
    }

    /// When the other shards of a request may be sent at the latest; `None` when they may be sent now.
    pub(super) fn probed_until(
        &mut self,
        now: BootTime,
        key: RequestKey,
        actions: &mut Vec<RoutingAction>,
    ) -> Option<BootTime> {
        let request = self.requests.get_mut(&key).filter(|request| request.is_probing)?;
        let probe = request.attempts.iter().find(|attempt| attempt.is_open)?;
        let until = probe.harmless_at;
        request.is_probing = now < until;
        if !request.is_probing {
            actions.push(RoutingAction::Probe { request: key, step: ProbeStep::Silent });
        }
        request.is_probing.then_some(until)
    }

    /// Has a shard wait for the end of the one that was asked first.
    pub(super) fn postpone_for_probe(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
        until: BootTime,
    ) -> UnsentCause {
        let cause = UnsentCause::Probing;
        let shard = self.requests.get(&key).map(|request| &request.shards[shard_index]);
        if shard.is_some_and(|shard| shard.is_open() && shard.outstanding == 0) {
            self.begin_waiting(now, key, shard_index, Postponed { reason, cause, retry_at: Some(until) });
        }
        cause
    }

    /// The shard asked first has answered: the others are sent now.
    pub(super) fn end_probe(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get_mut(&key).filter(|request| request.is_probing) else {
            return;
        };
        request.is_probing = false;
        actions.push(RoutingAction::Probe { request: key, step: ProbeStep::Answered });
        for shard in &mut request.shards {
            if let Some(Waiting { reason: SendReason::First, retry_at }) = &mut shard.waiting {
                *retry_at = now;
            }
        }
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
