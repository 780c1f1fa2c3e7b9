//! Token bucket.

use staircross_types::BootTime;
use std::time::Duration;

/// A token bucket, whose tokens accrue at a steady rate up to a capacity. The level may fall below 0, because requests
/// that other nodes admitted are subtracted after the fact.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    level: f64,
    refilled_at: BootTime,
}

impl Bucket {
    /// Creates a bucket with `level` tokens.
    pub fn new(now: BootTime, level: f64) -> Self {
        Bucket { level, refilled_at: now }
    }

    /// Adds the tokens that accrued since the last refill at `rate`, and caps the level at `capacity`.
    pub fn refill(&mut self, now: BootTime, rate: f64, capacity: f64) {
        self.level = (self.level + rate * now.since(self.refilled_at).as_secs_f64()).min(capacity);
        self.refilled_at = now.max(self.refilled_at);
    }

    /// Returns the number of tokens in the bucket at the last refill, minus those taken since.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Subtracts tokens for requests that were already admitted; the level may become negative.
    pub fn debit(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Takes one token if there is one, and otherwise returns the time until there is one.
    pub fn try_take(&mut self, rate: f64) -> Result<(), Duration> {
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.level) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::from_secs_f64(seconds.min(MAX_TOKEN_WAIT_S)))
    }
}

/// Maximum wait for the next token that is returned to callers, in seconds. Without it a very low rate would keep
/// callers from ever coming back.
const MAX_TOKEN_WAIT_S: f64 = 10.0;
