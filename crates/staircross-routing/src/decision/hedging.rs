//! Decides when a second searcher is asked because the first is late (a hedge).
//!
//! The rule decides for each attempt the time from which it counts as late ([`HedgeTimes::hedge_at`]) and, at that
//! time, whether a hedge is sent, postponed, or not sent at all ([`decide_hedge`]). [`crate::engine`] calls it at each
//! send and when each hedge is due.
//!
//! The inputs are round trips and the work of the route, as durations; times of this machine's boot clock; the unspent
//! fraction of the service's budget for extra sends (0 to 1, [`super::extra_budget`]); and whether the request may be
//! sent twice. Two more checks must pass before a hedge is sent: the queue at the service may not be too long
//! (`is_queue_too_long` in `engine/overload`, by the tolerable wait of [`super::admission`]), and the budget must
//! permit it ([`super::extra_budget`]).
//!
//! Hedges give answers in time when one searcher is slow or has ended, at the cost of extra sends. Without hedges, the
//! mean score of a day's requests (0 to 1, `docs/studies/scores.md`) is lower by 0.017 to 0.066 on four fleets
//! (`docs/studies/switches.md`). A time that depends on the budget, together with the slowness that hosts report,
//! raises the score by 0.0061 ± 0.0014, of which 0.0022 come from the reported slowness (`docs/design/extra-sends.md`).
//! Requests of a route that isn't idempotent are never hedged: at most one searcher runs each.
//!
//! The rule doesn't know why an attempt is late, whether the other searcher (which placement chooses) will be faster,
//! or what other nodes hedge at the same time; each node has its own share of the budget.
//!
//! The log shows the rule as `send reason=hedge` and `unsent reason=hedge cause=…`; the metrics are
//! `attempts_hedge_total` and `attempts_over_budget_total`. The setting `routing.hedges = false` turns hedging off.
//! `routing.hedge_by_budget = false` makes the time independent of the budget, `routing.start_rest = false` permits
//! hedges right after a restart, and `routing.hedge_pressure = false` permits them whatever the queue at the service.

use crate::policy::RoutingPolicy;
use staircross_types::BootTime;
use std::time::Duration;

/// Minimum time before a hedge is sent, as a multiple of the route's median work, plus the round trip. It prevents an
/// attempt of usual length from being hedged only because the goal is near.
const MIN_HEDGE_WORK_FACTOR: f64 = 1.5;

/// Time that the second searcher is assumed to need, as a multiple of the route's median work, plus the round trip. It
/// covers a searcher that is slower than usual but not late itself.
const SECOND_SEARCHER_WORK_FACTOR: f64 = 2.0;

/// Time after a restart during which a process sends no hedges. It has no measurements yet by which to tell a late
/// attempt from a usual one, and when many nodes restart together, every attempt is late
/// (`docs/studies/policy-rounds.md`).
const HEDGE_PAUSE_AFTER_RESTART: Duration = Duration::from_secs(2);

/// Time until a hedge that wasn't sent (no budget, no searcher with capacity, too long a queue) is tried again. A
/// request with a goal of 200 ms thus gets a few more tries.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Delay of a hedge as a fraction of an unusually long work time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HedgeDelayFactors {
    /// Fraction while the whole budget is left.
    full_budget: f64,
    /// Fraction while none of the budget is left.
    spent_budget: f64,
}

/// Delay factors in use. Budget that isn't spent within its window is lost, so hedges are sent earlier while the budget
/// is full. A scarce budget is kept for attempts that are certainly late, and for retries of failed ones. Compared with
/// a factor of 1.0 whatever is left of the budget, the mean score of the requests of four days changes by
/// +0.0061 ± 0.0014 with factors of 0.5 to 1.3 and by +0.0042 ± 0.0023 with 0.4 to 1.0. With one factor whatever is
/// left of the budget, it changes by +0.0050 with 0.65, by +0.0034 with 0.8 and by -0.0112 with 1.3. All figures
/// include the use of reported host slowness, which accounts for 0.0022 of them (`docs/design/extra-sends.md`).
const HEDGE_DELAY_FACTORS: HedgeDelayFactors = HedgeDelayFactors { full_budget: 0.5, spent_budget: 1.3 };

