//! Tests how often records of requests during which searchers were lost are pushed to peers.

use staircross_gateway::case_pushes::CasePushLimiter;
use staircross_types::BootTime;
use std::time::Duration;

#[test]
fn news_just_after_other_news_is_pushed_at_once() {
    let mut limiter = CasePushLimiter::default();
    let now = BootTime::from_millis(1_000_000);
    assert!(!limiter.take_due_push(now), "no update has been noted");
    limiter.record_update();
    assert!(limiter.take_due_push(now));
    assert!(!limiter.take_due_push(now), "the update has been pushed already");
    limiter.record_update();
    assert!(
        limiter.take_due_push(now + Duration::from_millis(2)),
        "the request that crashes searchers needn't be the first suspect"
    );
}

#[test]
fn in_the_long_run_ten_pushes_a_second_are_made() {
    let mut limiter = CasePushLimiter::default();
    let now = BootTime::from_millis(1_000_000);
    let is_pushed = |ms: &u64| {
        limiter.record_update();
        limiter.take_due_push(now + Duration::from_millis(*ms))
    };
    let push_count = (0..10_000).filter(is_pushed).count();
    assert!((100..=104).contains(&push_count), "{push_count} pushes");
}
