//! An operator's switches: each turns one mechanism off, to measure what it is worth or to rule it out in an incident.
//!
//! All are on unless settings say otherwise. What keeps a promise to callers or back ends has no switch.

use serde::{Deserialize, Serialize};

/// Which mechanisms decide about requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingPolicy {
    /// A second searcher is asked besides one that is late.
    pub hedges: bool,
    /// No hedges to a service where too much waits.
    pub hedge_pressure: bool,
    /// Searchers that were slow lately are asked less.
    pub avoid_slow: bool,
    /// Searchers with an overdue attempt are asked less.
    pub avoid_overdue: bool,
    /// A searcher whose host is slow at the moment, as it says itself, is asked less.
    pub reported_host: bool,
    /// Hedges go out the earlier, the less of the budget for extra sends is spent.
    pub hedge_by_budget: bool,
    /// Searchers that rejected work lately are asked less.
    pub avoid_rejecting: bool,
    /// Near searchers are preferred by more than the round trip.
    pub near_first: bool,
    /// Part of the requests is refused while too much waits at the back ends.
    pub admission: bool,
    /// Shards wait for searchers that reject connections or can't be reached at the moment.
    pub waiting: bool,
    /// A restarted process takes its share of connections in steps.
    pub connection_ramp: bool,
    /// A restarted process makes no hedges in its first seconds.
    pub start_rest: bool,
    /// Requests are held until configuration and searchers are known.
    pub holds: bool,
    /// Requests that end the searchers that run them are sent to one at a time, and then to nobody.
    pub quarantine: bool,
    /// While requests of a route have ended searchers lately, what nobody has answered is tried on one shard first.
    pub first_probes: bool,
    /// The time to answer follows from how far the caller is.
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
