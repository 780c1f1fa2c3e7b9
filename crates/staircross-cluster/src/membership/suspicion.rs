//! Suspicion, refutation and death of members that don't answer probes.

use super::{Membership, MembershipAction, MembershipMessage};
use crate::member::{Member, MemberState};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use staircross_types::{BootTime, NodeId};
use std::time::Duration;

/// Time between the notifications by which this node informs a suspect that it is suspected.
const SUSPECT_NOTIFICATION_INTERVAL: Duration = Duration::from_millis(400);
/// Time between probes that this node sends to dead members.
const DEAD_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// State of the suspicion of one member.
pub(super) struct Suspicion {
    pub(super) since: BootTime,
    /// Whether this node's own probe was unanswered. A node that knows the suspicion only from gossip waits twice as
    /// long before it declares the member dead, so that a refutation that reached the suspecting node can reach it too.
    pub(super) is_first_hand: bool,
    pub(super) next_notification: BootTime,
}

impl Membership {
    /// Marks a member as suspect after this node's own probe failed.
    pub(super) fn suspect(&mut self, now: BootTime, node: NodeId, actions: &mut Vec<MembershipAction>) {
        let Some(member) = self.members.get(&node).filter(|member| !member.is_gone()) else {
            return;
        };
        let mut record = member.clone();
        record.state = MemberState::Suspect;
        self.merge_and_gossip(now, record, actions);
        if let Some(suspicion) = self.suspicions.get_mut(&node) {
            suspicion.is_first_hand = true;
        }
    }

    /// Notifies suspects of their suspicion, so that a member that was only paused refutes it at once.
    pub(super) fn notify_suspects(&mut self, now: BootTime, actions: &mut Vec<MembershipAction>) {
        let mut due = Vec::new();
        for (node, suspicion) in &mut self.suspicions {
            if suspicion.is_first_hand && now >= suspicion.next_notification {
                suspicion.next_notification = now + SUSPECT_NOTIFICATION_INTERVAL;
                due.push(*node);
            }
        }
        for node in due {
            self.probe_with_known_record(node, actions);
        }
    }

    /// Probes a member and includes the record that this node has of it; a live member refutes that record.
    pub(super) fn probe_with_known_record(&mut self, node: NodeId, actions: &mut Vec<MembershipAction>) {
        let Some(member) = self.members.get(&node).cloned() else {
            return;
        };
        let number = self.next_probe_number();
        let updates = vec![self.own().clone(), member.clone()];
        let message = MembershipMessage::Probe { number, updates };
        actions.push(MembershipAction::Send { to: Some(node), address: member.peer_address, message });
    }

    /// Declares the suspects dead that didn't refute in time.
    pub(super) fn expire_suspects(&mut self, now: BootTime, actions: &mut Vec<MembershipAction>) {
        let first_hand_timeout = self.settings.suspicion_timeout;
        let is_expired = |suspicion: &Suspicion| {
            let timeout = if suspicion.is_first_hand { first_hand_timeout } else { first_hand_timeout * 2 };
            now.since(suspicion.since) >= timeout
        };
        let expired: Vec<NodeId> =
            self.suspicions.iter().filter(|(_, suspicion)| is_expired(suspicion)).map(|(node, _)| *node).collect();
        for node in expired {
            self.suspicions.remove(&node);
            let Some(member) = self.members.get(&node) else {
                continue;
            };
            let mut record = member.clone();
            record.state = MemberState::Dead;
            self.declared_dead += 1;
            self.merge_and_gossip(now, record, actions);
        }
    }

    /// Drops the records of members that have been gone for `forget_after`.
    pub(super) fn drop_gone_members(&mut self, now: BootTime) {
        let forget_after = self.settings.forget_after;
        let forgotten: Vec<NodeId> = self
            .gone_at
            .iter()
            .filter(|(_, since)| now.since(**since) >= forget_after)
            .map(|(node, _)| *node)
            .collect();
        for node in forgotten {
            self.gone_at.remove(&node);
            self.members.remove(&node);
        }
    }

    /// Probes a random dead member when that is due, so that the sides of a network partition find each other after it
    /// has healed.
    pub(super) fn probe_dead_member(
        &mut self,
        now: BootTime,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        if now < self.next_dead_probe {
            return;
        }
        self.next_dead_probe = now + DEAD_PROBE_INTERVAL;
        let dead: Vec<Member> =
            self.members.values().filter(|member| member.state == MemberState::Dead).cloned().collect();
        if let Some(member) = dead.choose(random) {
            self.probe_with_known_record(member.node, actions);
        }
    }

    /// Raises this node's version above that of a record that shows it in a worse state than its own. Returns
    /// whether it did so.
    pub(super) fn refute(&mut self, record: Member, actions: &mut Vec<MembershipAction>) -> bool {
        let Some(own) = self.members.get_mut(&self.me) else {
            return false;
        };
        let needs_refutation = record.state > own.state && record.version >= own.version;
        if needs_refutation {
            own.version = record.version + 1;
            self.queue_update(self.me);
            actions.push(MembershipAction::Changed(self.me));
        }
        needs_refutation
    }
}
