//! Tests when a node reads the store itself, and for how long it relies on the readers of its region instead.

use staircross_gateway::store_role::{StoreRole, StoreRoleSelector};
use staircross_types::BootTime;
use std::time::Duration;

/// Time without a heartbeat after which a follower becomes a prober.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time after a start, in milliseconds, after which a region counts as settled even if members still change: 0.8 of
/// the heartbeat timeout.
const SETTLED_AFTER_MS: u64 = 960;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

/// Returns the selector of a node that has just started.
fn new_selector() -> StoreRoleSelector {
    StoreRoleSelector::new(at(0), HEARTBEAT_TIMEOUT)
}

#[test]
fn a_node_that_has_just_started_reads_once_and_waits_to_know_its_region() {
    let mut selector = new_selector();
    assert_eq!(selector.decide(at(0), true), StoreRole::Follower);
    assert_eq!(selector.decide(at(SETTLED_AFTER_MS - 1), true), StoreRole::Follower);
    assert_eq!(selector.decide(at(SETTLED_AFTER_MS), true), StoreRole::Reader);
}

#[test]
fn members_that_are_still_learned_of_put_that_off_but_not_for_long() {
    let mut settling = StoreRoleSelector::new(at(0), HEARTBEAT_TIMEOUT * 4);
    settling.record_member_change(at(1000));
    assert_eq!(settling.decide(at(2199), true), StoreRole::Follower);
    assert_eq!(settling.decide(at(2200), true), StoreRole::Reader, "no member has changed since");
    let mut changing = new_selector();
    changing.record_member_change(at(SETTLED_AFTER_MS - 10));
    assert_eq!(
        changing.decide(at(SETTLED_AFTER_MS), true),
        StoreRole::Reader,
        "changes of members put off reading only for a limited time"
    );
}

#[test]
fn a_designated_node_reads_whatever_it_hears() {
    let mut selector = new_selector();
    selector.record_heartbeat(at(SETTLED_AFTER_MS));
    assert_eq!(selector.decide(at(SETTLED_AFTER_MS), true), StoreRole::Reader);
}

#[test]
fn a_follower_that_becomes_designated_reads_at_once() {
    let mut selector = new_selector();
    selector.record_heartbeat(at(2000));
    assert_eq!(selector.decide(at(2001), false), StoreRole::Follower);
    assert_eq!(selector.decide(at(2002), true), StoreRole::Reader);
    assert_eq!(selector.decide(at(2003), false), StoreRole::Follower, "the heartbeat is still recent");
}

#[test]
fn silence_makes_a_follower_probe_and_a_store_that_answers_makes_it_read() {
    let mut selector = new_selector();
    selector.record_heartbeat(at(0));
    assert_eq!(selector.decide(at(1199), false), StoreRole::Follower);
    assert_eq!(selector.decide(at(1200), false), StoreRole::Prober);
    assert_eq!(selector.decide(at(9000), false), StoreRole::Prober, "a store that doesn't answer probes isn't read");
    selector.record_probe_answered(at(9000));
    assert_eq!(
        selector.decide(at(9395), false),
        StoreRole::Prober,
        "the region's readers get time to reach the store too"
    );
    assert_eq!(selector.decide(at(9397), false), StoreRole::Reader);
    selector.record_heartbeat(at(9500));
    assert_eq!(
        selector.decide(at(9600), false),
        StoreRole::Reader,
        "a node that had to read by itself continues to read for a while"
    );
    selector.record_heartbeat(at(19_300));
    assert_eq!(selector.decide(at(19_400), false), StoreRole::Follower);
}

#[test]
fn a_node_reads_by_itself_well_within_the_time_that_news_may_take() {
    // The heartbeat timeout is 0.4 of the bound on updates.
    let bound = HEARTBEAT_TIMEOUT.mul_f64(1.0 / 0.4);
    let mut selector = new_selector();
    let mut now = 0;
    while selector.decide(at(now), false) != StoreRole::Reader {
        if selector.role() == StoreRole::Prober {
            selector.record_probe_answered(at(now));
        }
        now += 1;
    }
    assert!(Duration::from_millis(now) < bound.mul_f64(0.55), "after {now} ms of {bound:?}");
}

