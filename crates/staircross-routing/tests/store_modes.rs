//! The modes of a store reader: it reads once, follows a peer, only probes the store, or watches it.

mod common;

use common::mirror::at;
use common::store::{ReaderDriver, is_watch_after, set_mode};
use staircross_routing::MirrorUpdate;
use staircross_routing::store_reader::{Lane, ReadingMode, StoreCall, StoreReply};

#[test]
fn a_process_that_has_just_started_reads_once_and_asks_no_more() {
    let mut driver = ReaderDriver::new();
    set_mode(&mut driver, ReadingMode::Once);
    assert_eq!(
        driver.calls_within(0, Lane::Configuration),
        [StoreCall::List { lane: Lane::Configuration, after: None }]
    );
    driver.fail(Lane::Configuration);
    assert_eq!(
        driver.calls_within(400, Lane::Configuration),
        [StoreCall::List { lane: Lane::Configuration, after: None }],
        "a failed read is repeated until it is answered"
    );
    assert_eq!(driver.calls_within(0, Lane::Probe), [StoreCall::Probe], "a failed read starts the probe");
    driver.reply(Lane::Probe, StoreReply::Alive { revision: at(0) });
    driver.reply(Lane::Configuration, StoreReply::Items { update: MirrorUpdate::default(), at: at(4), next: None });
    assert_eq!(driver.calls_within(0, Lane::Searchers), [StoreCall::List { lane: Lane::Searchers, after: None }]);
    let page = StoreReply::Items { update: MirrorUpdate::default(), at: at(5), next: Some("k".into()) };
    driver.reply(Lane::Searchers, page);
    assert_eq!(
        driver.calls_within(0, Lane::SearcherPages),
        [StoreCall::List { lane: Lane::Searchers, after: Some("k".into()) }]
    );
    assert_eq!(driver.calls_within(0, Lane::Searchers), [], "a process that reads once doesn't watch");
    driver.reply(Lane::SearcherPages, StoreReply::Items { update: MirrorUpdate::default(), at: at(6), next: None });
    for lane in Lane::ALL {
        assert_eq!(driver.calls_within(60_000, lane), []);
    }
    set_mode(&mut driver, ReadingMode::Watching);
    let calls = driver.calls_within(0, Lane::Searchers);
    assert!(matches!(calls.as_slice(), [call] if is_watch_after(call, 5)), "{calls:?}");
}

#[test]
fn a_process_that_has_just_started_asks_a_store_that_is_away_by_probes_alone() {
    let mut driver = ReaderDriver::new();
    set_mode(&mut driver, ReadingMode::Once);
    let lanes = [Lane::Configuration, Lane::Searchers];
    for lane in lanes {
        assert_eq!(driver.calls_within(0, lane).len(), 1);
        driver.fail(lane);
    }
    assert_eq!(driver.calls_within(0, Lane::Probe), [StoreCall::Probe]);
    driver.fail(Lane::Probe);
    let mut probes = 0;
    for _ in 0..20 {
        for lane in lanes {
            assert_eq!(driver.calls_within(500, lane), [], "no listing, which is expensive, is requested");
        }
        let new_probes = driver.calls_within(0, Lane::Probe).len();
        probes += new_probes;
        (0..new_probes).for_each(|_| driver.fail(Lane::Probe));
    }
    assert!(probes >= 10, "{probes} probes in 20 s");
    driver.calls_within(1000, Lane::Probe);
    driver.reply(Lane::Probe, StoreReply::Alive { revision: at(0) });
    for lane in lanes {
        assert_eq!(
            driver.calls_within(0, lane),
            [StoreCall::List { lane, after: None }],
            "the lane is read at once when the store answers again"
        );
        driver.reply(lane, StoreReply::Items { update: MirrorUpdate::default(), at: at(4), next: None });
    }
    driver.calls_within(60_000, Lane::Probe);
    assert_eq!(driver.calls_within(60_000, Lane::Probe), [], "no probe is sent once everything is read");
}

