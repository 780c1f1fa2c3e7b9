//! The settings file of a node, in TOML. Unknown keys are refused.

use crate::invalid::{InvalidSetting, check_range};
use serde::{Deserialize, Serialize};
use staircross_types::ZoneName;
use std::net::SocketAddr;

/// All settings of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Location, addresses and fleet of the node.
    pub node: NodeSettings,
    /// Address of the platform and how often it is read.
    pub platform: PlatformSettings,
    /// Bounds on what callers may use.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Location, addresses and fleet of the node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Region that the node's machine is in.
    pub region: String,
    /// Zone that the node's machine is in.
    pub zone: ZoneName,
    /// Address at which the node listens for callers and operators (HTTP).
    pub listen: SocketAddr,
    /// Address at which the node listens for other nodes (framed CBOR over TCP).
    pub peer_listen: SocketAddr,
    /// Addresses of peers through which the node joins the cluster. The nodes at these addresses form the cluster at
    /// its first start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Name of the cluster. Nodes with another cluster name are rejected.
    pub cluster: String,
    /// Secret that all nodes of the cluster share.
    pub cluster_key: String,
    /// Log filter: one level for all (`info`) or per module (`info,search=debug`).
    #[serde(default = "default_log")]
    pub log: String,
}

fn default_log() -> String {
    "info".to_owned()
}

/// Address of the platform and how often it is read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the platform's HTTP service.
    pub address: SocketAddr,
    /// Time between two reads, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
}

fn default_poll_ms() -> u64 {
    1000
}

/// Bounds on what callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest number of sessions that the node holds.
    pub sessions: usize,
    /// Largest number of open connections of callers.
    pub caller_connections: usize,
    /// Longest request body, in bytes.
    pub request_bytes: usize,
    /// Longest searcher reply, in bytes.
    pub reply_bytes: usize,
    /// Largest number of bytes that all searcher replies together may hold while they are read.
    pub all_replies_bytes: usize,
    /// Time in which a caller must send a whole request, in milliseconds.
    pub caller_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            sessions: 10_000,
            caller_connections: 1024,
            request_bytes: 64 * 1024,
            reply_bytes: 8 * 1024 * 1024,
            all_replies_bytes: 32 * 1024 * 1024,
            caller_timeout_ms: 30_000,
        }
    }
}

/// Shortest shared secret that is accepted, in bytes.
const MIN_CLUSTER_KEY_BYTES: usize = 16;

impl Settings {
    /// Parses settings from TOML and checks them. `origin` names the source in errors.
    pub fn from_toml(origin: &str, text: &str) -> Result<Self, InvalidSetting> {
        let settings: Settings = toml::from_str(text)
            .map_err(|error| InvalidSetting::Unreadable { origin: origin.to_owned(), reason: error.to_string() })?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the length of the shared secret, that the two addresses differ, and the ranges of all numbers.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        if self.node.cluster_key.len() < MIN_CLUSTER_KEY_BYTES {
            let allowed = format!("{MIN_CLUSTER_KEY_BYTES} bytes or more");
            return Err(InvalidSetting::value("node.cluster_key", "(hidden)", allowed));
        }
        if self.node.listen == self.node.peer_listen {
            return Err(InvalidSetting::value("node.peer_listen", self.node.peer_listen, "another than node.listen"));
        }
        check_range("platform.poll_ms", self.platform.poll_ms, 50..=3_600_000)?;
        check_range("limits.sessions", self.limits.sessions, 1..=10_000_000)?;
        check_range("limits.caller_connections", self.limits.caller_connections, 1..=65_535)?;
        check_range("limits.request_bytes", self.limits.request_bytes, 64..=16 * 1024 * 1024)?;
        check_range("limits.reply_bytes", self.limits.reply_bytes, 1024..=1024 * 1024 * 1024)?;
        check_range("limits.all_replies_bytes", self.limits.all_replies_bytes, 1024..=64 * 1024 * 1024 * 1024)?;
        check_range("limits.caller_timeout_ms", self.limits.caller_timeout_ms, 10..=600_000)
    }
}
