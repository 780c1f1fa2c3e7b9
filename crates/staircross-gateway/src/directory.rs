//! Chooses the nodes that callers are sent to.
//!
//! This module owns the choice of the serving nodes and of the addresses in an answer. The fleet supplies the
//! candidates and their loads, and the engine supplies the number of connections that searchers accept.
//!
//! Every serving node holds connections to every searcher of the shards that it queries, and a searcher accepts a
//! limited number of connections. So in a large fleet only some of the ready nodes serve callers: in each zone those
//! with the lowest ids, so that every node of the fleet chooses the same ones. The other nodes are reserves. They
//! have the same state as the serving nodes, and serve as soon as a serving node of their zone is gone or the load of
//! the zone needs more nodes. Callers are also sent to them while all the nearest serving nodes are pressed, that is,
//! too busy for more callers.

use crate::dialect::DirectoryQuery;
use crate::load::is_pressed;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use staircross_types::NodeId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of addresses in one answer, which is then some 1.3 KB long.
const MAX_ADDRESSES: usize = 64;
/// Fraction of a searcher's connections that serving nodes are planned to use. The rest is for reserves that still
/// hold some, and for incarnations that are gone but not yet noticed.
const PLANNED_CONNECTION_FRACTION: f64 = 0.9;
/// Planned number of connections from each serving node to each searcher: one for its usual work, one for concurrent
/// requests, one for hedges, and half as many again. With 4.5 instead of 3, fewer nodes serve, and each sees more of
/// the traffic and hedges better. With 5 and with 6, the gain on days without faults is lost on days with faults.
const CONNECTIONS_PER_NODE: f64 = 4.5;
/// Minimum number of serving nodes of a zone, if it has as many, so that one may fail.
const MIN_SERVING_PER_ZONE: usize = 2;
/// Maximum busy fraction, in percent, that is planned for serving nodes. It is below the fraction at which a node
/// counts as pressed.
const MAX_PLANNED_LOAD_PERCENT: usize = 40;
/// Number of farther nodes added to an answer for each near node, if all near nodes are pressed.
const FARTHER_NODES_PER_PRESSED: usize = 2;

/// A node that callers may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the node's incarnation.
    pub node: NodeId,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Zone of the node.
    pub zone: String,
    /// Region of the node.
    pub region: String,
    /// Busy fraction of its process, in percent.
    pub load: u8,
}

impl Candidate {
    fn is_pressed(&self) -> bool {
        is_pressed(self.load)
    }
}

/// How near a zone is to a caller, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Nearness {
    Zone,
    Region,
    /// Another region, where requests for the caller's host may be served.
    Allowed,
    Elsewhere,
}

/// The candidates of one zone.
#[derive(Clone, Debug, Default)]
struct Zone {
    /// Candidates in the order of their ids; the first `serving` of them serve.
    nodes: Vec<Candidate>,
    serving: usize,
}

impl Zone {
    fn serving(&self) -> &[Candidate] {
        &self.nodes[..self.serving]
    }

    fn nearness(&self, query: &DirectoryQuery, allowed: &[Arc<str>], zone: &str) -> Nearness {
        let region = self.nodes.first().map(|node| node.region.as_str());
        let is_region = region.is_some_and(|region| query.region.as_deref() == Some(region));
        let is_allowed = region.is_some_and(|region| allowed.iter().any(|allowed| &**allowed == region));
        if query.zone.as_deref() == Some(zone) {
            Nearness::Zone
        } else if is_region {
            Nearness::Region
        } else if is_allowed {
            Nearness::Allowed
        } else {
            Nearness::Elsewhere
        }
    }
}

/// The candidates of all zones, divided into serving nodes and reserves.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    zones: BTreeMap<String, Zone>,
}

impl Directory {
    /// Divides `candidates` into serving nodes and reserves. `connections` is the smallest number of connections that
    /// any searcher accepts from all nodes together; without it, all candidates serve.
    pub fn new(candidates: Vec<Candidate>, connections: Option<u32>) -> Self {
        let total = candidates.len();
        let mut directory = Directory::default();
        for node in candidates {
            directory.zones.entry(node.zone.clone()).or_default().nodes.push(node);
        }
        for zone in directory.zones.values_mut() {
            zone.nodes.sort_unstable_by_key(|node| node.node);
            zone.serving = match connections {
                Some(connections) => serving_count(&zone.nodes, total, connections),
                None => zone.nodes.len(),
            };
        }
        directory
    }

