//! The routing engine: carries each request from its arrival to its final result.
//!
//! The engine is a state machine without I/O. It takes events ([`RoutingEvent`]: configurations, searcher entries,
//! the state of the fleet, arrivals, outcomes of attempts, ticks) and returns the actions that its owner carries out
//! ([`RoutingAction`]).
//!
//! Invariants:
//! - A request keeps the configuration that it began with.
//! - A request of a route that isn't idempotent is sent again only if the attempt before is known not to have
//!   run.
//! - A refusal of a kind whose `executed` is "never" is given only if nothing was sent, or if every attempt that was
//!   sent is known not to have run.
//! - Every request ends by its deadline.

mod arrival;
mod completion;
mod counters;
mod departures;
mod dispatch;
mod first_probe;
mod outcome;
mod overload;
mod quotas;
mod revocation;
mod searchers;
mod stop;
mod suspicion;
mod view;
mod waiting;

use crate::configuration::definition::{RouteTarget, ServiceEntry};
use crate::configuration::table::RouteTable;
use crate::decision::admission::{UsualWork, Wait};
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::cold::{ColdBound, FleetRank};
use crate::decision::extra_budget::{ExtraBound, ExtraWindow};
use crate::decision::placement::PlacementContext;
use crate::decision::quarantine::Quarantine;
use crate::decision::weighted_round_robin::WeightedRoundRobin;
pub use crate::engine_message::{
    AbandonCause, HoldCause, LastLoadReport, LeftOutCause, ProbeStep, RoutingAction, RoutingEvent, SendOrder,
    SendReason, UnsentCause,
};
use crate::keys::{AttemptKey, ContentKey, Incarnation, RequestKey, SearcherKey};
use crate::policy::RoutingPolicy;
use crate::state::request::Request;
use crate::state::searcher::Searcher;
use arrival::HeldRequest;
pub use counters::RoutingCounters;
use hashbrown::HashMap;
use overload::ServiceGroup;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_latency::LatencyTracker;
use staircross_quota::{FleetRateLimiter, QuotaBound};
use staircross_types::{BootTime, NodeId};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A route's usual work is assumed to be its goal divided by this number until it has been measured.
const INITIAL_WORK_DIVISOR: u32 = 8;

/// Limits, location and identity of the node that an engine decides for.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Bound on extra sends (hedges and retries), for all nodes together.
    pub extra: ExtraBound,
    /// Zone of this node.
    pub zone: Arc<str>,
    /// Region of each zone.
    pub regions: HashMap<Arc<str>, Arc<str>>,
    /// Time for which a searcher is still asked, if no other can be, after its entry may have lapsed.
    pub lapse_grace: Duration,
    /// Bound on requests to a cold searcher (one that has just started), for all nodes together.
    pub cold: ColdBound,
    /// Maximum number of requests that the node works on at once, without held ones; further requests are refused.
    pub max_requests: usize,
    /// Time at which this process started; `None` for the first process on its machine. Searchers may still count the
    /// connections of the previous process.
    pub restarted_at: Option<BootTime>,
    /// Id of this incarnation of the node.
    pub node: NodeId,
    /// Bound on the requests by which all nodes together may exceed tenants' quotas.
    pub quota: QuotaBound,
    /// Time at which this process started, whether or not it is the first on its machine.
    pub started_at: BootTime,
    /// Settings that turn single mechanisms off.
    pub policy: RoutingPolicy,
    /// Seed of the engine's random number generator.
    pub seed: u64,
}

/// Measurements of one route.
pub(crate) struct RouteStatistics {
    /// Work of answered attempts: the time that they took, without the round trip.
    pub work: LatencyTracker,
    /// Estimate of the work of an attempt that doesn't wait in a queue.
    pub usual_work: UsualWork,
    /// Weighted round robin over the services of a weighted route.
    pub round_robin: WeightedRoundRobin,
}

