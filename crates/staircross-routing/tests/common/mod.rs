//! A driver that feeds events to a routing engine and collects its actions, with constructors of settings, routes and
//! searchers. The clock is advanced by the test.
#![allow(dead_code)]

pub mod backends;
pub mod incarnations;
pub mod mirror;
pub mod model_store;
pub mod quarantine;
pub mod requests;
pub mod store;

use hashbrown::HashMap;
use staircross_http::HeaderBlock;
use staircross_quota::{QuotaBound, QuotaChange, QuotaMessage};
use staircross_routing::configuration::definition::{GatherTarget, WeightedService};
use staircross_routing::decision::admission::AdmissionChange;
use staircross_routing::decision::extra_budget::ExtraBound;
use staircross_routing::engine::{
    AbandonCause, HoldCause, LeftOutCause, ProbeStep, SendOrder, SendReason, UnsentCause,
};
use staircross_routing::recording::{Decision, RecordedEvent, RecordedTurn};
use staircross_routing::{
    Arrival, AttemptKey, AttemptOutcome, CallerLimits, CallerLink, ColdBound, ColdStart, ConfigurationView, ContentKey,
    Credential, KeyRefusal, RequestKey, RequestOutcome, RouteDefinition, RouteTable, RouteTarget, RoutingAction,
    RoutingDefinition, RoutingEngine, RoutingEvent, RoutingPolicy, RoutingSettings, SearcherAnswer, SearcherEntry,
    SearcherReport, ServiceEntry, SuspicionChange,
};
use staircross_types::{BootTime, NodeId};
use std::sync::Arc;
use std::time::Duration;

/// Host of all routes and requests.
pub const HOST: &str = "shop.example";
/// Time for which a searcher is still asked as a last resort after its entry was removed.
pub const LAPSE_GRACE_MS: u64 = 750;

/// One engine and all actions that it has requested, by kind.
pub struct Driver {
    pub engine: RoutingEngine,
    pub now: BootTime,
    pub sends: Vec<SendOrder>,
    /// Times at which `sends` were requested, in the same order.
    pub sent_at: Vec<BootTime>,
    pub abandoned: Vec<(AttemptKey, AbandonCause)>,
    pub recalled: Vec<AttemptKey>,
    pub keys_refused: Vec<(RequestKey, KeyRefusal)>,
    pub unsent: Vec<(RequestKey, UnsentCause)>,
    pub left_out: Vec<(String, LeftOutCause)>,
    pub held: Vec<(RequestKey, HoldCause)>,
    pub finished: Vec<(RequestKey, RequestOutcome)>,
    /// Times at which the requests in `finished` ended, in the same order.
    pub finished_at: Vec<BootTime>,
    pub not_admitted: Vec<(RequestKey, f64)>,
    pub admission: Vec<(BootTime, AdmissionChange)>,
    pub suspicions: Vec<SuspicionChange>,
    pub quota_messages: Vec<(NodeId, Vec<QuotaMessage>)>,
    pub quota_changes: Vec<QuotaChange>,
    /// Alarms of routes in order: the route's name, and whether the alarm was raised (or ended).
    pub alarms: Vec<(String, bool)>,
    /// Ids of the searchers whose answers say that they are leaving, in order.
    pub closing: Vec<String>,
    /// Steps of first probes, which are taken by requests that arrive while their route is on alarm.
    pub probe_steps: Vec<(RequestKey, ProbeStep)>,
    /// All events and the decisions on them, as they are recorded.
    pub turns: Vec<RecordedTurn>,
    paths: HashMap<RequestKey, String>,
    next_request: u64,
}

/// Returns settings of a node in zone `a`. Zones `a` and `b` are in the region `north`, zone `c` is in `south`.
pub fn settings() -> RoutingSettings {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    RoutingSettings {
        extra: ExtraBound { ratio: 0.2, window: Duration::from_secs(10), slack: 50.0 },
        zone: Arc::from("a"),
        regions: regions.into_iter().map(|(zone, region)| (Arc::from(zone), Arc::from(region))).collect(),
        lapse_grace: Duration::from_millis(LAPSE_GRACE_MS),
        cold: ColdBound::default(),
        max_requests: 1000,
        restarted_at: None,
        node: NodeId(1),
        quota: QuotaBound::default(),
        started_at: BootTime(0),
        policy: RoutingPolicy::default(),
        seed: 7,
    }
}

/// Returns the entry of a warm searcher with five slots.
pub fn searcher(instance: &str, service: &str, zone: &str) -> SearcherEntry {
    SearcherEntry {
        instance: Arc::from(instance),
        service: Arc::from(service),
        address: "127.0.0.1:9000".parse().expect("a valid address"),
        zone: Arc::from(zone),
        slots: 5,
        is_draining: false,
        cold_ms: 0,
        born_ms: 0,
    }
}

