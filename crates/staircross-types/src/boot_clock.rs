//! The boot clock.

use crate::time::BootTime;
use rustix::time::{ClockId, clock_gettime};

/// Time since this machine booted, including time that it was suspended.
pub fn now() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    BootTime(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000)
}
