//! What one version of the configuration says.

use crate::configuration::tenants::TenantDefinition;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One whole version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingDefinition {
    /// Rises with every change, by uneven steps.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteDefinition>,
    /// Services that the routes name.
    pub services: Vec<ServiceEntry>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Whose requests are taken; where there are none, requests need no key.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantDefinition>,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDefinition {
    /// Name; keeps its statistics over versions.
    pub name: Arc<str>,
    /// Host that requests name.
    pub host: Arc<str>,
    /// Start of the paths that take this route; the longest wins.
    pub path_prefix: Arc<str>,
    /// Where requests go.
    pub target: RouteTarget,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most, in milliseconds.
    pub goal_ms: u64,
    /// Most searchers that one request is sent to (per shard).
    pub max_attempts: u32,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Regions whose searchers may serve the requests; empty where any may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<Arc<str>>,
    /// Whether requests need no key where there are tenants.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_public: bool,
}

/// Few routes are public, and large configurations are passed on between nodes.
fn is_false(flag: &bool) -> bool {
    !flag
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RouteTarget {
    /// To one searcher of one service.
    Service(Arc<str>),
    /// To one searcher of one of several services, by weight.
    Weighted(Vec<WeightedService>),
    /// To one searcher of each service; the answers are merged.
    Gather(GatherTarget),
}

/// A service and its share of the requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: Arc<str>,
    /// Its weight.
    pub weight: u32,
}

/// A query over many shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatherTarget {
    /// The shards, each a service.
    pub shards: Vec<Arc<str>>,
    /// Records of the merged answer.
    pub top_k: usize,
    /// Least share of the shards that makes an answer, 0 to 1.
    pub min_coverage: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that each of its searchers accepts from all callers together.
    pub max_connections: u32,
    /// What its searchers bear after a start.
    #[serde(default)]
    pub cold_start: ColdStart,
}

/// What a searcher bears while it is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long it stays cold after a start, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second that it bears meanwhile, from all nodes together; `None` where it bears its usual load.
    pub requests_per_s: Option<f64>,
}

/// What callers may send and how long they may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub head_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Time to send a whole head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time that a connection may rest, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits { head_bytes: 16 * 1024, body_bytes: 256 * 1024, head_timeout_ms: 3000, idle_timeout_ms: 15_000 }
    }
}

impl RouteDefinition {
    /// Least number of shards that makes an answer; one where a single service is asked.
    pub fn least_shards(&self) -> usize {
        match &self.target {
            RouteTarget::Gather(gather) => gather.least_shards(),
            RouteTarget::Service(_) | RouteTarget::Weighted(_) => 1,
        }
    }
}

impl GatherTarget {
    /// Least number of shards that makes an answer; at least one.
    pub fn least_shards(&self) -> usize {
        let exact = self.min_coverage * self.shards.len() as f64;
        // Shares such as 0.7 of 10 must not be rounded up by the last bit of the product.
        ((exact - 1e-9).ceil() as usize).max(1)
    }
}
