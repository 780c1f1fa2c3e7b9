//! Gossip between regions.
//!
//! Traffic between regions is expensive, and a member is probed well by the members of its own region. So only a few
//! members of a region, its relays, send membership updates to other regions. The relays are the live members with the
//! lowest ids; each node computes them from its own records. A node that receives such an update gossips it
//! within its own region.

use super::{IdSpan, Membership, MembershipAction, Rumor};
use crate::member::{Member, MemberState};
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;

/// Number of relays in a region. There are several so that some can fail or be cut off.
const RELAYS: usize = 4;
/// Number of remote members that an immediate push goes to.
pub(super) const RELAY_PUSHES: usize = 2;
/// Number of times that a relay sends one update to other regions.
const FAR_RETRANSMITS: u32 = 3;

impl Membership {
    /// Whether this node is one of the relays of its region.
    pub(super) fn is_relay(&self) -> bool {
        let own = self.own();
        let mates = self.members.values().filter(|member| member.region == own.region);
        let live = mates.filter(|member| member.state == MemberState::Alive);
        live.take_while(|member| member.node < self.me).count() < RELAYS
    }

    /// Members that aren't gone, except this node: first the local ones, then the remote ones.
    pub(super) fn near_and_far(&self) -> (Vec<&Member>, Vec<&Member>) {
        let region = &self.own().region;
        self.others().partition(|member| member.region == *region)
    }

    /// Whether a node is known to be in another region.
    pub(super) fn is_far(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(|member| member.region != self.own().region)
    }

    /// Chooses the updates to send to a member, least often sent first, and counts them as sent.
    ///
    /// Each update is sent to local members as often as the settings' `retransmits` say. Remote members are sent only
    /// updates about members of this node's region, and only by relays.
    pub(super) fn take_updates(&mut self, to: NodeId) -> Vec<Member> {
        let is_far = self.is_far(to);
        if is_far && !self.is_relay() {
            return Vec::new();
        }
        let region = self.own().region.clone();
        let max_sends = self.settings.retransmits.for_fleet(self.members.len());
        let sent = |rumor: &Rumor| if is_far { rumor.times_sent_far } else { rumor.times_sent };
        self.rumors.sort_by_key(sent);
        let members = &self.members;
        let is_ours = |rumor: &Rumor| members.get(&rumor.node).is_some_and(|member| member.region == region);
        let may_be_sent = |rumor: &Rumor| {
            if is_far { is_ours(rumor) && sent(rumor) < FAR_RETRANSMITS } else { sent(rumor) < max_sends }
        };
        let mut updates = Vec::new();
        for rumor in self.rumors.iter_mut().filter(|rumor| may_be_sent(rumor)).take(self.settings.updates_per_message) {
            *(if is_far { &mut rumor.times_sent_far } else { &mut rumor.times_sent }) += 1;
            updates.extend(members.get(&rumor.node).cloned());
        }
        self.forget_sent(max_sends);
        updates
    }

    /// Drops the updates that were sent as often as they must be.
    fn forget_sent(&mut self, max_sends: u32) {
        let (is_relay, region) = (self.is_relay(), self.own().region.clone());
        let has_far = self.others().any(|member| member.region != region);
        let members = &self.members;
        let is_ours = |rumor: &Rumor| members.get(&rumor.node).is_some_and(|member| member.region == region);
        self.rumors.retain(|rumor| {
            let is_wanted_far = is_relay && has_far && rumor.times_sent_far < FAR_RETRANSMITS && is_ours(rumor);
            rumor.times_sent < max_sends || is_wanted_far
        });
    }

    /// Answers a node that has just started.
    ///
    /// A joiner from this node's region, or from a region of which no live member is known, gets all members. Any other
    /// joiner gets the members of its own region, which then send it the rest.
    pub(super) fn answer_joiner(
        &mut self,
        now: BootTime,
        joiner: Member,
        address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        let (node, region) = (joiner.node, joiner.region.clone());
        self.take(now, joiner, actions);
        let others = || self.members.values().filter(|member| member.node != node && !member.is_gone());
        let has_mates = others().any(|member| member.region == region);
        if self.own().region == region || !has_mates {
            let everybody = self.members.values().cloned().collect();
            return self.list(everybody, Some(IdSpan::ALL), node, address, actions);
        }
        // A joiner goes on asking until it knows a member at each seed address, so the list includes the seeds.
        let is_seed = |member: &Member| member.node == self.me || self.seeds.contains(&member.peer_address);
        let wanted = others().filter(|member| member.region == region || is_seed(member)).cloned().collect();
        self.list(wanted, None, node, address, actions);
    }
}
