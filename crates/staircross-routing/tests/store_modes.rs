//! The modes of a store reader: reading once, following a peer, only probing, and watching.

mod common;

use common::store::{Store, is_watch_after, set_mode};
use staircross_routing::MirrorUpdate;
use staircross_routing::store_reader::{Lane, ReadingMode, StoreCall, StoreReply};

#[test]
fn a_process_that_has_just_started_reads_once_and_asks_no_more() {
    let mut store = Store::new();
    set_mode(&mut store, ReadingMode::Once);
    assert_eq!(store.calls(0, Lane::Configuration), [StoreCall::List { lane: Lane::Configuration, after: None }]);
    store.fail(Lane::Configuration);
    assert_eq!(
        store.calls(400, Lane::Configuration),
        [StoreCall::List { lane: Lane::Configuration, after: None }],
        "a failed read is repeated until it is answered"
    );
    assert_eq!(store.calls(0, Lane::Probe), [StoreCall::Probe], "a failed read starts the probe");
    store.reply(Lane::Probe, StoreReply::Alive);
    store.reply(Lane::Configuration, StoreReply::Items { update: MirrorUpdate::default(), at: 4, next: None });
    assert_eq!(store.calls(0, Lane::Searchers), [StoreCall::List { lane: Lane::Searchers, after: None }]);
    let page = StoreReply::Items { update: MirrorUpdate::default(), at: 5, next: Some("k".into()) };
    store.reply(Lane::Searchers, page);
    assert_eq!(store.calls(0, Lane::Searchers), [StoreCall::List { lane: Lane::Searchers, after: Some("k".into()) }]);
    store.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: 6, next: None });
    for lane in Lane::ALL {
        assert_eq!(store.calls(60_000, lane), []);
    }
    set_mode(&mut store, ReadingMode::Watching);
    let calls = store.calls(0, Lane::Searchers);
    assert!(matches!(calls.as_slice(), [call] if is_watch_after(call, 5)), "{calls:?}");
}

#[test]
fn a_process_that_has_just_started_asks_a_store_that_is_away_by_probes_alone() {
    let mut store = Store::new();
    set_mode(&mut store, ReadingMode::Once);
    let lanes = [Lane::Configuration, Lane::Searchers];
    for lane in lanes {
        assert_eq!(store.calls(0, lane).len(), 1);
        store.fail(lane);
    }
    assert_eq!(store.calls(0, Lane::Probe), [StoreCall::Probe]);
    store.fail(Lane::Probe);
    let mut probes = 0;
    for _ in 0..20 {
        for lane in lanes {
            assert_eq!(store.calls(500, lane), [], "no expensive call is made");
        }
        let asked = store.calls(0, Lane::Probe).len();
        probes += asked;
        (0..asked).for_each(|_| store.fail(Lane::Probe));
    }
    assert!(probes >= 10, "{probes} probes in 20 s");
    store.calls(1000, Lane::Probe);
    store.reply(Lane::Probe, StoreReply::Alive);
    for lane in lanes {
        assert_eq!(
            store.calls(0, lane),
            [StoreCall::List { lane, after: None }],
            "the lane is read at once when the store answers again"
        );
        store.reply(lane, StoreReply::Items { update: MirrorUpdate::default(), at: 4, next: None });
    }
    store.calls(60_000, Lane::Probe);
    assert_eq!(store.calls(60_000, Lane::Probe), [], "no calls are made once everything is read");
}

