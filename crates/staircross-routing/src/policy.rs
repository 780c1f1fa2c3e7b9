//! Operator settings that turn single mechanisms off, to measure their effect or to rule them out in an incident.
//!
//! All mechanisms are on by default. Mechanisms that keep a guarantee to callers or back ends can't be turned off.

use serde::{Deserialize, Serialize};

/// Mechanisms that decide about requests; `true` turns one on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingPolicy {
    /// A second searcher is asked when the first is late.
    pub hedges: bool,
    /// No hedges are sent to a service whose queue is too long.
    pub hedge_pressure: bool,
    /// Searchers that were slow lately are asked less.
    pub avoid_slow: bool,
    /// Searchers with an overdue attempt are asked less.
    pub avoid_overdue: bool,
    /// Searchers whose host reports that it is slow at the moment are asked less.
    pub reported_host: bool,
    /// Hedges are sent earlier the more of the budget for extra sends is left.
    pub hedge_by_budget: bool,
    /// Searchers that rejected requests lately are asked less.
    pub avoid_rejecting: bool,
    /// Near searchers are preferred by more than the difference in round trips.
    pub near_first: bool,
    /// A fraction of the requests is refused while the queues at the back ends are too long.
    pub admission: bool,
    /// Shards wait for searchers that reject connections or can't be reached at the moment, and for the budget for
    /// extra sends.
    pub waiting: bool,
    /// A restarted process comes to use its share of connections in steps.
    pub connection_ramp: bool,
    /// A restarted process sends no hedges in its first seconds.
    pub start_rest: bool,
    /// Requests are held until the configuration and the searchers are known.
    pub holds: bool,
    /// Requests that crash their searchers are sent to one searcher at a time, and later to none.
    pub quarantine: bool,
    /// While requests of a route have crashed searchers lately, requests whose content (what they ask for) no searcher
    /// has answered are sent to one shard first.
    pub first_probes: bool,
    /// The time for an answer depends on the distance of the caller.
    pub caller_distance: bool,
}

impl Default for RoutingPolicy {
    fn default() -> Self {
        RoutingPolicy {
            hedges: true,
            hedge_pressure: true,
            avoid_slow: true,
            avoid_overdue: true,
            reported_host: true,
            hedge_by_budget: true,
            avoid_rejecting: true,
            near_first: true,
            admission: true,
            waiting: true,
            connection_ramp: true,
            start_rest: true,
            holds: true,
            quarantine: true,
            first_probes: true,
            caller_distance: true,
        }
    }
}
