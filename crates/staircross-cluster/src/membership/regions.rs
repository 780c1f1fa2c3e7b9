//! Gossip between regions.
//!
//! Traffic between regions is expensive, and a member is probed often enough within its own region. So only a few
//! members of a region, its relays, send membership updates to other regions. The relays are the live members with the
//! lowest ids; each node computes them from its own records. A node that receives such an update gossips it
//! within its own region.

use super::{IdSpan, Membership, MembershipAction, PendingUpdate};
use crate::member::{Member, MemberState};
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;

/// Number of relays in a region. There are several so that gossip continues when some of them fail or are cut off.
const RELAYS_PER_REGION: usize = 4;
/// Number of remote members that receive an immediate push of updates.
pub(super) const RELAY_PUSH_FANOUT: usize = 2;
/// Number of times that a relay sends one update to other regions.
const REMOTE_RETRANSMITS: u32 = 3;

impl Membership {
    /// Returns whether this node is one of the relays of its region.
    pub(super) fn is_relay(&self) -> bool {
        let own = self.own();
        let local_members = self.members.values().filter(|member| member.region == own.region);
        let live = local_members.filter(|member| member.state == MemberState::Alive);
        live.take_while(|member| member.node < self.me).count() < RELAYS_PER_REGION
    }

    /// Returns the members that aren't gone, except this node: first the local ones, then the remote ones.
    pub(super) fn local_and_remote(&self) -> (Vec<&Member>, Vec<&Member>) {
        let region = &self.own().region;
        self.others().partition(|member| member.region == *region)
    }

    /// Returns whether a node is known to be in another region.
    pub(super) fn is_remote(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(|member| member.region != self.own().region)
    }

    /// Chooses the updates to send to a member, least often sent first, and counts them as sent.
    ///
    /// Each update is sent to local members as often as the settings' `retransmits` say. Remote members are sent only
    /// updates about members of this node's region, and only by relays. A member isn't sent its own record unless it must
    /// refute that.
    pub(super) fn choose_updates(&mut self, to: NodeId) -> Vec<Member> {
        let is_remote = self.is_remote(to);
        if is_remote && !self.is_relay() {
            return Vec::new();
        }
        let region = self.own().region.clone();
        let max_sends = self.settings.retransmits.for_fleet(self.members.len());
        let times_sent =
            |update: &PendingUpdate| if is_remote { update.times_sent_remotely } else { update.times_sent_locally };
        self.pending_updates.sort_by_key(times_sent);
        let members = &self.members;
        let is_about_own_region =
            |update: &PendingUpdate| members.get(&update.node).is_some_and(|member| member.region == region);
        let is_known_to_receiver = |update: &PendingUpdate| {
            update.node == to && members.get(&to).is_some_and(|member| member.state == MemberState::Alive)
        };
        let may_be_sent = |update: &PendingUpdate| {
            if is_known_to_receiver(update) {
                false
            } else if is_remote {
                is_about_own_region(update) && times_sent(update) < REMOTE_RETRANSMITS
            } else {
                times_sent(update) < max_sends
            }
        };
        let mut updates = Vec::new();
        for update in
            self.pending_updates.iter_mut().filter(|update| may_be_sent(update)).take(self.settings.updates_per_message)
        {
            *(if is_remote { &mut update.times_sent_remotely } else { &mut update.times_sent_locally }) += 1;
            updates.extend(members.get(&update.node).cloned());
        }
        self.drop_sent_updates(max_sends);
        updates
    }

    /// Drops the updates that were sent often enough to local and, on a relay, to remote members.
    fn drop_sent_updates(&mut self, max_sends: u32) {
        let (is_relay, region) = (self.is_relay(), self.own().region.clone());
        let has_remote_members = self.others().any(|member| member.region != region);
        let members = &self.members;
        let is_about_own_region =
            |update: &PendingUpdate| members.get(&update.node).is_some_and(|member| member.region == region);
        self.pending_updates.retain(|update| {
            let is_pending_remotely = is_relay
                && has_remote_members
                && update.times_sent_remotely < REMOTE_RETRANSMITS
                && is_about_own_region(update);
            update.times_sent_locally < max_sends || is_pending_remotely
        });
    }

    /// Answers a node that has just started.
    ///
    /// A joiner from this node's region, or from a region of which no live member is known, gets all members. Any other
    /// joiner gets the seeds and the members of its own region, which then send it the rest.
    pub(super) fn answer_joiner(
        &mut self,
        now: BootTime,
        joiner: Member,
        address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        let (node, region) = (joiner.node, joiner.region.clone());
        self.merge_and_gossip(now, joiner, actions);
        let others = || self.members.values().filter(|member| member.node != node && !member.is_gone());
        let knows_joiner_region = others().any(|member| member.region == region);
        if self.own().region == region || !knows_joiner_region {
            let all_members = self.members.values().cloned().collect();
            return self.send_member_list(all_members, Some(IdSpan::ALL), node, address, actions);
        }
        // A joiner repeats its request until it knows a member at each seed address, so the list includes the seeds.
        let is_seed = |member: &Member| member.node == self.me || self.seeds.contains(&member.peer_address);
        let listed = others().filter(|member| member.region == region || is_seed(member)).cloned().collect();
        self.send_member_list(listed, None, node, address, actions);
    }
}
