//! Designated readers of a region, their heartbeats, and the peer from which a node that is behind pulls updates.
//!
//! In each region only the designated readers read the store, and the other nodes, the followers, pull updates from
//! them. A heartbeat is an announcement in which a reader states how long ago the store last answered it.
//!
//! This module owns the choice of the readers and of the peer to pull from, and the time since which the node has been
//! behind. It relies on the membership for the live nodes of each region, and on the last announcements of peers.
//! `store_role` decides when a designated reader starts to read.

use super::{Announcement, Fleet};
use crate::store_role::READERS_PER_REGION;
use rand::seq::IndexedRandom;
use staircross_cluster::{Member, MemberState};
use staircross_routing::{Mirror, StoreRevision};
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a reader waits for an update from its own watch before it pulls the update from a peer that has it.
/// The delay is long enough for an immediate answer of the store over the reader's link, and well below the bounds on
/// updates.
const PULL_DELAY: Duration = Duration::from_millis(400);

/// A peer that is ahead of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PullPeer {
    /// Address for peers.
    pub address: SocketAddr,
    /// Newest store revision of a searcher's entry that the peer has announced.
    pub revision: StoreRevision,
}

impl Fleet {
    /// Records the heartbeat in an announcement, that is, the time of the store's last answer to a reader of the
    /// region. Announcements from other regions, or from nodes that don't read the store, are ignored.
    pub(super) fn record_heartbeat(&mut self, now: BootTime, from: NodeId, announcement: &Announcement) {
        let own_region = &self.membership.own().region;
        let is_own_region = self.membership.get(from).is_some_and(|member| member.region == *own_region);
        let Some(age) = announcement.store_age_ms.filter(|_| is_own_region) else {
            return;
        };
        let at = now - Duration::from_millis(u64::from(age));
        self.reader_heartbeat = Some(self.reader_heartbeat.map_or(at, |known| known.max(at)));
    }

    /// Returns the time of the store's last answer to a reader of the region, according to the readers' heartbeats.
    pub fn newest_heartbeat(&self) -> Option<BootTime> {
        self.reader_heartbeat
    }

    /// Returns whether this node is a designated reader of its region. If the policy has no designated readers, every
    /// node counts as one.
    pub fn is_designated_reader(&self) -> bool {
        !self.policy.store_readers || self.readers().contains(&self.node)
    }

    /// Returns the designated readers: the node with the lowest id of the region, then those with the lowest ids in
    /// other zones, then those in the same zone.
    fn readers(&self) -> Vec<NodeId> {
        let Some(first) = self.alive_region_members().next() else {
            return Vec::new();
        };
        let other_zones = self.alive_region_members().filter(|member| member.zone != first.zone);
        let same_zone = self.alive_region_members().filter(|member| member.zone == first.zone).skip(1);
        let others = other_zones.chain(same_zone).take(READERS_PER_REGION - 1);
        std::iter::once(first).chain(others).map(|member| member.node).collect()
    }

    /// Returns the live members of the region that aren't designated readers; none if the policy has no such readers.
    fn followers(&self) -> impl Iterator<Item = &Member> {
        let readers = if self.policy.store_readers { self.readers() } else { Vec::new() };
        let has_readers = self.policy.store_readers;
        self.alive_region_members().filter(move |member| has_readers && !readers.contains(&member.node))
    }

    /// Returns whether the region has followers.
    pub fn has_followers(&self) -> bool {
        self.followers().next().is_some()
    }

    /// Returns the members of the region whose state is alive, this node included, in the order of their ids.
    fn alive_region_members(&self) -> impl Iterator<Item = &Member> {
        let own = self.membership.own();
        self.membership
            .members()
            .values()
            .filter(|member| member.state == MemberState::Alive && member.region == own.region)
    }

    /// Sets the time of the store's last answer to this node; `None` if the node doesn't read the store.
    pub fn set_store_contact(&mut self, at: Option<BootTime>) {
        self.store_contact = at;
    }

