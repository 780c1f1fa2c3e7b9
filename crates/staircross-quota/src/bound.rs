//! How far all nodes together may exceed a quota, and the limits this gives one tenant.
//!
//! From the operator's bound ([`QuotaBound`]) and a tenant's quota (requests per second, and burst in requests) this
//! module computes what an owner grants, how long reports may be delayed, and what nodes may admit without an owner.
//! The permitted excess of a window is divided among these uses; their fractions needn't add up to 1, because not all
//! of them occur at once. docs/design/fleet-allowance.md has the figures.

use serde::{Deserialize, Serialize};
use staircross_types::Quota;
use std::time::Duration;

/// Fraction of the permitted excess that the owner grants on purpose, beyond the burst. It admits a tenant whose
/// requests are uneven but below its rate on average; the rest covers requests that are admitted before the owner's
/// grant arrives.
const HEADROOM_FRACTION: f64 = 0.15;
/// Fraction of the burst that is granted evenly over the window instead of at once. Each window may hold a whole
/// burst, so a tenant that constantly exceeds its rate is entitled to `burst / window` more requests per second.
const STEADY_BURST_FRACTION: f64 = 0.5;
/// Fraction of the permitted excess that is granted evenly over the window.
const STEADY_EXCESS_FRACTION: f64 = 0.1;
/// Fraction of the permitted excess that nodes may admit while reports are delayed for batching. It is below
/// [`HEADROOM_FRACTION`].
const REPORT_DELAY_FRACTION: f64 = 0.1;
/// Demand of a hot tenant, which sends far more requests than its quota admits, as a multiple of its rate. The delay of
/// reports is computed for this demand.
const HOT_DEMAND_FACTOR: f64 = 6.0;
/// Shortest delay of a report. A shorter delay saves no excess, because the round trip dominates.
const MIN_REPORT_DELAY: Duration = Duration::from_millis(20);
/// Longest delay of a report. A longer delay would hide demand from the owner.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(500);
/// Fraction of the permitted excess that all nodes without an owner together may admit at once.
const LOCAL_CREDIT_FRACTION: f64 = 0.2;
/// Fraction of the permitted excess that a node which substitutes for an owner may grant at once, so that a tenant
/// with its usual demand is served until the membership names another owner.
const SUBSTITUTE_CREDIT_FRACTION: f64 = 0.1;
/// Fraction of the largest known fleet that is assumed to be without an owner at the same time, each node separately.
/// The fraction covers the loss of one zone of three.
const OWNERLESS_NODES_FRACTION: f64 = 1.0 / 3.0;
/// Demand of a hot tenant after a restart of all nodes, as a multiple of its rate.
const STARTUP_HOT_DEMAND_FACTOR: f64 = 4.0;
/// Time until restarted nodes are assumed to know each other, in seconds. It is twice the time without a new member
/// after which a node no longer counts as starting.
const STARTUP_S: f64 = 1.2;
/// Fraction of the permitted excess for each starting node's first request of a tenant; later requests share the rest.
const STARTUP_FIRST_REQUEST_FRACTION: f64 = 0.8;

/// Bound on the requests of a tenant that all nodes together admit in each sliding window:
/// `(rate * window + burst) * (1 + over) + slack`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaBound {
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of the window's quota that may be admitted beyond that quota.
    pub over: f64,
    /// Requests that may be admitted in addition, whatever the quota.
    pub slack: f64,
}

impl Default for QuotaBound {
    /// Permits no excess: quotas are enforced exactly, as far as nodes know of each other's admissions.
    fn default() -> Self {
        QuotaBound { window: Duration::from_secs(1), over: 0.0, slack: 0.0 }
    }
}

/// Limits of one tenant, computed from its quota and the bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TenantLimits {
    /// Requests per second that are granted evenly: the quota's rate, and the parts of the burst and of the permitted
    /// excess that are spread over the window.
    pub rate: f64,
    /// Requests that are granted at once: the part of the burst that isn't spread over the window.
    pub burst: f64,
    /// Requests that may be admitted in a window beyond the quota.
    excess: f64,
}

impl TenantLimits {
    /// Computes the limits from the operator's bound and the tenant's quota.
    pub fn new(bound: &QuotaBound, quota: Quota) -> Self {
        let window = bound.window.as_secs_f64();
        let excess = bound.over * (quota.rate_per_s * window + quota.burst) + bound.slack;
        let excess = excess.max(0.0);
        let spread_evenly = quota.burst * STEADY_BURST_FRACTION + excess * STEADY_EXCESS_FRACTION;
        TenantLimits {
            rate: quota.rate_per_s + spread_evenly / window,
            burst: quota.burst * (1.0 - STEADY_BURST_FRACTION),
            excess,
        }
    }

    /// Returns the number of requests beyond the burst that the owner grants on purpose.
    pub fn headroom(&self) -> f64 {
        self.excess * HEADROOM_FRACTION
    }

    /// Returns the number of requests that a node which substitutes for an owner may grant at once.
    pub fn substitute_credit(&self) -> f64 {
        self.excess * SUBSTITUTE_CREDIT_FRACTION
    }

    /// Returns the time for which a report may be delayed, so that it covers more requests.
    pub fn report_delay(&self) -> Duration {
        let seconds = REPORT_DELAY_FRACTION * self.excess / (HOT_DEMAND_FACTOR * self.rate).max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.clamp(MIN_REPORT_DELAY.as_secs_f64(), MAX_REPORT_DELAY.as_secs_f64()))
    }

    /// Returns the fraction of requests that a starting node, which doesn't know the other nodes yet, should admit. It
    /// keeps the requests of a hot tenant to all starting nodes within the permitted excess until the nodes know each
    /// other. The whole excess is available, because nothing was admitted while the nodes were down. In that time a
    /// tenant with its usual demand seldom sends two requests to the same node, but a hot tenant does. So most of the
    /// excess is reserved for the first request at each node (`is_first_request`).
    pub fn startup_fraction(&self, is_first_request: bool) -> f64 {
        let demand = STARTUP_HOT_DEMAND_FACTOR * self.rate * STARTUP_S;
        let fraction =
            if is_first_request { STARTUP_FIRST_REQUEST_FRACTION } else { 1.0 - STARTUP_FIRST_REQUEST_FRACTION };
        (self.excess * fraction / demand.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Returns the number of requests that a node without an owner, in a fleet of `peak` nodes, may admit at once. A
    /// value below 1 is the probability of admitting one request.
    pub fn local_credit(&self, peak: usize) -> f64 {
        let ownerless_nodes = (peak as f64 * OWNERLESS_NODES_FRACTION).max(1.0);
        self.excess * LOCAL_CREDIT_FRACTION / ownerless_nodes
    }
}
