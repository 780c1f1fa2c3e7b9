//! The settings of a gateway node, which are read from a TOML file.
//!
//! The structs define the keys, units and defaults; unknown keys are refused. `check` validates the values, `derived`
//! computes what follows from them, and `file` reads the file, again whenever it changes. Nothing here uses the network
//! or the clock.

mod check;
mod derived;
mod file;

pub use check::SettingsError;
pub use file::SettingsFile;

use serde::Deserialize;
use staircross_quota::QuotaBound;
use staircross_routing::{ColdBound, RoutingPolicy};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Default maximum size of a recording, in megabytes. It is small beside a machine's disk.
const DEFAULT_RECORD_MB: u64 = 16;

/// Default of [`BoundSettings::contact_ms`]. Silences of a second or two are common where links lose packets.
const DEFAULT_CONTACT_MS: u64 = 5000;

/// All settings of a node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The node's identity and location.
    pub node: NodeSettings,
    /// The addresses that the node listens on.
    pub listen: ListenSettings,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// The platform's store.
    pub store: StoreSettings,
    /// The bounds that all nodes together must keep.
    pub bounds: BoundSettings,
    /// The machine's resources.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Mechanisms that can be turned off. They are read when the node starts.
    #[serde(default)]
    pub policy: PolicySettings,
}

/// Mechanisms that can be turned off, to measure their effect or to exclude them as the cause of an incident.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// Mechanisms that decide about requests.
    pub routing: RoutingPolicy,
    /// Mechanisms of the connections, the directory and the store.
    pub node: NodePolicy,
}

/// Mechanisms of the connections, the directory and the store. Each is on by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodePolicy {
    /// On a fresh connection to a searcher that may reset it, the node waits for that reset before it sends a request.
    pub proving: bool,
    /// Idle connections to searchers that have reset fresh ones lately are kept for a short time only.
    pub contested_rest: bool,
    /// In a large fleet, the directory sends callers to some of the nodes only.
    pub serving_part: bool,
    /// Two nodes of each region read the store, and the others follow them.
    pub store_readers: bool,
    /// While the store is unreachable, only the liveness probe calls it.
    pub probe_first: bool,
}

impl Default for NodePolicy {
    fn default() -> Self {
        NodePolicy { proving: true, contested_rest: true, serving_part: true, store_readers: true, probe_first: true }
    }
}

/// The node's identity and location.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The node's name in logs.
    pub name: String,
    /// The zone that the node is in.
    pub zone: String,
    /// The region that the node is in.
    pub region: String,
    /// Peer addresses to join the cluster through; any of them may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that searchers hold no connections of an earlier
    /// incarnation of this node.
    #[serde(default)]
    pub first_start: bool,
    /// File to which decisions are recorded for `staircross replay`; without it, nothing is recorded.
    #[serde(default)]
    pub record: Option<PathBuf>,
    /// Maximum size of the recording, in megabytes of 2^20 bytes.
    #[serde(default = "default_record_mb")]
    pub record_mb: u64,
    /// Whether log lines are written to standard output.
    #[serde(default = "default_true")]
    pub log: bool,
}

fn default_record_mb() -> u64 {
    DEFAULT_RECORD_MB
}

fn default_true() -> bool {
    true
}

/// The addresses that a node listens on, by what they serve.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// The directory: callers ask here which nodes to send requests to.
    pub directory: SocketAddr,
    /// Other nodes, over TCP and UDP.
    pub peers: SocketAddr,
    /// Metrics; none are served if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store's HTTP service.
    pub address: SocketAddr,
}

/// The bounds that all nodes together must keep.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Extra sends per request that are allowed within a window.
    pub extra_ratio: f64,
    /// Length of the sliding window over which extra sends are counted, in seconds.
    pub extra_window_s: f64,
    /// Extra sends per window that are allowed in addition, whatever the number of requests.
    pub extra_slack: f64,
    /// Time after which a leaving searcher must get no more work, in milliseconds.
    pub drain_ms: u64,
    /// Time after which a changed configuration must be in force, in milliseconds.
    pub config_ms: u64,
    /// Time after which a node must have noticed that an open connection to the store is dead, though nothing closes it
    /// and new connections work, in milliseconds.
    #[serde(default = "default_contact_ms")]
    pub contact_ms: u64,
    /// Time from a stop signal until the process is killed, in seconds.
    pub stop_s: f64,
    /// Maximum time for which callers keep an answer of the directory, in seconds.
    pub directory_ttl_s: f64,
    /// Bound on the requests to a cold searcher in one second: this factor times the rate that the searcher bears, plus
    /// `cold_slack`.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// Requests to a cold searcher in one second that are allowed in addition to `cold_factor` times its rate.
    #[serde(default)]
    pub cold_slack: f64,
    /// Length of the sliding window over which a tenant's requests are counted against its quota, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Fraction of a tenant's quota that may be admitted beyond the quota in a window.
    #[serde(default)]
    pub quota_over: f64,
    /// Requests that may be admitted beyond the quota and `quota_over` in a window.
    #[serde(default)]
    pub quota_slack: f64,
    /// Time after which the searchers of an evacuated zone must get no more work, in milliseconds. If it is absent,
    /// `config_ms` applies.
    #[serde(default)]
    pub evacuate_ms: Option<u64>,
    /// Time after which a revoked key must no longer be accepted, in milliseconds; no bound if absent.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// Whether a node refuses requests that need a key when its configuration was last confirmed longer than
    /// `revoke_ms` ago, since it may not know of a revocation.
    #[serde(default)]
    pub revoke_strict: bool,
}

fn default_contact_ms() -> u64 {
    DEFAULT_CONTACT_MS
}

fn default_cold_factor() -> f64 {
    ColdBound::default().factor
}

fn default_quota_window_s() -> f64 {
    QuotaBound::default().window.as_secs_f64()
}

/// The machine's resources.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum memory of the process, in megabytes.
    pub memory_mb: u64,
    /// Maximum number of file descriptors of the process.
    pub descriptors: usize,
    /// Capacity of the machine's network link, in megabits per second.
    pub link_mbps: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings { memory_mb: 256, descriptors: 1024, link_mbps: 1000.0 }
    }
}