    /// Returns whether callers are sent to this node.
    pub fn is_serving(&self, node: NodeId) -> bool {
        self.zones.values().any(|zone| zone.serving().iter().any(|known| known.node == node))
    }

    /// Returns the position of a node among all serving nodes, from 0; `None` for a reserve.
    pub fn serving_rank(&self, node: NodeId) -> Option<usize> {
        let serving = self.zones.values().flat_map(Zone::serving);
        serving.map(|candidate| candidate.node).position(|known| known == node)
    }

    /// Returns the number of serving nodes of each zone.
    pub fn serving_by_zone(&self) -> impl Iterator<Item = (&str, usize)> {
        self.zones.iter().map(|(name, zone)| (name.as_str(), zone.serving))
    }

    /// Returns the number of nodes that don't serve.
    pub fn reserve_count(&self) -> usize {
        self.zones.values().map(|zone| zone.nodes.len() - zone.serving).sum()
    }

    /// Returns the addresses for a caller: serving nodes of its zone, else of its region, else of the regions
    /// `allowed` for its requests, else of all zones. If all of these nodes are pressed, the reserves of the same
    /// zones that aren't pressed are returned instead. If there are none, all nodes of these zones are returned,
    /// together with some farther nodes that aren't pressed, though none outside the allowed regions. `allowed` is
    /// empty if requests may be served anywhere.
    pub fn addresses_for(&self, query: &DirectoryQuery, allowed: &[Arc<str>], rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        let ranked = || self.zones.iter().map(|(name, zone)| (zone.nearness(query, allowed, name), zone));
        let Some(nearest) = ranked().map(|(nearness, _)| nearness).min() else {
            return Vec::new();
        };
        let near: Vec<&Zone> = ranked().filter(|(nearness, _)| *nearness == nearest).map(|(_, zone)| zone).collect();
        let mut addrs = unpressed_addresses(near.iter().flat_map(|zone| zone.serving()));
        if addrs.is_empty() {
            addrs = unpressed_addresses(near.iter().flat_map(|zone| &zone.nodes));
        }
        if addrs.is_empty() {
            addrs = near.iter().flat_map(|zone| &zone.nodes).map(|node| node.addr).collect();
            let is_eligible = |nearness: Nearness| allowed.is_empty() || nearness < Nearness::Elsewhere;
            let farther = ranked().filter(|(nearness, _)| *nearness != nearest && is_eligible(*nearness));
            let mut farther = unpressed_addresses(farther.flat_map(|(_, zone)| &zone.nodes));
            farther.shuffle(rng);
            farther.truncate(addrs.len() * FARTHER_NODES_PER_PRESSED);
            addrs.extend(farther);
        }
        addrs.sort_unstable();
        addrs.dedup();
        if addrs.len() > MAX_ADDRESSES {
            addrs.shuffle(rng);
            addrs.truncate(MAX_ADDRESSES);
        }
        addrs
    }
}

/// Returns how many nodes of a zone serve: as many as the searchers' connections allow, but at least enough for the
/// load.
fn serving_count(nodes: &[Candidate], total: usize, connections: u32) -> usize {
    let planned = f64::from(connections) * PLANNED_CONNECTION_FRACTION / CONNECTIONS_PER_NODE;
    let by_connections = (planned * nodes.len() as f64 / total as f64).ceil() as usize;
    let load: usize = nodes.iter().map(|node| usize::from(node.load)).sum();
    by_connections.max(MIN_SERVING_PER_ZONE).max(load.div_ceil(MAX_PLANNED_LOAD_PERCENT)).min(nodes.len())
}

fn unpressed_addresses<'a>(nodes: impl Iterator<Item = &'a Candidate>) -> Vec<SocketAddr> {
    nodes.filter(|node| !node.is_pressed()).map(|node| node.addr).collect()
}
