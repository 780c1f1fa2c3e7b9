//! Evacuations of zones in a mirror: how the store and peers begin and end them.

mod common;

use common::mirror::{
    NOTHING_KNOWN, at, changes, configuration, configuration_with_routes, knowledge, listing, searcher,
};
use staircross_routing::state::mirror::MirrorChanges;
use staircross_routing::{AcceptedConfiguration, Mirror, MirrorItem, MirrorUpdate, PeerKnowledge};
use std::sync::Arc;

fn evacuation(zone: &str, is_active: bool) -> MirrorItem {
    MirrorItem::Evacuation { zone: Arc::from(zone), is_active }
}

fn zones(changes: &MirrorChanges) -> Option<Vec<String>> {
    let zones = changes.evacuated.as_ref()?;
    Some(zones.iter().map(|zone| zone.to_string()).collect())
}

#[test]
fn evacuations_are_told_once_and_older_news_of_them_changes_nothing() {
    let mut mirror = Mirror::default();
    assert_eq!(zones(&mirror.merge(changes(vec![(20, evacuation("a", true))]))), Some(vec!["a".to_owned()]));
    assert_eq!(zones(&mirror.merge(changes(vec![(20, evacuation("a", true))]))), None);
    assert_eq!(zones(&mirror.merge(changes(vec![(15, evacuation("a", false))]))), None);
    assert_eq!(zones(&mirror.merge(changes(vec![(22, evacuation("a", false))]))), Some(Vec::new()));
    assert_eq!(zones(&mirror.merge(changes(vec![(20, evacuation("a", true))]))), None, "its end is remembered");
}

#[test]
fn a_whole_reading_ends_evacuations_that_it_does_not_list() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(20, evacuation("a", true)), (21, evacuation("b", true)), (40, evacuation("c", true))]));
    let items = vec![(21, evacuation("b", true))];
    let read = MirrorUpdate { all_evacuations_at: Some(at(30)), ..changes(items) };
    let reported = mirror.merge(read);
    assert_eq!(
        zones(&reported),
        Some(vec!["b".to_owned(), "c".to_owned()]),
        "the evacuation of `c` is newer than the listing"
    );
}

#[test]
fn a_peer_passes_on_beginnings_and_ends_of_evacuations_whatever_else_the_asker_knows() {
    let mut mirror = Mirror::default();
    mirror.merge(listing(46, vec![(45, searcher("s", false))]));
    mirror.merge(changes(vec![(10, configuration(3)), (47, evacuation("a", true))]));
    let mut peer = Mirror::default();
    peer.merge(mirror.changes_for(NOTHING_KNOWN));
    assert_eq!(peer.evacuations_revision(), at(47));
    mirror.merge(changes(vec![(60, evacuation("a", false))]));
    let reported = peer.merge(mirror.changes_for(knowledge(&peer)));
    assert_eq!(zones(&reported), Some(Vec::new()));
    assert_eq!(mirror.changes_for(knowledge(&peer)).items, [], "the peer already knows everything");
}

#[test]
fn an_evacuation_comes_with_a_configuration_that_is_too_large_to_be_passed_on() {
    let mut mirror = Mirror::default();
    mirror.merge(changes(vec![(10, configuration_with_routes(1000)), (12, evacuation("a", true))]));
    let update = mirror.changes_for(PeerKnowledge { accepts: AcceptedConfiguration::Small, ..NOTHING_KNOWN });
    assert_eq!(update.items, [(at(12), evacuation("a", true))]);
}

#[test]
fn an_evacuation_that_had_ended_by_a_whole_reading_is_not_begun_again_by_a_peers_older_word() {
    let mut mirror = Mirror::default();
    mirror.merge(MirrorUpdate { all_evacuations_at: Some(at(9)), ..changes(vec![(9, configuration(2))]) });
    let changes = mirror.merge(changes(vec![(5, evacuation("a", true))]));
    assert_eq!(zones(&changes), None, "the evacuation had ended by the listing");
    assert_eq!(
        zones(&mirror.merge(evacuation_update("a", 11))),
        Some(vec!["a".to_owned()]),
        "a later evacuation is effective"
    );
}

#[test]
fn a_peer_that_has_read_all_tells_of_evacuations_that_had_ended_before_it_heard_of_them() {
    let mut reader = Mirror::default();
    reader.merge(MirrorUpdate { all_evacuations_at: Some(at(9)), ..changes(vec![(9, configuration(2))]) });
    let mut asker = Mirror::default();
    asker.merge(changes(vec![(3, configuration(1)), (5, evacuation("a", true)), (12, evacuation("b", true))]));
    let update = reader.changes_for(knowledge(&asker));
    assert_eq!(
        zones(&asker.merge(update)),
        Some(vec!["b".to_owned()]),
        "the evacuation that began after the listing continues"
    );
    assert_eq!(asker.version(), 2);
}

