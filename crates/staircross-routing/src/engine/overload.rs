//! Admission control: measures how long sub-requests wait at searchers, and refuses requests while that is too long.
//!
//! This module owns the admission level, the wait and the tenants' shares of each service group, and the wait of each
//! service. The rules are in [`crate::decision::admission`] and [`crate::decision::fair_share`].

use super::{RoutingAction, RoutingEngine, SentAttempt};
use crate::configuration::definition::{RouteDefinition, RouteTarget};
use crate::configuration::rank::Rank;
use crate::configuration::table::RouteTable;
use crate::decision::admission::{Admission, AdmissionChange, Wait, tolerable_wait};
use crate::decision::fair_share::FairShares;
use crate::decision::goal::usable_goal;
use crate::keys::RequestKey;
use crate::state::request::{AttemptOutcome, CallerLink, NotRun};
use rand::Rng;
use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Admission state of the services that a route asks together. A group has the name of its first service.
#[derive(Debug)]
pub(super) struct ServiceGroup {
    admission: Admission,
    wait: Wait,
    /// Index of the most urgent route of the group.
    route_index: usize,
    /// Most and least urgent priority of the group's routes; smaller numbers are more urgent.
    priorities: (u32, u32),
    /// Tenants' shares of the admitted requests, by rank.
    shares: BTreeMap<Rank, FairShares>,
}

impl ServiceGroup {
    fn new(route_index: usize, route: &RouteDefinition) -> Self {
        let wait = Wait::at_group(fan_out(route));
        ServiceGroup {
            admission: Admission::default(),
            wait,
            route_index,
            priorities: (route.priority, route.priority),
            shares: BTreeMap::new(),
        }
    }
}

impl RoutingEngine {
    /// Adapts the groups and waits to a new configuration: drops those that it doesn't name and adds new groups
    /// without limits.
    pub(super) fn set_groups(&mut self, table: &RouteTable) {
        let mut known = std::mem::take(&mut self.groups);
        for (route_index, route) in table.definition().routes.iter().enumerate() {
            for service in group_names(route) {
                let priorities = (route.priority, route.priority);
                let group = self.groups.entry(service.clone()).or_insert_with(|| match known.remove(service) {
                    Some(group) => ServiceGroup { route_index, priorities, ..group },
                    None => ServiceGroup::new(route_index, route),
                });
                let (most_urgent, least_urgent) = group.priorities;
                if route.priority < most_urgent {
                    group.route_index = route_index;
                }
                group.priorities = (most_urgent.min(route.priority), least_urgent.max(route.priority));
            }
        }
        let ranks = table.ranks();
        self.groups.values_mut().for_each(|group| group.shares.retain(|rank, _| ranks.contains(rank)));
        self.service_waits.retain(|service, _| self.services.contains_key(service));
    }

    /// Draws at random whether a request is refused because requests wait too long. Returns `None` if it is admitted,
    /// and otherwise the fraction of its tenant's requests at its rank that is admitted at present. `tenant` is `None`
    /// for requests without one.
    pub(super) fn draw_refusal(
        &mut self,
        now: BootTime,
        group: &Arc<str>,
        rank: Rank,
        tenant: Option<&Arc<str>>,
    ) -> Option<f64> {
        let is_enabled = self.settings.policy.admission;
        let group = self.groups.get_mut(group).filter(|_| is_enabled)?;
        let shares = group.shares.entry(rank).or_default();
        shares.count(now, tenant);
        if !group.admission.is_limiting() {
            return None;
        }
        let (most_urgent, least_urgent) = group.priorities;
        let level = group.admission.admitted_fraction(rank.steps(most_urgent..=least_urgent));
        let fraction = shares.admitted_fraction(now, tenant, level);
        if self.random.random_bool(fraction) {
            return None;
        }
        self.counters.not_admitted += 1;
        Some(fraction)
    }

