//! Small identifiers of requests, attempts, searchers, tenants and routes, whose data is kept in tables elsewhere.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of a request, unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u64);

/// Key of one attempt: a request sent once to one searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The request to which the attempt belongs.
    pub request: RequestKey,
    /// Number of the attempt, ascending within the request.
    pub number: u16,
}

/// Index of a searcher in the engine's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SearcherKey(pub u32);

/// Index of a tenant in one version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantKey(pub u32);

/// Digest of what a request asks for: of its host, method, target and body. It is the same for every caller, every
/// retry and on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentKey(pub u64);

impl ContentKey {
    /// Returns the key of the same content requested by the tenant of this name; the key itself without a tenant.
    ///
    /// Tenants have different keys because searchers are sent the tenant, so their work may differ, and because the
    /// requests of one tenant must not block those of another.
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
    /// Id of the searcher.
    pub instance: Arc<str>,
    /// Start time in Unix milliseconds; 0 if unknown.
    pub born_ms: u64,
}

/// Digest of a searcher's id and start time, which identifies one incarnation on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceKey(pub u64);

/// Digest of a route's name, which identifies the route on all nodes, whatever version of the configuration they have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouteDigest(pub u64);

impl RouteDigest {
    /// Computes the digest of a route's name.
    pub fn of(name: &str) -> Self {
        RouteDigest(xxh3_64(name.as_bytes()))
    }
}

impl InstanceKey {
    /// Computes the key of the incarnation with this id and start time in Unix milliseconds; 0 if the time is unknown.
    pub fn of(instance: &str, born_ms: u64) -> Self {
        InstanceKey(xxh3_64_with_seed(instance.as_bytes(), born_ms))
    }
}
