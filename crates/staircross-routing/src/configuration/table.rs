//! Look-ups of a request's route, tenant and rank in one version of the configuration.

use crate::configuration::definition::{RouteDefinition, RoutingDefinition};
use crate::configuration::rank::Rank;
use crate::configuration::tenants::{Credential, KeyDigest, KeyRefusal, TenantDefinition};
use crate::keys::TenantKey;
use hashbrown::HashMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A version of the configuration, indexed for look-ups. The table is immutable: a request keeps the table that was in
/// force when it arrived.
#[derive(Debug)]
pub struct RouteTable {
    definition: Arc<RoutingDefinition>,
    /// Indices of the routes of each host, the longest path prefix first.
    by_host: HashMap<Arc<str>, Vec<u32>>,
    by_key: HashMap<KeyDigest, TenantKey>,
    /// The different priorities of tenants, the most urgent first.
    tenant_priorities: Vec<u32>,
}

impl RouteTable {
    /// Creates the table of a definition.
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
                // A key that two tenants hold belongs to the first of them, on every node.
                by_key.entry(*key).or_insert(TenantKey(index as u32));
            }
        }
        let mut tenant_priorities: Vec<u32> = definition.tenants.iter().map(|tenant| tenant.priority).collect();
        tenant_priorities.sort_unstable();
        tenant_priorities.dedup();
        RouteTable { definition, by_host, by_key, tenant_priorities }
    }

    /// Returns a tenant of this version.
    pub fn tenant(&self, key: TenantKey) -> Option<&TenantDefinition> {
        self.definition.tenants.get(key.0 as usize)
    }

    /// Returns the rank of a request. A request without a tenant ranks below those of all tenants.
    pub fn rank(&self, tenant: Option<TenantKey>, route: &RouteDefinition) -> Rank {
        let priority = tenant.and_then(|key| self.tenant(key)).map(|tenant| tenant.priority);
        let above = self.tenant_priorities.partition_point(|known| priority.is_none_or(|own| *known < own));
        Rank::new(above as u32, route.priority)
    }

    /// Returns all ranks that requests may have.
    pub fn ranks(&self) -> BTreeSet<Rank> {
        let routes: BTreeSet<u32> = self.definition.routes.iter().map(|route| route.priority).collect();
        let tenants = 0..=self.tenant_priorities.len() as u32;
        tenants.flat_map(|tenant| routes.iter().map(move |route| Rank::new(tenant, *route))).collect()
    }

    /// Returns the tenant of a request to a route, or why its credential is refused. `None` means that the request is
    /// accepted without a tenant, because there are no tenants or because the route is public and no key was sent.
    pub fn authenticate(
        &self,
        route: &RouteDefinition,
        credential: Credential,
    ) -> Result<Option<TenantKey>, KeyRefusal> {
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

    /// Returns whether a request that was accepted with a credential would still be accepted: there are no tenants, or
    /// one of them holds the key.
    pub fn accepts(&self, credential: Credential) -> bool {
        let is_held = |digest| self.by_key.contains_key(&digest);
        self.definition.tenants.is_empty() || matches!(credential, Credential::Key(digest) if is_held(digest))
    }

    /// Returns the definition from which the table was created.
    pub fn definition(&self) -> &Arc<RoutingDefinition> {
        &self.definition
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.definition.version
    }

    /// Returns the regions that the routes of a host allow; empty if all its routes may be served anywhere.
    ///
    /// If the routes with a restriction differ, these are the regions that all of them allow or, if there is none,
    /// those that any of them allows.
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

    /// Returns the index of the route for a path and a host as the request names it, with or without a port.
    pub fn find_index(&self, host: &str, path: &str) -> Option<usize> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indices = match self.by_host.get(name) {
            Some(indices) => indices,
            None => self.by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        let routes = &self.definition.routes;
        let matches_path = |index: &&u32| path.starts_with(&*routes[**index as usize].path_prefix);
        indices.iter().find(matches_path).map(|index| *index as usize)
    }
}
