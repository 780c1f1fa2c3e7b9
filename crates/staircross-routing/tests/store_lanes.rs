//! The lanes of a store reader. A lane lists its items and then watches from the revision of the listing, with pauses
//! between the calls.

mod common;

use common::mirror::{at, changes, configuration, listing, searcher, searcher_ids};
use common::store::{ReaderDriver, is_watch_after};
use staircross_routing::store_reader::{Lane, StoreCall, StoreReply};
use staircross_routing::{Mirror, MirrorUpdate, StoreRevision};

#[test]
fn a_lane_reads_once_then_watches_from_there() {
    let mut driver = ReaderDriver::new();
    assert_eq!(
        driver.calls_within(0, Lane::Configuration),
        [StoreCall::List { lane: Lane::Configuration, after: None }]
    );
    let update = changes(vec![(5, configuration(1))]);
    driver.reply(Lane::Configuration, StoreReply::Items { update, at: at(9), next: None });
    let calls = driver.calls_within(0, Lane::Configuration);
    assert!(is_watch_after(&calls[0], 9), "{calls:?}");
    driver.reply(Lane::Configuration, StoreReply::Changes { update: MirrorUpdate::default(), at: at(12) });
    let calls = driver.calls_within(0, Lane::Configuration);
    assert!(is_watch_after(&calls[0], 12), "without changes the lane watches again at once: {calls:?}");
}

#[test]
fn a_listing_of_several_pages_is_whole_only_with_the_last() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    let first_page = changes(vec![(3, searcher("a", false))]);
    let next = Some("servers/a".to_owned());
    driver.reply(Lane::Searchers, StoreReply::Items { update: first_page, at: at(20), next: next.clone() });
    assert!(driver.learned.is_empty());
    assert_eq!(driver.calls_within(0, Lane::SearcherPages), [StoreCall::List { lane: Lane::Searchers, after: next }]);
    let calls = driver.calls_within(0, Lane::Searchers);
    assert!(is_watch_after(&calls[0], 20), "changes since the first page are watched meanwhile: {calls:?}");
    let second_page = changes(vec![(22, searcher("b", false))]);
    driver.reply(Lane::SearcherPages, StoreReply::Items { update: second_page, at: at(25), next: None });
    let (_, whole_listing) = &driver.learned[0];
    assert!(whole_listing.is_complete_for_searchers);
    assert_eq!(
        (whole_listing.items.len(), whole_listing.up_to),
        (2, at(20)),
        "all changes are known only up to the first page's revision"
    );
    assert_eq!(whole_listing.newest, at(20), "searchers that it leaves out may have been removed just before");
    assert_eq!(driver.learned.len(), 1);
    assert_eq!(driver.calls_within(0, Lane::Searchers), [], "the watch stays open");
}

/// Guards against changes that count as completely known before the last page, and against asking for them again.
#[test]
fn changes_that_are_reported_between_pages_are_complete_with_the_last() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    let next = Some("servers/a".to_owned());
    let first_page = changes(vec![(3, searcher("a", false))]);
    driver.reply(Lane::Searchers, StoreReply::Items { update: first_page, at: at(20), next });
    driver.calls_within(0, Lane::SearcherPages);
    driver.calls_within(0, Lane::Searchers);
    let drain = changes(vec![(23, searcher("a", true))]);
    driver.reply(Lane::Searchers, StoreReply::Changes { update: drain.clone(), at: at(24) });
    assert_eq!(driver.learned, [(Lane::Searchers, drain)], "a change makes nothing completely known");
    driver.learned.clear();
    let second_page = changes(vec![(22, searcher("b", false))]);
    driver.reply(Lane::SearcherPages, StoreReply::Items { update: second_page, at: at(25), next: None });
    let complete_up_to: Vec<StoreRevision> = driver.learned.iter().map(|(_, update)| update.up_to).collect();
    assert_eq!(complete_up_to, [at(20), at(24)]);
    let calls = driver.calls_within(1000, Lane::Searchers);
    assert!(is_watch_after(&calls[0], 24), "{calls:?}");
}

/// Guards against a drain on a page that is believed only with the last page, where the searchers are in use.
#[test]
fn a_page_of_a_listing_that_is_made_anew_is_learned_at_once() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: at(10), next: None });
    driver.calls_within(0, Lane::Searchers);
    driver.learned.clear();
    driver.reply(Lane::Searchers, StoreReply::HistoryGone);
    driver.calls_within(0, Lane::Searchers);
    let first_page = changes(vec![(13, searcher("a", true))]);
    let next = Some("servers/a".to_owned());
    driver.reply(Lane::Searchers, StoreReply::Items { update: first_page.clone(), at: at(20), next });
    assert_eq!(driver.learned, [(Lane::Searchers, first_page)], "a page makes nothing completely known");
}

/// Guards against pages of a listing that is begun anew, because the store has forgotten its history again.
#[test]
fn pages_are_dropped_when_the_history_is_gone_again() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    let next = Some("servers/a".to_owned());
    let first_page = changes(vec![(3, searcher("a", false))]);
    driver.reply(Lane::Searchers, StoreReply::Items { update: first_page, at: at(20), next });
    driver.calls_within(0, Lane::SearcherPages);
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::HistoryGone);
    assert_eq!(driver.cancelled, [Lane::SearcherPages]);
    assert_eq!(driver.calls_within(0, Lane::Searchers), [StoreCall::List { lane: Lane::Searchers, after: None }]);
    assert_eq!(driver.calls_within(1000, Lane::SearcherPages), []);
}

