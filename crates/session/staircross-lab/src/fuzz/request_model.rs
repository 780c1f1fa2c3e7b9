//! Operations of the fuzz test, and the system under test that they are applied to.
//!
//! An operation is a request, a fault, a change or the passing of time. Operations come in any order, overlap and
//! repeat. Numbers in operations are taken modulo the number of sessions, nodes, searchers or intents that exist. Every
//! sequence is therefore valid, and shrinking can remove any operation.

use super::reference::{GeneratedOperation, SeedOnlyReference};
use super::summary::FuzzSummary;
use crate::sim::network::Delays;
use crate::sim::world::SimService;
use crate::sim::{Endpoint, ReplyFault, Violation, WorkTime, World, WorldSettings, check_history};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use staircross_config::{Priority, ServicePolicy};
use staircross_search::{LeafSettings, RootSettings};
use staircross_types::ServiceName;
use std::collections::BTreeMap;
use std::time::Duration;

/// One operation of the fuzz test. `latency_first` selects the service that puts latency before coverage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// A caller sends a search.
    Search { session: u8, latency_first: bool },
    /// A caller sends a new action.
    Act { session: u8 },
    /// A caller sends an earlier action again with the same ticket.
    Repeat { intent: u8 },
    /// A new version of the index is published.
    Publish { latency_first: bool },
    /// The index is published with another number of shards.
    Repartition { shards: u8 },
    /// A searcher loads its shards of all listed snapshots.
    TakeUp { searcher: u8 },
    /// Every searcher loads its shards of all listed snapshots.
    TakeUpEverywhere,
    /// A searcher drops its oldest snapshot.
    Retire { searcher: u8 },
    /// The oldest snapshot of a service is removed from the configuration.
    Unlist { latency_first: bool },
    /// A searcher drains. With `misleads`, its state endpoint hides that.
    Drain { searcher: u8, misleads: bool },
    /// The platform lists a searcher as leaving.
    ListLeaving { searcher: u8 },
    /// A searcher crashes.
    CrashSearcher { searcher: u8 },
    /// A searcher restarts.
    RestartSearcher { searcher: u8 },
    /// The process of a searcher is paused.
    PauseSearcher { searcher: u8, millis: u16 },
    /// The next `count` replies of a searcher have a fault.
    WrongReplies { searcher: u8, fault: u8, count: u8 },
    /// A searcher's replica of one shard becomes slow, or with a factor of 1 all its replicas return to normal speed.
    SlowCopy { searcher: u8, factor: u8 },
    /// The process of a node is paused.
    PauseNode { node: u8, millis: u16 },
    /// A node crashes.
    CrashNode { node: u8 },
    /// A node that is down starts again.
    StartNode { node: u8 },
    /// A node stops as planned.
    StopNode { node: u8 },
    /// The network between two nodes is cut, in one direction or both.
    CutNodes { from: u8, to: u8, both: bool },
    /// The network between a node and a searcher is cut, in one direction or both.
    CutSearcher { node: u8, searcher: u8, both: bool, to_node: bool },
    /// All network cuts are removed.
    Heal,
    /// The caller of a node's oldest open request disconnects.
    CallerLeaves { node: u8 },
    /// Simulated time passes.
    Wait { millis: u16 },
}

