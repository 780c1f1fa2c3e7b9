//! Reconciliation: how all nodes arrive at the same member records with little traffic.
//!
//! A probed node answers which of the probe's updates it knew already, so that widely known updates are dropped
//! early. Updates that some nodes miss because of that are found by comparing fingerprints from time to time.

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

/// Sends that are added to the count of an update when its receiver already knew it.
const REDUNDANT_SEND_WEIGHT: u32 = 3;
/// Time between comparisons started by one node.
const COMPARE_EVERY: Duration = Duration::from_secs(3);
/// Time between comparisons while the node has learned something from a member list within [`LEARNING_WINDOW`].
const COMPARE_EVERY_WHILE_LEARNING: Duration = Duration::from_millis(1500);
/// Time for which a node counts as learning after a member list contained something new.
const LEARNING_WINDOW: Duration = Duration::from_secs(4);
/// Leading bits of an id that select its bucket; each bucket has a fingerprint of its own.
const BUCKET_BITS: u32 = 4;
const BUCKETS: usize = 1 << BUCKET_BITS;
/// A relay compares with a remote member in one of this many comparison intervals.
const REMOTE_COMPARE_INTERVALS: u64 = 4;
/// Of the other comparisons, one in this many is with a local member of any zone, the rest within the zone.
const WHOLE_REGION_COMPARE_RATIO: u32 = 4;

impl Membership {
    /// Merges the updates of a probe. Returns a bit set of those that were known already, the first one lowest.
    pub(super) fn merge_probe_updates(
        &mut self,
        now: BootTime,
        updates: Vec<Member>,
        actions: &mut Vec<MembershipAction>,
    ) -> u32 {
        let mut known = 0;
        for (index, record) in updates.into_iter().enumerate() {
            let was_new = self.merge_and_gossip(now, record, actions);
            known |= u32::from(!was_new).checked_shl(index as u32).unwrap_or(0);
        }
        known
    }

    /// Raises the send count of the updates that the receiver of a probe knew already, so that they are dropped sooner.
    pub(super) fn count_redundant_sends(&mut self, sent_updates: &[NodeId], known: u32, is_remote: bool) {
        let was_known = |index: usize| known.checked_shr(index as u32).unwrap_or(0) & 1 == 1;
        for (_, node) in sent_updates.iter().enumerate().filter(|(index, _)| was_known(*index)) {
            if let Some(update) = self.pending_updates.iter_mut().find(|update| update.node == *node) {
                *(if is_remote { &mut update.times_sent_remotely } else { &mut update.times_sent_locally }) +=
                    REDUNDANT_SEND_WEIGHT;
            }
        }
    }

    /// Sends this node's fingerprints to a random member when a comparison is due.
    pub(super) fn start_comparison(
        &mut self,
        now: BootTime,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        if now < self.next_compare {
            return;
        }
        let is_learning = self.last_learned_at.is_some_and(|at| now.since(at) < LEARNING_WINDOW);
        self.next_compare = now + if is_learning { COMPARE_EVERY_WHILE_LEARNING } else { COMPARE_EVERY };
        let (local, remote) = self.local_and_remote();
        let turn = now.0 / COMPARE_EVERY.as_micros() as u64;
        let is_remote_turn = local.is_empty() || (self.is_relay() && turn.is_multiple_of(REMOTE_COMPARE_INTERVALS));
        let zone = &self.own().zone;
        let in_zone: Vec<&Member> = local.iter().copied().filter(|member| member.zone == *zone).collect();
        let is_zone_turn = !in_zone.is_empty() && !random.random_ratio(1, WHOLE_REGION_COMPARE_RATIO);
        let group = match (is_remote_turn && !remote.is_empty(), is_zone_turn) {
            (true, _) => remote,
            (false, true) => in_zone,
            (false, false) => local,
        };
        let Some(member) = group.choose(random) else {
            return;
        };
        let message = MembershipMessage::Compare { fingerprints: Box::new(self.fingerprints()) };
        actions.push(MembershipAction::Send { to: Some(member.node), address: member.peer_address, message });
    }

