//! Carries out the actions of root and leaf engines, and transmits messages between nodes.

use super::{PendingSend, SimEvent, World};
use crate::sim::network::Place;
use staircross_search::leaf::not_run;
use staircross_search::{LeafAction, LeafEvent, NotRunReason, RootAction, SubReply, SubRequest};
use staircross_types::{AttemptId, NodeId};
use std::time::Duration;

impl World {
    pub(super) fn do_root(&mut self, node: usize, actions: Vec<RootAction>) {
        for action in actions {
            match action {
                RootAction::Send(request) => self.route(node, request),
                RootAction::Cancel { attempt, .. } => self.route_cancel(node, attempt),
                RootAction::Finish { request, outcome } => self.finish(node, request, outcome),
            }
        }
    }

    pub(super) fn index_of(&self, id: NodeId) -> Option<usize> {
        self.nodes.iter().position(|node| node.id == id)
    }

    /// Sends a sub-request of a root to the leaf that owns the searcher.
    pub(super) fn route(&mut self, node: usize, request: SubRequest) {
        let turn = request.attempt.request.sequence + u64::from(request.attempt.attempt);
        let owners = self.nodes[node].ownership.owners_in_turn(request.searcher, turn);
        let target = owners.first().and_then(|owner| self.index_of(*owner));
        let Some(target) = target else {
            let reply = not_run(&request, NotRunReason::NotOwner);
            self.reply_to_root(node, node, reply);
            return;
        };
        self.nodes[node].routes.insert(request.attempt, target);
        if target == node {
            let from = self.nodes[node].id;
            self.leaf_event(node, LeafEvent::Request { from, request });
            return;
        }
        let (from, to) = (Place::Node(node), Place::Node(target));
        let delay = self.delay_between(from, to);
        if !self.nodes[target].is_up || !self.network.is_open(from, to) {
            // The connection to the peer fails, so the sub-request was certainly not delivered.
            let reply = not_run(&request, NotRunReason::NotOwner);
            self.schedule_root_reply(node, delay, reply);
            return;
        }
        let run = self.nodes[target].runs;
        self.schedule(delay, SimEvent::LeafRequest { node: target, run, from: node, request });
    }

    /// Sends the cancellation of an attempt to the leaf that got the attempt.
    pub(super) fn route_cancel(&mut self, node: usize, attempt: AttemptId) {
        let Some(target) = self.nodes[node].routes.remove(&attempt) else {
            return;
        };
        let run = self.nodes[target].runs;
        let delay = self.delay_between(Place::Node(node), Place::Node(target));
        if target == node {
            let from = self.nodes[node].id;
            self.leaf_event(node, LeafEvent::Cancel { from, attempt });
        } else if self.network.is_open(Place::Node(node), Place::Node(target)) {
            self.schedule(delay, SimEvent::LeafCancel { node: target, run, from: node, attempt });
        }
    }

    pub(super) fn schedule_root_reply(&mut self, node: usize, after: Duration, reply: SubReply) {
        let run = self.nodes[node].runs;
        self.schedule(after, SimEvent::RootReply { node, run, reply });
    }

    /// Sends a reply of a leaf to a root. The reply is lost if the network is cut between their nodes.
    pub(super) fn reply_to_root(&mut self, from: usize, to: usize, reply: SubReply) {
        let (source, target) = (Place::Node(from), Place::Node(to));
        if from != to && !self.network.is_open(source, target) {
            return;
        }
        let delay = if from == to { Duration::ZERO } else { self.delay_between(source, target) };
        self.schedule_root_reply(to, delay, reply);
    }

    pub(super) fn do_leaf(&mut self, node: usize, actions: Vec<LeafAction>) {
        for action in actions {
            match action {
                LeafAction::Send { request, send_before } => {
                    // A worker thread sends the sub-request. The node may be paused before it does.
                    let run = self.nodes[node].runs;
                    let searcher = request.searcher.0 as usize;
                    let pending = PendingSend { request: request.clone(), searcher, has_arrived: false };
                    self.nodes[node].sends.insert(request.attempt, pending);
                    let delay = self.random_up_to(Duration::from_micros(100));
                    self.schedule(delay, SimEvent::WorkerSend { node, run, request, send_before });
                }
                LeafAction::CancelAtSearcher { .. } => {}
                LeafAction::Probe { searcher } => self.send_probe(node, searcher),
                LeafAction::Reply { to, reply } => {
                    if let Some(target) = self.index_of(to) {
                        self.reply_to_root(node, target, reply);
                    }
                }
                LeafAction::PublishView(view) => {
                    for other in 0..self.nodes.len() {
                        let at_most = self.settings.update_delay;
                        let delay = if other == node { Duration::ZERO } else { self.random_up_to(at_most) };
                        self.schedule(delay, SimEvent::View { node: other, view: view.clone() });
                    }
                }
            }
        }
    }
}
