//! Reads the machine's boot clock (`CLOCK_BOOTTIME`).

use crate::time::BootTime;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since this machine booted, including the time for which it was suspended.
pub fn now() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    BootTime(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000)
}
