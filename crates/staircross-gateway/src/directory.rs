//! Which nodes callers are sent to.
//!
//! Owns the choice of serving nodes and of the addresses in an answer. Relies on the fleet for the candidates and their loads, and on the
//! engine for what searchers accept.
//!
//! Every serving node holds connections to every searcher of the shards that it asks, and a searcher
//! accepts only so many. So in a large fleet some of the ready nodes serve, the same ones whichever
//! node is asked: in each zone those with the lowest ids. The others are a reserve: they know what the
//! serving ones know, and callers are sent to them as soon as one of those is gone or too busy.

use crate::dialect::DirectoryQuery;
use crate::load::is_pressed;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use staircross_types::NodeId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Addresses in one answer: some 1.3 KB.
const MAX_ADDRESSES: usize = 64;
/// Fraction of a searcher's connections that serving nodes are planned to use. The rest is for reserves that still hold some, and for incarnations
/// that are gone but not yet noticed.
const PLANNED_FRACTION: f64 = 0.9;
/// Connections to each searcher that a serving node should have: one for its usual work, one for requests
/// that meet, one for hedges, and half as much again. At 4.5 instead of 3 fewer nodes see more of the traffic each, and hedge better; at 5
/// and 6 days with trouble lost again what calm ones won.
const CONNECTIONS_PER_NODE: f64 = 4.5;
/// Least serving nodes of a zone that has so many, so that one may go.
const MIN_PER_ZONE: usize = 2;
/// Busy fraction, in percent, that serving nodes are planned to have at the most. Below that at which a node counts as pressed.
const PLANNED_LOAD: usize = 40;
/// Farther nodes that stand in for each near one that is pressed.
const FARTHER_PER_PRESSED: usize = 2;

/// A node that callers may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its incarnation.
    pub node: NodeId,
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Busy fraction of its process, in percent.
    pub load: u8,
}

impl Candidate {
    fn is_pressed(&self) -> bool {
        is_pressed(self.load)
    }
}

/// How near a node is to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Nearness {
    Zone,
    Region,
    /// Another region, in which the host's requests may be served.
    Allowed,
    Elsewhere,
}

/// The candidates of one zone.
#[derive(Clone, Debug, Default)]
struct Zone {
    /// In the order of their ids; the serving ones come first.
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

/// The nodes that serve callers, by zone.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    zones: BTreeMap<String, Zone>,
}

impl Directory {
    /// Divides `candidates` into serving ones and reserves. `connections` is what the searcher with the
    /// lowest bound accepts from all nodes together; without it all candidates serve.
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

    /// Whether callers are sent to a node.
    pub fn is_serving(&self, node: NodeId) -> bool {
        self.zones.values().any(|zone| zone.serving().iter().any(|known| known.node == node))
    }

    /// Number of a node among all that serve, from 0; `None` for a reserve.
    pub fn serving_rank(&self, node: NodeId) -> Option<usize> {
        let serving = self.zones.values().flat_map(Zone::serving);
        serving.map(|candidate| candidate.node).position(|known| known == node)
    }

    /// Serving nodes by zone.
    pub fn serving_by_zone(&self) -> impl Iterator<Item = (&str, usize)> {
        self.zones.iter().map(|(name, zone)| (name.as_str(), zone.serving))
    }

    /// Nodes that don't serve.
    pub fn reserve_count(&self) -> usize {
        self.zones.values().map(|zone| zone.nodes.len() - zone.serving).sum()
    }

    /// Addresses for a caller: serving nodes of its zone, else of its region, else of the regions `allowed` for its requests,
    /// else all. Where all of them are pressed, their reserves join them, and where there are none, farther ones with room,
    /// though none outside the allowed regions. `allowed` is empty where requests may be served anywhere.
    pub fn addresses_for(&self, query: &DirectoryQuery, allowed: &[Arc<str>], rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        let ranked = || self.zones.iter().map(|(name, zone)| (zone.nearness(query, allowed, name), zone));
        let Some(nearest) = ranked().map(|(nearness, _)| nearness).min() else {
            return Vec::new();
        };
        let near: Vec<&Zone> = ranked().filter(|(nearness, _)| *nearness == nearest).map(|(_, zone)| zone).collect();
        let mut addrs = with_room(near.iter().flat_map(|zone| zone.serving()));
        if addrs.is_empty() {
            addrs = with_room(near.iter().flat_map(|zone| &zone.nodes));
        }
        if addrs.is_empty() {
            addrs = near.iter().flat_map(|zone| &zone.nodes).map(|node| node.addr).collect();
            let is_open = |nearness: Nearness| allowed.is_empty() || nearness < Nearness::Elsewhere;
            let farther = ranked().filter(|(nearness, _)| *nearness != nearest && is_open(*nearness));
            let mut farther = with_room(farther.flat_map(|(_, zone)| &zone.nodes));
            farther.shuffle(rng);
            farther.truncate(addrs.len() * FARTHER_PER_PRESSED);
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

/// Nodes of a zone that serve: as many as the searchers' connections allow, but enough for the load.
fn serving_count(nodes: &[Candidate], total: usize, connections: u32) -> usize {
    let planned = f64::from(connections) * PLANNED_FRACTION / CONNECTIONS_PER_NODE;
    let by_connections = (planned * nodes.len() as f64 / total as f64).ceil() as usize;
    let load: usize = nodes.iter().map(|node| usize::from(node.load)).sum();
    by_connections.max(MIN_PER_ZONE).max(load.div_ceil(PLANNED_LOAD)).min(nodes.len())
}

fn with_room<'a>(nodes: impl Iterator<Item = &'a Candidate>) -> Vec<SocketAddr> {
    nodes.filter(|node| !node.is_pressed()).map(|node| node.addr).collect()
}
