//! Live latency of sub-requests: the usual time, and the time from which one counts as late.
//!
//! Owns two windows of samples, in microseconds; relies on nothing but what it is given. The gateway's engine and the session tier's root
//! hold one for each kind of work.

use hdrhistogram::Histogram;
use std::time::Duration;

/// Samples after which the quantiles are computed anew.
const REFRESH_EVERY: u64 = 64;
/// Samples after which an old window is dropped.
const WINDOW: u64 = 4096;
/// The late point is never more than this many medians.
const MAX_MEDIANS: u32 = 4;
/// Samples from which a window's tail quantile is used.
const ENOUGH_SAMPLES: u64 = 512;
/// Largest latency told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Quantile after which a sub-request is late enough for a hedge.
const HEDGE_QUANTILE: f64 = 0.98;

/// Quantiles over the last one to two windows of samples.
pub struct LatencyTracker {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    median: Duration,
    hedge_delay: Duration,
}

impl LatencyTracker {
    /// Starts with `guess` as every quantile until there are samples.
    pub fn new(guess: Duration) -> Self {
        LatencyTracker { current: new_histogram(), previous: new_histogram(), median: guess, hedge_delay: guess }
    }

    /// Adds one sample.
    pub fn record(&mut self, latency: Duration) {
        self.current.saturating_record((latency.as_micros() as u64).clamp(1, MAX_MICROS));
        if self.current.len().is_multiple_of(REFRESH_EVERY) {
            self.refresh();
        }
        if self.current.len() >= WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    fn refresh(&mut self) {
        // A window just begun has too few samples for a tail quantile; the one before is full.
        let current_is_enough = self.current.len() >= ENOUGH_SAMPLES || self.previous.is_empty();
        let source = if current_is_enough { &self.current } else { &self.previous };
        self.median = Duration::from_micros(source.value_at_quantile(0.5));
        let tail = Duration::from_micros(source.value_at_quantile(HEDGE_QUANTILE));
        // Once more than a few in a hundred are slow, the tail is theirs and would excuse them all.
        self.hedge_delay = tail.min(self.median * MAX_MEDIANS);
    }

    /// Latency that half of the sub-requests stay under.
    pub fn median(&self) -> Duration {
        self.median
    }

    /// Time after which an unanswered sub-request counts as late.
    pub fn hedge_delay(&self) -> Duration {
        self.hedge_delay
    }
}

fn new_histogram() -> Histogram<u32> {
    match Histogram::new_with_bounds(1, MAX_MICROS, 2) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("constant bounds are valid: {error:?}"),
    }
}
