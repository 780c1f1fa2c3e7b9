//! Random histories of the routing engine: the steps, and the simulation that executes them and keeps a ledger.
//!
//! The ledger records where each attempt was sent and how it ended. The module `judge` checks every action of the
//! engine against it.

mod judge;

use crate::common::{self, Driver, answer, definition, gather, records, route, searcher, weighted};
use proptest::prelude::*;
use staircross_routing::engine::RoutingEvent;
use staircross_routing::state::request::Unknown;
use staircross_routing::{
    AttemptKey, AttemptOutcome, NotRun, RequestKey, RouteDefinition, RouteTable, RouteTarget, RoutingDefinition,
};
use staircross_types::BootTime;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const SHARDS: [&str; 3] = ["x", "y", "z"];
const ZONES: [&str; 3] = ["a", "b", "c"];
const SERVICES: [&str; 5] = ["x", "y", "z", "solo", "other"];

/// An event that a node experiences.
#[derive(Clone, Debug)]
pub enum Step {
    /// A request arrives for the route with this index.
    Arrive(u8),
    /// An open attempt ends, with an outcome chosen by the number.
    End(prop::sample::Index, u8),
    CallerLeaves(prop::sample::Index),
    Advance(u16),
    Drain(prop::sample::Index),
    RemoveEntry(prop::sample::Index),
    /// A searcher of a service starts in a zone, each given by its index.
    AddSearcher(u8, u8),
    /// A newer configuration comes, of the next version or of the one after it.
    Configure(bool),
    /// The number of serving nodes changes.
    Fleet(u8),
    /// The zone with this index is evacuated instead of any other; a number beyond the zones ends the evacuation.
    Evacuate(u8),
}

/// Generates one step of a history, with weights by which the usual steps are more frequent.
pub fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..5_u8).prop_map(Step::Arrive),
        14 => (any::<prop::sample::Index>(), 0..12_u8).prop_map(|(which, outcome)| Step::End(which, outcome)),
        1 => any::<prop::sample::Index>().prop_map(Step::CallerLeaves),
        6 => (1..400_u16).prop_map(Step::Advance),
        1 => any::<prop::sample::Index>().prop_map(Step::Drain),
        1 => any::<prop::sample::Index>().prop_map(Step::RemoveEntry),
        2 => (0..5_u8, 0..3_u8).prop_map(|(service, zone)| Step::AddSearcher(service, zone)),
        1 => any::<bool>().prop_map(Step::Configure),
        1 => (1..12_u8).prop_map(Step::Fleet),
        1 => (0..6_u8).prop_map(Step::Evacuate),
    ]
}

fn routes(is_second: bool) -> Vec<RouteDefinition> {
    let mut once = route("once", RouteTarget::Service(Arc::from("solo")));
    once.is_idempotent = false;
    // Zones `a` and `b` are in the region `north`, zone `c` isn't.
    let mut northern = route("northern", gather(&SHARDS, 2, 0.6));
    northern.allowed_regions = vec![Arc::from("north")];
    let shards: &[&str] = if is_second { &SHARDS[..2] } else { &SHARDS };
    vec![
        route("query", gather(shards, 2, 0.6)),
        route("solo", RouteTarget::Service(Arc::from("solo"))),
        once,
        route("split", weighted(&[("solo", 2), ("other", 1)])),
        northern,
    ]
}

/// Most connections to one searcher, of all nodes together. They are so few that shards often wait for a searcher with
/// a free connection.
const MAX_CONNECTIONS: u32 = 4;
const PATHS: [&str; 5] = ["/query/1", "/solo/1", "/once/1", "/split/1", "/northern/1"];
/// Index of the route whose requests may be served in the region `north` only.
const NORTHERN_ROUTE: usize = 4;

fn configuration(version: u64) -> RoutingDefinition {
    let mut definition = definition(version, routes(version.is_multiple_of(2)), &SERVICES);
    definition.services.iter_mut().for_each(|service| service.max_connections = MAX_CONNECTIONS);
    definition
}

/// The state of one attempt: not ended yet, ended without having run, or ended and possibly run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Open,
    NotRun,
    MayHaveRun,
}

