//! Cluster engines on a simulated network, with a simulated platform that some of the nodes can read.
#![allow(dead_code)]

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_cluster::membership::{MembershipMessage, MembershipSettings, Retransmits};
use staircross_cluster::{
    ClusterAction, ClusterEngine, ClusterEvent, ClusterMessage, ClusterSettings, Envelope, Member, MemberState,
};
use staircross_config::{PlatformDocument, ServiceDefinition, ServicePolicy};
use staircross_types::{BootTime, NodeId, ServiceName, ZoneName};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(20);
const POLL_EVERY: Duration = Duration::from_millis(500);
const NETWORK_DELAY: Duration = Duration::from_millis(5);

/// One simulated process.
struct Node {
    engine: ClusterEngine,
    paused_until: BootTime,
    next_poll: BootTime,
    /// Revision that the node held after its last tick.
    last_revision: u64,
}

/// A message in flight.
struct Arrival {
    due: BootTime,
    to: SocketAddr,
    from: SocketAddr,
    envelope: Envelope,
}

/// The simulated fleet.
pub struct Fleet {
    pub now: BootTime,
    nodes: Vec<Option<Node>>,
    arrivals: Vec<Arrival>,
    rng: ChaCha8Rng,
    next_run: u128,
    /// Number of messages in a thousand that are lost.
    pub loss_per_mille: u32,
    /// Nodes that are partitioned from all nodes that aren't in the set.
    pub partitioned: BTreeSet<usize>,
    /// Nodes that can read the platform.
    pub platform_readers: BTreeSet<usize>,
    /// All documents ever published. The platform serves the one at index `served_document`.
    pub documents: Vec<Arc<PlatformDocument>>,
    pub served_document: usize,
    pub violations: Vec<String>,
    pub sent: SentCounts,
}

/// Counts of the membership messages sent and of the records in them.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentCounts {
    pub messages: usize,
    pub between_regions: usize,
    /// Member records sent as updates.
    pub updates: usize,
    /// Member records sent in member lists.
    pub listed: usize,
    /// Member records of both kinds that went to another region.
    pub records_between_regions: usize,
}

pub fn document(revision: u64) -> Arc<PlatformDocument> {
    let service = ServiceDefinition {
        name: ServiceName::new("s"),
        policy: ServicePolicy { wait_ms: 100 + revision, ..ServicePolicy::default() },
        searchers: Vec::new(),
        shard_maps: Vec::new(),
    };
    Arc::new(PlatformDocument::new(revision, vec![service]))
}

/// Settings with the times of a gateway.
fn gateway_settings() -> MembershipSettings {
    MembershipSettings {
        probe_interval: Duration::from_millis(200),
        direct_timeout: Duration::from_millis(100),
        probe_timeout: Duration::from_millis(250),
        updates_per_message: 5,
        retransmits: Retransmits { per_doubling: 1, additional: 3 },
        asks_one_seed: true,
        members_per_message: 6,
        ..MembershipSettings::default()
    }
}

pub fn region(index: usize) -> String {
    format!("r{}", index % 3)
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 1))
}

