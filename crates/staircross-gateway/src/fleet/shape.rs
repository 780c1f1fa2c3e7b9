//! The nodes that serve callers, and this node's share of the limits that all nodes share.
//!
//! The directory sends callers to the serving nodes only; the other ready nodes are reserves.
//!
//! This module owns when the directory is rebuilt, and the recent maxima of the numbers of live and serving nodes. It
//! relies on the directory for the choice of the serving nodes.

use super::Fleet;
use crate::dialect::DirectoryQuery;
use crate::directory::{Candidate, Directory};
use hashbrown::HashMap;
use staircross_cluster::{Member, MemberState};
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a recent maximum is kept before a smaller count replaces it. After a network partition each side sees
/// a smaller fleet, but the shares of one side must not grow before the other side has used its own. The time is longer
/// than the ten seconds over which extra sends are counted.
const PEAK_RETENTION: Duration = Duration::from_secs(30);
/// Age at which the directory is rebuilt even if no member has changed, since the loads of members change all the time.
const MAX_DIRECTORY_AGE: Duration = Duration::from_secs(1);
/// Fraction of the slack for extra sends that the serving nodes share; the rest is for reserves, which get few
/// requests. The extra budget uses only 0.4 of the slack, so the two sides of a partitioned fleet together stay below
/// the limit.
const SERVING_SLACK_FRACTION: f64 = 0.8;

/// Recent maximum of a count.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peak {
    count: usize,
    recorded_at: BootTime,
}

impl Peak {
    pub fn new(count: usize, now: BootTime) -> Self {
        Peak { count, recorded_at: now }
    }

    pub fn record(&mut self, now: BootTime, count: usize) {
        if count >= self.count || now.since(self.recorded_at) >= PEAK_RETENTION {
            *self = Peak::new(count, now);
        }
    }
}

/// Numbers of serving nodes, and this node's share of the limits that all nodes share.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetShape {
    /// Number of nodes that serve callers, by zone. This node is counted even if it is a reserve.
    pub nodes_by_zone: HashMap<Arc<str>, usize>,
    /// Recent maximum of the number of serving nodes, this node included.
    pub serving: usize,
    /// Position of this node among the serving nodes, from 0; `None` for a reserve.
    pub rank: Option<usize>,
    /// This node's share of the slack for extra sends, from 0 to 1. The slack is the number of extra sends that all
    /// nodes together may make in a window besides a fraction of their requests.
    pub slack_share: f64,
}

impl Fleet {
    /// Returns node addresses for a caller whose requests may be served in the `allowed` regions, or anywhere if
    /// `allowed` is empty. Suspect nodes are returned only if no ready node is alive.
    pub fn addresses_for(&mut self, now: BootTime, query: &DirectoryQuery, allowed: &[Arc<str>]) -> Vec<SocketAddr> {
        let own_zone = || self.membership.own().zone.0.clone();
        let query = DirectoryQuery { zone: query.zone.clone().or_else(|| Some(own_zone())), ..query.clone() };
        self.refresh_directory(now);
        self.directory.addresses_for(&query, allowed, &mut self.rng)
    }

    /// Returns the numbers of serving nodes and this node's share of the common limits.
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
        self.serving_peak.record(now, nodes_by_zone.values().sum());
        let slack_share = match (self.directory.reserve_count() > 0, is_serving) {
            (false, _) => 1.0 / self.live_peak.count.max(1) as f64,
            (true, true) => SERVING_SLACK_FRACTION / self.serving_peak.count.max(1) as f64,
            (true, false) => (1.0 - SERVING_SLACK_FRACTION) / self.live_peak.count.max(1) as f64,
        };
        let rank = self.directory.serving_rank(self.node);
        FleetShape { nodes_by_zone, serving: self.serving_peak.count, rank, slack_share }
    }

    /// Returns the nodes that share tenants' quotas if they have changed since the previous call. These are all ready
    /// nodes, including reserves, so that the owners of tenants stay the same while the choice of serving nodes follows
    /// the load. Suspect nodes are included, since they may well be alive.
    pub fn take_changed_quota_nodes(&mut self) -> Option<Vec<NodeId>> {
        let shares_quotas =
            |member: &&Member| member.is_ready && matches!(member.state, MemberState::Alive | MemberState::Suspect);
        let mut nodes: Vec<NodeId> = self.live_members().filter(shares_quotas).map(|member| member.node).collect();
        nodes.sort_unstable();
        if nodes == self.quota_nodes {
            return None;
        }
        self.quota_nodes = nodes.clone();
        Some(nodes)
    }

    /// Returns whether callers are sent to this node.
    pub fn is_serving(&self) -> bool {
        self.directory.is_serving(self.node)
    }

    /// Returns whether members or their loads may have changed since the directory was built.
    pub fn is_directory_stale(&self, now: BootTime) -> bool {
        self.directory_built_at.is_none_or(|built_at| now.since(built_at) >= MAX_DIRECTORY_AGE)
    }

    fn refresh_directory(&mut self, now: BootTime) {
        if !self.is_directory_stale(now) {
            return;
        }
        let mut candidates = self.candidates(MemberState::Alive);
        if candidates.is_empty() {
            candidates = self.candidates(MemberState::Suspect);
        }
        let connections = self.searcher_connections.filter(|_| self.policy.serving_part);
        self.directory = Directory::new(candidates, connections);
        self.directory_built_at = Some(now);
    }

    fn candidates(&self, state: MemberState) -> Vec<Candidate> {
        let ready = self.live_members().filter(|member| member.state == state && member.is_ready);
        let candidate = |member: &Member| Candidate {
            node: member.node,
            addr: member.caller_address,
            zone: member.zone.0.clone(),
            region: member.region.clone(),
            load: self.load_of(member.node),
        };
        ready.map(candidate).collect()
    }

    /// Sets the smallest number of connections that any searcher accepts from all nodes together; `None` if there is no
    /// such limit.
    pub fn set_searcher_connections(&mut self, connections: Option<u32>) {
        if self.searcher_connections != connections {
            self.searcher_connections = connections;
            self.directory_built_at = None;
        }
    }
}
