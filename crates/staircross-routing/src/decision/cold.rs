//! Limits the requests that a node sends to a searcher that has just started (a cold searcher).
//!
//! The rule decides how many requests this node may have sent to a cold searcher within 1.25 s, and when the next may
//! follow. Other nodes compute their own shares; nothing is coordinated. If the limit is less than one request for each
//! node, as many nodes as it allows send one request each; which nodes these are differs by searcher.
//!
//! The inputs are the rate that the searcher can take while it is cold ([`ColdStart`], requests a second), the
//! operator's limit ([`ColdBound`]), the searcher's id, the number of serving nodes, and this node's rank among them
//! ([`FleetRank`]). [`crate::state::searcher`] knows when a searcher is cold.
//!
//! The rule protects searchers: a cold one can take a few requests a second from all nodes together, and crashes well
//! above that rate. This is guaranteed to back ends, so it can't be turned off. Without a configured rate for the
//! service, nothing is limited.
//!
//! The rule doesn't know what other nodes have sent. A node that is cut off divides by the largest fleet that it has
//! seen lately, so the sum stays below the limit.
//!
//! The log shows the rule as `event=unsent cause=avoided` and `event=left_out cause=no_room` for a shard whose
//! searchers have all just started. docs/design/cold-searchers.md compares alternatives.

use crate::configuration::definition::ColdStart;
use serde::{Deserialize, Serialize};
use staircross_types::BootTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the limit that nodes plan to use. The remaining 0.4 covers nodes whose views of the fleet differ for a
/// moment.
const PLANNED_FRACTION: f64 = 0.6;
/// Time over which sent requests are counted. The limit applies to one second at the searcher, and connecting may delay
/// a request on its way there by a quarter of a second.
const COUNTING_WINDOW: Duration = Duration::from_millis(1250);

/// Limit on requests to a cold searcher in one second: the rate that it can take times `factor`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdBound {
    /// Multiple of the rate that the searcher can take.
    pub factor: f64,
    /// Number of additional requests.
    pub slack: f64,
}

impl Default for ColdBound {
    /// Limits requests to the rate that the searcher can take.
    fn default() -> Self {
        ColdBound { factor: 1.0, slack: 0.0 }
    }
}

/// Rank of a node among those that serve callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetRank {
    /// Number of the node among them, from 0, or `None` for a reserve node, which serves no callers.
    pub rank: Option<usize>,
    /// Largest number of nodes that served lately.
    pub serving: usize,
}

/// Returns the number of requests that a node may have sent to a cold searcher within 1.25 s, or `None` if it isn't
/// limited. A reserve node may send none.
pub fn cold_share(cold: ColdStart, bound: ColdBound, instance: &str, fleet: FleetRank) -> Option<usize> {
    let per_s = cold.requests_per_s?;
    let total = ((per_s * bound.factor + bound.slack) * PLANNED_FRACTION) as usize;
    let nodes = fleet.serving.max(1);
    let Some(rank) = fleet.rank else {
        return Some(0);
    };
    if total >= nodes {
        return Some(total / nodes);
    }
    let offset: usize = instance.bytes().map(usize::from).sum();
    Some(usize::from((rank + offset) % nodes < total))
}

/// Times at which requests were sent to one searcher while it was cold.
#[derive(Clone, Debug, Default)]
pub struct ColdSends {
    times: VecDeque<BootTime>,
}

impl ColdSends {
    /// Records that a request was sent.
    pub fn record(&mut self, now: BootTime) {
        while self.times.front().is_some_and(|sent| now.since(*sent) >= COUNTING_WINDOW) {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// Returns the time from which one more request may be sent with a share of `share`, or `None` if none ever may.
    pub fn next(&self, now: BootTime, share: usize) -> Option<BootTime> {
        if share == 0 {
            return None;
        }
        let oldest_of_share = self.times.len().checked_sub(share).map(|index| self.times[index]);
        Some(oldest_of_share.map_or(now, |sent| (sent + COUNTING_WINDOW).max(now)))
    }
}
