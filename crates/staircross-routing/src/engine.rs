//! One request from arrival to its final answer.
//!
//! Inputs: configurations, searcher entries, the fleet, arrivals, outcomes of attempts, time.
//! Invariants: a request keeps the configuration it began with; a request that can't be repeated is
//! sent again only after "not run"; a refusal of a never-run kind is given only if nothing was sent,
//! or whatever was sent was answered "not run"; every request ends by its deadline.

mod arrival;
mod counters;
mod dispatch;
mod first_probe;
mod outcome;
mod overload;
mod quotas;
mod revocation;
mod searchers;
mod settle;
mod suspicion;
mod waiting;

use crate::configuration::definition::{RouteTarget, ServiceEntry};
use crate::configuration::table::RouteTable;
use crate::decision::admission::{UsualWork, Wait};
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::cold::{ColdBound, FleetRank};
use crate::decision::extra_budget::{ExtraBound, ExtraWindow};
use crate::decision::placement::Place;
use crate::decision::quarantine::Quarantine;
use crate::decision::weighted_round_robin::WeightedRoundRobin;
pub use crate::engine_message::{
    AbandonCause, HoldCause, LeftOutCause, ProbeStep, ReportedAt, RoutingAction, RoutingEvent, SendOrder, SendReason,
    UnsentCause,
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
use staircross_quota::{FleetAllowance, QuotaBound};
use staircross_types::{BootTime, NodeId};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Part of a route's goal that its usual work is taken to be before there are measurements.
const WORK_FRACTION_OF_GOAL: u32 = 8;

/// Bounds and place of a node's engine.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Bound on extra sends, for all nodes together.
    pub extra: ExtraBound,
    /// Zone of this node.
    pub zone: Arc<str>,
    /// Regions by zone.
    pub regions: HashMap<Arc<str>, Arc<str>>,
    /// Time after the end of its entry during which a searcher is asked where nobody else can be.
    pub lapse_grace: Duration,
    /// Bound on requests to a cold searcher, for all nodes together.
    pub cold: ColdBound,
    /// Requests held at once.
    pub max_requests: usize,
    /// When this process started, if it isn't the first on its machine: searchers may still count the connections
    /// of the one before.
    pub restarted_at: Option<BootTime>,
    /// This incarnation of the node.
    pub node: NodeId,
    /// How far all nodes together may exceed tenants' quotas.
    pub quota: QuotaBound,
    /// When the process started.
    pub started_at: BootTime,
    /// Mechanisms that are on.
    pub policy: RoutingPolicy,
    /// Feeds random choices.
    pub seed: u64,
}

/// What is measured per route.
pub(crate) struct RouteStatistics {
    /// Time of answered attempts, without the round trip.
    pub work: LatencyTracker,
    /// The same where nothing waits in a queue.
    pub usual: UsualWork,
    pub turns: WeightedRoundRobin,
}

/// What must be remembered of an attempt until it holds no connection any more.
pub(crate) struct SentAttempt {
    pub searcher: SearcherKey,
    pub route: Arc<str>,
    pub sent_at: BootTime,
    /// When it had a connection to be written on.
    pub begun_at: BootTime,
    /// The group of services that it belongs to.
    pub group: Arc<str>,
    /// What was asked for.
    pub content: ContentKey,
    /// Whether its request had been answered by some searcher when it ended.
    pub is_request_answered: bool,
}

/// A shard that waits for a searcher with room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitingShard {
    pub request: RequestKey,
    pub shard: u32,
}

