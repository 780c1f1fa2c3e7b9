//! Updates of a mirror, as tests write them, and what a mirror asks of its peers.

use staircross_routing::{
    AcceptedConfiguration, CallerLimits, Mirror, MirrorItem, MirrorUpdate, PeerKnowledge, RouteDefinition, RouteTarget,
    RoutingDefinition, SearcherEntry,
};
use std::sync::Arc;

/// What a peer asks with that knows nothing and takes a configuration of any size.
pub const NOTHING_KNOWN: PeerKnowledge =
    PeerKnowledge { revision: 0, version: 0, evacuations: 0, accepts: AcceptedConfiguration::Any };

/// The entry of a searcher of `books` in zone `a`.
pub fn entry(instance: &str, is_draining: bool) -> SearcherEntry {
    SearcherEntry {
        instance: Arc::from(instance),
        service: Arc::from("books"),
        address: "127.0.0.1:9000".parse().expect("a valid address"),
        zone: Arc::from("a"),
        slots: 5,
        is_draining,
        cold_ms: 0,
        born_ms: 0,
    }
}

/// That a searcher is in the store.
pub fn searcher(instance: &str, is_draining: bool) -> MirrorItem {
    MirrorItem::Searcher { entry: entry(instance, is_draining) }
}

/// That a searcher is no longer in the store.
pub fn gone(instance: &str) -> MirrorItem {
    MirrorItem::SearcherGone { instance: Arc::from(instance) }
}

/// A configuration without routes.
pub fn configuration(version: u64) -> MirrorItem {
    let definition = RoutingDefinition {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        tenants: Vec::new(),
    };
    MirrorItem::Configuration { definition: Arc::new(definition) }
}

/// Version 5, with so many routes.
pub fn configuration_of(routes: usize) -> MirrorItem {
    let route = |index: usize| RouteDefinition {
        name: Arc::from(format!("r{index}")),
        host: Arc::from("h"),
        path_prefix: Arc::from("/"),
        target: RouteTarget::Service(Arc::from("books")),
        is_idempotent: true,
        timeout_ms: 1,
        goal_ms: 1,
        max_attempts: 1,
        priority: 1,
        allowed_regions: Vec::new(),
        is_public: false,
    };
    let routes = (0..routes).map(route).collect();
    let definition = RoutingDefinition {
        version: 5,
        routes,
        services: Vec::new(),
        limits: CallerLimits::default(),
        tenants: Vec::new(),
    };
    MirrorItem::Configuration { definition: Arc::new(definition) }
}

/// An update of some items, each at its revision.
pub fn changes(items: Vec<(u64, MirrorItem)>) -> MirrorUpdate {
    MirrorUpdate { items, ..MirrorUpdate::default() }
}

/// An update that holds all searchers of the store as of a revision.
pub fn listing(at: u64, items: Vec<(u64, MirrorItem)>) -> MirrorUpdate {
    MirrorUpdate { items, is_complete_for_searchers: true, up_to: at, ..MirrorUpdate::default() }
}

/// What a node with this mirror tells a peer that it asks.
pub fn known(mirror: &Mirror) -> PeerKnowledge {
    PeerKnowledge {
        revision: mirror.known_revision(),
        version: mirror.version(),
        evacuations: mirror.evacuations_revision(),
        accepts: AcceptedConfiguration::Any,
    }
}

/// The ids of the searchers that the mirror holds.
pub fn names(mirror: &Mirror) -> Vec<String> {
    mirror.searchers().map(|entry| entry.instance.to_string()).collect()
}
