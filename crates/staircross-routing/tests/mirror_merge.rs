//! The merging of updates into a mirror, which goes by revision and not by order of arrival, and the changes that a
//! merge reports.

mod common;

use common::mirror::{
    NOTHING_KNOWN, changes, configuration, knowledge, listing, searcher, searcher_gone, searcher_ids,
};
use proptest::prelude::*;
use staircross_routing::Mirror;
use staircross_routing::state::mirror::MirrorChanges;
use std::sync::Arc;

#[test]
fn older_news_changes_nothing_whenever_it_comes() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(10, searcher("s", true))]));
    let late = mirror.merge(changes(vec![(9, searcher("s", false)), (8, searcher_gone("s"))]));
    assert!(late.searchers.is_empty() && late.removed_searchers.is_empty());
    assert!(mirror.searchers().all(|entry| entry.is_draining));
}

#[test]
fn an_end_is_remembered_so_that_older_entries_do_not_bring_it_back() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(5, searcher("s", false)), (7, searcher_gone("s"))]));
    mirror.merge(changes(vec![(6, searcher("s", false))]));
    assert!(searcher_ids(&mirror).is_empty());
    let back = mirror.merge(changes(vec![(8, searcher("s", false))]));
    assert_eq!(back.searchers.len(), 1);
}

/// The knowledge of a listener that only receives the reported changes. The order in which it applies the removals and
/// the entries of one merge must not matter.
#[derive(Default)]
struct Listener {
    /// Whether removals are applied after entries.
    removals_last: bool,
    /// Known searchers by id, and whether they are draining.
    known: std::collections::BTreeMap<String, bool>,
}

impl Listener {
    fn with_removals_last(removals_last: bool) -> Self {
        Listener { removals_last, ..Listener::default() }
    }

    fn apply(&mut self, reported: &MirrorChanges) {
        if self.removals_last {
            self.apply_entries(reported);
            self.apply_removals(reported);
        } else {
            self.apply_removals(reported);
            self.apply_entries(reported);
        }
    }

    fn apply_entries(&mut self, reported: &MirrorChanges) {
        self.known.extend(reported.searchers.iter().map(|entry| (entry.instance.to_string(), entry.is_draining)));
    }

    fn apply_removals(&mut self, reported: &MirrorChanges) {
        for instance in &reported.removed_searchers {
            self.known.remove(&**instance);
        }
    }
}

#[test]
fn an_entry_that_lapsed_and_came_back_in_one_update_is_there() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(5, searcher("s", false))]));
    let reported = mirror.merge(changes(vec![(7, searcher_gone("s")), (8, searcher("s", false))]));
    assert!(reported.removed_searchers.is_empty(), "the searcher is still in the store: {reported:?}");
    assert_eq!(reported.searchers.len(), 1);
}

#[test]
fn a_run_that_said_it_leaves_goes_on_leaving_whatever_the_same_update_says_later() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(5, searcher("s", false))]));
    let reported =
        mirror.merge(changes(vec![(6, searcher("s", true)), (7, searcher_gone("s")), (8, searcher("s", false))]));
    assert!(reported.removed_searchers.is_empty());
    assert!(reported.searchers.iter().all(|entry| entry.is_draining), "{reported:?}");
}

#[test]
fn an_entry_that_came_and_went_in_one_update_is_gone() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(5, searcher("s", false))]));
    let reported = mirror.merge(changes(vec![(7, searcher("s", true)), (8, searcher_gone("s"))]));
    assert!(reported.searchers.is_empty(), "the searcher was removed: {reported:?}");
    assert_eq!(reported.removed_searchers, [Arc::<str>::from("s")]);
}

#[test]
fn a_whole_listing_ends_what_it_leaves_out_but_not_what_is_newer() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(5, searcher("old", false)), (20, searcher("new", false))]));
    let reported = mirror.merge(listing(15, vec![(3, searcher("kept", false))]));
    assert_eq!(reported.removed_searchers, [Arc::<str>::from("old")]);
    assert_eq!(searcher_ids(&mirror), ["kept", "new"]);
}

