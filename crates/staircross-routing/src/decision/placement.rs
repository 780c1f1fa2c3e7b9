//! Which searcher of a service is asked.
//!
//! **Decides** for each sub-request that is to be sent: the searcher that should answer first, or none. Searchers that are excluded for this
//! request, outside the allowed regions, evacuated, gone or draining, avoided after failures, without room for this node, or cold with this
//! node's share used up are left out whatever their time. Near-equal ones share the work by chance.
//!
//! **Inputs**: [`Choice`] (allowed regions, excluded searchers, the route's usual work and goal: times), the searchers' beliefs ([`Searcher`]:
//! slowness and rejections as ratios, open attempts, reported load), and [`Place`] (zones, round trips: times, nodes: counts).
//!
//! **Buys** time and bytes. By switch, worth of a day with and without it on four deployments (docs/studies/switches.md):
//! `routing.near_first` 0.003 to 0.009, `routing.avoid_slow` 0.002 to 0.028, `routing.avoid_overdue` 0.004 to 0.008,
//! `routing.connection_ramp` 0.000 to 0.007. `routing.reported_host` +0.0022 ± 0.0016, `routing.avoid_rejecting` +0.198 ± 0.009 where most
//! searchers reject much (docs/design/searcher-choice.md).
//!
//! **Doesn't know** what other nodes have sent and measured: a searcher's queue is this node's own attempts, times the nodes of its zone.
//!
//! **Shown by** the log's `event=send` (searcher, reason, its last report), `unsent` and `left_out` with a cause, and the metrics
//! `staircross_bytes_total{purpose,reach}` and `staircross_searcher_connections_turned_away_total`. **Turned off by** the switches above, term by
//! term; the rest has none. Alternatives: docs/design/searcher-choice.md.

pub mod connections;
pub mod expected_time;
pub mod place;

pub use expected_time::expected_time;
pub use place::{Distance, Place};

use crate::decision::allowed_regions::AllowedRegions;
use crate::keys::SearcherKey;
use crate::state::searcher::Searcher;
use connections::usable_connections;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use staircross_types::BootTime;
use std::time::Duration;

/// Factor of the least expected time within which searchers are as good as the best and share the work. For the precision of the estimates.
const AS_GOOD: f64 = 1.1;

/// What a searcher is chosen for.
pub struct Choice<'a> {
    /// Where the request may be served.
    pub regions: AllowedRegions<'a>,
    /// Searchers that aren't to be asked.
    pub excluded: &'a [SearcherKey],
    /// Usual time of the route's work.
    pub usual_work: Duration,
    /// Time within which the whole answer is worth most.
    pub goal: Duration,
}

/// Chooses among `candidates`, whose beliefs are in `table`; `None` where nobody may be asked now.
///
/// One random number is drawn for each candidate that is as good as the best so far, in the order of `candidates`.
pub fn choose(
    now: BootTime,
    choice: &Choice<'_>,
    candidates: &[SearcherKey],
    table: &[Searcher],
    place: &Place,
    random: &mut ChaCha8Rng,
) -> Option<SearcherKey> {
    let mut best: Option<(SearcherKey, Duration)> = None;
    let mut as_good = 0_u32;
    for key in candidates {
        let searcher = &table[key.0 as usize];
        if choice.excluded.contains(key) || !place.allows(choice.regions, searcher) || !may_take(now, searcher, place) {
            continue;
        }
        let expected = expected_time(now, searcher, place, choice);
        match best {
            Some((_, least)) if expected > least.mul_f64(AS_GOOD) => {}
            Some((_, least)) if expected.mul_f64(AS_GOOD) >= least => {
                as_good += 1;
                if random.random_range(0..as_good) == 0 {
                    best = Some((*key, expected.min(least)));
                }
            }
            _ => {
                best = Some((*key, expected));
                as_good = 1;
            }
        }
    }
    best.map(|(key, _)| key)
}

/// Whether a searcher may get one more attempt of this node now.
fn may_take(now: BootTime, searcher: &Searcher, place: &Place) -> bool {
    let has_room = searcher.open.len() < usable_connections(now, searcher, place) && !searcher.is_full(now);
    let is_time = place.next_chance(now, searcher).is_some_and(|chance| chance <= now);
    searcher.may_be_asked(now) && is_time && has_room
}