/// Returns an idempotent route for the paths under `/NAME/`, with a goal of 250 ms and at most two attempts.
pub fn route(name: &str, target: RouteTarget) -> RouteDefinition {
    RouteDefinition {
        name: Arc::from(name),
        host: Arc::from(HOST),
        path_prefix: Arc::from(format!("/{name}/")),
        target,
        is_idempotent: true,
        timeout_ms: 4000,
        goal_ms: 250,
        max_attempts: 2,
        priority: 1,
        allowed_regions: Vec::new(),
        is_public: false,
    }
}

/// Returns a target that gathers these shards.
pub fn gather(shards: &[&str], top_k: usize, min_coverage: f64) -> RouteTarget {
    RouteTarget::Gather(GatherTarget {
        shards: shards.iter().map(|name| Arc::from(*name)).collect(),
        top_k,
        min_coverage,
    })
}

/// Returns a target that distributes requests to services by these weights.
pub fn weighted(set: &[(&str, u32)]) -> RouteTarget {
    let entry = |(service, weight): &(&str, u32)| WeightedService { service: Arc::from(*service), weight: *weight };
    RouteTarget::Weighted(set.iter().map(entry).collect())
}

/// Returns a configuration without tenants whose services permit forty connections to each searcher.
pub fn definition(version: u64, routes: Vec<RouteDefinition>, services: &[&str]) -> RoutingDefinition {
    let service =
        |name: &&str| ServiceEntry { name: Arc::from(*name), max_connections: 40, cold_start: ColdStart::default() };
    RoutingDefinition {
        version,
        routes,
        services: services.iter().map(service).collect(),
        limits: CallerLimits::default(),
        tenants: Vec::new(),
    }
}

/// Returns a body with one 16-byte record for each byte, filled with that byte.
pub fn records(bytes: &[u8]) -> Vec<u8> {
    bytes.iter().flat_map(|byte| [*byte; 16]).collect()
}

/// Returns an answer of a searcher; an empty stamp stands for none.
pub fn answer(status: u16, stamp: &str, body: Vec<u8>) -> AttemptOutcome {
    let stamp = (!stamp.is_empty()).then(|| stamp.as_bytes().to_vec());
    AttemptOutcome::Answered(Box::new(SearcherAnswer {
        status,
        stamp,
        headers: HeaderBlock::default(),
        body,
        report: SearcherReport::default(),
    }))
}

impl Driver {
    /// Creates an engine that knows neither a configuration nor searchers.
    pub fn new() -> Self {
        Driver {
            engine: RoutingEngine::new(settings()),
            now: BootTime::from_millis(1_000_000),
            sends: Vec::new(),
            sent_at: Vec::new(),
            abandoned: Vec::new(),
            recalled: Vec::new(),
            keys_refused: Vec::new(),
            unsent: Vec::new(),
            left_out: Vec::new(),
            held: Vec::new(),
            finished: Vec::new(),
            finished_at: Vec::new(),
            not_admitted: Vec::new(),
            admission: Vec::new(),
            suspicions: Vec::new(),
            quota_messages: Vec::new(),
            quota_changes: Vec::new(),
            alarms: Vec::new(),
            closing: Vec::new(),
            probe_steps: Vec::new(),
            turns: Vec::new(),
            paths: HashMap::new(),
            next_request: 1,
        }
    }

    /// Creates an engine that knows a configuration and searchers, with the settings of [`settings`].
    pub fn with(definition: RoutingDefinition, searchers: Vec<SearcherEntry>) -> Self {
        Driver::with_settings(settings(), definition, searchers)
    }

    /// Creates an engine with other settings than [`settings`] that knows a configuration and searchers.
    pub fn with_settings(
        settings: RoutingSettings,
        definition: RoutingDefinition,
        searchers: Vec<SearcherEntry>,
    ) -> Self {
        let mut driver = Driver::new();
        driver.engine = RoutingEngine::new(settings);
        driver.configure(definition);
        driver.event(RoutingEvent::Searchers(searchers));
        driver
    }

    pub fn configure(&mut self, definition: RoutingDefinition) {
        self.event(RoutingEvent::Configuration(Arc::new(RouteTable::new(Arc::new(definition)))));
    }

