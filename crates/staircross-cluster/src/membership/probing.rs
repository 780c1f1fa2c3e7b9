//! Direct probes of one member at a time, and indirect probes through helpers when it doesn't answer.

use super::{Membership, MembershipAction, MembershipMessage, shuffle};
use crate::member::Member;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use staircross_types::{BootTime, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Divisor for the number of remote members that a relay probes in a round: for each other region, the number of local
/// members divided by this number, but at least [`MIN_REMOTE_TARGETS`].
const REMOTE_TARGET_DIVISOR: usize = 8;
/// Minimum number of members of each other region that a node probes in a round; a smaller region is probed whole.
const MIN_REMOTE_TARGETS: usize = 3;

/// The direct probe whose answer this node awaits.
pub(super) struct OutstandingProbe {
    pub(super) number: u64,
    pub(super) target: NodeId,
    /// Members whose records the probe carried, in the order of the records.
    pub(super) sent_updates: Vec<NodeId>,
    pub(super) sent_at: BootTime,
    /// Whether helpers have been asked to probe the target, too.
    pub(super) asked_helpers: bool,
}

/// A probe that this node sent on behalf of another.
pub(super) struct IndirectProbe {
    pub(super) number: u64,
    /// Number of the requester's own probe, which the answer to the requester must repeat.
    pub(super) requester_number: u64,
    pub(super) requester: NodeId,
    pub(super) requester_address: SocketAddr,
    pub(super) sent_at: BootTime,
}

impl Membership {
    /// Sends a probe to the next target.
    pub(super) fn start_probe(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<MembershipAction>) {
        self.next_probe = now + self.settings.probe_interval;
        let Some(target) = self.next_target(random) else {
            return;
        };
        let number = self.next_probe_number();
        let updates = self.choose_updates(target.node);
        let sent_updates = updates.iter().map(|member| member.node).collect();
        let message = MembershipMessage::Probe { number, updates };
        actions.push(MembershipAction::Send { to: Some(target.node), address: target.peer_address, message });
        self.probe =
            Some(OutstandingProbe { number, target: target.node, sent_updates, sent_at: now, asked_helpers: false });
    }

    /// Returns the next member to probe. A round is completed in random order before the next begins, so each local
    /// member is probed within a bounded time.
    fn next_target(&mut self, random: &mut ChaCha8Rng) -> Option<Member> {
        loop {
            if self.round.is_empty() {
                self.round = self.new_round(random);
                if self.round.is_empty() {
                    return None;
                }
            }
            let node = self.round.pop()?;
            if let Some(member) = self.members.get(&node).filter(|member| !member.is_gone()) {
                return Some(member.clone());
            }
        }
    }

    /// Returns the targets of a new round in random order: all local members and a few members of each other region, of
    /// which a relay includes more. Of a region with at most [`MIN_REMOTE_TARGETS`] members, all are in every round.
    fn new_round(&self, random: &mut ChaCha8Rng) -> Vec<NodeId> {
        let mut by_region: BTreeMap<&str, Vec<NodeId>> = BTreeMap::new();
        for member in self.others() {
            by_region.entry(&member.region).or_default().push(member.node);
        }
        let mut round = by_region.remove(self.own().region.as_str()).unwrap_or_default();
        let remote_count = if self.is_relay() {
            MIN_REMOTE_TARGETS.max(round.len() / REMOTE_TARGET_DIVISOR)
        } else {
            MIN_REMOTE_TARGETS
        };
        for remote in by_region.values() {
            round.extend(remote.choose_multiple(random, remote_count));
        }
        shuffle(&mut round, random);
        round
    }

    /// Asks helpers when the outstanding probe isn't answered in time, and suspects its target when it has failed.
    pub(super) fn check_probe(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<MembershipAction>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let age = now.since(probe.sent_at);
        let target = probe.target;
        if age >= self.settings.probe_timeout {
            self.probe = None;
            self.suspect(now, target, actions);
            return;
        }
        if age >= self.settings.direct_timeout && !probe.asked_helpers {
            probe.asked_helpers = true;
            let number = probe.number;
            self.ask_helpers(target, number, random, actions);
        }
    }

    /// Asks random members to probe `target` on this node's behalf.
    fn ask_helpers(
        &mut self,
        target: NodeId,
        number: u64,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(target_address) = self.members.get(&target).map(|member| member.peer_address) else {
            return;
        };
        let candidates: Vec<(NodeId, SocketAddr)> = self
            .others()
            .filter(|member| member.node != target)
            .map(|member| (member.node, member.peer_address))
            .collect();
        for (node, address) in candidates.choose_multiple(random, self.settings.helper_count) {
            let message = MembershipMessage::ProbeFor { number, target, target_address };
            actions.push(MembershipAction::Send { to: Some(*node), address: *address, message });
        }
    }

    /// Probes `target` for another node; the target's answer is passed on to that node.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn probe_on_behalf(
        &mut self,
        now: BootTime,
        requester_number: u64,
        requester: NodeId,
        requester_address: SocketAddr,
        target: NodeId,
        target_address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        let number = self.next_probe_number();
        self.indirect_probes.push(IndirectProbe {
            number,
            requester_number,
            requester,
            requester_address,
            sent_at: now,
        });
        let updates = self.choose_updates(target);
        let message = MembershipMessage::Probe { number, updates };
        actions.push(MembershipAction::Send { to: Some(target), address: target_address, message });
    }

    /// Handles the answer to this node's outstanding probe, or to a probe sent on behalf of another node.
    pub(super) fn on_probe_answer(&mut self, number: u64, known: u32, actions: &mut Vec<MembershipAction>) {
        if let Some(probe) = self.probe.take_if(|probe| probe.number == number) {
            self.count_redundant_sends(&probe.sent_updates, known, self.is_remote(probe.target));
            return;
        }
        let Some(index) = self.indirect_probes.iter().position(|indirect| indirect.number == number) else {
            return;
        };
        let indirect = self.indirect_probes.swap_remove(index);
        let updates = self.choose_updates(indirect.requester);
        let message = MembershipMessage::ProbeAnswer { number: indirect.requester_number, updates, known: 0 };
        actions.push(MembershipAction::Send {
            to: Some(indirect.requester),
            address: indirect.requester_address,
            message,
        });
    }
}