/// An attempt that still holds a connection. It may outlive its request.
pub(crate) struct SentAttempt {
    pub searcher: SearcherKey,
    pub route: Arc<str>,
    pub sent_at: BootTime,
    /// Time at which the attempt got its connection; until then, the time of sending.
    pub begun_at: BootTime,
    /// The service group that the request belongs to.
    pub group: Arc<str>,
    /// Digest of what the request asks for.
    pub content: ContentKey,
    /// Whether a searcher had run the request to its end when the request was over. While the request is in flight, its
    /// own flag counts.
    pub is_request_answered: bool,
}

/// A shard of a request that waits for a searcher that can be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitingShard {
    pub request: RequestKey,
    pub shard: u32,
}

/// Makes the routing decisions of one node.
pub struct RoutingEngine {
    pub(crate) settings: RoutingSettings,
    pub(crate) random: ChaCha8Rng,
    pub(crate) placement: PlacementContext,
    /// Fraction of the fleet's slack for extra sends that this node may spend, 0 to 1.
    pub(crate) slack_share: f64,
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) searchers: Vec<Searcher>,
    /// The current incarnation of each searcher id.
    by_instance: HashMap<Arc<str>, SearcherKey>,
    by_incarnation: HashMap<Incarnation, SearcherKey>,
    /// Searchers of each service that serve, or whose entry has lapsed recently.
    pub(crate) by_service: HashMap<Arc<str>, Vec<SearcherKey>>,
    services: HashMap<Arc<str>, ServiceEntry>,
    /// Evacuated zones, whose searchers get no new work.
    evacuated_zones: Vec<Arc<str>>,
    /// Budgets for extra sends, by service.
    pub(crate) extra_windows: HashMap<Arc<str>, ExtraWindow>,
    pub(crate) routes: HashMap<Arc<str>, RouteStatistics>,
    /// Admission state of each service group, by the group's first service.
    groups: HashMap<Arc<str>, ServiceGroup>,
    /// Measured wait at the searchers of each service.
    pub(crate) service_waits: HashMap<Arc<str>, Wait>,
    pub(crate) requests: HashMap<RequestKey, Request>,
    /// Requests that this node can't start yet, in order of arrival.
    held_requests: Vec<HeldRequest>,
    /// Attempts that hold a connection.
    pub(crate) sent_attempts: HashMap<AttemptKey, SentAttempt>,
    /// Shards that wait for a searcher that can be asked, by service.
    pub(crate) waiting_shards: HashMap<Arc<str>, VecDeque<WaitingShard>>,
    /// Times at which requests need attention. Those that an earlier time has superseded stay in the heap.
    pub(crate) wakes: BinaryHeap<Reverse<(BootTime, RequestKey)>>,
    /// Contents (digests of what requests ask for) that are suspected of crashing the searchers that run them.
    pub(crate) quarantine: Quarantine,
    /// This node's share of tenants' quotas.
    quotas: FleetRateLimiter,
    /// Routes whose alarm was raised when alarms were logged last.
    logged_alarms: first_probe::LoggedAlarms,
    /// Checks of the entries of searchers whose answers say that they are leaving.
    entry_checks: departures::EntryChecks,
    /// Time after which no request is in flight, once this node is about to stop.
    stops_at: Option<BootTime>,
    /// Whether what this node knows of the store is too old to handle requests by it.
    is_view_outdated: bool,
    /// Counters for metrics.
    pub counters: RoutingCounters,
}

impl RoutingEngine {
    /// Creates an engine without a configuration.
    pub fn new(settings: RoutingSettings) -> Self {
        let placement = PlacementContext {
            zone: settings.zone.clone(),
            regions: settings.regions.clone(),
            nodes_by_zone: HashMap::from([(settings.zone.clone(), 1)]),
            fleet: FleetRank { rank: Some(0), serving: 1 },
            cold: settings.cold,
            round_trips: HashMap::new(),
            restarted_at: settings.restarted_at,
            policy: settings.policy,
        };
        RoutingEngine {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            quotas: quotas::new_rate_limiter(&settings),
            placement,
            slack_share: 1.0,
            settings,
            table: None,
            searchers: Vec::new(),
            by_instance: HashMap::new(),
            by_incarnation: HashMap::new(),
            by_service: HashMap::new(),
            services: HashMap::new(),
            evacuated_zones: Vec::new(),
            extra_windows: HashMap::new(),
            routes: HashMap::new(),
            groups: HashMap::new(),
            service_waits: HashMap::new(),
            requests: HashMap::new(),
            held_requests: Vec::new(),
            sent_attempts: HashMap::new(),
            waiting_shards: HashMap::new(),
            wakes: BinaryHeap::new(),
            quarantine: Quarantine::default(),
            logged_alarms: Default::default(),
            entry_checks: Default::default(),
            stops_at: None,
            is_view_outdated: false,
            counters: RoutingCounters::default(),
        }
    }

