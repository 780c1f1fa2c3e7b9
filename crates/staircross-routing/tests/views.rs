//! Several nodes read the store and ask each other for changes, with calls, replies, failures, writes and returns of the
//! store from an older copy in any order. In the end each node must know what the store holds.
//!
//! Guards against a node that permanently considers a drained searcher ready, a removed one live, or a zone evacuated.
//! This happened because a node that knew a change was assumed to know all earlier ones. That is wrong if items change
//! while the pages of a listing are read: a later page shows a change, and an earlier change of an item on a previous
//! page is missed. A node that then asked a peer or watched from the newest change on never learned of it. In the
//! shortest failing histories, a first page is read, a searcher on it drains, one on a later page changes, and a peer
//! asks between the last page and the watch.

mod common;

use common::model_store::{Store, Write, ZONES};
use common::store::ReaderDriver;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use staircross_routing::store_reader::{Lane, ReadingMode, StoreCall, StoreReply};
use staircross_routing::{
    AcceptedConfiguration, Mirror, MirrorItem, MirrorUpdate, PeerKnowledge, StoreEpoch, StoreRevision,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const NODES: usize = 3;
const SEARCHERS: u8 = 5;
const LANES: [Lane; 3] = [Lane::Configuration, Lane::Searchers, Lane::SearcherPages];
const MAX_DISPUTE: Duration = Duration::from_millis(1500);
/// Rounds after which all open calls and exchanges with peers have ended.
const SETTLE_ROUNDS: usize = 200;

/// One step of a history. Nodes, peers and lanes are given by their index.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write(Write),
    /// A node's clock is advanced by some milliseconds, and the node makes the calls that are due.
    Advance(usize, u16),
    /// The store handles a node's call on a lane; the reply isn't delivered yet.
    HandleCall(usize, usize),
    /// The store's reply on a lane is delivered to a node.
    DeliverReply(usize, usize),
    /// A node's call on a lane fails.
    FailCall(usize, usize),
    /// A node asks a peer for changes if it sees that the peer is ahead.
    AskPeer(usize, usize),
    /// The peer that a node has asked produces the answer.
    AnswerPeer(usize),
    /// A node merges the answer of its peer.
    MergeAnswer(usize),
    SetMode(usize, ReadingMode),
    /// A node restarts without any knowledge.
    Restart(usize),
}

