//! Tracks the latest time at which this node's configuration is known to have been the newest.
//!
//! [`Confirmation`] owns that time, and a peer's confirmation of a version that this node doesn't have yet. It relies
//! on the node, which reports when it queried the store, and on peers' announcements.
//!
//! A node that the store answers knows that it had all updates at the time at which it sent the query. Each datagram
//! announces the age of this confirmation, and each node that receives it passes it on. An announcement ties a time to
//! a version: it confirms a node's configuration once the node has that version or a later one.

use super::Fleet;
use staircross_types::{BootTime, NodeId};
use std::time::Duration;

/// A version of the configuration, and a time at which no newer version existed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedVersion {
    /// The version.
    pub version: u64,
    /// The time, by this node's clock.
    pub at: BootTime,
}

/// Time of the last confirmation of this node's configuration, and a confirmation of a version still to come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    at: Option<BootTime>,
    /// The latest confirmation of a version that this node doesn't have yet.
    pending: Option<ConfirmedVersion>,
}

impl Confirmation {
    /// Applies a confirmation on a node whose configuration has `own_version`. A confirmation of a newer version is
    /// kept until the node has that version.
    pub fn record(&mut self, own_version: u64, confirmed: ConfirmedVersion) {
        if confirmed.version <= own_version {
            self.at = Some(self.at.map_or(confirmed.at, |known| known.max(confirmed.at)));
        } else if self.pending.is_none_or(|pending| pending.at < confirmed.at) {
            self.pending = Some(confirmed);
        }
    }

    /// Applies the pending confirmation if the node's new version is recent enough for it.
    pub fn set_version(&mut self, own_version: u64) {
        if let Some(pending) = self.pending.take_if(|pending| pending.version <= own_version) {
            self.record(own_version, pending);
        }
    }

    /// Returns the latest time at which no newer version existed; `None` if no such time is known.
    pub fn at(&self) -> Option<BootTime> {
        self.at
    }
}

impl Fleet {
    /// Records that the store, queried at `queried_at`, had nothing newer for this node.
    pub fn confirm(&mut self, queried_at: BootTime) {
        let confirmed = ConfirmedVersion { version: self.own_announcement.version, at: queried_at };
        self.confirmation.record(self.own_announcement.version, confirmed);
    }

    /// Returns the latest time at which this node's configuration is known to have been the newest.
    pub fn confirmed_at(&self) -> Option<BootTime> {
        self.confirmation.at()
    }

    /// Sets whether announcements contain the age of the configuration's confirmation.
    pub fn set_announces_confirmation(&mut self, announces: bool) {
        self.announces_confirmation = announces;
    }

    /// Applies the confirmation that a peer's last datagram announced. The datagram may have waited in the socket while
    /// this process was paused, so it is assumed to have arrived right after the last time at which none was waiting.
    pub(super) fn record_confirmation(&mut self, from: NodeId) {
        let announced = self.peer_announcements.get(&from);
        let Some((version, age)) = announced.and_then(|known| Some((known.version, known.confirmed_age_ms?))) else {
            return;
        };
        let at = self.socket.drained_at() - Duration::from_millis(u64::from(age));
        self.confirmation.record(self.own_announcement.version, ConfirmedVersion { version, at });
    }

    pub(super) fn refresh_own_confirmation_age(&mut self, now: BootTime) {
        let confirmed_at = self.confirmation.at().filter(|_| self.announces_confirmation);
        let age = confirmed_at.map(|at| now.since(at).as_millis());
        // An age of more than 49 days doesn't fit the field, and isn't announced.
        self.own_announcement.confirmed_age_ms = age.and_then(|millis| u32::try_from(millis).ok());
    }
}
