//! The root: decides about all requests of callers at one node.
//!
//! Inputs: the services in force, views of searchers, submissions, replies and time. For each request the root chooses
//! a snapshot, assigns its shards to searchers, hedges and retries within budgets, merges the replies, and answers or
//! refuses. Invariants: see [`crate::request`]; a request is reported as never executed only if nothing was sent, or
//! all that was sent was answered `NotRun`.

mod deadline;
mod finish;
mod plan;
mod reply;
mod submit;

pub use submit::Submission;

use crate::budget::ExtraWorkBudget;
use crate::limiter::ConcurrencyLimiter;
use crate::message::{Outcome, SubReply, SubRequest};
use crate::replica::SearcherStatsTable;
use crate::replica_health::ReplicaHealth;
use crate::request::Request;
use crate::session::SessionTable;
use crate::snapshot_choice::{Candidate, choose_current, evaluate_candidates};
use crate::view::SearcherView;
use hashbrown::HashMap;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_config::ServiceDefinition;
use staircross_latency::LatencyTracker;
use staircross_types::{AttemptId, BootTime, NodeId, RequestId, SearcherId, ServiceName, ShardMap, Snapshot};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

/// Settings of a root.
#[derive(Clone, Debug)]
pub struct RootSettings {
    /// Largest number of sessions that the node holds.
    pub sessions: usize,
    /// Latency that is assumed before enough replies are measured.
    pub initial_latency: Duration,
    /// Largest number of attempts for a shard in one plan, including the first.
    pub max_attempts_per_shard: usize,
    /// Largest number of plans of a request, including the first.
    pub max_plans_per_request: usize,
}

impl Default for RootSettings {
    fn default() -> Self {
        RootSettings {
            sessions: 10_000,
            initial_latency: Duration::from_millis(20),
            max_attempts_per_shard: 4,
            max_plans_per_request: 3,
        }
    }
}

/// An event that a root handles.
#[derive(Clone, Debug)]
pub enum RootEvent {
    /// The services that are now in force.
    Services(Vec<Arc<ServiceDefinition>>),
    /// The view of a searcher has changed.
    View(SearcherView),
    /// A caller submits a request.
    Submit(Submission),
    /// A leaf replied to a sub-request.
    Reply(SubReply),
    /// The caller of a request has disconnected.
    CallerGone(RequestId),
    /// Timers may be due.
    Tick,
}

/// An action that a root asks its caller to carry out.
#[derive(Clone, Debug)]
pub enum RootAction {
    /// Send the sub-request to a leaf that owns the searcher.
    Send(SubRequest),
    /// Notify the leaf that the result of an attempt is no longer needed.
    Cancel { attempt: AttemptId, searcher: SearcherId },
    /// Return the outcome of a request to its caller.
    Finish { request: RequestId, outcome: Outcome },
}

/// The root's state of one service.
pub(crate) struct ServiceState {
    pub definition: Arc<ServiceDefinition>,
    pub maps: Vec<Arc<ShardMap>>,
    /// The service's searchers.
    pub searchers: Vec<SearcherId>,
    /// Snapshots that could be served, the newest first.
    pub candidates: Vec<Candidate>,
    /// The snapshot that the service is served from.
    pub current: Option<Snapshot>,
    /// Whether `candidates` and `current` must be computed again.
    pub needs_refresh: bool,
    /// Time from sending a sub-request to its reply.
    pub latency: LatencyTracker,
    /// Like `latency`, without the time that the sub-request waited for a slot at the leaf.
    pub work_latency: LatencyTracker,
    pub hedges: ExtraWorkBudget,
    pub retries: ExtraWorkBudget,
    pub limiter: ConcurrencyLimiter,
}

/// Counters of a root, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RootCounters {
    /// Sub-requests sent as the first attempt of a plan.
    pub primaries: u64,
    /// Sub-requests sent as hedges.
    pub hedges: u64,
    /// Sub-requests sent as retries.
    pub retries: u64,
    /// Sub-requests sent again after a `NotRun` reply for another reason than `Shed`.
    pub reroutes: u64,
    /// Replies from another searcher or snapshot than was asked, or for a request of another node.
    pub foreign_replies: u64,
    /// Replies that came after their request or attempt had ended.
    pub late_replies: u64,
}

/// The root's state and decisions.
pub struct RootEngine {
    pub(crate) node: NodeId,
    pub(crate) settings: RootSettings,
    pub(crate) random: ChaCha8Rng,
    pub(crate) services: BTreeMap<ServiceName, ServiceState>,
    pub(crate) views: HashMap<SearcherId, SearcherView>,
    pub(crate) searcher_stats: SearcherStatsTable,
    pub(crate) replica_health: ReplicaHealth,
    pub(crate) requests: HashMap<u64, Request>,
    /// Times at which requests need attention, with the requests' sequence numbers. A request may have several.
    pub(crate) timers: BinaryHeap<Reverse<(BootTime, u64)>>,
    /// Attempts of finished actions, whose receipts may still come.
    pub(crate) finished_actions: HashMap<AttemptId, submit::FinishedAction>,
    /// Sessions that this node holds.
    pub sessions: SessionTable,
    /// Counters for metrics.
    pub counters: RootCounters,
}