/// The decisions of one node.
pub struct RoutingEngine {
    pub(crate) settings: RoutingSettings,
    pub(crate) random: ChaCha8Rng,
    pub(crate) place: Place,
    /// Part of the slack for extra sends that this node may spend.
    pub(crate) slack_share: f64,
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) searchers: Vec<Searcher>,
    /// The incarnation that holds of each id.
    by_instance: HashMap<Arc<str>, SearcherKey>,
    by_incarnation: HashMap<Incarnation, SearcherKey>,
    pub(crate) by_service: HashMap<Arc<str>, Vec<SearcherKey>>,
    services: HashMap<Arc<str>, ServiceEntry>,
    /// Zones whose searchers get no new work.
    evacuated: Vec<Arc<str>>,
    pub(crate) windows: HashMap<Arc<str>, ExtraWindow>,
    pub(crate) routes: HashMap<Arc<str>, RouteStatistics>,
    /// What is taken of the offered work, by the first service that it asks.
    groups: HashMap<Arc<str>, ServiceGroup>,
    /// Waits at the searchers of each service.
    pub(crate) waits: HashMap<Arc<str>, Wait>,
    pub(crate) requests: HashMap<RequestKey, Request>,
    /// Requests that this node can't begin yet, in the order in which they came.
    held: Vec<HeldRequest>,
    pub(crate) sent: HashMap<AttemptKey, SentAttempt>,
    /// Shards that wait for a searcher with room, by service.
    pub(crate) waiting: HashMap<Arc<str>, VecDeque<WaitingShard>>,
    pub(crate) wakes: BinaryHeap<Reverse<(BootTime, RequestKey)>>,
    /// Requests that end the searchers that run them.
    pub(crate) quarantine: Quarantine,
    /// What this node may admit of tenants' quotas.
    quotas: FleetAllowance,
    /// Which alarms were logged.
    alarms: first_probe::AlarmLog,
    /// Counters for metrics.
    pub counters: RoutingCounters,
}

impl RoutingEngine {
    /// An engine that knows no configuration yet.
    pub fn new(settings: RoutingSettings) -> Self {
        let place = Place {
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
            quotas: quotas::allowance(&settings),
            place,
            slack_share: 1.0,
            settings,
            table: None,
            searchers: Vec::new(),
            by_instance: HashMap::new(),
            by_incarnation: HashMap::new(),
            by_service: HashMap::new(),
            services: HashMap::new(),
            evacuated: Vec::new(),
            windows: HashMap::new(),
            routes: HashMap::new(),
            groups: HashMap::new(),
            waits: HashMap::new(),
            requests: HashMap::new(),
            held: Vec::new(),
            sent: HashMap::new(),
            waiting: HashMap::new(),
            wakes: BinaryHeap::new(),
            quarantine: Quarantine::default(),
            alarms: Default::default(),
            counters: RoutingCounters::default(),
        }
    }

