//! Format of the datagrams between peers, and the announcement that each of them carries.
//!
//! This module owns the field names on the wire. They have one letter each, since a node sends a datagram every few
//! milliseconds. Other crates define the membership messages, quota messages and case records that a datagram carries.

use serde::{Deserialize, Serialize};
use staircross_cluster::membership::MembershipMessage;
use staircross_quota::QuotaMessage;
use staircross_routing::CaseRecord;
use staircross_types::NodeId;

/// How recent the sender's state is, and how busy the sender is. Every datagram carries an announcement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Version of the sender's configuration.
    #[serde(rename = "v")]
    pub version: u64,
    /// Newest store revision of a searcher's entry that the sender knows.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Newest store revision of a searcher's entry that the sender knows although it doesn't know all changes before; 0 if
    /// there is none beyond `revision`.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    pub latest: u64,
    /// Newest store revision of the start or end of an evacuation that the sender knows.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub evacuations: u64,
    /// Busy fraction of the sender's process, in percent.
    #[serde(rename = "l", default)]
    pub load: u8,
    /// Milliseconds since the store last answered the sender; `None` if the sender doesn't read the store.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub store_age_ms: Option<u32>,
    /// Milliseconds since the sender's configuration was last known to be the newest; `None` if there are no tenants.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub confirmed_age_ms: Option<u32>,
}

/// Returns whether the revision is left out of the datagram. This saves bytes, since most datagrams have none of these
/// revisions, and one is sent every few milliseconds.
fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

impl Announcement {
    /// Returns whether `other` announces a newer version or revision than this announcement.
    pub fn is_behind(&self, other: &Announcement) -> bool {
        other.version > self.version
            || other.revision > self.revision
            || other.latest_revision() > self.latest_revision()
            || other.evacuations > self.evacuations
    }

    /// Returns the newest store revision of a searcher's entry that the sender knows.
    pub fn latest_revision(&self) -> u64 {
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
