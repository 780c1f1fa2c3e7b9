//! The content of one version of the configuration: routes, services, limits and tenants.

use crate::configuration::tenants::TenantDefinition;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One complete version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingDefinition {
    /// Version number. It rises with every change, by steps of any size.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteDefinition>,
    /// The services that the routes name.
    pub services: Vec<ServiceEntry>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// The tenants whose requests are accepted. If there are none, requests need no key.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantDefinition>,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDefinition {
    /// Name of the route. A route of the same name in a newer version keeps its statistics.
    pub name: Arc<str>,
    /// Host that requests name.
    pub host: Arc<str>,
    /// Prefix of the paths that take this route; the route with the longest matching prefix is taken.
    pub path_prefix: Arc<str>,
    /// The services to which requests are sent.
    pub target: RouteTarget,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Time after which a request is given up, in milliseconds.
    pub timeout_ms: u64,
    /// Latency goal in milliseconds: the time within which an answer has its full value.
    pub goal_ms: u64,
    /// Maximum number of searchers to which one request is sent, per shard.
    pub max_attempts: u32,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Regions whose searchers may serve the requests; empty if all may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<Arc<str>>,
    /// Whether requests need no key although there are tenants.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_public: bool,
}

/// Leaves `is_public` out of the serialized form of most routes, because few are public and large configurations are
/// sent between nodes.
fn is_false(flag: &bool) -> bool {
    !flag
}

/// The services to which the requests of a route are sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RouteTarget {
    /// A request is sent to one searcher of this service.
    Service(Arc<str>),
    /// A request is sent to one searcher of one of these services, chosen by weight.
    Weighted(Vec<WeightedService>),
    /// A request is sent to one searcher of each service, and the answers are merged.
    Gather(GatherTarget),
}

/// A service and its weight among the services of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: Arc<str>,
    /// Weight of the service: its share of the requests relative to the other weights.
    pub weight: u32,
}

/// The target of a query over many shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatherTarget {
    /// The services of the shards, one for each shard.
    pub shards: Vec<Arc<str>>,
    /// Number of records in the merged answer.
    pub top_k: usize,
    /// Least fraction of the shards that must have answered for a merged answer, 0 to 1.
    pub min_coverage: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: Arc<str>,
    /// Number of connections that each searcher of the service accepts from all its clients together.
    pub max_connections: u32,
    /// Duration of the searchers' cold start, and the load that they can take meanwhile.
    #[serde(default)]
    pub cold_start: ColdStart,
}

/// How long a searcher stays cold after a start, and the load that it can take meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which the searcher stays cold after a start, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second from all nodes together that a cold searcher can take; `None` if it can take its usual load.
    pub requests_per_s: Option<f64>,
}

/// Limits on the size of callers' requests and on the time that callers may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub head_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits { head_bytes: 16 * 1024, body_bytes: 256 * 1024, head_timeout_ms: 3000, idle_timeout_ms: 15_000 }
    }
}

impl RouteDefinition {
    /// Returns the least number of shards that must have answered; one if a single service is asked.
    pub fn min_shards(&self) -> usize {
        match &self.target {
            RouteTarget::Gather(gather) => gather.min_shards(),
            RouteTarget::Service(_) | RouteTarget::Weighted(_) => 1,
        }
    }
}

impl GatherTarget {
    /// Returns the least number of shards that must have answered; at least one.
    pub fn min_shards(&self) -> usize {
        let exact = self.min_coverage * self.shards.len() as f64;
        // A rounding error of the product, as of 0.7 and 10, must not raise the result by one.
        ((exact - 1e-9).ceil() as usize).max(1)
    }
}
