//! Limit on the requests of one service in flight at this root.
//!
//! The limit adapts to the capacity of the searchers: it grows while requests end without signs of overload, and
//! shrinks when a sub-request is shed or a request is refused. Refusing a request at admission costs the searchers
//! nothing; a request that is admitted and then fails has cost work at every searcher that it was sent to.

use staircross_types::BootTime;
use std::time::Duration;

/// Limit of a service before its first request, in requests in flight.
const INITIAL_LIMIT: f64 = 32.0;
/// Lower bound of the limit.
const MIN_LIMIT: f64 = 2.0;
/// Upper bound of the limit.
const MAX_LIMIT: f64 = 10_000.0;
/// Factor by which one back-off multiplies the limit.
const BACK_OFF_FACTOR: f64 = 0.9;
/// Shortest time between two back-offs, so that one burst of sheds counts as a single signal.
const MIN_BACK_OFF_INTERVAL: Duration = Duration::from_millis(100);

/// Limiter of requests in flight by additive increase and multiplicative decrease (AIMD).
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    limit: f64,
    in_flight: u32,
    next_back_off_at: BootTime,
}

impl Default for ConcurrencyLimiter {
    fn default() -> Self {
        ConcurrencyLimiter { limit: INITIAL_LIMIT, in_flight: 0, next_back_off_at: BootTime::default() }
    }
}

impl ConcurrencyLimiter {
    /// Admits one request and returns `true`, if fewer requests than the limit are in flight.
    pub fn try_admit(&mut self) -> bool {
        if f64::from(self.in_flight) >= self.limit {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Ends one request. `overloaded` says whether a sub-request of it was shed or the request was refused.
    pub fn finish(&mut self, now: BootTime, overloaded: bool) {
        let was_half_used = f64::from(self.in_flight) * 2.0 >= self.limit;
        self.in_flight = self.in_flight.saturating_sub(1);
        if overloaded {
            self.back_off(now);
        } else if was_half_used {
            // While less than half of the limit is used, a request that ends well doesn't show that the searchers could
            // process more, so the limit doesn't grow.
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Shrinks the limit, unless it was shrunk less than the shortest back-off interval ago.
    pub fn back_off(&mut self, now: BootTime) {
        if now < self.next_back_off_at {
            return;
        }
        self.next_back_off_at = now + MIN_BACK_OFF_INTERVAL;
        self.limit = (self.limit * BACK_OFF_FACTOR).max(MIN_LIMIT);
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the current limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
