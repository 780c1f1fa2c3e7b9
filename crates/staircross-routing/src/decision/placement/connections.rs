//! Number of connections to a searcher that this node may use, so that all nodes together stay within the searcher's
//! limit.
//!
//! Nodes don't coordinate: each divides the limit by the number of nodes that it believes to serve. The remainder
//! covers nodes whose views of the fleet differ for a moment. A process that has restarted comes to use its share in
//! steps; the setting `routing.connection_ramp = false` turns these steps off.

use super::context::PlacementContext;
use crate::state::searcher::Searcher;
use staircross_types::BootTime;
use std::time::Duration;

/// Fraction of a searcher's connections that the nodes of its zone share. Compared with 0.45 for both this share and
/// [`OTHER_ZONE_SHARE`], the mean score of a day's requests (0 to 1, docs/studies/scores.md) is lower by 0.0136 with
/// 0.9 and 0.9, by 0.0161 with 0.9 and 1.8, by 0.0057 with 0.3 and 0.3, and by 0.0067 with 0.2 and 0.2, each ± 0.0022.
const OWN_ZONE_SHARE: f64 = 0.45;
/// Fraction of a searcher's connections that the nodes of all other zones share. [`OWN_ZONE_SHARE`] compares other
/// values of both shares.
const OTHER_ZONE_SHARE: f64 = 0.45;
/// Number of steps in which a restarted node comes to use its share. After a power loss at all nodes, searchers count
/// the old connections for 2 to 3 s, and the first nodes to return would take all that are left. With four steps of 1 s
/// each ([`RAMP_STEP`]), the mean score of a day's requests is higher by 0.0083 ± 0.0019 than without steps. Steps of
/// one connection lower it by 0.0136 on a deployment with shares of nine connections and more.
const RAMP_STEPS: usize = 4;
/// Length of each step. With steps of one connection, the mean score of a day's requests changes by +0.0070 with 1 s,
/// by +0.0036 with 0.4 s, by +0.0066 with 2 s and by +0.0062 with 4 s, each ± 0.002.
const RAMP_STEP: Duration = Duration::from_secs(1);

/// Returns the number of connections to a searcher that this node may hold now, at least one.
pub fn usable_connections(now: BootTime, searcher: &Searcher, context: &PlacementContext) -> usize {
    ramped_share(now, context, connection_share(searcher, context))
}

/// Returns this node's share of a searcher's connections, at least one.
fn connection_share(searcher: &Searcher, context: &PlacementContext) -> usize {
    let limit = f64::from(searcher.max_connections);
    let all_nodes = context.fleet.serving.max(1);
    let zone_nodes = context.nodes_by_zone.get(&searcher.entry.zone).copied().unwrap_or(0).min(all_nodes);
    let share = if zone_nodes == 0 {
        limit * (OWN_ZONE_SHARE + OTHER_ZONE_SHARE) / all_nodes as f64
    } else if zone_nodes == all_nodes {
        limit * (OWN_ZONE_SHARE + OTHER_ZONE_SHARE) / zone_nodes as f64
    } else if *searcher.entry.zone == *context.zone {
        limit * OWN_ZONE_SHARE / zone_nodes as f64
    } else {
        limit * OTHER_ZONE_SHARE / (all_nodes - zone_nodes) as f64
    };
    (share as usize).max(1)
}

/// Returns the part of its share that a restarted node uses while searchers may still count the connections of earlier
/// incarnations: one step at first, and one more after each step's length.
fn ramped_share(now: BootTime, context: &PlacementContext, share: usize) -> usize {
    let Some(restarted_at) = context.restarted_at.filter(|_| context.policy.connection_ramp) else {
        return share;
    };
    let steps = 1 + (now.since(restarted_at).as_micros() / RAMP_STEP.as_micros()) as usize;
    (share * steps.min(RAMP_STEPS) / RAMP_STEPS).max(1)
}
