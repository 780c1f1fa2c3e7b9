//! Time as the decision logic sees it.
//!
//! Decisions use the boot clock only: it never jumps and goes on during a pause of the process,
//! so a process that wakes late sees how much time it lost.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds since an arbitrary origin of this machine (its boot, or the start of a simulation).
///
/// Values of two machines can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BootTime(pub u64);

impl BootTime {
    /// A time later than any that is reached.
    pub const FAR_FUTURE: BootTime = BootTime(u64::MAX / 2);

    /// Builds a time from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        BootTime(millis * 1000)
    }

    /// Time elapsed since `earlier`; zero when `earlier` is in the future.
    pub fn since(self, earlier: BootTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time left until `later`; zero when it has passed.
    pub fn until(self, later: BootTime) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for BootTime {
    type Output = BootTime;

    fn add(self, span: Duration) -> BootTime {
        BootTime(self.0.saturating_add(micros(span)))
    }
}

impl Sub<Duration> for BootTime {
    type Output = BootTime;

    fn sub(self, span: Duration) -> BootTime {
        BootTime(self.0.saturating_sub(micros(span)))
    }
}

/// Whole microseconds of a span; one that is longer than the clock counts is the longest that it does, so that a time after it never lies before.
fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