    /// Sends the current announcement of this node, a reader, to the region's followers at once.
    pub fn notify_followers(&mut self, now: BootTime) {
        self.refresh_own_ages(now);
        let followers: Vec<(NodeId, SocketAddr)> =
            self.followers().map(|member| (member.node, member.peer_address)).collect();
        for (node, address) in followers {
            self.send_datagram(Some(node), address, None);
        }
    }

    /// Updates the ages in this node's announcement.
    pub(super) fn refresh_own_ages(&mut self, now: BootTime) {
        let age = self.store_contact.map(|at| now.since(at).as_millis());
        // An age of more than 49 days doesn't fit the field, and isn't announced.
        self.own_announcement.store_age_ms = age.and_then(|millis| u32::try_from(millis).ok());
        self.refresh_own_confirmation_age(now);
    }

    /// Copies the version and revisions that the mirror has reached to this node's announcement, and applies a pending
    /// confirmation of that version. Returns whether the announcement changed.
    pub fn set_known_revisions(&mut self, mirror: &Mirror) -> bool {
        let before = self.own_announcement;
        self.own_announcement.version = mirror.version();
        self.own_announcement.revision = mirror.newest_revision();
        let is_ahead = mirror.latest_revision() > self.own_announcement.revision;
        self.own_announcement.latest = if is_ahead { mirror.latest_revision() } else { StoreRevision::NONE };
        self.own_announcement.evacuations = mirror.evacuations_revision();
        self.confirmation.set_version(self.own_announcement.version);
        before != self.own_announcement
    }

    /// Returns one of the nearest peers that are ahead of this node. If the node `is_reading` the store itself and has a
    /// configuration, it returns a peer only after the node has been behind for `PULL_DELAY`.
    pub fn choose_pull_peer(&mut self, now: BootTime, is_reading: bool) -> Option<PullPeer> {
        let is_version_behind = self.is_version_behind();
        self.version_behind_since =
            is_version_behind.then(|| self.version_behind_since.map_or(now, |since| since.min(now)));
        let own = self.membership.own();
        let distance = |member: &Member| (member.region != own.region, member.zone != own.zone);
        let own_epoch = self.own_announcement.revision.epoch;
        let announced = |member: &Member| {
            let known = self.peer_announcements.get(&member.node)?;
            Some(known.assuming_epoch(own_epoch))
        };
        let ahead: Vec<(&Member, Announcement)> = self
            .live_members()
            .filter_map(|member| Some((member, announced(member)?)))
            .filter(|(_, known)| self.own_announcement.is_behind(known))
            .collect();
        // The choice among the nearest is random, since otherwise all nodes that lack an update would ask the same
        // peer.
        let nearest = ahead.iter().map(|(member, _)| distance(member)).min();
        let is_nearest = |(member, _): &&(&Member, Announcement)| Some(distance(member)) == nearest;
        let to_peer = |(member, known): &(&Member, Announcement)| PullPeer {
            address: member.peer_address,
            revision: known.latest_revision(),
        };
        let peers: Vec<PullPeer> = ahead.iter().filter(is_nearest).map(to_peer).collect();
        let Some(peer) = peers.choose(&mut self.rng).copied() else {
            self.behind_since = None;
            return None;
        };
        let has_no_configuration = self.own_announcement.version == 0;
        let since = *self.behind_since.get_or_insert(now);
        let delay = if is_reading { PULL_DELAY } else { Duration::ZERO };
        (has_no_configuration || now.since(since) >= delay).then_some(peer)
    }

    /// Returns the newest version of the configuration that a peer announced; 0 if there is none.
    pub fn newest_version(&self) -> u64 {
        self.peer_announcements.values().map(|known| known.version).max().unwrap_or_default()
    }

    /// Returns whether a peer announced a newer version of the configuration than this node has.
    pub fn is_version_behind(&self) -> bool {
        self.newest_version() > self.own_announcement.version
    }

    /// Returns the time since which a peer is known to have a newer configuration, as of the last call of
    /// [`Fleet::choose_pull_peer`].
    pub fn version_behind_since(&self) -> Option<BootTime> {
        self.version_behind_since
    }

    /// Records that a pull starts now. `PULL_DELAY` before the next pull is counted from this time.
    pub fn record_pull_start(&mut self, now: BootTime) {
        self.behind_since = Some(now);
    }
}
