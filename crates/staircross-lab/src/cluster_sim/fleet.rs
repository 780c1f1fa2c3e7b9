//! Hollow nodes, the network between them, and their clocks.

use super::oracle::ClusterOracle;
use crate::timed_queue::TimedQueue;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_cluster::message::ProposalReply;
use staircross_cluster::{
    Change, ChangeBody, ChangeId, ClusterAction, ClusterEngine, ClusterEvent, ClusterSettings, Envelope, Member,
    MemberState, ServiceEdit,
};
use staircross_config::{PlatformDocument, PolicyChange, ServiceDefinition, ServicePolicy};
use staircross_types::{BootTime, NodeId, ServiceName, ZoneName};
use staircross_wire::PeerMessage;
use staircross_wire::frame::{decode, encode};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Size and times of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Nodes.
    pub nodes: usize,
    /// Regions.
    pub regions: usize,
    /// Zones in all, spread evenly over the regions.
    pub zones: usize,
    /// Nodes that are seeds: spread over the zones.
    pub seeds: usize,
    /// Clocks run faster or slower by up to one part in this many; zero means none.
    pub drift: u32,
    /// Chance that a message is lost, in thousandths.
    pub loss_per_mille: u32,
    /// Chance that a message comes twice, in thousandths.
    pub repeat_per_mille: u32,
    /// Whether sizes of messages are measured by encoding them.
    pub measure_bytes: bool,
    /// Services in the platform's document.
    pub services: usize,
    /// Log entries kept for voters that lag; few of them make whole states travel often.
    pub kept_entries: usize,
}

impl FleetSettings {
    /// A fleet to be measured: a seed per zone, clocks one part in a thousand apart, one message in
    /// a thousand lost.
    pub fn measured(nodes: usize, regions: usize, zones: usize) -> Self {
        FleetSettings {
            nodes,
            regions,
            zones,
            seeds: zones.min(nodes),
            drift: 1000,
            loss_per_mille: 1,
            repeat_per_mille: 0,
            measure_bytes: true,
            services: 4,
            kept_entries: 128,
        }
    }
}

/// One hollow node.
pub(crate) struct HollowNode {
    pub engine: ClusterEngine,
    pub address: SocketAddr,
    pub region: usize,
    pub zone: usize,
    pub run: u64,
    pub is_up: bool,
    pub paused_until: u64,
    /// Its clock: what it shows at the simulation's time zero, and its rate in millionths.
    clock_offset: u64,
    clock_rate: u64,
    pub is_leaving: bool,
}

impl HollowNode {
    /// What its boot clock shows at a simulation time in microseconds.
    fn clock(&self, now: u64) -> BootTime {
        BootTime(self.clock_offset + (u128::from(now) * u128::from(self.clock_rate) / 1_000_000) as u64)
    }
}

enum FleetEvent {
    Tick { node: usize, run: u64 },
    Message(Box<Envelope>),
}

/// Microseconds between ticks of a node's engine.
const TICK_MICROS: u64 = 50_000;
/// One-way delays in microseconds, as the users give them.
const SAME_ZONE_MICROS: u64 = 250;
const OTHER_ZONE_MICROS: u64 = 1000;
const OTHER_REGION_MICROS: u64 = 10_000;

/// Bytes of the keyed digest on a datagram.
const DATAGRAM_DIGEST_BYTES: u64 = 16;

/// Counts of messages and bytes sent, by node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages sent.
    pub messages: u64,
    /// Bytes sent, encoded.
    pub bytes: u64,
}

/// The simulated fleet.
pub struct ClusterFleet {
    settings: FleetSettings,
    random: ChaCha8Rng,
    now: u64,
    queue: TimedQueue<u64, FleetEvent>,
    pub(crate) nodes: Vec<HollowNode>,
    by_address: BTreeMap<SocketAddr, usize>,
    cuts: BTreeSet<(usize, usize)>,
    platform: Option<Arc<PlatformDocument>>,
    /// Documents that the platform has shown, oldest first; it may step back.
    published: Vec<Arc<PlatformDocument>>,
    next_change: u64,
    /// Bytes and messages sent by each node.
    pub traffic: Vec<Traffic>,
    /// Time that the nodes' engines and the codec took, on the real clock.
    pub engine_time: Duration,
    /// Judges as the run goes on.
    pub oracle: ClusterOracle,
}

impl ClusterFleet {
    /// Starts all nodes at once.
    pub fn new(settings: FleetSettings, seed: u64) -> Self {
        let mut fleet = ClusterFleet {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000_000,
            queue: TimedQueue::default(),
            nodes: Vec::new(),
            by_address: BTreeMap::new(),
            cuts: BTreeSet::new(),
            platform: None,
            published: Vec::new(),
            next_change: 1,
            traffic: vec![Traffic::default(); settings.nodes],
            engine_time: Duration::ZERO,
            oracle: ClusterOracle::default(),
            settings,
        };
        for index in 0..fleet.settings.nodes {
            let node = fleet.start(index, 1);
            fleet.by_address.insert(node.address, index);
            fleet.nodes.push(node);
            fleet.schedule_tick(index);
        }
        fleet.publish();
        fleet
    }

