//! How much a node may send to a searcher that has just started.
//!
//! A cold searcher bears a few requests a second from all nodes together and falls over at well above that. Nodes don't agree on
//! who sends; each takes a share that follows from how many nodes serve, so that the sum stays below the bound. Where the
//! bound is less than a request for each node, as many nodes as it allows send one, others for each searcher.

use crate::configuration::definition::ColdStart;
use serde::{Deserialize, Serialize};
use staircross_types::BootTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Part of the bound that nodes plan to use; the rest is for nodes that see the fleet differently for a moment.
const PLANNED_FRACTION: f64 = 0.6;
/// Time over which sends are counted. The bound holds for one second at the searcher, and connecting may delay a request
/// on its way there.
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

/// Requests that a node may have sent to a cold searcher within the counted time; `None` where there is no limit.
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