    /// Answers a comparison with the live members of each bucket whose fingerprint differs.
    pub(super) fn on_compare(
        &self,
        from: NodeId,
        from_address: SocketAddr,
        peer_fingerprints: &Fingerprints,
        actions: &mut Vec<MembershipAction>,
    ) {
        let own_fingerprints = self.fingerprints();
        for bucket in (0..BUCKETS).filter(|bucket| own_fingerprints.0[*bucket] != peer_fingerprints.0[*bucket]) {
            let span = bucket_span(bucket);
            let live = self.members.range(span.first..=span.last).map(|(_, member)| member);
            let members = live.filter(|member| !member.is_gone()).cloned().collect();
            self.send_member_list(members, Some(span), from, from_address, actions);
        }
    }

    /// Sends a member list, split into messages of at most `members_per_message` records.
    ///
    /// With a span, `members` include all live members in it and are in the order of their ids, and each message covers
    /// its own part of the span. Without a span, the list is partial.
    pub(super) fn send_member_list(
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
            let chunk: Vec<Member> = rest.by_ref().take(self.settings.members_per_message).collect();
            // The part ends just before the first member of the next message: no member lies between them.
            let last = span.map(|span| rest.peek().map_or(span.last, |next| NodeId(next.node.0 - 1)));
            let span = first.zip(last).map(|(first, last)| IdSpan { first, last });
            let message = MembershipMessage::Everyone { members: chunk, span };
            actions.push(MembershipAction::Send { to: Some(to), address, message });
            let Some(next) = rest.peek() else {
                return;
            };
            first = first.map(|_| next.node);
        }
    }

    /// Merges a member list from another node, and queues for gossip the live members within its span that the list
    /// lacks or has with an older record.
    pub(super) fn merge_member_list(
        &mut self,
        now: BootTime,
        members: Vec<Member>,
        span: Option<IdSpan>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let listed: BTreeMap<NodeId, (u64, MemberState)> =
            members.iter().map(|member| (member.node, (member.version, member.state))).collect();
        for member in members {
            // The members are not gossiped: other nodes compare too, and a list of the fleet must not be repeated by
            // every reader.
            if self.merge(now, member, actions) {
                self.last_learned_at = Some(now);
                self.next_compare = self.next_compare.min(now + COMPARE_EVERY_WHILE_LEARNING);
            }
        }
        let is_missing_or_older =
            |member: &&Member| listed.get(&member.node).is_none_or(|known| *known < (member.version, member.state));
        let is_in_span = |member: &&Member| span.is_some_and(|span| span.contains(member.node));
        let missing_or_older: Vec<NodeId> = self
            .members
            .values()
            .filter(|member| !member.is_gone())
            .filter(is_in_span)
            .filter(is_missing_or_older)
            .map(|member| member.node)
            .collect();
        missing_or_older.into_iter().for_each(|node| self.queue_update(node));
    }

    /// Computes the fingerprints of this node's live members.
    fn fingerprints(&self) -> Fingerprints {
        let mut sums = Fingerprints::default();
        for member in self.members.values().filter(|member| !member.is_gone()) {
            let mut bytes = [0_u8; 25];
            bytes[..16].copy_from_slice(&member.node.0.to_be_bytes());
            bytes[16..24].copy_from_slice(&member.version.to_be_bytes());
            bytes[24] = member.state as u8;
            let sum = &mut sums.0[bucket_of(member.node)];
            *sum = sum.wrapping_add(xxh3_64(&bytes));
        }
        sums
    }
}

/// One checksum for each id bucket, over the ids, versions and states of its live members; their order doesn't matter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprints([u64; BUCKETS]);

/// The bucket that an id belongs to.
fn bucket_of(node: NodeId) -> usize {
    (node.0 >> (u128::BITS - BUCKET_BITS)) as usize
}

/// The ids of a bucket.
fn bucket_span(bucket: usize) -> IdSpan {
    let first = (bucket as u128) << (u128::BITS - BUCKET_BITS);
    let last = first | (u128::MAX >> BUCKET_BITS);
    IdSpan { first: NodeId(first), last: NodeId(last) }
}
