//! How members come to know the same, with few bytes.
//!
//! Updates are sent until they are mostly known; the node that is asked says what it knew already, so that old updates
//! dies early. What gets lost that way is found by comparing fingerprints when nothing is being sent.

use super::{IdSpan, Membership, MembershipAction, MembershipMessage};
use crate::member::{Member, MemberState};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// An update that was known where it was sent counts as sent so many times more.
const REDUNDANT_SEND_WEIGHT: u32 = 3;
/// Time between comparisons begun by one node, and while it has learned something that way lately.
const COMPARE_EVERY: Duration = Duration::from_secs(3);
const COMPARE_LEARNING: Duration = Duration::from_millis(1500);
const LEARNING: Duration = Duration::from_secs(4);
/// Parts of the ids that are compared one by one.
const BUCKET_BITS: u32 = 4;
const BUCKETS: usize = 1 << BUCKET_BITS;
/// One comparison in so many is with a member of another region, and of the others one with a member of any zone of the
/// region.
const FAR_TURNS: u64 = 4;
const REGION_TURNS: u32 = 4;

impl Membership {
    /// Merges the updates of a probe; says which of them were known already.
    pub(super) fn take_probe_updates(
        &mut self,
        now: BootTime,
        updates: Vec<Member>,
        actions: &mut Vec<MembershipAction>,
    ) -> u32 {
        let mut known = 0;
        for (index, record) in updates.into_iter().enumerate() {
            let was_new = self.take(now, record, actions);
            known |= u32::from(!was_new).checked_shl(index as u32).unwrap_or(0);
        }
        known
    }

    /// What many know already needn't be sent for much longer.
    pub(super) fn note_redundant_sends(&mut self, sent: &[NodeId], known: u32, is_far: bool) {
        let in_vain = |index: usize| known.checked_shr(index as u32).unwrap_or(0) & 1 == 1;
        for (_, node) in sent.iter().enumerate().filter(|(index, _)| in_vain(*index)) {
            if let Some(rumor) = self.rumors.iter_mut().find(|rumor| rumor.node == *node) {
                *(if is_far { &mut rumor.times_sent_far } else { &mut rumor.times_sent }) += REDUNDANT_SEND_WEIGHT;
            }
        }
    }

    /// Asks another now and then whether it knows the same, oftener while this node still learns much that way.
    pub(super) fn ask_to_compare(
        &mut self,
        now: BootTime,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        if now < self.next_compare {
            return;
        }
        let is_learning = self.learned_at.is_some_and(|at| now.since(at) < LEARNING);
        self.next_compare = now + if is_learning { COMPARE_LEARNING } else { COMPARE_EVERY };
        let (near, far) = self.near_and_far();
        let turn = now.0 / COMPARE_EVERY.as_micros() as u64;
        let is_far_turn = near.is_empty() || (self.is_relay() && turn.is_multiple_of(FAR_TURNS));
        let zone = &self.own().zone;
        let in_zone: Vec<&Member> = near.iter().copied().filter(|member| member.zone == *zone).collect();
        let is_zone_turn = !in_zone.is_empty() && !random.random_ratio(1, REGION_TURNS);
        let group = match (is_far_turn && !far.is_empty(), is_zone_turn) {
            (true, _) => far,
            (false, true) => in_zone,
            (false, false) => near,
        };
        let Some(member) = group.choose(random) else {
            return;
        };
        let message = MembershipMessage::Compare { fingerprints: Box::new(self.fingerprints()) };
        actions.push(MembershipAction::Send { to: Some(member.node), address: member.peer_address, message });
    }

    /// Answers a comparison: who is live in those parts of the ids where that differs.
    pub(super) fn compare(
        &self,
        from: NodeId,
        from_address: SocketAddr,
        theirs: &Fingerprints,
        actions: &mut Vec<MembershipAction>,
    ) {
        let ours = self.fingerprints();
        for bucket in (0..BUCKETS).filter(|bucket| ours.0[*bucket] != theirs.0[*bucket]) {
            let span = span_of(bucket);
            let live = self.members.range(span.first..=span.last).map(|(_, member)| member);
            let members = live.filter(|member| !member.is_gone()).cloned().collect();
            self.list(members, Some(span), from, from_address, actions);
        }
    }

    /// Lists the members of a span, in the order of their ids, in messages of bounded length; without a span, some.
    pub(super) fn list(
        &self,
        members: Vec<Member>,
        span: Option<IdSpan>,
        to: NodeId,
        address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut first = span.map(|span| span.first);
        let mut rest = members.into_iter().peekable();
        loop {
            let piece: Vec<Member> = rest.by_ref().take(self.settings.members_per_message).collect();
            // Between the last of a piece and the first of the next there is nobody.
            let last = span.map(|span| rest.peek().map_or(span.last, |next| NodeId(next.node.0 - 1)));
            let span = first.zip(last).map(|(first, last)| IdSpan { first, last });
            let message = MembershipMessage::Everyone { members: piece, span };
            actions.push(MembershipAction::Send { to: Some(to), address, message });
            let Some(next) = rest.peek() else {
                return;
            };
            first = first.map(|_| next.node);
        }
    }

    /// Takes what another knows of members in a span; what it lacks there is sent.
    pub(super) fn take_listing(
        &mut self,
        now: BootTime,
        members: Vec<Member>,
        span: Option<IdSpan>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let listed: BTreeMap<NodeId, (u64, MemberState)> =
            members.iter().map(|member| (member.node, (member.version, member.state))).collect();
        for member in members {
            // Not passed on as updates: others compare too, and the fleet must not be sent everything by everybody.
            if self.merge(now, member, actions) {
                self.learned_at = Some(now);
                self.next_compare = self.next_compare.min(now + COMPARE_LEARNING);
            }
        }
        let is_lacking =
            |member: &&Member| listed.get(&member.node).is_none_or(|known| *known < (member.version, member.state));
        let is_covered = |member: &&Member| span.is_some_and(|span| span.contains(member.node));
        let lacking: Vec<NodeId> = self
            .members
            .values()
            .filter(|member| !member.is_gone())
            .filter(is_covered)
            .filter(is_lacking)
            .map(|member| member.node)
            .collect();
        lacking.into_iter().for_each(|node| self.spread(node));
    }

    /// A number for who is live in each part of the ids, whatever order they were learned in.
    fn fingerprints(&self) -> Fingerprints {
        let mut sums = Fingerprints::default();
        for member in self.members.values().filter(|member| !member.is_gone()) {
            let mut bytes = [0_u8; 25];
            bytes[..16].copy_from_slice(&member.node.0.to_be_bytes());
            bytes[16..24].copy_from_slice(&member.version.to_be_bytes());
            bytes[24] = member.state as u8;
            let sum = &mut sums.0[part_of(member.node)];
            *sum = sum.wrapping_add(xxh3_64(&bytes));
        }
        sums
    }
}

/// A number for who is live in each part of the ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprints([u64; BUCKETS]);

/// The part of the ids that one lies in.
fn part_of(node: NodeId) -> usize {
    (node.0 >> (u128::BITS - BUCKET_BITS)) as usize
}

/// The ids of a part.
fn span_of(bucket: usize) -> IdSpan {
    let first = (bucket as u128) << (u128::BITS - BUCKET_BITS);
    let last = first | (u128::MAX >> BUCKET_BITS);
    IdSpan { first: NodeId(first), last: NodeId(last) }
}
