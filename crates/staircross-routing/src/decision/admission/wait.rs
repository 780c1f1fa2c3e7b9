//! The time for which sub-requests wait beyond their usual work, and the wait that a goal tolerates.
//!
//! Two waits are measured: one for each group of services that are asked together, which determines the level of
//! [`super`], and one for each service, which suppresses hedges when it is too long (`unsent cause=pressed` in the
//! log). Both are quantiles over windows; a wait that is too old counts as none.
//!
//! The group's wait is a median on purpose. A paused, slow or lost searcher raises the tail but not the median, while a
//! queue at all searchers raises the median, as does a link or a process that is saturated.

use super::quantile_window::{MAX_SAMPLES, QuantileWindow};
use staircross_types::BootTime;
use std::f64::consts::LN_2;
use std::time::Duration;

/// Quantile of the waits at one service, which decides about hedges.
const SERVICE_QUANTILE: f64 = 0.25;
/// Number of samples needed for the wait at one service. It gives an early signal from few requests. It is too low for
/// admission: with it, the noisiest of 36 to 54 shards looks overloaded (docs/FINDINGS.md).
const SERVICE_SAMPLES: usize = 5;
/// Minimum time over which waits at one service are collected, for an early signal.
const SERVICE_WINDOW: Duration = Duration::from_millis(200);
/// Quantile of the waits of a group of services. A lower quantile of single services is too noisy
/// (docs/MEASUREMENTS.md, "Overload").
const GROUP_QUANTILE: f64 = 0.5;
/// Minimum number of samples for the wait of a group, whatever its fan-out. It matters for groups of few services,
/// where six requests give few samples.
const GROUP_SAMPLES: usize = 24;
/// Minimum number of requests that the samples of a group come from, since the sub-requests of one request are late
/// together.
const GROUP_REQUESTS: usize = 6;
/// Minimum time over which the waits of a group are collected. It is below the time between two evaluations, so that a
/// node with enough requests uses a new wait each time.
const GROUP_WINDOW: Duration = Duration::from_millis(200);
/// Age above which a wait counts as none. It covers several windows of a node with enough requests.
const MAX_WAIT_AGE: Duration = Duration::from_millis(1500);
/// Age up to which admission treats an outdated wait as unknown rather than as none, as a multiple of the time in which
/// its samples were collected. A node with few requests collects for seconds and has no newer wait by then.
const OUTDATED_WAIT_FACTOR: f64 = 1.5;
/// Wait that a rejection for lack of capacity counts as. It is well above tolerable waits, which are tens of
/// milliseconds.
const SHED_WAIT: Duration = Duration::from_millis(500);
/// Euler's constant, rounded. The mean of the longest of `n` exponential waits of mean 1 is about `ln n` plus this
/// constant.
const EULER_MASCHERONI: f64 = 0.58;

/// Returns the median wait of a request's sub-requests at which the last of them still arrives in time.
///
/// `goal` is the time for the complete answer, `usual` the work of one sub-request, and `fan_out` the number of
/// sub-requests. Waits in a queue are distributed roughly exponentially: the longest of `fan_out` is about
/// `ln(fan_out) + 0.58` times their mean, and the median is `ln 2` times their mean.
pub fn tolerable_wait(goal: Duration, usual: Duration, fan_out: usize) -> Duration {
    let spare = goal.saturating_sub(usual * 2);
    let longest = (fan_out.max(1) as f64).ln() + EULER_MASCHERONI;
    // If the goal leaves no spare time, a wait as long as the work is tolerated.
    spare.mul_f64((LN_2 / longest).min(1.0)).max(usual)
}

/// Measured wait of sub-requests at a service or at a group of services.
#[derive(Debug)]
pub struct Wait {
    window: QuantileWindow,
    value: Duration,
    measured_at: BootTime,
    /// Time in which the samples of `value` were collected.
    collected_in: Duration,
}

impl Wait {
    /// Creates the wait at the searchers of one service.
    pub fn at_service() -> Self {
        Wait::new(QuantileWindow::new(SERVICE_QUANTILE, SERVICE_WINDOW, SERVICE_SAMPLES))
    }

    /// Creates the wait at the searchers of a group of services, of which a request asks `fan_out`.
    pub fn at_group(fan_out: usize) -> Self {
        let samples = (fan_out * GROUP_REQUESTS).clamp(GROUP_SAMPLES, MAX_SAMPLES);
        Wait::new(QuantileWindow::new(GROUP_QUANTILE, GROUP_WINDOW, samples))
    }

    fn new(window: QuantileWindow) -> Self {
        Wait { window, value: Duration::ZERO, measured_at: BootTime::default(), collected_in: Duration::ZERO }
    }

    /// Adds an answered sub-request that waited for `waited` beyond its usual work.
    pub fn record(&mut self, now: BootTime, waited: Duration) {
        let began_at = self.window.began_at().unwrap_or(now);
        if let Some(value) = self.window.add(now, waited) {
            self.value = value;
            self.measured_at = now;
            self.collected_in = now.since(began_at);
        }
    }

    /// Adds a sub-request that was rejected for lack of capacity.
    pub fn record_shed(&mut self, now: BootTime) {
        self.record(now, SHED_WAIT);
    }

    /// Returns the wait, or zero if nothing was measured lately.
    pub fn get(&self, now: BootTime) -> Duration {
        if now.since(self.measured_at) <= MAX_WAIT_AGE { self.value } else { Duration::ZERO }
    }

    /// Returns the wait for admission, or `None` while the last one is outdated and the next is still being collected.
    pub fn for_admission(&self, now: BootTime) -> Option<Duration> {
        let age = now.since(self.measured_at);
        let is_being_renewed = age > MAX_WAIT_AGE && age <= self.collected_in.mul_f64(OUTDATED_WAIT_FACTOR);
        (!is_being_renewed).then(|| self.get(now))
    }
}
