//! The difference of two versions of the configuration, which peers are sent instead of the whole.
//!
//! A configuration of 1,700 routes is a quarter of a megabyte. Sending it whole to peers saturates the links of small
//! machines, and reading it from the store costs one call per node for each change, most of which affect one route. A
//! delta holds the changed entries and a digest of the resulting definition. A node whose result has another digest
//! rejects the delta and reads the whole configuration.

use crate::configuration::definition::{CallerLimits, RouteDefinition, RoutingDefinition, ServiceEntry};
use crate::configuration::tenants::TenantDefinition;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3Default;

/// The change from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DefinitionDelta {
    /// Version to which the delta can be applied.
    pub from: u64,
    /// Version that results from applying the delta.
    pub to: u64,
    routes: ListDelta<RouteDefinition>,
    services: ListDelta<ServiceEntry>,
    #[serde(default, skip_serializing_if = "ListDelta::is_empty")]
    tenants: ListDelta<TenantDefinition>,
    limits: CallerLimits,
    /// Digest of the definition that results from applying the delta.
    digest: u64,
}

/// The change of a list whose entries have names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ListDelta<T> {
    /// Entries that are new or have changed.
    #[serde(rename = "set")]
    changed: Vec<T>,
    /// Names of the entries that were removed.
    #[serde(rename = "gone")]
    removed: Vec<Arc<str>>,
}

/// An entry of a definition's list, identified by its name.
trait Named {
    fn name(&self) -> &Arc<str>;
}

impl Named for RouteDefinition {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

impl Named for ServiceEntry {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

impl Named for TenantDefinition {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

impl DefinitionDelta {
    /// Computes the delta from `old` to `new`; `None` if names aren't unique.
    pub fn between(old: &RoutingDefinition, new: &RoutingDefinition) -> Option<Self> {
        Some(DefinitionDelta {
            from: old.version,
            to: new.version,
            routes: ListDelta::between(&old.routes, &new.routes)?,
            services: ListDelta::between(&old.services, &new.services)?,
            tenants: ListDelta::between(&old.tenants, &new.tenants)?,
            limits: new.limits.clone(),
            digest: digest(new)?,
        })
    }

    /// Returns the definition that results from applying the delta to `old`; `None` if `old` has another version than
    /// `from`, or if the result doesn't match the digest.
    pub fn apply(&self, old: &RoutingDefinition) -> Option<RoutingDefinition> {
        if old.version != self.from {
            return None;
        }
        let new = RoutingDefinition {
            version: self.to,
            routes: self.routes.apply(&old.routes)?,
            services: self.services.apply(&old.services)?,
            tenants: self.tenants.apply(&old.tenants)?,
            limits: self.limits.clone(),
        };
        (digest(&new)? == self.digest).then_some(new)
    }

    /// Returns the routes that are new or changed, and the names of those that were removed.
    pub fn changed_routes(&self) -> (&[RouteDefinition], &[Arc<str>]) {
        (&self.routes.changed, &self.routes.removed)
    }
}

impl<T> Default for ListDelta<T> {
    fn default() -> Self {
        ListDelta { changed: Vec::new(), removed: Vec::new() }
    }
}

impl<T> ListDelta<T> {
    fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty()
    }
}

impl<T: Named + Clone + PartialEq> ListDelta<T> {
    fn between(old: &[T], new: &[T]) -> Option<Self> {
        let (old, new) = (by_name(old)?, by_name(new)?);
        let changed = new.iter().filter(|(name, entry)| old.get(*name) != Some(*entry));
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        Some(ListDelta {
            changed: changed.map(|(_, entry)| (*entry).clone()).collect(),
            removed: removed.map(|name| (*name).clone()).collect(),
        })
    }

    fn apply(&self, old: &[T]) -> Option<Vec<T>> {
        let mut entries = by_name(old)?;
        for name in &self.removed {
            entries.remove(name);
        }
        entries.extend(self.changed.iter().map(|entry| (entry.name(), entry)));
        Some(entries.into_values().cloned().collect())
    }
}

/// Indexes entries by name; `None` if two entries have the same name.
fn by_name<T: Named>(entries: &[T]) -> Option<BTreeMap<&Arc<str>, &T>> {
    let map: BTreeMap<&Arc<str>, &T> = entries.iter().map(|entry| (entry.name(), entry)).collect();
    (map.len() == entries.len()).then_some(map)
}

/// Computes a digest that doesn't depend on the order of routes, services and tenants; `None` if names aren't unique.
fn digest(definition: &RoutingDefinition) -> Option<u64> {
    let mut digest = Xxh3Default::new();
    digest.update(&definition.version.to_le_bytes());
    for route in by_name(&definition.routes)?.into_values() {
        hash_part(&mut digest, route)?;
    }
    for service in by_name(&definition.services)?.into_values() {
        hash_part(&mut digest, service)?;
    }
    for tenant in by_name(&definition.tenants)?.into_values() {
        hash_part(&mut digest, tenant)?;
    }
    hash_part(&mut digest, &definition.limits)?;
    Some(digest.digest())
}

fn hash_part(digest: &mut Xxh3Default, part: &impl Serialize) -> Option<()> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(part, &mut bytes).ok()?;
    digest.update(&bytes);
    Some(())
}
