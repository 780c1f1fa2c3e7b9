//! Budgets for hedges and retries, which are work beyond the primary sub-requests.
//!
//! Each primary sub-request earns a fraction of a token; a hedge or retry spends a whole token. The extra load is
//! therefore a bounded fraction of the primary load, whatever fails. For a while after a searcher has shed work,
//! nothing may be spent: extra work would make the searchers shed more.

use staircross_types::BootTime;
use std::time::Duration;

/// Upper bound of the saved tokens, in thousandths of a token. Saved tokens let a short burst through after a quiet
/// time.
const MAX_SAVED_MILLI: u64 = 10_000;
/// Time after a shed reply during which no token can be spent.
const SHED_PAUSE: Duration = Duration::from_millis(500);

/// A token bucket that is filled by primary sub-requests.
#[derive(Clone, Debug)]
pub struct ExtraWorkBudget {
    per_mille: u32,
    saved_milli: u64,
    paused_until: BootTime,
}

impl ExtraWorkBudget {
    /// Creates a budget of `per_mille` extra sub-requests per thousand primaries.
    pub fn new(per_mille: u32) -> Self {
        // One hedge or retry is allowed before primaries have earned a token, unless the fraction is zero.
        let saved_milli = if per_mille > 0 { 1000 } else { 0 };
        ExtraWorkBudget { per_mille, saved_milli, paused_until: BootTime::default() }
    }

    /// Changes the fraction. Saved tokens are kept, except that a fraction of zero drops them.
    pub fn set_per_mille(&mut self, per_mille: u32) {
        self.per_mille = per_mille;
        if per_mille == 0 {
            self.saved_milli = 0;
        }
    }

    /// Adds the tokens that `count` primary sub-requests earn.
    pub fn earn(&mut self, count: usize) {
        let earned = count as u64 * u64::from(self.per_mille);
        self.saved_milli = (self.saved_milli + earned).min(MAX_SAVED_MILLI);
    }

    /// Pauses spending because a searcher shed work.
    pub fn pause_after_shed(&mut self, now: BootTime) {
        self.paused_until = now + SHED_PAUSE;
    }

    /// Takes one token and returns `true`, if one is saved and spending isn't paused.
    pub fn try_spend(&mut self, now: BootTime) -> bool {
        if now < self.paused_until || self.saved_milli < 1000 {
            return false;
        }
        self.saved_milli -= 1000;
        true
    }
}
