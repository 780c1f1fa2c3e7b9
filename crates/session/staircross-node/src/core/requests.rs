//! Path of a request from the root engine to a leaf engine and a searcher, and of its reply back.

use super::Core;
use spdlog::{debug, info};
use staircross_search::leaf::not_run;
use staircross_search::{
    LeafAction, LeafEvent, NotRunReason, Outcome, RootAction, RootEvent, SubOutcome, SubReply, SubRequest,
    UnknownReason,
};
use staircross_types::boot_clock as clock;
use staircross_types::{AttemptId, BootTime, NodeId, RequestId, SearcherId};
use staircross_wire::PeerMessage;
use std::net::SocketAddr;

impl Core {
    pub(super) fn execute_root_actions(&mut self, now: BootTime, actions: Vec<RootAction>) {
        for action in actions {
            match action {
                RootAction::Send(request) => self.send_sub_request(now, request),
                RootAction::Cancel { attempt, searcher } => self.send_cancel(now, attempt, searcher),
                RootAction::Finish { request, outcome } => self.on_finished(now, request, outcome),
            }
        }
    }

    /// Sends a sub-request to one of the searcher's owners: the leaf engine of this node or of another one.
    fn send_sub_request(&mut self, now: BootTime, request: SubRequest) {
        let turn = request.attempt.request.sequence + u64::from(request.attempt.attempt);
        let owners = self.cluster.ownership().owners_in_turn(request.searcher, turn);
        let owner = owners.into_iter().find_map(|owner| {
            let member = self.cluster.member(owner).filter(|member| member.takes_work() || owner == self.node)?;
            Some((owner, member.peer_address))
        });
        debug!(logger: self.logs.search, "event=sub_request attempt={} searcher={} snapshot={} shards={} owner={:?}",
            request.attempt, request.searcher, request.snapshot, request.shards.len(), owner.map(|(node, _)| node));
        match owner {
            Some((owner, _)) if owner == self.node => {
                self.handle_leaf_event(now, LeafEvent::Request { from: self.node, request });
            }
            Some((owner, address)) => {
                self.remote_attempts.insert(request.attempt, address);
                self.peers.send(address, PeerMessage::Request { from: self.node, to: owner, request });
            }
            None => {
                let reply = not_run(&request, NotRunReason::NotOwner);
                self.handle_root_event(now, RootEvent::Reply(reply));
            }
        }
    }

    /// Cancels an attempt at the leaf engine to which it was sent.
    fn send_cancel(&mut self, now: BootTime, attempt: AttemptId, searcher: SearcherId) {
        match self.remote_attempts.remove(&attempt) {
            Some(address) => self.peers.send(address, PeerMessage::Cancel { from: self.node, attempt }),
            None => {
                debug!(logger: self.logs.search, "event=cancel attempt={attempt} searcher={searcher}");
                self.handle_leaf_event(now, LeafEvent::Cancel { from: self.node, attempt });
            }
        }
    }

    pub(super) fn execute_leaf_actions(&mut self, now: BootTime, actions: Vec<LeafAction>) {
        for action in actions {
            match action {
                LeafAction::Send { request, send_before } => self.searchers.send(request, send_before),
                LeafAction::CancelAtSearcher { searcher, attempt } => self.searchers.cancel(searcher, attempt),
                LeafAction::Probe { searcher } => self.searchers.probe(searcher),
                LeafAction::Reply { to, reply } => self.reply_to_root(now, to, reply),
                LeafAction::PublishView(view) => self.publish_view(now, &view),
            }
        }
    }

    fn reply_to_root(&mut self, now: BootTime, to: NodeId, reply: SubReply) {
        if to == self.node {
            self.handle_root_event(now, RootEvent::Reply(reply));
            return;
        }
        if let Some(address) = self.cluster.member(to).map(|member| member.peer_address) {
            self.peers.send(address, PeerMessage::Reply { to, reply });
        }
    }

