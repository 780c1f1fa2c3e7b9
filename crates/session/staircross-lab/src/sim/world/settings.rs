//! Settings of a simulated fleet: its size, services and delays.

use crate::sim::network::Delays;
use crate::sim::searcher::WorkTime;
use staircross_config::ServicePolicy;
use staircross_search::{LeafSettings, RootSettings};
use staircross_types::ServiceName;
use std::time::Duration;

/// Describes one simulated service.
#[derive(Clone, Debug)]
pub struct SimService {
    /// Name of the service.
    pub name: ServiceName,
    /// Policy for the requests of the service.
    pub policy: ServicePolicy,
    /// Number of searchers.
    pub searchers: usize,
    /// Number of sub-requests that each searcher executes at a time.
    pub slots: usize,
    /// Number of shards of the index.
    pub shards: u32,
    /// Number of replicas of each shard.
    pub replicas: usize,
    /// Distribution of the time that a sub-request takes.
    pub work_time: WorkTime,
}

/// Describes a simulated fleet.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of zones. Nodes and searchers are assigned to them round-robin.
    pub zones: usize,
    /// Services of the fleet.
    pub services: Vec<SimService>,
    /// Message delays of the network.
    pub delays: Delays,
    /// Settings of the root engines.
    pub root: RootSettings,
    /// Settings of the leaf engines.
    pub leaf: LeafSettings,
    /// Upper bound of the time that updates of members, views and configuration take to reach a node.
    pub update_delay: Duration,
}
