//! The usual work of a route: the time that its sub-requests take when nothing queues.
//!
//! The estimate is the least median of all windows so far. It rises slowly, since the work may have grown after that
//! median was measured. A queue that has existed since this node started is mistaken for work. [`super::wait`] counts
//! time beyond the estimate as waiting.

use super::quantile_window::QuantileWindow;
use staircross_types::BootTime;
use std::time::Duration;

/// Number of samples of a route's work needed for one median, so that a few outliers don't move it.
const WORK_SAMPLES: usize = 40;
/// Minimum time over which the samples of one median are collected. It equals the time between two evaluations of the
/// level, which use the estimate.
const WORK_WINDOW: Duration = Duration::from_millis(250);
/// Rise of the estimate a second, as a fraction of it. Grown work is detected within minutes, while a queue that lasts
/// for one minute adds only some 13 in 100.
const RISE_PER_SECOND: f64 = 0.002;
/// Additional rise a second, as a fraction of the estimate, times the square of the fraction of requests that is
/// refused: if few requests are admitted and they still take long, the cause is work rather than a queue. At the
/// minimum level, the estimate doubles in some 15 s.
const REFUSING_RISE_PER_SECOND: f64 = 0.05;
/// Maximum time between two samples that counts towards the rise. One quiet period thus raises the estimate by at most
/// 1 in 100 while nothing is refused.
const MAX_RISE_SPAN: Duration = Duration::from_secs(5);

/// Estimate of the usual work time of a route's sub-requests.
#[derive(Debug)]
pub struct UsualWork {
    window: QuantileWindow,
    seconds: Option<f64>,
    recorded_at: BootTime,
}

impl Default for UsualWork {
    fn default() -> Self {
        let window = QuantileWindow::new(0.5, WORK_WINDOW, WORK_SAMPLES);
        UsualWork { window, seconds: None, recorded_at: BootTime::default() }
    }
}

impl UsualWork {
    /// Adds the time of an answered sub-request, without the round trip. `level` is the fraction of the offered
    /// requests that is admitted, 0 to 1.
    pub fn record(&mut self, now: BootTime, worked: Duration, level: f64) {
        let span = now.since(self.recorded_at).min(MAX_RISE_SPAN).as_secs_f64();
        self.recorded_at = now;
        let rise = RISE_PER_SECOND + REFUSING_RISE_PER_SECOND * (1.0 - level).powi(2);
        self.seconds = self.seconds.map(|known| known * (1.0 + rise * span));
        if let Some(median) = self.window.add(now, worked) {
            let median = median.as_secs_f64();
            self.seconds = Some(self.seconds.map_or(median, |known| known.min(median)));
        }
    }

    /// Returns the usual time, or `None` until one window is complete.
    pub fn get(&self) -> Option<Duration> {
        self.seconds.map(Duration::from_secs_f64)
    }
}