/// The ledger's data of one attempt.
#[derive(Debug)]
struct SentAttempt {
    attempt: AttemptKey,
    instance: String,
    service: String,
    state: AttemptState,
    /// Whether the searcher received any of the request.
    is_received: bool,
}

/// The ledger's data of one request.
#[derive(Debug)]
struct RequestRecord {
    route: usize,
    version: u64,
    arrived: BootTime,
    caller_left: bool,
}

/// Slack of the budget for extra sends, small enough that short histories can use it up.
const SLACK: f64 = 4.0;

fn settings_with_little_slack() -> staircross_routing::RoutingSettings {
    let mut settings = common::settings();
    settings.extra.slack = SLACK;
    settings
}

/// The simulated node with the ledger of what happened to its requests.
struct World {
    driver: Driver,
    version: u64,
    next_instance: u32,
    /// Instances that may be asked, with their services.
    serving: BTreeMap<String, String>,
    /// Instances whose entry was removed, with their service and the time at which the engine was told.
    lapsed: BTreeMap<String, (String, BootTime)>,
    /// Zones of all instances, including those that are gone.
    zones: BTreeMap<String, &'static str>,
    /// The zone that is evacuated, if any.
    evacuated: Option<&'static str>,
    sent_attempts: Vec<SentAttempt>,
    requests: BTreeMap<RequestKey, RequestRecord>,
    /// Parts with which each request was answered: stamp, service, records.
    parts: BTreeMap<RequestKey, Vec<(String, String, Vec<u8>)>>,
    checked_sends: usize,
    checked_ends: usize,
    arrivals: Vec<(BootTime, String)>,
    extra_sends: Vec<(BootTime, AttemptKey)>,
}

impl World {
    fn new() -> Self {
        let mut world = World {
            driver: Driver::with_settings(settings_with_little_slack(), configuration(1), Vec::new()),
            version: 1,
            next_instance: 0,
            serving: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            zones: BTreeMap::new(),
            evacuated: None,
            sent_attempts: Vec::new(),
            requests: BTreeMap::new(),
            parts: BTreeMap::new(),
            checked_sends: 0,
            checked_ends: 0,
            arrivals: Vec::new(),
            extra_sends: Vec::new(),
        };
        for service in 0..5 {
            for zone in 0..2 {
                world.add_searcher(service, zone);
            }
        }
        world
    }

    fn add_searcher(&mut self, service: u8, zone: u8) {
        let instance = format!("i{}", self.next_instance);
        self.next_instance += 1;
        let service = SERVICES[usize::from(service)];
        let zone = ZONES[usize::from(zone)];
        self.driver.event(RoutingEvent::Searchers(vec![searcher(&instance, service, zone)]));
        self.zones.insert(instance.clone(), zone);
        self.serving.insert(instance, service.to_owned());
    }

