//! Which nodes there are, and which of them owns a tenant.

use crate::message::TenantHash;
use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, NodeId};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fraction of a quota that an owner grants to the nodes that it can reach, in times their fraction of the largest fleet: both sides of a cut stay within
/// the excess that bounds permit, and a fleet that has lost a third still serves tenants at two thirds of their rate without loss.
const CUT_FACTOR: f64 = 1.0;
/// The same for nodes without an owner: until the owner's side has seen the cut, which takes some seconds, that side grants the whole quota.
const STRANDED_FACTOR: f64 = 0.5;
/// Nodes that a starting node takes the fleet to have, at least. Above the 6 to 80 nodes of the model's schedules.
const ASSUMED_AT_RESTART: usize = 128;
/// How long the largest fleet seen counts. Longer than a cut that the rest of the fleet doesn't take for a loss.
const PEAK_LIFE: Duration = Duration::from_secs(30);
/// Time without a new member after which a node no longer counts as starting.
const STEADY: Duration = Duration::from_millis(600);
/// Time without a change of the nodes after which all are taken to see the same. Above the time in which a change is known everywhere.
const SETTLED: Duration = Duration::from_secs(1);

/// The nodes as one of them sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// Live nodes that take callers' requests.
    pub serving: Vec<NodeId>,
}

/// The view in use, and how it came about.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    own: NodeId,
    view: FleetView,
    /// Most nodes that were seen at once lately, and when last.
    peak: (usize, BootTime),
    /// Most nodes that this process has seen, and when first.
    grown: (usize, BootTime),
    is_restarted: bool,
    /// When the nodes changed last.
    pub changed_at: BootTime,
    /// Rises with each change.
    pub generation: u32,
}

impl Fleet {
    pub fn new(own: NodeId, now: BootTime, is_restarted: bool) -> Self {
        let view = FleetView { serving: vec![own] };
        Fleet { own, view, peak: (1, now), grown: (1, now), is_restarted, changed_at: now, generation: 1 }
    }

    /// Takes a new view; says whether the nodes are others.
    pub fn set(&mut self, now: BootTime, mut view: FleetView) -> bool {
        view.serving.sort_unstable();
        view.serving.dedup();
        if view.serving.len() >= self.peak.0 || now.since(self.peak.1) >= PEAK_LIFE {
            self.peak = (view.serving.len(), now);
        }
        if view.serving.len() > self.grown.0 {
            self.grown = (view.serving.len(), now);
        }
        let is_changed = view.serving != self.view.serving;
        self.view = view;
        if is_changed {
            self.changed_at = now;
            self.generation += 1;
        }
        is_changed
    }

    /// Nodes that serve.
    pub fn serving(&self) -> &[NodeId] {
        &self.view.serving
    }

    /// Largest fleet that is to be reckoned with.
    pub fn peak(&self, now: BootTime) -> usize {
        let seen = self.peak.0.max(1);
        if self.is_starting(now) { seen.max(ASSUMED_AT_RESTART) } else { seen }
    }

    /// Whether this process was restarted and still learns who else there is: all nodes may have been.
    pub fn is_starting(&self, now: BootTime) -> bool {
        self.is_restarted && now.since(self.grown.1) < STEADY
    }

    /// Whether the nodes have been the same for a while. Until then one that is taken for an owner may not take itself for one, and not answer.
    pub fn is_settled(&self, now: BootTime) -> bool {
        now.since(self.changed_at) >= SETTLED
    }

    /// Whether this node sees itself alone where others were.
    pub fn is_left_alone(&self, now: BootTime) -> bool {
        self.view.serving.len() <= 1 && self.peak(now) > 1
    }

    /// Fraction of a quota that an owner may grant, 0 to 1.
    pub fn fraction(&self, now: BootTime) -> f64 {
        (CUT_FACTOR * self.view.serving.len() as f64 / self.peak(now) as f64).min(1.0)
    }

    /// Fraction of a quota that `nodes` without an owner may spend together, 0 to 1.
    pub fn stranded_fraction(&self, now: BootTime, nodes: usize) -> f64 {
        (STRANDED_FACTOR * nodes as f64 / self.peak(now) as f64).min(1.0)
    }

    /// The owner of a tenant: the node with the highest score. A change of one node moves only the tenants that it owns.
    pub fn owner_of(&self, tenant: TenantHash) -> NodeId {
        self.view.serving.iter().copied().max_by_key(|node| score(*node, tenant)).unwrap_or(self.own)
    }
}

/// Whether a node comes before another where both would own a tenant.
pub(crate) fn is_before(node: NodeId, other: NodeId, tenant: TenantHash) -> bool {
    score(node, tenant) > score(other, tenant)
}

fn score(node: NodeId, tenant: TenantHash) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), tenant.0)
}