    /// Simulation time.
    pub fn now(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn start(&mut self, index: usize, run: u64) -> HollowNode {
        let zone = index % self.settings.zones;
        let region = zone % self.settings.regions;
        let address = address_of(index);
        let me = Member {
            node: NodeId(u128::from(self.random.random::<u64>()) << 64 | (index as u128) << 32 | u128::from(run)),
            peer_address: address,
            caller_address: address,
            region: format!("region-{region}"),
            zone: ZoneName::new(format!("zone-{zone}")),
            state: MemberState::Alive,
            version: 1,
            is_ready: true,
        };
        let seeds = (0..self.settings.seeds.min(self.settings.nodes)).map(address_of).collect();
        let drift = self.settings.drift;
        let clock_rate = match drift {
            0 => 1_000_000,
            parts => {
                let most = u64::from(1_000_000 / parts);
                1_000_000 - most + self.random.random_range(0..=2 * most)
            }
        };
        let mut cluster = ClusterSettings::new(me, seeds);
        cluster.agreement.kept_entries = self.settings.kept_entries;
        HollowNode {
            engine: ClusterEngine::new(cluster, self.random.random()),
            address,
            region,
            zone,
            run,
            is_up: true,
            paused_until: 0,
            clock_offset: self.random.random_range(0..1_000_000_000),
            clock_rate,
            is_leaving: false,
        }
    }

    fn schedule_tick(&mut self, node: usize) {
        let jitter = self.random.random_range(0..5_000);
        let run = self.nodes[node].run;
        self.push(self.now + TICK_MICROS + jitter, FleetEvent::Tick { node, run });
    }

    fn push(&mut self, at: u64, event: FleetEvent) {
        self.queue.push(at, event);
    }

    /// Lets time pass.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: FleetEvent) {
        let target = match &event {
            FleetEvent::Tick { node, .. } => Some(*node),
            FleetEvent::Message(envelope) => self.by_address.get(&envelope.to_address).copied(),
        };
        let Some(node) = target else {
            return;
        };
        let paused_until = self.nodes[node].paused_until;
        if self.now < paused_until {
            self.push(paused_until, event);
            return;
        }
        match event {
            FleetEvent::Tick { node, run } => {
                if self.nodes[node].is_up && self.nodes[node].run == run {
                    self.tell(node, ClusterEvent::Tick);
                    self.read_platform(node);
                    self.finish_leaving(node);
                    self.schedule_tick(node);
                }
            }
            FleetEvent::Message(envelope) => {
                if self.nodes[node].is_up {
                    self.tell(node, ClusterEvent::Message(*envelope));
                }
            }
        }
    }

    /// Every node reads the platform about once a second.
    fn read_platform(&mut self, node: usize) {
        let is_due = self.random.random_ratio(1, 20);
        if let Some(document) = self.platform.clone().filter(|_| is_due) {
            self.tell(node, ClusterEvent::Platform(document));
        }
    }

    fn tell(&mut self, node: usize, event: ClusterEvent) {
        let now = self.nodes[node].clock(self.now);
        let mut actions = Vec::new();
        let started = std::time::Instant::now();
        self.nodes[node].engine.on_event(now, event, &mut actions);
        self.engine_time += started.elapsed();
        for action in actions {
            self.carry_out(node, action);
        }
        self.observe(node);
    }

    /// Tells the oracle under which revision a node could act right now.
    fn observe(&mut self, node: usize) {
        let engine = &self.nodes[node].engine;
        let may_act = engine.may_act(self.nodes[node].clock(self.now));
        let id = engine.node();
        self.oracle.observe(self.now, node, id, may_act, engine.config());
    }

    fn carry_out(&mut self, node: usize, action: ClusterAction) {
        match action {
            ClusterAction::Send(envelope) => self.send(node, envelope),
            ClusterAction::Proposed(reply) => {
                self.oracle.on_reply(self.now, reply);
                // At this very moment nobody may be able to act under an older revision, paused or not.
                for index in 0..self.nodes.len() {
                    if self.nodes[index].is_up {
                        self.observe(index);
                    }
                }
            }
            ClusterAction::ConfigChanged(state) => self.oracle.on_state(node, &state),
            ClusterAction::MembersChanged
            | ClusterAction::ViewChanged(_)
            | ClusterAction::SessionStored { .. }
            | ClusterAction::SessionFetched { .. }
            | ClusterAction::SessionMoved { .. } => {}
        }
    }

