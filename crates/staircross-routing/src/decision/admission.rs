//! How much of the offered work is taken while searchers are overloaded.
//!
//! **Decides** for each group of services that are asked together, and each rank of its routes, which fraction of the requests
//! is taken (the level). The rest is refused at once as `overloaded`, not run, drawn by chance; [`crate::decision::fair_share`] says whose.
//!
//! **Inputs**: the group's median wait beyond usual work ([`wait`], [`usual_work`]: time), the wait that the goal bears
//! ([`tolerable_wait`]: time), the time since the node started, and ranks below the group's most urgent (count). Each node judges by its own requests.
//!
//! **Protects** callers and back ends: when more is offered than searchers can do, every request waits until its goal has passed, and all work
//! is done in vain. Measured with two slots a searcher instead of five, worth in time of two days of overload: 0.532 and 0.310
//! without, 0.665 and 0.513 with (docs/MEASUREMENTS.md, "Overload"). Where searchers have enough slots it does nothing
//! (docs/studies/switches.md).
//!
//! **Doesn't know** what other nodes measure, how many slots are free, or why things wait: a link that can't keep up looks like a queue. One or
//! two services that have lost replicas don't show in the median. At a level of a tenth a node sees few requests and recovers over seconds.
//!
//! **Shown by** the log's `event=admission` (group, level, wait, tolerable wait) and `event=not_admitted`, and the metric
//! `staircross_requests_not_admitted_total`. **Turned off by** `routing.admission = false`. Alternatives: docs/design/admission.md.

mod quantile_window;
pub mod usual_work;
pub mod wait;

pub use usual_work::UsualWork;
pub use wait::{Wait, tolerable_wait};

use staircross_types::BootTime;
use std::time::Duration;

/// Least time between two judgements. So that each rests on a new window of waits.
const JUDGEMENT_SPACING: Duration = Duration::from_millis(250);
/// Longest time that is waited for the effect of a decrease, beside the spacing. A bound on how long a level that is too high stands while waits are
/// longest.
const MAX_DELAY: Duration = Duration::from_millis(1000);
/// Wait, in tolerable waits, above which a limit begins. By definition: a longer wait lets the last sub-request come too late.
const TOO_LONG: f64 = 1.0;
/// Wait, in tolerable waits, at which a limit is kept. Below [`TOO_LONG`], so that waits spread around it without missing the goal.
const TARGET: f64 = 0.6;
/// Time for which the wait must have been too long at each judgement; shorter, it is the end of a burst, which passes by itself. Where
/// searchers are overloaded in waves a longer time costs callers.
const STANDING: Duration = Duration::from_millis(600);
/// Time from a group's first judgement during which nothing is refused: connections come up, searchers are cold, and after a restart callers
/// come back all at once. As long as searchers usually are cold.
const WARM_UP: Duration = Duration::from_secs(3);
/// Change of the level, as a fraction of it, for each tolerable wait that the wait is off [`TARGET`]. Steps in
/// proportion, because fixed factors swing (docs/design/admission.md).
const GAIN: f64 = 0.25;
/// Largest decrease at one judgement, as a fraction of the level. So that one wrong wait costs a quarter at most.
const MAX_DECREASE: f64 = 0.25;
/// Largest increase for one spacing while something queues, as a fraction of the level. A faster one leaves too much late
/// in an overload that lasts (docs/studies/policy-rounds.md).
const MAX_INCREASE: f64 = 0.05;
/// Wait, in tolerable waits, below which nothing is taken to queue. Well below [`TARGET`].
const NO_QUEUE: f64 = 0.25;
/// Increase for one spacing while nothing queues, as a fraction of the level.
const FAST_INCREASE: f64 = 0.12;
/// Spacings that one increase makes up for, at most: a node with few requests judges seldom.
const MAX_SPACINGS: f64 = 8.0;
/// The least level. So that some requests remain to measure waits by. Below some 0.3 refusing costs callers more than late answers would, but the
/// links stay free for configuration and drains (docs/design/admission.md).
const MIN_LEVEL: f64 = 0.05;
/// Rise of the level's exponent for each rank below the most urgent. For a small lead: at a level of 0.5 one rank less is taken at 0.435.
const RANK_STEP: f64 = 0.2;

/// The level of one group of services.
#[derive(Debug)]
pub struct Admission {
    level: f64,
    next_judgement: BootTime,
    /// When the group was judged first.
    first_judged: Option<BootTime>,
    /// When the group was judged last.
    last_judged: Option<BootTime>,
    /// Since when the wait has been too long at each judgement.
    too_long_since: Option<BootTime>,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            level: 1.0,
            next_judgement: BootTime::default(),
            first_judged: None,
            last_judged: None,
            too_long_since: None,
        }
    }
}

/// A change of the level, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionChange {
    /// The wait that was judged.
    pub wait: Duration,
    /// What would be tolerable.
    pub tolerable: Duration,
    /// Fraction of the most urgent requests that is taken from now on, 0 to 1.
    pub level: f64,
}

impl Admission {
    /// Whether it is time to judge again.
    pub fn is_due(&self, now: BootTime) -> bool {
        now >= self.next_judgement
    }

    /// Judges the group's wait; returns the change, if the level has changed.
    pub fn judge(&mut self, now: BootTime, wait: Duration, tolerable: Duration) -> Option<AdmissionChange> {
        self.next_judgement = now + JUDGEMENT_SPACING;
        let since_last = now.since(self.last_judged.replace(now).unwrap_or(now));
        let first_judged = *self.first_judged.get_or_insert(now);
        let ratio = wait.as_secs_f64() / tolerable.as_secs_f64().max(f64::MIN_POSITIVE);
        if now.since(first_judged) < WARM_UP || (!self.is_limiting() && !self.stands(now, ratio)) {
            return None;
        }
        let step = step_for(ratio, since_last);
        if step < 0.0 {
            // What was sent before waited in the queue before: the effect shows once that has gone through.
            self.next_judgement = self.next_judgement + (wait * 2).min(MAX_DELAY);
        }
        let before = self.level;
        self.level = (before * (1.0 + step)).clamp(MIN_LEVEL, 1.0);
        (self.level != before).then_some(AdmissionChange { wait, tolerable, level: self.level })
    }

    /// Whether the wait has been too long for so long that it isn't what a burst left behind.
    fn stands(&mut self, now: BootTime, ratio: f64) -> bool {
        if ratio <= TOO_LONG {
            self.too_long_since = None;
            return false;
        }
        let since = *self.too_long_since.get_or_insert(now);
        now.since(since) >= STANDING
    }

    /// Fraction of the requests that is taken, `ranks` below the most urgent of the group.
    pub fn fraction_taken(&self, ranks: u32) -> f64 {
        self.level.powf(1.0 + RANK_STEP * f64::from(ranks))
    }

    /// Fraction of the most urgent requests that is taken.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Whether anything is refused now.
    pub fn is_limiting(&self) -> bool {
        self.level < 1.0
    }
}

/// Change of the level, as a fraction of it, at a wait of `ratio` tolerable ones. Only an increase makes up for the time since the last judgement.
fn step_for(ratio: f64, since_last: Duration) -> f64 {
    let step =
        if ratio < NO_QUEUE { FAST_INCREASE } else { (GAIN * (TARGET - ratio)).clamp(-MAX_DECREASE, MAX_INCREASE) };
    if step <= 0.0 {
        return step;
    }
    let spacings = since_last.as_secs_f64() / JUDGEMENT_SPACING.as_secs_f64();
    (1.0 + step).powf(spacings.clamp(1.0, MAX_SPACINGS)) - 1.0
}
