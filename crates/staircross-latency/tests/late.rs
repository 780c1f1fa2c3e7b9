//! Tests the latency that few sub-requests exceed.

use staircross_latency::LatencyTracker;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns whether two latencies differ by no more than the resolution of the windows.
fn is_close(late: Option<Duration>, expected: Duration) -> bool {
    late.is_some_and(|late| late.abs_diff(expected) <= expected / 50)
}

#[test]
fn without_a_sample_no_latency_is_late() {
    assert_eq!(LatencyTracker::new(ms(100)).late(), None);
}

#[test]
fn of_few_samples_the_longest_counts() {
    let mut tracker = LatencyTracker::new(ms(100));
    for millis in [20, 900, 30] {
        tracker.record(ms(millis));
    }
    assert!(is_close(tracker.late(), ms(900)), "{:?}", tracker.late());
}

/// Guards against a latency that is unknown, or drawn from a handful of samples, where one window follows another.
#[test]
fn a_new_window_counts_once_it_has_enough_samples() {
    let mut tracker = LatencyTracker::new(ms(100));
    (0..4096).for_each(|_| tracker.record(ms(1000)));
    assert!(is_close(tracker.late(), ms(1000)), "{:?}", tracker.late());
    (0..511).for_each(|_| tracker.record(ms(10)));
    assert!(is_close(tracker.late(), ms(1000)), "{:?}", tracker.late());
    tracker.record(ms(10));
    assert!(is_close(tracker.late(), ms(10)), "{:?}", tracker.late());
}