    /// Passes an event to the engine, records the turn and collects the requested actions.
    pub fn event(&mut self, event: RoutingEvent) {
        let mut actions = Vec::new();
        let recorded = RecordedEvent::from(&event);
        self.engine.on_event(self.now, event, &mut actions);
        let decisions = actions.iter().filter_map(Decision::from_action).collect();
        self.turns.push(RecordedTurn { at: self.now, event: recorded, decisions });
        for action in actions {
            match action {
                RoutingAction::Send(order) => {
                    self.sends.push(order);
                    self.sent_at.push(self.now);
                }
                RoutingAction::Abandon { attempt, cause, .. } => self.abandoned.push((attempt, cause)),
                RoutingAction::Recall { attempt } => self.recalled.push(attempt),
                RoutingAction::Unsent { request, cause, .. } => self.unsent.push((request, cause)),
                RoutingAction::LeftOut { service, cause, .. } => self.left_out.push((service.to_string(), cause)),
                RoutingAction::Held { request, cause } => self.held.push((request, cause)),
                RoutingAction::KeyRefused { request, cause } => self.keys_refused.push((request, cause)),
                RoutingAction::NotAdmitted { request, fraction, .. } => self.not_admitted.push((request, fraction)),
                RoutingAction::Admission { change, .. } => self.admission.push((self.now, change)),
                RoutingAction::SendQuotas { to, messages } => self.quota_messages.push((to, messages)),
                RoutingAction::Quota(change) => self.quota_changes.push(change),
                RoutingAction::Suspicion { change, .. } => self.suspicions.push(change),
                RoutingAction::Alarm { route, is_raised } => self.alarms.push((route.to_string(), is_raised)),
                RoutingAction::SearcherClosing { instance, .. } => self.closing.push(instance.to_string()),
                RoutingAction::Probe { request, step } => self.probe_steps.push((request, step)),
                RoutingAction::Finish { request, outcome } => {
                    self.finished.push((request, outcome));
                    self.finished_at.push(self.now);
                }
            }
        }
    }

    /// Returns the arrival of a new request, without sending it to the engine.
    pub fn arrival(&mut self, path: &str) -> Arrival {
        let key = RequestKey(self.next_request);
        self.next_request += 1;
        self.paths.insert(key, path.to_owned());
        Arrival {
            key,
            host: HOST.to_owned(),
            path: path.to_owned(),
            caller_timeout: None,
            waited: Duration::ZERO,
            is_overloaded: false,
            newest_version: 0,
            configuration_view: ConfigurationView::Current,
            knows_searchers: true,
            link: CallerLink::default(),
            // By default each request has a content of its own.
            content: ContentKey(key.0),
            credential: Credential::Missing,
        }
    }

    /// Lets a new request arrive and returns its key.
    pub fn request(&mut self, path: &str) -> RequestKey {
        let arrival = self.arrival(path);
        let key = arrival.key;
        self.event(RoutingEvent::Arrived(arrival));
        key
    }

    /// Reports the outcome of an attempt to the engine.
    pub fn end(&mut self, attempt: AttemptKey, outcome: AttemptOutcome) {
        self.event(RoutingEvent::Ended { attempt, outcome });
    }

    /// Advances the clock by `span` and sends a tick at each wake-up time of the engine and at the end.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(wake) = self.engine.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.event(RoutingEvent::Tick);
        }
        self.now = end;
        self.event(RoutingEvent::Tick);
    }

    pub fn advance_ms(&mut self, millis: u64) {
        self.advance(Duration::from_millis(millis));
    }

    pub fn path_of(&self, request: RequestKey) -> &str {
        &self.paths[&request]
    }

    pub fn outcome(&self, request: RequestKey) -> Option<&RequestOutcome> {
        self.finished.iter().find(|(key, _)| *key == request).map(|(_, outcome)| outcome)
    }

    /// Returns the kind of refusal with which a request ended, if it was refused.
    pub fn refusal(&self, request: RequestKey) -> Option<staircross_types::ErrorKind> {
        match self.outcome(request) {
            Some(RequestOutcome::Refused { kind, .. }) => Some(*kind),
            _ => None,
        }
    }

    /// Returns the attempts that were sent for a request, in order.
    pub fn sent_for(&self, request: RequestKey) -> Vec<&SendOrder> {
        self.sends.iter().filter(|order| order.attempt.request == request).collect()
    }

    /// Returns the searchers to which a request was sent, in order.
    pub fn instances(&self, request: RequestKey) -> Vec<String> {
        self.sent_for(request).iter().map(|order| order.instance.to_string()).collect()
    }

    /// Returns the reasons for which a request was sent, in order.
    pub fn reasons(&self, request: RequestKey) -> Vec<SendReason> {
        self.sent_for(request).iter().map(|order| order.reason).collect()
    }

    /// Tells the engine that these nodes of zone `a` serve and share the tenants' quotas.
    pub fn set_fleet_nodes(&mut self, nodes: &[NodeId]) {
        let nodes_by_zone = HashMap::from([(Arc::from("a"), nodes.len())]);
        let (serving, nodes) = (nodes.len(), Some(nodes.to_vec()));
        self.event(RoutingEvent::Fleet { nodes_by_zone, serving, rank: Some(0), slack_share: 1.0, nodes });
    }

    /// Tells the engine the number of nodes in each zone, and the number of serving nodes in all.
    pub fn set_fleet(&mut self, zones: &[(&str, usize)], fleet: usize) {
        let nodes_by_zone: HashMap<Arc<str>, usize> =
            zones.iter().map(|(zone, count)| (Arc::from(*zone), *count)).collect();
        let slack_share = 1.0 / fleet as f64;
        self.event(RoutingEvent::Fleet { nodes_by_zone, serving: fleet, rank: Some(0), slack_share, nodes: None });
    }
}
