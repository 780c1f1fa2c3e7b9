//! A simulated fleet: its services, size and times.

use crate::sim::network::Delays;
use crate::sim::searcher::WorkTime;
use staircross_config::ServicePolicy;
use staircross_search::{LeafSettings, RootSettings};
use staircross_types::ServiceName;
use std::time::Duration;

/// One simulated service.
#[derive(Clone, Debug)]
pub struct SimService {
    /// Its name.
    pub name: ServiceName,
    /// How its requests are treated.
    pub policy: ServicePolicy,
    /// Its searchers.
    pub searchers: usize,
    /// Slots of each.
    pub slots: usize,
    /// Its shards.
    pub shards: u32,
    /// Replicas of each shard.
    pub replicas: usize,
    /// Time that work takes.
    pub work_time: WorkTime,
}

/// A simulated fleet's size and times.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Nodes.
    pub nodes: usize,
    /// Zones.
    pub zones: usize,
    /// Services.
    pub services: Vec<SimService>,
    /// Network delays.
    pub delays: Delays,
    /// Bounds of the roots.
    pub root: RootSettings,
    /// Bounds of the leaves.
    pub leaf: LeafSettings,
    /// Time for updates of members, views and configuration to reach a node, at most.
    pub update_delay: Duration,
}
