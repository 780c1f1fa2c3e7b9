//! The simulated fleet: nodes with the real engines, searchers, messages, time.
//!
//! Everything happens through one queue of timed events, so a run is a function of its settings,
//! its seed and the operations applied to it.

mod between;
mod events;
mod faults;
mod requests;
mod searchers;
mod settings;

pub use settings::{SimService, WorldSettings};

use super::network::{Network, Place};
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

/// A node.
pub(crate) struct SimNode {
    pub id: NodeId,
    pub zone: usize,
    pub root: RootEngine,
    pub leaf: LeafEngine,
    pub is_up: bool,
    pub is_stopping: bool,
    pub stopping_since: Option<BootTime>,
    pub idle_ticks: u32,
    pub paused_until: BootTime,
    pub ownership: OwnershipMap,
    pub routes: BTreeMap<AttemptId, usize>,
    pub sends: BTreeMap<AttemptId, PendingSend>,
    /// When a `Wake` is due; far in the future when none is.
    pub wake_at: BootTime,
    pub next_sequence: u64,
    /// Sessions as last copied to other nodes.
    pub runs: u64,
}

/// A call to a searcher that has no end yet.
pub(crate) struct PendingSend {
    pub request: SubRequest,
    pub searcher: usize,
    pub has_arrived: bool,
}

/// What happens at a time.
pub(crate) enum SimEvent {
    /// A node looks at the time, regularly.
    Tick(usize),
    /// A node's root wants to look at the time.
    Wake(usize),
    /// A caller's request reaches a node that was paused.
    Submit { node: usize, run: u64, submission: Box<staircross_search::Submission> },
    /// A planned stop begins.
    BeginStop { node: usize, run: u64 },
    /// A root's request reaches a leaf.
    LeafRequest { node: usize, run: u64, from: usize, request: SubRequest },
    /// A root's cancellation reaches a leaf.
    LeafCancel { node: usize, run: u64, from: usize, attempt: AttemptId },
    /// A leaf's reply reaches a root.
    RootReply { node: usize, run: u64, reply: SubReply },
    /// A node's worker writes a call to a searcher.
    WorkerSend { node: usize, run: u64, request: SubRequest, send_before: BootTime },
    /// A call reaches a searcher.
    SearcherArrival { node: usize, run: u64, request: SubRequest, has_waited: bool },
    /// A searcher has done its work.
    SearcherDone { searcher: usize, incarnation: u128, node: usize, run: u64, request: SubRequest },
    /// A call's end reaches the node's leaf.
    LeafReply { node: usize, run: u64, reply: SubReply, incarnation: Option<SearcherIncarnation> },
    /// A call has waited long enough.
    SendTimeout { node: usize, run: u64, attempt: AttemptId },
    /// A probe reaches a searcher.
    ProbeArrival { node: usize, run: u64, searcher: usize, asked_at: BootTime },
    /// A probe's end reaches the node's leaf.
    Probed { node: usize, run: u64, event: LeafEvent },
    /// A view reaches a root.
    View { node: usize, view: SearcherView },
    /// A configuration reaches a node.
    Services { node: usize, services: Vec<Arc<ServiceDefinition>> },
    /// A view of the members reaches a node.
    Members { node: usize, members: Vec<Member> },
    /// A node reads the platform's list.
    ReadList { node: usize },
}

impl SimEvent {
    /// The node whose thread handles the event; it waits while that node is paused.
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
            | SimEvent::LeafReply { node, .. }
            | SimEvent::SendTimeout { node, .. }
            | SimEvent::Probed { node, .. }
            | SimEvent::View { node, .. }
            | SimEvent::Services { node, .. }
            | SimEvent::Members { node, .. }
            | SimEvent::ReadList { node } => Some(*node),
            SimEvent::SearcherArrival { .. } | SimEvent::SearcherDone { .. } | SimEvent::ProbeArrival { .. } => None,
        }
    }
}

/// Time between ticks of a node, as in the runtime.
const TICK: Duration = Duration::from_millis(20);

