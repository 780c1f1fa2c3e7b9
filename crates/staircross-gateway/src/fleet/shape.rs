//! Which nodes serve callers, and this node's share of what all spend together.
//!
//! Owns when the directory is made anew and the largest counts of late. Relies on the directory for the choice itself.

use super::Fleet;
use crate::dialect::DirectoryQuery;
use crate::directory::{Candidate, Directory};
use hashbrown::HashMap;
use staircross_cluster::{Member, MemberState};
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long the largest fleet seen counts: a cut makes two fleets of one, and shares mustn't grow before the other side's are spent. Above the ten
/// seconds over which extra sends are counted.
const PEAK_LIFE: Duration = Duration::from_secs(30);
/// Age at which the directory is made anew even if no member has changed: loads have.
const DIRECTORY_LIFE: Duration = Duration::from_secs(1);
/// Fraction of the slack for extra sends that serving nodes share; reserves share the rest. A reserve gets few requests, and 0.4 of the slack is
/// used, so a cut that leaves two fleets stays below what is allowed.
const SERVING_SLACK: f64 = 0.8;

/// A count's largest value seen lately.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peak {
    count: usize,
    at: BootTime,
}

impl Peak {
    pub fn new(count: usize, now: BootTime) -> Self {
        Peak { count, at: now }
    }

    pub fn note(&mut self, now: BootTime, count: usize) {
        if count >= self.count || now.since(self.at) >= PEAK_LIFE {
            *self = Peak::new(count, now);
        }
    }
}

/// How many nodes there are, and what this one may spend of what they share.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetShape {
    /// Nodes that serve callers, by zone; this node counts.
    pub nodes_by_zone: HashMap<Arc<str>, usize>,
    /// Most nodes that served lately.
    pub serving: usize,
    /// This node's number among those that serve, from 0; `None` for a reserve.
    pub rank: Option<usize>,
    /// This node's share of the slack for extra sends, 0 to 1.
    pub slack_share: f64,
}

impl Fleet {
    /// Addresses for a caller whose requests may be served in the `allowed` regions, or anywhere if there are none. Suspects only
    /// if there is nobody else.
    pub fn addresses_for(&mut self, now: BootTime, query: &DirectoryQuery, allowed: &[Arc<str>]) -> Vec<SocketAddr> {
        let own_zone = || self.membership.own().zone.0.clone();
        let query = DirectoryQuery { zone: query.zone.clone().or_else(|| Some(own_zone())), ..query.clone() };
        self.refresh_directory(now);
        self.directory.addresses_for(&query, allowed, &mut self.random)
    }

    /// How many nodes there are, and what this one may spend of what they share.
    pub fn shape(&mut self, now: BootTime) -> FleetShape {
        self.refresh_directory(now);
        let counts = self.directory.serving_by_zone();
        let mut nodes_by_zone: HashMap<Arc<str>, usize> =
            counts.map(|(zone, count)| (Arc::from(zone), count)).collect();
        let is_serving = self.is_serving();
        if !is_serving {
            let own_zone = self.membership.own().zone.0.as_str();
            *nodes_by_zone.entry(Arc::from(own_zone)).or_default() += 1;
        }
        self.serving_peak.note(now, nodes_by_zone.values().sum());
        let slack_share = match (self.directory.reserve_count() > 0, is_serving) {
            (false, _) => 1.0 / self.live_peak.count.max(1) as f64,
            (true, true) => SERVING_SLACK / self.serving_peak.count.max(1) as f64,
            (true, false) => (1.0 - SERVING_SLACK) / self.live_peak.count.max(1) as f64,
        };
        let rank = self.directory.serving_rank(self.node);
        FleetShape { nodes_by_zone, serving: self.serving_peak.count, rank, slack_share }
    }

    /// The nodes that share tenants' quotas, if they have changed: all that are ready, reserves too, so that owners stay the same while the
    /// serving part follows the load. A suspect may well live.
    pub fn take_quota_nodes(&mut self) -> Option<Vec<NodeId>> {
        let shares =
            |member: &&Member| member.is_ready && matches!(member.state, MemberState::Alive | MemberState::Suspect);
        let mut nodes: Vec<NodeId> = self.live().filter(shares).map(|member| member.node).collect();
        nodes.sort_unstable();
        if nodes == self.quota_nodes {
            return None;
        }
        self.quota_nodes = nodes.clone();
        Some(nodes)
    }

    /// Whether callers are sent to this node.
    pub fn is_serving(&self) -> bool {
        self.directory.is_serving(self.node)
    }

    /// Whether members or their loads may have changed since the directory was made.
    pub fn is_directory_stale(&self, now: BootTime) -> bool {
        self.directory_at.is_none_or(|made| now.since(made) >= DIRECTORY_LIFE)
    }

    fn refresh_directory(&mut self, now: BootTime) {
        if !self.is_directory_stale(now) {
            return;
        }
        let mut candidates = self.candidates(MemberState::Alive);
        if candidates.is_empty() {
            candidates = self.candidates(MemberState::Suspect);
        }
        let connections = self.connections.filter(|_| self.policy.serving_part);
        self.directory = Directory::new(candidates, connections);
        self.directory_at = Some(now);
    }

    fn candidates(&self, state: MemberState) -> Vec<Candidate> {
        let ready = self.live().filter(|member| member.state == state && member.is_ready);
        let candidate = |member: &Member| Candidate {
            node: member.node,
            addr: member.caller_address,
            zone: member.zone.0.clone(),
            region: member.region.clone(),
            load: self.load_of(member.node),
        };
        ready.map(candidate).collect()
    }

    /// Notes what the searcher of a shard with the lowest bound accepts from all nodes.
    pub fn set_connections(&mut self, connections: Option<u32>) {
        if self.connections != connections {
            self.connections = connections;
            self.directory_at = None;
        }
    }
}
