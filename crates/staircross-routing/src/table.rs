//! Which route a request takes.

use crate::definition::RoutingDefinition;
use hashbrown::HashMap;
use std::sync::Arc;

/// A version of the configuration, ready for look-ups. Immutable: a request keeps the one it began with.
#[derive(Debug)]
pub struct RouteTable {
    definition: Arc<RoutingDefinition>,
    /// Per host, indices of its routes, longest prefix first.
    by_host: HashMap<Arc<str>, Vec<u32>>,
}

impl RouteTable {
    /// Indexes a definition.
    pub fn new(definition: Arc<RoutingDefinition>) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<u32>> = HashMap::new();
        for (index, route) in definition.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index as u32);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|index| {
                let route = &definition.routes[*index as usize];
                std::cmp::Reverse(route.path_prefix.len())
            });
        }
        RouteTable { definition, by_host }
    }

    /// The definition.
    pub fn definition(&self) -> &Arc<RoutingDefinition> {
        &self.definition
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.definition.version
    }

    /// Index of the route for a host (as the request names it, a port allowed) and a path.
    pub fn find_index(&self, host: &str, path: &str) -> Option<usize> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indices = match self.by_host.get(name) {
            Some(indices) => indices,
            None => self.by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        let routes = &self.definition.routes;
        let takes = |index: &&u32| path.starts_with(&*routes[**index as usize].path_prefix);
        indices.iter().find(takes).map(|index| *index as usize)
    }
}
