//! The store reader when the store has come back from an older copy: which calls it gives up, what it reads anew, and which
//! replies it doesn't use.

mod common;

use common::mirror::searcher;
use common::store::ReaderDriver;
use staircross_routing::store_reader::{Lane, StoreCall, StoreReply};
use staircross_routing::{MirrorItem, MirrorUpdate, StoreEpoch, StoreRevision};

const FORMER: StoreEpoch = StoreEpoch::new(1);
const PRESENT: StoreEpoch = StoreEpoch::new(2);
const READING: [Lane; 2] = [Lane::Configuration, Lane::Searchers];

fn items(epoch: StoreEpoch, items: Vec<(u64, MirrorItem)>) -> MirrorUpdate {
    let items = items.into_iter().map(|(count, item)| (StoreRevision::new(epoch, count), item)).collect();
    MirrorUpdate { items, ..MirrorUpdate::default() }
}

/// Returns the only or last page of a listing without items.
fn last_page(epoch: StoreEpoch, count: u64) -> StoreReply {
    StoreReply::Items { update: MirrorUpdate::default(), at: StoreRevision::new(epoch, count), next: None }
}

fn first_page(epoch: StoreEpoch, count: u64) -> StoreReply {
    let next = Some("servers/a".to_owned());
    StoreReply::Items { update: MirrorUpdate::default(), at: StoreRevision::new(epoch, count), next }
}

fn first_listing(lane: Lane) -> StoreCall {
    StoreCall::List { lane, after: None }
}

fn is_watch(calls: &[StoreCall]) -> bool {
    matches!(calls, [StoreCall::Watch { .. }])
}

/// Returns a reader that watches both lanes from revision 116 of the former epoch, and has answered a probe.
fn watching() -> ReaderDriver {
    let mut driver = ReaderDriver::new();
    for lane in READING {
        assert_eq!(driver.calls_within(0, lane), [first_listing(lane)]);
        driver.reply_in(FORMER, lane, last_page(FORMER, 116));
        assert!(is_watch(&driver.calls_within(0, lane)));
    }
    assert_eq!(driver.calls_within(0, Lane::Probe), [StoreCall::Probe]);
    let revision = StoreRevision::new(FORMER, 116);
    driver.reply_in(FORMER, Lane::Probe, StoreReply::Alive { revision });
    driver.learned.clear();
    driver
}

/// Guards against a configuration that is never heard of: a watch went on from a revision of before the return, which the
/// store had counted past again.
#[test]
fn what_a_watch_reports_in_a_later_epoch_is_not_believed_and_everything_is_listed_anew() {
    let mut driver = watching();
    let update = items(PRESENT, vec![(120, searcher("a", false))]);
    let at = StoreRevision::new(PRESENT, 120);
    driver.reply_in(PRESENT, Lane::Configuration, StoreReply::Changes { update, at });
    assert_eq!(driver.learned, [], "the changes before them are missing");
    assert_eq!(driver.cancelled, [Lane::Searchers]);
    for lane in READING {
        assert_eq!(driver.calls_within(0, lane), [first_listing(lane)]);
        driver.reply_in(PRESENT, lane, last_page(PRESENT, 121));
    }
    let up_to: Vec<StoreEpoch> =
        driver.learned.iter().map(|(_, update)| update.up_to.max(update.operator_up_to).epoch).collect();
    assert_eq!(up_to, [PRESENT, PRESENT]);
}

#[test]
fn any_reply_of_any_lane_begins_the_epoch() {
    let revision = StoreRevision::new(PRESENT, 104);
    let replies = [StoreReply::HistoryGone, StoreReply::Refused { status: 503 }, StoreReply::Refused { status: 429 }];
    for (lane, reply) in READING.into_iter().flat_map(|lane| replies.clone().map(|reply| (lane, reply))) {
        let mut driver = watching();
        driver.reply_in(PRESENT, lane, reply.clone());
        for lane in READING {
            assert_eq!(driver.calls_within(1500, lane), [first_listing(lane)], "after {reply:?}");
        }
    }
    let mut driver = watching();
    assert_eq!(driver.calls_within(4000, Lane::Probe), [StoreCall::Probe]);
    driver.reply_in(PRESENT, Lane::Probe, StoreReply::Alive { revision });
    for lane in READING {
        assert_eq!(driver.calls_within(0, lane), [first_listing(lane)], "after a probe");
    }
}

