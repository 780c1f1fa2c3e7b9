//! Until when this node's configuration is known to have been the newest.
//!
//! Owns the latest such time, and an announcement on a version that isn't here yet. Relies on the node, which reports when the store was
//! asked, and on peers' announcements.
//!
//! A node that the store answers knows that it had heard of everything at the time at which it asked. It announces how long ago that is
//! with each datagram, and each node that hears it passes it on. An announcement binds a time to a version: it confirms a node's
//! configuration once the node has that version or a later one.

use super::Fleet;
use staircross_types::{BootTime, NodeId};
use std::time::Duration;

/// At a time, no version was newer than this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedVersion {
    /// The version.
    pub version: u64,
    /// The time, on this node's clock.
    pub at: BootTime,
}

/// Until when the configuration is confirmed, and what would confirm a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    at: Option<BootTime>,
    /// The latest announcement on a version that isn't here yet.
    pending: Option<ConfirmedVersion>,
}

impl Confirmation {
    /// Takes an announcement at a node that has a version.
    pub fn note(&mut self, own_version: u64, confirmed: ConfirmedVersion) {
        if confirmed.version <= own_version {
            self.at = Some(self.at.map_or(confirmed.at, |known| known.max(confirmed.at)));
        } else if self.pending.is_none_or(|pending| pending.at < confirmed.at) {
            self.pending = Some(confirmed);
        }
    }

    /// Notes which version the node has now.
    pub fn set_version(&mut self, own_version: u64) {
        if let Some(pending) = self.pending.take_if(|pending| pending.version <= own_version) {
            self.note(own_version, pending);
        }
    }

    /// The latest time at which no newer version existed; `None` when that was never known.
    pub fn at(&self) -> Option<BootTime> {
        self.at
    }
}

impl Fleet {
    /// Notes that the store, asked at a time, had nothing newer for this node.
    pub fn confirm(&mut self, asked_at: BootTime) {
        let confirmed = ConfirmedVersion { version: self.own.version, at: asked_at };
        self.confirmation.note(self.own.version, confirmed);
    }

    /// The latest time at which no newer configuration existed than this node's, as far as it knows.
    pub fn confirmed_at(&self) -> Option<BootTime> {
        self.confirmation.at()
    }

    /// Sets whether peers are sent until when the configuration is confirmed.
    pub fn set_confirmation_sent(&mut self, is_sent: bool) {
        self.sends_confirmation = is_sent;
    }

    /// Takes what a datagram announces. It may have waited to be read for as long as this process stood still, so it is taken to have come
    /// right after the last time at which none waited.
    pub(super) fn take_confirmation(&mut self, from: NodeId) {
        let announced = self.announced.get(&from);
        let Some((version, age)) = announced.and_then(|known| Some((known.version, known.confirmed_age_ms?))) else {
            return;
        };
        let at = self.socket.drained_at() - Duration::from_millis(u64::from(age));
        self.confirmation.note(self.own.version, ConfirmedVersion { version, at });
    }

    pub(super) fn refresh_own_confirmation(&mut self, now: BootTime) {
        let confirmed_at = self.confirmation.at().filter(|_| self.sends_confirmation);
        let age = confirmed_at.map(|at| now.since(at).as_millis());
        // An age of more than 49 days is not announced, like one that isn't known.
        self.own.confirmed_age_ms = age.and_then(|millis| u32::try_from(millis).ok());
    }
}
