//! The simulated fleet: nodes with the real engines, searchers, callers, messages and time.
//!
//! One queue of timed events drives the whole simulation. A simulation is therefore a function of its settings, its
//! seed and the operations that are applied to it.
//!
//! | module | holds |
//! | --- | --- |
//! | `actions` | the actions of root and leaf engines, and messages between nodes |
//! | `events` | the handling of each event |
//! | `faults` | faults, configuration changes and restarts |
//! | `requests` | callers, their sessions and their requests |
//! | `searchers` | calls and probes from leaves to searchers |
//! | `settings` | size, services and delays of the fleet |

mod actions;
mod events;
mod faults;
mod requests;
mod searchers;
mod settings;

pub use settings::{SimService, WorldSettings};

use super::network::{Endpoint, Network};
use super::records::History;
use super::searcher::SimSearcher;
use crate::timed_queue::TimedQueue;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_cluster::ownership::OwnershipMap;
use staircross_cluster::{Member, MemberState};
use staircross_config::{SearcherDefinition, ServiceDefinition};
use staircross_search::{LeafEngine, LeafEvent, RootEngine, RootEvent, SearcherView, SubReply, SubRequest};
use staircross_types::{
    AttemptId, BootTime, GroupId, NodeId, SearcherId, SearcherIncarnation, ShardId, ShardMap, ShardPlacement, Snapshot,
    ZoneName,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// A simulated node. It runs one root engine and one leaf engine.
pub(crate) struct SimNode {
    pub id: NodeId,
    pub zone: usize,
    pub root: RootEngine,
    pub leaf: LeafEngine,
    pub is_up: bool,
    pub is_stopping: bool,
    /// Time at which the node began its planned stop.
    pub stopping_since: Option<BootTime>,
    /// Number of consecutive ticks of a stopping node without anything in flight.
    pub idle_ticks: u32,
    /// End of the current pause of the process. Events that reach the node earlier wait until then.
    pub paused_until: BootTime,
    pub ownership: OwnershipMap,
    /// Index of the node whose leaf got each open attempt of this node's root.
    pub attempt_targets: BTreeMap<AttemptId, usize>,
    /// Calls of the leaf to searchers that have no result yet.
    pub open_calls: BTreeMap<AttemptId, OpenCall>,
    /// Time of the next scheduled `Wake`; `FAR_FUTURE` if none is scheduled.
    pub wake_at: BootTime,
    /// Sequence number of the next request that this node takes.
    pub next_sequence: u64,
    /// Number of times that the node has started. Messages to an earlier generation are dropped.
    pub generation: u64,
}

/// A call to a searcher that has no result yet.
pub(crate) struct OpenCall {
    pub request: SubRequest,
    /// Index of the searcher.
    pub searcher: usize,
    /// Whether the sub-request has reached the running searcher.
    pub has_arrived: bool,
}

/// An event of the simulation. `node` is the index of the node that handles it or that made the call. `generation` is
/// the generation of that node that the event belongs to.
pub(crate) enum SimEvent {
    /// The periodic tick of a node.
    Tick(usize),
    /// The time at which a root engine asked to be called.
    Wake(usize),
    /// A paused node wakes and reads a request that a caller sent during the pause.
    Submit { node: usize, generation: u64, submission: Box<staircross_search::Submission> },
    /// A node gets the signal to stop as planned.
    BeginStop { node: usize, generation: u64 },
    /// A sub-request of the root of node `from` reaches a leaf.
    LeafRequest { node: usize, generation: u64, from: usize, request: SubRequest },
    /// A cancellation by the root of node `from` reaches a leaf.
    LeafCancel { node: usize, generation: u64, from: usize, attempt: AttemptId },
    /// The reply of a leaf reaches a root.
    RootReply { node: usize, generation: u64, reply: SubReply },
    /// A worker thread of a node sends a sub-request to a searcher.
    WorkerSend { node: usize, generation: u64, request: SubRequest, send_before: BootTime },
    /// A sub-request reaches a searcher. `has_waited` is set when it is handled after a pause of the searcher.
    SearcherArrival { node: usize, generation: u64, request: SubRequest, has_waited: bool },
    /// A searcher has finished a sub-request.
    SearcherDone { searcher: usize, incarnation: u128, node: usize, generation: u64, request: SubRequest },
    /// The result of a call to a searcher reaches the leaf. `incarnation` is that of the searcher, if it replied.
    CallResult { node: usize, generation: u64, reply: SubReply, incarnation: Option<SearcherIncarnation> },
    /// The timeout of a call to a searcher expires.
    CallTimeout { node: usize, generation: u64, attempt: AttemptId },
    /// A probe by a node reaches a searcher.
    ProbeArrival { node: usize, generation: u64, searcher: usize, asked_at: BootTime },
    /// The result of a probe reaches the leaf.
    Probed { node: usize, generation: u64, event: LeafEvent },
    /// A view of a searcher reaches the engines of a node.
    View { node: usize, view: SearcherView },
    /// The services of a configuration reach a node.
    Services { node: usize, services: Vec<Arc<ServiceDefinition>> },
    /// A list of the cluster members reaches a node.
    Members { node: usize, members: Vec<Member> },
    /// A node reads the platform's list of leaving searchers.
    ReadLeavingList { node: usize },
}

impl SimEvent {
    /// Returns the node that handles the event, if any. The event waits while that node is paused.
    fn node(&self) -> Option<usize> {
        match self {
            SimEvent::Tick(node)
            | SimEvent::Wake(node)
            | SimEvent::Submit { node, .. }
            | SimEvent::BeginStop { node, .. }
            | SimEvent::LeafRequest { node, .. }
            | SimEvent::LeafCancel { node, .. }
            | SimEvent::RootReply { node, .. }
            | SimEvent::WorkerSend { node, .. }
            | SimEvent::CallResult { node, .. }
            | SimEvent::CallTimeout { node, .. }
            | SimEvent::Probed { node, .. }
            | SimEvent::View { node, .. }
            | SimEvent::Services { node, .. }
            | SimEvent::Members { node, .. }
            | SimEvent::ReadLeavingList { node } => Some(*node),
            SimEvent::SearcherArrival { .. } | SimEvent::SearcherDone { .. } | SimEvent::ProbeArrival { .. } => None,
        }
    }
}

/// Time between two ticks of a node. It equals `TICK_INTERVAL` of the node's runtime.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A simulated fleet with its event queue and its history.
pub struct World {
    pub(crate) settings: WorldSettings,
    pub(crate) random: ChaCha8Rng,
    pub(crate) now: BootTime,
    queue: TimedQueue<BootTime, SimEvent>,
    pub(crate) network: Network,
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) searchers: Vec<SimSearcher>,
    pub(crate) services: Vec<ServiceDefinition>,
    /// Searchers that the platform lists as leaving.
    pub(crate) listed_as_leaving: BTreeSet<SearcherId>,
    pub(crate) intents: Vec<requests::Intent>,
    pub(crate) sessions: Vec<requests::SimSession>,
    /// Index of the session of each request that has no outcome yet, by node index and sequence number.
    pub(crate) open_requests: BTreeMap<(usize, u64), usize>,
    /// Index of the first searcher of the service that is added next.
    next_searcher_index: usize,
    /// History of the simulation, which the oracle checks.
    pub history: History,
    /// Number of sub-requests that searchers have started.
    pub started_sub_requests: u64,
    /// Number of events that were handled.
    pub events_handled: u64,
}