    /// Returns whether sub-requests wait so long at a service that a hedge would only add to its load.
    pub(super) fn is_queue_too_long(&self, now: BootTime, key: RequestKey, service: &Arc<str>) -> bool {
        let Some(request) = self.requests.get(&key).filter(|_| self.settings.policy.hedge_pressure) else {
            return false;
        };
        let wait = self.service_waits.get(service).map_or(Duration::ZERO, |wait| wait.get(now));
        wait > self.tolerable_wait_for(request.route(), request.shards.len())
    }

    /// Returns the wait with which a request of a route still meets its goal.
    fn tolerable_wait_for(&self, route: &RouteDefinition, fan_out: usize) -> Duration {
        let goal = usable_goal(route, &CallerLink::default());
        let measured = self.routes.get(&route.name).and_then(|statistics| statistics.usual_work.get());
        tolerable_wait(goal, measured.unwrap_or(goal / super::INITIAL_WORK_DIVISOR), fan_out)
    }

    /// Records the wait that an attempt's end shows, and updates the group's admission level when that is due.
    pub(super) fn record_wait(
        &mut self,
        now: BootTime,
        sent: &SentAttempt,
        outcome: &AttemptOutcome,
        actions: &mut Vec<RoutingAction>,
    ) {
        let entry = &self.searchers[sent.searcher.0 as usize].entry;
        let worked = now.since(sent.begun_at).saturating_sub(self.placement.round_trip(&entry.zone));
        let service = entry.service.clone();
        match outcome {
            AttemptOutcome::Answered(answer) if answer.status < 500 => self.record_work(now, sent, &service, worked),
            AttemptOutcome::NotRun(NotRun::Shed) => {
                self.service_waits.entry(service).or_insert_with(Wait::at_service).record_shed(now);
            }
            AttemptOutcome::Answered(_)
            | AttemptOutcome::NotRun(_)
            | AttemptOutcome::Unknown(_)
            | AttemptOutcome::Cancelled => return,
        }
        if let Some(change) = self.update_admission(now, &sent.group) {
            actions.push(RoutingAction::Admission { group: sent.group.clone(), change });
        }
    }

    /// Records the work of an answered attempt, and counts as wait what exceeds the route's usual work.
    fn record_work(&mut self, now: BootTime, sent: &SentAttempt, service: &Arc<str>, worked: Duration) {
        let Some(statistics) = self.routes.get_mut(&sent.route) else {
            return;
        };
        let group = self.groups.get_mut(&sent.group);
        let level = group.as_ref().map_or(1.0, |group| group.admission.level());
        statistics.usual_work.record(now, worked, level);
        let Some(usual) = statistics.usual_work.get() else {
            return;
        };
        let waited = worked.saturating_sub(usual);
        self.service_waits.entry(service.clone()).or_insert_with(Wait::at_service).record(now, waited);
        if let Some(group) = group {
            group.wait.record(now, waited);
        }
    }

    /// Updates the admission level of a group by its wait, if that is due. Returns the change of the level.
    fn update_admission(&mut self, now: BootTime, name: &Arc<str>) -> Option<AdmissionChange> {
        let table = self.table.clone()?;
        let group = self.groups.get(name).filter(|group| group.admission.is_due(now))?;
        let route = &table.definition().routes[group.route_index];
        let wait = group.wait.for_admission(now)?;
        let tolerable = self.tolerable_wait_for(route, fan_out(route));
        self.groups.get_mut(name)?.admission.evaluate(now, wait, tolerable)
    }
}

/// Returns the number of services that one request of a route asks.
fn fan_out(route: &RouteDefinition) -> usize {
    match &route.target {
        RouteTarget::Gather(gather) => gather.shards.len(),
        RouteTarget::Service(_) | RouteTarget::Weighted(_) => 1,
    }
}

/// Returns the services after which the groups of a route are named.
fn group_names(route: &RouteDefinition) -> impl Iterator<Item = &Arc<str>> {
    let (one, set) = match &route.target {
        RouteTarget::Service(service) => (Some(service), &[][..]),
        RouteTarget::Gather(gather) => (gather.shards.first(), &[][..]),
        RouteTarget::Weighted(set) => (None, set.as_slice()),
    };
    one.into_iter().chain(set.iter().map(|entry| &entry.service))
}
