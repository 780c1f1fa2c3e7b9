//! A request from its arrival to its first attempts: asks the rules in order whether it is begun, held or refused.
//!
//! A request that comes before this node knows what it needs (a configuration, or who serves) is held for a moment: the
//! first read of the store takes tens of milliseconds after a start, and a caller who is refused asks only once more.

use super::{HoldCause, RoutingAction, RoutingEngine, SendReason};
use crate::configuration::definition::{RouteDefinition, RouteTarget};
use crate::configuration::table::RouteTable;
use crate::configuration::tenants::{Credential, KeyRefusal};
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::giving_up::{self, NodeLoad, Reach, ReachVerdict, Refusal, TimeBounds};
use crate::decision::goal::{answer_by, usable_goal};
use crate::decision::quarantine::Suspicion;
use crate::keys::{ContentKey, RequestKey, TenantKey};
use crate::state::request::{Arrival, CallerLink, ConfigurationView, Request, Shard, Verdict};
use staircross_types::{BootTime, ErrorKind};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

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

impl NotBegun {
    fn refused(kind: ErrorKind, detail: &'static str) -> Self {
        NotBegun::Refused(Refusal::new(kind, detail).into())
    }

    fn unprepared(cause: HoldCause, kind: ErrorKind, detail: &'static str) -> Self {
        NotBegun::Unprepared(cause, Refusal::new(kind, detail).into())
    }
}

impl From<Refusal> for NotBegun {
    fn from(refusal: Refusal) -> Self {
        NotBegun::Refused(refusal.into())
    }
}

/// What a request that is begun follows from.
struct Admitted {
    table: Arc<RouteTable>,
    route_index: usize,
    tenant: Option<TenantKey>,
    content: ContentKey,
    deadline: BootTime,
    services: Vec<Arc<str>>,
    group: Arc<str>,
}

impl HeldRequest {
    fn new(now: BootTime, arrival: Arrival) -> Self {
        let until = giving_up::hold_until(now, arrival.caller_timeout);
        HeldRequest { arrival, held_at: now, until }
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
        giving_up::may_hold(self.held.len(), &self.settings.policy)
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
        let admitted = self.check(now, arrival, actions)?;
        Ok(self.new_request(now, arrival, admitted))
    }

    /// Whether a request can be begun, by this node and now. The order of the checks is that of their cost and of what they take from whom.
    fn check(
        &mut self,
        now: BootTime,
        arrival: &Arrival,
        actions: &mut Vec<RoutingAction>,
    ) -> Result<Admitted, NotBegun> {
        let (table, route_index) = self.find_route(arrival)?;
        self.check_load(arrival)?;
        let route = &table.definition().routes[route_index];
        let tenant = judge_credential(&table, route, arrival, actions)?;
        let definition = tenant.and_then(|key| table.tenant(key));
        let whose = definition.map(|tenant| &tenant.name);
        let content = arrival.content.of_tenant(whose.map(|name| &**name));
        self.check_content(now, content)?;
        let deadline = deadline_of(now, route, arrival)?;
        let services = self.services_of(route);
        self.check_reach(now, arrival, route, AllowedRegions::new(route, definition), &services, deadline)?;
        self.check_quota(now, whose)?;
        self.count_request(now, &services);
        let group = services.first().cloned().unwrap_or_default();
        if let Some(fraction) = self.refusing_fraction(now, &group, table.rank(tenant, route), whose) {
            actions.push(RoutingAction::NotAdmitted { request: arrival.key, group, fraction });
            return Err(NotBegun::refused(ErrorKind::Overloaded, "too much waits at the back ends already"));
        }
        Ok(Admitted { route_index, tenant, content, deadline, services, group, table: table.clone() })
    }

    fn check_load(&self, arrival: &Arrival) -> Result<(), Refusal> {
        let (requests, max_requests) = (self.requests.len(), self.settings.max_requests);
        let load = NodeLoad { is_overloaded: arrival.is_overloaded, requests, max_requests };
        giving_up::refuse_by_load(load).map_or(Ok(()), Err)
    }

    fn check_content(&self, now: BootTime, content: ContentKey) -> Result<(), Refusal> {
        match self.suspicion(now, content) {
            Suspicion::Quarantined => {
                let detail = "every searcher that ran this request ended; it was not sent";
                Err(Refusal::new(ErrorKind::Quarantined, detail))
            }
            Suspicion::None | Suspicion::Suspect => Ok(()),
        }
    }

    /// Counts a request towards the budgets of the services that it asks.
    fn count_request(&mut self, now: BootTime, services: &[Arc<str>]) {
        for service in services {
            let window = self.windows.entry(service.clone()).or_default();
            window.count_request(now, &self.settings.extra);
        }
    }