/// Snapshot that every simulated service starts with.
pub const FIRST_SNAPSHOT: Snapshot = Snapshot { version: 1, epoch: 1, build: 1 };
/// Time that a new fleet runs before it is used, so that searchers are probed and their views reach all nodes.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

impl World {
    /// Starts a fleet and runs it until its nodes know the searchers.
    pub fn new(settings: WorldSettings, seed: u64) -> World {
        let mut world = World {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: BootTime::from_millis(10_000),
            queue: TimedQueue::default(),
            network: Network::new(settings.delays.clone()),
            nodes: Vec::new(),
            searchers: Vec::new(),
            services: Vec::new(),
            listed_as_leaving: BTreeSet::new(),
            intents: Vec::new(),
            sessions: Vec::new(),
            open_requests: BTreeMap::new(),
            next_searcher_index: 0,
            history: History::default(),
            started_sub_requests: 0,
            events_handled: 0,
            settings,
        };
        for service in world.settings.services.clone() {
            world.add_service(&service);
        }
        for index in 0..world.settings.nodes {
            world.add_node(index);
        }
        world.announce_members(Duration::ZERO);
        world.announce_services(Duration::ZERO);
        world.run_for(SETTLE_TIME);
        world
    }

    /// Returns the simulated time.
    pub fn now(&self) -> BootTime {
        self.now
    }

