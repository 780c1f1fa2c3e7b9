//! How a request beyond its tenant's quota is refused.

use std::time::Duration;

/// A request is beyond its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// When there will be room; spread, so that not all who are refused come back at once.
    pub retry_after: Duration,
}
