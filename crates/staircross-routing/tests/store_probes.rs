//! The probe of a store reader: its intervals, the calls that wait while the store is unavailable, and the watches that
//! are renewed afterwards.

mod common;

use common::store::{Store, is_watch_after};
use staircross_routing::MirrorUpdate;
use staircross_routing::store_reader::{Lane, StoreCall, StoreReply};

#[test]
fn a_store_that_was_away_has_its_watches_renewed_when_it_is_back() {
    let mut store = Store::new();
    for lane in [Lane::Configuration, Lane::Searchers] {
        store.calls(0, lane);
        store.reply(lane, StoreReply::Items { update: MirrorUpdate::default(), at: 4, next: None });
        let calls = store.calls(0, lane);
        assert!(is_watch_after(&calls[0], 4), "{calls:?}");
    }
    let probes = store.calls(4000, Lane::Probe);
    assert_eq!(probes, [StoreCall::Probe], "at most one probe is open");
    store.fail(Lane::Probe);
    assert!(store.calls(600, Lane::Probe).contains(&StoreCall::Probe), "an unavailable store is probed often");
    store.reply(Lane::Probe, StoreReply::Alive);
    for lane in [Lane::Configuration, Lane::Searchers] {
        let calls = store.calls(0, lane);
        assert!(is_watch_after(&calls[0], 4), "{calls:?}");
        assert!(store.cancelled.contains(&lane), "the call that got no reply is cancelled");
    }
}

#[test]
fn while_a_store_is_away_only_the_probe_asks_and_the_lanes_go_on_when_it_answers() {
    let mut store = Store::new();
    let lanes = [Lane::Configuration, Lane::Searchers];
    for lane in lanes {
        store.calls(0, lane);
        store.reply(lane, StoreReply::Items { update: MirrorUpdate::default(), at: 4, next: None });
        store.calls(0, lane);
    }
    store.calls(4000, Lane::Probe);
    store.fail(Lane::Probe);
    lanes.iter().for_each(|lane| store.fail(*lane));
    let mut probes = 0;
    for _ in 0..100 {
        for _ in store.calls(100, Lane::Probe) {
            probes += 1;
            store.fail(Lane::Probe);
        }
        assert!(store.calls.is_empty(), "a lane asks a store that doesn't answer its probe: {:?}", store.calls);
    }
    assert!((15..=30).contains(&probes), "{probes} probes in 10 s");
    store.calls(500, Lane::Probe);
    store.reply(Lane::Probe, StoreReply::Alive);
    for lane in lanes {
        let calls = store.calls(0, lane);
        assert!(is_watch_after(&calls[0], 4), "{calls:?}");
    }
}

#[test]
fn a_reader_that_others_rely_on_says_soon_that_a_store_which_was_away_serves_it_again() {
    let mut store = Store::new();
    let lanes = [Lane::Configuration, Lane::Searchers];
    store.reader.set_has_followers(store.now, true);
    for lane in lanes {
        store.calls(0, lane);
        store.reply(lane, StoreReply::Items { update: MirrorUpdate::default(), at: 4, next: None });
        store.calls(0, lane);
    }
    store.calls(0, Lane::Probe);
    store.fail(Lane::Probe);
    lanes.iter().for_each(|lane| store.fail(*lane));
    assert!(!store.calls(2000, Lane::Probe).is_empty());
    store.reply(Lane::Probe, StoreReply::Alive);
    assert!(!store.reader.is_reachable(), "the store hasn't shown yet that it holds the watches");
    lanes.iter().for_each(|lane| assert_eq!(store.calls(0, *lane).len(), 1));
    assert!(
        !store.calls(200, Lane::Probe).is_empty(),
        "the probe must come soon, since followers that wait longer read the store themselves"
    );
    store.reply(Lane::Probe, StoreReply::Alive);
    assert!(store.reader.is_reachable(), "the watches are held, though they return nothing while nothing changes");
}

#[test]
fn a_store_that_answers_is_probed_seldom_and_its_watches_are_left_alone() {
    let mut store = Store::new();
    store.calls(0, Lane::Searchers);
    store.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: 4, next: None });
    store.calls(0, Lane::Searchers);
    let mut probes = 0;
    for _ in 0..100 {
        for _ in store.calls(100, Lane::Probe) {
            probes += 1;
            store.reply(Lane::Probe, StoreReply::Alive);
        }
    }
    assert!((3..=8).contains(&probes), "{probes} probes in 10 s");
    assert!(store.calls(0, Lane::Searchers).is_empty() && store.cancelled.is_empty());
}

#[test]
fn a_reader_whose_signs_others_rely_on_gives_them_more_often() {
    let mut store = Store::new();
    let mut signs = |has_followers| {
        store.reader.set_has_followers(store.now, has_followers);
        let mut count = 0;
        for _ in 0..200 {
            for _ in store.calls(50, Lane::Probe) {
                count += 1;
                store.reply(Lane::Probe, StoreReply::Alive);
            }
        }
        count
    };
    let (alone, relied_on) = (signs(false), signs(true));
    assert!((4..=7).contains(&alone), "{alone} in ten seconds");
    assert!((16..=22).contains(&relied_on), "{relied_on} in ten seconds");
}

#[test]
fn the_first_sign_for_others_comes_at_once() {
    let mut store = Store::new();
    store.calls(0, Lane::Probe);
    store.reply(Lane::Probe, StoreReply::Alive);
    assert_eq!(store.calls(300, Lane::Probe), [], "the usual interval is longer");
    store.reader.set_has_followers(store.now, true);
    assert_eq!(store.calls(0, Lane::Probe).len(), 1);
}