    /// Adds a service with its searchers, which hold the first snapshot.
    fn add_service(&mut self, service: &SimService) {
        let first = self.next_searcher_index;
        self.next_searcher_index += service.searchers;
        let mut definitions = Vec::new();
        for index in 0..service.searchers {
            let id = SearcherId((first + index) as u32);
            let zone = index % self.settings.zones;
            let searcher = SimSearcher::new(id, zone, service.slots, service.work_time.clone());
            self.searchers.push(searcher);
            definitions.push(SearcherDefinition {
                id,
                address: loopback_address(20_000 + id.0 as usize),
                zone: ZoneName::new(format!("zone-{zone}")),
                group: GroupId((first * 1000 + index / 4) as u32),
                slots: service.slots as u32,
                connections: 64,
            });
        }
        let ids: Vec<SearcherId> = definitions.iter().map(|definition| definition.id).collect();
        let map = place_shards(FIRST_SNAPSHOT, service.shards, service.replicas, &ids);
        self.load_shards_everywhere(&map);
        self.history.maps.insert((service.name.clone(), map.snapshot), map.clone());
        self.services.push(ServiceDefinition {
            name: service.name.clone(),
            policy: service.policy.clone(),
            searchers: definitions,
            shard_maps: vec![map],
        });
    }

    fn load_shards_everywhere(&mut self, map: &ShardMap) {
        for index in 0..self.searchers.len() {
            self.load_shards(index, map);
        }
    }

    /// Makes a searcher load its shards of the snapshot of `map`, if it has any.
    pub(crate) fn load_shards(&mut self, index: usize, map: &ShardMap) {
        let searcher = &mut self.searchers[index];
        let shards: BTreeSet<ShardId> = map
            .shards
            .iter()
            .filter(|placement| placement.replicas.contains(&searcher.id))
            .map(|placement| placement.shard)
            .collect();
        if !shards.is_empty() {
            searcher.shards_by_snapshot.insert(map.snapshot, shards);
        }
    }

    fn add_node(&mut self, index: usize) {
        let zone = index % self.settings.zones;
        let node = self.new_node(index, zone, 1);
        self.nodes.push(node);
        self.schedule(TICK_INTERVAL, SimEvent::Tick(index));
    }

    /// Returns a node with empty state. Its id depends on its index and generation.
    pub(crate) fn new_node(&mut self, index: usize, zone: usize, generation: u64) -> SimNode {
        let id = NodeId((index as u128 + 1) << 64 | u128::from(generation));
        SimNode {
            id,
            zone,
            root: RootEngine::new(id, self.settings.root.clone(), self.random.random()),
            leaf: LeafEngine::new(self.settings.leaf.clone()),
            is_up: true,
            is_stopping: false,
            stopping_since: None,
            idle_ticks: 0,
            paused_until: BootTime::default(),
            ownership: OwnershipMap::default(),
            attempt_targets: BTreeMap::new(),
            open_calls: BTreeMap::new(),
            wake_at: BootTime::FAR_FUTURE,
            next_sequence: 1,
            generation,
        }
    }

    pub(crate) fn schedule(&mut self, after: Duration, event: SimEvent) {
        self.schedule_at(self.now + after, event);
    }

    pub(crate) fn schedule_at(&mut self, at: BootTime, event: SimEvent) {
        self.queue.push(at, event);
    }

