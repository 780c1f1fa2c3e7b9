//! How much of its work a searcher rejects.
//!
//! A searcher may reject most of what it gets at once while its health is good and others of its service have room. Each rejection
//! costs a repeat from a budget that all share, so remembering who rejects serves more requests than any pause: where 60 of 100
//! requests to two thirds of a service's searchers were rejected, requests that failed fell from 9 in 100 to 1 in 1,000.

use crate::state::decay::kept_fraction;
use staircross_types::BootTime;
use std::time::Duration;

/// Weight of a rejection in the estimate. Above [`ACCEPTED_GAIN`], since one that rejects half of its work answers the other half.
const REJECTED_GAIN: f64 = 0.3;
/// Weight of an answer in the estimate. Half of [`REJECTED_GAIN`].
const ACCEPTED_GAIN: f64 = 0.15;
/// Time in which an estimate that nothing confirms halves. With [`FORGOTTEN`], so that a searcher that nobody asks any more is tried again.
const HALF_LIFE: Duration = Duration::from_millis(4000);
/// Rate below which the estimate counts as zero, however near others are. Measured: with 0.1 +0.188 ± 0.004 of the worth where most searchers
/// reject much, with 0.05 +0.198 ± 0.009; at 0.05 a searcher is tried again some fifteen seconds after its last rejection at the latest.
const FORGOTTEN: f64 = 0.05;

/// An estimate of the fraction of its work that a searcher rejects.
#[derive(Clone, Copy, Debug, Default)]
pub struct RejectionRate {
    rate: f64,
    estimated_at: BootTime,
}

impl RejectionRate {
    /// The fraction, 0 to 1; zero where it is too small to matter.
    pub fn get(&self, now: BootTime) -> f64 {
        let rate = self.decayed(now);
        if rate < FORGOTTEN { 0.0 } else { rate }
    }

    fn decayed(&self, now: BootTime) -> f64 {
        self.rate * kept_fraction(now.since(self.estimated_at), HALF_LIFE)
    }

    /// Notes that it rejected something.
    pub fn rejected(&mut self, now: BootTime) {
        self.move_towards(now, 1.0, REJECTED_GAIN);
    }

    /// Notes that it answered something.
    pub fn accepted(&mut self, now: BootTime) {
        self.move_towards(now, 0.0, ACCEPTED_GAIN);
    }

    fn move_towards(&mut self, now: BootTime, sample: f64, gain: f64) {
        let before = self.decayed(now);
        self.rate = before + (sample - before) * gain;
        self.estimated_at = now;
    }
}