fn write() -> impl Strategy<Value = Write> {
    prop_oneof![
        2 => Just(Write::Configuration),
        2 => (0..ZONES.len()).prop_map(Write::Evacuate),
        2 => (0..ZONES.len()).prop_map(Write::EndEvacuation),
        4 => (0..SEARCHERS).prop_map(Write::Ready),
        3 => (0..SEARCHERS).prop_map(Write::Draining),
        1 => (0..SEARCHERS).prop_map(Write::Gone),
        1 => Just(Write::Compact),
        2 => Just(Write::Copy),
        2 => Just(Write::Restore),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let mode = prop::sample::select(vec![ReadingMode::Watching, ReadingMode::Following]);
    prop_oneof![
        8 => write().prop_map(Step::Write),
        6 => (0..NODES, 1..1500_u16).prop_map(|(node, millis)| Step::Advance(node, millis)),
        8 => (0..NODES, 0..LANES.len()).prop_map(|(node, lane)| Step::HandleCall(node, lane)),
        8 => (0..NODES, 0..LANES.len()).prop_map(|(node, lane)| Step::DeliverReply(node, lane)),
        1 => (0..NODES, 0..LANES.len()).prop_map(|(node, lane)| Step::FailCall(node, lane)),
        6 => (0..NODES, 0..NODES).prop_map(|(node, peer)| Step::AskPeer(node, peer)),
        5 => (0..NODES).prop_map(Step::AnswerPeer),
        5 => (0..NODES).prop_map(Step::MergeAnswer),
        1 => (0..NODES, mode).prop_map(|(node, mode)| Step::SetMode(node, mode)),
        1 => (0..NODES).prop_map(Step::Restart),
    ]
}

/// A node's request for changes to a peer, or the peer's answer that the node hasn't merged yet.
#[derive(Default)]
enum PeerExchange {
    #[default]
    None,
    Asked(usize, PeerKnowledge),
    Answered(MirrorUpdate),
}

struct Node {
    reader: ReaderDriver,
    mirror: Mirror,
    open_calls: BTreeMap<usize, StoreCall>,
    replies: BTreeMap<usize, (StoreEpoch, StoreReply)>,
    exchange: PeerExchange,
}

impl Node {
    fn new() -> Self {
        let (reader, mirror) = (ReaderDriver::new(), Mirror::default());
        Node { reader, mirror, open_calls: BTreeMap::new(), replies: BTreeMap::new(), exchange: PeerExchange::None }
    }

    fn apply_actions(&mut self) {
        for lane in std::mem::take(&mut self.reader.cancelled) {
            self.open_calls.remove(&(lane as usize));
            self.replies.remove(&(lane as usize));
        }
        for (lane, call) in std::mem::take(&mut self.reader.calls) {
            self.open_calls.insert(lane as usize, call);
        }
        for (_, update) in std::mem::take(&mut self.reader.learned) {
            self.mirror.merge(update);
        }
    }

    /// Advances the clock. Probes are answered at once, in `epoch`.
    fn advance(&mut self, millis: u64, epoch: StoreEpoch) {
        // Only the calls on the probe lane are returned; the others are collected by `apply_actions`.
        let calls = self.reader.calls_within(millis, Lane::Probe);
        self.apply_actions();
        if !calls.is_empty() {
            self.reader.reply_in(epoch, Lane::Probe, StoreReply::Alive { revision: StoreRevision::new(epoch, 0) });
            self.apply_actions();
        }
        self.mirror.settle_return(self.reader.now, true);
        self.mirror.settle_disputes(self.reader.now, MAX_DISPUTE);
    }

    fn reply(&mut self, lane: usize, (epoch, reply): (StoreEpoch, StoreReply)) {
        self.open_calls.remove(&lane);
        self.reader.reply_in(epoch, LANES[lane], reply);
        self.apply_actions();
    }

    fn is_behind(&self, peer: &Node) -> bool {
        self.mirror.version() < peer.mirror.version()
            || self.mirror.newest_revision() < peer.mirror.newest_revision()
            || self.mirror.latest_revision() < peer.mirror.latest_revision()
            || self.mirror.evacuations_revision() < peer.mirror.evacuations_revision()
    }

    fn knowledge(&self) -> PeerKnowledge {
        PeerKnowledge {
            revision: self.mirror.known_revision(),
            version: self.mirror.version(),
            evacuations: self.mirror.evacuations_revision(),
            accepts: AcceptedConfiguration::Any,
        }
    }

    /// Returns what this node knows, for comparison with the store.
    fn view(&self) -> View {
        let searchers = self.mirror.searchers();
        View {
            searchers: searchers
                .map(|entry| (entry.instance.to_string(), (entry.born_ms, entry.is_draining)))
                .collect(),
            evacuated: self.mirror.evacuated().iter().map(|zone| zone.to_string()).collect(),
            version: self.mirror.version(),
        }
    }
}

/// Searchers by id with their starts and whether they drain, evacuated zones, and the version of the configuration.
#[derive(Debug, PartialEq, Eq)]
struct View {
    searchers: BTreeMap<String, (u64, bool)>,
    evacuated: BTreeSet<String>,
    version: u64,
}

struct World {
    store: Store,
    nodes: Vec<Node>,
}

impl World {
    fn new() -> Self {
        let mut store = Store::default();
        store.write(Write::Configuration);
        (0..SEARCHERS).for_each(|number| store.write(Write::Ready(number)));
        World { store, nodes: (0..NODES).map(|_| Node::new()).collect() }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Write(write) => self.store.write(write),
            Step::Advance(node, millis) => self.nodes[node].advance(u64::from(millis), self.store.epoch()),
            Step::HandleCall(node, lane) => {
                let reply = self.nodes[node].open_calls.get(&lane).and_then(|call| self.store.handle(call));
                if let Some(reply) = reply.filter(|_| !self.nodes[node].replies.contains_key(&lane)) {
                    self.nodes[node].replies.insert(lane, (self.store.epoch(), reply));
                }
            }
            Step::DeliverReply(node, lane) => {
                if let Some(reply) = self.nodes[node].replies.remove(&lane) {
                    self.nodes[node].reply(lane, reply);
                }
            }
            Step::FailCall(node, lane) => {
                let node = &mut self.nodes[node];
                node.replies.remove(&lane);
                if node.open_calls.remove(&lane).is_some() {
                    node.reader.fail(LANES[lane]);
                    node.apply_actions();
                }
            }
            Step::AskPeer(node, peer) => {
                let is_free = matches!(self.nodes[node].exchange, PeerExchange::None);
                if node != peer && is_free && self.nodes[node].is_behind(&self.nodes[peer]) {
                    self.nodes[node].exchange = PeerExchange::Asked(peer, self.nodes[node].knowledge());
                }
            }
            Step::AnswerPeer(node) => {
                if let PeerExchange::Asked(peer, knowledge) = self.nodes[node].exchange {
                    self.nodes[node].exchange = PeerExchange::Answered(self.nodes[peer].mirror.changes_for(knowledge));
                }
            }
            Step::MergeAnswer(node) => self.merge_answer(node),
            Step::SetMode(node, mode) => {
                common::store::set_mode(&mut self.nodes[node].reader, mode);
                self.nodes[node].apply_actions();
            }
            Step::Restart(node) => self.nodes[node] = Node::new(),
        }
    }

    /// Lets a node merge a peer's answer and tell its store reader, as the gateway does.
    fn merge_answer(&mut self, node: usize) {
        let newest = self.nodes.iter().map(|node| node.mirror.version()).max().unwrap_or_default();
        let node = &mut self.nodes[node];
        let PeerExchange::Answered(update) = std::mem::take(&mut node.exchange) else {
            return;
        };
        node.mirror.merge(update);
        node.reader.peer_report(Lane::Searchers, node.mirror.known_revision());
        if node.mirror.version() >= newest {
            node.reader.peer_report(Lane::Configuration, node.mirror.operator_up_to());
        }
        node.apply_actions();
    }

    /// Completes all open calls and exchanges with peers. The first node watches the store, and the operator writes the
    /// newest version again if the store has lost it.
    fn settle(&mut self) {
        self.step(Step::SetMode(0, ReadingMode::Watching));
        self.store.write_lost_configuration();
        for round in 0..SETTLE_ROUNDS {
            for node in 0..NODES {
                self.step(Step::Advance(node, 200));
                for lane in 0..LANES.len() {
                    self.step(Step::HandleCall(node, lane));
                    self.step(Step::DeliverReply(node, lane));
                }
                self.step(Step::AskPeer(node, round % NODES));
                self.step(Step::AnswerPeer(node));
                self.step(Step::MergeAnswer(node));
            }
        }
    }

    fn view(&self) -> View {
        let searchers = self.store.items().filter_map(|item| match item {
            MirrorItem::Searcher { entry } => Some((entry.instance.to_string(), (entry.born_ms, entry.is_draining))),
            _ => None,
        });
        let evacuated = self.store.items().filter_map(|item| match item {
            MirrorItem::Evacuation { zone, is_active: true } => Some(zone.to_string()),
            _ => None,
        });
        View { searchers: searchers.collect(), evacuated: evacuated.collect(), version: self.store.version() }
    }
}