    fn pick_serving(&self, which: &prop::sample::Index) -> Option<(String, String)> {
        let all: Vec<_> = self.serving.iter().collect();
        (!all.is_empty()).then(|| {
            let (instance, service) = all[which.index(all.len())];
            (instance.clone(), service.clone())
        })
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Arrive(route) => self.arrive(usize::from(*route)),
            Step::End(which, outcome_choice) => self.end(which, *outcome_choice),
            Step::CallerLeaves(which) => self.caller_leaves(which),
            Step::Advance(millis) => self.driver.advance_ms(u64::from(*millis)),
            Step::Drain(which) => {
                if let Some((instance, service)) = self.pick_serving(which) {
                    self.serving.remove(&instance);
                    let mut entry = searcher(&instance, &service, self.zones[&instance]);
                    entry.is_draining = true;
                    self.driver.event(RoutingEvent::Searchers(vec![entry]));
                }
            }
            Step::RemoveEntry(which) => {
                if let Some((instance, service)) = self.pick_serving(which) {
                    self.serving.remove(&instance);
                    self.lapsed.insert(instance.clone(), (service, self.driver.now));
                    self.driver.event(RoutingEvent::SearchersGone(vec![Arc::from(instance.as_str())]));
                }
            }
            Step::AddSearcher(service, zone) => self.add_searcher(*service, *zone),
            Step::Configure(is_next_version) => {
                self.version += if *is_next_version { 1 } else { 2 };
                let table = RouteTable::new(Arc::new(configuration(self.version)));
                self.driver.event(RoutingEvent::Configuration(Arc::new(table)));
            }
            Step::Evacuate(which) => {
                self.evacuated = ZONES.get(usize::from(*which)).copied();
                let zones = self.evacuated.iter().map(|zone| Arc::from(*zone)).collect();
                self.driver.event(RoutingEvent::Evacuated(zones));
            }
            Step::Fleet(count) => self.driver.set_fleet(&[("a", 1), ("b", 1)], usize::from(*count).max(2)),
        }
        self.check_new_actions()
    }

    fn arrive(&mut self, route: usize) {
        let arrival = self.driver.arrival(PATHS[route]);
        let record = RequestRecord { route, version: self.version, arrived: self.driver.now, caller_left: false };
        self.requests.insert(arrival.key, record);
        // Counts a request of a weighted route for each of its services, since the ledger doesn't know which one the
        // engine chooses.
        for service in self.shards_of(arrival.key) {
            self.arrivals.push((self.driver.now, service));
        }
        self.driver.event(RoutingEvent::Arrived(arrival));
    }

    fn shards_of(&self, request: RequestKey) -> Vec<String> {
        let definition = configuration(self.requests[&request].version);
        match &definition.routes[self.requests[&request].route].target {
            RouteTarget::Gather(target) => target.shards.iter().map(|shard| shard.to_string()).collect(),
            RouteTarget::Service(service) => vec![service.to_string()],
            RouteTarget::Weighted(set) => set.iter().map(|entry| entry.service.to_string()).collect(),
        }
    }

    fn end(&mut self, which: &prop::sample::Index, outcome_choice: u8) {
        let open: Vec<usize> = (0..self.sent_attempts.len())
            .filter(|index| self.sent_attempts[*index].state == AttemptState::Open)
            .collect();
        if open.is_empty() {
            return;
        }
        let index = open[which.index(open.len())];
        let attempt = self.sent_attempts[index].attempt;
        let service = self.sent_attempts[index].service.clone();
        let stamp = format!("{}-{}", attempt.request.0, attempt.number);
        let body = records(&[outcome_choice, attempt.number as u8, attempt.request.0 as u8]);
        let (outcome, state, is_received) = match outcome_choice {
            0..=5 => (answer(200, &stamp, body.clone()), AttemptState::MayHaveRun, true),
            6 => (answer(500, &stamp, body.clone()), AttemptState::MayHaveRun, true),
            7 => (AttemptOutcome::Unknown(Unknown::Broken), AttemptState::MayHaveRun, true),
            8 => (AttemptOutcome::NotRun(NotRun::Shed), AttemptState::NotRun, true),
            9 => (AttemptOutcome::NotRun(NotRun::OtherInstance), AttemptState::NotRun, true),
            10 => (AttemptOutcome::NotRun(NotRun::Unconnected), AttemptState::NotRun, false),
            _ => (AttemptOutcome::NotRun(NotRun::ConnectionRejected), AttemptState::NotRun, false),
        };
        self.sent_attempts[index].state = state;
        self.sent_attempts[index].is_received = is_received;
        if outcome_choice <= 5 {
            self.parts.entry(attempt.request).or_default().push((stamp, service, body));
        }
        if outcome_choice == 9 {
            // Another instance runs at that address, so this one must not be asked again.
            let instance = self.sent_attempts[index].instance.clone();
            self.serving.remove(&instance);
        }
        self.driver.end(attempt, outcome);
    }

    fn caller_leaves(&mut self, which: &prop::sample::Index) {
        let ended: BTreeSet<RequestKey> = self.driver.finished.iter().map(|(key, _)| *key).collect();
        let waiting: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(key, record)| !ended.contains(key) && !record.caller_left)
            .map(|(key, _)| *key)
            .collect();
        if !waiting.is_empty() {
            let key = waiting[which.index(waiting.len())];
            if let Some(record) = self.requests.get_mut(&key) {
                record.caller_left = true;
            }
            self.driver.event(RoutingEvent::CallerGone(key));
        }
    }
}

/// Executes a history and checks the engine's actions after each step and at the end.
pub fn run_history(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut world = World::new();
    for step in steps {
        world.step(step)?;
    }
    world.finish()
}
