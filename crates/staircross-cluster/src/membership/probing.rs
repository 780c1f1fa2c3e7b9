//! Direct probes of one member at a time, and indirect probes through helpers when it doesn't answer.

use super::{Membership, MembershipAction, MembershipMessage, shuffle};
use crate::member::Member;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use staircross_types::{BootTime, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A relay probes this fraction of the number of local members in each other region per round.
const FAR_DIVISOR: usize = 8;
/// Fewest members of each other region that a round contains, as far as the region has them.
const MIN_FAR: usize = 3;

/// The direct probe that this node awaits an answer to.
pub(super) struct OutstandingProbe {
    pub(super) number: u64,
    pub(super) target: NodeId,
    /// Members whose records the probe carried, in the order sent.
    pub(super) sent: Vec<NodeId>,
    pub(super) sent_at: BootTime,
    pub(super) asked_helpers: bool,
}

/// A probe that this node sent on behalf of another.
pub(super) struct HelpedProbe {
    pub(super) number: u64,
    pub(super) for_number: u64,
    pub(super) for_node: NodeId,
    pub(super) for_address: SocketAddr,
    pub(super) sent_at: BootTime,
}

impl Membership {
    pub(super) fn start_probe(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<MembershipAction>) {
        self.next_probe = now + self.settings.probe_every;
        let Some(target) = self.next_target(random) else {
            return;
        };
        let number = self.take_number();
        let updates = self.take_updates(target.node);
        let sent = updates.iter().map(|member| member.node).collect();
        let message = MembershipMessage::Probe { number, updates };
        actions.push(MembershipAction::Send { to: Some(target.node), address: target.peer_address, message });
        self.probe = Some(OutstandingProbe { number, target: target.node, sent, sent_at: now, asked_helpers: false });
    }

    /// The next member to probe. A round is completed in random order before the next begins, so each local member is
    /// probed within a bounded time.
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

    /// Targets of a new round in random order: all local members and a few members of each other region, of which a
    /// relay includes more. Of a region with at most [`MIN_FAR`] members, all are in every round.
    fn new_round(&self, random: &mut ChaCha8Rng) -> Vec<NodeId> {
        let mut by_region: BTreeMap<&str, Vec<NodeId>> = BTreeMap::new();
        for member in self.others() {
            by_region.entry(&member.region).or_default().push(member.node);
        }
        let mut round = by_region.remove(self.own().region.as_str()).unwrap_or_default();
        let far_count = if self.is_relay() { MIN_FAR.max(round.len() / FAR_DIVISOR) } else { MIN_FAR };
        for far in by_region.values() {
            round.extend(far.choose_multiple(random, far_count));
        }
        shuffle(&mut round, random);
        round
    }

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
        for (node, address) in candidates.choose_multiple(random, self.settings.helpers) {
            let message = MembershipMessage::ProbeFor { number, target, target_address };
            actions.push(MembershipAction::Send { to: Some(*node), address: *address, message });
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn help(
        &mut self,
        now: BootTime,
        for_number: u64,
        for_node: NodeId,
        for_address: SocketAddr,
        target: NodeId,
        target_address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        let number = self.take_number();
        self.helped.push(HelpedProbe { number, for_number, for_node, for_address, sent_at: now });
        let updates = self.take_updates(target);
        let message = MembershipMessage::Probe { number, updates };
        actions.push(MembershipAction::Send { to: Some(target), address: target_address, message });
    }

    pub(super) fn on_answer(&mut self, number: u64, known: u32, actions: &mut Vec<MembershipAction>) {
        if let Some(probe) = self.probe.take_if(|probe| probe.number == number) {
            self.note_redundant_sends(&probe.sent, known, self.is_far(probe.target));
            return;
        }
        let Some(index) = self.helped.iter().position(|helped| helped.number == number) else {
            return;
        };
        let helped = self.helped.swap_remove(index);
        let updates = self.take_updates(helped.for_node);
        let message = MembershipMessage::ProbeAnswer { number: helped.for_number, updates, known: 0 };
        actions.push(MembershipAction::Send { to: Some(helped.for_node), address: helped.for_address, message });
    }
}
