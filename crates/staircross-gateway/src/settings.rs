//! A gateway node's settings (TOML). Unknown keys are refused.

use quick_error::quick_error;
use serde::Deserialize;
use staircross_quota::QuotaBound;
use staircross_routing::store_reader::{ProbeIntervals, ReaderSettings};
use staircross_routing::{ColdBound, RoutingPolicy};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

quick_error! {
    /// Why settings can't be accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// The text is no settings file.
        Unreadable { origin: String, reason: String } {
            display("{origin}: {reason}")
        }
        /// A value is outside what is allowed.
        Value { key: &'static str, value: String, allowed: &'static str } {
            display("{key}: {value} is not allowed; allowed: {allowed}")
        }
    }
}

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
    /// Connections to searchers that turn some away rest for a short time only.
    pub contested_rest: bool,
    /// Callers are sent to a part of a large fleet.
    pub serving_part: bool,
    /// A few nodes of each zone read the store, the others follow them.
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
    /// Whether this is the first start of the whole fleet: nobody holds connections of a run before.
    #[serde(default)]
    pub first_start: bool,
    /// File that decisions are recorded to, for `staircross replay`; none when absent.
    #[serde(default)]
    pub record: Option<PathBuf>,
    /// Longest recording, in megabytes.
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
    /// Bound on requests to a cold searcher in a second: times what it bears, and requests besides.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// The requests besides.
    #[serde(default)]
    pub cold_slack: f64,
    /// Window over which a tenant's requests are counted against its quota, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Part of a tenant's quota that may be admitted beyond it in a window.
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

impl BoundSettings {
    /// The shorter of the times in which what the operator writes must be in force, in milliseconds.
    fn operator_ms(&self) -> u64 {
        self.evacuate_ms.map_or(self.config_ms, |evacuate_ms| evacuate_ms.min(self.config_ms))
    }
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

/// Length of a recording where nothing is said, in megabytes.
const DEFAULT_RECORD_MB: u64 = 16;
/// Descriptors kept for files, listeners and calls to the store and peers.
const RESERVED_DESCRIPTORS: usize = 264;
/// Parts of the bounds on updates that a rest between calls to the store may take.
const CONFIG_REST_FRACTION: f64 = 0.17;
const DRAIN_REST_FRACTION: f64 = 0.3;
/// Part of the bound on drains during which a searcher whose entry has gone is a last resort. With the rest
/// after updates, a follower's pull and a late wake-up it stays below the bound.
const LAPSE_FRACTION: f64 = 0.25;
/// Part of the shorter bound on updates that a follower bears without hearing of its readers.
const SILENCE_FRACTION: f64 = 0.4;
/// Parts of that silence after which a reader probes the store again, so that a lost heartbeat is no silence, and after which a node
/// does that hears no reader.
const PROBE_FRACTION: f64 = 0.4;
const DOUBT_FRACTION: f64 = 0.5;
/// Time of the link, in seconds, that answers to peers may take in a second. A request that waits for half a second behind them reaches
/// its searcher with a deadline that is too late by as much.
const PEER_LINK_S: f64 = 0.2;
/// Memory that one request in flight is taken to need at most on average, in bytes.
const REQUEST_MEMORY: u64 = 64 * 1024;

impl GatewaySettings {
    /// Reads settings from TOML and checks them; `origin` names the source in errors.
    pub fn from_toml(origin: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: GatewaySettings = toml::from_str(text)
            .map_err(|error| SettingsError::Unreadable { origin: origin.to_owned(), reason: error.to_string() })?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks every value.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_number("bounds.extra_ratio", self.bounds.extra_ratio, 0.0, 10.0, "0 to 10")?;
        check_number("bounds.extra_window_s", self.bounds.extra_window_s, 0.1, 3600.0, "0.1 to 3600")?;
        check_number("bounds.extra_slack", self.bounds.extra_slack, 0.0, 1e6, "0 to 1000000")?;
        check_number("bounds.drain_ms", self.bounds.drain_ms as f64, 50.0, 3.6e6, "50 to 3600000")?;
        check_number("bounds.config_ms", self.bounds.config_ms as f64, 50.0, 3.6e6, "50 to 3600000")?;
        check_number("bounds.cold_factor", self.bounds.cold_factor, 0.0, 1000.0, "0 to 1000")?;
        check_number("bounds.cold_slack", self.bounds.cold_slack, 0.0, 1e6, "0 to 1000000")?;
        check_number("bounds.quota_window_s", self.bounds.quota_window_s, 0.1, 3600.0, "0.1 to 3600")?;
        check_number("bounds.quota_over", self.bounds.quota_over, 0.0, 1000.0, "0 to 1000")?;
        check_number("bounds.quota_slack", self.bounds.quota_slack, 0.0, 1e6, "0 to 1000000")?;
        check_number("bounds.evacuate_ms", self.bounds.operator_ms() as f64, 50.0, 3.6e6, "50 to 3600000")?;
        check_number("bounds.revoke_ms", self.bounds.revoke_ms.unwrap_or(50) as f64, 50.0, 3.6e6, "50 to 3600000")?;
        if self.bounds.revoke_strict && self.bounds.revoke_ms.is_none() {
            let allowed = "false where there is no bounds.revoke_ms";
            return Err(SettingsError::Value { key: "bounds.revoke_strict", value: "true".to_owned(), allowed });
        }
        check_number("bounds.stop_s", self.bounds.stop_s, 0.5, 3600.0, "0.5 to 3600")?;
        check_number("bounds.directory_ttl_s", self.bounds.directory_ttl_s, 0.1, 3600.0, "0.1 to 3600")?;
        let addresses = [self.listen.callers, self.listen.readiness, self.listen.directory, self.listen.peers];
        for (index, address) in addresses.iter().enumerate() {
            if addresses[..index].contains(address) {
                let allowed = "an address of its own for each listener";
                return Err(SettingsError::Value { key: "listen", value: address.to_string(), allowed });
            }
        }
        if !self.zones.contains_key(&self.node.zone) {
            let allowed = "a zone listed under zones";
            return Err(SettingsError::Value { key: "node.zone", value: self.node.zone.clone(), allowed });
        }
        if self.limits.memory_mb < 16 {
            let value = self.limits.memory_mb.to_string();
            return Err(SettingsError::Value { key: "limits.memory_mb", value, allowed: "16 or more" });
        }
        check_number("limits.link_mbps", self.limits.link_mbps, 0.01, 1e6, "0.01 to 1000000")?;
        if self.limits.descriptors <= RESERVED_DESCRIPTORS {
            let value = self.limits.descriptors.to_string();
            return Err(SettingsError::Value { key: "limits.descriptors", value, allowed: "more than 264" });
        }
        Ok(())
    }

