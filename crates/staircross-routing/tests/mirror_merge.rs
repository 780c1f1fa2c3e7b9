//! The merging of updates into a mirror, which goes by revision and not by order of arrival, and the changes that a
//! merge reports.

mod common;

use common::mirror::{NOTHING_KNOWN, changes, configuration, gone, known, listing, names, searcher};
use proptest::prelude::*;
use staircross_routing::Mirror;
use staircross_routing::state::mirror::MirrorChanges;
use std::sync::Arc;

#[test]
fn older_news_changes_nothing_whenever_it_comes() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(10, searcher("s", true))]));
    let late = mirror.merge(changes(vec![(9, searcher("s", false)), (8, gone("s"))]));
    assert!(late.searchers.is_empty() && late.gone.is_empty());
    assert!(mirror.searchers().all(|entry| entry.is_draining));
}

#[test]
fn an_end_is_remembered_so_that_older_entries_do_not_bring_it_back() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(5, searcher("s", false)), (7, gone("s"))]));
    mirror.merge(changes(vec![(6, searcher("s", false))]));
    assert!(names(&mirror).is_empty());
    let back = mirror.merge(changes(vec![(8, searcher("s", false))]));
    assert_eq!(back.searchers.len(), 1);
}

/// The knowledge of a listener that only receives the reported changes. The order in which it applies the ends and the
/// entries of one merge must not matter.
#[derive(Default)]
struct Listener {
    ends_last: bool,
    known: std::collections::BTreeMap<String, bool>,
}

impl Listener {
    fn with_ends_last(ends_last: bool) -> Self {
        Listener { ends_last, ..Listener::default() }
    }

    fn hear(&mut self, told: &MirrorChanges) {
        if self.ends_last {
            self.hear_entries(told);
            self.hear_ends(told);
        } else {
            self.hear_ends(told);
            self.hear_entries(told);
        }
    }

    fn hear_entries(&mut self, told: &MirrorChanges) {
        self.known.extend(told.searchers.iter().map(|entry| (entry.instance.to_string(), entry.is_draining)));
    }

    fn hear_ends(&mut self, told: &MirrorChanges) {
        for instance in &told.gone {
            self.known.remove(&**instance);
        }
    }
}

#[test]
fn an_entry_that_lapsed_and_came_back_in_one_update_is_there() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(5, searcher("s", false))]));
    let told = mirror.merge(changes(vec![(7, gone("s")), (8, searcher("s", false))]));
    assert!(told.gone.is_empty(), "the searcher is still in the store: {told:?}");
    assert_eq!(told.searchers.len(), 1);
}

#[test]
fn a_run_that_said_it_leaves_goes_on_leaving_whatever_the_same_update_says_later() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(5, searcher("s", false))]));
    let told = mirror.merge(changes(vec![(6, searcher("s", true)), (7, gone("s")), (8, searcher("s", false))]));
    assert!(told.gone.is_empty());
    assert!(told.searchers.iter().all(|entry| entry.is_draining), "{told:?}");
}

#[test]
fn an_entry_that_came_and_went_in_one_update_is_gone() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(5, searcher("s", false))]));
    let told = mirror.merge(changes(vec![(7, searcher("s", true)), (8, gone("s"))]));
    assert!(told.searchers.is_empty(), "the searcher was removed: {told:?}");
    assert_eq!(told.gone, [Arc::<str>::from("s")]);
}

#[test]
fn a_whole_listing_ends_what_it_leaves_out_but_not_what_is_newer() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(5, searcher("old", false)), (20, searcher("new", false))]));
    let told = mirror.merge(listing(15, vec![(3, searcher("kept", false))]));
    assert_eq!(told.gone, [Arc::<str>::from("old")]);
    assert_eq!(names(&mirror), ["kept", "new"]);
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
    informed.merge(changes(vec![(11, configuration(4)), (12, gone("a")), (13, searcher("c", true))]));
    let mut behind = Mirror::default();
    behind.merge(listing(10, vec![(3, searcher("a", false)), (9, searcher("b", false))]));
    behind.merge(informed.changes_for(known(&behind)));
    assert_eq!(names(&behind), names(&informed));
    assert_eq!(behind.version(), 4);
    let mut newcomer = Mirror::default();
    newcomer.merge(informed.changes_for(NOTHING_KNOWN));
    assert_eq!(names(&newcomer), names(&informed));
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
                    events.push((revision, gone(&format!("s{key}"))));
                }
            }
        }
        let truth: Vec<(String, bool)> = store.into_iter().collect();
        let told = |mirror: &Mirror| -> Vec<(String, bool)> {
            mirror.searchers().map(|entry| (entry.instance.to_string(), entry.is_draining)).collect()
        };

        let mut shuffled = Mirror::default();
        let mut listeners = [Listener::with_ends_last(true), Listener::with_ends_last(false)];
        for index in &order {
            let event = events[index.index(events.len())].clone();
            let updates = shuffled.merge(changes(vec![event]));
            listeners.iter_mut().for_each(|listener| listener.hear(&updates));
        }
        let updates = shuffled.merge(changes(events.clone()));
        listeners.iter_mut().for_each(|listener| listener.hear(&updates));
        prop_assert_eq!(&told(&shuffled), &truth);
        for listener in listeners {
            prop_assert_eq!(listener.known.len(), truth.len());
            for (instance, is_draining) in &truth {
                // A listener may continue to consider a searcher as draining once an entry said so.
                let heard = listener.known.get(instance);
                prop_assert!(heard.is_some_and(|heard| *heard || !is_draining), "{}: {:?}", instance, heard);
            }
        }

        // A mirror that has merged the changes in order up to some point gets the rest from a peer.
        let reached = cut.index(events.len());
        let mut follower = Mirror::default();
        follower.merge(changes(events[..reached].to_vec()));
        follower.merge(shuffled.changes_for(known(&follower)));
        prop_assert_eq!(&told(&follower), &truth);
    }
}
