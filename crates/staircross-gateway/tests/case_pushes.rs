//! How often the requests under which searchers were lost are pushed to peers at once.

use staircross_gateway::case_pushes::CasePushLimiter;
use staircross_types::BootTime;
use std::time::Duration;

#[test]
fn news_just_after_other_news_is_pushed_at_once() {
    let mut pushes = CasePushLimiter::default();
    let now = BootTime::from_millis(1_000_000);
    assert!(!pushes.take_due_push(now), "no news");
    pushes.record_update();
    assert!(pushes.take_due_push(now));
    assert!(!pushes.take_due_push(now), "it is told");
    pushes.record_update();
    assert!(
        pushes.take_due_push(now + Duration::from_millis(2)),
        "the request to blame needn't be the first that is suspected"
    );
}

#[test]
fn in_the_long_run_ten_pushes_a_second_are_made() {
    let mut pushes = CasePushLimiter::default();
    let now = BootTime::from_millis(1_000_000);
    let is_pushed = |ms: &u64| {
        pushes.record_update();
        pushes.take_due_push(now + Duration::from_millis(*ms))
    };
    let made = (0..10_000).filter(is_pushed).count();
    assert!((100..=104).contains(&made), "{made}");
}
