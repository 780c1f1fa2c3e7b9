//! Messages that nodes exchange about quotas.
//!
//! Any message may be lost, delayed or duplicated. Therefore reports carry totals instead of differences, and grants
//! carry the owner's time.

use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a tenant in messages by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantHash(pub u64);

impl TenantHash {
    /// Returns the hash of a tenant's name.
    pub fn of(name: &str) -> Self {
        TenantHash(xxh3_64(name.as_bytes()))
    }
}

/// Numbers of one tenant's requests at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that arrived.
    #[serde(rename = "o")]
    pub offered: u32,
    /// Requests that were admitted.
    #[serde(rename = "a")]
    pub admitted: u32,
}

impl Counts {
    /// Returns the requests that were counted after `earlier`.
    pub fn since(self, earlier: Counts) -> Counts {
        Counts {
            offered: self.offered.saturating_sub(earlier.offered),
            admitted: self.admitted.saturating_sub(earlier.admitted),
        }
    }

    /// Returns the smaller value of each count.
    pub fn at_most(self, other: Counts) -> Counts {
        Counts { offered: self.offered.min(other.offered), admitted: self.admitted.min(other.admitted) }
    }

    /// Counts one request.
    pub fn count(&mut self, is_admitted: bool) {
        self.offered += 1;
        self.admitted += u32::from(is_admitted);
    }
}

/// A node's report to a tenant's owner of the requests that it has counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: TenantHash,
    /// Rises with each change of owner that the sender sees. The counts start anew with each epoch.
    #[serde(rename = "e")]
    pub epoch: u32,
    /// Total since the start of the epoch.
    #[serde(rename = "c")]
    pub counts: Counts,
    /// Part of `counts` that the owner has confirmed.
    #[serde(rename = "k")]
    pub confirmed: Counts,
    /// The owner before this one, if it granted to the sender a moment ago: it may still be running, and still grant.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub former_owner: Option<NodeId>,
}

/// Total that an owner has counted for a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Epoch of the reporting node.
    #[serde(rename = "e")]
    pub epoch: u32,
    /// Total since the start of the epoch.
    #[serde(rename = "c")]
    pub counts: Counts,
}

/// A grant of a tenant's owner to a node: the fraction of requests to admit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: TenantHash,
    /// The sender's time, in microseconds; a later grant replaces an earlier one.
    #[serde(rename = "s")]
    pub granted_at: u64,
    /// Fraction of the tenant's requests that nodes should admit, 0 to 1.
    #[serde(rename = "p")]
    pub admit_fraction: f32,
    /// Confirmation of the report that this grant answers; `None` if it answers none.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub confirmation: Option<Confirmation>,
    /// The owner that doesn't answer and that the sender substitutes for; `None` if the sender is the owner.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub substituted_owner: Option<NodeId>,
}

impl QuotaGrant {
    /// Creates an owner's grant that answers no report; [`QuotaGrant::with_confirmation`] makes it an answer.
    pub fn new(now: BootTime, tenant: TenantHash, admit_fraction: f64) -> Self {
        QuotaGrant {
            tenant,
            granted_at: now.0,
            admit_fraction: admit_fraction as f32,
            confirmation: None,
            substituted_owner: None,
        }
    }

    /// Marks the grant as sent in place of `owner`.
    pub fn with_substituted_owner(self, owner: NodeId) -> Self {
        QuotaGrant { substituted_owner: Some(owner), ..self }
    }

    /// Makes the grant the answer to a report.
    pub fn with_confirmation(self, confirmation: Confirmation) -> Self {
        QuotaGrant { confirmation: Some(confirmation), ..self }
    }
}

/// A message about quotas between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Report to the owner or its substitute.
    #[serde(rename = "r")]
    Report(QuotaReport),
    /// Grant from the owner or its substitute.
    #[serde(rename = "w")]
    Grant(QuotaGrant),
}

/// A message and its receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaEnvelope {
    /// The receiving node.
    pub to: NodeId,
    /// The message.
    pub message: QuotaMessage,
}
