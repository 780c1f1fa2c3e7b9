//! How much of an estimate is still believed after a while.

use std::time::Duration;

/// Fraction of an estimate that is left after `age`, if nothing confirms it and it halves in each `half_life`; 0 to 1.
pub fn kept_fraction(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
