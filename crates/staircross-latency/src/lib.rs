//! Latency of recent sub-requests: the median, and the delay after which a sub-request counts as late and may be
//! hedged.
//!
//! A [`LatencyTracker`] keeps two windows of samples, in microseconds, and depends only on the samples that it is
//! given. The gateway's engine and the session tier's root keep one tracker for each kind of work.

use hdrhistogram::Histogram;
use std::time::Duration;

/// Number of samples after which the quantiles are computed again.
const SAMPLES_PER_UPDATE: u64 = 64;
/// Number of samples in a window. A full window replaces the previous one.
const SAMPLES_PER_WINDOW: u64 = 4096;
/// Upper bound of the hedge delay, as a multiple of the median.
const MAX_HEDGE_DELAY_IN_MEDIANS: u32 = 4;
/// Number of samples from which the quantiles of the current window are used.
const MIN_WINDOW_SAMPLES: u64 = 512;
/// Largest latency that is recorded, in microseconds; longer ones are recorded as this one.
const MAX_MICROS: u64 = 60_000_000;
/// Quantile of latencies that is used as the hedge delay.
const HEDGE_QUANTILE: f64 = 0.98;

/// Median and tail quantile of latency, computed from the current window of samples or the previous one.
pub struct LatencyTracker {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    median: Duration,
    hedge_delay: Duration,
}

impl LatencyTracker {
    /// Creates a tracker that returns `initial` as the median and the hedge delay until enough samples are recorded.
    pub fn new(initial: Duration) -> Self {
        LatencyTracker { current: new_histogram(), previous: new_histogram(), median: initial, hedge_delay: initial }
    }

    /// Adds one sample.
    pub fn record(&mut self, latency: Duration) {
        self.current.saturating_record((latency.as_micros() as u64).clamp(1, MAX_MICROS));
        if self.current.len().is_multiple_of(SAMPLES_PER_UPDATE) {
            self.update_quantiles();
        }
        if self.current.len() >= SAMPLES_PER_WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    /// Returns the window whose quantiles are used.
    fn window(&self) -> &Histogram<u32> {
        // A new window has too few samples for a tail quantile; the previous window is full.
        let has_enough_samples = self.current.len() >= MIN_WINDOW_SAMPLES || self.previous.is_empty();
        if has_enough_samples { &self.current } else { &self.previous }
    }

    fn update_quantiles(&mut self) {
        let value_at = |quantile| Duration::from_micros(self.window().value_at_quantile(quantile));
        let (median, tail) = (value_at(0.5), value_at(HEDGE_QUANTILE));
        // If more than a few percent of sub-requests are slow, they make up the tail, and without the bound none of
        // them would count as late.
        self.hedge_delay = tail.min(median * MAX_HEDGE_DELAY_IN_MEDIANS);
        self.median = median;
    }

    /// Latency that few sub-requests exceed, up to now; of few samples the longest. `None` without any sample.
    pub fn late(&self) -> Option<Duration> {
        let window = self.window();
        (!window.is_empty()).then(|| Duration::from_micros(window.value_at_quantile(HEDGE_QUANTILE)))
    }

    /// Median latency of sub-requests.
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
