//! Time after which a searcher is expected to answer, as a sum of terms. The searcher with the least sum is asked.
//!
//! Some terms are penalties rather than times: for distance, because traffic between zones is charged; for rejections,
//! because the budget may not pay for the retry; and for a searcher that may have left, so that it comes last.

use super::Choice;
use super::context::{Distance, PlacementContext};
use crate::state::searcher::Searcher;
use staircross_types::BootTime;
use std::time::Duration;

/// Penalty of a searcher in another zone of the region.
const OTHER_ZONE_PENALTY: Duration = Duration::from_millis(4);
/// Penalty of a searcher in another region. A higher one saves traffic between regions and serves callers slightly
/// worse.
const OTHER_REGION_PENALTY: Duration = Duration::from_millis(25);
/// Penalty of a searcher whose entry has gone from the store, or that is suspected of leaving. It exceeds any other sum,
/// so that the searcher is asked after all others.
const DEPARTURE_PENALTY: Duration = Duration::from_secs(60);
/// Expected remaining time for which a searcher with an overdue attempt stays silent, as a multiple of the time for
/// which the attempt is overdue.
const PAUSE_FACTOR: u32 = 2;

/// Returns the time after which a searcher is expected to answer, including penalties.
pub fn expected_time(now: BootTime, searcher: &Searcher, context: &PlacementContext, choice: &Choice<'_>) -> Duration {
    let work = choice.usual_work.mul_f64(slowness(now, searcher, context));
    context.round_trip(&searcher.entry.zone)
        + distance_penalty(searcher, context)
        + work
        + queue_time(searcher, context, work)
        + expected_pause(now, searcher, context)
        + departure_penalty(now, searcher)
        + rejection_penalty(now, searcher, context, choice)
}

/// Returns how many times slower than usual a searcher is, by its answers or by the last report of its host, whichever
/// is more.
fn slowness(now: BootTime, searcher: &Searcher, context: &PlacementContext) -> f64 {
    let measured = if context.policy.avoid_slow { searcher.slowness(now) } else { 1.0 };
    let reported = if context.policy.reported_host { searcher.host_slowness(now) } else { 1.0 };
    measured.max(reported)
}

/// Returns the time in the searcher's queue. Each other node of the zone is assumed to have as many pending attempts as
/// this node.
fn queue_time(searcher: &Searcher, context: &PlacementContext, work: Duration) -> Duration {
    let slots = f64::from(searcher.entry.slots.max(1));
    let pending_attempts = searcher.pending_attempts.len() as f64 * nodes_sending_alike(searcher, context);
    work.mul_f64(((pending_attempts + 1.0 - slots) / slots).max(0.0))
}

/// Returns the number of nodes that probably send as much to the searcher as this node does, including this node.
fn nodes_sending_alike(searcher: &Searcher, context: &PlacementContext) -> f64 {
    if *searcher.entry.zone == *context.zone {
        return context.nodes_by_zone.get(&context.zone).copied().unwrap_or(1).max(1) as f64;
    }
    1.0
}

/// Returns the time for which a searcher with an overdue attempt is expected to stay silent.
fn expected_pause(now: BootTime, searcher: &Searcher, context: &PlacementContext) -> Duration {
    if context.policy.avoid_overdue { searcher.overdue(now) * PAUSE_FACTOR } else { Duration::ZERO }
}

fn distance_penalty(searcher: &Searcher, context: &PlacementContext) -> Duration {
    match context.distance(&searcher.entry.zone) {
        Distance::SameRegion if context.policy.near_first => OTHER_ZONE_PENALTY,
        Distance::OtherRegion if context.policy.near_first => OTHER_REGION_PENALTY,
        Distance::OwnZone | Distance::SameRegion | Distance::OtherRegion => Duration::ZERO,
    }
}

fn departure_penalty(now: BootTime, searcher: &Searcher) -> Duration {
    let may_have_left = !searcher.is_serving() || searcher.departure().is_suspected(now);
    if may_have_left { DEPARTURE_PENALTY } else { Duration::ZERO }
}

/// Returns the route's latency goal times the probability of a rejection: the budget for extra sends may not pay for a
/// retry, and then the shard's part is missing from the answer. Where most searchers reject many requests, the penalty
/// raises the mean score of a day's requests (0 to 1, docs/studies/scores.md) by 0.198 ± 0.009. If only the time of a
/// retry were added, the score would rise by 0.083 ± 0.004 (docs/design/searcher-choice.md).
fn rejection_penalty(now: BootTime, searcher: &Searcher, context: &PlacementContext, choice: &Choice<'_>) -> Duration {
    if !context.policy.avoid_rejecting {
        return Duration::ZERO;
    }
    choice.goal.mul_f64(searcher.rejection_rate(now))
}