#[test]
fn a_sign_heard_while_probing_makes_it_follow_again_without_having_read() {
    let mut selector = new_selector();
    assert_eq!(selector.decide(at(1200), false), StoreRole::Prober);
    selector.record_probe_answered(at(5000));
    selector.record_heartbeat(at(5100));
    assert_eq!(selector.decide(at(5100), false), StoreRole::Follower);
    assert_eq!(selector.decide(at(6300), false), StoreRole::Prober);
    assert_eq!(
        selector.decide(at(6800), false),
        StoreRole::Prober,
        "an answer from the earlier time as a prober doesn't count"
    );
}

#[test]
fn an_older_sign_that_comes_late_changes_nothing() {
    let mut selector = new_selector();
    selector.record_heartbeat(at(1000));
    selector.record_heartbeat(at(0));
    assert_eq!(selector.decide(at(2100), false), StoreRole::Follower);
}

#[test]
fn a_process_that_slept_does_not_rely_on_what_it_heard_before() {
    let mut selector = new_selector();
    selector.record_heartbeat(at(0));
    assert_eq!(selector.decide(at(10), false), StoreRole::Follower);
    assert_eq!(selector.decide(at(5000), false), StoreRole::Prober);
}

#[test]
fn at_the_first_start_of_a_fleet_nobody_reads_before_it_knows_its_region() {
    let mut selector = new_selector().with_first_start(at(0));
    selector.record_member_change(at(900));
    assert_eq!(selector.decide(at(2099), true), StoreRole::Follower);
    assert_eq!(selector.decide(at(2100), true), StoreRole::Reader);
    let mut changing = new_selector().with_first_start(at(0));
    changing.record_member_change(at(2900));
    assert_ne!(changing.decide(at(2999), true), StoreRole::Reader);
    assert_eq!(changing.decide(at(3000), true), StoreRole::Reader);
}

#[test]
fn at_the_first_start_of_a_fleet_the_others_wait_for_their_readers_but_not_for_ever() {
    let mut selector = new_selector().with_first_start(at(0));
    assert_eq!(selector.decide(at(2699), false), StoreRole::Follower);
    assert_eq!(selector.decide(at(2700), false), StoreRole::Prober, "no heartbeat has arrived");
    let mut with_heartbeat = new_selector().with_first_start(at(0));
    with_heartbeat.record_heartbeat(at(2500));
    assert_eq!(with_heartbeat.decide(at(2700), false), StoreRole::Follower);
}

#[test]
fn a_follower_that_its_peers_do_not_serve_reads_at_once_and_stays_with_it_for_a_while() {
    let mut selector = new_selector();
    selector.record_heartbeat(at(0));
    assert_eq!(selector.decide(at(1), false), StoreRole::Follower);
    selector.record_pull_failed(at(2));
    assert_eq!(selector.decide(at(3), false), StoreRole::Reader, "although the heartbeat is recent");
    selector.record_heartbeat(at(9900));
    assert_eq!(selector.decide(at(9950), false), StoreRole::Reader);
    assert_eq!(selector.decide(at(10_003), false), StoreRole::Follower);
}

#[test]
fn a_reader_asks_peers_for_a_large_configuration_only_when_the_store_does_not_serve_it_in_time() {
    let mut selector = new_selector();
    assert_eq!(selector.decide(at(SETTLED_AFTER_MS), true), StoreRole::Reader);
    let behind_since = Some(at(2000));
    assert!(!selector.should_pull_any_size(at(2000), true, behind_since));
    assert!(
        !selector.should_pull_any_size(at(2899), true, behind_since),
        "a store that many nodes read at once takes a while to answer"
    );
    assert!(selector.should_pull_any_size(at(2900), true, behind_since));
    assert!(selector.should_pull_any_size(at(2000), false, behind_since));
}
