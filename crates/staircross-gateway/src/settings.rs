//! A gateway node's settings: the form of the TOML text. Unknown keys are refused.
//!
//! These structures own the names, the units and the defaults; `check` says which values are allowed, `derived` which
//! figures follow from them, and `file` reads the text, again whenever it changes. Nothing here relies on the network or
//! the clock.

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

/// Longest recording where nothing is said, in megabytes. Small beside a machine's disk.
const DEFAULT_RECORD_MB: u64 = 16;

/// All settings of one node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Who and where the node is.
    pub node: NodeSettings,
    /// Addresses that it listens on.
    pub listen: ListenSettings,
    /// Regions by zone.
    pub zones: BTreeMap<String, String>,
    /// The platform's store.
    pub store: StoreSettings,
    /// Bounds that all nodes keep together.
    pub bounds: BoundSettings,
    /// Room on the machine.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Mechanisms that can be turned off; read at the start.
    #[serde(default)]
    pub policy: PolicySettings,
}

/// Mechanisms that can be turned off, to measure what they are worth or to rule them out in an incident.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// Those that decide about requests.
    pub routing: RoutingPolicy,
    /// Those around connections, directory and store.
    pub node: NodePolicy,
}

/// Switches of what stands around the decisions about requests. All are on unless settings say otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodePolicy {
    /// Fresh connections to searchers are proved where searchers may reset them.
    pub proving: bool,
    /// Connections to searchers that reject some rest for a short time only.
    pub contested_rest: bool,
    /// In a large fleet callers are sent to some of the nodes only.
    pub serving_part: bool,
    /// Two nodes of each region read the store, the others follow them.
    pub store_readers: bool,
    /// While the store is away only the probe asks.
    pub probe_first: bool,
}

impl Default for NodePolicy {
    fn default() -> Self {
        NodePolicy { proving: true, contested_rest: true, serving_part: true, store_readers: true, probe_first: true }
    }
}

/// Who and where the node is.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name in logs.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Peer addresses to join through; any of them may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole fleet: nobody holds connections of an earlier incarnation.
    #[serde(default)]
    pub first_start: bool,
    /// File that decisions are recorded to, for `staircross replay`; none when absent.
    #[serde(default)]
    pub record: Option<PathBuf>,
    /// Longest recording, in megabytes of 2^20 bytes.
    #[serde(default = "default_record_mb")]
    pub record_mb: u64,
    /// Whether lines are written to standard output.
    #[serde(default = "default_true")]
    pub log: bool,
}

fn default_record_mb() -> u64 {
    DEFAULT_RECORD_MB
}

fn default_true() -> bool {
    true
}

/// Addresses that the node listens on.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Questions for readiness.
    pub readiness: SocketAddr,
    /// Questions where to go.
    pub directory: SocketAddr,
    /// Other nodes, TCP and UDP.
    pub peers: SocketAddr,
    /// Metrics; none when absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of its HTTP service.
    pub address: SocketAddr,
}

/// Bounds that all nodes keep together.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Extra sends per request.
    pub extra_ratio: f64,
    /// Window over which extra sends are counted, in seconds.
    pub extra_window_s: f64,
    /// Extra sends per window besides.
    pub extra_slack: f64,
    /// Time within which a leaving searcher must get no more work, in milliseconds.
    pub drain_ms: u64,
    /// Time within which a configuration must be in force, in milliseconds.
    pub config_ms: u64,
    /// Time from a stop signal until the process is killed, in seconds.
    pub stop_s: f64,
    /// Longest time that callers keep an answer of the directory, in seconds.
    pub directory_ttl_s: f64,
    /// Bound on requests to a cold searcher in a second: so many times what it bears, and `cold_slack` besides.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// Requests to a cold searcher in a second besides.
    #[serde(default)]
    pub cold_slack: f64,
    /// Window over which a tenant's requests are counted against its quota, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Fraction of a tenant's quota that may be admitted beyond it in a window.
    #[serde(default)]
    pub quota_over: f64,
    /// Requests that may be admitted beyond it in a window besides.
    #[serde(default)]
    pub quota_slack: f64,
    /// Time within which searchers of an evacuated zone must get no more work, in milliseconds; `config_ms` when absent.
    #[serde(default)]
    pub evacuate_ms: Option<u64>,
    /// Time within which a key that is revoked lets nobody in any more, in milliseconds; no bound when absent.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// Whether a node that can't be sure to know of all revocations of that age refuses requests that need a key.
    #[serde(default)]
    pub revoke_strict: bool,
}

fn default_cold_factor() -> f64 {
    ColdBound::default().factor
}

fn default_quota_window_s() -> f64 {
    QuotaBound::default().window.as_secs_f64()
}

/// Room on the machine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Memory of the process, in megabytes.
    pub memory_mb: u64,
    /// Descriptors of the process.
    pub descriptors: usize,
    /// What the machine's link carries, in megabits a second.
    pub link_mbps: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings { memory_mb: 256, descriptors: 1024, link_mbps: 1000.0 }
    }
}
