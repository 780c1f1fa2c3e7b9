//! Which nodes of a region are its designated readers, what they announce, and which peer is asked by a node that is behind.
//!
//! Owns the choice of readers and of the peer that is asked, and since when the node has been behind. Relies on membership for who lives
//! where and on what peers announced last. Whether a designated node reads already is for `store_role` to say.

use super::{Announcement, Fleet};
use crate::store_role::READERS_PER_REGION;
use rand::seq::IndexedRandom;
use staircross_cluster::{Member, MemberState};
use staircross_routing::Mirror;
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a reader waits for its own watch to bring what a peer knows already. For a watch that the store answers at once and the reader's link,
/// and well below the bounds on updates.
const BEHIND_PATIENCE: Duration = Duration::from_millis(400);

impl Fleet {
    /// Takes a heartbeat: a reader of the region announces when the store last answered it.
    pub(super) fn take_heartbeat(&mut self, now: BootTime, from: NodeId, announcement: &Announcement) {
        let own_region = &self.membership.own().region;
        let is_near = self.membership.get(from).is_some_and(|member| member.region == *own_region);
        let Some(age) = announcement.store_age_ms.filter(|_| is_near) else {
            return;
        };
        let at = now - Duration::from_millis(u64::from(age));
        self.reader_heartbeat = Some(self.reader_heartbeat.map_or(at, |known| known.max(at)));
    }

    /// When the store last answered a reader of the region, as far as it was heard here.
    pub fn newest_heartbeat(&self) -> Option<BootTime> {
        self.reader_heartbeat
    }

    /// Whether this node is one of the designated readers of its region; where following is turned off, each node is.
    pub fn is_designated_reader(&self) -> bool {
        !self.policy.store_readers || self.readers().contains(&self.node)
    }

    /// The designated readers: those with the lowest ids, of different zones if there are some.
    fn readers(&self) -> Vec<NodeId> {
        let Some(first) = self.region_mates().next() else {
            return Vec::new();
        };
        let elsewhere = self.region_mates().filter(|member| member.zone != first.zone);
        let in_zone = self.region_mates().filter(|member| member.zone == first.zone).skip(1);
        let others = elsewhere.chain(in_zone).take(READERS_PER_REGION - 1);
        std::iter::once(first).chain(others).map(|member| member.node).collect()
    }

    /// Live members of the region that aren't its designated readers.
    fn followers(&self) -> impl Iterator<Item = &Member> {
        let readers = if self.policy.store_readers { self.readers() } else { Vec::new() };
        let follows = self.policy.store_readers;
        self.region_mates().filter(move |member| follows && !readers.contains(&member.node))
    }

    /// Whether the region has members that follow its readers.
    pub fn has_followers(&self) -> bool {
        self.followers().next().is_some()
    }

    /// Live members of the region in the order of their ids, this node included.
    fn region_mates(&self) -> impl Iterator<Item = &Member> {
        let own = self.membership.own();
        self.membership
            .members()
            .values()
            .filter(|member| member.state == MemberState::Alive && member.region == own.region)
    }

    /// Notes when the store last answered this node; `None` when it doesn't read.
    pub fn set_store_contact(&mut self, at: Option<BootTime>) {
        self.store_contact = at;
    }

    /// Notifies the region's followers at once what this node, a reader, knows.
    pub fn notify_followers(&mut self, now: BootTime) {
        self.refresh_own_heartbeat(now);
        let followers: Vec<(NodeId, SocketAddr)> =
            self.followers().map(|member| (member.node, member.peer_address)).collect();
        for (node, address) in followers {
            self.send_datagram(Some(node), address, None);
        }
    }

    pub(super) fn refresh_own_heartbeat(&mut self, now: BootTime) {
        let age = self.store_contact.map(|at| now.since(at).as_millis());
        // An age of more than 49 days is not announced, like one that isn't known.
        self.own.store_age_ms = age.and_then(|millis| u32::try_from(millis).ok());
        self.refresh_own_confirmation(now);
    }

    /// Notes what this node knows now. Returns whether that is more than before.
    pub fn set_knowledge(&mut self, mirror: &Mirror) -> bool {
        let before = self.own;
        self.own.version = mirror.version();
        self.own.revision = mirror.newest_revision();
        self.own.evacuations = mirror.evacuations_revision();
        self.confirmation.set_version(self.own.version);
        before != self.own
    }

    /// A peer that knows more; where the node `is_reading` the store itself, only after it has been behind for `BEHIND_PATIENCE`.
    pub fn better_informed(&mut self, now: BootTime, is_reading: bool) -> Option<SocketAddr> {
        let is_version_behind = self.is_version_behind();
        self.version_behind_since =
            is_version_behind.then(|| self.version_behind_since.map_or(now, |since| since.min(now)));
        let own = self.membership.own();
        let distance = |member: &Member| (member.region != own.region, member.zone != own.zone);
        let ahead: Vec<&Member> = self
            .live()
            .filter(|member| self.announced.get(&member.node).is_some_and(|known| self.own.is_behind(known)))
            .collect();
        // Any of the nearest: otherwise all that lack the same would ask the same one.
        let nearest = ahead.iter().map(|member| distance(member)).min();
        let is_nearest = |member: &&&Member| Some(distance(member)) == nearest;
        let addresses: Vec<SocketAddr> = ahead.iter().filter(is_nearest).map(|member| member.peer_address).collect();
        let Some(address) = addresses.choose(&mut self.random).copied() else {
            self.behind_since = None;
            return None;
        };
        let knows_nothing = self.own.version == 0;
        let since = *self.behind_since.get_or_insert(now);
        let patience = if is_reading { BEHIND_PATIENCE } else { Duration::ZERO };
        (knows_nothing || now.since(since) >= patience).then_some(address)
    }

    /// Newest configuration that a live peer has; 0 where none is known.
    pub fn newest_version(&self) -> u64 {
        self.announced.values().map(|known| known.version).max().unwrap_or_default()
    }

    /// Whether a live peer has a newer configuration than this node.
    pub fn is_version_behind(&self) -> bool {
        self.newest_version() > self.own.version
    }

    /// Since when a live peer has been known to have a newer configuration.
    pub fn version_behind_since(&self) -> Option<BootTime> {
        self.version_behind_since
    }

    /// A question to a peer was answered or failed; wait again before the next.
    pub fn note_asked(&mut self, now: BootTime) {
        self.behind_since = Some(now);
    }
}
