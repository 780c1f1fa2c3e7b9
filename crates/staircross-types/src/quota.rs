//! How many requests a tenant may send.

use serde::{Deserialize, Serialize};

/// Requests that a tenant may send to all nodes together: `burst` at once, and `rate_per_s` more each second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second; over 0.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once; 0 or more.
    pub burst: f64,
}
