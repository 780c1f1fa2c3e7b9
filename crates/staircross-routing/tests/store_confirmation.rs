//! Confirmations that a store reader is asked for because its process stood still.

mod common;

use common::mirror::at;
use common::store::{ReaderDriver, set_mode};
use staircross_routing::MirrorUpdate;
use staircross_routing::store_reader::{Lane, ReadingMode, StoreCall, StoreReply};
use std::time::Duration;

const LANES: [Lane; 2] = [Lane::Configuration, Lane::Searchers];

/// Asks the reader for a confirmation.
fn confirm(driver: &mut ReaderDriver) {
    let mut actions = Vec::new();
    driver.reader.confirm(driver.now, &mut actions);
    driver.collect(actions);
}

fn listing(next: Option<&str>) -> StoreReply {
    StoreReply::Items { update: MirrorUpdate::default(), at: at(4), next: next.map(str::to_owned) }
}

fn no_changes(revision: u64) -> StoreReply {
    StoreReply::Changes { update: MirrorUpdate::default(), at: at(revision) }
}

/// Returns a reader that has listed everything at revision 4 and watches.
fn watching_reader() -> ReaderDriver {
    let mut driver = ReaderDriver::new();
    for lane in LANES {
        driver.calls_within(0, lane);
        driver.reply(lane, listing(None));
        driver.calls_within(0, lane);
    }
    driver
}

/// Returns whether the calls are one watch from the revision that the store answers at once.
fn is_confirming_watch(calls: &[StoreCall], revision: u64) -> bool {
    matches!(calls, [StoreCall::Watch { after, wait, .. }]
        if *after == at(revision) && *wait < Duration::from_millis(10))
}

/// Guards against a view that counts as current by a watch from before the process stood still.
#[test]
fn a_reader_asks_both_lanes_anew_and_confirms_them_as_of_the_call() {
    let mut driver = watching_reader();
    confirm(&mut driver);
    assert_eq!(driver.cancelled, LANES, "the open watches are given up");
    let asked_at = driver.now;
    for lane in LANES {
        assert!(is_confirming_watch(&driver.calls_within(0, lane), 4));
    }
    driver.calls_within(20, Lane::Probe);
    LANES.iter().for_each(|lane| driver.reply(*lane, no_changes(9)));
    assert_eq!(driver.confirmed, LANES.map(|lane| (lane, asked_at)));
    for lane in LANES {
        let calls = driver.calls_within(0, lane);
        let is_usual =
            |call: &StoreCall| matches!(call, StoreCall::Watch { wait, .. } if *wait > Duration::from_secs(1));
        assert!(calls.len() == 1 && is_usual(&calls[0]), "{calls:?}");
    }
}

#[test]
fn a_follower_asks_the_store_once_and_follows_again() {
    let mut driver = watching_reader();
    set_mode(&mut driver, ReadingMode::Following);
    confirm(&mut driver);
    for lane in LANES {
        assert!(is_confirming_watch(&driver.calls_within(0, lane), 4));
        driver.reply(lane, no_changes(4));
    }
    assert_eq!(driver.confirmed.len(), 2);
    for lane in LANES {
        assert!(driver.calls_within(10_000, lane).is_empty());
    }
}

#[test]
fn a_store_without_the_history_is_listed_and_confirmed_as_of_the_first_page() {
    let mut driver = watching_reader();
    set_mode(&mut driver, ReadingMode::Following);
    confirm(&mut driver);
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::HistoryGone);
    driver.calls_within(10, Lane::Searchers);
    let asked_at = driver.now - Duration::from_millis(10);
    driver.reply(Lane::Searchers, listing(Some("m")));
    assert!(driver.confirmed.is_empty(), "further pages follow");
    assert_eq!(driver.calls_within(10, Lane::SearcherPages).len(), 1);
    driver.reply(Lane::SearcherPages, listing(None));
    assert_eq!(driver.confirmed, [(Lane::Searchers, asked_at)]);
}

#[test]
fn a_call_that_fails_is_made_again_until_the_confirmation_is_given_up() {
    let mut driver = watching_reader();
    set_mode(&mut driver, ReadingMode::Following);
    confirm(&mut driver);
    driver.calls_within(0, Lane::Configuration);
    driver.fail(Lane::Configuration);
    assert!(is_confirming_watch(&driver.calls_within(500, Lane::Configuration), 4));
    let mut actions = Vec::new();
    driver.reader.end_confirmation(driver.now, &mut actions);
    driver.collect(actions);
    assert!(driver.cancelled.ends_with(&[Lane::Configuration, Lane::Searchers]));
    driver.calls.clear();
    for lane in LANES {
        assert!(driver.calls_within(10_000, lane).is_empty(), "a follower makes no calls");
    }
}

/// Returns a follower that confirms by a listing with further pages, beside which a watch is open.
fn follower_in_a_listing() -> ReaderDriver {
    let mut driver = watching_reader();
    set_mode(&mut driver, ReadingMode::Following);
    confirm(&mut driver);
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::HistoryGone);
    driver.calls_within(10, Lane::Searchers);
    driver.reply(Lane::Searchers, listing(Some("m")));
    let beside = driver.calls_within(10, Lane::Searchers);
    assert!(matches!(beside[..], [StoreCall::Watch { wait, .. }] if wait > Duration::from_secs(1)), "{beside:?}");
    driver.cancelled.clear();
    driver
}

/// Guards against a call that is made while the one before is open, whose reply would be taken for its own: the watch beside
/// a listing stayed open when a follower had no more use for the lane.
#[test]
fn the_watch_beside_a_listing_is_given_up_with_the_lane() {
    let mut driver = follower_in_a_listing();
    driver.reply(Lane::SearcherPages, listing(None));
    driver.calls_within(1000, Lane::Searchers);
    assert!(driver.cancelled.contains(&Lane::Searchers));
}

/// Guards against a listing that counts as complete although its further pages were never read, because the role changed
/// between them.
#[test]
fn a_listing_that_a_change_of_role_drops_confirms_nothing() {
    let mut driver = follower_in_a_listing();
    set_mode(&mut driver, ReadingMode::Probing);
    assert!(driver.cancelled.contains(&Lane::Searchers), "the watch goes on from pages that are dropped");
    assert!(driver.confirmed.is_empty());
    let calls = driver.calls_within(0, Lane::Searchers);
    assert!(matches!(calls[..], [StoreCall::List { after: None, .. }]), "{calls:?}");
}

/// Guards against a listing that began before the process stood still and confirms what it knows afterwards.
#[test]
fn a_listing_in_progress_is_begun_anew() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Configuration);
    driver.reply(Lane::Configuration, listing(Some("op/m")));
    driver.calls_within(0, Lane::Configuration);
    driver.now = driver.now + Duration::from_millis(5000);
    confirm(&mut driver);
    let asked_at = driver.now;
    let calls = driver.calls_within(0, Lane::Configuration);
    assert!(matches!(calls[..], [StoreCall::List { after: None, .. }]), "{calls:?}");
    driver.reply(Lane::Configuration, listing(None));
    assert_eq!(driver.confirmed, [(Lane::Configuration, asked_at)]);
}