#[test]
fn a_follower_reads_a_configuration_that_peers_do_not_pass_on_once_and_follows_on() {
    let mut driver = ReaderDriver::new();
    set_mode(&mut driver, ReadingMode::Following);
    [Lane::Configuration, Lane::Searchers].into_iter().for_each(|lane| driver.peer_report(lane, at(20)));
    let read_configuration = |driver: &mut ReaderDriver| {
        let mut actions = Vec::new();
        driver.reader.read_configuration(driver.now, &mut actions);
        driver.collect(actions);
        driver.calls_within(0, Lane::Configuration)
    };
    assert_eq!(read_configuration(&mut driver), [StoreCall::List { lane: Lane::Configuration, after: None }]);
    assert!(driver.reader.is_reading_once());
    assert_eq!(read_configuration(&mut driver), [], "the configuration is being read already");
    driver.reply(Lane::Configuration, StoreReply::Items { update: MirrorUpdate::default(), at: at(30), next: None });
    assert!(!driver.reader.is_reading_once());
    for lane in Lane::ALL {
        assert_eq!(driver.calls_within(60_000, lane), []);
    }
    assert_eq!(
        read_configuration(&mut driver),
        [StoreCall::List { lane: Lane::Configuration, after: None }],
        "each further order reads the configuration again"
    );
}

#[test]
fn what_a_peer_has_told_meanwhile_is_not_read() {
    let mut driver = ReaderDriver::new();
    set_mode(&mut driver, ReadingMode::Once);
    driver.calls_within(0, Lane::Searchers);
    driver.fail(Lane::Searchers);
    driver.peer_report(Lane::Searchers, at(7));
    assert_eq!(driver.calls_within(60_000, Lane::Searchers), []);
}

#[test]
fn a_reader_that_watches_from_where_a_peer_has_led_counts_as_served_once_the_store_answers_its_probe() {
    let mut driver = ReaderDriver::new();
    set_mode(&mut driver, ReadingMode::Following);
    [Lane::Configuration, Lane::Searchers].into_iter().for_each(|lane| driver.peer_report(lane, at(20)));
    set_mode(&mut driver, ReadingMode::Watching);
    for lane in [Lane::Configuration, Lane::Searchers] {
        let calls = driver.calls_within(0, lane);
        assert!(matches!(calls.as_slice(), [call] if is_watch_after(call, 20)), "{calls:?}");
    }
    assert!(!driver.reader.is_reachable(), "the store hasn't answered yet");
    driver.calls_within(0, Lane::Probe);
    driver.reply(Lane::Probe, StoreReply::Alive { revision: at(0) });
    assert!(driver.reader.is_reachable(), "the store has answered, so followers may rely on this reader");
    driver.fail(Lane::Searchers);
    assert!(!driver.reader.is_reachable());
}

#[test]
fn a_node_that_has_lost_its_readers_only_probes_until_it_must_read() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: at(10), next: None });
    set_mode(&mut driver, ReadingMode::Following);
    set_mode(&mut driver, ReadingMode::Probing);
    driver.calls.clear();
    let mut probes = 0;
    for _ in 0..100 {
        for _ in driver.calls_within(100, Lane::Probe) {
            probes += 1;
            driver.fail(Lane::Probe);
        }
        assert!(driver.calls.is_empty(), "{:?}", driver.calls);
    }
    assert!((10..=20).contains(&probes), "{probes} probes in 10 s");
    driver.calls_within(700, Lane::Probe);
    driver.reply(Lane::Probe, StoreReply::Alive { revision: at(0) });
    assert_eq!(
        driver.calls_within(0, Lane::Searchers),
        [],
        "the node's readers may have reached the store too, so it reads nothing"
    );
    set_mode(&mut driver, ReadingMode::Watching);
    let calls = driver.calls_within(0, Lane::Searchers);
    assert!(matches!(calls.as_slice(), [call] if is_watch_after(call, 10)), "{calls:?}");
}

#[test]
fn a_follower_asks_nothing_and_goes_on_from_what_its_peer_told() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: at(10), next: None });
    assert_eq!(driver.calls_within(0, Lane::Searchers).len(), 1, "the reader watches");
    set_mode(&mut driver, ReadingMode::Following);
    driver.calls.clear();
    assert!(driver.cancelled.contains(&Lane::Searchers) && driver.cancelled.contains(&Lane::Probe));
    for lane in Lane::ALL {
        assert_eq!(driver.calls_within(60_000, lane), []);
    }
    driver.peer_report(Lane::Searchers, at(25));
    set_mode(&mut driver, ReadingMode::Watching);
    let calls = driver.calls_within(0, Lane::Searchers);
    assert!(matches!(calls.as_slice(), [call] if is_watch_after(call, 25)), "{calls:?}");
}
