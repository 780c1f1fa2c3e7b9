//! Which route a request takes.

use crate::configuration::definition::{RouteDefinition, RoutingDefinition};
use crate::configuration::rank::Rank;
use crate::configuration::tenants::{Credential, KeyDigest, KeyRefusal, TenantDefinition};
use crate::keys::TenantKey;
use hashbrown::HashMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A version of the configuration, ready for look-ups. Immutable: a request keeps the one it began with.
#[derive(Debug)]
pub struct RouteTable {
    definition: Arc<RoutingDefinition>,
    /// Per host, indices of its routes, longest prefix first.
    by_host: HashMap<Arc<str>, Vec<u32>>,
    by_key: HashMap<KeyDigest, TenantKey>,
    /// Different priorities of tenants, the most urgent first.
    tenant_priorities: Vec<u32>,
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
        let mut by_key = HashMap::new();
        for (index, tenant) in definition.tenants.iter().enumerate() {
            for key in &tenant.keys {
                // A key that two tenants hold is the first one's, at all nodes.
                by_key.entry(*key).or_insert(TenantKey(index as u32));
            }
        }
        let mut tenant_priorities: Vec<u32> = definition.tenants.iter().map(|tenant| tenant.priority).collect();
        tenant_priorities.sort_unstable();
        tenant_priorities.dedup();
        RouteTable { definition, by_host, by_key, tenant_priorities }
    }

    /// A tenant of this version.
    pub fn tenant(&self, key: TenantKey) -> Option<&TenantDefinition> {
        self.definition.tenants.get(key.0 as usize)
    }

    /// How urgent a request is. A request that is no tenant's comes after all tenants'.
    pub fn rank(&self, tenant: Option<TenantKey>, route: &RouteDefinition) -> Rank {
        let priority = tenant.and_then(|key| self.tenant(key)).map(|tenant| tenant.priority);
        let above = self.tenant_priorities.partition_point(|known| priority.is_none_or(|own| *known < own));
        Rank::new(above as u32, route.priority)
    }

    /// All ranks that requests may have.
    pub fn ranks(&self) -> BTreeSet<Rank> {
        let routes: BTreeSet<u32> = self.definition.routes.iter().map(|route| route.priority).collect();
        let tenants = 0..=self.tenant_priorities.len() as u32;
        tenants.flat_map(|tenant| routes.iter().map(move |route| Rank::new(tenant, *route))).collect()
    }

    /// Whose a request to a route is. `None` where it needs to be nobody's: there are no tenants, or the route is public.
    pub fn judge(&self, route: &RouteDefinition, credential: Credential) -> Result<Option<TenantKey>, KeyRefusal> {
        if self.definition.tenants.is_empty() {
            return Ok(None);
        }
        match credential {
            Credential::Missing if route.is_public => Ok(None),
            Credential::Missing => Err(KeyRefusal::Missing),
            Credential::Malformed => Err(KeyRefusal::Malformed),
            Credential::Key(digest) => self.by_key.get(&digest).copied().map(Some).ok_or(KeyRefusal::Unknown),
        }
    }

    /// Whether a request that was let in with a credential still would be: where there are tenants, one of them holds the key.
    pub fn holds(&self, credential: Credential) -> bool {
        let is_held = |digest| self.by_key.contains_key(&digest);
        self.definition.tenants.is_empty() || matches!(credential, Credential::Key(digest) if is_held(digest))
    }

    /// The definition.
    pub fn definition(&self) -> &Arc<RoutingDefinition> {
        &self.definition
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.definition.version
    }

    /// Regions that the routes of a host allow; empty where all of them may be served anywhere.
    ///
    /// Where routes differ, those that all restricted ones allow, or else all that any of them does.
    pub fn allowed_regions(&self, host: &str) -> Vec<Arc<str>> {
        let indices = self.by_host.get(host).map_or(&[][..], Vec::as_slice);
        let routes = || indices.iter().map(|index| &self.definition.routes[*index as usize]);
        let sets = || routes().map(|route| &route.allowed_regions).filter(|regions| !regions.is_empty());
        let mut any: Vec<Arc<str>> = sets().flatten().cloned().collect();
        any.sort_unstable();
        any.dedup();
        let common: Vec<Arc<str>> =
            any.iter().filter(|region| sets().all(|set| set.contains(region))).cloned().collect();
        if common.is_empty() { any } else { common }
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