    /// Handles all events of the next `span` of simulated time.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((at, event)) = self.queue.pop_due(end) {
            self.now = self.now.max(at);
            self.handle_or_postpone(event);
        }
        self.now = end;
        self.history.ended_at = end;
    }

    /// Handles an event, or postpones it to the end of its node's pause.
    fn handle_or_postpone(&mut self, event: SimEvent) {
        if let Some(node) = event.node() {
            let until = self.nodes[node].paused_until;
            if self.now < until {
                self.schedule_at(until, event);
                return;
            }
        }
        self.events_handled += 1;
        self.handle_event(event);
    }

    /// Sends the list of members to every node, each after its own random delay up to `at_most`.
    pub(crate) fn announce_members(&mut self, at_most: Duration) {
        let members: Vec<Member> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.is_up)
            .map(|(index, node)| Member {
                node: node.id,
                peer_address: loopback_address(10_000 + index),
                caller_address: loopback_address(11_000 + index),
                region: "region".to_owned(),
                zone: ZoneName::new(format!("zone-{}", node.zone)),
                state: if node.is_stopping { MemberState::Leaving } else { MemberState::Alive },
                version: 1,
                is_ready: true,
            })
            .collect();
        for node in 0..self.nodes.len() {
            let delay = self.draw_delay_up_to(at_most);
            self.schedule(delay, SimEvent::Members { node, members: members.clone() });
        }
    }

    /// Sends the current services to every node, each after its own random delay up to `at_most`.
    pub(crate) fn announce_services(&mut self, at_most: Duration) {
        let services: Vec<Arc<ServiceDefinition>> = self.services.iter().cloned().map(Arc::new).collect();
        for node in 0..self.nodes.len() {
            let delay = self.draw_delay_up_to(at_most);
            self.schedule(delay, SimEvent::Services { node, services: services.clone() });
        }
    }

    /// Draws a delay up to `at_most`, uniformly distributed.
    pub(crate) fn draw_delay_up_to(&mut self, at_most: Duration) -> Duration {
        Duration::from_micros(self.random.random_range(0..=at_most.as_micros() as u64))
    }

    /// Draws the delay of one message between two endpoints.
    pub(crate) fn draw_network_delay(&mut self, from: Endpoint, to: Endpoint) -> Duration {
        let is_same_zone = self.zone_of(from) == self.zone_of(to);
        self.network.draw_delay(is_same_zone, &mut self.random)
    }

    fn zone_of(&self, endpoint: Endpoint) -> usize {
        match endpoint {
            Endpoint::Node(index) => self.nodes[index].zone,
            Endpoint::Searcher(index) => self.searchers[index].zone,
        }
    }

    /// Passes an event to the root engine of a node and carries out the resulting actions.
    pub(crate) fn handle_root_event(&mut self, node: usize, event: RootEvent) {
        let mut actions = Vec::new();
        self.nodes[node].root.on_event(self.now, event, &mut actions);
        self.apply_root_actions(node, actions);
        self.schedule_wake(node);
    }

    /// Schedules a `Wake` for the time that the root asks for, unless an earlier one is scheduled.
    fn schedule_wake(&mut self, node: usize) {
        let Some(wake) = self.nodes[node].root.next_wake() else {
            return;
        };
        if wake < self.nodes[node].wake_at {
            self.nodes[node].wake_at = wake;
            self.schedule_at(wake.max(self.now), SimEvent::Wake(node));
        }
    }

    /// Passes an event to the leaf engine of a node and carries out the resulting actions.
    pub(crate) fn handle_leaf_event(&mut self, node: usize, event: LeafEvent) {
        let mut actions = Vec::new();
        self.nodes[node].leaf.on_event(self.now, event, &mut actions);
        self.apply_leaf_actions(node, actions);
    }
}

fn loopback_address(port: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port as u16))
}

/// Assigns the replicas of each shard to consecutive searchers, starting one searcher further for each shard.
pub fn place_shards(snapshot: Snapshot, shards: u32, replicas: usize, ids: &[SearcherId]) -> ShardMap {
    let place_shard = |shard: u32| {
        let count = replicas.min(ids.len());
        let chosen = (0..count).map(|step| ids[(shard as usize + step) % ids.len()]).collect();
        ShardPlacement { shard: ShardId(shard), replicas: chosen }
    };
    ShardMap { snapshot, shards: (0..shards).map(place_shard).collect() }
}