impl RootEngine {
    /// Creates the root of `node`, without services. `seed` seeds its random choices.
    pub fn new(node: NodeId, settings: RootSettings, seed: u64) -> Self {
        RootEngine {
            node,
            random: ChaCha8Rng::seed_from_u64(seed),
            services: BTreeMap::new(),
            views: HashMap::new(),
            searcher_stats: SearcherStatsTable::default(),
            replica_health: ReplicaHealth::new(),
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            finished_actions: HashMap::new(),
            sessions: SessionTable::new(settings.sessions),
            counters: RootCounters::default(),
            settings,
        }
    }

    /// Handles one event and appends the actions to carry out.
    pub fn on_event(&mut self, now: BootTime, event: RootEvent, actions: &mut Vec<RootAction>) {
        match event {
            RootEvent::Services(definitions) => self.set_services(definitions),
            RootEvent::View(view) => self.set_view(view),
            RootEvent::Submit(submission) => self.submit(now, submission, actions),
            RootEvent::Reply(reply) => self.on_reply(now, reply, actions),
            RootEvent::CallerGone(request) => self.on_caller_gone(now, request, actions),
            RootEvent::Tick => self.on_tick(now, actions),
        }
    }

    /// Returns when [`RootEvent::Tick`] is due next.
    pub fn next_wake(&self) -> Option<BootTime> {
        self.timers.peek().map(|Reverse((time, _))| *time)
    }

    /// Returns the number of requests that have not ended.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the definition of a service that is in force.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceDefinition>> {
        self.services.get(name).map(|service| &service.definition)
    }

    /// Returns the snapshot that a service is served from now.
    pub fn current_snapshot(&mut self, name: &ServiceName) -> Option<Snapshot> {
        self.refresh_service(name);
        self.services.get(name).and_then(|service| service.current)
    }

    /// Returns the views of all searchers, for display.
    pub fn views(&self) -> impl Iterator<Item = &SearcherView> {
        self.views.values()
    }

    /// Returns the searcher and the snapshot that an open attempt was sent for.
    pub fn attempt_target(&self, id: AttemptId) -> Option<(SearcherId, Snapshot)> {
        let request = self.requests.get(&id.request.sequence).filter(|_| id.request.node == self.node)?;
        let index = (id.attempt as usize).checked_sub(1)?;
        let attempt = request.attempts.get(index).filter(|attempt| attempt.open)?;
        Some((attempt.searcher, request.map.snapshot))
    }

    /// Replaces the services in force. A service that was in force before keeps its measurements, budgets and limit.
    fn set_services(&mut self, definitions: Vec<Arc<ServiceDefinition>>) {
        let mut kept = std::mem::take(&mut self.services);
        for definition in definitions {
            let state = match kept.remove(&definition.name) {
                Some(state) => state.with_definition(definition),
                None => ServiceState::new(definition, &self.settings),
            };
            self.services.insert(state.definition.name.clone(), state);
        }
    }

    /// Stores the view of a searcher. Drops the searcher's measurements if its incarnation has changed.
    fn set_view(&mut self, view: SearcherView) {
        let incarnation_of = |view: &SearcherView| view.report.as_ref().map(|report| report.incarnation);
        let restarted =
            self.views.get(&view.searcher).is_some_and(|known| incarnation_of(known) != incarnation_of(&view));
        if restarted {
            self.searcher_stats.clear_searcher(view.searcher);
            self.replica_health.clear_searcher(view.searcher);
        }
        let affected = self.services.values_mut().filter(|service| service.searchers.contains(&view.searcher));
        affected.for_each(|service| service.needs_refresh = true);
        self.views.insert(view.searcher, view);
    }

    /// Chooses again which snapshot a service is served from, if the service's definition or the view of one of its
    /// searchers has changed.
    pub(crate) fn refresh_service(&mut self, name: &ServiceName) {
        let Some(service) = self.services.get_mut(name).filter(|service| service.needs_refresh) else {
            return;
        };
        service.needs_refresh = false;
        service.candidates = evaluate_candidates(&service.maps, &self.views);
        service.current = choose_current(&service.candidates, service.current);
    }
}

impl ServiceState {
    fn new(definition: Arc<ServiceDefinition>, settings: &RootSettings) -> Self {
        let policy = &definition.policy;
        ServiceState {
            hedges: ExtraWorkBudget::new(policy.hedge_per_mille),
            retries: ExtraWorkBudget::new(policy.retry_per_mille),
            maps: shared_maps(&definition),
            searchers: definition.searchers.iter().map(|searcher| searcher.id).collect(),
            candidates: Vec::new(),
            current: None,
            needs_refresh: true,
            latency: LatencyTracker::new(settings.initial_latency),
            work_latency: LatencyTracker::new(settings.initial_latency),
            limiter: ConcurrencyLimiter::default(),
            definition,
        }
    }

    /// Returns the state with a new definition; measurements, budgets and limit are kept.
    fn with_definition(mut self, definition: Arc<ServiceDefinition>) -> Self {
        if Arc::ptr_eq(&self.definition, &definition) {
            return self;
        }
        self.hedges.set_per_mille(definition.policy.hedge_per_mille);
        self.retries.set_per_mille(definition.policy.retry_per_mille);
        self.maps = shared_maps(&definition);
        self.searchers = definition.searchers.iter().map(|searcher| searcher.id).collect();
        self.needs_refresh = true;
        self.definition = definition;
        self
    }
}

/// Copies the shard maps of a service, for requests to share.
fn shared_maps(definition: &ServiceDefinition) -> Vec<Arc<ShardMap>> {
    definition.shard_maps.iter().cloned().map(Arc::new).collect()
}
