//! Decides which fraction of the offered requests is admitted while searchers are overloaded.
//!
//! For each group of services that are asked together, and each priority rank of their routes, the rule sets the
//! fraction of requests that is admitted (the level). The rest is chosen at random and refused at once as `overloaded`,
//! without being run; [`crate::decision::fair_share`] divides the level among tenants.
//!
//! The inputs are the group's median wait beyond the usual work ([`wait`], [`usual_work`]: time), the wait that the
//! goal tolerates ([`tolerable_wait`]: time), the time since the first evaluation of the group, and the number of ranks
//! below the group's most urgent one. Each node uses only its own requests.
//!
//! The rule protects callers and back ends. When more is offered than searchers can process, every request waits until
//! its goal has passed, and all work is wasted. On two days of overload with two slots a searcher instead of five, the
//! score for answers in time (docs/studies/scores.md) is 0.532 and 0.310 without the rule, and 0.665 and 0.513 with it
//! (docs/MEASUREMENTS.md, "Overload"). Where searchers have enough slots, the rule has no effect
//! (docs/studies/switches.md).
//!
//! The rule doesn't know what other nodes measure, how many slots are free, or why requests wait: a saturated link
//! looks like a queue. One or two services that have lost replicas don't show in the median. At a level of a tenth, a
//! node sees few requests and takes seconds to recover.
//!
//! The log shows the rule as `event=admission` (group, level, wait, tolerable wait) and `event=not_admitted`; the
//! metric is `staircross_requests_not_admitted_total`. The setting `routing.admission = false` turns it off.
//! docs/design/admission.md compares alternatives.

mod quantile_window;
pub mod usual_work;
pub mod wait;

pub use usual_work::UsualWork;
pub use wait::{Wait, tolerable_wait};

use staircross_types::BootTime;
use std::time::Duration;

/// Minimum time between two evaluations, so that each is based on a new window of waits.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time to wait for a decrease to take effect, in addition to the interval. It bounds how long too high a level
/// stays in force while waits are longest.
const MAX_DECREASE_DELAY: Duration = Duration::from_millis(1000);
/// Ratio of the wait to the tolerable wait above which limiting begins. By definition of the tolerable wait, the last
/// sub-request comes too late beyond it.
const TOO_LONG_RATIO: f64 = 1.0;
/// Ratio of the wait to the tolerable wait that limiting aims at. It is below [`TOO_LONG_RATIO`], so that waits that
/// vary around it still meet the goal.
const TARGET_RATIO: f64 = 0.6;
/// Time for which the wait must have been too long at each evaluation before limiting begins. A shorter excess is the
/// end of a burst, which passes by itself. Where searchers are overloaded in waves, a longer time costs callers.
const MIN_EXCESS_TIME: Duration = Duration::from_millis(600);
/// Time from a group's first evaluation during which nothing is refused: connections are being established, searchers
/// are cold, and after a restart callers return all at once. It is as long as searchers usually are cold.
const WARM_UP: Duration = Duration::from_secs(3);
/// Relative change of the level for each tolerable wait by which the wait differs from [`TARGET_RATIO`]. Steps are
/// proportional because fixed factors make the level oscillate (docs/design/admission.md).
const GAIN: f64 = 0.25;
/// Maximum relative decrease in one evaluation, so that one wrong wait costs a quarter of the level at most.
const MAX_DECREASE: f64 = 0.25;
/// Maximum relative increase in one interval while requests queue. A faster one leaves too many answers late in a
/// sustained overload (docs/studies/policy-rounds.md).
const MAX_INCREASE: f64 = 0.05;
/// Ratio of the wait to the tolerable wait below which no queue is assumed. It is well below [`TARGET_RATIO`].
const NO_QUEUE_RATIO: f64 = 0.25;
/// Relative increase in one interval while no queue is assumed.
const NO_QUEUE_INCREASE: f64 = 0.12;
/// Maximum number of intervals for which one increase compensates, since a node with few requests evaluates rarely.
const MAX_CAUGHT_UP_INTERVALS: f64 = 8.0;
/// Minimum level, so that some requests remain to measure waits by. Below some 0.3, refusals cost callers more than
/// late answers would, but links stay free for configuration and drains (docs/design/admission.md).
const MIN_LEVEL: f64 = 0.05;
/// Increase of the level's exponent for each rank below the most urgent. It gives urgent routes a small lead: at a
/// level of 0.5, one rank lower is admitted at 0.435.
const RANK_EXPONENT_STEP: f64 = 0.2;

