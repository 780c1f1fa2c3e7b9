//! Drivers with one route to the service `books` and its three searchers.

use super::{Driver, definition, route, searcher};
use staircross_routing::RouteTarget;
use std::sync::Arc;

/// Returns a route to one service.
pub fn service_route(name: &str, service: &str) -> staircross_routing::RouteDefinition {
    route(name, RouteTarget::Service(Arc::from(service)))
}

/// Returns one searcher of `books` in each zone.
pub fn three_searchers() -> Vec<staircross_routing::SearcherEntry> {
    vec![searcher("s1", "books", "a"), searcher("s2", "books", "b"), searcher("s3", "books", "c")]
}

/// Returns a driver whose route `r` is idempotent, so that its requests may be repeated.
pub fn repeatable() -> Driver {
    Driver::with(definition(1, vec![service_route("r", "books")], &["books"]), three_searchers())
}

/// Returns a driver whose route `r` isn't idempotent, so that its requests may not be repeated.
pub fn unrepeatable() -> Driver {
    let mut only_once = service_route("r", "books");
    only_once.is_idempotent = false;
    Driver::with(definition(1, vec![only_once], &["books"]), three_searchers())
}
