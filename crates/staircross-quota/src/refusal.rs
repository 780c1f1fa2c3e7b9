//! Refusal of a request that exceeds its tenant's quota.

use std::time::Duration;

/// The request was refused because its tenant's quota is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// Time after which the caller should retry. It includes a random part, so that refused callers don't all retry at
    /// once.
    pub retry_after: Duration,
}
