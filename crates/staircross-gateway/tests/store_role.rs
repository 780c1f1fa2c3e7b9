//! Who reads the store in a zone, and for how long others rely on it.

use staircross_gateway::store_role::{RoleKeeper, StoreRole};
use staircross_types::BootTime;
use std::time::Duration;

const SILENCE: Duration = Duration::from_millis(1200);

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

#[test]
fn a_node_reads_until_it_hears_of_a_reader() {
    let mut keeper = RoleKeeper::new(SILENCE);
    assert_eq!(keeper.decide(at(0), false), StoreRole::Reader);
    keeper.note_sign(at(10));
    assert_eq!(keeper.decide(at(20), false), StoreRole::Follower);
}

#[test]
fn a_designated_node_reads_whatever_it_hears() {
    let mut keeper = RoleKeeper::new(SILENCE);
    keeper.note_sign(at(0));
    assert_eq!(keeper.decide(at(1), true), StoreRole::Reader);
}

#[test]
fn a_follower_that_becomes_designated_reads_at_once() {
    let mut keeper = RoleKeeper::new(SILENCE);
    keeper.note_sign(at(0));
    assert_eq!(keeper.decide(at(1), false), StoreRole::Follower);
    assert_eq!(keeper.decide(at(2), true), StoreRole::Reader);
    assert_eq!(keeper.decide(at(3), false), StoreRole::Follower, "its word is still fresh");
}

#[test]
fn silence_makes_a_follower_read_by_itself_and_stay_with_it_for_a_while() {
    let mut keeper = RoleKeeper::new(SILENCE);
    keeper.note_sign(at(0));
    assert_eq!(keeper.decide(at(1199), false), StoreRole::Follower);
    assert_eq!(keeper.decide(at(1200), false), StoreRole::Reader);
    keeper.note_sign(at(1300));
    assert_eq!(keeper.decide(at(1400), false), StoreRole::Reader, "readers that come and go aren't relied on");
    keeper.note_sign(at(11_200));
    assert_eq!(keeper.decide(at(11_300), false), StoreRole::Follower);
}

#[test]
fn an_older_sign_that_comes_late_changes_nothing() {
    let mut keeper = RoleKeeper::new(SILENCE);
    keeper.note_sign(at(1000));
    keeper.note_sign(at(0));
    assert_eq!(keeper.decide(at(2100), false), StoreRole::Follower);
}

#[test]
fn a_process_that_slept_does_not_rely_on_what_it_heard_before() {
    let mut keeper = RoleKeeper::new(SILENCE);
    keeper.note_sign(at(0));
    assert_eq!(keeper.decide(at(10), false), StoreRole::Follower);
    assert_eq!(keeper.decide(at(5000), false), StoreRole::Reader);
}

#[test]
fn at_the_first_start_of_a_fleet_nobody_reads_before_it_knows_its_zone() {
    let mut keeper = RoleKeeper::new(SILENCE).with_first_start(at(0));
    assert_eq!(keeper.decide(at(499), true), StoreRole::Follower);
    assert_eq!(keeper.decide(at(500), true), StoreRole::Reader);
}

#[test]
fn at_the_first_start_of_a_fleet_the_others_wait_for_their_readers_but_not_for_ever() {
    let mut keeper = RoleKeeper::new(SILENCE).with_first_start(at(0));
    assert_eq!(keeper.decide(at(1999), false), StoreRole::Follower);
    assert_eq!(keeper.decide(at(2000), false), StoreRole::Reader, "nobody has told anything");
    let mut told = RoleKeeper::new(SILENCE).with_first_start(at(0));
    told.note_sign(at(1500));
    assert_eq!(told.decide(at(2000), false), StoreRole::Follower);
}

#[test]
fn a_follower_that_its_peers_do_not_serve_reads_at_once_and_stays_with_it_for_a_while() {
    let mut keeper = RoleKeeper::new(SILENCE);
    keeper.note_sign(at(0));
    assert_eq!(keeper.decide(at(1), false), StoreRole::Follower);
    keeper.note_unserved(at(2));
    assert_eq!(keeper.decide(at(3), false), StoreRole::Reader, "although signs are fresh");
    keeper.note_sign(at(9900));
    assert_eq!(keeper.decide(at(9950), false), StoreRole::Reader);
    assert_eq!(keeper.decide(at(10_003), false), StoreRole::Follower);
}
