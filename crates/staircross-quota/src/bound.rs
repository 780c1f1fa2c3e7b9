//! How far all nodes together may exceed a quota, and what follows for one tenant.
//!
//! Derives from the operator's bound ([`QuotaBound`]) and a tenant's quota (requests a second, burst in requests) what an owner grants, how long
//! reports may wait, and what nodes may admit without an owner. The permitted excess of a window is divided among these; the fractions
//! needn't add up to 1, since not all happen at once. docs/design/fleet-allowance.md has the measurements.

use serde::{Deserialize, Serialize};
use staircross_types::Quota;
use std::time::Duration;

/// Fraction of the permitted excess that the owner grants knowingly, beyond the burst. It lets a tenant that asks unevenly below its
/// rate pass; the rest pays for what is admitted before the owner's grant arrives.
const HEADROOM_FRACTION: f64 = 0.15;
/// Fraction of the burst that is granted evenly over the window instead of at once. A window may hold the burst each time, so a tenant that goes on
/// asking for more than its rate is due `burst / window` more in each second.
const STEADY_BURST_FRACTION: f64 = 0.5;
/// Fraction of the permitted excess that is granted evenly over the window.
const STEADY_EXCESS_FRACTION: f64 = 0.1;
/// Fraction of the permitted excess that may be admitted while reports wait to be sent together. Below [`HEADROOM_FRACTION`].
const DELAY_FRACTION: f64 = 0.1;
/// Demand, in times the rate, for which the delay of reports is laid out. For a hot tenant.
const HOT_FACTOR: f64 = 6.0;
/// Shortest delay of a report. A shorter one saves no excess beside the round trip.
const SHORTEST_DELAY: Duration = Duration::from_millis(20);
/// Longest delay of a report. A longer one would hide demand from the owner.
const LONGEST_DELAY: Duration = Duration::from_millis(500);
/// Fraction of the permitted excess that nodes without an owner may admit at once, all together.
const STRANDED_FRACTION: f64 = 0.2;
/// Fraction of the permitted excess that a node which stands in for an owner may grant at once: a tenant at its usual is to be served until the membership
/// names another owner.
const SUBSTITUTE_FRACTION: f64 = 0.1;
/// Fraction of the largest fleet that is taken to be without an owner at the same time, each node on its own. For the loss of one zone of three.
const STRANDED_NODES: f64 = 1.0 / 3.0;
/// Demand that a tenant is taken to have when all nodes have been restarted, in times its rate. For a hot tenant.
const STARTING_HOT_FACTOR: f64 = 4.0;
/// Time until restarted nodes are taken to know of each other, in seconds. Twice the time without a new member after which a node counts as started.
const STARTING_S: f64 = 1.2;
/// Fraction of the permitted excess that starting nodes' first requests of a tenant may use; later ones share the rest.
const STARTING_FIRST_FRACTION: f64 = 0.8;

/// Bound on what is admitted of a tenant in each sliding window, by all nodes together:
/// `(rate * window + burst) * (1 + over) + slack`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaBound {
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of the quota that may be admitted beyond it.
    pub over: f64,
    /// Requests that may be admitted beyond it besides.
    pub slack: f64,
}

impl Default for QuotaBound {
    /// Quotas hold exactly, as far as nodes can know.
    fn default() -> Self {
        QuotaBound { window: Duration::from_secs(1), over: 0.0, slack: 0.0 }
    }
}

/// One tenant's quota with what the bound leaves beside it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limits {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
    /// Requests that may be admitted in a window beyond the quota.
    excess: f64,
}

impl Limits {
    pub fn new(bound: &QuotaBound, quota: Quota) -> Self {
        let window = bound.window.as_secs_f64();
        let excess = bound.over * (quota.rate_per_s * window + quota.burst) + bound.slack;
        let excess = excess.max(0.0);
        let steady = quota.burst * STEADY_BURST_FRACTION + excess * STEADY_EXCESS_FRACTION;
        Limits { rate: quota.rate_per_s + steady / window, burst: quota.burst * (1.0 - STEADY_BURST_FRACTION), excess }
    }

    /// Requests beyond the burst that the owner grants knowingly.
    pub fn headroom(&self) -> f64 {
        self.excess * HEADROOM_FRACTION
    }

    /// Requests that a node which stands in for an owner may grant at once.
    pub fn substitute_credit(&self) -> f64 {
        self.excess * SUBSTITUTE_FRACTION
    }

    /// How long a report may wait for others that go the same way.
    pub fn report_delay(&self) -> Duration {
        let seconds = DELAY_FRACTION * self.excess / (HOT_FACTOR * self.rate).max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.clamp(SHORTEST_DELAY.as_secs_f64(), LONGEST_DELAY.as_secs_f64()))
    }

    /// Fraction of the requests that starting nodes admit, which don't know of each other yet: what the hottest tenant asks of all
    /// of them until they do stays within the permitted excess. Nothing was admitted while they were down. A tenant at its usual seldom
    /// asks a node twice in that time, a hot one does, so most is kept for each node's `first` request.
    pub fn starting_fraction(&self, is_first: bool) -> f64 {
        let most = STARTING_HOT_FACTOR * self.rate * STARTING_S;
        let fraction = if is_first { STARTING_FIRST_FRACTION } else { 1.0 - STARTING_FIRST_FRACTION };
        (self.excess * fraction / most.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Requests that a node of a fleet of `peak` nodes which finds itself without an owner may admit at once; below 1 it is the chance of
    /// one.
    pub fn stranded_credit(&self, peak: usize) -> f64 {
        let stranded = (peak as f64 * STRANDED_NODES).max(1.0);
        self.excess * STRANDED_FRACTION / stranded
    }
}
