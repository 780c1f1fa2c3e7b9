//! The fuzz model of the cluster logic: changes, joins, deaths, amnesia, pauses, cuts (node, zone,
//! region, one-way), lost, repeated and reordered messages, drifting clocks, a platform that lags.

use super::reference::{Generated, SeedAnd};
use super::summary::FuzzSummary;
use crate::cluster_sim::{ClusterFleet, FleetSettings};
use proptest::prelude::*;
use std::time::Duration;

/// One operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// An operator changes a policy through a node.
    Change { node: u8, service: u8, based_on_held: bool },
    /// The platform publishes.
    Publish,
    /// The platform shows an older document, or is down.
    PlatformBack { back: u8 },
    /// A node dies.
    Crash { node: u8 },
    /// A node comes back without memory.
    Restart { node: u8 },
    /// A node stops as planned.
    Leave { node: u8 },
    /// A node is paused.
    Pause { node: u8, millis: u16 },
    /// Two nodes are cut off from each other.
    CutNodes { from: u8, to: u8, both: bool },
    /// A zone is cut off.
    CutZone { zone: u8 },
    /// A region is cut off.
    CutRegion { region: u8 },
    /// All cuts heal.
    Heal,
    /// Time passes.
    Wait { millis: u16 },
}

impl Operation {
    /// The kind of fault, for counting.
    pub fn fault_kind(&self) -> Option<&'static str> {
        Some(match self {
            Operation::Change { .. } | Operation::Wait { .. } => return None,
            Operation::Publish => "publish",
            Operation::PlatformBack { .. } => "platform_back",
            Operation::Crash { .. } => "crash",
            Operation::Restart { .. } => "restart",
            Operation::Leave { .. } => "planned_stop",
            Operation::Pause { .. } => "pause",
            Operation::CutNodes { .. } => "cut_nodes",
            Operation::CutZone { .. } => "cut_zone",
            Operation::CutRegion { .. } => "cut_region",
            Operation::Heal => "heal",
        })
    }
}

/// Generates one operation.
pub fn operation() -> BoxedStrategy<Operation> {
    prop_oneof![
        6 => (any::<u8>(), any::<u8>(), any::<bool>())
            .prop_map(|(node, service, based_on_held)| Operation::Change { node, service, based_on_held }),
        1 => Just(Operation::Publish),
        1 => (0_u8..4).prop_map(|back| Operation::PlatformBack { back }),
        2 => any::<u8>().prop_map(|node| Operation::Crash { node }),
        4 => any::<u8>().prop_map(|node| Operation::Restart { node }),
        1 => any::<u8>().prop_map(|node| Operation::Leave { node }),
        3 => (any::<u8>(), 50_u16..9000).prop_map(|(node, millis)| Operation::Pause { node, millis }),
        2 => (any::<u8>(), any::<u8>(), any::<bool>()).prop_map(|(from, to, both)| Operation::CutNodes { from, to, both }),
        1 => any::<u8>().prop_map(|zone| Operation::CutZone { zone }),
        1 => any::<u8>().prop_map(|region| Operation::CutRegion { region }),
        3 => Just(Operation::Heal),
        6 => (0_u16..300).prop_map(|millis| Operation::Wait { millis }),
        3 => (300_u16..4000).prop_map(|millis| Operation::Wait { millis }),
    ]
    .boxed()
}

impl Generated for Operation {
    fn generate() -> BoxedStrategy<Self> {
        operation()
    }
}

/// The reference of this model.
pub type ClusterModel = SeedAnd<Operation>;

/// The small fleet of the model: two regions of two zones each.
pub fn settings() -> FleetSettings {
    FleetSettings {
        nodes: 10,
        regions: 2,
        zones: 4,
        seeds: 4,
        drift: 200,
        loss_per_mille: 10,
        repeat_per_mille: 30,
        measure_bytes: false,
        services: 2,
        kept_entries: 2,
    }
}

/// Time for the fleet to be founded and for all to join.
const FOUNDING: Duration = Duration::from_secs(6);
/// Time at the end for everything to settle.
const FINISH: Duration = Duration::from_secs(12);

/// The system under test.
pub struct ClusterRun {
    /// The fleet.
    pub fleet: ClusterFleet,
    /// Counts so far.
    pub summary: FuzzSummary,
}

impl ClusterRun {
    /// A fleet that has been founded.
    pub fn new(seed: u64) -> Self {
        let mut fleet = ClusterFleet::new(settings(), seed);
        fleet.run_for(FOUNDING);
        ClusterRun { fleet, summary: FuzzSummary::default() }
    }

    /// Applies one operation.
    pub fn apply(&mut self, operation: &Operation) {
        self.summary.steps += 1;
        if let Some(kind) = operation.fault_kind() {
            self.summary.count(kind);
        }
        let fleet = &mut self.fleet;
        let settings = settings();
        match operation {
            Operation::Change { node, service, based_on_held } => {
                self.summary.requests += 1;
                fleet.change(usize::from(*node), usize::from(*service), *based_on_held);
            }
            Operation::Publish => fleet.publish(),
            Operation::PlatformBack { back } => fleet.step_platform_back(usize::from(*back)),
            Operation::Crash { node } => fleet.crash(usize::from(*node)),
            Operation::Restart { node } => fleet.restart(usize::from(*node)),
            Operation::Leave { node } => fleet.leave(usize::from(*node)),
            Operation::Pause { node, millis } => {
                fleet.pause(usize::from(*node), Duration::from_millis(u64::from(*millis)));
            }
            Operation::CutNodes { from, to, both } => fleet.cut(usize::from(*from), usize::from(*to), *both),
            Operation::CutZone { zone } => {
                let cut = usize::from(*zone) % settings.zones;
                fleet.cut_off(|_, zone| zone == cut);
            }
            Operation::CutRegion { region } => {
                let cut = usize::from(*region) % settings.regions;
                fleet.cut_off(|region, _| region == cut);
            }
            Operation::Heal => fleet.heal(),
            Operation::Wait { millis } => fleet.run_for(Duration::from_millis(u64::from(*millis))),
        }
        fleet.run_for(Duration::from_millis(2));
    }

    /// Lets everything settle and returns what was broken.
    pub fn finish(&mut self) -> Vec<String> {
        self.fleet.heal();
        self.fleet.run_for(FINISH);
        self.summary.cases += 1;
        let answers = self.fleet.oracle.answers.clone();
        let count = |kind: &str| answers.get(kind).copied().unwrap_or(0);
        self.summary.answers += count("accepted");
        self.summary.refusals += count("refused") + count("not_taken") + count("pending");
        self.fleet.oracle.violations.iter().map(ToString::to_string).collect()
    }
}