    fn send(&mut self, from: usize, envelope: Envelope) {
        self.traffic[from].messages += 1;
        if self.settings.measure_bytes {
            self.count_bytes(from, &envelope);
        }
        let Some(to) = self.by_address.get(&envelope.to_address).copied() else {
            return;
        };
        if self.cuts.contains(&(from, to)) || self.happens(self.settings.loss_per_mille) {
            return;
        }
        if self.happens(self.settings.repeat_per_mille) {
            let later = self.delay(from, to) + self.random.random_range(0..200_000);
            self.push(self.now + later, FleetEvent::Message(Box::new(envelope.clone())));
        }
        let delay = self.delay(from, to);
        self.push(self.now + delay, FleetEvent::Message(Box::new(envelope)));
    }

    /// Encodes and decodes a message as the runtime would, for its size and the time that takes.
    fn count_bytes(&mut self, from: usize, envelope: &Envelope) {
        let message = PeerMessage::Cluster(envelope.clone());
        let started = std::time::Instant::now();
        let Ok(bytes) = encode(&message) else {
            return;
        };
        let decoded = decode::<PeerMessage>(&bytes);
        self.engine_time += started.elapsed();
        debug_assert!(decoded.is_ok(), "what is encoded can be decoded");
        self.traffic[from].bytes += bytes.len() as u64 + DATAGRAM_DIGEST_BYTES;
    }

    fn happens(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.random.random_range(0..1000) < per_mille
    }

    fn delay(&mut self, from: usize, to: usize) -> u64 {
        let (source, target) = (&self.nodes[from], &self.nodes[to]);
        let base = if source.region != target.region {
            OTHER_REGION_MICROS
        } else if source.zone != target.zone {
            OTHER_ZONE_MICROS
        } else {
            SAME_ZONE_MICROS
        };
        base + self.random.random_range(0..=base / 2)
    }

    /// The platform publishes its next document.
    pub fn publish(&mut self) {
        let revision = self.published.last().map_or(0, |document| document.revision) + 1;
        let services = (0..self.settings.services).map(|number| ServiceDefinition {
            name: ServiceName::new(format!("service-{number}")),
            policy: ServicePolicy { wait_ms: revision, ..ServicePolicy::default() },
            searchers: Vec::new(),
            shard_maps: Vec::new(),
        });
        let document = Arc::new(PlatformDocument { revision, services: services.collect() });
        self.published.push(document.clone());
        self.platform = Some(document);
    }

    /// The platform shows an older document, or nothing at all.
    pub fn step_platform_back(&mut self, back: usize) {
        let count = self.published.len();
        self.platform = match back {
            0 => None,
            back => self.published.get(count.saturating_sub(back)).cloned(),
        };
    }

    /// An operator changes a policy through a node; returns the change's id.
    pub fn change(&mut self, node: usize, service: usize, based_on_held: bool) -> Option<ChangeId> {
        let node = self.find_up(node)?;
        let id = ChangeId(self.next_change);
        self.next_change += 1;
        let service = ServiceName::new(format!("service-{}", service % self.settings.services.max(1)));
        let policy = PolicyChange { wait_ms: Some(1000 + id.0), ..PolicyChange::default() };
        let held = self.nodes[node].engine.config().last_edit_revision();
        let based_on = based_on_held.then_some(held);
        let body = ChangeBody::Edit { edit: ServiceEdit::Alter { service, policy }, based_on };
        self.oracle.on_proposed(self.now, id);
        self.tell(node, ClusterEvent::Propose(Change { id, body }));
        Some(id)
    }

    fn find_up(&self, start: usize) -> Option<usize> {
        let count = self.nodes.len();
        let is_awake = |index: &usize| self.nodes[*index].is_up && self.now >= self.nodes[*index].paused_until;
        (0..count).map(|step| (start + step) % count).find(is_awake)
    }

    /// A node dies.
    pub fn crash(&mut self, node: usize) {
        let index = node % self.nodes.len();
        self.nodes[index].is_up = false;
        self.oracle.on_down(index);
    }

    /// A node that is down comes back as a new run that knows nothing.
    pub fn restart(&mut self, node: usize) {
        let index = node % self.nodes.len();
        if self.nodes[index].is_up {
            return;
        }
        let run = self.nodes[index].run + 1;
        self.nodes[index] = self.start(index, run);
        self.schedule_tick(index);
    }

    /// A node stops as planned.
    pub fn leave(&mut self, node: usize) {
        let index = node % self.nodes.len();
        let is_awake = self.now >= self.nodes[index].paused_until;
        if self.nodes[index].is_up && !self.nodes[index].is_leaving && is_awake {
            self.nodes[index].is_leaving = true;
            self.tell(index, ClusterEvent::Leave);
        }
    }

