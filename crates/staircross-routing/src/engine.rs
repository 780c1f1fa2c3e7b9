//! One request from arrival to its final answer.
//!
//! Inputs: configurations, searcher entries, the fleet, arrivals, outcomes of attempts, time.
//! Invariants: a request keeps the configuration it began with; a request that can't be repeated is
//! sent again only after "not run"; a refusal of a never-run kind is given only if nothing was sent,
//! or whatever was sent was answered "not run"; every request ends by its deadline.

mod arrival;
mod dispatch;
mod first_probe;
mod outcome;
mod overload;
mod settle;
mod suspicion;
mod waiting;

use crate::admission::{UsualWork, Wait};
use crate::cold::{ColdBound, FleetRank};
use crate::definition::{ColdStart, RouteDefinition, RouteTarget, ServiceEntry};
pub use crate::engine_message::{
    AbandonCause, HoldCause, LeftOutCause, ReportedAt, RoutingAction, RoutingEvent, SendOrder, SendReason, UnsentCause,
};
use crate::keys::{AttemptKey, ContentKey, RequestKey, SearcherKey};
use crate::mirror::SearcherEntry;
use crate::policy::RoutingPolicy;
use crate::quarantine::Quarantine;
use crate::request::Request;
use crate::searcher::Searcher;
use crate::selection::Place;
use crate::table::RouteTable;
use crate::turns::WeightedTurns;
use crate::window::{ExtraBound, ExtraWindow};
use arrival::HeldRequest;
use hashbrown::HashMap;
use overload::ServiceGroup;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_search::latency::LatencyTracker;
use staircross_types::BootTime;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Connections that a searcher of an unlisted service is taken to accept.
const DEFAULT_MAX_CONNECTIONS: u32 = 32;
/// Part of a route's goal that its usual work is taken to be before there are measurements.
const WORK_PART_OF_GOAL: u32 = 8;

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
    /// Mechanisms that are on.
    pub policy: RoutingPolicy,
    /// Feeds random choices.
    pub seed: u64,
}

/// What is measured per route.
pub(crate) struct RouteStatistics {
    /// Time of answered attempts, without the way there.
    pub work: LatencyTracker,
    /// The same where nothing waits in a queue.
    pub usual: UsualWork,
    pub turns: WeightedTurns,
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

/// Counters, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoutingCounters {
    /// First attempts.
    pub firsts: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries.
    pub retries: u64,
    /// Attempts made elsewhere because no connection came up.
    pub reroutes: u64,
    /// Hedges and retries that the budget refused.
    pub over_budget: u64,
    /// Answers with fewer than all parts.
    pub partial_answers: u64,
    /// Requests refused because too much waits at the searchers.
    pub not_admitted: u64,
}

