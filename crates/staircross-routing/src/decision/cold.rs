//! How much a node may send to a searcher that has just started.
//!
//! **Decides** for a cold searcher how many requests this node may have sent it within 1.25 s, and when the next may go. Other nodes compute their own
//! shares; nothing is agreed. Where the bound is less than a request for each node, as many nodes as it allows send one, others for each searcher.
//!
//! **Inputs**: what the searcher bears while it is cold ([`ColdStart`], requests a second), the operator's bound on it ([`ColdBound`]), its id, and
//! how many nodes serve and which of them this one is ([`FleetRank`]). When it is cold, [`crate::state::searcher`] knows.
//!
//! **Protects** searchers: a cold one bears a few requests a second from all nodes together and falls over at well above that. A promise to back
//! ends, so it has no switch; where the service names no such rate, nothing is limited. What it costs wasn't measured by itself.
//!
//! **Doesn't know** what other nodes have sent. A node that is cut off divides by the largest fleet lately seen, so the sum stays below the bound.
//!
//! **Shown by** the log's `event=unsent cause=avoided` and `event=left_out cause=no_room` of a shard whose searchers have all just started.
//! Alternatives: docs/design/cold-searchers.md.

use crate::configuration::definition::ColdStart;
use serde::{Deserialize, Serialize};
use staircross_types::BootTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the bound that nodes plan to use. To leave 0.4 of it for nodes that see the fleet differently for a moment.
const PLANNED_FRACTION: f64 = 0.6;
/// Time over which sends are counted. The bound holds for one second at the searcher; connecting may delay a request on its way there by a quarter
/// more.
const COUNTED: Duration = Duration::from_millis(1250);

/// The bound on requests to a cold searcher in one second: what it bears times `factor`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdBound {
    /// Times what it bears.
    pub factor: f64,
    /// Requests besides.
    pub slack: f64,
}

impl Default for ColdBound {
    /// Just what the searcher bears.
    fn default() -> Self {
        ColdBound { factor: 1.0, slack: 0.0 }
    }
}

/// Where a node stands among those that serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetRank {
    /// Its number among them, from 0; `None` for a reserve.
    pub rank: Option<usize>,
    /// Most nodes that served lately.
    pub serving: usize,
}

/// Requests that a node may have sent to a cold searcher within 1.25 s; `None` where there is no limit. A reserve may send none.
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

/// Sends to one searcher while it was cold.
#[derive(Clone, Debug, Default)]
pub struct ColdSends {
    times: VecDeque<BootTime>,
}

impl ColdSends {
    /// Notes a send.
    pub fn note(&mut self, now: BootTime) {
        while self.times.front().is_some_and(|sent| now.since(*sent) >= COUNTED) {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// When one more may be sent with a share; `None` when never.
    pub fn next(&self, now: BootTime, share: usize) -> Option<BootTime> {
        if share == 0 {
            return None;
        }
        let oldest_of_share = self.times.len().checked_sub(share).map(|index| self.times[index]);
        Some(oldest_of_share.map_or(now, |sent| (sent + COUNTED).max(now)))
    }
}