/// The simulated fleet.
pub struct World {
    pub(crate) settings: WorldSettings,
    pub(crate) random: ChaCha8Rng,
    pub(crate) now: BootTime,
    queue: TimedQueue<BootTime, SimEvent>,
    pub(crate) network: Network,
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) searchers: Vec<SimSearcher>,
    pub(crate) services: Vec<ServiceDefinition>,
    pub(crate) listed: BTreeSet<SearcherId>,
    pub(crate) intents: Vec<requests::Intent>,
    pub(crate) sessions: Vec<requests::SimSession>,
    pub(crate) pending: BTreeMap<(usize, u64), usize>,
    next_service_searcher: usize,
    /// Everything that the oracle looks at.
    pub history: History,
    /// Sub-requests that reached searchers and started there.
    pub started_sub_requests: u64,
    /// Events handled.
    pub events_handled: u64,
}

/// The first snapshot of every simulated service.
pub const FIRST_SNAPSHOT: Snapshot = Snapshot { version: 1, epoch: 1, build: 1 };
/// Time that a fresh world runs before it is used, so that probes and views have gone round.
const SETTLING: Duration = Duration::from_millis(1500);

impl World {
    /// A fresh fleet, settled.
    pub fn new(settings: WorldSettings, seed: u64) -> World {
        let mut world = World {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: BootTime::from_millis(10_000),
            queue: TimedQueue::default(),
            network: Network::new(settings.delays.clone()),
            nodes: Vec::new(),
            searchers: Vec::new(),
            services: Vec::new(),
            listed: BTreeSet::new(),
            intents: Vec::new(),
            sessions: Vec::new(),
            pending: BTreeMap::new(),
            next_service_searcher: 0,
            history: History::default(),
            started_sub_requests: 0,
            events_handled: 0,
            settings,
        };
        for service in world.settings.services.clone() {
            world.add_service(&service);
        }
        for zone in 0..world.settings.nodes {
            world.add_node(zone);
        }
        world.announce_members(Duration::ZERO);
        world.announce_services(Duration::ZERO);
        world.run_for(SETTLING);
        world
    }

    /// The present time.
    pub fn now(&self) -> BootTime {
        self.now
    }

    fn add_service(&mut self, service: &SimService) {
        let first = self.next_service_searcher;
        self.next_service_searcher += service.searchers;
        let mut definitions = Vec::new();
        for index in 0..service.searchers {
            let id = SearcherId((first + index) as u32);
            let zone = index % self.settings.zones;
            let searcher = SimSearcher::new(id, zone, service.slots, service.work_time.clone());
            self.searchers.push(searcher);
            definitions.push(SearcherDefinition {
                id,
                address: address(20_000 + id.0 as usize),
                zone: ZoneName::new(format!("zone-{zone}")),
                group: GroupId((first * 1000 + index / 4) as u32),
                slots: service.slots as u32,
                connections: 64,
            });
        }
        let ids: Vec<SearcherId> = definitions.iter().map(|definition| definition.id).collect();
        let map = place(FIRST_SNAPSHOT, service.shards, service.replicas, &ids);
        self.hold_everywhere(&map);
        self.history.maps.insert((service.name.clone(), map.snapshot), map.clone());
        self.services.push(ServiceDefinition {
            name: service.name.clone(),
            policy: service.policy.clone(),
            searchers: definitions,
            shard_maps: vec![map],
        });
    }

    fn hold_everywhere(&mut self, map: &ShardMap) {
        for index in 0..self.searchers.len() {
            self.hold(index, map);
        }
    }

    /// Lets a searcher take up its shards of a snapshot.
    pub(crate) fn hold(&mut self, index: usize, map: &ShardMap) {
        let searcher = &mut self.searchers[index];
        let shards: BTreeSet<ShardId> = map
            .shards
            .iter()
            .filter(|placement| placement.replicas.contains(&searcher.id))
            .map(|placement| placement.shard)
            .collect();
        if !shards.is_empty() {
            searcher.held.insert(map.snapshot, shards);
        }
    }

    fn add_node(&mut self, index: usize) {
        let zone = index % self.settings.zones;
        let node = self.fresh_node(index, zone, 1);
        self.nodes.push(node);
        self.schedule(TICK, SimEvent::Tick(index));
    }

