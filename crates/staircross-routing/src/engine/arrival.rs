//! Handles a request from its arrival to its first attempts: checks in order whether to start, hold or refuse it.
//!
//! A request that arrives before this node has what it needs (a configuration, or the list of searchers) is held for
//! a short time. After a start, the first read of the store takes tens of milliseconds, and a caller who is refused
//! asks only once more.

use super::{HoldCause, RoutingAction, RoutingEngine, SendReason};
use crate::configuration::definition::{RouteDefinition, RouteTarget};
use crate::configuration::table::RouteTable;
use crate::configuration::tenants::{Credential, KeyRefusal};
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::goal::{answer_by, usable_goal};
use crate::decision::quarantine::Suspicion;
use crate::decision::request_lifecycle::{self, NodeLoad, ReachableShards, Refusal, StartDecision, TimeBounds};
use crate::keys::{ContentKey, RequestKey, TenantKey};
use crate::state::request::{Arrival, CallerLink, ConfigurationView, Request, RequestOutcome, Shard};
use staircross_types::{BootTime, ErrorKind};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// A request that waits until this node has the configuration or the searchers that the request needs.
#[derive(Debug)]
pub(super) struct HeldRequest {
    arrival: Arrival,
    held_at: BootTime,
    /// Time at which the hold ends at the latest.
    until: BootTime,
}

/// Why a request isn't started.
enum NotStarted {
    /// The request is refused for good.
    Refused(RequestOutcome),
    /// The node lacks something that it may learn soon. If the request isn't held, or not for long enough, the
    /// outcome is its result.
    NodeNotReady(HoldCause, RequestOutcome),
}

impl NotStarted {
    fn refused(kind: ErrorKind, detail: &'static str) -> Self {
        NotStarted::Refused(Refusal::new(kind, detail).into())
    }

    fn node_not_ready(cause: HoldCause, kind: ErrorKind, detail: &'static str) -> Self {
        NotStarted::NodeNotReady(cause, Refusal::new(kind, detail).into())
    }
}

impl From<Refusal> for NotStarted {
    fn from(refusal: Refusal) -> Self {
        NotStarted::Refused(refusal.into())
    }
}

/// Results of the checks that a request has passed.
struct AdmittedRequest {
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
        let until = request_lifecycle::hold_until(now, arrival.caller_timeout);
        HeldRequest { arrival, held_at: now, until }
    }

    /// Returns the arrival as of `now`, with the time of the hold added to its wait. Once the hold is over, a
    /// doubtful view of the configuration counts as current.
    fn arrival(&self, now: BootTime) -> Arrival {
        let configuration_view = match self.arrival.configuration_view {
            ConfigurationView::Doubtful if now >= self.until => ConfigurationView::Current,
            view => view,
        };
        Arrival { configuration_view, waited: self.arrival.waited + now.since(self.held_at), ..self.arrival.clone() }
    }
}

impl RoutingEngine {
    /// Starts, holds or refuses a request that has just arrived.
    pub(super) fn on_arrival(&mut self, now: BootTime, arrival: Arrival, actions: &mut Vec<RoutingAction>) {
        match self.start_request(now, &arrival, actions) {
            Ok(request) => self.send_first_attempts(now, arrival.key, request, actions),
            Err(NotStarted::NodeNotReady(cause, _)) if self.may_hold() => {
                self.hold_request(now, arrival, cause, actions)
            }
            Err(NotStarted::Refused(outcome) | NotStarted::NodeNotReady(_, outcome)) => {
                actions.push(RoutingAction::Finish { request: arrival.key, outcome });
            }
        }
    }

    fn may_hold(&self) -> bool {
        request_lifecycle::may_hold(self.held_requests.len(), &self.settings.policy)
    }

    fn hold_request(&mut self, now: BootTime, arrival: Arrival, cause: HoldCause, actions: &mut Vec<RoutingAction>) {
        let key = arrival.key;
        let held = HeldRequest::new(now, arrival);
        self.wakes.push(Reverse((held.until, key)));
        self.held_requests.push(held);
        actions.push(RoutingAction::Held { request: key, cause });
    }

    /// Starts the held requests that can be started now, after the node has learned something new.
    pub(super) fn start_held(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        for held in std::mem::take(&mut self.held_requests) {
            self.start_or_keep_held(now, held, actions);
        }
    }

    /// Ends the hold of a request if its time is over: the request is started or refused.
    pub(super) fn end_expired_hold(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let due = self.held_requests.iter().position(|held| held.arrival.key == key && held.until <= now);
        if let Some(index) = due {
            let held = self.held_requests.remove(index);
            self.start_or_keep_held(now, held, actions);
        }
    }

    /// Drops a held request whose caller has disconnected.
    pub(super) fn remove_held(&mut self, key: RequestKey) {
        self.held_requests.retain(|held| held.arrival.key != key);
    }