/// Guards against a view that goes back, or flaps, with a store that has two addresses of which one is behind.
#[test]
fn replies_of_a_former_epoch_change_nothing() {
    let mut driver = watching();
    driver.reply_in(PRESENT, Lane::Searchers, StoreReply::HistoryGone);
    for lane in READING {
        assert_eq!(driver.calls_within(0, lane), [first_listing(lane)]);
        driver.reply_in(FORMER, lane, last_page(FORMER, 130));
    }
    assert_eq!(driver.learned, []);
    assert_eq!(driver.reader.epoch(), PRESENT);
    assert!(!driver.reader.is_reachable(), "the store that is behind doesn't serve this node");
    for lane in READING {
        assert_eq!(driver.calls_within(1500, lane), [first_listing(lane)]);
        driver.reply_in(PRESENT, lane, last_page(PRESENT, 105));
    }
    assert_eq!(driver.learned.len(), 2);
}

#[test]
fn two_returns_in_a_row_are_two_epochs() {
    let mut driver = watching();
    for (number, count) in [(2, 104), (3, 90), (7, 80)] {
        let epoch = StoreEpoch::new(number);
        driver.reply_in(epoch, Lane::Searchers, StoreReply::HistoryGone);
        for lane in READING {
            assert_eq!(driver.calls_within(0, lane), [first_listing(lane)]);
            driver.reply_in(epoch, lane, last_page(epoch, count));
            assert!(is_watch(&driver.calls_within(0, lane)));
        }
        assert_eq!(driver.reader.epoch(), epoch);
    }
}

/// Guards against calls at each start of a process that are made twice.
#[test]
fn the_first_epoch_that_a_process_hears_of_gives_up_no_call() {
    let mut driver = ReaderDriver::new();
    let open = [Lane::Configuration, Lane::Searchers, Lane::Probe];
    open.into_iter().for_each(|lane| assert_eq!(driver.calls_within(0, lane).len(), 1));
    driver.reply_in(FORMER, Lane::Probe, StoreReply::Alive { revision: StoreRevision::new(FORMER, 116) });
    driver.reply_in(FORMER, Lane::Configuration, last_page(FORMER, 116));
    driver.reply_in(FORMER, Lane::Searchers, last_page(FORMER, 116));
    assert_eq!(driver.cancelled, []);
    assert_eq!(driver.learned.len(), 2);
}

/// Guards against a listing whose pages are of two epochs.
#[test]
fn a_listing_begins_anew_if_a_later_page_is_of_a_later_epoch() {
    for replying in [Lane::SearcherPages, Lane::Searchers] {
        let mut driver = ReaderDriver::new();
        driver.calls_within(0, Lane::Searchers);
        driver.reply_in(FORMER, Lane::Searchers, first_page(FORMER, 116));
        driver.calls_within(0, Lane::SearcherPages);
        assert!(is_watch(&driver.calls_within(0, Lane::Searchers)));
        match replying {
            Lane::SearcherPages => driver.reply_in(PRESENT, replying, last_page(PRESENT, 104)),
            _ => driver.reply_in(PRESENT, replying, StoreReply::HistoryGone),
        }
        let other = if replying == Lane::SearcherPages { Lane::Searchers } else { Lane::SearcherPages };
        assert_eq!(driver.cancelled, [other]);
        assert_eq!(driver.learned, []);
        assert_eq!(driver.calls_within(0, Lane::Searchers), [first_listing(Lane::Searchers)]);
        assert_eq!(driver.calls_within(0, Lane::SearcherPages), []);
        driver.reply_in(PRESENT, Lane::Searchers, last_page(PRESENT, 105));
        assert!(driver.learned[0].1.is_complete_for_searchers);
    }
}

/// Guards against a peer that is still in the former epoch and leads a reader past changes of the present one.
#[test]
fn a_peer_of_a_former_epoch_does_not_lead_the_watches() {
    let mut driver = watching();
    driver.reply_in(PRESENT, Lane::Searchers, StoreReply::HistoryGone);
    READING.into_iter().for_each(|lane| driver.peer_report(lane, StoreRevision::new(FORMER, 900)));
    for lane in READING {
        assert_eq!(driver.calls_within(0, lane), [first_listing(lane)]);
    }
}

#[test]
fn a_peer_of_a_later_epoch_leads_the_watch_of_its_report_and_the_other_lane_lists_anew() {
    let mut driver = watching();
    let reached = StoreRevision::new(PRESENT, 104);
    driver.peer_report(Lane::Searchers, reached);
    assert_eq!(driver.cancelled, [Lane::Configuration, Lane::Searchers]);
    assert!(
        matches!(&driver.calls_within(0, Lane::Searchers)[..], [StoreCall::Watch { after, .. }] if *after == reached)
    );
    assert_eq!(driver.calls_within(0, Lane::Configuration), [first_listing(Lane::Configuration)]);
}