    pub(super) fn on_peer_message(&mut self, now: BootTime, message: PeerMessage) {
        match message {
            PeerMessage::Cluster(envelope) => {
                self.handle_cluster_event(now, staircross_cluster::ClusterEvent::Message(Box::new(envelope)));
            }
            PeerMessage::Request { from, to, request } => {
                if to == self.node {
                    self.handle_leaf_event(now, LeafEvent::Request { from, request });
                } else if let Some(address) = self.cluster.member(from).map(|member| member.peer_address) {
                    // The request is meant for an earlier incarnation of the node at this address.
                    let reply = not_run(&request, NotRunReason::NotOwner);
                    self.peers.send(address, PeerMessage::Reply { to: from, reply });
                }
            }
            PeerMessage::Reply { to, reply } => {
                if to == self.node {
                    self.remote_attempts.remove(&reply.attempt);
                    self.handle_root_event(now, RootEvent::Reply(reply));
                }
            }
            PeerMessage::Cancel { from, attempt } => self.handle_leaf_event(now, LeafEvent::Cancel { from, attempt }),
            // Only connections carry pings, and answer them.
            PeerMessage::Ping => {}
        }
    }

    /// Reports an unknown outcome for each sub-request sent to a node whose connection broke: the searchers may have
    /// executed them.
    pub(super) fn on_peer_broken(&mut self, now: BootTime, address: SocketAddr) {
        let lost: Vec<AttemptId> = self
            .remote_attempts
            .iter()
            .filter(|(_, peer_address)| **peer_address == address)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in lost {
            self.remote_attempts.remove(&attempt);
            if let Some((searcher, snapshot)) = self.root.attempt_target(attempt) {
                let outcome = SubOutcome::Unknown(UnknownReason::Broken);
                self.handle_root_event(
                    now,
                    RootEvent::Reply(SubReply { attempt, searcher, snapshot, outcome, worked: Default::default() }),
                );
            }
        }
    }

    /// Reports to the root engine that a sub-request wasn't executed, or that its outcome is unknown if part of it was
    /// sent.
    pub(super) fn on_undelivered(&mut self, now: BootTime, request: &SubRequest, partly_written: bool) {
        self.remote_attempts.remove(&request.attempt);
        let mut reply = not_run(request, NotRunReason::NotOwner);
        if partly_written {
            reply.outcome = SubOutcome::Unknown(UnknownReason::Broken);
        }
        self.handle_root_event(now, RootEvent::Reply(reply));
    }

    /// Logs and counts the outcome of a request, and replies to its caller.
    fn on_finished(&mut self, now: BootTime, request: RequestId, outcome: Outcome) {
        self.remote_attempts.retain(|attempt, _| attempt.request != request);
        let Some(pending) = self.pending.remove(&request.sequence) else {
            return;
        };
        let elapsed = clock::now().since(pending.started);
        match &outcome {
            Outcome::Answer(answer) => {
                info!(logger: self.logs.search,
                    "event=answer request={request} session={} service={} snapshot={} shards={}/{} sent={} needed={} ms={:.1}",
                    pending.session_tag, pending.service, answer.snapshot, answer.coverage.included.len(),
                    answer.coverage.total(), answer.sent, answer.needed, elapsed.as_secs_f64() * 1000.0);
                self.metrics.requests.with_label_values(&["answer"]).inc();
                self.metrics.answer_seconds.observe(elapsed.as_secs_f64());
                for missing in &answer.coverage.missing {
                    self.metrics.missing_shards.with_label_values(&[missing.cause.name()]).inc();
                }
            }
            Outcome::Acted(receipt) => {
                info!(logger: self.logs.search, "event=acted request={request} session={} service={} entry={}",
                    pending.session_tag, pending.service, receipt.entry);
                self.metrics.requests.with_label_values(&["acted"]).inc();
            }
            Outcome::Refusal(refusal) => {
                info!(logger: self.logs.search,
                    "event=refusal request={request} session={} service={} kind={} detail={:?}",
                    pending.session_tag, pending.service, refusal.kind, refusal.detail);
                self.metrics.requests.with_label_values(&[refusal.kind.name()]).inc();
            }
        }
        self.reply_after_copies(now, request, pending, outcome);
    }
}
