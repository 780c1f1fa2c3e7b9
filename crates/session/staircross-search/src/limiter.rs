//! How many requests of one service may be in flight at this root.
//!
//! The limit follows what the back ends take: it grows while requests finish untroubled and
//! shrinks when work is shed or late. Refusing early costs nothing; a request admitted in vain
//! costs every back end it touched.

use staircross_types::BootTime;
use std::time::Duration;

/// Limit of a service that has seen no traffic.
const START_LIMIT: f64 = 32.0;
/// The limit never falls below this.
const MIN_LIMIT: f64 = 2.0;
/// The limit never rises above this.
const MAX_LIMIT: f64 = 10_000.0;
/// Factor on trouble.
const BACK_OFF: f64 = 0.9;
/// One back-off per this time: one burst of trouble is one signal.
const BACK_OFF_EVERY: Duration = Duration::from_millis(100);

/// Additive increase, multiplicative decrease on requests in flight.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    limit: f64,
    in_flight: u32,
    no_back_off_before: BootTime,
}

impl Default for ConcurrencyLimiter {
    fn default() -> Self {
        ConcurrencyLimiter { limit: START_LIMIT, in_flight: 0, no_back_off_before: BootTime::default() }
    }
}

impl ConcurrencyLimiter {
    /// Admits one request if there is room.
    pub fn try_admit(&mut self) -> bool {
        if f64::from(self.in_flight) >= self.limit {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Ends one request; `troubled` when a part of it was shed or late.
    pub fn finish(&mut self, now: BootTime, troubled: bool) {
        let was_full = f64::from(self.in_flight) * 2.0 >= self.limit;
        self.in_flight = self.in_flight.saturating_sub(1);
        if troubled {
            self.back_off(now);
        } else if was_full {
            // Growing while half empty would say nothing about what the back ends take.
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Shrinks the limit, once per burst of trouble.
    pub fn back_off(&mut self, now: BootTime) {
        if now < self.no_back_off_before {
            return;
        }
        self.no_back_off_before = now + BACK_OFF_EVERY;
        self.limit = (self.limit * BACK_OFF).max(MIN_LIMIT);
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The present limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
