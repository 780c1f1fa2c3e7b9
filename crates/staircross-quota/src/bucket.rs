//! A token bucket.

use staircross_types::BootTime;
use std::time::Duration;

/// Tokens that come at a steady rate and are kept up to a bound. The level may fall below 0: what was admitted elsewhere is taken
/// after the fact.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    level: f64,
    at: BootTime,
}

impl Bucket {
    pub fn new(now: BootTime, level: f64) -> Self {
        Bucket { level, at: now }
    }

    /// Lets time pass at a rate, up to a bound.
    pub fn refill(&mut self, now: BootTime, rate: f64, most: f64) {
        self.level = (self.level + rate * now.since(self.at).as_secs_f64()).min(most);
        self.at = now.max(self.at);
    }

    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes tokens that are spent already.
    pub fn spend(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Takes one token if there is one; the time until there is one otherwise.
    pub fn try_take(&mut self, rate: f64) -> Result<(), Duration> {
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.level) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::from_secs_f64(seconds.min(LONGEST_WAIT_S)))
    }
}

/// Longest wait for a token that callers are sent, in seconds. So that callers come back at all.
const LONGEST_WAIT_S: f64 = 10.0;
