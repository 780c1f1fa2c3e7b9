//! A quantile of the durations sampled within one window of time.
//!
//! A window ends when both its length and its minimum number of samples are reached; the next one begins with the next
//! sample. Samples are stored as `f32` seconds, since a seventh digit carries no information here.

use staircross_types::BootTime;
use std::time::Duration;

/// Maximum number of samples in a window; further ones of the same window are dropped. This bounds memory: 512 `f32`
/// take 2 KiB a window.
pub(super) const MAX_SAMPLES: usize = 512;

/// Collects samples window by window.
#[derive(Debug)]
pub(super) struct QuantileWindow {
    quantile: f64,
    length: Duration,
    min_samples: usize,
    began_at: Option<BootTime>,
    samples: Vec<f32>,
}

impl QuantileWindow {
    /// Creates a window for `quantile`, from 0 to below 1. Each window lasts for at least `length` and until it has
    /// `min_samples`, however long that takes.
    pub(super) fn new(quantile: f64, length: Duration, min_samples: usize) -> Self {
        QuantileWindow { quantile, length, min_samples, began_at: None, samples: Vec::new() }
    }

    /// Returns the time at which the current window began, or `None` between the end of a window and the next sample.
    pub(super) fn began_at(&self) -> Option<BootTime> {
        self.began_at
    }

    /// Adds a sample. At the end of a window, returns its quantile and starts the next.
    pub(super) fn add(&mut self, now: BootTime, sample: Duration) -> Option<Duration> {
        let began_at = *self.began_at.get_or_insert(now);
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(sample.as_secs_f32());
        }
        if now.since(began_at) < self.length || self.samples.len() < self.min_samples {
            return None;
        }
        let index = (self.samples.len() as f64 * self.quantile) as usize;
        let (_, value, _) = self.samples.select_nth_unstable_by(index, f32::total_cmp);
        let value = Duration::from_secs_f32(*value);
        self.samples.clear();
        self.began_at = None;
        Some(value)
    }
}
