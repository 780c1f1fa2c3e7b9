//! How members come to know the same, with few bytes.
//!
//! News is told until it is mostly known; whoever is asked says what it knew already, so that old news
//! dies early. What gets lost that way is found by comparing fingerprints when nothing is being told.

use super::{Membership, MembershipAction, MembershipMessage};
use crate::member::{Member, MemberState};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use staircross_types::{BootTime, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// News that was known where it was told counts as told so many times more.
const TOLD_IN_VAIN: u32 = 3;
/// Time between comparisons begun by one node.
const COMPARE_EVERY: Duration = Duration::from_secs(3);
/// One comparison in so many is with a member of another region.
const FAR_TURNS: u64 = 4;

impl Membership {
    /// Merges the news of a probe; says which of it was known already.
    pub(super) fn take_news_of_probe(
        &mut self,
        now: BootTime,
        news: Vec<Member>,
        actions: &mut Vec<MembershipAction>,
    ) -> u32 {
        let mut known = 0;
        for (index, record) in news.into_iter().enumerate() {
            let was_news = self.take(now, record, actions);
            known |= u32::from(!was_news).checked_shl(index as u32).unwrap_or(0);
        }
        known
    }

    /// What many know already needn't be told for much longer.
    pub(super) fn note_told_in_vain(&mut self, told: &[NodeId], known: u32) {
        let in_vain = |index: usize| known.checked_shr(index as u32).unwrap_or(0) & 1 == 1;
        for (_, node) in told.iter().enumerate().filter(|(index, _)| in_vain(*index)) {
            if let Some(rumor) = self.rumors.iter_mut().find(|rumor| rumor.node == *node) {
                rumor.times_told += TOLD_IN_VAIN;
            }
        }
    }

    /// Asks another now and then whether it knows the same; not while there is news to tell.
    pub(super) fn ask_to_compare(
        &mut self,
        now: BootTime,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        if now < self.next_compare {
            return;
        }
        self.next_compare = now + COMPARE_EVERY;
        if !self.rumors.is_empty() {
            return;
        }
        let region = &self.own().region;
        let (near, far): (Vec<&Member>, Vec<&Member>) = self.others().partition(|member| member.region == *region);
        let turn = now.0 / COMPARE_EVERY.as_micros() as u64;
        let is_far_turn = near.is_empty() || turn.is_multiple_of(FAR_TURNS);
        let group = if is_far_turn && !far.is_empty() { far } else { near };
        let Some(member) = group.choose(random) else {
            return;
        };
        let message = MembershipMessage::Compare { fingerprint: self.fingerprint() };
        actions.push(MembershipAction::Send { to: Some(member.node), address: member.peer_address, message });
    }

    /// Answers a comparison: all that is known here, if that differs and nothing is being told.
    pub(super) fn compare(
        &self,
        from: NodeId,
        from_address: SocketAddr,
        fingerprint: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        if fingerprint == self.fingerprint() || !self.rumors.is_empty() {
            return;
        }
        let members = self.members.values().filter(|member| !member.is_gone()).cloned().collect();
        let message = MembershipMessage::Everyone { members };
        actions.push(MembershipAction::Send { to: Some(from), address: from_address, message });
    }

    /// Takes what another knows; what it lacks is told.
    pub(super) fn take_listing(&mut self, now: BootTime, members: Vec<Member>, actions: &mut Vec<MembershipAction>) {
        let listed: BTreeMap<NodeId, (u64, MemberState)> =
            members.iter().map(|member| (member.node, (member.version, member.state))).collect();
        for member in members {
            self.take(now, member, actions);
        }
        let is_lacking =
            |member: &&Member| listed.get(&member.node).is_none_or(|known| *known < (member.version, member.state));
        let lacking: Vec<NodeId> = self
            .members
            .values()
            .filter(|member| !member.is_gone())
            .filter(is_lacking)
            .map(|member| member.node)
            .collect();
        lacking.into_iter().for_each(|node| self.spread(node));
    }

    /// One number for who is live, whatever order they were learned in.
    fn fingerprint(&self) -> u64 {
        let live = self.members.values().filter(|member| !member.is_gone());
        live.map(|member| {
            let mut bytes = [0_u8; 25];
            bytes[..16].copy_from_slice(&member.node.0.to_be_bytes());
            bytes[16..24].copy_from_slice(&member.version.to_be_bytes());
            bytes[24] = member.state as u8;
            xxh3_64(&bytes)
        })
        .fold(0, u64::wrapping_add)
    }
}
