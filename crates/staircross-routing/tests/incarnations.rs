//! Searchers that restart under the same id: what mirrors know of their starts.

mod common;

use common::incarnations::{draining, started};
use common::mirror::{NOTHING_KNOWN, changes, listing};
use proptest::prelude::*;
use staircross_routing::state::mirror::MirrorChanges;
use staircross_routing::{Mirror, MirrorItem, MirrorUpdate, PeerKnowledge, SearcherEntry};
use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a later start counts although the store holds an entry of an earlier one.
const MAX_DISPUTE: Duration = Duration::from_secs(2);

fn searcher_item(revision: u64, entry: SearcherEntry) -> (u64, MirrorItem) {
    (revision, MirrorItem::Searcher { entry })
}

fn removal(revision: u64, instance: &str) -> (u64, MirrorItem) {
    (revision, MirrorItem::SearcherGone { instance: Arc::from(instance) })
}

/// Returns the known searchers: id, start, whether draining.
fn known_searchers(mirror: &Mirror) -> Vec<(String, u64, bool)> {
    mirror.searchers().map(|entry| (entry.instance.to_string(), entry.born_ms, entry.is_draining)).collect()
}

fn one_serving(instance: &str, born_ms: u64) -> Vec<(String, u64, bool)> {
    vec![(instance.to_owned(), born_ms, false)]
}

/// Merges items into a mirror in this order, one update each. Returns the mirror and the changes of the last update.
fn merged_in_order(items: &[(u64, MirrorItem)], order: &[usize]) -> (Mirror, MirrorChanges) {
    let mut mirror = Mirror::default();
    let mut last = MirrorChanges::default();
    for index in order {
        last = mirror.merge(changes(vec![items[*index].clone()]));
    }
    (mirror, last)
}

#[test]
fn a_drain_of_the_earlier_start_that_is_written_late_leaves_the_later_one_serving() {
    let items = [
        searcher_item(5, started("s", 100)),
        searcher_item(6, started("s", 200)),
        searcher_item(7, draining("s", 100)),
    ];
    for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2], [1, 2, 0], [0, 2, 1], [2, 0, 1]] {
        assert_eq!(known_searchers(&merged_in_order(&items, &order).0), one_serving("s", 200), "{order:?}");
    }
}

#[test]
fn an_end_before_the_later_start_does_not_close_it_whichever_comes_first() {
    let items = [searcher_item(5, started("s", 100)), removal(6, "s"), searcher_item(7, started("s", 200))];
    for order in [[0, 1, 2], [2, 1, 0], [2, 0, 1], [1, 2, 0]] {
        assert_eq!(known_searchers(&merged_in_order(&items, &order).0), one_serving("s", 200), "{order:?}");
    }
}

#[test]
fn a_drain_of_the_later_start_is_not_undone_by_late_word_of_the_earlier() {
    let items = [searcher_item(6, draining("s", 200)), searcher_item(7, started("s", 100))];
    for order in [[0, 1], [1, 0]] {
        let (mirror, _) = merged_in_order(&items, &order);
        assert!(mirror.searchers().all(|entry| entry.is_draining && entry.born_ms == 200), "{order:?}");
    }
}

#[test]
fn an_earlier_start_written_after_the_end_of_the_later_one_holds() {
    // The clock was set back, so the present searcher states an earlier start than the one that ended.
    let items = [searcher_item(6, started("s", 200)), removal(7, "s"), searcher_item(8, started("s", 100))];
    for order in [[0, 1, 2], [2, 1, 0], [0, 2, 1], [2, 0, 1]] {
        assert_eq!(known_searchers(&merged_in_order(&items, &order).0), one_serving("s", 100), "{order:?}");
    }
}

#[test]
fn an_update_that_tells_a_drain_and_the_next_start_tells_a_searcher_that_serves() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![searcher_item(5, started("s", 100))]));
    let updates =
        mirror.merge(changes(vec![searcher_item(6, draining("s", 100)), searcher_item(7, started("s", 200))]));
    assert_eq!(updates.searchers, [started("s", 200)]);
    assert!(updates.removed_searchers.is_empty());
}

#[test]
fn starts_compare_with_each_other_and_with_no_clock() {
    let future = u64::MAX;
    let items = [
        searcher_item(5, started("s", 100)),
        searcher_item(6, started("s", future)),
        searcher_item(7, started("s", 0)),
    ];
    assert_eq!(
        known_searchers(&merged_in_order(&items, &[0, 1, 2]).0),
        one_serving("s", future),
        "an unknown start is the earliest"
    );
}

