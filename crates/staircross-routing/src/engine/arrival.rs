//! A request from its arrival to its first attempts.
//!
//! A request that comes before this node knows what it needs (a configuration, or who serves) is held for a moment: the
//! first read of the store takes tens of milliseconds after a start, and a caller who is refused asks only once more.

use super::dispatch::{DEADLINE_GUARD, refused};
use super::{HoldCause, RoutingAction, RoutingEngine, SendReason};
use crate::configuration::definition::{RouteDefinition, RouteTarget};
use crate::configuration::table::RouteTable;
use crate::configuration::tenants::{Credential, KeyRefusal};
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::goal::usable_goal;
use crate::decision::quarantine::Suspicion;
use crate::keys::{RequestKey, TenantKey};
use crate::state::request::{Arrival, CallerLink, ConfigurationView, Request, Shard, Verdict};
use staircross_types::{BootTime, ErrorKind};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// Longest hold: a few reads of a store that answers slowly.
const LONGEST_HOLD: Duration = Duration::from_millis(500);
/// Part of a caller's patience that a hold may take, so that a refused one has time to ask another node.
const HOLD_DIVISOR: u32 = 4;
/// Requests held at once; those beyond are refused.
const MAX_HELD: usize = 512;

/// A request that waits until this node knows what it needs.
#[derive(Debug)]
pub(super) struct HeldRequest {
    arrival: Arrival,
    held_at: BootTime,
    until: BootTime,
}

/// Why a request isn't begun.
enum NotBegun {
    /// It can't be, or not by this node.
    Refused(Verdict),
    /// What it needs may be known in a moment; otherwise the verdict holds.
    Unprepared(HoldCause, Verdict),
}

impl HeldRequest {
    fn new(now: BootTime, arrival: Arrival) -> Self {
        let fraction = arrival.patience.map_or(LONGEST_HOLD, |patience| patience / HOLD_DIVISOR);
        HeldRequest { arrival, held_at: now, until: now + fraction.min(LONGEST_HOLD) }
    }

    /// The arrival as if it came now. Once its hold is over, a request is judged by what is known.
    fn arrival(&self, now: BootTime) -> Arrival {
        let view = match self.arrival.view {
            ConfigurationView::Doubtful if now >= self.until => ConfigurationView::Current,
            view => view,
        };
        Arrival { view, waited: self.arrival.waited + now.since(self.held_at), ..self.arrival.clone() }
    }
}

impl RoutingEngine {
    /// Takes a request that has just arrived.
    pub(super) fn admit(&mut self, now: BootTime, arrival: Arrival, actions: &mut Vec<RoutingAction>) {
        match self.begin(now, &arrival, actions) {
            Ok(request) => self.send_all(now, arrival.key, request, actions),
            Err(NotBegun::Unprepared(cause, _)) if self.may_hold() => self.hold(now, arrival, cause, actions),
            Err(NotBegun::Refused(verdict) | NotBegun::Unprepared(_, verdict)) => {
                actions.push(RoutingAction::Finish { request: arrival.key, verdict });
            }
        }
    }

    fn may_hold(&self) -> bool {
        self.settings.policy.holds && self.held.len() < MAX_HELD
    }

    fn hold(&mut self, now: BootTime, arrival: Arrival, cause: HoldCause, actions: &mut Vec<RoutingAction>) {
        let key = arrival.key;
        let held = HeldRequest::new(now, arrival);
        self.wakes.push(Reverse((held.until, key)));
        self.held.push(held);
        actions.push(RoutingAction::Held { request: key, cause });
    }

    /// Begins the requests that were held for what is known now.
    pub(super) fn begin_held(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        for held in std::mem::take(&mut self.held) {
            self.begin_or_keep(now, held, actions);
        }
    }

    /// Ends the hold of a request whose time is over.
    pub(super) fn end_hold(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let due = self.held.iter().position(|held| held.arrival.key == key && held.until <= now);
        if let Some(index) = due {
            let held = self.held.remove(index);
            self.begin_or_keep(now, held, actions);
        }
    }

    /// Drops a held request whose caller has left.
    pub(super) fn forget_held(&mut self, key: RequestKey) {
        self.held.retain(|held| held.arrival.key != key);
    }

