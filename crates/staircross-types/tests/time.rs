//! Times of the boot clock beyond what it counts.

use staircross_types::BootTime;
use std::time::Duration;

#[test]
fn a_span_longer_than_the_clock_counts_ends_at_its_last_time() {
    let now = BootTime::from_millis(5);
    // Of its microseconds the lowest 64 bits are all zero.
    let too_long = Duration::from_secs(1 << 58);
    assert_eq!(now + too_long, BootTime(u64::MAX));
    assert_eq!(now - too_long, BootTime(0));
}
