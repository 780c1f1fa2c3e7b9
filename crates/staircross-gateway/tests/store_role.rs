//! Who reads the store in a region, and for how long others rely on it.

use staircross_gateway::store_role::{StoreRole, StoreRoleSelector};
use staircross_types::BootTime;
use std::time::Duration;

const SILENCE: Duration = Duration::from_millis(1200);
/// Time after which a node is taken to know its region.
const SETTLED: u64 = 960;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

/// A node that has just started.
fn started() -> StoreRoleSelector {
    StoreRoleSelector::new(at(0), SILENCE)
}

#[test]
fn a_node_that_has_just_started_reads_once_and_waits_to_know_its_region() {
    let mut keeper = started();
    assert_eq!(keeper.decide(at(0), true), StoreRole::Follower);
    assert_eq!(keeper.decide(at(SETTLED - 1), true), StoreRole::Follower);
    assert_eq!(keeper.decide(at(SETTLED), true), StoreRole::Reader);
}

#[test]
fn members_that_are_still_learned_of_put_that_off_but_not_for_long() {
    let mut patient = StoreRoleSelector::new(at(0), SILENCE * 4);
    patient.record_member_change(at(1000));
    assert_eq!(patient.decide(at(2199), true), StoreRole::Follower);
    assert_eq!(patient.decide(at(2200), true), StoreRole::Reader, "nobody else was learned of");
    let mut busy = started();
    busy.record_member_change(at(SETTLED - 10));
    assert_eq!(busy.decide(at(SETTLED), true), StoreRole::Reader, "news may not wait for ever");
}

#[test]
fn a_designated_node_reads_whatever_it_hears() {
    let mut keeper = started();
    keeper.record_heartbeat(at(SETTLED));
    assert_eq!(keeper.decide(at(SETTLED), true), StoreRole::Reader);
}

#[test]
fn a_follower_that_becomes_designated_reads_at_once() {
    let mut keeper = started();
    keeper.record_heartbeat(at(2000));
    assert_eq!(keeper.decide(at(2001), false), StoreRole::Follower);
    assert_eq!(keeper.decide(at(2002), true), StoreRole::Reader);
    assert_eq!(keeper.decide(at(2003), false), StoreRole::Follower, "its word is still fresh");
}

#[test]
fn silence_makes_a_follower_probe_and_a_store_that_answers_makes_it_read() {
    let mut keeper = started();
    keeper.record_heartbeat(at(0));
    assert_eq!(keeper.decide(at(1199), false), StoreRole::Follower);
    assert_eq!(keeper.decide(at(1200), false), StoreRole::Prober);
    assert_eq!(keeper.decide(at(9000), false), StoreRole::Prober, "a store that is away isn't read");
    keeper.record_probe_answered(at(9000));
    assert_eq!(keeper.decide(at(9395), false), StoreRole::Prober, "its readers find the store too, if they live");
    assert_eq!(keeper.decide(at(9397), false), StoreRole::Reader);
    keeper.record_heartbeat(at(9500));
    assert_eq!(keeper.decide(at(9600), false), StoreRole::Reader, "readers that come and go aren't relied on");
    keeper.record_heartbeat(at(19_300));
    assert_eq!(keeper.decide(at(19_400), false), StoreRole::Follower);
}

#[test]
fn a_node_reads_by_itself_well_within_the_time_that_news_may_take() {
    // The silence that is borne is 0.4 of that time.
    let bound = SILENCE.mul_f64(1.0 / 0.4);
    let mut keeper = started();
    let mut now = 0;
    while keeper.decide(at(now), false) != StoreRole::Reader {
        if keeper.role() == StoreRole::Prober {
            keeper.record_probe_answered(at(now));
        }
        now += 1;
    }
    assert!(Duration::from_millis(now) < bound.mul_f64(0.55), "after {now} ms of {bound:?}");
}

#[test]
fn a_sign_heard_while_probing_makes_it_follow_again_without_having_read() {
    let mut keeper = started();
    assert_eq!(keeper.decide(at(1200), false), StoreRole::Prober);
    keeper.record_probe_answered(at(5000));
    keeper.record_heartbeat(at(5100));
    assert_eq!(keeper.decide(at(5100), false), StoreRole::Follower);
    assert_eq!(keeper.decide(at(6300), false), StoreRole::Prober);
    assert_eq!(keeper.decide(at(6800), false), StoreRole::Prober, "the answer of the time before says nothing");
}

#[test]
fn an_older_sign_that_comes_late_changes_nothing() {
    let mut keeper = started();
    keeper.record_heartbeat(at(1000));
    keeper.record_heartbeat(at(0));
    assert_eq!(keeper.decide(at(2100), false), StoreRole::Follower);
}

#[test]
fn a_process_that_slept_does_not_rely_on_what_it_heard_before() {
    let mut keeper = started();
    keeper.record_heartbeat(at(0));
    assert_eq!(keeper.decide(at(10), false), StoreRole::Follower);
    assert_eq!(keeper.decide(at(5000), false), StoreRole::Prober);
}

#[test]
fn at_the_first_start_of_a_fleet_nobody_reads_before_it_knows_its_region() {
    let mut keeper = started().with_first_start(at(0));
    keeper.record_member_change(at(900));
    assert_eq!(keeper.decide(at(2099), true), StoreRole::Follower);
    assert_eq!(keeper.decide(at(2100), true), StoreRole::Reader);
    let mut busy = started().with_first_start(at(0));
    busy.record_member_change(at(2900));
    assert_ne!(busy.decide(at(2999), true), StoreRole::Reader);
    assert_eq!(busy.decide(at(3000), true), StoreRole::Reader);
}

#[test]
fn at_the_first_start_of_a_fleet_the_others_wait_for_their_readers_but_not_for_ever() {
    let mut keeper = started().with_first_start(at(0));
    assert_eq!(keeper.decide(at(2699), false), StoreRole::Follower);
    assert_eq!(keeper.decide(at(2700), false), StoreRole::Prober, "nobody has told anything");
    let mut told = started().with_first_start(at(0));
    told.record_heartbeat(at(2500));
    assert_eq!(told.decide(at(2700), false), StoreRole::Follower);
}

#[test]
fn a_follower_that_its_peers_do_not_serve_reads_at_once_and_stays_with_it_for_a_while() {
    let mut keeper = started();
    keeper.record_heartbeat(at(0));
    assert_eq!(keeper.decide(at(1), false), StoreRole::Follower);
    keeper.record_pull_failed(at(2));
    assert_eq!(keeper.decide(at(3), false), StoreRole::Reader, "although signs are fresh");
    keeper.record_heartbeat(at(9900));
    assert_eq!(keeper.decide(at(9950), false), StoreRole::Reader);
    assert_eq!(keeper.decide(at(10_003), false), StoreRole::Follower);
}

#[test]
fn a_reader_asks_peers_for_a_large_configuration_only_when_the_store_does_not_serve_it_in_time() {
    let mut keeper = started();
    assert_eq!(keeper.decide(at(SETTLED), true), StoreRole::Reader);
    let behind_since = Some(at(2000));
    assert!(!keeper.should_pull_any_size(at(2000), true, behind_since));
    assert!(!keeper.should_pull_any_size(at(2899), true, behind_since), "the store is being read by others too");
    assert!(keeper.should_pull_any_size(at(2900), true, behind_since));
    assert!(keeper.should_pull_any_size(at(2000), false, behind_since));
}
