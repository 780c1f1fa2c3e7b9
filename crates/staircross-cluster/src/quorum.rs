//! Voter sets and what counts as a majority.
//!
//! A decision needs a majority of the voters of *every* region. So a region that is cut off can't
//! change anything alone, and each region alone can prove that nothing was changed behind its back.

use serde::{Deserialize, Serialize};
use staircross_types::{NodeId, ZoneName};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// Its region.
    pub region: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Where peers reach it.
    pub address: SocketAddr,
}

/// All voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSet {
    /// Voters by run.
    pub voters: BTreeMap<NodeId, Voter>,
}

impl VoterSet {
    /// Whether the run is a voter.
    pub fn contains(&self, node: NodeId) -> bool {
        self.voters.contains_key(&node)
    }

    /// Regions that have voters, without repetition, in order.
    pub fn regions(&self) -> Vec<&str> {
        let mut regions: Vec<&str> = self.voters.values().map(|voter| voter.region.as_str()).collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }

    /// Voters of one region.
    pub fn in_region(&self, region: &str) -> impl Iterator<Item = (NodeId, &Voter)> {
        self.voters.iter().filter(move |(_, voter)| voter.region == region).map(|(node, voter)| (*node, voter))
    }

    /// Whether those for whom `counts` holds are a majority of one region's voters.
    pub fn has_region_majority(&self, region: &str, counts: impl Fn(NodeId) -> bool) -> bool {
        let mut total = 0;
        let mut counted = 0;
        for (node, _) in self.in_region(region) {
            total += 1;
            counted += usize::from(counts(node));
        }
        counted * 2 > total
    }

    /// Whether those for whom `counts` holds are a majority of every region's voters.
    pub fn has_majority(&self, counts: impl Fn(NodeId) -> bool) -> bool {
        let regions = self.regions();
        !regions.is_empty() && regions.iter().all(|region| self.has_region_majority(region, &counts))
    }

    /// A copy with one voter more.
    pub fn with(&self, node: NodeId, voter: Voter) -> VoterSet {
        let mut changed = self.clone();
        changed.voters.insert(node, voter);
        changed
    }

    /// A copy with one voter less.
    pub fn without(&self, node: NodeId) -> VoterSet {
        let mut changed = self.clone();
        changed.voters.remove(&node);
        changed
    }

    /// Whether the sets differ by at most one voter, so that any two majorities of them overlap.
    pub fn is_one_step_from(&self, other: &VoterSet) -> bool {
        let added = self.voters.keys().filter(|node| !other.contains(**node)).count();
        let removed = other.voters.keys().filter(|node| !self.contains(**node)).count();
        added + removed <= 1
    }
}