    /// Takes one event; appends what is to be done.
    pub fn on_event(&mut self, now: BootTime, event: RoutingEvent, actions: &mut Vec<RoutingAction>) {
        match event {
            RoutingEvent::Configuration(table) => {
                self.set_quotas(now, &table);
                self.set_table(table);
                self.end_revoked(now, actions);
                self.begin_held(now, actions);
            }
            RoutingEvent::Searchers(entries) => {
                self.set_searchers(now, entries, actions);
                self.begin_held(now, actions);
            }
            RoutingEvent::SearchersGone(instances) => {
                instances.iter().for_each(|instance| self.set_lapsed(now, instance))
            }
            RoutingEvent::Evacuated(zones) => self.set_evacuated(now, zones, actions),
            RoutingEvent::Fleet { nodes_by_zone, serving, rank, slack_share, nodes } => {
                self.place.nodes_by_zone = nodes_by_zone;
                self.place.fleet = FleetRank { rank, serving };
                self.slack_share = slack_share;
                self.set_quota_nodes(now, nodes);
            }
            RoutingEvent::Arrived(arrival) => self.admit(now, arrival, actions),
            RoutingEvent::CallerGone(request) => self.on_caller_gone(request, actions),
            RoutingEvent::Connected { searcher, took } => {
                let searcher = &mut self.searchers[searcher.0 as usize];
                searcher.note_connected(now);
                self.place.note_connected(&searcher.entry.zone, took);
            }
            RoutingEvent::Begun { attempt } => {
                self.on_begun(now, attempt, actions);
            }
            RoutingEvent::Ended { attempt, outcome } => self.on_ended(now, attempt, outcome, actions),
            RoutingEvent::PeerCases(records) => self.take_peer_cases(now, &records, actions),
            RoutingEvent::Isolated { is_isolated } => self.quotas.set_isolated(is_isolated),
            RoutingEvent::PeerQuota { from, messages } => self.take_quota_messages(now, from, messages, actions),
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
        self.place.cold = bound;
    }

    /// When `Tick` is due next.
    pub fn next_wake(&self) -> Option<BootTime> {
        let wake = self.wakes.peek().map(|Reverse((time, _))| *time);
        wake.into_iter().chain(self.quotas.next_wake()).min()
    }

    /// Times at which requests are to be looked at again, those that another look has overtaken too.
    pub fn scheduled_wakes(&self) -> usize {
        self.wakes.len()
    }

    /// Requests without a final word.
    pub fn in_flight(&self) -> usize {
        self.requests.len() + self.held.len()
    }

    /// The searcher's incarnation that an attempt which still holds a connection was sent to.
    pub fn instance_of(&self, attempt: AttemptKey) -> Option<&Arc<str>> {
        let sent = self.sent.get(&attempt)?;
        Some(&self.searchers[sent.searcher.0 as usize].entry.instance)
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Searchers that may be asked.
    pub fn serving_searchers(&self) -> usize {
        self.searchers.iter().filter(|searcher| searcher.is_serving()).count()
    }

    /// What the searcher of a shard with the lowest bound accepts from all nodes together; `None` when no
    /// route asks shards.
    pub fn tightest_connections(&self) -> Option<u32> {
        let routes = &self.table.as_ref()?.definition().routes;
        let shards = routes.iter().filter_map(|route| match &route.target {
            RouteTarget::Gather(gather) => Some(&gather.shards),
            RouteTarget::Service(_) | RouteTarget::Weighted(_) => None,
        });
        shards.flatten().filter_map(|shard| self.services.get(shard).map(|entry| entry.max_connections)).min()
    }

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

    /// Searchers of a service that a request may be sent to, room and trials aside.
    pub(crate) fn askable(
        &self,
        now: BootTime,
        regions: AllowedRegions<'_>,
        service: &Arc<str>,
    ) -> impl Iterator<Item = (SearcherKey, &Searcher)> {
        let peers = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let known = peers.iter().map(|key| (*key, &self.searchers[key.0 as usize]));
        known.filter(move |(_, searcher)| searcher.may_be_asked(now) && self.place.allows(regions, searcher))
    }

    pub(crate) fn statistics(&mut self, route: &Arc<str>, goal: Duration) -> &mut RouteStatistics {
        self.routes.entry(route.clone()).or_insert_with(|| RouteStatistics {
            work: LatencyTracker::new(goal / WORK_FRACTION_OF_GOAL),
            usual: UsualWork::default(),
            turns: WeightedRoundRobin::default(),
        })
    }

    /// Whether a request is to be looked at now that a time scheduled for it has come; an earlier look has overtaken others.
    fn take_wake(&mut self, key: RequestKey, due: BootTime) -> bool {
        let Some(request) = self.requests.get_mut(&key) else {
            // It is held, or over.
            return true;
        };
        request.wake_at.take_if(|at| *at == due).is_some()
    }

    fn on_tick(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        self.log_ended_alarms(now, actions);
        for (due, key) in self.take_due_wakes(now) {
            if self.take_wake(key, due) {
                self.on_due(now, key, actions);
            }
        }
    }

    /// Takes the looks whose time has come, in order. One that is scheduled while they are made waits for the next tick though its time has come,
    /// so that a request which asks for one look after the other never keeps its node from sockets, peers and other requests.
    fn take_due_wakes(&mut self, now: BootTime) -> Vec<(BootTime, RequestKey)> {
        let mut taken = Vec::new();
        while let Some(Reverse((due, key))) = self.wakes.peek().copied().filter(|Reverse((due, _))| *due <= now) {
            self.wakes.pop();
            taken.push((due, key));
        }
        taken
    }
}
