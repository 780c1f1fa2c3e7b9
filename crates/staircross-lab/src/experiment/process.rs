//! Memory and processor time of this process, as the kernel counts them.

use std::time::Duration;

/// Resident memory in bytes; zero where the kernel doesn't tell.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0);
    pages * rustix::param::page_size() as u64
}

/// Processor time used by this process so far.
pub fn cpu_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