impl Operation {
    /// Returns the key under which the operation is counted. Returns `None` for new requests and for time.
    pub fn fault_kind(&self) -> Option<&'static str> {
        Some(match self {
            Operation::Search { .. } | Operation::Act { .. } | Operation::Wait { .. } => return None,
            Operation::Repeat { .. } => "repeated_action",
            Operation::Publish { .. } => "publish",
            Operation::Repartition { .. } => "repartition",
            Operation::TakeUp { .. } | Operation::TakeUpEverywhere => "take_up",
            Operation::Retire { .. } => "retire",
            Operation::Unlist { .. } => "unlist",
            Operation::Drain { .. } => "drain",
            Operation::ListLeaving { .. } => "list_leaving",
            Operation::CrashSearcher { .. } => "crash_searcher",
            Operation::RestartSearcher { .. } => "restart_searcher",
            Operation::PauseSearcher { .. } => "pause_searcher",
            Operation::WrongReplies { fault, .. } => match reply_fault(*fault) {
                ReplyFault::Lost => "reply_lost",
                ReplyFault::Late => "reply_late",
                ReplyFault::Doubled => "reply_doubled",
                ReplyFault::Crossed => "reply_crossed",
                ReplyFault::Truncated => "reply_truncated",
                ReplyFault::WrongSnapshot => "reply_wrong_snapshot",
                ReplyFault::OmittedShard => "reply_omitted_shard",
                ReplyFault::ForeignShard => "reply_foreign_shard",
            },
            Operation::SlowCopy { .. } => "slow_copy",
            Operation::PauseNode { .. } => "pause_node",
            Operation::CrashNode { .. } => "crash_node",
            Operation::StartNode { .. } => "start_node",
            Operation::StopNode { .. } => "planned_stop",
            Operation::CutNodes { .. } => "cut_nodes",
            Operation::CutSearcher { .. } => "cut_searcher",
            Operation::Heal => "heal",
            Operation::CallerLeaves { .. } => "caller_leaves",
        })
    }
}

/// Maps a random number to a fault.
fn reply_fault(number: u8) -> ReplyFault {
    const FAULTS: [ReplyFault; 8] = [
        ReplyFault::Lost,
        ReplyFault::Late,
        ReplyFault::Doubled,
        ReplyFault::Crossed,
        ReplyFault::Truncated,
        ReplyFault::WrongSnapshot,
        ReplyFault::OmittedShard,
        ReplyFault::ForeignShard,
    ];
    FAULTS[usize::from(number) % FAULTS.len()]
}

/// Returns the strategy that generates one operation.
pub fn operation_strategy() -> BoxedStrategy<Operation> {
    let requests = prop_oneof![
        6 => (any::<u8>(), any::<bool>()).prop_map(|(session, latency_first)| Operation::Search { session, latency_first }),
        3 => any::<u8>().prop_map(|session| Operation::Act { session }),
        2 => any::<u8>().prop_map(|intent| Operation::Repeat { intent }),
        1 => any::<u8>().prop_map(|node| Operation::CallerLeaves { node }),
    ];
    let index_changes = prop_oneof![
        any::<bool>().prop_map(|latency_first| Operation::Publish { latency_first }),
        (1_u8..9).prop_map(|shards| Operation::Repartition { shards }),
        any::<u8>().prop_map(|searcher| Operation::TakeUp { searcher }),
        Just(Operation::TakeUpEverywhere),
        any::<u8>().prop_map(|searcher| Operation::Retire { searcher }),
        any::<bool>().prop_map(|latency_first| Operation::Unlist { latency_first }),
    ];
    let searcher_faults = prop_oneof![
        (any::<u8>(), any::<bool>()).prop_map(|(searcher, misleads)| Operation::Drain { searcher, misleads }),
        any::<u8>().prop_map(|searcher| Operation::ListLeaving { searcher }),
        any::<u8>().prop_map(|searcher| Operation::CrashSearcher { searcher }),
        any::<u8>().prop_map(|searcher| Operation::RestartSearcher { searcher }),
        any::<u8>().prop_map(|searcher| Operation::RestartSearcher { searcher }),
        (any::<u8>(), 10_u16..4000).prop_map(|(searcher, millis)| Operation::PauseSearcher { searcher, millis }),
        (any::<u8>(), any::<u8>(), 1_u8..4).prop_map(|(searcher, fault, count)| Operation::WrongReplies {
            searcher,
            fault,
            count
        }),
        (any::<u8>(), any::<u8>(), 1_u8..4).prop_map(|(searcher, fault, count)| Operation::WrongReplies {
            searcher,
            fault,
            count
        }),
        (any::<u8>(), 1_u8..40).prop_map(|(searcher, factor)| Operation::SlowCopy { searcher, factor }),
    ];
    let node_faults = prop_oneof![
        (any::<u8>(), 10_u16..6000).prop_map(|(node, millis)| Operation::PauseNode { node, millis }),
        any::<u8>().prop_map(|node| Operation::CrashNode { node }),
        any::<u8>().prop_map(|node| Operation::StartNode { node }),
        any::<u8>().prop_map(|node| Operation::StartNode { node }),
        any::<u8>().prop_map(|node| Operation::StopNode { node }),
        (any::<u8>(), any::<u8>(), any::<bool>()).prop_map(|(from, to, both)| Operation::CutNodes { from, to, both }),
        (any::<u8>(), any::<u8>(), any::<bool>(), any::<bool>())
            .prop_map(|(node, searcher, both, to_node)| Operation::CutSearcher { node, searcher, both, to_node }),
        Just(Operation::Heal),
        Just(Operation::Heal),
    ];
    let time = prop_oneof![
        4 => (0_u16..20).prop_map(|millis| Operation::Wait { millis }),
        2 => (20_u16..400).prop_map(|millis| Operation::Wait { millis }),
        1 => (400_u16..5000).prop_map(|millis| Operation::Wait { millis }),
    ];
    prop_oneof![8 => requests, 3 => index_changes, 3 => searcher_faults, 2 => node_faults, 5 => time].boxed()
}