#[test]
fn a_follower_reads_a_configuration_that_peers_do_not_pass_on_once_and_follows_on() {
    let mut store = Store::new();
    set_mode(&mut store, ReadingMode::Following);
    [Lane::Configuration, Lane::Searchers].iter().for_each(|lane| store.reader.on_peer_report(*lane, 20));
    let read_configuration = |store: &mut Store| {
        let mut actions = Vec::new();
        store.reader.read_configuration(store.now, &mut actions);
        store.take(actions);
        store.calls(0, Lane::Configuration)
    };
    assert_eq!(read_configuration(&mut store), [StoreCall::List { lane: Lane::Configuration, after: None }]);
    assert!(store.reader.is_reading_once());
    assert_eq!(read_configuration(&mut store), [], "the configuration is being read already");
    store.reply(Lane::Configuration, StoreReply::Items { update: MirrorUpdate::default(), at: 30, next: None });
    assert!(!store.reader.is_reading_once());
    for lane in Lane::ALL {
        assert_eq!(store.calls(60_000, lane), []);
    }
    assert_eq!(
        read_configuration(&mut store),
        [StoreCall::List { lane: Lane::Configuration, after: None }],
        "the next configuration is read too"
    );
}

#[test]
fn what_a_peer_has_told_meanwhile_is_not_read() {
    let mut store = Store::new();
    set_mode(&mut store, ReadingMode::Once);
    store.calls(0, Lane::Searchers);
    store.fail(Lane::Searchers);
    store.reader.on_peer_report(Lane::Searchers, 7);
    assert_eq!(store.calls(60_000, Lane::Searchers), []);
}

#[test]
fn a_reader_that_watches_from_where_a_peer_has_led_counts_as_served_once_the_store_answers_its_probe() {
    let mut store = Store::new();
    set_mode(&mut store, ReadingMode::Following);
    [Lane::Configuration, Lane::Searchers].iter().for_each(|lane| store.reader.on_peer_report(*lane, 20));
    set_mode(&mut store, ReadingMode::Watching);
    for lane in [Lane::Configuration, Lane::Searchers] {
        let calls = store.calls(0, lane);
        assert!(matches!(calls.as_slice(), [call] if is_watch_after(call, 20)), "{calls:?}");
    }
    assert!(!store.reader.is_reachable(), "the store hasn't answered yet");
    store.calls(0, Lane::Probe);
    store.reply(Lane::Probe, StoreReply::Alive);
    assert!(store.reader.is_reachable(), "followers may rely on this reader");
    store.fail(Lane::Searchers);
    assert!(!store.reader.is_reachable());
}

#[test]
fn a_node_that_has_lost_its_readers_only_probes_until_it_must_read() {
    let mut store = Store::new();
    store.calls(0, Lane::Searchers);
    store.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: 10, next: None });
    set_mode(&mut store, ReadingMode::Following);
    set_mode(&mut store, ReadingMode::Probing);
    store.calls.clear();
    let mut probes = 0;
    for _ in 0..100 {
        for _ in store.calls(100, Lane::Probe) {
            probes += 1;
            store.fail(Lane::Probe);
        }
        assert!(store.calls.is_empty(), "{:?}", store.calls);
    }
    assert!((10..=20).contains(&probes), "{probes} probes in 10 s");
    store.calls(700, Lane::Probe);
    store.reply(Lane::Probe, StoreReply::Alive);
    assert_eq!(
        store.calls(0, Lane::Searchers),
        [],
        "the node's readers may have reached the store too, so it reads nothing"
    );
    set_mode(&mut store, ReadingMode::Watching);
    let calls = store.calls(0, Lane::Searchers);
    assert!(matches!(calls.as_slice(), [call] if is_watch_after(call, 10)), "{calls:?}");
}

#[test]
fn a_follower_asks_nothing_and_goes_on_from_what_its_peer_told() {
    let mut store = Store::new();
    store.calls(0, Lane::Searchers);
    store.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: 10, next: None });
    assert_eq!(store.calls(0, Lane::Searchers).len(), 1, "it watches");
    set_mode(&mut store, ReadingMode::Following);
    store.calls.clear();
    assert!(store.cancelled.contains(&Lane::Searchers) && store.cancelled.contains(&Lane::Probe));
    for lane in Lane::ALL {
        assert_eq!(store.calls(60_000, lane), []);
    }
    store.reader.on_peer_report(Lane::Searchers, 25);
    set_mode(&mut store, ReadingMode::Watching);
    let calls = store.calls(0, Lane::Searchers);
    assert!(matches!(calls.as_slice(), [call] if is_watch_after(call, 25)), "{calls:?}");
}
