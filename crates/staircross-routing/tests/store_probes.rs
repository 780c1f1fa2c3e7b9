//! The probe of a store reader: its intervals, the calls that wait while the store is unavailable, and the watches that
//! are renewed afterwards.

mod common;

use common::mirror::at;
use common::store::{ReaderDriver, is_watch_after};
use staircross_routing::store_reader::{Lane, StoreCall, StoreReply};
use staircross_routing::{MirrorItem, MirrorUpdate, StoreRevision};
use std::time::Duration;

#[test]
fn a_store_that_was_away_has_its_watches_renewed_when_it_is_back() {
    let mut driver = ReaderDriver::new();
    for lane in [Lane::Configuration, Lane::Searchers] {
        driver.calls_within(0, lane);
        driver.reply(lane, StoreReply::Items { update: MirrorUpdate::default(), at: at(4), next: None });
        let calls = driver.calls_within(0, lane);
        assert!(is_watch_after(&calls[0], 4), "{calls:?}");
    }
    let probes = driver.calls_within(4000, Lane::Probe);
    assert_eq!(probes, [StoreCall::Probe], "at most one probe is open");
    driver.fail(Lane::Probe);
    assert!(driver.calls_within(600, Lane::Probe).contains(&StoreCall::Probe), "an unavailable store is probed often");
    driver.reply(Lane::Probe, StoreReply::Alive { revision: at(0) });
    for lane in [Lane::Configuration, Lane::Searchers] {
        let calls = driver.calls_within(0, lane);
        assert!(is_watch_after(&calls[0], 4), "{calls:?}");
        assert!(driver.cancelled.contains(&lane), "the call that got no reply is cancelled");
    }
}

#[test]
fn while_a_store_is_away_only_the_probe_asks_and_the_lanes_go_on_when_it_answers() {
    let mut driver = ReaderDriver::new();
    let lanes = [Lane::Configuration, Lane::Searchers];
    for lane in lanes {
        driver.calls_within(0, lane);
        driver.reply(lane, StoreReply::Items { update: MirrorUpdate::default(), at: at(4), next: None });
        driver.calls_within(0, lane);
    }
    driver.calls_within(4000, Lane::Probe);
    driver.fail(Lane::Probe);
    lanes.iter().for_each(|lane| driver.fail(*lane));
    let mut probes = 0;
    for _ in 0..100 {
        for _ in driver.calls_within(100, Lane::Probe) {
            probes += 1;
            driver.fail(Lane::Probe);
        }
        assert!(driver.calls.is_empty(), "a lane asks a store that doesn't answer its probe: {:?}", driver.calls);
    }
    assert!((15..=30).contains(&probes), "{probes} probes in 10 s");
    driver.calls_within(500, Lane::Probe);
    driver.reply(Lane::Probe, StoreReply::Alive { revision: at(0) });
    for lane in lanes {
        let calls = driver.calls_within(0, lane);
        assert!(is_watch_after(&calls[0], 4), "{calls:?}");
    }
}

#[test]
fn a_reader_that_others_rely_on_says_soon_that_a_store_which_was_away_serves_it_again() {
    let mut driver = ReaderDriver::new();
    let lanes = [Lane::Configuration, Lane::Searchers];
    driver.reader.set_has_followers(driver.now, true);
    for lane in lanes {
        driver.calls_within(0, lane);
        driver.reply(lane, StoreReply::Items { update: MirrorUpdate::default(), at: at(4), next: None });
        driver.calls_within(0, lane);
    }
    driver.calls_within(0, Lane::Probe);
    driver.fail(Lane::Probe);
    lanes.iter().for_each(|lane| driver.fail(*lane));
    assert!(!driver.calls_within(2000, Lane::Probe).is_empty());
    driver.reply(Lane::Probe, StoreReply::Alive { revision: at(0) });
    assert!(!driver.reader.is_reachable(), "the store hasn't shown yet that it holds the watches");
    lanes.iter().for_each(|lane| assert_eq!(driver.calls_within(0, *lane).len(), 1));
    assert!(
        !driver.calls_within(200, Lane::Probe).is_empty(),
        "the probe must come soon, since followers that wait longer read the store themselves"
    );
    driver.reply(Lane::Probe, StoreReply::Alive { revision: at(0) });
    assert!(driver.reader.is_reachable(), "the watches are held, though they return nothing while nothing changes");
}

