//! Budgets for work beyond the strictly needed.
//!
//! Each primary sub-request earns a fraction of a token; a hedge or retry spends a whole one.
//! So the extra load stays a bounded fraction however bad things get, and while back ends shed
//! nothing may be spent at all: extra work would only make them shed more.

use staircross_types::BootTime;
use std::time::Duration;

/// Most tokens saved up, in thousandths. Lets a short burst through after a quiet time.
const MAX_SAVED_MILLI: u64 = 10_000;
/// Time after a shed reply during which nothing is spent.
const SHED_PAUSE: Duration = Duration::from_millis(500);

/// A token bucket filled by primary work.
#[derive(Clone, Debug)]
pub struct ExtraWorkBudget {
    per_mille: u32,
    saved_milli: u64,
    paused_until: BootTime,
}

impl ExtraWorkBudget {
    /// A budget of `per_mille` extra sub-requests per thousand primaries.
    pub fn new(per_mille: u32) -> Self {
        // A fleet that has just started may hedge once, if it may hedge at all.
        let saved_milli = if per_mille > 0 { 1000 } else { 0 };
        ExtraWorkBudget { per_mille, saved_milli, paused_until: BootTime::default() }
    }

    /// Changes the fraction, keeping what was saved.
    pub fn set_per_mille(&mut self, per_mille: u32) {
        self.per_mille = per_mille;
        if per_mille == 0 {
            self.saved_milli = 0;
        }
    }

    /// Earns for `count` primaries.
    pub fn earn(&mut self, count: usize) {
        let earned = count as u64 * u64::from(self.per_mille);
        self.saved_milli = (self.saved_milli + earned).min(MAX_SAVED_MILLI);
    }

    /// Notes that a back end shed work.
    pub fn pause_after_shed(&mut self, now: BootTime) {
        self.paused_until = now + SHED_PAUSE;
    }

    /// Takes one token if there is one and spending isn't paused.
    pub fn try_spend(&mut self, now: BootTime) -> bool {
        if now < self.paused_until || self.saved_milli < 1000 {
            return false;
        }
        self.saved_milli -= 1000;
        true
    }
}