/// The decisions of one node.
pub struct RoutingEngine {
    pub(crate) settings: RoutingSettings,
    pub(crate) random: ChaCha8Rng,
    pub(crate) place: Place,
    /// Part of the slack for extra sends that this node may spend.
    pub(crate) slack_part: f64,
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) searchers: Vec<Searcher>,
    by_instance: HashMap<Arc<str>, SearcherKey>,
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
    /// Which alarms the log was told.
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
            ways: HashMap::new(),
            restarted_at: settings.restarted_at,
            policy: settings.policy,
        };
        RoutingEngine {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            place,
            slack_part: 1.0,
            settings,
            table: None,
            searchers: Vec::new(),
            by_instance: HashMap::new(),
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
                self.set_table(table);
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
            RoutingEvent::Fleet { nodes_by_zone, serving, rank, slack_part } => {
                self.place.nodes_by_zone = nodes_by_zone;
                self.place.fleet = FleetRank { rank, serving };
                self.slack_part = slack_part;
            }
            RoutingEvent::Arrived(arrival) => self.admit(now, arrival, actions),
            RoutingEvent::CallerGone(request) => self.on_caller_gone(request, actions),
            RoutingEvent::Connected { searcher, took } => {
                let zone = self.searchers[searcher.0 as usize].entry.zone.clone();
                self.place.note_connected(&zone, took);
            }
            RoutingEvent::Begun { attempt } => {
                self.on_begun(now, attempt, actions);
            }
            RoutingEvent::Ended { attempt, outcome } => self.on_ended(now, attempt, outcome, actions),
            RoutingEvent::PeerCases(records) => self.take_peer_cases(now, &records, actions),
            RoutingEvent::Tick => self.on_tick(now, actions),
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
        self.wakes.peek().map(|Reverse((time, _))| *time)
    }

    /// Requests without a final word.
    pub fn in_flight(&self) -> usize {
        self.requests.len() + self.held.len()
    }

    /// The searcher's run that an attempt which still holds a connection was sent to.
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

    fn set_searchers(&mut self, now: BootTime, entries: Vec<SearcherEntry>, actions: &mut Vec<RoutingAction>) {
        let mut services: Vec<Arc<str>> = entries.iter().map(|entry| entry.service.clone()).collect();
        entries.into_iter().for_each(|entry| self.set_searcher(now, entry));
        services.sort_unstable();
        services.dedup();
        services.iter().for_each(|service| self.serve_waiting(now, service, actions));
    }

    fn set_searcher(&mut self, now: BootTime, entry: SearcherEntry) {
        let service = entry.service.clone();
        let key = match self.by_instance.get(&entry.instance) {
            Some(key) => {
                self.searchers[key.0 as usize].update(now, entry);
                *key
            }
            None => {
                let key = SearcherKey(self.searchers.len() as u32);
                self.by_instance.insert(entry.instance.clone(), key);
                let searcher = self.new_searcher(now, entry);
                self.searchers.push(searcher);
                key
            }
        };
        let peers = self.by_service.entry(service).or_default();
        peers.retain(|known| *known != key && self.searchers[known.0 as usize].is_listed(now));
        if self.searchers[key.0 as usize].is_serving() {
            peers.push(key);
        }
    }

    fn new_searcher(&self, now: BootTime, entry: SearcherEntry) -> Searcher {
        let service = self.services.get(&entry.service);
        let is_evacuated = self.evacuated.contains(&entry.zone);
        let most = service.map_or(DEFAULT_MAX_CONNECTIONS, |service| service.max_connections);
        let mut searcher = Searcher::new(now, entry, most);
        searcher.cold_start = service.map_or(ColdStart::default(), |service| service.cold_start);
        searcher.set_evacuated(now, is_evacuated);
        searcher
    }

    /// Takes which zones' searchers get no new work; whoever waits for one that may be asked again gets its chance.
    fn set_evacuated(&mut self, now: BootTime, zones: Vec<Arc<str>>, actions: &mut Vec<RoutingAction>) {
        self.evacuated = zones;
        for searcher in &mut self.searchers {
            let is_evacuated = self.evacuated.contains(&searcher.entry.zone);
            searcher.set_evacuated(now, is_evacuated);
        }
        let services: Vec<Arc<str>> = self.waiting.keys().cloned().collect();
        services.iter().for_each(|service| self.serve_waiting(now, service, actions));
    }

    fn set_lapsed(&mut self, now: BootTime, instance: &Arc<str>) {
        let Some(key) = self.by_instance.get(instance).copied() else {
            return;
        };
        let until = now + self.settings.lapse_grace;
        let searcher = &mut self.searchers[key.0 as usize];
        searcher.mark_lapsed(until);
        let service = searcher.entry.service.clone();
        if let Some(peers) = self.by_service.get_mut(&service) {
            peers.retain(|known| self.searchers[known.0 as usize].is_listed(now));
        }
    }

    /// Searchers of a service that requests of a route may be sent to, room and trials aside.
    pub(crate) fn askable(
        &self,
        now: BootTime,
        route: &RouteDefinition,
        service: &Arc<str>,
    ) -> impl Iterator<Item = (SearcherKey, &Searcher)> {
        let peers = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let known = peers.iter().map(|key| (*key, &self.searchers[key.0 as usize]));
        known.filter(move |(_, searcher)| searcher.may_be_asked(now) && self.place.allows(route, searcher))
    }

    /// The run at an address is no longer the one that was asked for.
    pub(crate) fn forget_serving(&mut self, key: SearcherKey) {
        let searcher = &mut self.searchers[key.0 as usize];
        searcher.mark_gone();
        if let Some(peers) = self.by_service.get_mut(&searcher.entry.service) {
            peers.retain(|known| *known != key);
        }
    }

    pub(crate) fn statistics(&mut self, route: &Arc<str>, goal: Duration) -> &mut RouteStatistics {
        self.routes.entry(route.clone()).or_insert_with(|| RouteStatistics {
            work: LatencyTracker::new(goal / WORK_PART_OF_GOAL, None),
            usual: UsualWork::default(),
            turns: WeightedTurns::default(),
        })
    }

    fn on_tick(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        self.tell_alarms_over(now, actions);
        while let Some(Reverse((due, key))) = self.wakes.peek().copied() {
            if due > now {
                break;
            }
            self.wakes.pop();
            self.on_due(now, key, actions);
        }
    }
}
