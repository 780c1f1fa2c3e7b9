//! A quantile of the durations that come within one window of time.
//!
//! Owns the samples of the present window; a window ends when both its length and its least number of samples are reached, and the
//! next begins with the sample after. Samples are kept as `f32` seconds: a seventh digit says nothing here.

use staircross_types::BootTime;
use std::time::Duration;

/// Samples that a window keeps at most; later ones of the same window are dropped. A bound on memory: 512 `f32` are 2 KiB a window.
pub(super) const MAX_SAMPLES: usize = 512;

/// Gathers samples, window by window.
#[derive(Debug)]
pub(super) struct QuantileWindow {
    quantile: f64,
    length: Duration,
    least_samples: usize,
    began: Option<BootTime>,
    samples: Vec<f32>,
}

impl QuantileWindow {
    /// `quantile` from 0 to below 1; a window lasts `length` and holds `least_samples` at least, however long that takes.
    pub(super) fn new(quantile: f64, length: Duration, least_samples: usize) -> Self {
        QuantileWindow { quantile, length, least_samples, began: None, samples: Vec::new() }
    }

    /// When the present window began; `None` between a window's end and the next sample.
    pub(super) fn began(&self) -> Option<BootTime> {
        self.began
    }

    /// Adds a sample; returns the quantile when the window is over, and begins the next.
    pub(super) fn add(&mut self, now: BootTime, sample: Duration) -> Option<Duration> {
        let began = *self.began.get_or_insert(now);
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(sample.as_secs_f32());
        }
        if now.since(began) < self.length || self.samples.len() < self.least_samples {
            return None;
        }
        let index = (self.samples.len() as f64 * self.quantile) as usize;
        let (_, value, _) = self.samples.select_nth_unstable_by(index, f32::total_cmp);
        let value = Duration::from_secs_f32(*value);
        self.samples.clear();
        self.began = None;
        Some(value)
    }
}