    /// Starts a held request, refuses it, or keeps holding it while its time isn't over and the node still isn't ready.
    fn start_or_keep_held(&mut self, now: BootTime, held: HeldRequest, actions: &mut Vec<RoutingAction>) {
        let arrival = held.arrival(now);
        match self.start_request(now, &arrival, actions) {
            Ok(request) => self.send_first_attempts(now, arrival.key, request, actions),
            Err(NotStarted::NodeNotReady(..)) if now < held.until => self.held_requests.push(held),
            Err(NotStarted::Refused(outcome) | NotStarted::NodeNotReady(_, outcome)) => {
                actions.push(RoutingAction::Finish { request: arrival.key, outcome });
            }
        }
    }

    fn start_request(
        &mut self,
        now: BootTime,
        arrival: &Arrival,
        actions: &mut Vec<RoutingAction>,
    ) -> Result<Request, NotStarted> {
        let admitted = self.check_admission(now, arrival, actions)?;
        Ok(self.new_request(now, arrival, admitted))
    }

    /// Checks whether this node can start a request now. Cheap checks come first; checks that use something up, such
    /// as a token of the tenant's quota, come after those that don't.
    fn check_admission(
        &mut self,
        now: BootTime,
        arrival: &Arrival,
        actions: &mut Vec<RoutingAction>,
    ) -> Result<AdmittedRequest, NotStarted> {
        self.check_view(arrival)?;
        let (table, route_index) = self.find_route(arrival)?;
        self.check_load(arrival)?;
        let route = &table.definition().routes[route_index];
        let tenant = authenticate(&table, route, arrival, actions)?;
        let definition = tenant.and_then(|key| table.tenant(key));
        let tenant_name = definition.map(|tenant| &tenant.name);
        let content = arrival.content.of_tenant(tenant_name.map(|name| &**name));
        self.check_content(now, content)?;
        let deadline = self.deadline_before_stop(now, route, deadline_of(now, route, arrival)?)?;
        let services = self.choose_services(route);
        self.check_reachable_shards(now, arrival, route, AllowedRegions::new(route, definition), &services, deadline)?;
        self.check_quota(now, tenant_name)?;
        self.count_request(now, &services);
        let group = services.first().cloned().unwrap_or_default();
        if let Some(fraction) = self.draw_refusal(now, &group, table.rank(tenant, route), tenant_name) {
            actions.push(RoutingAction::NotAdmitted { request: arrival.key, group, fraction });
            return Err(NotStarted::refused(ErrorKind::Overloaded, "too much waits at the back ends already"));
        }
        Ok(AdmittedRequest { route_index, tenant, content, deadline, services, group, table: table.clone() })
    }

    /// Checks that this node's view isn't outdated. An overloaded node refuses the request at once, rather than after a
    /// hold.
    fn check_view(&self, arrival: &Arrival) -> Result<(), NotStarted> {
        if !self.is_view_outdated {
            return Ok(());
        }
        self.check_load(arrival)?;
        let detail = "the node stood still and has yet to learn what has changed meanwhile";
        Err(NotStarted::node_not_ready(HoldCause::OutdatedView, ErrorKind::Unconfirmed, detail))
    }