/// Guards against a zone that stays evacuated at a node permanently. The node's watch continued from the newest change
/// that a peer knew, 22, although all changes were known only up to 20. So it never learned of the end at 21, which the
/// peer's listing had missed between two pages.
#[test]
fn a_watch_is_not_led_past_the_end_of_an_evacuation_that_a_peers_listing_missed() {
    // The first page was read at 20 and holds the evacuation of `a`, which ends at 21. The second page holds that of
    // `b`, which begins at 22.
    let mut reader = Mirror::default();
    reader.merge(MirrorUpdate {
        all_evacuations_at: Some(at(20)),
        operator_up_to: at(20),
        ..changes(vec![(3, configuration(1)), (5, evacuation("a", true)), (22, evacuation("b", true))])
    });
    let mut asker = Mirror::default();
    asker.merge(reader.changes_for(NOTHING_KNOWN));
    assert_eq!(asker.operator_up_to(), at(20), "its watch continues from the first page's revision");
    let ended = MirrorUpdate { operator_up_to: at(22), ..changes(vec![(21, evacuation("a", false))]) };
    reader.merge(ended);
    assert!(asker.evacuations_revision() < reader.evacuations_revision(), "the asker must notice that it is behind");
    let reported = asker.merge(reader.changes_for(knowledge(&asker)));
    assert_eq!(zones(&reported), Some(vec!["b".to_owned()]));
}

/// Guards against a node that asks its peers at each tick, permanently, and is sent nothing. The node ignored the end
/// of an evacuation from before its own reading, so peers that had received it seemed to know more.
#[test]
fn a_node_that_read_after_the_end_of_an_evacuation_counts_as_knowing_it() {
    let mut informed = Mirror::default();
    informed.merge(changes(vec![(3, configuration(1)), (5, evacuation("a", true)), (8, evacuation("a", false))]));
    let mut newcomer = Mirror::default();
    newcomer.merge(MirrorUpdate { all_evacuations_at: Some(at(9)), ..changes(vec![(3, configuration(1))]) });
    newcomer.merge(informed.changes_for(knowledge(&newcomer)));
    assert!(newcomer.evacuations_revision() >= informed.evacuations_revision());
}

/// Returns a listing of the store's evacuations as of `revision`.
fn evacuation_listing(revision: u64, items: Vec<(u64, MirrorItem)>) -> MirrorUpdate {
    MirrorUpdate { all_evacuations_at: Some(at(revision)), operator_up_to: at(revision), ..changes(items) }
}

/// Guards against a zone that stays evacuated at nodes that read the store just before the end of the evacuation, while
/// all others read it just after. Nobody had seen the end itself, so nobody seemed to know more than those nodes, and
/// they refused requests for want of searchers.
#[test]
fn the_end_of_an_evacuation_that_nobody_saw_reaches_the_nodes_that_saw_its_beginning() {
    let mut early = Mirror::default();
    early.merge(evacuation_listing(11, vec![(10, evacuation("a", true))]));
    let mut late = Mirror::default();
    late.merge(evacuation_listing(12, Vec::new()));
    assert!(late.evacuations_revision() < early.evacuations_revision(), "the late node asks the early one");
    assert_eq!(zones(&late.merge(early.changes_for(knowledge(&late)))), None, "the evacuation had ended");
    assert!(early.evacuations_revision() < late.evacuations_revision(), "the early node asks in turn");
    assert_eq!(zones(&early.merge(late.changes_for(knowledge(&early)))), Some(Vec::new()));
    assert_eq!(early.evacuations_revision(), late.evacuations_revision(), "neither asks again");
}

/// Guards against the same while another zone is evacuated, whose beginning is the newest change that both nodes know.
#[test]
fn the_end_of_an_evacuation_that_nobody_saw_is_asked_for_while_another_goes_on() {
    let other = (10, evacuation("b", true));
    let mut early = Mirror::default();
    early.merge(evacuation_listing(11, vec![(5, evacuation("a", true)), other.clone()]));
    let mut late = Mirror::default();
    late.merge(evacuation_listing(12, vec![other]));
    assert!(early.evacuations_revision() < late.evacuations_revision(), "the early node asks the late one");
    assert_eq!(zones(&early.merge(late.changes_for(knowledge(&early)))), Some(vec!["b".to_owned()]));
    assert_eq!(early.evacuations_revision(), late.evacuations_revision(), "neither asks again");
}

fn evacuation_update(zone: &str, revision: u64) -> MirrorUpdate {
    changes(vec![(revision, evacuation(zone, true))])
}