#[test]
fn a_node_that_missed_two_starts_knows_the_last() {
    let mut informed = Mirror::default();
    informed.merge(listing(5, vec![searcher_item(5, started("s", 100))]));
    let mut cut_off = Mirror::default();
    cut_off.merge(listing(5, vec![searcher_item(5, started("s", 100))]));
    informed.merge(changes(vec![
        searcher_item(6, draining("s", 100)),
        removal(7, "s"),
        searcher_item(8, started("s", 200)),
    ]));
    informed.merge(changes(vec![searcher_item(9, started("s", 300))]));
    let known = PeerKnowledge { revision: cut_off.known_revision(), ..NOTHING_KNOWN };
    let updates = cut_off.merge(informed.changes_for(known));
    assert_eq!(updates.searchers, [started("s", 300)]);
    assert!(updates.removed_searchers.is_empty());
}

#[test]
fn a_start_during_a_listing_holds_against_the_page_that_was_read_before_it() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![searcher_item(12, started("s", 200))]));
    mirror.merge(listing(10, vec![searcher_item(5, started("s", 100))]));
    assert_eq!(known_searchers(&mirror), one_serving("s", 200));
    mirror.merge(listing(11, Vec::new()));
    assert_eq!(
        known_searchers(&mirror),
        one_serving("s", 200),
        "a listing doesn't affect entries that were written after it"
    );
}

#[test]
fn a_peer_that_asks_for_all_is_told_ends_that_came_after_the_listing() {
    let mut informed = Mirror::default();
    informed.merge(listing(10, vec![searcher_item(4, started("s", 100))]));
    informed.merge(changes(vec![removal(13, "s")]));
    let mut other = Mirror::default();
    other.merge(changes(vec![searcher_item(12, started("s", 100))]));
    other.merge(informed.changes_for(NOTHING_KNOWN));
    assert!(known_searchers(&other).is_empty());
}

/// Returns what a mirror knows and reports when a dispute that the items have begun is over.
fn settled(items: &[(u64, MirrorItem)]) -> (Mirror, MirrorChanges) {
    let order: Vec<usize> = (0..items.len()).collect();
    let (mut mirror, _) = merged_in_order(items, &order);
    assert_eq!(mirror.settle_disputes(at(0), MAX_DISPUTE), MirrorChanges::default());
    let before = known_searchers(&mirror);
    assert_eq!(mirror.settle_disputes(at(1999), MAX_DISPUTE), MirrorChanges::default());
    assert_eq!(known_searchers(&mirror), before, "the later start counts for the time being");
    let changes = mirror.settle_disputes(at(2000), MAX_DISPUTE);
    (mirror, changes)
}

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

/// Guards against a drain that is never believed because another writer, a wrong clock or an entry without a start had
/// given the id a later start.
#[test]
fn the_entry_that_the_store_holds_counts_once_a_later_start_has_not_been_written_again() {
    for later in [u64::MAX, 200] {
        for earlier in [0, 100] {
            let items = [searcher_item(5, started("s", later)), searcher_item(6, draining("s", earlier))];
            let (mirror, changes) = settled(&items);
            assert_eq!(changes.searchers, [draining("s", earlier)], "{later} {earlier}");
            assert_eq!(known_searchers(&mirror), [("s".to_owned(), earlier, true)]);
        }
    }
}

/// Guards against a late drain of an earlier start that closes a later one which lives: it writes its entry again.
#[test]
fn a_later_start_that_is_written_again_ends_the_dispute() {
    let items = [
        searcher_item(5, started("s", 200)),
        searcher_item(6, draining("s", 100)),
        searcher_item(7, started("s", 200)),
    ];
    let (mirror, changes) = settled(&items);
    assert_eq!(changes, MirrorChanges::default());
    assert_eq!(known_searchers(&mirror), one_serving("s", 200));
}

/// Guards against an entry that counts again because a peer, whose dispute isn't over yet, sends it.
#[test]
fn an_entry_that_lost_a_dispute_stays_lost() {
    let items = [searcher_item(5, started("s", u64::MAX)), searcher_item(6, started("s", 100))];
    let (mut mirror, _) = settled(&items);
    let (peer, _) = merged_in_order(&items, &[0, 1]);
    mirror.merge(peer.changes_for(NOTHING_KNOWN));
    assert_eq!(known_searchers(&mirror), one_serving("s", 100));
    let mut peer = peer;
    peer.merge(mirror.changes_for(NOTHING_KNOWN));
    assert_eq!(known_searchers(&peer), one_serving("s", 100), "the peer learns the outcome");
}