/// Delay factor if hedges disregard the budget.
const FIXED_DELAY_FACTOR: f64 = 1.0;

/// Returns the delay of a hedge as a fraction of an unusually long work time. `spare_fraction` is the unspent fraction
/// of the service's budget (0 to 1), or `None` if hedges disregard the budget.
pub fn hedge_delay_factor(spare_fraction: Option<f64>) -> f64 {
    let HedgeDelayFactors { full_budget, spent_budget } = HEDGE_DELAY_FACTORS;
    spare_fraction.map_or(FIXED_DELAY_FACTOR, |spare| spent_budget - (spent_budget - full_budget) * spare)
}

/// Inputs to the time at which an attempt is hedged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeTimes {
    /// Round trip to the searcher that is asked.
    pub round_trip: Duration,
    /// Round trip to the farthest other searcher that the hedge may be sent to.
    pub other_round_trip: Duration,
    /// Median work of the route, without the round trip.
    pub usual: Duration,
    /// Work time that is unusually long for the route, without the round trip.
    pub late: Duration,
    /// Fraction of `late` after which the hedge is sent, from [`hedge_delay_factor`].
    pub delay_factor: f64,
}

impl HedgeTimes {
    /// Returns the time from which an attempt that is sent now counts as late. This is the last moment at which another
    /// searcher could still answer by `answer_by`, but no later than an unusually long time, and never before the work
    /// is usually done.
    pub fn hedge_at(&self, now: BootTime, answer_by: BootTime) -> BootTime {
        let needed = self.other_round_trip + self.usual.mul_f64(SECOND_SEARCHER_WORK_FACTOR);
        let latest = answer_by - needed;
        let unusual = now + self.round_trip + self.late.mul_f64(self.delay_factor);
        let earliest = now + self.round_trip + self.usual.mul_f64(MIN_HEDGE_WORK_FACTOR);
        unusual.min(latest).max(earliest)
    }
}

/// An attempt whose hedge is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateAttempt {
    /// Whether the route permits a request to run twice.
    pub is_idempotent: bool,
    /// Whether the key of the request was revoked.
    pub is_key_revoked: bool,
    /// Whether no other attempt for the same shard is in progress.
    pub is_alone: bool,
    /// Whether the route's `max_attempts` permits the shard to be sent to another searcher.
    pub may_be_sent: bool,
}

/// Decision about a late attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// A second searcher is asked now. If none can be, the attempt is checked again at `again_at`.
    Hedge {
        /// Time of the next check.
        again_at: BootTime,
    },
    /// The attempt is checked again at this time.
    NotBefore(BootTime),
    /// The attempt isn't hedged.
    Never,
}

/// Returns the time before which no hedges are sent. `restarted_at` is `None` for the first process on its machine.
pub fn hedges_paused_until(restarted_at: Option<BootTime>, policy: &RoutingPolicy) -> BootTime {
    let restarted_at = restarted_at.filter(|_| policy.start_rest);
    restarted_at.map_or(BootTime::default(), |started| started + HEDGE_PAUSE_AFTER_RESTART)
}

/// Decides whether an attempt whose hedge is due is hedged. `hedges_paused_until` comes from [`hedges_paused_until`].
pub fn decide_hedge(
    now: BootTime,
    late: LateAttempt,
    hedges_paused_until: BootTime,
    policy: &RoutingPolicy,
) -> HedgeDecision {
    if !policy.hedges || !late.is_idempotent || late.is_key_revoked {
        return HedgeDecision::Never;
    }
    if now < hedges_paused_until {
        return HedgeDecision::NotBefore(hedges_paused_until);
    }
    match late.is_alone && late.may_be_sent {
        true => HedgeDecision::Hedge { again_at: now + HEDGE_RETRY_DELAY },
        false => HedgeDecision::Never,
    }
}