#[test]
fn a_store_that_answers_is_probed_seldom_and_its_watches_are_left_alone() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: at(4), next: None });
    driver.calls_within(0, Lane::Searchers);
    let mut probes = 0;
    for _ in 0..100 {
        for _ in driver.calls_within(100, Lane::Probe) {
            probes += 1;
            driver.reply(Lane::Probe, StoreReply::Alive { revision: at(0) });
        }
    }
    assert!((3..=8).contains(&probes), "{probes} probes in 10 s");
    assert!(driver.calls_within(0, Lane::Searchers).is_empty() && driver.cancelled.is_empty());
}

#[test]
fn a_reader_whose_signs_others_rely_on_gives_them_more_often() {
    let mut driver = ReaderDriver::new();
    let mut probes_in_ten_seconds = |has_followers| {
        driver.reader.set_has_followers(driver.now, has_followers);
        let mut count = 0;
        for _ in 0..200 {
            for _ in driver.calls_within(50, Lane::Probe) {
                count += 1;
                driver.reply(Lane::Probe, StoreReply::Alive { revision: at(0) });
            }
        }
        count
    };
    let (alone, with_followers) = (probes_in_ten_seconds(false), probes_in_ten_seconds(true));
    assert!((4..=7).contains(&alone), "{alone} in ten seconds");
    assert!((16..=22).contains(&with_followers), "{with_followers} in ten seconds");
}

#[test]
fn the_first_sign_for_others_comes_at_once() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Probe);
    driver.reply(Lane::Probe, StoreReply::Alive { revision: at(0) });
    assert_eq!(driver.calls_within(300, Lane::Probe), [], "the usual interval is longer");
    driver.reader.set_has_followers(driver.now, true);
    assert_eq!(driver.calls_within(0, Lane::Probe).len(), 1);
}

/// Returns a reader that watches both lanes from revision 4.
fn watching() -> ReaderDriver {
    let mut driver = ReaderDriver::new();
    for lane in [Lane::Configuration, Lane::Searchers] {
        driver.calls_within(0, lane);
        driver.reply(lane, StoreReply::Items { update: MirrorUpdate::default(), at: at(4), next: None });
        assert!(is_watch_after(&driver.calls_within(0, lane)[0], 4));
    }
    driver
}

/// Lets the store answer the next probe with a revision.
fn probe(driver: &mut ReaderDriver, revision: u64) {
    assert_eq!(driver.calls_within(4000, Lane::Probe), [StoreCall::Probe]);
    driver.reply(Lane::Probe, StoreReply::Alive { revision: at(revision) });
}

/// Returns whether a call is a listing from the beginning.
fn is_listing(call: &StoreCall) -> bool {
    matches!(call, StoreCall::List { after: None, .. })
}

/// Answers the open listings with items up to a revision, and expects watches from there.
fn list_up_to(driver: &mut ReaderDriver, revision: u64, items: Vec<(StoreRevision, MirrorItem)>) {
    for lane in [Lane::Configuration, Lane::Searchers] {
        let update = MirrorUpdate { items: items.clone(), ..MirrorUpdate::default() };
        driver.reply(lane, StoreReply::Items { update, at: at(revision), next: None });
        assert!(is_watch_after(&driver.calls_within(1000, lane)[0], revision));
    }
}

/// Guards against watches whose connections are dead while the store answers probes on another connection, and against a
/// store that reports changes to watches late: a new watch would wait just as long, and the old one's reply is lost.
#[test]
fn watches_that_miss_a_change_which_a_probe_shows_are_replaced_by_listings_at_the_next_probe() {
    let mut driver = watching();
    probe(&mut driver, 5);
    assert_eq!(driver.cancelled, [], "the watches may be about to report the change");
    probe(&mut driver, 5);
    assert_eq!(driver.cancelled, [Lane::Configuration, Lane::Searchers]);
    for lane in [Lane::Configuration, Lane::Searchers] {
        assert!(is_listing(&driver.calls_within(0, lane)[0]));
    }
    list_up_to(&mut driver, 5, Vec::new());
}

/// Guards against listings without end where the store holds keys that nobody watches: a listing that shows no change is
/// followed by watches alone for a while.
#[test]
fn changes_of_other_keys_are_looked_for_by_one_listing_in_a_while() {
    let mut driver = watching();
    let began = driver.now;
    let mut listings = 0;
    for revision in 5..25 {
        probe(&mut driver, revision);
        for lane in [Lane::Configuration, Lane::Searchers] {
            let calls = driver.calls_within(0, lane);
            if calls.iter().any(is_listing) {
                listings += 1;
                driver.reply(lane, StoreReply::Items { update: MirrorUpdate::default(), at: at(revision), next: None });
                driver.calls_within(0, lane);
            }
        }
    }
    let periods = driver.now.since(began).as_secs() / 30 + 1;
    assert!(listings <= 2 * periods, "{listings} listings of two lanes in {periods} periods of 30 s");
}