    fn new_request(&self, now: BootTime, arrival: &Arrival, admitted: Admitted) -> Request {
        let route = &admitted.table.definition().routes[admitted.route_index];
        let answer_by = answer_by(now, self.goal_of(route, arrival), arrival.waited, admitted.deadline);
        let has_others = admitted.services.len() > 1;
        let probe = has_others.then(|| self.new_probe(now, route, admitted.content)).flatten();
        Request {
            route_index: admitted.route_index,
            tenant: admitted.tenant,
            credential: arrival.credential,
            is_key_revoked: false,
            shards: admitted.services.into_iter().map(Shard::new).collect(),
            attempts: Vec::new(),
            answer_by,
            deadline: admitted.deadline,
            group: admitted.group,
            content: admitted.content,
            may_have_run: false,
            is_answered: false,
            is_past_goal: false,
            wake_at: None,
            probe,
            table: admitted.table,
        }
    }

    fn find_route(&self, arrival: &Arrival) -> Result<(Arc<RouteTable>, usize), NotBegun> {
        let Some(table) = self.table.clone() else {
            let (cause, detail) = (HoldCause::NoConfiguration, "no configuration is known yet");
            return Err(NotBegun::unprepared(cause, ErrorKind::NoConfiguration, detail));
        };
        if let Some(route_index) = table.find_index(&arrival.host, &arrival.path) {
            return Ok((table, route_index));
        }
        if arrival.is_ahead_of(&table) {
            let (cause, detail) = (HoldCause::OldConfiguration, "a newer configuration may have this route");
            return Err(NotBegun::unprepared(cause, ErrorKind::NoConfiguration, detail));
        }
        Err(NotBegun::refused(ErrorKind::NoRoute, "no route has this host and path"))
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
    fn check_reach(
        &self,
        now: BootTime,
        arrival: &Arrival,
        route: &RouteDefinition,
        regions: AllowedRegions<'_>,
        services: &[Arc<str>],
        deadline: BootTime,
    ) -> Result<(), NotBegun> {
        let chances = services.iter().filter_map(|service| self.next_chance(now, regions, service, &[]));
        let reachable = chances.filter(|chance| !giving_up::is_too_late(*chance, deadline)).count();
        let (least, knows_searchers) = (route.least_shards(), arrival.knows_searchers);
        match giving_up::judge_reach(Reach { reachable, least, knows_searchers, regions }) {
            ReachVerdict::Begin => Ok(()),
            ReachVerdict::Refuse(refusal) => Err(refusal.into()),
            ReachVerdict::Hold(refusal) => Err(NotBegun::Unprepared(HoldCause::NoSearchers, refusal.into())),
        }
    }

    /// Sends the first attempt of each shard.
    fn send_all(&mut self, now: BootTime, key: RequestKey, request: Request, actions: &mut Vec<RoutingAction>) {
        let count = request.shards.len();
        let first = self.first_shard(&request);
        self.requests.insert(key, request);
        self.note_probe_begun(now, key, actions);
        for shard in (first..count).chain(0..first) {
            // What can't be sent yet waits, or is counted as failed.
            let _unsent = self.dispatch(now, key, shard, SendReason::First, actions);
        }
        self.settle(now, key, actions);
        self.schedule(key);
    }
}

fn deadline_of(now: BootTime, route: &RouteDefinition, arrival: &Arrival) -> Result<BootTime, Refusal> {
    let timeout = Duration::from_millis(route.timeout_ms);
    giving_up::deadline(now, TimeBounds { timeout, patience: arrival.caller_timeout, waited: arrival.waited })
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
    table.authenticate(route, arrival.credential).map_err(|refusal| {
        if arrival.is_ahead_of(table) && refusal != KeyRefusal::Malformed {
            let (cause, detail) = (HoldCause::OldConfiguration, "a newer configuration may hold the key");
            return NotBegun::unprepared(cause, ErrorKind::NoConfiguration, detail);
        }
        actions.push(RoutingAction::KeyRefused { request: arrival.key, cause: refusal });
        NotBegun::refused(ErrorKind::Unauthorized, refusal.detail())
    })
}

/// A node that may have missed for too long that a key was revoked lets nobody in, or asks first.
fn check_view(table: &RouteTable, arrival: &Arrival) -> Result<(), NotBegun> {
    match arrival.view {
        ConfigurationView::Doubtful if arrival.is_ahead_of(table) => {
            let (cause, detail) = (HoldCause::OldConfiguration, "a newer configuration is on its way");
            Err(NotBegun::unprepared(cause, ErrorKind::NoConfiguration, detail))
        }
        ConfigurationView::Expired => {
            let detail = "the node hasn't heard of the configuration for too long to take keys by it";
            Err(NotBegun::refused(ErrorKind::Unconfirmed, detail))
        }
        ConfigurationView::Current | ConfigurationView::Doubtful => Ok(()),
    }
}