    fn finish_leaving(&mut self, node: usize) {
        if self.nodes[node].is_leaving && self.nodes[node].engine.is_free_to_leave() {
            self.tell(node, ClusterEvent::Left);
            self.nodes[node].is_up = false;
            self.oracle.on_down(node);
        }
    }

    /// A node's process is stopped for a while.
    pub fn pause(&mut self, node: usize, span: Duration) {
        let index = node % self.nodes.len();
        let until = self.now + span.as_micros() as u64;
        self.nodes[index].paused_until = self.nodes[index].paused_until.max(until);
    }

    /// Cuts one direction between two nodes, or both.
    pub fn cut(&mut self, from: usize, to: usize, both: bool) {
        let count = self.nodes.len();
        let (from, to) = (from % count, to % count);
        if from == to {
            return;
        }
        self.cuts.insert((from, to));
        if both {
            self.cuts.insert((to, from));
        }
    }

    /// Cuts off every node for which `inside` holds from all others.
    pub fn cut_off(&mut self, inside: impl Fn(usize, usize) -> bool) {
        let is_inside: Vec<bool> = self.nodes.iter().map(|node| inside(node.region, node.zone)).collect();
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if is_inside[from] != is_inside[to] {
                    self.cuts.insert((from, to));
                }
            }
        }
    }

    /// Heals all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Crashes every node of a zone.
    pub fn crash_zone(&mut self, zone: usize) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].zone == zone {
                self.crash(index);
            }
        }
    }

    /// Nodes that are up and not paused.
    pub fn awake(&self) -> impl Iterator<Item = usize> + '_ {
        let is_awake = |index: &usize| self.nodes[*index].is_up && self.now >= self.nodes[*index].paused_until;
        (0..self.nodes.len()).filter(is_awake)
    }

    /// Whether a node is up.
    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].is_up
    }

    /// An owner finds out about a searcher.
    pub fn observe_searcher(&mut self, node: usize, searcher: u32) {
        let incarnation = staircross_types::SearcherIncarnation(self.random.random());
        let snapshots = vec![staircross_types::Snapshot { version: 1, epoch: 1, build: 1 }];
        let evidence = Some(staircross_cluster::views::SpreadEvidence { incarnation, snapshots });
        let searcher = staircross_types::SearcherId(searcher);
        self.tell(node, ClusterEvent::Observed { searcher, evidence, leaving: false });
    }

    /// Whether a node may act now.
    pub fn may_act(&self, node: usize) -> bool {
        let hollow = &self.nodes[node];
        hollow.is_up && hollow.engine.may_act(hollow.clock(self.now))
    }

    /// Revision that a node holds.
    pub fn revision(&self, node: usize) -> u64 {
        self.nodes[node].engine.config().revision
    }

    /// Whether a node knows that a change was applied.
    pub fn holds_change(&self, node: usize, id: ChangeId) -> bool {
        self.nodes[node].engine.config().outcome_of(id).is_some()
    }

    /// What a node says about a change.
    pub fn ask_change(&self, node: usize, id: ChangeId) -> Option<ProposalReply> {
        self.nodes[node].engine.change_reply(id)
    }

    /// Whether a node takes another run for alive.
    pub fn sees_alive(&self, node: usize, other: usize) -> bool {
        let id = self.nodes[other].engine.node();
        self.nodes[node].engine.member(id).is_some_and(Member::takes_work)
    }

    /// Deaths declared by all nodes so far.
    pub fn deaths_declared(&self) -> u64 {
        self.nodes.iter().map(|node| node.engine.declared_dead()).sum()
    }

    /// Whether a node votes, as the newest configuration says.
    pub fn is_voter(&self, node: usize) -> bool {
        self.nodes[node].engine.is_voter()
    }

    /// Whether a node leads.
    pub fn is_leader(&self, node: usize) -> bool {
        self.nodes[node].is_up && self.nodes[node].engine.is_leader()
    }

    /// Voters as one node sees them: index, whether that run is up, whether it is leaving.
    pub fn voters_seen_by(&self, node: usize) -> Vec<(Option<usize>, bool, bool)> {
        let voters = &self.nodes[node].engine.config().voters.voters;
        let find = |id: &NodeId| self.nodes.iter().position(|node| node.engine.node() == *id);
        let row = |index: Option<usize>| match index {
            Some(index) => (Some(index), self.nodes[index].is_up, self.nodes[index].is_leaving),
            None => (None, false, false),
        };
        voters.keys().map(|id| row(find(id))).collect()
    }

    /// Zone of a node.
    pub fn zone(&self, node: usize) -> usize {
        self.nodes[node].zone
    }

    /// Region of a node.
    pub fn region(&self, node: usize) -> usize {
        self.nodes[node].region
    }

    /// Number of nodes, up or down.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there is no node.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 7000))
}
