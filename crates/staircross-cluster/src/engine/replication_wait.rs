//! The wait of a node that has just started until the other members have complete session copies again.
//!
//! The node's predecessor kept copies, and the node keeps others. Whoever replaces one node after the other must not go on
//! before the copies that went with the first are made up for.

use super::{ClusterAction, ClusterEngine};
use crate::message::ClusterMessage;
use crate::session_copies::SessionCopyMessage;
use staircross_types::{BootTime, NodeId};
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval at which members that haven't answered are asked again.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// Which members have answered that their copies are complete.
#[derive(Default)]
pub(super) struct ReplicationWait {
    answered: BTreeSet<NodeId>,
    next_request: BootTime,
    is_over: bool,
}

impl ClusterEngine {
    /// Returns the members that haven't answered yet that their copies are complete.
    pub fn members_replicating(&self) -> Vec<NodeId> {
        let others = self.membership.others().map(|member| member.node);
        others.filter(|node| !self.replication_wait.answered.contains(node)).collect()
    }

    /// Ends the wait: no member is asked any more.
    pub(super) fn end_replication_wait(&mut self) {
        self.replication_wait.is_over = true;
    }

    /// Asks the members that haven't answered, when that is due.
    pub(super) fn ask_for_replication(&mut self, now: BootTime, actions: &mut Vec<ClusterAction>) {
        if self.replication_wait.is_over || now < self.replication_wait.next_request {
            return;
        }
        self.replication_wait.next_request = now + REQUEST_INTERVAL;
        for node in self.members_replicating() {
            self.send_to_member(node, SessionCopyMessage::AwaitReplication, actions);
        }
    }

    pub(super) fn on_replicated(&mut self, from: NodeId) {
        self.replication_wait.answered.insert(from);
    }

    /// Answers a member that waits, if it is known here, and if its predecessor at the same address is known to be gone.
    /// Otherwise the copies that this node considers complete may count the predecessor.
    pub(super) fn confirm_replication(&self, to: NodeId, actions: &mut Vec<ClusterAction>) {
        let Some(member) = self.membership.get(to) else {
            return;
        };
        let mut at_address = self.membership.others().filter(|other| other.peer_address == member.peer_address);
        if at_address.all(|other| other.node == to) {
            self.send_to_member(to, SessionCopyMessage::Replicated, actions);
        }
    }

    fn send_to_member(&self, to: NodeId, message: SessionCopyMessage, actions: &mut Vec<ClusterAction>) {
        if let Some(member) = self.membership.get(to) {
            self.send(Some(to), member.peer_address, ClusterMessage::SessionCopies(message), actions);
        }
    }
}