impl Fleet {
    /// Starts `count` nodes, all of which can read a platform with one document.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Fleet {
            now: BootTime::from_millis(1000),
            nodes: (0..count).map(|_| None).collect(),
            arrivals: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_run: 1,
            loss_per_mille: 0,
            partitioned: BTreeSet::new(),
            platform_readers: (0..count).collect(),
            documents: vec![document(1)],
            served_document: 0,
            violations: Vec::new(),
            sent: SentCounts::default(),
        };
        (0..count).for_each(|index| fleet.start(index));
        fleet
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Starts a node as a new incarnation without state.
    pub fn start(&mut self, index: usize) {
        self.start_with_seeds(index, vec![address(0), address(1), address(2)]);
    }

    /// Starts a node as [`start`](Self::start) does, but without seeds.
    pub fn start_without_seeds(&mut self, index: usize) {
        self.start_with_seeds(index, Vec::new());
    }

    fn start_with_seeds(&mut self, index: usize, seeds: Vec<SocketAddr>) {
        let me = Member {
            node: NodeId(self.next_run.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)),
            peer_address: address(index),
            caller_address: address(index),
            region: region(index),
            zone: ZoneName::new(format!("z{}", index % 3)),
            state: MemberState::Alive,
            version: 1,
            is_ready: true,
        };
        self.next_run += 1;
        let settings = ClusterSettings { membership: gateway_settings(), ..ClusterSettings::new(me, seeds) };
        let engine = ClusterEngine::new(settings, self.rng.random());
        let next_poll = self.now;
        self.nodes[index] = Some(Node { engine, paused_until: BootTime::default(), next_poll, last_revision: 0 });
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    pub fn pause(&mut self, index: usize, span: Duration) {
        let until = self.now + span;
        if let Some(node) = &mut self.nodes[index] {
            node.paused_until = until;
        }
    }

    /// Publishes a document with the next revision.
    pub fn publish(&mut self) {
        self.documents.push(document(self.documents.len() as u64 + 1));
        self.served_document = self.documents.len() - 1;
    }

    pub fn newest(&self) -> u64 {
        self.documents.len() as u64
    }

    pub fn revision(&self, index: usize) -> Option<u64> {
        self.nodes[index].as_ref().map(|node| node.engine.revision())
    }

    pub fn all_hold(&self, revision: u64) -> bool {
        (0..self.len()).filter_map(|index| self.revision(index)).all(|held| held == revision)
    }

    pub fn deaths_declared(&self) -> u64 {
        self.nodes.iter().flatten().map(|node| node.engine.declared_dead()).sum()
    }

    /// Whether `one` has the current incarnation of `other` as alive.
    pub fn sees_alive(&self, one: usize, other: usize) -> bool {
        let (Some(one), Some(other)) = (&self.nodes[one], &self.nodes[other]) else {
            return false;
        };
        one.engine.member(other.engine.node()).is_some_and(|member| member.state == MemberState::Alive)
    }

    /// Number of members, itself included, that a node doesn't have as gone; 0 for a node that isn't running.
    pub fn live_count(&self, index: usize) -> usize {
        let node = self.nodes[index].as_ref();
        node.map_or(0, |node| node.engine.members().filter(|member| !member.is_gone()).count())
    }

    pub fn all_see_all(&self) -> bool {
        let up = || (0..self.len()).filter(|index| self.nodes[*index].is_some());
        up().all(|one| up().all(|other| self.sees_alive(one, other)))
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver();
            for index in 0..self.nodes.len() {
                self.tick_node(index);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.arrivals).into_iter().partition(|arrival| arrival.due <= now);
        self.arrivals = later;
        let due: Vec<Arrival> = due;
        for arrival in due {
            self.receive(arrival);
        }
    }

    fn receive(&mut self, arrival: Arrival) {
        let Some(index) = (0..self.len()).find(|index| address(*index) == arrival.to) else {
            return;
        };
        let is_paused = self.nodes[index].as_ref().is_some_and(|node| node.paused_until > self.now);
        if is_paused {
            // The message waits in the receiver's socket.
            self.arrivals.push(Arrival { due: self.now + TICK, ..arrival });
            return;
        }
        let from = (0..self.len()).find(|index| address(*index) == arrival.from);
        let is_cut = from.is_some_and(|from| self.partitioned.contains(&from) != self.partitioned.contains(&index));
        if is_cut || self.rng.random_range(0..1000) < self.loss_per_mille {
            return;
        }
        self.handle_event(index, ClusterEvent::Message(Box::new(arrival.envelope)));
    }

    fn tick_node(&mut self, index: usize) {
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        if node.paused_until > self.now {
            return;
        }
        let polls = node.next_poll <= self.now;
        if polls {
            node.next_poll = self.now + POLL_EVERY;
        }
        if polls && self.platform_readers.contains(&index) {
            let served = self.documents[self.served_document].clone();
            self.handle_event(index, ClusterEvent::Platform(served));
        }
        self.handle_event(index, ClusterEvent::Tick);
        self.check_document(index);
    }

    fn handle_event(&mut self, index: usize, event: ClusterEvent) {
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        let mut actions = Vec::new();
        node.engine.on_event(self.now, event, &mut actions);
        let due = self.now + NETWORK_DELAY;
        for action in actions {
            if let ClusterAction::Send(envelope) = action {
                self.count_sent(index, &envelope);
                self.arrivals.push(Arrival { due, to: envelope.to_address, from: address(index), envelope });
            }
        }
    }

    fn count_sent(&mut self, index: usize, envelope: &Envelope) {
        let ClusterMessage::Membership(message) = &envelope.message else {
            return;
        };
        let to = (0..self.len()).find(|to| address(*to) == envelope.to_address);
        self.sent.messages += 1;
        let is_far = to.is_some_and(|to| region(to) != region(index));
        self.sent.between_regions += usize::from(is_far);
        let records = match message {
            MembershipMessage::Probe { updates, .. } | MembershipMessage::ProbeAnswer { updates, .. } => {
                self.sent.updates += updates.len();
                updates.len()
            }
            MembershipMessage::MemberList { members, .. } => {
                self.sent.listed += members.len();
                members.len()
            }
            MembershipMessage::ProbeFor { .. } | MembershipMessage::Join { .. } | MembershipMessage::Compare { .. } => {
                0
            }
        };
        self.sent.records_between_regions += if is_far { records } else { 0 };
    }

    /// Records a violation unless the node holds a published document that isn't older than the one it held before.
    fn check_document(&mut self, index: usize) {
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        let revision = node.engine.revision();
        if revision < node.last_revision {
            self.violations.push(format!("node {index} returned from revision {} to {revision}", node.last_revision));
        }
        node.last_revision = revision;
        let published = revision.checked_sub(1).map(|before| self.documents.get(before as usize));
        let is_as_published = match (published, node.engine.config()) {
            (None, None) => true,
            (Some(Some(published)), Some(held)) => published == held,
            _ => false,
        };
        if !is_as_published {
            self.violations
                .push(format!("node {index} holds a document as revision {revision} that was never published"));
        }
    }
}
