//! How long sub-requests wait beyond their usual work, and how long a wait a goal bears.
//!
//! Two waits are kept: one for each group of services that are asked together, by which the level of [`super`] is judged, and one for each
//! service, by which hedges are left out ("pressed"). Both are quantiles over windows; a wait that is too old counts as none.
//!
//! The group's wait is a median on purpose: a paused, slow or lost searcher raises the tail and leaves the median, while a queue at all
//! searchers raises it, and so does a link or a process that can't keep up.

use super::quantile_window::{MAX_SAMPLES, QuantileWindow};
use staircross_types::BootTime;
use std::f64::consts::LN_2;
use std::time::Duration;

/// Quantile of the waits at one service, by which hedges are decided.
const SERVICE_QUANTILE: f64 = 0.25;
/// Samples that the wait at one service needs. For an early signal from few requests. Too few for admission, where the noisiest of 36 to 54 shards
/// then looked overloaded (docs/FINDINGS.md).
const SERVICE_SAMPLES: usize = 5;
/// Time over which waits at one service are gathered, at least. For an early signal.
const SERVICE_WINDOW: Duration = Duration::from_millis(200);
/// Quantile of the waits of a group of services: a lower one of single services is too noisy (docs/MEASUREMENTS.md, "Overload").
const GROUP_QUANTILE: f64 = 0.5;
/// Samples that the wait of a group needs, whatever its fan-out. For groups of few services, whose six requests give few samples.
const GROUP_SAMPLES: usize = 24;
/// Requests that the samples of a group come from, at least, since the sub-requests of one are late together.
const GROUP_REQUESTS: usize = 6;
/// Time over which the waits of a group are gathered, at least. Below the time between two judgements, so that a node with enough requests judges by
/// a new wait each time.
const GROUP_WINDOW: Duration = Duration::from_millis(200);
/// Age above which a wait counts as none. For several windows of a node with enough requests.
const WAIT_LIFE: Duration = Duration::from_millis(1500);
/// Age, in times of what gathering the last wait took, up to which a wait that is too old isn't taken for none either: a node with few
/// requests gathers for seconds and has no newer one by then.
const UNSURE_WINDOWS: f64 = 1.5;
/// Wait that a rejection for lack of room counts as. Well above tolerable waits, which are tens of milliseconds.
const SHED_WAIT: Duration = Duration::from_millis(500);
/// Euler's constant, rounded: the mean of the longest of `n` exponential waits of mean 1 is about `ln n` plus this.
const EULER: f64 = 0.58;

/// The median wait of a request's sub-requests with which the last of them still comes in time.
///
/// `goal` is the time for the whole answer, `usual` the work of one sub-request, `fan_out` the number of sub-requests. Waits in a queue are
/// spread roughly exponentially: the longest of `fan_out` is about `ln(fan_out) + 0.58` times their mean, the median `ln 2` times.
pub fn tolerable_wait(goal: Duration, usual: Duration, fan_out: usize) -> Duration {
    let spare = goal.saturating_sub(usual * 2);
    let longest = (fan_out.max(1) as f64).ln() + EULER;
    // Where the goal leaves no room at all, a wait as long as the work is borne.
    spare.mul_f64((LN_2 / longest).min(1.0)).max(usual)
}

/// How long sub-requests wait at one place.
#[derive(Debug)]
pub struct Wait {
    window: QuantileWindow,
    value: Duration,
    measured_at: BootTime,
    /// How long the samples of `value` were gathered.
    gathered_for: Duration,
}

impl Wait {
    /// The wait at the searchers of one service.
    pub fn at_service() -> Self {
        Wait::new(QuantileWindow::new(SERVICE_QUANTILE, SERVICE_WINDOW, SERVICE_SAMPLES))
    }

    /// The wait at the searchers of a group of services, of which a request asks `fan_out`.
    pub fn at_group(fan_out: usize) -> Self {
        let samples = (fan_out * GROUP_REQUESTS).clamp(GROUP_SAMPLES, MAX_SAMPLES);
        Wait::new(QuantileWindow::new(GROUP_QUANTILE, GROUP_WINDOW, samples))
    }

    fn new(window: QuantileWindow) -> Self {
        Wait { window, value: Duration::ZERO, measured_at: BootTime::default(), gathered_for: Duration::ZERO }
    }

    /// Adds an answered sub-request that waited for `waited` beyond its usual work.
    pub fn record(&mut self, now: BootTime, waited: Duration) {
        let began = self.window.began().unwrap_or(now);
        if let Some(value) = self.window.add(now, waited) {
            self.value = value;
            self.measured_at = now;
            self.gathered_for = now.since(began);
        }
    }

    /// Adds a sub-request that was rejected for lack of room.
    pub fn record_shed(&mut self, now: BootTime) {
        self.record(now, SHED_WAIT);
    }

    /// The wait; zero where nothing was measured lately.
    pub fn get(&self, now: BootTime) -> Duration {
        if now.since(self.measured_at) <= WAIT_LIFE { self.value } else { Duration::ZERO }
    }

    /// The wait to judge by; `None` while the last is too old and the next is still being gathered.
    pub fn judged(&self, now: BootTime) -> Option<Duration> {
        let age = now.since(self.measured_at);
        let is_unsure = age > WAIT_LIFE && age <= self.gathered_for.mul_f64(UNSURE_WINDOWS);
        (!is_unsure).then(|| self.get(now))
    }
}
