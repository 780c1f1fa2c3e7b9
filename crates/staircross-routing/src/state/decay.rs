//! The exponential decay of estimates that no newer sample confirms.

use std::time::Duration;

/// Returns the fraction of an estimate, 0 to 1, that remains after `age` if it halves in each `half_life`.
pub fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
