//! The only kind of time that decisions may use.
//!
//! Decisions use the boot clock only. It never jumps, and it continues while the process is paused, so a process that
//! resumes after a pause sees how much time has passed.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds since an arbitrary origin of this machine (its boot, or the start of a simulation).
///
/// Values from different machines can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BootTime(pub u64);

impl BootTime {
    /// A time that is never reached.
    pub const FAR_FUTURE: BootTime = BootTime(u64::MAX / 2);

    /// Creates a time from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        BootTime(millis * 1000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: BootTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time left until `later`, or zero if `later` has passed.
    pub fn until(self, later: BootTime) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for BootTime {
    type Output = BootTime;

    fn add(self, duration: Duration) -> BootTime {
        BootTime(self.0.saturating_add(saturating_micros(duration)))
    }
}

impl Sub<Duration> for BootTime {
    type Output = BootTime;

    fn sub(self, duration: Duration) -> BootTime {
        BootTime(self.0.saturating_sub(saturating_micros(duration)))
    }
}

/// Returns the whole microseconds of a duration. A duration that doesn't fit into `u64` becomes `u64::MAX`, so that
/// adding a duration never gives an earlier time.
fn saturating_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
