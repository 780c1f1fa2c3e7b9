//! Memory and processor time of this process.

use cap::Cap;
use std::alloc::System;
use std::time::Duration;

/// Counts what is allocated. Resident memory wouldn't do: what one measurement frees the next reuses.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes allocated and not freed, without the allocator's own overhead.
pub fn allocated_bytes() -> u64 {
    ALLOCATOR.allocated() as u64
}

/// Processor time used by this process so far.
pub fn cpu_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