/// Guards against a second change that is learned late because the first was looked for by a listing a moment ago.
#[test]
fn a_listing_that_shows_a_change_allows_the_next_one_at_once() {
    let mut driver = watching();
    for revision in [5, 6] {
        probe(&mut driver, revision);
        probe(&mut driver, revision);
        for lane in [Lane::Configuration, Lane::Searchers] {
            assert!(is_listing(&driver.calls_within(0, lane)[0]), "revision {revision}");
        }
        let gone = MirrorItem::SearcherGone { instance: "s-1".into() };
        list_up_to(&mut driver, revision, vec![(at(revision), gone)]);
    }
}

/// Guards against a reply that never arrives, because the watch is made anew before a slow store has answered it, and so
/// on: stale reads are answered at once, but a watch only after a second.
#[test]
fn a_watch_has_the_time_of_a_call_to_report_what_a_probe_shows() {
    let mut driver = watching();
    driver.reader.set_has_followers(driver.now, true);
    let shown_at = driver.now;
    while driver.now.since(shown_at) < Duration::from_millis(1100) {
        for _ in driver.calls_within(50, Lane::Probe) {
            driver.reply(Lane::Probe, StoreReply::Alive { revision: at(5) });
        }
    }
    assert_eq!(driver.cancelled, [], "a call may take 1.2 s");
    while driver.now.since(shown_at) < Duration::from_millis(2300) {
        for _ in driver.calls_within(50, Lane::Probe) {
            driver.reply(Lane::Probe, StoreReply::Alive { revision: at(5) });
        }
    }
    assert_eq!(driver.cancelled, [Lane::Configuration, Lane::Searchers], "both are made anew once");
}

/// Guards against a region whose followers all read the store because the readers' watches were cut or timed out: a watch
/// that was made anew and sent before an answered probe is held, though it returns nothing while nothing changes.
#[test]
fn a_watch_that_was_cut_counts_as_held_once_a_later_probe_is_answered() {
    let mut driver = watching();
    probe(&mut driver, 4);
    driver.fail(Lane::Searchers);
    assert!(!driver.reader.is_reachable());
    assert!(is_watch_after(&driver.calls_within(200, Lane::Searchers)[0], 4));
    probe(&mut driver, 4);
    assert!(driver.reader.is_reachable());
    driver.fail(Lane::Searchers);
    assert!(is_watch_after(&driver.calls_within(400, Lane::Searchers)[0], 4));
    probe(&mut driver, 4);
    assert!(!driver.reader.is_reachable(), "two in a row got no reply");
}

/// Guards against followers that trust a reader which the store turns away: it answers probes but refuses watches, and
/// takes longer for that than for a probe.
#[test]
fn a_watch_that_was_refused_is_not_held_before_it_is_answered() {
    let mut driver = watching();
    probe(&mut driver, 4);
    driver.reply(Lane::Searchers, StoreReply::Refused { status: 429 });
    assert!(is_watch_after(&driver.calls_within(200, Lane::Searchers)[0], 4));
    probe(&mut driver, 4);
    assert!(!driver.reader.is_reachable());
    driver.reply(Lane::Searchers, StoreReply::Changes { update: MirrorUpdate::default(), at: at(4) });
    assert!(driver.reader.is_reachable());
}

/// Guards against a long reply that never arrives whole: each time that it is under way, the watch is made anew for the
/// change that the reply brings.
#[test]
fn a_watch_whose_reply_is_arriving_is_left_alone() {
    let mut driver = watching();
    driver.reader.set_receiving(Lane::Configuration, true);
    (0..5).for_each(|_| probe(&mut driver, 5));
    driver.peer_report(Lane::Configuration, at(5));
    assert!(!driver.cancelled.contains(&Lane::Configuration));
    driver.reply(Lane::Configuration, StoreReply::Changes { update: MirrorUpdate::default(), at: at(5) });
    assert!(is_watch_after(&driver.calls_within(500, Lane::Configuration)[0], 5));
}

