//! The usual work of a route: how long its sub-requests take where nothing queues.
//!
//! Estimated as the least median of any window so far, with a slow rise, since work may have grown since that median was seen. A
//! queue that has stood since this node started looks like work. [`super::wait`] counts as waiting what exceeds the estimate.

use super::quantile_window::QuantileWindow;
use staircross_types::BootTime;
use std::time::Duration;

/// Samples of a route's work that one median needs. For a median that a few odd answers don't move.
const WORK_SAMPLES: usize = 40;
/// Time over which the samples of one median are gathered, at least. As long as the time between two judgements of the level, which rest on it.
const WORK_WINDOW: Duration = Duration::from_millis(250);
/// Rise of the estimate, as a fraction a second. So that grown work is found within minutes while a queue that stands for one minute adds some 13 in
/// 100 only.
const USUAL_RISE: f64 = 0.002;
/// Further rise, as a fraction a second, times the square of the fraction that is refused: where little is taken and the time is still long, it is
/// work rather than a queue. So that at the least level the estimate doubles in some 15 s.
const USUAL_RISE_REFUSING: f64 = 0.05;
/// Longest time between two samples that counts for the rise. So that one quiet spell raises the estimate by 1 in 100 at most while nothing is
/// refused.
const MAX_RISE_SPAN: Duration = Duration::from_secs(5);

/// The usual time of a route's sub-requests.
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
    /// Adds the time of an answered sub-request, without the round trip. `level` is the fraction of the offered requests that is taken, 0 to 1.
    pub fn record(&mut self, now: BootTime, worked: Duration, level: f64) {
        let span = now.since(self.recorded_at).min(MAX_RISE_SPAN).as_secs_f64();
        self.recorded_at = now;
        let rise = USUAL_RISE + USUAL_RISE_REFUSING * (1.0 - level).powi(2);
        self.seconds = self.seconds.map(|known| known * (1.0 + rise * span));
        if let Some(median) = self.window.add(now, worked) {
            let median = median.as_secs_f64();
            self.seconds = Some(self.seconds.map_or(median, |known| known.min(median)));
        }
    }

    /// The usual time; `None` until one window is complete.
    pub fn get(&self) -> Option<Duration> {
        self.seconds.map(Duration::from_secs_f64)
    }
}