fn cases() -> u32 {
    std::env::var("VIEW_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(4000)
}

fn seed() -> u64 {
    std::env::var("VIEW_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1)
}

/// Checks that each node knows what the store holds and that none would ask its peers again and again.
fn assert_all_know_the_store(world: &World) -> Result<(), TestCaseError> {
    let expected = world.view();
    for (number, node) in world.nodes.iter().enumerate() {
        prop_assert_eq!(&node.view(), &expected, "node {}", number);
        let is_ahead = |peer: &Node| node.is_behind(peer);
        prop_assert!(!world.nodes.iter().any(is_ahead), "node {} would ask its peers again and again", number);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, max_shrink_iters: 20_000, rng_seed: RngSeed::Fixed(seed()), ..ProptestConfig::default() })]

    /// `VIEW_CASES=20000 VIEW_SEED=2 cargo test -p staircross-routing --test views` runs other histories.
    #[test]
    fn in_the_end_all_nodes_know_what_the_store_holds(steps in prop::collection::vec(step(), 0..80)) {
        let mut world = World::new();
        steps.iter().for_each(|step| world.step(*step));
        world.settle();
        assert_all_know_the_store(&world)?;
    }

    /// Guards against followers that keep what the reader has never known: the reader started after the end of an
    /// evacuation or the removal of a searcher.
    #[test]
    fn followers_learn_what_ended_before_their_reader_started(steps in prop::collection::vec(step(), 0..80)) {
        let mut world = World::new();
        steps.iter().for_each(|step| world.step(*step));
        world.step(Step::Restart(0));
        (1..NODES).for_each(|node| world.step(Step::SetMode(node, ReadingMode::Following)));
        world.settle();
        assert_all_know_the_store(&world)?;
    }
}