    fn begin_or_keep(&mut self, now: BootTime, held: HeldRequest, actions: &mut Vec<RoutingAction>) {
        let arrival = held.arrival(now);
        match self.begin(now, &arrival, actions) {
            Ok(request) => self.send_all(now, arrival.key, request, actions),
            Err(NotBegun::Unprepared(..)) if now < held.until => self.held.push(held),
            Err(NotBegun::Refused(verdict) | NotBegun::Unprepared(_, verdict)) => {
                actions.push(RoutingAction::Finish { request: arrival.key, verdict });
            }
        }
    }

    fn begin(
        &mut self,
        now: BootTime,
        arrival: &Arrival,
        actions: &mut Vec<RoutingAction>,
    ) -> Result<Request, NotBegun> {
        let (table, route_index) = self.find_route(arrival)?;
        let refuse = |kind, detail| Err(NotBegun::Refused(refused(kind, detail)));
        if arrival.is_overloaded {
            return refuse(ErrorKind::Overloaded, "the node comes too late to its work");
        }
        if self.requests.len() >= self.settings.max_requests {
            return refuse(ErrorKind::Overloaded, "the node holds as many requests as it may");
        }
        let route = &table.definition().routes[route_index];
        let tenant = judge_credential(&table, route, arrival, actions)?;
        let definition = tenant.and_then(|key| table.tenant(key));
        let content = arrival.content.of_tenant(definition.map(|tenant| &*tenant.name));
        if self.suspicion(now, content) == Suspicion::Quarantined {
            return refuse(ErrorKind::Quarantined, "every searcher that ran this request ended; it was not sent");
        }
        let regions = AllowedRegions::new(route, definition);
        let timeout = Duration::from_millis(route.timeout_ms);
        let patience = arrival.patience.map_or(timeout, |patience| patience.min(timeout));
        // What was read late has less time than it says.
        let left = patience.saturating_sub(arrival.waited);
        if left <= DEADLINE_GUARD {
            return refuse(ErrorKind::Overloaded, "the request's time was over when it was read");
        }
        let deadline = now + (left - DEADLINE_GUARD);
        let services = self.services_of(route);
        self.check_replicas(now, arrival, route.least_shards(), regions, &services, deadline)?;
        let whose = tenant.and_then(|key| table.tenant(key)).map(|tenant| &tenant.name);
        self.check_quota(now, whose)?;
        for service in &services {
            let window = self.windows.entry(service.clone()).or_default();
            window.count_request(now, &self.settings.extra);
        }
        let group = services.first().cloned().unwrap_or_default();
        if let Some(fraction) = self.refusing_fraction(now, &group, table.rank(tenant, route), whose) {
            actions.push(RoutingAction::NotAdmitted { request: arrival.key, group, fraction });
            return refuse(ErrorKind::Overloaded, "too much waits at the back ends already");
        }
        let services_count = services.len();
        Ok(Request {
            route_index,
            tenant,
            credential: arrival.credential,
            is_key_revoked: false,
            shards: services.into_iter().map(Shard::new).collect(),
            attempts: Vec::new(),
            answer_by: (now + self.goal_of(route, arrival).saturating_sub(arrival.waited)).min(deadline),
            deadline,
            group,
            content,
            may_have_run: false,
            is_answered: false,
            is_past_goal: false,
            is_probing: services_count > 1 && self.is_to_be_probed(now, route, arrival.content),
            table: table.clone(),
        })
    }

    fn find_route(&self, arrival: &Arrival) -> Result<(Arc<RouteTable>, usize), NotBegun> {
        let Some(table) = self.table.clone() else {
            let verdict = refused(ErrorKind::NoConfiguration, "no configuration is known yet");
            return Err(NotBegun::Unprepared(HoldCause::NoConfiguration, verdict));
        };
        if let Some(route_index) = table.find_index(&arrival.host, &arrival.path) {
            return Ok((table, route_index));
        }
        if arrival.is_ahead_of(&table) {
            let verdict = refused(ErrorKind::NoConfiguration, "a newer configuration may have this route");
            return Err(NotBegun::Unprepared(HoldCause::OldConfiguration, verdict));
        }
        Err(NotBegun::Refused(refused(ErrorKind::NoRoute, "no route has this host and path")))
    }

    fn goal_of(&self, route: &RouteDefinition, arrival: &Arrival) -> Duration {
        let link = if self.settings.policy.caller_distance { arrival.link } else { CallerLink::default() };
        usable_goal(route, &link)
    }