    /// Handles one event and appends the actions that follow from it.
    pub fn on_event(&mut self, now: BootTime, event: RoutingEvent, actions: &mut Vec<RoutingAction>) {
        match event {
            RoutingEvent::Configuration(table) => {
                self.set_quotas(now, &table);
                self.set_table(table);
                self.revoke_requests(now, actions);
                self.start_held(now, actions);
            }
            RoutingEvent::Searchers(entries) => {
                self.set_searchers(now, entries, actions);
                self.start_held(now, actions);
            }
            RoutingEvent::SearchersGone(instances) => {
                let until = now + self.settings.lapse_grace;
                instances.iter().for_each(|instance| self.mark_searcher_lapsed(now, instance, until))
            }
            RoutingEvent::SearchersLeft(instances) => {
                instances.iter().for_each(|instance| self.mark_searcher_lapsed(now, instance, now))
            }
            RoutingEvent::Evacuated(zones) => self.set_evacuated(now, zones, actions),
            RoutingEvent::Fleet { nodes_by_zone, serving, rank, slack_share, nodes } => {
                self.placement.nodes_by_zone = nodes_by_zone;
                self.placement.fleet = FleetRank { rank, serving };
                self.slack_share = slack_share;
                self.set_quota_nodes(now, nodes);
            }
            RoutingEvent::Arrived(arrival) => self.on_arrival(now, arrival, actions),
            RoutingEvent::CallerGone(request) => self.on_caller_gone(request, actions),
            RoutingEvent::Connected { searcher, took } => {
                let searcher = &mut self.searchers[searcher.0 as usize];
                searcher.note_connected(now);
                self.placement.note_connected(&searcher.entry.zone, took);
            }
            RoutingEvent::Begun { attempt } => {
                self.on_begun(now, attempt, actions);
            }
            RoutingEvent::Ended { attempt, outcome } => self.on_ended(now, attempt, outcome, actions),
            RoutingEvent::PeerCases(records) => self.merge_peer_cases(now, &records, actions),
            RoutingEvent::Isolated { is_isolated } => self.quotas.set_isolated(is_isolated),
            RoutingEvent::PeerQuota { from, messages } => self.handle_quota_messages(now, from, messages, actions),
            RoutingEvent::StopsAt(stops_at) => self.on_stops_at(now, stops_at, actions),
            RoutingEvent::View { is_outdated } => self.set_view_outdated(now, is_outdated, actions),
            RoutingEvent::Tick => {
                self.on_tick(now, actions);
                self.send_due_quotas(now, actions);
            }
        }
    }

    /// Changes the bound on extra sends.
    pub fn set_extra_bound(&mut self, bound: ExtraBound) {
        self.settings.extra = bound;
    }

    /// Changes the bound on requests to cold searchers.
    pub fn set_cold_bound(&mut self, bound: ColdBound) {
        self.settings.cold = bound;
        self.placement.cold = bound;
    }

    /// Returns when [`RoutingEvent::Tick`] is due next.
    pub fn next_wake(&self) -> Option<BootTime> {
        let wake = self.wakes.peek().map(|Reverse((time, _))| *time);
        wake.into_iter().chain(self.quotas.next_wake()).min()
    }

    /// Returns the number of scheduled wakes, including those that an earlier wake of the same request has
    /// superseded.
    pub fn scheduled_wakes(&self) -> usize {
        self.wakes.len()
    }

    /// Returns the number of requests without a final result, held ones included.
    pub fn in_flight(&self) -> usize {
        self.requests.len() + self.held_requests.len()
    }

