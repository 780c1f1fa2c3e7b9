//! Format of the datagrams between peers, and the announcement that each of them carries.
//!
//! This module owns the field names on the wire. They have one letter each, since a node sends a datagram every few
//! milliseconds. Other crates define the membership messages, quota messages and case records that a datagram carries.

use serde::{Deserialize, Serialize};
use staircross_cluster::membership::MembershipMessage;
use staircross_quota::QuotaMessage;
use staircross_routing::{CaseRecord, StoreEpoch, StoreRevision};
use staircross_types::NodeId;

/// How recent the sender's state is, and how busy the sender is. Every datagram carries an announcement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedAnnouncement", into = "EncodedAnnouncement")]
pub struct Announcement {
    /// Version of the sender's configuration.
    pub version: u64,
    /// Newest store revision of a searcher's entry that the sender knows.
    pub revision: StoreRevision,
    /// Newest store revision of a searcher's entry that the sender knows although it doesn't know all changes before; none
    /// if there is none beyond `revision`.
    pub latest: StoreRevision,
    /// Newest store revision of the start or end of an evacuation that the sender knows.
    pub evacuations: StoreRevision,
    /// Busy fraction of the sender's process, in percent.
    pub load: u8,
    /// Milliseconds since the store last answered the sender; `None` if the sender doesn't read the store.
    pub store_age_ms: Option<u32>,
    /// Milliseconds since the sender's configuration was last known to be the newest; `None` if there are no tenants.
    pub confirmed_age_ms: Option<u32>,
}

/// An announcement in a datagram. Nodes of a build that knows no epochs read the counts alone.
#[derive(Serialize, Deserialize)]
struct EncodedAnnouncement {
    #[serde(rename = "v")]
    version: u64,
    #[serde(rename = "r")]
    revision: u64,
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    latest: u64,
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    evacuations: u64,
    #[serde(rename = "l", default)]
    load: u8,
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    store_age_ms: Option<u32>,
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    confirmed_age_ms: Option<u32>,
    #[serde(rename = "i", default, skip_serializing_if = "StoreEpoch::is_untold")]
    revision_epoch: StoreEpoch,
    #[serde(rename = "j", default, skip_serializing_if = "StoreEpoch::is_untold")]
    latest_epoch: StoreEpoch,
    #[serde(rename = "k", default, skip_serializing_if = "StoreEpoch::is_untold")]
    evacuations_epoch: StoreEpoch,
}

/// Returns whether the count is left out of the datagram. This saves bytes, since most datagrams have none of these
/// revisions, and one is sent every few milliseconds.
fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl From<Announcement> for EncodedAnnouncement {
    fn from(announcement: Announcement) -> Self {
        let Announcement { version, revision, latest, evacuations, load, store_age_ms, confirmed_age_ms } =
            announcement;
        EncodedAnnouncement {
            version,
            revision: revision.count,
            latest: latest.count,
            evacuations: evacuations.count,
            load,
            store_age_ms,
            confirmed_age_ms,
            revision_epoch: revision.epoch,
            latest_epoch: latest.epoch,
            evacuations_epoch: evacuations.epoch,
        }
    }
}

impl From<EncodedAnnouncement> for Announcement {
    fn from(encoded: EncodedAnnouncement) -> Self {
        Announcement {
            version: encoded.version,
            revision: StoreRevision::new(encoded.revision_epoch, encoded.revision),
            latest: StoreRevision::new(encoded.latest_epoch, encoded.latest),
            evacuations: StoreRevision::new(encoded.evacuations_epoch, encoded.evacuations),
            load: encoded.load,
            store_age_ms: encoded.store_age_ms,
            confirmed_age_ms: encoded.confirmed_age_ms,
        }
    }
}

impl Announcement {
    /// Returns the announcement with the revisions that carry no epoch taken as of the given one. The sender knows no
    /// epochs, or hasn't heard the store tell one.
    pub fn assuming_epoch(self, epoch: StoreEpoch) -> Self {
        Announcement {
            revision: self.revision.assuming_epoch(epoch),
            latest: self.latest.assuming_epoch(epoch),
            evacuations: self.evacuations.assuming_epoch(epoch),
            ..self
        }
    }

    /// Returns whether `other` announces a newer version or revision than this announcement.
    pub fn is_behind(&self, other: &Announcement) -> bool {
        other.version > self.version
            || other.revision > self.revision
            || other.latest_revision() > self.latest_revision()
            || other.evacuations > self.evacuations
    }

    /// Returns the newest store revision of a searcher's entry that the sender knows.
    pub fn latest_revision(&self) -> StoreRevision {
        self.revision.max(self.latest)
    }
}

/// A datagram between peers.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct PeerDatagram {
    #[serde(rename = "f")]
    pub from: NodeId,
    /// The incarnation that the datagram is for; `None` if the sender knows only its address.
    #[serde(rename = "t")]
    pub to: Option<NodeId>,
    #[serde(rename = "a")]
    pub announcement: Announcement,
    /// Case records, which describe requests during which searchers were lost. If there are many, each datagram carries
    /// some of them.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub cases: Vec<CaseRecord>,
    /// Messages about tenants' quotas.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub quotas: Vec<QuotaMessage>,
    /// Message of the membership protocol; `None` in datagrams that carry only the other fields.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub message: Option<MembershipMessage>,
}
