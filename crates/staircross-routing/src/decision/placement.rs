//! Decides which searcher of a service is asked.
//!
//! For each sub-request, the rule returns the searcher that is expected to answer first, or none. It excludes searchers
//! that the request may not ask again, that lie outside the allowed regions or in an evacuated zone (one whose
//! searchers must get no new work), that are gone (no longer at their address) or draining, that are avoided after
//! failures or rejections, that have no capacity left for this node, or that are cold while this node's share is used
//! up. Searchers with nearly equal expected times share the work by random choice.
//!
//! The inputs are the [`Choice`] (allowed regions, excluded searchers, usual work and goal of the route: times), the
//! state of each [`Searcher`] (slowness and rejection rate as ratios, pending attempts, reported load), and the
//! [`PlacementContext`] (the zones and the round trips to them, as times; the numbers of nodes).
//!
//! The rule shortens answer times and saves traffic between zones. On four deployments (docs/studies/switches.md), its
//! settings change the mean score of a day's requests (0 to 1, docs/studies/scores.md): `routing.near_first` by 0.003
//! to 0.009, `routing.avoid_slow` by 0.002 to 0.028, `routing.avoid_overdue` by 0.004 to 0.008 and
//! `routing.connection_ramp` by 0.000 to 0.007. `routing.reported_host` raises it by 0.0022 ± 0.0016, and
//! `routing.avoid_rejecting` by 0.198 ± 0.009 where most searchers reject many requests
//! (docs/design/searcher-choice.md).
//!
//! The rule doesn't know what other nodes have sent or measured. It estimates the queue of a searcher in its own zone
//! as this node's pending attempts there times the number of nodes in the zone, and of a searcher in another zone as
//! this node's pending attempts alone.
//!
//! The log shows the rule as `event=send` (searcher, reason, last report of the searcher), and as `unsent` and
//! `left_out` with a cause; the metrics are `staircross_bytes_total{purpose,reach}` and
//! `staircross_searcher_connections_turned_away_total`. The settings above turn its terms off one by one; the rest
//! can't be turned off. docs/design/searcher-choice.md compares alternatives.

pub mod connections;
pub mod context;
pub mod expected_time;

pub use context::{Distance, PlacementContext};
pub use expected_time::expected_time;

use crate::decision::allowed_regions::AllowedRegions;
use crate::keys::SearcherKey;
use crate::state::searcher::Searcher;
use connections::usable_connections;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use staircross_types::BootTime;
use std::time::Duration;

/// Largest ratio of a searcher's expected time to the least one at which the searchers count as equally good and share
/// the work. It allows for the precision of the estimates.
const TIE_RATIO: f64 = 1.1;

/// Inputs to the choice of a searcher for one shard of a request.
pub struct Choice<'a> {
    /// Regions in which the request may be served.
    pub regions: AllowedRegions<'a>,
    /// Searchers that must not be asked.
    pub excluded: &'a [SearcherKey],
    /// Usual time of the route's work.
    pub usual_work: Duration,
    /// Latency goal of the route for the complete answer.
    pub goal: Duration,
}

/// Chooses one of `candidates`, whose states are in `table`, indexed by key. Returns `None` if none may be asked now.
///
/// One random number is drawn for each candidate that is as good as the best so far, in the order of `candidates`.
pub fn choose(
    now: BootTime,
    choice: &Choice<'_>,
    candidates: &[SearcherKey],
    table: &[Searcher],
    context: &PlacementContext,
    random: &mut ChaCha8Rng,
) -> Option<SearcherKey> {
    let mut best: Option<(SearcherKey, Duration)> = None;
    let mut ties = 0_u32;
    for key in candidates {
        let searcher = &table[key.0 as usize];
        if choice.excluded.contains(key)
            || !context.allows(choice.regions, searcher)
            || !may_be_sent_attempt(now, searcher, context)
        {
            continue;
        }
        let expected = expected_time(now, searcher, context, choice);
        match best {
            Some((_, least)) if expected > least.mul_f64(TIE_RATIO) => {}
            Some((_, least)) if expected.mul_f64(TIE_RATIO) >= least => {
                ties += 1;
                if random.random_range(0..ties) == 0 {
                    best = Some((*key, expected.min(least)));
                }
            }
            _ => {
                best = Some((*key, expected));
                ties = 1;
            }
        }
    }
    best.map(|(key, _)| key)
}

/// Returns whether a searcher may be sent one more attempt by this node now.
fn may_be_sent_attempt(now: BootTime, searcher: &Searcher, context: &PlacementContext) -> bool {
    let has_room =
        searcher.pending_attempts.len() < usable_connections(now, searcher, context) && !searcher.is_full(now);
    let may_be_asked_now = context.available_from(now, searcher).is_some_and(|at| at <= now);
    searcher.may_be_asked(now) && may_be_asked_now && has_room
}
