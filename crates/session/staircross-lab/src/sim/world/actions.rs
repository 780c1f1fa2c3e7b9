//! Carries out the actions of root and leaf engines, and transmits messages between nodes.

use super::{OpenCall, SimEvent, World};
use crate::sim::network::Endpoint;
use staircross_search::leaf::not_run;
use staircross_search::{LeafAction, LeafEvent, NotRunReason, RootAction, SubReply, SubRequest};
use staircross_types::{AttemptId, NodeId};
use std::time::Duration;

impl World {
    pub(super) fn apply_root_actions(&mut self, node: usize, actions: Vec<RootAction>) {
        for action in actions {
            match action {
                RootAction::Send(request) => self.send_sub_request(node, request),
                RootAction::Cancel { attempt, .. } => self.send_cancellation(node, attempt),
                RootAction::Finish { request, outcome } => self.record_outcome(node, request, outcome),
            }
        }
    }

    pub(super) fn node_index(&self, id: NodeId) -> Option<usize> {
        self.nodes.iter().position(|node| node.id == id)
    }

    /// Sends a sub-request of a root to the leaf that owns the searcher.
    pub(super) fn send_sub_request(&mut self, node: usize, request: SubRequest) {
        let turn = request.attempt.request.sequence + u64::from(request.attempt.attempt);
        let owners = self.nodes[node].ownership.owners_in_turn(request.searcher, turn);
        let target = owners.first().and_then(|owner| self.node_index(*owner));
        let Some(target) = target else {
            let reply = not_run(&request, NotRunReason::NotOwner);
            self.send_reply_to_root(node, node, reply);
            return;
        };
        self.nodes[node].attempt_targets.insert(request.attempt, target);
        if target == node {
            let from = self.nodes[node].id;
            self.handle_leaf_event(node, LeafEvent::Request { from, request });
            return;
        }
        let (from, to) = (Endpoint::Node(node), Endpoint::Node(target));
        let delay = self.draw_network_delay(from, to);
        if !self.nodes[target].is_up || !self.network.can_deliver(from, to) {
            // The connection to the peer fails, so the sub-request was certainly not delivered.
            let reply = not_run(&request, NotRunReason::NotOwner);
            self.schedule_root_reply(node, delay, reply);
            return;
        }
        let generation = self.nodes[target].generation;
        self.schedule(delay, SimEvent::LeafRequest { node: target, generation, from: node, request });
    }

    /// Sends the cancellation of an attempt to the leaf that got the attempt.
    pub(super) fn send_cancellation(&mut self, node: usize, attempt: AttemptId) {
        let Some(target) = self.nodes[node].attempt_targets.remove(&attempt) else {
            return;
        };
        let generation = self.nodes[target].generation;
        let delay = self.draw_network_delay(Endpoint::Node(node), Endpoint::Node(target));
        if target == node {
            let from = self.nodes[node].id;
            self.handle_leaf_event(node, LeafEvent::Cancel { from, attempt });
        } else if self.network.can_deliver(Endpoint::Node(node), Endpoint::Node(target)) {
            self.schedule(delay, SimEvent::LeafCancel { node: target, generation, from: node, attempt });
        }
    }

    /// Delivers a reply to the current generation of a root's node after a delay.
    pub(super) fn schedule_root_reply(&mut self, node: usize, after: Duration, reply: SubReply) {
        let generation = self.nodes[node].generation;
        self.schedule(after, SimEvent::RootReply { node, generation, reply });
    }

    /// Sends a reply of a leaf to a root. The reply is lost if the network is cut between their nodes.
    pub(super) fn send_reply_to_root(&mut self, from: usize, to: usize, reply: SubReply) {
        let (source, target) = (Endpoint::Node(from), Endpoint::Node(to));
        if from != to && !self.network.can_deliver(source, target) {
            return;
        }
        let delay = if from == to { Duration::ZERO } else { self.draw_network_delay(source, target) };
        self.schedule_root_reply(to, delay, reply);
    }

    pub(super) fn apply_leaf_actions(&mut self, node: usize, actions: Vec<LeafAction>) {
        for action in actions {
            match action {
                LeafAction::Send { request, send_before } => {
                    // A worker thread sends the sub-request. The node may be paused before it does.
                    let generation = self.nodes[node].generation;
                    let searcher = request.searcher.0 as usize;
                    let call = OpenCall { request: request.clone(), searcher, has_arrived: false };
                    self.nodes[node].open_calls.insert(request.attempt, call);
                    let delay = self.draw_delay_up_to(Duration::from_micros(100));
                    self.schedule(delay, SimEvent::WorkerSend { node, generation, request, send_before });
                }
                // Simulated searchers do not cancel work.
                LeafAction::CancelAtSearcher { .. } => {}
                LeafAction::Probe { searcher } => self.send_probe(node, searcher),
                LeafAction::Reply { to, reply } => {
                    if let Some(target) = self.node_index(to) {
                        self.send_reply_to_root(node, target, reply);
                    }
                }
                LeafAction::PublishView(view) => {
                    for other in 0..self.nodes.len() {
                        let at_most = self.settings.update_delay;
                        let delay = if other == node { Duration::ZERO } else { self.draw_delay_up_to(at_most) };
                        self.schedule(delay, SimEvent::View { node: other, view: view.clone() });
                    }
                }
            }
        }
    }
}