    fn services_of(&mut self, route: &RouteDefinition) -> Vec<Arc<str>> {
        match &route.target {
            RouteTarget::Service(service) => vec![service.clone()],
            RouteTarget::Gather(gather) => gather.shards.clone(),
            RouteTarget::Weighted(set) => {
                let goal = Duration::from_millis(route.goal_ms);
                self.statistics(&route.name, goal).turns.next(set).into_iter().collect()
            }
        }
    }

    /// Refuses at once, and unsent, what a tenant asks beyond its quota.
    fn check_quota(&mut self, now: BootTime, tenant: Option<&Arc<str>>) -> Result<(), NotBegun> {
        let taken = tenant.map_or(Ok(()), |tenant| self.take_quota(now, tenant));
        taken.map_err(|wait| {
            let (kind, detail) = (ErrorKind::OverQuota, "the tenant has sent as many requests as it may");
            NotBegun::Refused(Verdict::Refused { kind, detail, retry_after: Some(wait) })
        })
    }

    /// Nothing is run where too few shards can have anybody to ask in time.
    fn check_replicas(
        &self,
        now: BootTime,
        arrival: &Arrival,
        least: usize,
        regions: AllowedRegions<'_>,
        services: &[Arc<str>],
        deadline: BootTime,
    ) -> Result<(), NotBegun> {
        let may_be_asked =
            |service: &&Arc<str>| self.next_chance(now, regions, service, &[]).is_some_and(|chance| chance < deadline);
        let served = services.iter().filter(may_be_asked).count();
        if served >= least {
            return Ok(());
        }
        let verdict = if regions.are_all() {
            refused(ErrorKind::NoReplica, "too few shards have a searcher that can be asked")
        } else {
            refused(
                ErrorKind::NoAllowedReplica,
                "too few shards have a searcher that can be asked in an allowed region",
            )
        };
        if arrival.knows_searchers || regions.are_none() {
            return Err(NotBegun::Refused(verdict));
        }
        let verdict = refused(ErrorKind::NoReplicaYet, "searchers are only just becoming known");
        Err(NotBegun::Unprepared(HoldCause::NoSearchers, verdict))
    }

    /// Sends the first attempt of each shard.
    fn send_all(&mut self, now: BootTime, key: RequestKey, request: Request, actions: &mut Vec<RoutingAction>) {
        let count = request.shards.len();
        let first = self.first_shard(&request);
        self.requests.insert(key, request);
        for shard in (first..count).chain(0..first) {
            // What can't be sent yet waits, or is counted as failed.
            let _unsent = self.dispatch(now, key, shard, SendReason::First, actions);
        }
        self.settle(now, key, actions);
        self.schedule(key);
    }
}

/// Whose a request is. A node that is behind judges nobody: the newer configuration may hold the key.
fn judge_credential(
    table: &RouteTable,
    route: &RouteDefinition,
    arrival: &Arrival,
    actions: &mut Vec<RoutingAction>,
) -> Result<Option<TenantKey>, NotBegun> {
    let is_judged = arrival.credential != Credential::Missing || !route.is_public;
    if is_judged && !table.definition().tenants.is_empty() {
        check_view(table, arrival)?;
    }
    table.judge(route, arrival.credential).map_err(|refusal| {
        if arrival.is_ahead_of(table) && refusal != KeyRefusal::Malformed {
            let verdict = refused(ErrorKind::NoConfiguration, "a newer configuration may hold the key");
            return NotBegun::Unprepared(HoldCause::OldConfiguration, verdict);
        }
        actions.push(RoutingAction::KeyRefused { request: arrival.key, cause: refusal });
        NotBegun::Refused(refused(ErrorKind::Unauthorized, refusal.detail()))
    })
}

/// A node that may have missed for too long that a key was revoked lets nobody in, or asks first.
fn check_view(table: &RouteTable, arrival: &Arrival) -> Result<(), NotBegun> {
    match arrival.view {
        ConfigurationView::Doubtful if arrival.is_ahead_of(table) => {
            let verdict = refused(ErrorKind::NoConfiguration, "a newer configuration is on its way");
            Err(NotBegun::Unprepared(HoldCause::OldConfiguration, verdict))
        }
        ConfigurationView::Expired => {
            let detail = "the node hasn't heard of the configuration for too long to take keys by it";
            Err(NotBegun::Refused(refused(ErrorKind::Unconfirmed, detail)))
        }
        ConfigurationView::Current | ConfigurationView::Doubtful => Ok(()),
    }
}