/// Guards against a watch that is made again and again because all changes since its revision are too long for one answer.
#[test]
fn a_watch_whose_answer_is_too_long_is_followed_by_a_listing() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: at(10), next: None });
    assert!(is_watch_after(&driver.calls_within(0, Lane::Searchers)[0], 10));
    driver.answer_too_long(Lane::Searchers);
    assert_eq!(driver.calls_within(0, Lane::Searchers), [], "the next call waits as after any failure");
    let listing = StoreCall::List { lane: Lane::Searchers, after: None };
    assert_eq!(driver.calls_within(1000, Lane::Searchers), [listing]);
}

#[test]
fn after_news_a_lane_rests_so_that_a_storm_is_few_calls() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Configuration);
    driver.reply(
        Lane::Configuration,
        StoreReply::Items { update: changes(vec![(1, configuration(1))]), at: at(1), next: None },
    );
    let mut is_watching = !driver.calls_within(0, Lane::Configuration).is_empty();
    let mut calls = 0;
    for step in 0..30 {
        // The configuration changes every 100 ms, and an open watch returns each change at once.
        if is_watching {
            let revision = step + 2;
            let update = changes(vec![(revision, configuration(revision))]);
            driver.reply(Lane::Configuration, StoreReply::Changes { update, at: at(revision) });
            is_watching = false;
        }
        let new_calls = driver.calls_within(100, Lane::Configuration).len();
        calls += new_calls;
        is_watching |= new_calls > 0;
    }
    assert!(calls <= 8, "{calls} calls in 3 s of frequent changes");
    assert!(calls >= 4, "{calls} calls in 3 s: changes must not be learned seconds late");
}

#[test]
fn a_forgotten_history_is_read_anew() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: at(4), next: None });
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::HistoryGone);
    assert_eq!(driver.calls_within(0, Lane::Searchers), [StoreCall::List { lane: Lane::Searchers, after: None }]);
}

#[test]
fn a_broken_watch_goes_on_where_it_was() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: at(4), next: None });
    driver.calls_within(0, Lane::Searchers);
    driver.fail(Lane::Searchers);
    let calls = driver.calls_within(200, Lane::Searchers);
    assert!(is_watch_after(&calls[0], 4), "{calls:?}");
}

#[test]
fn a_store_that_refuses_is_asked_ever_more_seldom_but_for_ever() {
    let mut driver = ReaderDriver::new();
    let mut calls = 0;
    for _ in 0..600 {
        for _ in driver.calls_within(100, Lane::Configuration) {
            calls += 1;
            driver.reply(Lane::Configuration, StoreReply::Refused { status: 429 });
        }
    }
    assert!((55..130).contains(&calls), "{calls} calls in a minute");
    assert_eq!(driver.reachable, Vec::<bool>::new(), "the store was never reachable");
}

#[test]
fn what_a_peer_told_is_watched_from_there() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Configuration);
    driver.fail(Lane::Configuration);
    driver.peer_report(Lane::Configuration, at(33));
    let calls = driver.calls_within(2000, Lane::Configuration);
    assert!(is_watch_after(&calls[0], 33), "{calls:?}");
}

/// Guards against trusting a watch further that missed a change which a peer knows: its connection may be dead.
#[test]
fn a_watch_that_a_peer_has_overtaken_is_renewed() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::Items { update: changes(vec![]), at: at(20), next: None });
    assert!(is_watch_after(&driver.calls_within(0, Lane::Searchers)[0], 20));
    driver.peer_report(Lane::Searchers, at(20));
    assert_eq!(driver.cancelled, [], "the peer knows nothing that the watch missed");
    driver.peer_report(Lane::Searchers, at(21));
    assert_eq!(driver.cancelled, [Lane::Searchers]);
    assert!(is_watch_after(&driver.calls_within(0, Lane::Searchers)[0], 21));
}

/// Guards against the loss of all searchers on a listing's first page. A peer's answer that arrived between two pages
/// set the lane to the revision of the answer. The first page was dropped, and the last page was taken for the whole
/// listing.
#[test]
fn a_page_that_comes_after_a_peers_report_is_not_taken_for_the_whole() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    let next = Some("servers/a".to_owned());
    let first_page = changes(vec![(3, searcher("a", false))]);
    driver.reply(Lane::Searchers, StoreReply::Items { update: first_page, at: at(20), next });
    driver.calls_within(0, Lane::Searchers);
    driver.peer_report(Lane::Searchers, at(21));
    let second_page = changes(vec![(4, searcher("b", false))]);
    driver.reply(Lane::Searchers, StoreReply::Items { update: second_page, at: at(22), next: None });
    let mut mirror = Mirror::default();
    mirror.merge(listing(21, vec![(3, searcher("a", false)), (4, searcher("b", false))]));
    driver.learned.into_iter().for_each(|(_, update)| drop(mirror.merge(update)));
    assert_eq!(searcher_ids(&mirror), ["a", "b"]);
}