#[derive(Clone, Copy, Debug)]
enum Change {
    Write { id: u8, born_ms: u64, is_draining: bool },
    Remove { id: u8 },
}

fn any_change() -> impl Strategy<Value = Change> {
    let write = (0..3_u8, 0..4_u64, any::<bool>()).prop_map(|(id, born_ms, is_draining)| Change::Write {
        id,
        born_ms,
        is_draining,
    });
    prop_oneof![3 => write, 1 => (0..3_u8).prop_map(|id| Change::Remove { id })]
}

fn searcher_id(id: u8) -> String {
    format!("s{id}")
}

/// Returns the store's events, and the listing after each of them.
fn events_and_listings(history: &[Change]) -> (Vec<(u64, MirrorItem)>, Vec<MirrorUpdate>) {
    let mut store: BTreeMap<u8, (u64, MirrorItem)> = BTreeMap::new();
    let (mut events, mut listings) = (Vec::new(), Vec::new());
    for (index, change) in history.iter().enumerate() {
        let revision = index as u64 + 1;
        match *change {
            Change::Write { id, born_ms, is_draining } => {
                let item = searcher_item(revision, SearcherEntry { is_draining, ..started(&searcher_id(id), born_ms) });
                store.insert(id, item.clone());
                events.push(item);
            }
            Change::Remove { id } => {
                store.remove(&id);
                events.push(removal(revision, &searcher_id(id)));
            }
        }
        listings.push(listing(revision, store.values().cloned().collect()));
    }
    (events, listings)
}

fn exchange_all(mirrors: &mut [Mirror]) {
    for _ in 0..2 {
        for from in 0..mirrors.len() {
            let whole = mirrors[from].changes_for(NOTHING_KNOWN);
            for (to, mirror) in mirrors.iter_mut().enumerate() {
                if to != from {
                    mirror.merge(whole.clone());
                }
            }
        }
    }
}

/// Returns for each id the latest start among the entries written since its last removal, and whether the last entry of
/// that start is draining.
fn expected_searchers(history: &[Change]) -> BTreeMap<String, (u64, bool)> {
    let mut known = BTreeMap::new();
    for change in history {
        match *change {
            Change::Write { id, born_ms, is_draining } => {
                let entry = known.entry(searcher_id(id)).or_insert((born_ms, is_draining));
                if born_ms >= entry.0 {
                    *entry = (born_ms, is_draining);
                }
            }
            Change::Remove { id } => {
                known.remove(&searcher_id(id));
            }
        }
    }
    known
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each node receives some of the store's changes, some twice and in any order, and occasionally reads a listing.
    /// Once all nodes have exchanged everything, they know the same, and it is what the store's changes say.
    #[test]
    fn nodes_agree_whatever_they_heard_in_which_order(
        history in prop::collection::vec(any_change(), 1..25),
        received in prop::collection::vec((0..3_usize, any::<prop::sample::Index>()), 0..60),
        listing_reads in prop::collection::vec((0..3_usize, 0..60_usize, any::<prop::sample::Index>()), 0..3),
    ) {
        let (events, listings) = events_and_listings(&history);
        let mut mirrors = [Mirror::default(), Mirror::default(), Mirror::default()];
        for (step, (node, index)) in received.iter().enumerate() {
            for (reader, _, at) in listing_reads.iter().filter(|(_, when, _)| *when == step) {
                mirrors[*reader].merge(listings[at.index(listings.len())].clone());
            }
            mirrors[*node].merge(changes(vec![events[index.index(events.len())].clone()]));
        }
        exchange_all(&mut mirrors);
        prop_assert_eq!(known_searchers(&mirrors[0]), known_searchers(&mirrors[1]));
        prop_assert_eq!(known_searchers(&mirrors[0]), known_searchers(&mirrors[2]));

        mirrors[1].merge(changes(events));
        exchange_all(&mut mirrors);
        let expected: Vec<(String, u64, bool)> = expected_searchers(&history)
            .into_iter()
            .map(|(id, (born_ms, is_draining))| (id, born_ms, is_draining))
            .collect();
        for mirror in &mirrors {
            prop_assert_eq!(known_searchers(mirror), expected.clone());
        }
    }
}
