//! Constructors of mirror updates and of the knowledge with which a node asks its peers.

use staircross_routing::{
    AcceptedConfiguration, CallerLimits, Mirror, MirrorItem, MirrorUpdate, PeerKnowledge, RouteDefinition, RouteTarget,
    RoutingDefinition, SearcherEntry, StoreEpoch, StoreRevision,
};
use std::sync::Arc;

/// Knowledge of a node that knows nothing and accepts a configuration of any size.
pub const NOTHING_KNOWN: PeerKnowledge = PeerKnowledge {
    revision: StoreRevision::NONE,
    version: 0,
    evacuations: StoreRevision::NONE,
    accepts: AcceptedConfiguration::Any,
};

/// Returns the revision of a store that tells no epoch.
pub fn at(count: u64) -> StoreRevision {
    StoreRevision::new(StoreEpoch::UNTOLD, count)
}

/// Returns the entry of a searcher of `books` in zone `a`.
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

/// Returns the item of a searcher that is in the store.
pub fn searcher(instance: &str, is_draining: bool) -> MirrorItem {
    MirrorItem::Searcher { entry: entry(instance, is_draining) }
}

/// Returns the item of a searcher whose entry was removed from the store.
pub fn searcher_gone(instance: &str) -> MirrorItem {
    MirrorItem::SearcherGone { instance: Arc::from(instance) }
}

/// Returns a configuration item of this version, without routes.
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

/// Returns a configuration item of version 5 with this number of routes.
pub fn configuration_with_routes(routes: usize) -> MirrorItem {
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

/// Returns an update of these items, each with its revision.
pub fn changes(items: Vec<(u64, MirrorItem)>) -> MirrorUpdate {
    let items = items.into_iter().map(|(count, item)| (at(count), item)).collect();
    MirrorUpdate { items, ..MirrorUpdate::default() }
}

/// Returns an update that holds all searchers of the store as of `revision`.
pub fn listing(revision: u64, items: Vec<(u64, MirrorItem)>) -> MirrorUpdate {
    let revision = at(revision);
    MirrorUpdate { is_complete_for_searchers: true, up_to: revision, newest: revision, ..changes(items) }
}

/// Returns the knowledge that a node with this mirror sends when it asks a peer for changes.
pub fn knowledge(mirror: &Mirror) -> PeerKnowledge {
    PeerKnowledge {
        revision: mirror.known_revision(),
        version: mirror.version(),
        evacuations: mirror.evacuations_revision(),
        accepts: AcceptedConfiguration::Any,
    }
}

/// Returns the ids of the searchers in the mirror.
pub fn searcher_ids(mirror: &Mirror) -> Vec<String> {
    mirror.searchers().map(|entry| entry.instance.to_string()).collect()
}
