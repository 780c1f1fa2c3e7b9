//! Carries waits to admission, and refuses what admission doesn't take.
//!
//! Owns, for each group of services that are asked together, its level, its wait and its tenants' shares; and the wait of each service. The rules
//! are [`crate::decision::admission`] and [`crate::decision::fair_share`].

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

/// Services that are asked together; named by the first of them.
#[derive(Debug)]
pub(super) struct ServiceGroup {
    admission: Admission,
    wait: Wait,
    /// Index of the most urgent route that asks them.
    route_index: usize,
    /// The most and the least urgent priority of the routes that ask them.
    priorities: (u32, u32),
    /// Tenants' shares of what is taken, by rank.
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
    /// Follows a configuration: groups and services that it doesn't name are forgotten, new ones begin without limits.
    pub(super) fn set_groups(&mut self, table: &RouteTable) {
        let mut known = std::mem::take(&mut self.groups);
        for (route_index, route) in table.definition().routes.iter().enumerate() {
            for service in first_services(route) {
                let priorities = (route.priority, route.priority);
                let group = self.groups.entry(service.clone()).or_insert_with(|| match known.remove(service) {
                    Some(group) => ServiceGroup { route_index, priorities, ..group },
                    None => ServiceGroup::new(route_index, route),
                });
                let (first, last) = group.priorities;
                if route.priority < first {
                    group.route_index = route_index;
                }
                group.priorities = (first.min(route.priority), last.max(route.priority));
            }
        }
        let ranks = table.ranks();
        self.groups.values_mut().for_each(|group| group.shares.retain(|rank, _| ranks.contains(rank)));
        self.waits.retain(|service, _| self.services.contains_key(service));
    }

    /// Whether a request is refused because too much waits: then, the fraction of its tenant's requests at its rank that is taken now.
    /// `tenant` is `None` where no tenant is known.
    pub(super) fn refusing_fraction(
        &mut self,
        now: BootTime,
        group: &Arc<str>,
        rank: Rank,
        tenant: Option<&Arc<str>>,
    ) -> Option<f64> {
        let is_on = self.settings.policy.admission;
        let group = self.groups.get_mut(group).filter(|_| is_on)?;
        let shares = group.shares.entry(rank).or_default();
        shares.count(now, tenant);
        if !group.admission.is_limiting() {
            return None;
        }
        let (first, last) = group.priorities;
        let level = group.admission.admitted_fraction(rank.steps(first..=last));
        let fraction = shares.admitted_fraction(now, tenant, level);
        if self.random.random_bool(fraction) {
            return None;
        }
        self.counters.not_admitted += 1;
        Some(fraction)
    }

    /// Whether so much waits at a service that asking another of its searchers helps nobody.
    pub(super) fn is_pressed(&self, now: BootTime, key: RequestKey, service: &Arc<str>) -> bool {
        let Some(request) = self.requests.get(&key).filter(|_| self.settings.policy.hedge_pressure) else {
            return false;
        };
        let wait = self.waits.get(service).map_or(Duration::ZERO, |wait| wait.get(now));
        wait > self.tolerable_for(request.route(), request.shards.len())
    }

    fn tolerable_for(&self, route: &RouteDefinition, fan_out: usize) -> Duration {
        let goal = usable_goal(route, &CallerLink::default());
        let measured = self.routes.get(&route.name).and_then(|statistics| statistics.usual.get());
        tolerable_wait(goal, measured.unwrap_or(goal / super::WORK_FRACTION_OF_GOAL), fan_out)
    }

    /// Learns from an attempt's end how much waits, and judges from time to time.
    pub(super) fn note_wait(
        &mut self,
        now: BootTime,
        sent: &SentAttempt,
        outcome: &AttemptOutcome,
        actions: &mut Vec<RoutingAction>,
    ) {
        let entry = &self.searchers[sent.searcher.0 as usize].entry;
        let worked = now.since(sent.begun_at).saturating_sub(self.place.round_trip(&entry.zone));
        let service = entry.service.clone();
        match outcome {
            AttemptOutcome::Answered(answer) if answer.status < 500 => self.note_worked(now, sent, &service, worked),
            AttemptOutcome::NotRun(NotRun::Shed) => {
                self.waits.entry(service).or_insert_with(Wait::at_service).record_shed(now);
            }
            AttemptOutcome::Answered(_)
            | AttemptOutcome::NotRun(_)
            | AttemptOutcome::Unknown(_)
            | AttemptOutcome::Cancelled => return,
        }
        if let Some(change) = self.judge(now, &sent.group) {
            actions.push(RoutingAction::Admission { group: sent.group.clone(), change });
        }
    }

    fn note_worked(&mut self, now: BootTime, sent: &SentAttempt, service: &Arc<str>, worked: Duration) {
        let Some(statistics) = self.routes.get_mut(&sent.route) else {
            return;
        };
        let group = self.groups.get_mut(&sent.group);
        let level = group.as_ref().map_or(1.0, |group| group.admission.level());
        statistics.usual.record(now, worked, level);
        let Some(usual) = statistics.usual.get() else {
            return;
        };
        let waited = worked.saturating_sub(usual);
        self.waits.entry(service.clone()).or_insert_with(Wait::at_service).record(now, waited);
        if let Some(group) = group {
            group.wait.record(now, waited);
        }
    }

    fn judge(&mut self, now: BootTime, name: &Arc<str>) -> Option<AdmissionChange> {
        let table = self.table.clone()?;
        let group = self.groups.get(name).filter(|group| group.admission.is_due(now))?;
        let route = &table.definition().routes[group.route_index];
        let wait = group.wait.for_admission(now)?;
        let tolerable = self.tolerable_for(route, fan_out(route));
        self.groups.get_mut(name)?.admission.evaluate(now, wait, tolerable)
    }
}

/// Services that one request of a route asks.
fn fan_out(route: &RouteDefinition) -> usize {
    match &route.target {
        RouteTarget::Gather(gather) => gather.shards.len(),
        RouteTarget::Service(_) | RouteTarget::Weighted(_) => 1,
    }
}

/// The services that name the groups of a route.
fn first_services(route: &RouteDefinition) -> impl Iterator<Item = &Arc<str>> {
    let (one, set) = match &route.target {
        RouteTarget::Service(service) => (Some(service), &[][..]),
        RouteTarget::Gather(gather) => (gather.shards.first(), &[][..]),
        RouteTarget::Weighted(set) => (None, set.as_slice()),
    };
    one.into_iter().chain(set.iter().map(|entry| &entry.service))
}
