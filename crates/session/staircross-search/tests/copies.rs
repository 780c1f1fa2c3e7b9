//! Detection of slow copies: when a copy is suspected, avoided, tried again and cleared.

use staircross_latency::LatencyTracker;
use staircross_search::replica_health::ReplicaHealth;
use staircross_types::{BootTime, SearcherId, ShardId};
use std::time::Duration;

const SEARCHER: SearcherId = SearcherId(1);
const TAIL: Duration = Duration::from_millis(30);
const SLOW: Duration = Duration::from_millis(200);
const QUICK: Duration = Duration::from_millis(20);

fn reply(health: &mut ReplicaHealth, now: BootTime, shards: &[u32], took: Duration) {
    health.record_reply(now, SEARCHER, shards.iter().map(|shard| ShardId(*shard)), took, TAIL);
}

#[test]
fn copy_slow_twice_in_a_row_is_avoided_and_an_innocent_one_comes_free() {
    let mut health = ReplicaHealth::new();
    let now = BootTime::from_millis(1000);
    reply(&mut health, now, &[1, 2], SLOW);
    assert!(!health.is_avoided(now, SEARCHER, ShardId(1)), "one slow reply is not enough");
    reply(&mut health, now, &[1, 2], SLOW);
    assert!(health.is_avoided(now, SEARCHER, ShardId(1)));
    assert!(health.is_avoided(now, SEARCHER, ShardId(2)));
    reply(&mut health, now, &[2], QUICK);
    assert!(!health.is_avoided(now, SEARCHER, ShardId(2)));
    assert!(health.is_avoided(now, SEARCHER, ShardId(1)));
}

#[test]
fn avoided_copy_is_tried_again_by_one_request_and_ever_more_seldom() {
    let mut health = ReplicaHealth::new();
    let mut now = BootTime::from_millis(1000);
    let mut last_wait = Duration::ZERO;
    for round in 0..6 {
        reply(&mut health, now, &[1], SLOW);
        reply(&mut health, now, &[1], SLOW);
        let started = now;
        while health.is_avoided(now, SEARCHER, ShardId(1)) {
            now = now + Duration::from_millis(100);
        }
        let wait = now.since(started);
        // The avoidance grows each time, up to 64 seconds.
        let is_bounded = wait <= Duration::from_secs(64);
        let is_longer = wait > last_wait || round >= 4 && wait == last_wait;
        assert!(is_bounded && is_longer, "round {round}: {wait:?} after {last_wait:?}");
        last_wait = wait;
        health.record_asked(now, SEARCHER, ShardId(1));
        assert!(health.is_avoided(now, SEARCHER, ShardId(1)), "one request at a time tries the copy");
    }
}

/// Guards against a hedge delay that slow replies raise to their own latency. That happened with five slow copies, none
/// of which was suspected.
#[test]
fn late_point_is_not_drawn_up_by_many_slow_replies() {
    let mut tracker = LatencyTracker::new(Duration::from_millis(1));
    for number in 0..2000 {
        tracker.record(if number % 10 == 0 { SLOW } else { QUICK });
    }
    assert!(tracker.hedge_delay() < Duration::from_millis(100), "{:?}", tracker.hedge_delay());
}
