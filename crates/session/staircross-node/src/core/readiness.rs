//! Readiness of the node after its start.
//!
//! An operator or a rolling update replaces the next node as soon as this one is ready. It is ready when it can serve
//! requests, and when all members have made up for the session copies that went with its predecessor.

use super::Core;
use spdlog::{info, warn};
use staircross_cluster::ClusterEvent;
use staircross_types::{BootTime, NodeId};
use std::time::Duration;

/// Longest time that a node which can serve requests waits for the members' session copies. A paused member is known to
/// be gone by then, and one of an earlier version never answers.
const REPLICATION_TIMEOUT: Duration = Duration::from_secs(10);

impl Core {
    /// Makes the node ready once it can serve requests and the members' copies are complete.
    pub(super) fn update_readiness(&mut self, now: BootTime) {
        if self.is_ready || self.cluster.config().is_none() || !self.leaf.is_settled(now) {
            return;
        }
        let serves_since = *self.serves_since.get_or_insert(now);
        let replicating = self.cluster.members_replicating();
        if !replicating.is_empty() && now.since(serves_since) < REPLICATION_TIMEOUT {
            return;
        }
        if replicating.is_empty() {
            info!(logger: self.logs.cluster, "event=ready");
        } else {
            let members: Vec<String> = replicating.iter().map(NodeId::to_string).collect();
            warn!(logger: self.logs.cluster, "event=ready copies_unconfirmed_by={}", members.join(","));
        }
        self.is_ready = true;
        self.handle_cluster_event(now, ClusterEvent::EndReplicationWait);
    }

    /// Answers a member that waits for this node's session copies, if they are complete. The member asks again.
    pub(super) fn on_replication_awaited(&mut self, now: BootTime, by: NodeId) {
        if self.session_replication.is_complete() {
            self.handle_cluster_event(now, ClusterEvent::ConfirmReplication { to: by });
        }
    }
}
