//! What nodes send each other of quotas.
//!
//! Every message may be lost, late or doubled: counts are totals, and grants carry the owner's time.

use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// Names a tenant in messages: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantHash(pub u64);

impl TenantHash {
    /// Hash of a tenant's name.
    pub fn of(name: &str) -> Self {
        TenantHash(xxh3_64(name.as_bytes()))
    }
}

/// Requests of one tenant at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that came.
    #[serde(rename = "o")]
    pub offered: u32,
    /// Requests that were admitted.
    #[serde(rename = "a")]
    pub admitted: u32,
}

impl Counts {
    /// What came after `earlier`.
    pub fn since(self, earlier: Counts) -> Counts {
        Counts {
            offered: self.offered.saturating_sub(earlier.offered),
            admitted: self.admitted.saturating_sub(earlier.admitted),
        }
    }

    /// The lesser of each.
    pub fn at_most(self, other: Counts) -> Counts {
        Counts { offered: self.offered.min(other.offered), admitted: self.admitted.min(other.admitted) }
    }

    /// Counts one request.
    pub fn count(&mut self, is_admitted: bool) {
        self.offered += 1;
        self.admitted += u32::from(is_admitted);
    }
}

/// A node reports to a tenant's owner what it has admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: TenantHash,
    /// Rises with each change of owner that the node sees; its counts start anew then.
    #[serde(rename = "e")]
    pub epoch: u32,
    /// Total of the epoch.
    #[serde(rename = "c")]
    pub counts: Counts,
    /// What the owner is known to have counted of it.
    #[serde(rename = "k")]
    pub confirmed: Counts,
    /// Who spoke as owner to the sender a moment ago, if that was another: it may live, and still grant.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub former: Option<NodeId>,
}

/// The total that an owner has counted for a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Epoch of the node.
    #[serde(rename = "e")]
    pub epoch: u32,
    /// Total of the epoch.
    #[serde(rename = "c")]
    pub counts: Counts,
}

/// A tenant's owner grants a node which part of the requests to admit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: TenantHash,
    /// The owner's time, in microseconds; a later grant replaces an earlier one.
    #[serde(rename = "s")]
    pub granted_at: u64,
    /// Part of the tenant's requests that nodes admit, 0 to 1.
    #[serde(rename = "p")]
    pub pass: f32,
    /// The answer to a report; none where the grant answers none.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub confirmation: Option<Confirmation>,
    /// The owner that the sender stands in for, since it doesn't answer; none where the sender is the owner.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub instead_of: Option<NodeId>,
}

impl QuotaGrant {
    /// A grant that answers no report.
    pub fn unsolicited(now: BootTime, tenant: TenantHash, pass: f64) -> Self {
        QuotaGrant { tenant, granted_at: now.0, pass: pass as f32, confirmation: None, instead_of: None }
    }

    /// The same of a node that stands in for the owner.
    pub fn with_instead_of(self, owner: NodeId) -> Self {
        QuotaGrant { instead_of: Some(owner), ..self }
    }

    /// The same as the answer to a report.
    pub fn with_confirmation(self, confirmation: Confirmation) -> Self {
        QuotaGrant { confirmation: Some(confirmation), ..self }
    }
}

/// One message.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// To the owner.
    #[serde(rename = "r")]
    Report(QuotaReport),
    /// From the owner.
    #[serde(rename = "w")]
    Grant(QuotaGrant),
}

/// A message and whom it is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaEnvelope {
    /// The receiver.
    pub to: NodeId,
    /// The message.
    pub message: QuotaMessage,
}
