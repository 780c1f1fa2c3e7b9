//! The nodes of the fleet, and which of them owns a tenant.

use crate::message::TenantHash;
use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, NodeId};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Factor in the fraction of a quota that an owner may grant: `OWNER_FACTOR` times the number of nodes that the owner
/// sees, divided by the size of the largest known fleet, and at most 1. With a factor of 1 both sides of a network
/// partition together stay within the excess that the bound permits, and a fleet that has lost a third of its nodes
/// still serves tenants at two thirds of their rate without refusals.
const OWNER_FACTOR: f64 = 1.0;
/// Counterpart of [`OWNER_FACTOR`] for nodes that reach no owner. It is below 1 because the owner's side detects a
/// partition only after some seconds, and grants the whole quota until then.
const OWNERLESS_FACTOR: f64 = 0.5;
/// Smallest fleet size that a starting node assumes. It is above the 6 to 80 nodes of the simulated schedules in
/// `tests/bound.rs`.
const MIN_NODES_AT_RESTART: usize = 128;
/// Time for which the largest fleet seen is remembered. The time is longer than a partition during which the rest of
/// the fleet still counts the unreachable nodes as members.
const PEAK_RETENTION: Duration = Duration::from_secs(30);
/// Time without a new member after which a node no longer counts as starting.
const STARTING_PERIOD: Duration = Duration::from_millis(600);
/// Time without a change of the nodes after which all nodes are assumed to have the same view. The time is longer than
/// a change takes to reach every node.
const SETTLED_PERIOD: Duration = Duration::from_secs(1);

/// The nodes of the fleet as one node sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// Live nodes that are ready to serve callers' requests and therefore share the quotas.
    pub serving: Vec<NodeId>,
}

/// The current view of the fleet, and how it has developed.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    own_node: NodeId,
    view: FleetView,
    /// Largest number of nodes seen at once within [`PEAK_RETENTION`], and when it was last seen.
    peak: (usize, BootTime),
    /// Largest number of nodes that this process has seen, and when it was first seen.
    largest_seen: (usize, BootTime),
    /// Whether a process of the fleet has run before.
    is_restarted: bool,
    /// Time of the last change of the nodes.
    pub changed_at: BootTime,
    /// Number of the view, incremented with each change of the nodes.
    pub generation: u32,
}

impl Fleet {
    /// Creates the view of a node that knows only itself.
    pub fn new(own_node: NodeId, now: BootTime, is_restarted: bool) -> Self {
        let view = FleetView { serving: vec![own_node] };
        Fleet { own_node, view, peak: (1, now), largest_seen: (1, now), is_restarted, changed_at: now, generation: 1 }
    }

    /// Sets a new view, and returns whether the nodes have changed.
    pub fn set_view(&mut self, now: BootTime, mut view: FleetView) -> bool {
        view.serving.sort_unstable();
        view.serving.dedup();
        if view.serving.len() >= self.peak.0 || now.since(self.peak.1) >= PEAK_RETENTION {
            self.peak = (view.serving.len(), now);
        }
        if view.serving.len() > self.largest_seen.0 {
            self.largest_seen = (view.serving.len(), now);
        }
        let is_changed = view.serving != self.view.serving;
        self.view = view;
        if is_changed {
            self.changed_at = now;
            self.generation += 1;
        }
        is_changed
    }

    /// Returns the nodes that share the quotas.
    pub fn serving(&self) -> &[NodeId] {
        &self.view.serving
    }

    /// Returns the fleet size to assume when quotas are divided: the largest seen recently, and at least
    /// [`MIN_NODES_AT_RESTART`] while this node is starting.
    pub fn peak(&self, now: BootTime) -> usize {
        let seen = self.peak.0.max(1);
        if self.is_starting(now) { seen.max(MIN_NODES_AT_RESTART) } else { seen }
    }

    /// Returns whether this process was restarted and is still learning which other nodes exist. The other nodes may
    /// have been restarted at the same time.
    pub fn is_starting(&self, now: BootTime) -> bool {
        self.is_restarted && now.since(self.largest_seen.1) < STARTING_PERIOD
    }

    /// Returns whether the nodes have been the same for [`SETTLED_PERIOD`]. Before that, a node that others regard as
    /// an owner may not know that it is one, and not answer.
    pub fn is_settled(&self, now: BootTime) -> bool {
        now.since(self.changed_at) >= SETTLED_PERIOD
    }

    /// Returns whether this node sees no other node although it has seen some recently, or is starting.
    pub fn has_lost_all_peers(&self, now: BootTime) -> bool {
        self.view.serving.len() <= 1 && self.peak(now) > 1
    }

    /// Returns the fraction of a quota that an owner may grant, 0 to 1.
    pub fn owner_fraction(&self, now: BootTime) -> f64 {
        (OWNER_FACTOR * self.view.serving.len() as f64 / self.peak(now) as f64).min(1.0)
    }

    /// Returns the fraction of a quota that `nodes` nodes without an owner may spend together, 0 to 1.
    pub fn ownerless_fraction(&self, now: BootTime, nodes: usize) -> f64 {
        (OWNERLESS_FACTOR * nodes as f64 / self.peak(now) as f64).min(1.0)
    }

    /// Returns the owner of a tenant: the node with the highest score (rendezvous hashing). A node that joins or
    /// leaves changes only the owner of the tenants that it owns.
    pub fn owner_of(&self, tenant: TenantHash) -> NodeId {
        self.view.serving.iter().copied().max_by_key(|node| owner_score(*node, tenant)).unwrap_or(self.own_node)
    }
}

/// Returns whether `node` has a higher owner score for the tenant than `other`.
pub(crate) fn has_higher_score(node: NodeId, other: NodeId, tenant: TenantHash) -> bool {
    owner_score(node, tenant) > owner_score(other, tenant)
}

/// Score by which nodes compete for the ownership of a tenant.
fn owner_score(node: NodeId, tenant: TenantHash) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), tenant.0)
}