/// Guards against keys that are accepted after they were revoked, because a probe confirmed the configuration although
/// the dead connection of the watch had missed the change.
#[test]
fn a_probe_that_shows_an_unknown_change_does_not_confirm_the_configuration() {
    let mut driver = watching();
    probe(&mut driver, 4);
    assert!(driver.reader.knows_probed_revision());
    probe(&mut driver, 5);
    assert!(!driver.reader.knows_probed_revision());
    driver.reply(Lane::Configuration, StoreReply::Changes { update: MirrorUpdate::default(), at: at(5) });
    assert!(driver.reader.knows_probed_revision());
}

/// Guards against a change that a watch has missed and the report of the other watch hides.
#[test]
fn a_watch_that_has_reported_what_a_probe_shows_is_left_alone_and_the_other_is_asked() {
    let mut driver = watching();
    probe(&mut driver, 4);
    probe(&mut driver, 5);
    driver.reply(Lane::Searchers, StoreReply::Changes { update: MirrorUpdate::default(), at: at(5) });
    assert!(is_watch_after(&driver.calls_within(0, Lane::Searchers)[0], 5));
    (0..3).for_each(|_| probe(&mut driver, 5));
    assert_eq!(driver.cancelled, [Lane::Configuration]);
    assert!(is_listing(&driver.calls_within(0, Lane::Configuration)[0]));
    let listing = StoreReply::Items { update: MirrorUpdate::default(), at: at(5), next: None };
    driver.reply(Lane::Configuration, listing);
    assert!(is_watch_after(&driver.calls_within(0, Lane::Configuration)[0], 5));
    (0..3).for_each(|_| probe(&mut driver, 5));
    assert_eq!(driver.cancelled, [Lane::Configuration], "both have reported it");
}

/// Guards against calls of one lane for the changes of the other's items: the store counts its changes, and one that a lane
/// has reported wasn't missed by the other.
#[test]
fn changes_that_one_lane_has_reported_cost_the_other_no_call() {
    let mut driver = watching();
    for revision in 5..15 {
        let gone = MirrorItem::SearcherGone { instance: "s-1".into() };
        let update = MirrorUpdate { items: vec![(at(revision), gone)], ..MirrorUpdate::default() };
        driver.reply(Lane::Searchers, StoreReply::Changes { update, at: at(revision) });
        driver.calls_within(1000, Lane::Searchers);
        (0..2).for_each(|_| probe(&mut driver, revision));
    }
    assert_eq!(driver.cancelled, []);
    driver.reply(Lane::Searchers, StoreReply::Changes { update: MirrorUpdate::default(), at: at(15) });
    driver.calls_within(1000, Lane::Searchers);
    (0..2).for_each(|_| probe(&mut driver, 15));
    assert_eq!(driver.cancelled, [Lane::Configuration], "nobody has reported the change");
}

/// Guards against a listing of the configuration for each change that nobody has reported: after one without a change, the
/// lane asks with watches that are answered at once.
#[test]
fn changes_that_nobody_reports_cost_a_lane_short_watches_after_one_listing() {
    let mut driver = watching();
    let mut calls = Vec::new();
    for revision in 5..9 {
        driver.reply(Lane::Searchers, StoreReply::Changes { update: MirrorUpdate::default(), at: at(revision) });
        driver.calls_within(1000, Lane::Searchers);
        (0..2).for_each(|_| probe(&mut driver, revision));
        let reply = |call: &StoreCall| match call {
            StoreCall::List { .. } => {
                StoreReply::Items { update: MirrorUpdate::default(), at: at(revision), next: None }
            }
            _ => StoreReply::Changes { update: MirrorUpdate::default(), at: at(revision) },
        };
        for call in driver.calls_within(0, Lane::Configuration) {
            driver.reply(Lane::Configuration, reply(&call));
            calls.push(call);
            driver.calls_within(0, Lane::Configuration);
        }
    }
    let is_short = |call: &StoreCall| matches!(call, StoreCall::Watch { wait, .. } if wait.as_millis() < 10);
    assert!(is_listing(&calls[0]), "{calls:?}");
    assert!(calls.len() >= 3 && calls[1..].iter().all(is_short), "{calls:?}");
}

/// Guards against a call a probe where the store holds keys that nobody watches: its revision then always rises.
#[test]
fn changes_of_other_keys_renew_watches_at_every_second_probe_at_most() {
    let mut driver = watching();
    (5..25).for_each(|revision| {
        probe(&mut driver, revision);
        [Lane::Configuration, Lane::Searchers].into_iter().for_each(|lane| drop(driver.calls_within(0, lane)));
    });
    assert!(driver.cancelled.len() <= 20, "{} renewals of two watches in 20 probes", driver.cancelled.len());
}
