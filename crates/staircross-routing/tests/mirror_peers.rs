//! The changes that a mirror sends to a peer that asks: only what the peer lacks and accepts.

mod common;

use common::mirror::{
    NOTHING_KNOWN, at, changes, configuration, configuration_with_routes, knowledge, listing, searcher, searcher_gone,
    searcher_ids,
};
use staircross_routing::{AcceptedConfiguration, Mirror, MirrorItem, MirrorUpdate, PeerKnowledge, StoreRevision};

#[test]
fn a_peer_that_has_the_configuration_is_not_sent_it_again() {
    let mut mirror = Mirror::default();
    mirror.merge(listing(10, vec![(3, searcher("a", false))]));
    mirror.merge(changes(vec![(11, configuration(4)), (12, searcher_gone("a"))]));
    let has_configuration = |version| {
        let peer =
            PeerKnowledge { revision: at(10), version, evacuations: at(0), accepts: AcceptedConfiguration::Small };
        let items = mirror.changes_for(peer).items;
        items.iter().any(|(_, item)| matches!(item, MirrorItem::Configuration { .. }))
    };
    assert!(has_configuration(3));
    assert!(!has_configuration(4));
}

#[test]
fn a_large_configuration_is_passed_on_only_to_those_that_take_it() {
    let with_routes = |count| {
        let mut mirror = Mirror::default();
        mirror.merge(changes(vec![(11, configuration_with_routes(count)), (12, searcher("a", false))]));
        mirror
    };
    let items_sent = |mirror: &Mirror, accepts| {
        mirror.changes_for(PeerKnowledge { revision: at(0), version: 1, evacuations: at(0), accepts }).items.len()
    };
    assert_eq!(items_sent(&with_routes(200), AcceptedConfiguration::Small), 2);
    assert_eq!(items_sent(&with_routes(1000), AcceptedConfiguration::Small), 1, "only the searcher is sent");
    assert_eq!(
        items_sent(&with_routes(1000), AcceptedConfiguration::Any),
        2,
        "a node that can't read the store must get the configuration from a peer"
    );
    assert_eq!(
        items_sent(&with_routes(200), AcceptedConfiguration::None),
        1,
        "a peer that accepts no configuration is sent the searcher only"
    );
}

#[test]
fn only_a_mirror_that_has_a_whole_listing_passes_on_a_whole_one() {
    let mut partial = Mirror::default();
    partial.merge(changes(vec![(9, searcher("b", false))]));
    assert!(!partial.has_listing());
    let update = partial.changes_for(NOTHING_KNOWN);
    assert!(!update.is_complete_for_searchers);
    let mut newcomer = Mirror::default();
    newcomer.merge(update);
    assert_eq!(searcher_ids(&newcomer), ["b"]);
    assert!(!newcomer.has_listing(), "a partial update must not count as a listing");
    partial.merge(listing(12, vec![(3, searcher("a", false)), (9, searcher("b", false))]));
    newcomer.merge(partial.changes_for(NOTHING_KNOWN));
    assert!(partial.has_listing() && newcomer.has_listing());
}

#[test]
fn a_follower_that_asks_for_a_configuration_is_not_told_the_whole_listing_again() {
    let mut reader = Mirror::default();
    // Other items of the store changed after the last searcher, so the listing has a later revision.
    reader.merge(listing(90, vec![(45, searcher("s", false)), (44, searcher("t", false))]));
    reader.merge(changes(vec![(20, configuration(1))]));
    let mut follower = Mirror::default();
    follower.merge(reader.changes_for(NOTHING_KNOWN));
    reader.merge(changes(vec![(95, configuration(2))]));
    let update = reader.changes_for(knowledge(&follower));
    assert_eq!(update.items[0].0, at(95));
    assert!(matches!(update.items.as_slice(), [(_, MirrorItem::ConfigurationChanges { .. })]), "{:?}", update.items);
    assert!(!update.is_complete_for_searchers);
    follower.merge(update);
    assert_eq!(follower.version(), 2);
    reader.merge(changes(vec![(97, searcher_gone("s"))]));
    follower.merge(reader.changes_for(knowledge(&follower)));
    assert_eq!(searcher_ids(&follower), ["t"], "later changes are sent");
}

#[test]
fn a_node_without_a_listing_asks_for_everything() {
    let mut partial = Mirror::default();
    partial.merge(MirrorUpdate { up_to: at(60), ..changes(vec![(9, searcher("b", false))]) });
    assert_eq!(partial.known_revision(), StoreRevision::NONE, "other items may have changed before the known one");
}

