//! What nodes announce of themselves with every datagram, and the datagram's form.
//!
//! Owns the names on the wire: one letter a field, since datagrams go out every few milliseconds. Relies on the messages
//! of membership and quotas, which it carries.

use serde::{Deserialize, Serialize};
use staircross_cluster::membership::MembershipMessage;
use staircross_quota::QuotaMessage;
use staircross_routing::CaseRecord;
use staircross_types::NodeId;

/// What one node knows, sent with every datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Version of its configuration.
    #[serde(rename = "v")]
    pub version: u64,
    /// Newest revision of a searcher's entry.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Newest revision of the start or end of an evacuation.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub evacuations: u64,
    /// Busy share of the process, in percent.
    #[serde(rename = "l", default)]
    pub load: u8,
    /// Time since the store last answered the sender, in milliseconds, if it reads the store.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub store_age_ms: Option<u32>,
    /// Time since the sender's configuration was known to be the newest, in milliseconds, where there are tenants.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub confirmed_age_ms: Option<u32>,
}

/// Most fleets never evacuate anything, and a datagram goes out every few milliseconds.
fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

impl Announcement {
    /// Whether `other` knows something that this one doesn't.
    pub fn is_behind(&self, other: &Announcement) -> bool {
        other.version > self.version || other.revision > self.revision || other.evacuations > self.evacuations
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct PeerDatagram {
    #[serde(rename = "f")]
    pub from: NodeId,
    #[serde(rename = "t")]
    pub to: Option<NodeId>,
    #[serde(rename = "a")]
    pub announcement: Announcement,
    /// Requests under which searchers were lost, some of them each time.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub cases: Vec<CaseRecord>,
    /// Reports on tenants' quotas.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub quotas: Vec<QuotaMessage>,
    /// `None` when only the announcement is sent.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub message: Option<MembershipMessage>,
}
