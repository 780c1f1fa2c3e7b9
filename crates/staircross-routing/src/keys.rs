//! Small keys: what is referred to stands in tables of its own.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of a request, unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u64);

/// One sending of a request to one searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestKey,
    /// Counts up within the request.
    pub number: u16,
}

/// Index of a searcher in the engine's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SearcherKey(pub u32);

/// Index of a tenant in one version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantKey(pub u32);

/// What a request asks for, the same for each caller and each retry: a digest of host, method, target and body, alike on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentKey(pub u64);

impl ContentKey {
    /// The same asked for by a tenant. Searchers are sent the tenant, so the work may differ; and one tenant's requests must not
    /// bar another's.
    pub fn of_tenant(self, name: Option<&str>) -> Self {
        name.map_or(self, |name| ContentKey(xxh3_64_with_seed(name.as_bytes(), self.0)))
    }
}

impl fmt::Display for ContentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One incarnation of a searcher under its id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// The id.
    pub instance: Arc<str>,
    /// Unix milliseconds of the start; 0 where it isn't known.
    pub born_ms: u64,
}

/// One incarnation of a searcher, alike on all nodes: a digest of its id and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceKey(pub u64);

/// A route by name, alike on all nodes whatever version of the configuration they have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouteDigest(pub u64);

impl RouteDigest {
    /// The digest of a route's name.
    pub fn of(name: &str) -> Self {
        RouteDigest(xxh3_64(name.as_bytes()))
    }
}

impl InstanceKey {
    /// The key of a start in Unix milliseconds, 0 where it isn't known.
    pub fn of(instance: &str, born_ms: u64) -> Self {
        InstanceKey(xxh3_64_with_seed(instance.as_bytes(), born_ms))
    }
}