    /// Returns the id of the searcher that an attempt was sent to, while the attempt holds a connection.
    pub fn instance_of(&self, attempt: AttemptKey) -> Option<&Arc<str>> {
        let sent = self.sent_attempts.get(&attempt)?;
        Some(&self.searchers[sent.searcher.0 as usize].entry.instance)
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the number of searchers whose entries say that they serve.
    pub fn serving_searchers(&self) -> usize {
        self.searchers.iter().filter(|searcher| searcher.is_serving()).count()
    }

    /// Returns the lowest `max_connections` of all services that routes ask as shards; `None` when no route gathers
    /// shards. Each bound holds for the connections of all nodes together.
    pub fn lowest_max_connections(&self) -> Option<u32> {
        let routes = &self.table.as_ref()?.definition().routes;
        let shards = routes.iter().filter_map(|route| match &route.target {
            RouteTarget::Gather(gather) => Some(&gather.shards),
            RouteTarget::Service(_) | RouteTarget::Weighted(_) => None,
        });
        shards.flatten().filter_map(|shard| self.services.get(shard).map(|entry| entry.max_connections)).min()
    }

    /// Puts a configuration into force.
    fn set_table(&mut self, table: Arc<RouteTable>) {
        let services = &table.definition().services;
        self.services = services.iter().map(|entry| (entry.name.clone(), entry.clone())).collect();
        for searcher in &mut self.searchers {
            if let Some(service) = self.services.get(&searcher.entry.service) {
                searcher.max_connections = service.max_connections;
                searcher.cold_start = service.cold_start;
            }
        }
        let routes = &table.definition().routes;
        self.routes.retain(|name, _| routes.iter().any(|route| route.name == *name));
        self.set_groups(&table);
        self.table = Some(table);
    }

    /// Returns the searchers of a service that a request may be sent to by their state and region. Free capacity and
    /// avoidance after failures aren't checked.
    pub(crate) fn eligible_searchers(
        &self,
        now: BootTime,
        regions: AllowedRegions<'_>,
        service: &Arc<str>,
    ) -> impl Iterator<Item = (SearcherKey, &Searcher)> {
        let listed = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let known = listed.iter().map(|key| (*key, &self.searchers[key.0 as usize]));
        known.filter(move |(_, searcher)| searcher.may_be_asked(now) && self.placement.allows(regions, searcher))
    }

    /// Returns the measurements of a route, which are created on first use.
    pub(crate) fn route_statistics(&mut self, route: &Arc<str>, goal: Duration) -> &mut RouteStatistics {
        self.routes.entry(route.clone()).or_insert_with(|| RouteStatistics {
            work: LatencyTracker::new(goal / INITIAL_WORK_DIVISOR),
            usual_work: UsualWork::default(),
            round_robin: WeightedRoundRobin::default(),
        })
    }

    /// Takes the scheduled wake of a request if it is the one that is due now. Returns `false` for a wake that an
    /// earlier one of the same request has superseded.
    fn claim_wake(&mut self, key: RequestKey, due: BootTime) -> bool {
        let Some(request) = self.requests.get_mut(&key) else {
            // The request is held, or it has ended.
            return true;
        };
        request.wake_at.take_if(|at| *at == due).is_some()
    }

    fn on_tick(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        self.log_ended_alarms(now, actions);
        for (due, key) in self.pop_due_wakes(now) {
            if self.claim_wake(key, due) {
                self.on_wake(now, key, actions);
            }
        }
    }

    /// Removes the wakes that are due and returns them in order. A wake that is scheduled while these are handled
    /// waits for the next tick even if it is due already, so that a request which schedules one wake after another
    /// can't keep the node from its sockets, its peers and other requests.
    fn pop_due_wakes(&mut self, now: BootTime) -> Vec<(BootTime, RequestKey)> {
        let mut taken = Vec::new();
        while let Some(Reverse((due, key))) = self.wakes.peek().copied().filter(|Reverse((due, _))| *due <= now) {
            self.wakes.pop();
            taken.push((due, key));
        }
        taken
    }
}
