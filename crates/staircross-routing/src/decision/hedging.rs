//! When a second searcher is asked besides one that is late (a hedge), and when not.
//!
//! Decides for each attempt: from when on it counts as late ([`HedgeTimes::hedge_at`]), and, once that time has come, whether a hedge is
//! made, put off or not made at all ([`judge`]). [`crate::engine`] asks it with each send and at each hedge's time.
//!
//! **Inputs.** Round trips and the route's work, as durations; times of this machine's boot clock; the fraction of the service's budget that isn't
//! spent (0 to 1, [`super::extra_budget`]); what the request may do. Two more rules must agree before a hedge is sent: too much may not wait at the
//! service (`is_pressed` in `engine/overload`, by [`super::admission`]'s tolerable wait), and the budget must permit it ([`super::extra_budget`]).
//!
//! **What it buys.** Answers in time where one searcher is slow or gone, for extra sends at searchers. With hedges off, the mean worth of a
//! day (0 to 1, `docs/studies/scores.md`) was lower by 0.017 to 0.066 on four fleets (`docs/studies/switches.md`); choosing the
//! time by the budget, with reported hosts, brought 0.0061 ± 0.0014, of which 0.0022 are reported hosts' (`docs/design/extra-sends.md`).
//! **What it protects.** A route that isn't idempotent is never hedged: at most one searcher runs it.
//!
//! **What it doesn't know.** Why an attempt is late; whether the other searcher will be faster (placement chooses it); what other nodes hedge
//! at the same time (each has its share of the budget).
//!
//! **At work.** Log: `send reason=hedge`, `unsent reason=hedge cause=…`. Metrics: `attempts_hedge_total`, `attempts_over_budget_total`.
//! **Switches of `[policy]`.** `routing.hedges` (all of it), `routing.hedge_by_budget` (the time is the same whatever is left),
//! `routing.start_rest` (no rest after a restart), `routing.hedge_pressure` (hedges whatever waits at the service).

use crate::policy::RoutingPolicy;
use staircross_types::BootTime;
use std::time::Duration;

/// Times the route's median work that a hedge isn't sent before, the round trip besides. So that an attempt of usual length isn't doubled where the
/// goal is near.
const MIN_HEDGE_FACTOR: f64 = 1.5;

/// Times the route's median work that the second searcher is taken to need, the round trip besides. For a searcher that is slower than usual, but not
/// late itself.
const HEDGE_WORK_FACTOR: f64 = 2.0;

/// How long a restarted process makes no hedges. It has measured nothing yet that would tell late from usual, and where many restart together
/// everything is late (`docs/studies/policy-rounds.md`).
const START_REST: Duration = Duration::from_secs(2);

/// Time until a hedge that wasn't made (no budget, no room, too much waits) is tried again. So that a request with a goal of 200 ms gets a few more
/// chances.
const HEDGE_PAUSE: Duration = Duration::from_millis(25);

/// Fractions of the unusually long time after which a hedge is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HedgeDelayFactors {
    /// While all of the budget is left.
    full_budget: f64,
    /// While none is.
    spent_budget: f64,
}

/// What isn't spent in a window is lost, so a full budget buys earlier hedges; a scarce one is kept for attempts that are surely late, and
/// for repeats of those that failed. Measured as the mean worth of four days: 0.5 to 1.3 +0.0061 ± 0.0014, 0.4 to 1.0 +0.0042 ± 0.0023, and without
/// regard to the budget 0.65 +0.0050, 0.8 +0.0034, 1.3 -0.0112, against 1.0; each with reported hosts, whose 0.0022 are in the figures
/// (`docs/design/extra-sends.md`).
const HEDGE_DELAY_FACTORS: HedgeDelayFactors = HedgeDelayFactors { full_budget: 0.5, spent_budget: 1.3 };

/// Factor of the unusually long time where the budget isn't looked at.
const FIXED_DELAY_FACTOR: f64 = 1.0;

/// Fraction of the unusually long time that a hedge waits, by the fraction of the service's budget that isn't spent (0 to 1); `None` where the
/// budget isn't looked at.
pub fn hedge_delay_factor(spare_fraction: Option<f64>) -> f64 {
    let HedgeDelayFactors { full_budget, spent_budget } = HEDGE_DELAY_FACTORS;
    spare_fraction.map_or(FIXED_DELAY_FACTOR, |spare| spent_budget - (spent_budget - full_budget) * spare)
}

/// What the time of an attempt's hedge follows from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeTimes {
    /// To the searcher asked, and back.
    pub round_trip: Duration,
    /// To the farthest other searcher that the hedge may go to, and back.
    pub other_round_trip: Duration,
    /// Median of the route's work, the round trip not counted.
    pub usual: Duration,
    /// Work that is unusually long for the route.
    pub late: Duration,
    /// Fraction of `late` that is waited for, by [`hedge_delay_factor`].
    pub delay_factor: f64,
}

impl HedgeTimes {
    /// From when on an attempt that is sent now is late: as late as still leaves another searcher time to answer by `answer_by`, but not
    /// later than is unusual, and never before the work could usually be done.
    pub fn hedge_at(&self, now: BootTime, answer_by: BootTime) -> BootTime {
        let needed = self.other_round_trip + self.usual.mul_f64(HEDGE_WORK_FACTOR);
        let last_moment = answer_by - needed;
        let unusual = now + self.round_trip + self.late.mul_f64(self.delay_factor);
        let least = now + self.round_trip + self.usual.mul_f64(MIN_HEDGE_FACTOR);
        unusual.min(last_moment).max(least)
    }
}

/// An attempt whose hedge is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateAttempt {
    /// Whether its route says that a request may run twice.
    pub is_idempotent: bool,
    /// Whether its request's key was revoked.
    pub is_key_revoked: bool,
    /// Whether it is the only one at work on its shard.
    pub is_alone: bool,
    /// Whether the route's `max_attempts` lets any searcher still be sent the shard.
    pub may_be_sent: bool,
}

/// What is done about a late attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeVerdict {
    /// A second searcher is asked now; if none can be, the attempt is looked at again at this time.
    Hedge {
        /// When to look again.
        again_at: BootTime,
    },
    /// It is looked at again at this time.
    NotBefore(BootTime),
    /// It isn't hedged.
    Never,
}

/// Until when no hedges are made; `restarted_at` is `None` for the first process on its machine.
pub fn rests_until(restarted_at: Option<BootTime>, policy: &RoutingPolicy) -> BootTime {
    let restarted_at = restarted_at.filter(|_| policy.start_rest);
    restarted_at.map_or(BootTime::default(), |started| started + START_REST)
}

/// Whether an attempt whose hedge is due is hedged. `rests_until` is by [`rests_until`].
pub fn judge(now: BootTime, late: LateAttempt, rests_until: BootTime, policy: &RoutingPolicy) -> HedgeVerdict {
    if !policy.hedges || !late.is_idempotent || late.is_key_revoked {
        return HedgeVerdict::Never;
    }
    if now < rests_until {
        return HedgeVerdict::NotBefore(rests_until);
    }
    match late.is_alone && late.may_be_sent {
        true => HedgeVerdict::Hedge { again_at: now + HEDGE_PAUSE },
        false => HedgeVerdict::Never,
    }
}