    /// When the store is called: a rest after updates is a small part of the time that updates may take.
    pub fn reader(&self) -> ReaderSettings {
        let usual = ReaderSettings::default();
        let fraction_of = |bound_ms: u64, fraction_of: f64| Duration::from_millis(bound_ms).mul_f64(fraction_of);
        ReaderSettings {
            configuration_rest: usual
                .configuration_rest
                .min(fraction_of(self.bounds.operator_ms(), CONFIG_REST_FRACTION)),
            searcher_rest: usual.searcher_rest.min(fraction_of(self.bounds.drain_ms, DRAIN_REST_FRACTION)),
            probe: ProbeIntervals {
                usual: usual.probe.usual.min(self.longest_unconfirmed().mul_f64(PROBE_FRACTION)),
                ..usual.probe
            },
            probe_for_others: self.longest_silence().min(self.longest_unconfirmed()).mul_f64(PROBE_FRACTION),
            probe_in_doubt: self.longest_silence().mul_f64(DOUBT_FRACTION),
            lanes_wait_for_probe: self.policy.node.probe_first,
            ..usual
        }
    }

    /// Longest silence of its readers that a follower bears: a part of the time that updates may take.
    pub fn longest_silence(&self) -> Duration {
        Duration::from_millis(self.bounds.operator_ms().min(self.bounds.drain_ms)).mul_f64(SILENCE_FRACTION)
    }

    /// Longest time without word of the store after which requests are still taken, where the settings bound it.
    fn longest_unconfirmed(&self) -> Duration {
        let strict_ms = self.bounds.revoke_ms.filter(|_| self.bounds.revoke_strict);
        strict_ms.map_or(Duration::MAX, Duration::from_millis)
    }

    /// Time after the end of its entry during which a searcher is asked where nobody else can be.
    pub fn lapse_grace(&self) -> Duration {
        Duration::from_millis(self.bounds.drain_ms).mul_f64(LAPSE_FRACTION)
    }

    /// Connections that callers may hold together.
    pub fn caller_connections(&self) -> usize {
        (self.limits.descriptors - RESERVED_DESCRIPTORS) / 2
    }

    /// Bytes that answers to peers may have in a second before configurations are kept back.
    pub fn max_bytes_to_peers(&self) -> usize {
        (self.limits.link_mbps * 1e6 / 8.0 * PEER_LINK_S) as usize
    }

    /// Requests that may be in flight together.
    pub fn max_requests(&self) -> usize {
        let half = self.limits.memory_mb * 1024 * 1024 / 2;
        (half / REQUEST_MEMORY) as usize
    }
}

/// A settings file that is read again when it changes.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    seen: Option<FileMark>,
}

/// What tells one content of a file from the next without reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileMark {
    modified: SystemTime,
    length: u64,
}

impl SettingsFile {
    /// The file at a path.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        SettingsFile { path: path.into(), seen: None }
    }

    /// Reads and checks the file.
    pub fn load(&mut self) -> Result<GatewaySettings, SettingsError> {
        self.seen = self.mark();
        let origin = self.path.display().to_string();
        let text = std::fs::read_to_string(&self.path)
            .map_err(|error| SettingsError::Unreadable { origin: origin.clone(), reason: error.to_string() })?;
        GatewaySettings::from_toml(&origin, &text)
    }

    /// Whether the file has changed since it was read; one that can't be looked at hasn't.
    pub fn has_changed(&self) -> bool {
        let present = self.mark();
        present.is_some() && present != self.seen
    }

    fn mark(&self) -> Option<FileMark> {
        let metadata = std::fs::metadata(&self.path).ok()?;
        Some(FileMark { modified: metadata.modified().ok()?, length: metadata.len() })
    }
}

fn check_number(
    key: &'static str,
    value: f64,
    least: f64,
    most: f64,
    allowed: &'static str,
) -> Result<(), SettingsError> {
    // Written so that a value that is no number fails too.
    if value >= least && value <= most {
        return Ok(());
    }
    Err(SettingsError::Value { key, value: value.to_string(), allowed })
}
