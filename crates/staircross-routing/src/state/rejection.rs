//! An estimate of the fraction of its work that a searcher rejects.
//!
//! A searcher may reject most of its requests at once although its health checks pass and other searchers of its
//! service have room. Each rejection costs a retry from a budget that all requests share. Remembering which searchers
//! reject therefore lets more requests succeed than a pause of any length does: where 60 of 100 requests to two thirds
//! of a service's searchers are rejected, failed requests fall from 9 in 100 to 1 in 1,000.

use crate::state::decay::decay_factor;
use staircross_types::BootTime;
use std::time::Duration;

/// Weight of a rejection in the estimate. It is above [`ANSWER_GAIN`] because a searcher that rejects half of its
/// work answers the other half.
const REJECTION_GAIN: f64 = 0.3;
/// Weight of an answer in the estimate; half of [`REJECTION_GAIN`].
const ANSWER_GAIN: f64 = 0.15;
/// Time in which an estimate halves without new samples. Together with [`NEGLIGIBLE_RATE`] it ensures that a searcher
/// that no longer gets requests is tried again.
const HALF_LIFE: Duration = Duration::from_millis(4000);
/// Rate below which the estimate counts as zero, however near other searchers are. Where most searchers reject many
/// requests, the use of the estimate raises the mean score of a day's requests (0 to 1, docs/studies/scores.md) by
/// 0.188 ± 0.004 with a limit of 0.1, and by 0.198 ± 0.009 with 0.05. At 0.05 a searcher is tried again at most some
/// fifteen seconds after its last rejection.
const NEGLIGIBLE_RATE: f64 = 0.05;

/// An estimate of the fraction of its work that a searcher rejects.
#[derive(Clone, Copy, Debug, Default)]
pub struct RejectionRate {
    rate: f64,
    estimated_at: BootTime,
}

impl RejectionRate {
    /// Returns the estimated fraction, 0 to 1; zero if it is below [`NEGLIGIBLE_RATE`].
    pub fn get(&self, now: BootTime) -> f64 {
        let rate = self.decayed_rate(now);
        if rate < NEGLIGIBLE_RATE { 0.0 } else { rate }
    }

    fn decayed_rate(&self, now: BootTime) -> f64 {
        self.rate * decay_factor(now.since(self.estimated_at), HALF_LIFE)
    }

    /// Adds a rejection to the estimate.
    pub fn note_rejection(&mut self, now: BootTime) {
        self.add_sample(now, 1.0, REJECTION_GAIN);
    }

    /// Adds an answer to the estimate.
    pub fn note_answer(&mut self, now: BootTime) {
        self.add_sample(now, 0.0, ANSWER_GAIN);
    }

    fn add_sample(&mut self, now: BootTime, sample: f64, gain: f64) {
        let before = self.decayed_rate(now);
        self.rate = before + (sample - before) * gain;
        self.estimated_at = now;
    }
}
