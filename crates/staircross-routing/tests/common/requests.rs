//! One route to the service `books`, and its searchers.

use super::{Driver, definition, route, searcher};
use staircross_routing::RouteTarget;
use std::sync::Arc;

/// A route to one service.
pub fn service_route(name: &str, service: &str) -> staircross_routing::RouteDefinition {
    route(name, RouteTarget::Service(Arc::from(service)))
}

/// A searcher of `books` in each zone.
pub fn three_searchers() -> Vec<staircross_routing::SearcherEntry> {
    vec![searcher("s1", "books", "a"), searcher("s2", "books", "b"), searcher("s3", "books", "c")]
}

/// An engine whose route `r` may be repeated.
pub fn repeatable() -> Driver {
    Driver::with(definition(1, vec![service_route("r", "books")], &["books"]), three_searchers())
}

/// An engine whose route `r` may not be repeated.
pub fn unrepeatable() -> Driver {
    let mut only_once = service_route("r", "books");
    only_once.is_idempotent = false;
    Driver::with(definition(1, vec![only_once], &["books"]), three_searchers())
}
