//! Deltas of the configuration, which peers are sent instead of the whole.

mod common;

use common::mirror::{NOTHING_KNOWN, at, changes, knowledge};
use proptest::prelude::*;
use staircross_routing::configuration::delta::DefinitionDelta;
use staircross_routing::{
    AcceptedConfiguration, CallerLimits, ColdStart, Mirror, MirrorItem, MirrorUpdate, PeerKnowledge, RouteDefinition,
    RouteTarget, RoutingDefinition, ServiceEntry,
};
use std::sync::Arc;

fn route(number: usize, timeout_ms: u64) -> RouteDefinition {
    RouteDefinition {
        name: Arc::from(format!("r{number}")),
        host: Arc::from("h"),
        path_prefix: Arc::from(format!("/{number}/")),
        target: RouteTarget::Service(Arc::from("books")),
        is_idempotent: true,
        timeout_ms,
        goal_ms: 1,
        max_attempts: 1,
        priority: 1,
        allowed_regions: Vec::new(),
        is_public: false,
    }
}

fn definition(version: u64, routes: Vec<RouteDefinition>) -> RoutingDefinition {
    let service = ServiceEntry { name: Arc::from("books"), max_connections: 4, cold_start: ColdStart::default() };
    RoutingDefinition { version, routes, services: vec![service], limits: CallerLimits::default(), tenants: Vec::new() }
}

/// Returns a configuration of a thousand routes, of which one depends on the version.
fn large_definition(version: u64) -> RoutingDefinition {
    definition(version, (0..1000).map(|number| route(number, if number == 7 { version } else { 1 })).collect())
}

fn configuration_update(revision: u64, definition: RoutingDefinition) -> MirrorUpdate {
    let items = vec![(revision, MirrorItem::Configuration { definition: Arc::new(definition) })];
    MirrorUpdate { operator_up_to: at(revision), ..changes(items) }
}

fn knowledge_of_version(version: u64) -> PeerKnowledge {
    PeerKnowledge { version, accepts: AcceptedConfiguration::Small, ..NOTHING_KNOWN }
}

fn sorted_by_name(mut definition: RoutingDefinition) -> RoutingDefinition {
    definition.routes.sort_by(|left, right| left.name.cmp(&right.name));
    definition
}

#[test]
fn a_peer_that_is_some_versions_behind_is_told_the_changes_of_a_large_configuration() {
    let mut sender = Mirror::default();
    (1..=4).for_each(|version| drop(sender.merge(configuration_update(version * 10, large_definition(version)))));
    let mut asker = Mirror::default();
    asker.merge(configuration_update(20, large_definition(2)));
    let update = sender.changes_for(knowledge_of_version(2));
    assert_eq!(update.items[0].0, at(40));
    assert!(matches!(&update.items[..], [(_, MirrorItem::ConfigurationChanges { deltas })] if deltas.len() == 2));
    let changes = asker.merge(update);
    assert_eq!(sorted_by_name((*changes.configuration.expect("news")).clone()), sorted_by_name(large_definition(4)));
    assert_eq!(asker.operator_up_to(), at(40));
    // The asker can send the deltas to the next node.
    let mut next = Mirror::default();
    next.merge(configuration_update(20, large_definition(2)));
    next.merge(asker.changes_for(knowledge_of_version(2)));
    assert_eq!(next.version(), 4);
}

#[test]
fn a_peer_that_is_too_far_behind_or_knows_nothing_is_not_told_changes() {
    let mut sender = Mirror::default();
    (1..=9).for_each(|version| drop(sender.merge(configuration_update(version * 10, large_definition(version)))));
    for version in [0, 1, 4] {
        assert!(sender.changes_for(knowledge_of_version(version)).items.is_empty(), "from version {version}");
    }
    assert_eq!(sender.changes_for(knowledge_of_version(5)).items.len(), 1);
}

#[test]
fn changes_that_do_not_fit_leave_what_is_known() {
    let mut sender = Mirror::default();
    (1..=2).for_each(|version| drop(sender.merge(configuration_update(version * 10, large_definition(version)))));
    let update = sender.changes_for(knowledge_of_version(1));
    // This mirror has another configuration under the same version.
    let mut other = Mirror::default();
    let mut routes = large_definition(1).routes;
    routes[3].timeout_ms = 77;
    other.merge(configuration_update(10, definition(1, routes)));
    assert!(other.merge(update.clone()).configuration.is_none());
    assert_eq!(other.version(), 1);
    let mut newer = Mirror::default();
    newer.merge(configuration_update(50, large_definition(5)));
    assert!(newer.merge(update.clone()).configuration.is_none(), "versions only rise");
    assert!(
        Mirror::default().merge(update).configuration.is_none(),
        "a mirror without a configuration can't apply a delta"
    );
}

#[test]
fn a_change_of_many_routes_is_no_small_change() {
    let mut sender = Mirror::default();
    sender.merge(configuration_update(10, definition(1, (0..20).map(|number| route(number, 1)).collect())));
    sender.merge(configuration_update(20, large_definition(2)));
    assert!(
        sender.changes_for(knowledge_of_version(1)).items.is_empty(),
        "the configuration is too large to be sent, and so is the delta"
    );
    sender.merge(configuration_update(30, large_definition(3)));
    assert_eq!(sender.changes_for(knowledge_of_version(2)).items.len(), 1);
}

#[test]
fn names_that_stand_twice_are_told_whole() {
    let twice = definition(2, vec![route(1, 1), route(1, 2)]);
    assert!(DefinitionDelta::between(&definition(1, vec![route(1, 1)]), &twice).is_none());
    assert!(DefinitionDelta::between(&twice, &definition(3, vec![route(1, 1)])).is_none());
}

fn routes() -> impl Strategy<Value = Vec<RouteDefinition>> {
    proptest::collection::btree_map(0..12_usize, 1..3_u64, 0..10)
        .prop_map(|routes| routes.into_iter().map(|(number, timeout_ms)| route(number, timeout_ms)).collect())
}

proptest! {
    /// The delta between any two versions leads from the one to the other, and from no other version.
    #[test]
    fn a_change_leads_from_one_version_to_the_other_alone(old in routes(), new in routes(), other in routes()) {
        let (old, new, other) = (definition(1, old), definition(2, new), definition(1, other));
        let delta = DefinitionDelta::between(&old, &new).expect("names are unique");
        prop_assert_eq!(delta.apply(&old).map(sorted_by_name), Some(sorted_by_name(new.clone())));
        if let Some(result) = delta.apply(&other) {
            prop_assert_eq!(sorted_by_name(result), sorted_by_name(new.clone()));
        }
        prop_assert!(delta.apply(&new).is_none());
    }
}

/// Guards against a configuration that a node never hears of: a peer's update without it counted as complete, so the
/// node's watch continued after it.
#[test]
fn an_update_that_leaves_the_newest_configuration_out_does_not_count_as_complete() {
    let mut sender = Mirror::default();
    sender.merge(configuration_update(30, large_definition(3)));
    let mut asker = Mirror::default();
    asker.merge(configuration_update(10, large_definition(1)));
    let update = sender.changes_for(PeerKnowledge { accepts: AcceptedConfiguration::None, ..knowledge(&asker) });
    asker.merge(update);
    assert_eq!((asker.version(), asker.operator_up_to()), (1, at(10)));
    asker.merge(sender.changes_for(knowledge(&asker)));
    assert_eq!((asker.version(), asker.operator_up_to()), (3, at(30)));
}