impl GeneratedOperation for Operation {
    fn strategy() -> BoxedStrategy<Self> {
        operation_strategy()
    }
}

/// Reference state machine of the fuzz test.
pub type RequestModel = SeedOnlyReference<Operation>;

/// System under test: a simulated fleet with a few open sessions.
pub struct RequestHarness {
    /// Simulated fleet.
    pub world: World,
    sessions: Vec<usize>,
    /// Counts of the operations and outcomes so far.
    pub summary: FuzzSummary,
}

const COVERAGE_SERVICE: &str = "clauses";
const LATENCY_SERVICE: &str = "pitches";
const ACTION_SERVICE: &str = "bookings";
const SESSION_COUNT: usize = 4;
/// Time at the end of a case for everything to finish. It covers the longest wait bound, pause and probe together.
const FINISH_TIME: Duration = Duration::from_secs(8);

/// Returns the settings of a small fleet with three nodes in three zones and three services.
pub fn fleet_settings() -> WorldSettings {
    let work_time = WorkTime { median: Duration::from_millis(8), sigma: 0.4, slow_replicas: BTreeMap::new() };
    let search = ServicePolicy {
        wait_ms: 400,
        least_coverage_per_mille: 500,
        hedge_per_mille: 300,
        retry_per_mille: 300,
        ..ServicePolicy::default()
    };
    let service = |name: &str, policy: ServicePolicy, searchers: usize| SimService {
        name: ServiceName::new(name),
        policy,
        searchers,
        slots: 2,
        shards: 6,
        replicas: 2,
        work_time: work_time.clone(),
    };
    let latency = ServicePolicy { priority: Priority::Latency, ..search.clone() };
    let action =
        ServicePolicy { repeatable: false, hedge_per_mille: 0, retry_per_mille: 0, wait_ms: 300, ..search.clone() };
    WorldSettings {
        nodes: 3,
        zones: 3,
        services: vec![
            service(COVERAGE_SERVICE, search, 4),
            service(LATENCY_SERVICE, latency, 4),
            service(ACTION_SERVICE, action, 3),
        ],
        delays: Delays::default(),
        root: RootSettings::default(),
        leaf: LeafSettings::default(),
        update_delay: Duration::from_millis(400),
    }
}

impl RequestHarness {
    /// Starts a fleet and opens the sessions.
    pub fn new(seed: u64) -> Self {
        let mut world = World::new(fleet_settings(), seed);
        let sessions = (0..SESSION_COUNT).map(|index| world.open_session(index % 3)).collect();
        RequestHarness { world, sessions, summary: FuzzSummary::default() }
    }

    /// Counts and applies one operation, and lets a little time pass.
    pub fn apply(&mut self, operation: &Operation) {
        self.summary.steps += 1;
        if let Some(kind) = operation.fault_kind() {
            self.summary.count_operation(kind);
        }
        self.dispatch_operation(operation);
        self.world.run_for(Duration::from_micros(300));
    }

