//! Limits on how many requests a tenant may send.

use serde::{Deserialize, Serialize};

/// Limit on the requests that a tenant may send to all nodes together: `rate_per_s` each second, and `burst` on top of
/// that at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second; greater than 0.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may arrive at once; 0 or more.
    pub burst: f64,
}