/// Admission level of one group of services.
#[derive(Debug)]
pub struct Admission {
    level: f64,
    next_evaluation: BootTime,
    /// Time of the first evaluation.
    first_evaluated: Option<BootTime>,
    /// Time of the last evaluation.
    last_evaluated: Option<BootTime>,
    /// Time since which the wait has been too long at each evaluation.
    too_long_since: Option<BootTime>,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            level: 1.0,
            next_evaluation: BootTime::default(),
            first_evaluated: None,
            last_evaluated: None,
            too_long_since: None,
        }
    }
}

/// Change of the level, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionChange {
    /// The wait that led to the change.
    pub wait: Duration,
    /// The tolerable wait.
    pub tolerable: Duration,
    /// Fraction of the most urgent requests that is admitted from now on, 0 to 1.
    pub level: f64,
}

impl Admission {
    /// Returns whether the next evaluation is due.
    pub fn is_due(&self, now: BootTime) -> bool {
        now >= self.next_evaluation
    }

    /// Adjusts the level to the group's wait. Returns the change if the level has changed.
    pub fn evaluate(&mut self, now: BootTime, wait: Duration, tolerable: Duration) -> Option<AdmissionChange> {
        self.next_evaluation = now + EVALUATION_INTERVAL;
        let since_last = now.since(self.last_evaluated.replace(now).unwrap_or(now));
        let first_evaluated = *self.first_evaluated.get_or_insert(now);
        let ratio = wait.as_secs_f64() / tolerable.as_secs_f64().max(f64::MIN_POSITIVE);
        if now.since(first_evaluated) < WARM_UP || (!self.is_limiting() && !self.is_sustained(now, ratio)) {
            return None;
        }
        let step = level_change(ratio, since_last);
        if step < 0.0 {
            // Requests already sent have waited in the existing queue. The decrease shows once that queue has drained.
            self.next_evaluation = self.next_evaluation + (wait * 2).min(MAX_DECREASE_DELAY);
        }
        let before = self.level;
        self.level = (before * (1.0 + step)).clamp(MIN_LEVEL, 1.0);
        (self.level != before).then_some(AdmissionChange { wait, tolerable, level: self.level })
    }

    /// Returns whether the wait has been too long for longer than the end of a burst would last.
    fn is_sustained(&mut self, now: BootTime, ratio: f64) -> bool {
        if ratio <= TOO_LONG_RATIO {
            self.too_long_since = None;
            return false;
        }
        let since = *self.too_long_since.get_or_insert(now);
        now.since(since) >= MIN_EXCESS_TIME
    }

    /// Returns the fraction of requests that is admitted at a rank that is `ranks` below the group's most urgent one.
    pub fn admitted_fraction(&self, ranks: u32) -> f64 {
        self.level.powf(1.0 + RANK_EXPONENT_STEP * f64::from(ranks))
    }

    /// Returns the fraction of the most urgent requests that is admitted.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns whether any requests are refused now.
    pub fn is_limiting(&self) -> bool {
        self.level < 1.0
    }
}

/// Returns the relative change of the level at a wait of `ratio` tolerable waits. Only an increase compensates for the
/// time since the last evaluation.
fn level_change(ratio: f64, since_last: Duration) -> f64 {
    let step = if ratio < NO_QUEUE_RATIO {
        NO_QUEUE_INCREASE
    } else {
        (GAIN * (TARGET_RATIO - ratio)).clamp(-MAX_DECREASE, MAX_INCREASE)
    };
    if step <= 0.0 {
        return step;
    }
    let intervals = since_last.as_secs_f64() / EVALUATION_INTERVAL.as_secs_f64();
    (1.0 + step).powf(intervals.clamp(1.0, MAX_CAUGHT_UP_INTERVALS)) - 1.0
}