    fn dispatch_operation(&mut self, operation: &Operation) {
        let world = &mut self.world;
        let millis = |millis: &u16| Duration::from_millis(u64::from(*millis));
        let service_index = |latency_first: &bool| usize::from(*latency_first);
        match operation {
            Operation::Search { session, latency_first } => {
                let name = if *latency_first { LATENCY_SERVICE } else { COVERAGE_SERVICE };
                world.search(self.sessions[usize::from(*session) % SESSION_COUNT], &ServiceName::new(name));
            }
            Operation::Act { session } => {
                world.act(self.sessions[usize::from(*session) % SESSION_COUNT], &ServiceName::new(ACTION_SERVICE));
            }
            Operation::Repeat { intent } => {
                if world.intent_count() > 0 {
                    world.send_intent(usize::from(*intent) % world.intent_count());
                }
            }
            Operation::Publish { latency_first } => world.publish_snapshot(service_index(latency_first), None),
            Operation::Repartition { shards } => world.publish_snapshot(0, Some(u32::from(*shards))),
            Operation::TakeUp { searcher } => world.load_listed_snapshots(usize::from(*searcher)),
            Operation::TakeUpEverywhere => {
                (0..world.searcher_count()).for_each(|index| world.load_listed_snapshots(index))
            }
            Operation::Retire { searcher } => world.drop_oldest_snapshot(usize::from(*searcher)),
            Operation::Unlist { latency_first } => world.unlist_oldest_snapshot(service_index(latency_first)),
            Operation::Drain { searcher, misleads } => world.drain_searcher(usize::from(*searcher), *misleads),
            Operation::ListLeaving { searcher } => world.list_leaving(usize::from(*searcher)),
            Operation::CrashSearcher { searcher } => world.crash_searcher(usize::from(*searcher)),
            Operation::RestartSearcher { searcher } => world.restart_searcher(usize::from(*searcher)),
            Operation::PauseSearcher { searcher, millis: span } => {
                world.pause_searcher(usize::from(*searcher), millis(span));
            }
            Operation::WrongReplies { searcher, fault, count } => {
                world.add_reply_faults(usize::from(*searcher), reply_fault(*fault), usize::from(*count));
            }
            Operation::SlowCopy { searcher, factor } => world.slow_replica(usize::from(*searcher), f64::from(*factor)),
            Operation::PauseNode { node, millis: span } => world.pause_node(usize::from(*node), millis(span)),
            Operation::CrashNode { node } => world.crash_node(usize::from(*node)),
            Operation::StartNode { node } => world.start_node(usize::from(*node)),
            Operation::StopNode { node } => world.stop_node(usize::from(*node)),
            Operation::CutNodes { from, to, both } => {
                let count = world.node_count();
                let (from, to) = (usize::from(*from) % count, usize::from(*to) % count);
                if from != to {
                    world.cut_network(Endpoint::Node(from), Endpoint::Node(to), *both);
                }
            }
            Operation::CutSearcher { node, searcher, both, to_node } => {
                let node = Endpoint::Node(usize::from(*node) % world.node_count());
                let searcher = Endpoint::Searcher(usize::from(*searcher) % world.searcher_count());
                let (from, to) = if *to_node { (searcher, node) } else { (node, searcher) };
                world.cut_network(from, to, *both);
            }
            Operation::Heal => world.heal_network(),
            Operation::CallerLeaves { node } => world.disconnect_oldest_caller(usize::from(*node)),
            Operation::Wait { millis: span } => world.run_for(millis(span)),
        }
    }

    /// Removes network cuts, lets all requests finish and returns the violations that the oracle finds.
    pub fn finish(&mut self) -> Vec<Violation> {
        self.world.heal_network();
        self.world.run_for(FINISH_TIME);
        self.summary.cases += 1;
        self.summary.add_history(&self.world.history);
        check_history(&self.world.history)
    }
}
