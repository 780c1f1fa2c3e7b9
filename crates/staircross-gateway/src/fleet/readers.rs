//! Who of a zone reads the store, what it tells the others, and whom a node asks that lacks something.

use super::{Announcement, Fleet};
use crate::store_role::{READERS_PER_ZONE, StoreRole};
use rand::seq::IndexedRandom;
use staircross_cluster::{Member, MemberState};
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a reader lets its own watch tell what a peer knows already.
const BEHIND_PATIENCE: Duration = Duration::from_millis(400);

impl Fleet {
    /// A reader of the zone says when the store last answered it.
    pub(super) fn take_sign(&mut self, now: BootTime, from: NodeId, announcement: &Announcement) {
        let own_zone = &self.membership.own().zone;
        let is_near = self.membership.get(from).is_some_and(|member| member.zone == *own_zone);
        let Some(age) = announcement.store_age_ms.filter(|_| is_near) else {
            return;
        };
        let at = now - Duration::from_millis(u64::from(age));
        self.sign = Some(self.sign.map_or(at, |known| known.max(at)));
    }

    /// When the store last answered a reader of the zone, as far as it was heard here.
    pub fn newest_sign(&self) -> Option<BootTime> {
        self.sign
    }

    /// Whether this node is one of the readers of its zone.
    pub fn is_designated_reader(&self) -> bool {
        let mut readers = self.zone_mates().take(READERS_PER_ZONE);
        !self.policy.store_readers || readers.any(|member| member.node == self.node)
    }

    /// Live members of the zone that aren't its readers.
    fn followers(&self) -> impl Iterator<Item = &Member> {
        let readers = if self.policy.store_readers { READERS_PER_ZONE } else { usize::MAX };
        self.zone_mates().skip(readers)
    }

    /// Whether the zone has members that follow its readers.
    pub fn has_followers(&self) -> bool {
        self.followers().next().is_some()
    }

    /// Live members of the zone in the order of their ids, this node included.
    fn zone_mates(&self) -> impl Iterator<Item = &Member> {
        let own = self.membership.own();
        self.membership
            .members()
            .values()
            .filter(|member| member.state == MemberState::Alive && member.zone == own.zone)
    }

    /// Notes when the store last answered this node; `None` when it doesn't read.
    pub fn set_store_contact(&mut self, at: Option<BootTime>) {
        self.store_contact = at;
    }

    /// Tells the zone's followers at once what this node, a reader, knows.
    pub fn tell_followers(&mut self, now: BootTime) {
        self.refresh_own_sign(now);
        let followers: Vec<(NodeId, SocketAddr)> =
            self.followers().map(|member| (member.node, member.peer_address)).collect();
        for (node, address) in followers {
            self.send_datagram(Some(node), address, None);
        }
    }

    pub(super) fn refresh_own_sign(&mut self, now: BootTime) {
        let age = self.store_contact.map(|at| now.since(at).as_millis());
        self.own.store_age_ms = age.and_then(|millis| u32::try_from(millis).ok());
    }

    /// Notes what this node knows now. Returns whether that is more than before.
    pub fn set_knowledge(&mut self, version: u64, revision: u64) -> bool {
        let before = (self.own.version, self.own.revision);
        (self.own.version, self.own.revision) = (version, revision);
        before != (version, revision)
    }

    /// A peer that knows more, once this node has been behind for a while.
    /// A follower doesn't wait.
    pub fn better_informed(&mut self, now: BootTime, role: StoreRole) -> Option<SocketAddr> {
        let own_zone = self.membership.own().zone.clone();
        let ahead = self
            .live()
            .filter(|member| self.announced.get(&member.node).is_some_and(|known| self.own.is_behind(known)));
        // Any of the nearest: all that lack the same would ask the same one else.
        let (near, far): (Vec<&Member>, Vec<&Member>) = ahead.partition(|member| member.zone == own_zone);
        let nearest = if near.is_empty() { far } else { near };
        let addresses: Vec<SocketAddr> = nearest.iter().map(|member| member.peer_address).collect();
        let Some(address) = addresses.choose(&mut self.random).copied() else {
            self.behind_since = None;
            return None;
        };
        let knows_nothing = self.own.version == 0;
        let since = *self.behind_since.get_or_insert(now);
        let patience = match role {
            StoreRole::Reader => BEHIND_PATIENCE,
            StoreRole::Follower => Duration::ZERO,
        };
        (knows_nothing || now.since(since) >= patience).then_some(address)
    }

    /// Whether a live peer has a newer configuration than this node.
    pub fn is_version_behind(&self) -> bool {
        self.announced.values().any(|known| known.version > self.own.version)
    }

    /// A question to a peer was answered or failed; wait again before the next.
    pub fn note_asked(&mut self, now: BootTime) {
        self.behind_since = Some(now);
    }
}