/// Returns a mirror that read a listing while items changed. The first page was read at 20 and holds `a`, which drains
/// at 21. The second page holds `b`, which changes at 22.
fn listed_while_it_changed() -> Mirror {
    let mut mirror = Mirror::default();
    mirror.merge(listing(20, vec![(3, searcher("a", false)), (22, searcher("b", false))]));
    mirror
}

#[test]
fn a_change_between_the_pages_of_a_listing_is_asked_for() {
    let mut reader = listed_while_it_changed();
    let mut asker = Mirror::default();
    asker.merge(reader.changes_for(NOTHING_KNOWN));
    let watched =
        MirrorUpdate { up_to: at(22), ..changes(vec![(21, searcher("a", true)), (22, searcher("b", false))]) };
    reader.merge(watched);
    assert!(asker.newest_revision() < reader.newest_revision(), "the asker must notice that it is behind");
    asker.merge(reader.changes_for(knowledge(&asker)));
    assert!(asker.searchers().any(|entry| &*entry.instance == "a" && entry.is_draining));
}

#[test]
fn who_is_right_before_a_listing_is_told_which_searchers_it_left_out() {
    let mut reader = Mirror::default();
    // `b` was removed at 20, and the reader never knew it.
    reader.merge(listing(20, vec![(3, searcher("a", false))]));
    let mut asker = Mirror::default();
    asker.merge(listing(19, vec![(3, searcher("a", false)), (4, searcher("b", false))]));
    asker.merge(reader.changes_for(knowledge(&asker)));
    assert_eq!(searcher_ids(&asker), ["a"]);
}

#[test]
fn a_node_that_read_after_the_last_searcher_had_gone_counts_as_knowing_it() {
    let mut informed = Mirror::default();
    informed.merge(listing(10, vec![(3, searcher("a", false)), (4, searcher("b", false))]));
    informed.merge(MirrorUpdate { up_to: at(20), ..changes(vec![(20, searcher_gone("b"))]) });
    let mut newcomer = Mirror::default();
    newcomer.merge(listing(25, vec![(3, searcher("a", false))]));
    newcomer.merge(informed.changes_for(knowledge(&newcomer)));
    assert!(
        newcomer.newest_revision() >= informed.newest_revision(),
        "the newcomer would otherwise ask again and again"
    );
}

/// Guards against new work for a searcher that has left: nodes that read the store just before its entry went kept it,
/// while nobody had seen the removal itself, so nobody seemed to know more than those nodes.
#[test]
fn the_removal_of_a_searcher_that_nobody_saw_reaches_the_nodes_that_saw_its_entry() {
    for newest in [3, 10] {
        let mut early = Mirror::default();
        early.merge(listing(11, vec![(newest, searcher("a", false)), (5, searcher("b", false))]));
        let mut late = Mirror::default();
        late.merge(listing(12, vec![(newest, searcher("a", false))]));
        assert!(early.newest_revision() < late.newest_revision(), "the early node asks the late one");
        early.merge(late.changes_for(knowledge(&early)));
        assert_eq!(searcher_ids(&early), ["a"]);
        assert_eq!(early.newest_revision(), late.newest_revision(), "neither asks again");
    }
}

#[test]
fn a_listing_that_is_older_than_a_peers_brings_nobody_back() {
    let mut node = Mirror::default();
    node.merge(listing(20, vec![(3, searcher("a", false))]));
    let changed = node.merge(listing(19, vec![(3, searcher("a", false)), (4, searcher("b", false))]));
    assert_eq!(changed.searchers, [], "the searcher was removed by revision 20");
    assert_eq!(searcher_ids(&node), ["a"]);
    node.merge(listing(30, vec![(3, searcher("a", false)), (4, searcher("b", false))]));
    assert_eq!(searcher_ids(&node), ["a", "b"], "a newer listing of the store is effective");
}

/// Guards against a searcher that has left and comes back for ever: a peer that knew of an earlier removal, but not of the
/// last one, was asked twice. The first answer left a record of the removal, and the second one's entry was taken for a
/// later return.
#[test]
fn an_entry_from_a_peer_that_missed_its_removal_is_dropped_each_time() {
    let mut behind = Mirror::default();
    behind.merge(listing(15, vec![(3, searcher("a", false))]));
    behind.merge(changes(vec![(5, searcher_gone("a")), (9, searcher("a", false))]));
    let mut node = Mirror::default();
    node.merge(listing(20, vec![]));
    for _ in 0..2 {
        node.merge(behind.changes_for(knowledge(&node)));
        node.merge(behind.changes_for(NOTHING_KNOWN));
        assert_eq!(searcher_ids(&node), [] as [&str; 0]);
    }
}
