//! How many of a searcher's connections this node may use, so that all nodes together stay within the searcher's bound.
//!
//! Nodes don't agree on it: each divides by the nodes that it believes to serve. What is left over covers nodes that see the fleet
//! differently for a moment. `routing.connection_ramp = false` turns the steps after a restart off.

use super::place::Place;
use crate::state::searcher::Searcher;
use staircross_types::BootTime;
use std::time::Duration;

/// Fraction of a searcher's connections that the nodes of its zone divide among them. Measured with [`OTHER_ZONE_SHARE`] as a pair, worth against this
/// one: 0.9 and 0.9 -0.0136, 0.9 and 1.8 -0.0161, 0.3 and 0.3 -0.0057, 0.2 and 0.2 -0.0067, each ± 0.0022.
const OWN_ZONE_SHARE: f64 = 0.45;
/// Fraction of a searcher's connections that the nodes of all other zones divide among them. Measured with [`OWN_ZONE_SHARE`].
const OTHER_ZONE_SHARE: f64 = 0.45;
/// Steps in which a restarted node comes to use its share. When all nodes lost power, searchers count the old connections for 2 to 3 s, and
/// nodes that come first would take all that is left. Measured with [`RAMP_STEP`]: +0.0083 ± 0.0019 of the worth against no steps;
/// steps of one connection cost a deployment whose shares are nine and more 0.0136.
const RAMP_STEPS: usize = 4;
/// Time of each step. With steps of one connection 1 s brought +0.0070, 0.4 s +0.0036, 2 s +0.0066 and 4 s +0.0062, each ± 0.002; with steps
/// of a quarter only 1 s was measured.
const RAMP_STEP: Duration = Duration::from_secs(1);

/// Connections to a searcher that this node may hold now; one at least.
pub fn usable_connections(now: BootTime, searcher: &Searcher, place: &Place) -> usize {
    after_restart(now, place, connection_share(searcher, place))
}

/// This node's share of a searcher's connections; one at least.
fn connection_share(searcher: &Searcher, place: &Place) -> usize {
    let most = f64::from(searcher.max_connections);
    let fleet = place.fleet.serving.max(1);
    let near = place.nodes_by_zone.get(&searcher.entry.zone).copied().unwrap_or(0).min(fleet);
    let share = if near == 0 {
        most * (OWN_ZONE_SHARE + OTHER_ZONE_SHARE) / fleet as f64
    } else if near == fleet {
        most * (OWN_ZONE_SHARE + OTHER_ZONE_SHARE) / near as f64
    } else if *searcher.entry.zone == *place.zone {
        most * OWN_ZONE_SHARE / near as f64
    } else {
        most * OTHER_ZONE_SHARE / (fleet - near) as f64
    };
    (share as usize).max(1)
}

/// What a restarted node uses of its share, while connections of earlier incarnations may still be counted: one step at first, and
/// one more after each step's time.
fn after_restart(now: BootTime, place: &Place, share: usize) -> usize {
    let Some(restarted_at) = place.restarted_at.filter(|_| place.policy.connection_ramp) else {
        return share;
    };
    let steps = 1 + (now.since(restarted_at).as_micros() / RAMP_STEP.as_micros()) as usize;
    (share * steps.min(RAMP_STEPS) / RAMP_STEPS).max(1)
}