    fn check_load(&self, arrival: &Arrival) -> Result<(), Refusal> {
        let (requests, max_requests) = (self.requests.len(), self.settings.max_requests);
        let load = NodeLoad { is_overloaded: arrival.is_overloaded, requests, max_requests };
        request_lifecycle::refuse_if_overloaded(load).map_or(Ok(()), Err)
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

    /// Counts a request in the extra-send budgets of the services that it asks.
    fn count_request(&mut self, now: BootTime, services: &[Arc<str>]) {
        for service in services {
            let window = self.extra_windows.entry(service.clone()).or_default();
            window.count_request(now, &self.settings.extra);
        }
    }

    fn new_request(&self, now: BootTime, arrival: &Arrival, admitted: AdmittedRequest) -> Request {
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

    fn find_route(&self, arrival: &Arrival) -> Result<(Arc<RouteTable>, usize), NotStarted> {
        let Some(table) = self.table.clone() else {
            let (cause, detail) = (HoldCause::NoConfiguration, "no configuration is known yet");
            return Err(NotStarted::node_not_ready(cause, ErrorKind::NoConfiguration, detail));
        };
        if let Some(route_index) = table.find_index(&arrival.host, &arrival.path) {
            return Ok((table, route_index));
        }
        if arrival.knows_newer_configuration(&table) {
            let (cause, detail) = (HoldCause::OldConfiguration, "a newer configuration may have this route");
            return Err(NotStarted::node_not_ready(cause, ErrorKind::NoConfiguration, detail));
        }
        Err(NotStarted::refused(ErrorKind::NoRoute, "no route has this host and path"))
    }

    fn goal_of(&self, route: &RouteDefinition, arrival: &Arrival) -> Duration {
        let link = if self.settings.policy.caller_distance { arrival.link } else { CallerLink::default() };
        usable_goal(route, &link)
    }

    /// Returns the services that a request asks. For a weighted route, takes the service whose turn it is.
    fn choose_services(&mut self, route: &RouteDefinition) -> Vec<Arc<str>> {
        match &route.target {
            RouteTarget::Service(service) => vec![service.clone()],
            RouteTarget::Gather(gather) => gather.shards.clone(),
            RouteTarget::Weighted(set) => {
                let goal = Duration::from_millis(route.goal_ms);
                self.route_statistics(&route.name, goal).round_robin.next(set).into_iter().collect()
            }
        }
    }

    /// Takes a token from the tenant's quota, or refuses the request before anything is sent.
    fn check_quota(&mut self, now: BootTime, tenant: Option<&Arc<str>>) -> Result<(), NotStarted> {
        let taken = tenant.map_or(Ok(()), |tenant| self.take_quota_token(now, tenant));
        taken.map_err(|wait| {
            let (kind, detail) = (ErrorKind::OverQuota, "the tenant has sent as many requests as it may");
            NotStarted::Refused(RequestOutcome::Refused { kind, detail, retry_after: Some(wait) })
        })
    }

    /// Checks that enough shards for an answer have a searcher that can be asked before the deadline. Otherwise the
    /// request is refused or held, and nothing is sent.
    fn check_reachable_shards(
        &self,
        now: BootTime,
        arrival: &Arrival,
        route: &RouteDefinition,
        regions: AllowedRegions<'_>,
        services: &[Arc<str>],
        deadline: BootTime,
    ) -> Result<(), NotStarted> {
        let times = services.iter().filter_map(|service| self.earliest_availability(now, regions, service, &[]));
        let reachable = times.filter(|at| !request_lifecycle::is_too_late(*at, deadline)).count();
        let (min_shards, knows_searchers) = (route.min_shards(), arrival.knows_searchers);
        match request_lifecycle::decide_start(ReachableShards { reachable, min_shards, knows_searchers, regions }) {
            StartDecision::Begin => Ok(()),
            StartDecision::Refuse(refusal) => Err(refusal.into()),
            StartDecision::Hold(refusal) => Err(NotStarted::NodeNotReady(HoldCause::NoSearchers, refusal.into())),
        }
    }

    /// Registers a request and sends the first attempt of each shard.
    fn send_first_attempts(
        &mut self,
        now: BootTime,
        key: RequestKey,
        request: Request,
        actions: &mut Vec<RoutingAction>,
    ) {
        let count = request.shards.len();
        let first = self.choose_first_shard(&request);
        self.requests.insert(key, request);
        self.log_probe_start(now, key, actions);
        for shard in (first..count).chain(0..first) {
            // A shard that can't be sent now has been queued, or counts as failed.
            let _unsent = self.dispatch(now, key, shard, SendReason::First, actions);
        }
        self.finish_if_done(now, key, actions);
        self.schedule_wake(key);
    }
}

fn deadline_of(now: BootTime, route: &RouteDefinition, arrival: &Arrival) -> Result<BootTime, Refusal> {
    let timeout = Duration::from_millis(route.timeout_ms);
    request_lifecycle::deadline(
        now,
        TimeBounds { timeout, caller_timeout: arrival.caller_timeout, waited: arrival.waited },
    )
}

/// Returns the tenant that a request's credential belongs to. A key that this node's configuration doesn't accept
/// isn't refused while a newer configuration is known to exist, since that one may hold the key.
fn authenticate(
    table: &RouteTable,
    route: &RouteDefinition,
    arrival: &Arrival,
    actions: &mut Vec<RoutingAction>,
) -> Result<Option<TenantKey>, NotStarted> {
    let is_key_checked = arrival.credential != Credential::Missing || !route.is_public;
    if is_key_checked && !table.definition().tenants.is_empty() {
        check_configuration_view(table, arrival)?;
    }
    table.authenticate(route, arrival.credential).map_err(|refusal| {
        if arrival.knows_newer_configuration(table) && refusal != KeyRefusal::Malformed {
            let (cause, detail) = (HoldCause::OldConfiguration, "a newer configuration may hold the key");
            return NotStarted::node_not_ready(cause, ErrorKind::NoConfiguration, detail);
        }
        actions.push(RoutingAction::KeyRefused { request: arrival.key, cause: refusal });
        NotStarted::refused(ErrorKind::Unauthorized, refusal.detail())
    })
}

/// Checks that this node's configuration is recent enough for keys to be checked against it. A node that may have
/// missed the revocation of a key waits for the newer configuration that it knows of, or refuses all keys once its view
/// has expired.
fn check_configuration_view(table: &RouteTable, arrival: &Arrival) -> Result<(), NotStarted> {
    match arrival.configuration_view {
        ConfigurationView::Doubtful if arrival.knows_newer_configuration(table) => {
            let (cause, detail) = (HoldCause::OldConfiguration, "a newer configuration is on its way");
            Err(NotStarted::node_not_ready(cause, ErrorKind::NoConfiguration, detail))
        }
        ConfigurationView::Expired => {
            let detail = "the node hasn't heard of the configuration for too long to take keys by it";
            Err(NotStarted::refused(ErrorKind::Unconfirmed, detail))
        }
        ConfigurationView::Current | ConfigurationView::Doubtful => Ok(()),
    }
}