#[test]
fn versions_of_the_configuration_only_rise() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(10, configuration(7))]));
    let older = mirror.merge(changes(vec![(12, configuration(6))]));
    assert!(older.configuration.is_none());
    assert_eq!(mirror.version(), 7);
    assert!(mirror.merge(changes(vec![(11, configuration(9))])).configuration.is_some());
}

#[test]
fn a_peer_that_pulls_changes_knows_what_the_other_knows() {
    let mut informed = Mirror::default();
    informed.merge(listing(10, vec![(3, searcher("a", false)), (9, searcher("b", false))]));
    informed.merge(changes(vec![(11, configuration(4)), (12, searcher_gone("a")), (13, searcher("c", true))]));
    let mut behind = Mirror::default();
    behind.merge(listing(10, vec![(3, searcher("a", false)), (9, searcher("b", false))]));
    behind.merge(informed.changes_for(knowledge(&behind)));
    assert_eq!(searcher_ids(&behind), searcher_ids(&informed));
    assert_eq!(behind.version(), 4);
    let mut newcomer = Mirror::default();
    newcomer.merge(informed.changes_for(NOTHING_KNOWN));
    assert_eq!(searcher_ids(&newcomer), searcher_ids(&informed));
}

#[derive(Clone, Debug)]
enum Change {
    Write(u8, bool),
    Remove(u8),
}

fn any_change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (0..6_u8, any::<bool>()).prop_map(|(key, draining)| Change::Write(key, draining)),
        (0..6_u8).prop_map(Change::Remove),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Mirrors agree with the store, however changes are ordered, repeated or mixed with updates from peers.
    #[test]
    fn mirrors_agree_whatever_the_order(
        history in prop::collection::vec(any_change(), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..80),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut store: std::collections::BTreeMap<String, bool> = Default::default();
        let mut events = Vec::new();
        for (index, change) in history.iter().enumerate() {
            let revision = index as u64 + 1;
            match change {
                Change::Write(key, draining) => {
                    store.insert(format!("s{key}"), *draining);
                    events.push((revision, searcher(&format!("s{key}"), *draining)));
                }
                Change::Remove(key) => {
                    store.remove(&format!("s{key}"));
                    events.push((revision, searcher_gone(&format!("s{key}"))));
                }
            }
        }
        let expected: Vec<(String, bool)> = store.into_iter().collect();
        let entries_of = |mirror: &Mirror| -> Vec<(String, bool)> {
            mirror.searchers().map(|entry| (entry.instance.to_string(), entry.is_draining)).collect()
        };

        let mut shuffled = Mirror::default();
        let mut listeners = [Listener::with_removals_last(true), Listener::with_removals_last(false)];
        for index in &order {
            let event = events[index.index(events.len())].clone();
            let updates = shuffled.merge(changes(vec![event]));
            listeners.iter_mut().for_each(|listener| listener.apply(&updates));
        }
        let updates = shuffled.merge(changes(events.clone()));
        listeners.iter_mut().for_each(|listener| listener.apply(&updates));
        prop_assert_eq!(&entries_of(&shuffled), &expected);
        for listener in listeners {
            prop_assert_eq!(listener.known.len(), expected.len());
            for (instance, is_draining) in &expected {
                // A listener may continue to consider a searcher as draining once an entry said so.
                let is_considered_draining = listener.known.get(instance);
                prop_assert!(
                    is_considered_draining.is_some_and(|is_considered| *is_considered || !is_draining),
                    "{}: {:?}",
                    instance,
                    is_considered_draining
                );
            }
        }

        // A mirror that has merged the changes in order up to some point gets the rest from a peer.
        let reached = cut.index(events.len());
        let mut follower = Mirror::default();
        follower.merge(changes(events[..reached].to_vec()));
        follower.merge(shuffled.changes_for(knowledge(&follower)));
        prop_assert_eq!(&entries_of(&follower), &expected);
    }
}