    pub(crate) fn fresh_node(&mut self, index: usize, zone: usize, run: u64) -> SimNode {
        let id = NodeId((index as u128 + 1) << 64 | u128::from(run));
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
            routes: BTreeMap::new(),
            sends: BTreeMap::new(),
            wake_at: BootTime::FAR_FUTURE,
            next_sequence: 1,
            runs: run,
        }
    }

    pub(crate) fn schedule(&mut self, after: Duration, event: SimEvent) {
        self.schedule_at(self.now + after, event);
    }

    pub(crate) fn schedule_at(&mut self, at: BootTime, event: SimEvent) {
        self.queue.push(at, event);
    }

    /// Lets time pass.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = self.now.max(at);
            self.handle_or_defer(event);
        }
        self.now = end;
        self.history.ended = end;
    }

    /// Handles an event, or keeps it until its node's pause is over.
    fn handle_or_defer(&mut self, event: SimEvent) {
        if let Some(node) = event.node() {
            let until = self.nodes[node].paused_until;
            if self.now < until {
                self.schedule_at(until, event);
                return;
            }
        }
        self.events_handled += 1;
        self.handle(event);
    }

    /// Tells every node who the members are, each at its own time.
    pub(crate) fn announce_members(&mut self, at_most: Duration) {
        let members: Vec<Member> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.is_up)
            .map(|(index, node)| Member {
                node: node.id,
                peer_address: address(10_000 + index),
                caller_address: address(11_000 + index),
                region: "region".to_owned(),
                zone: ZoneName::new(format!("zone-{}", node.zone)),
                state: if node.is_stopping { MemberState::Leaving } else { MemberState::Alive },
                version: 1,
                is_ready: true,
            })
            .collect();
        for node in 0..self.nodes.len() {
            let delay = self.random_up_to(at_most);
            self.schedule(delay, SimEvent::Members { node, members: members.clone() });
        }
    }

    /// Tells every node the services in force, each at its own time.
    pub(crate) fn announce_services(&mut self, at_most: Duration) {
        let services: Vec<Arc<ServiceDefinition>> = self.services.iter().cloned().map(Arc::new).collect();
        for node in 0..self.nodes.len() {
            let delay = self.random_up_to(at_most);
            self.schedule(delay, SimEvent::Services { node, services: services.clone() });
        }
    }

    pub(crate) fn random_up_to(&mut self, at_most: Duration) -> Duration {
        Duration::from_micros(self.random.random_range(0..=at_most.as_micros() as u64))
    }

    pub(crate) fn delay_between(&mut self, from: Place, to: Place) -> Duration {
        let same_zone = self.zone_of(from) == self.zone_of(to);
        self.network.delay(same_zone, &mut self.random)
    }

    fn zone_of(&self, place: Place) -> usize {
        match place {
            Place::Node(index) => self.nodes[index].zone,
            Place::Searcher(index) => self.searchers[index].zone,
        }
    }

    pub(crate) fn root_event(&mut self, node: usize, event: RootEvent) {
        let mut actions = Vec::new();
        self.nodes[node].root.on_event(self.now, event, &mut actions);
        self.do_root(node, actions);
        self.schedule_wake(node);
    }

    /// Makes sure that a root is woken when it wants to be.
    fn schedule_wake(&mut self, node: usize) {
        let Some(wake) = self.nodes[node].root.next_wake() else {
            return;
        };
        if wake < self.nodes[node].wake_at {
            self.nodes[node].wake_at = wake;
            self.schedule_at(wake.max(self.now), SimEvent::Wake(node));
        }
    }

    pub(crate) fn leaf_event(&mut self, node: usize, event: LeafEvent) {
        let mut actions = Vec::new();
        self.nodes[node].leaf.on_event(self.now, event, &mut actions);
        self.do_leaf(node, actions);
    }
}

fn address(port: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port as u16))
}

/// Places each shard's replicas on consecutive searchers.
pub fn place(snapshot: Snapshot, shards: u32, replicas: usize, ids: &[SearcherId]) -> ShardMap {
    let one = |shard: u32| {
        let count = replicas.min(ids.len());
        let chosen = (0..count).map(|step| ids[(shard as usize + step) % ids.len()]).collect();
        ShardPlacement { shard: ShardId(shard), replicas: chosen }
    };
    ShardMap { snapshot, shards: (0..shards).map(one).collect() }
}
