//! Definitions of services: their searchers, their shard maps and how their requests are treated.

use crate::invalid::{InvalidSetting, check_range};
use serde::{Deserialize, Serialize};
use staircross_types::{GroupId, SearcherId, ServiceName, ShardMap, ZoneName};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a service prefers complete answers or early ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Waits for all shards until the wait bound.
    Coverage,
    /// Answers once the least coverage is reached and the other shards are late.
    Latency,
}

/// How the requests of one service are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// Longest wait for an answer, in milliseconds.
    pub wait_ms: u64,
    /// Least acceptable coverage, in shards per thousand.
    pub least_coverage_per_mille: u32,
    /// Whether complete or early answers are preferred.
    pub priority: Priority,
    /// Whether a request may be executed more than once. A repeatable service takes only searches, any other only
    /// actions.
    pub repeatable: bool,
    /// Upper bound of hedges per thousand primary sub-requests.
    pub hedge_per_mille: u32,
    /// Upper bound of retries per thousand primary sub-requests.
    pub retry_per_mille: u32,
}

impl Default for ServicePolicy {
    fn default() -> Self {
        ServicePolicy {
            wait_ms: 300,
            least_coverage_per_mille: 900,
            priority: Priority::Coverage,
            repeatable: true,
            hedge_per_mille: 20,
            retry_per_mille: 20,
        }
    }
}

/// Longest wait bound that a service may have, in milliseconds.
const MAX_WAIT_MS: u64 = 600_000;

impl ServicePolicy {
    /// Returns the wait bound.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }

    /// Checks every value, and that a service whose requests aren't repeatable allows no hedges and retries. `prefix`
    /// is the key of the policy in errors.
    pub fn check(&self, prefix: &str) -> Result<(), InvalidSetting> {
        check_range(&format!("{prefix}.wait_ms"), self.wait_ms, 1..=MAX_WAIT_MS)?;
        check_range(&format!("{prefix}.least_coverage_per_mille"), self.least_coverage_per_mille, 0..=1000)?;
        check_range(&format!("{prefix}.hedge_per_mille"), self.hedge_per_mille, 0..=1000)?;
        check_range(&format!("{prefix}.retry_per_mille"), self.retry_per_mille, 0..=1000)?;
        let allows_hedges_or_retries = self.hedge_per_mille > 0 || self.retry_per_mille > 0;
        if !self.repeatable && allows_hedges_or_retries {
            let allowed = "0 for hedge_per_mille and retry_per_mille, because the service is not repeatable";
            let value = format!("hedge {}, retry {}", self.hedge_per_mille, self.retry_per_mille);
            return Err(InvalidSetting::value(format!("{prefix}.repeatable"), value, allowed));
        }
        Ok(())
    }

    /// Returns the policy with the values that `change` sets.
    pub fn with(&self, change: &PolicyChange) -> ServicePolicy {
        ServicePolicy {
            wait_ms: change.wait_ms.unwrap_or(self.wait_ms),
            least_coverage_per_mille: change.least_coverage_per_mille.unwrap_or(self.least_coverage_per_mille),
            priority: change.priority.unwrap_or(self.priority),
            repeatable: change.repeatable.unwrap_or(self.repeatable),
            hedge_per_mille: change.hedge_per_mille.unwrap_or(self.hedge_per_mille),
            retry_per_mille: change.retry_per_mille.unwrap_or(self.retry_per_mille),
        }
    }
}

/// Policy values that an operator changes. Those that are `None` stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyChange {
    /// New [`ServicePolicy::wait_ms`].
    pub wait_ms: Option<u64>,
    /// New [`ServicePolicy::least_coverage_per_mille`].
    pub least_coverage_per_mille: Option<u32>,
    /// New [`ServicePolicy::priority`].
    pub priority: Option<Priority>,
    /// New [`ServicePolicy::repeatable`].
    pub repeatable: Option<bool>,
    /// New [`ServicePolicy::hedge_per_mille`].
    pub hedge_per_mille: Option<u32>,
    /// New [`ServicePolicy::retry_per_mille`].
    pub retry_per_mille: Option<u32>,
}

impl PolicyChange {
    /// Replaces each value that `later` sets and keeps the others.
    pub fn merge(&mut self, later: &PolicyChange) {
        self.wait_ms = later.wait_ms.or(self.wait_ms);
        self.least_coverage_per_mille = later.least_coverage_per_mille.or(self.least_coverage_per_mille);
        self.priority = later.priority.or(self.priority);
        self.repeatable = later.repeatable.or(self.repeatable);
        self.hedge_per_mille = later.hedge_per_mille.or(self.hedge_per_mille);
        self.retry_per_mille = later.retry_per_mille.or(self.retry_per_mille);
    }
}

/// Definition of one searcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearcherDefinition {
    /// Id of the searcher. Services that list the same id share the searcher.
    pub id: SearcherId,
    /// Address at which the searcher listens.
    pub address: SocketAddr,
    /// Zone of the searcher.
    pub zone: ZoneName,
    /// Group (deployment) that the searcher belongs to.
    pub group: GroupId,
    /// Number of sub-requests that the searcher executes at once.
    pub slots: u32,
    /// Number of connections that the searcher accepts.
    pub connections: u32,
}

/// Definition of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDefinition {
    /// Name of the service.
    pub name: ServiceName,
    /// How the requests of the service are treated.
    pub policy: ServicePolicy,
    /// Searchers of the service.
    pub searchers: Vec<SearcherDefinition>,
    /// Shard maps of the snapshots that may be served, in any order.
    pub shard_maps: Vec<ShardMap>,
}

/// Longest service name, in bytes.
const MAX_SERVICE_NAME_BYTES: usize = 64;
/// Largest number of slots, and of connections, that a searcher may have.
const MAX_SEARCHER_CAPACITY: u32 = 65_535;

/// Checks that `name` isn't too long and follows the query language's syntax of names.
pub fn check_service_name(name: &ServiceName) -> Result<(), InvalidSetting> {
    let text = &name.0;
    let starts_with_letter = text.starts_with(|first: char| first.is_ascii_lowercase());
    let all_allowed = text.bytes().all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-');
    if starts_with_letter && all_allowed && text.len() <= MAX_SERVICE_NAME_BYTES {
        return Ok(());
    }
    let allowed = "1 to 64 of a-z, 0-9 and -, starting with a letter";
    Err(InvalidSetting::value("services.name", format!("{text:?}"), allowed))
}

impl ServiceDefinition {
    /// Checks the name, the policy, the searchers and the shard maps.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_service_name(&self.name)?;
        let prefix = format!("services.{}", self.name);
        self.policy.check(&format!("{prefix}.policy"))?;
        let known = self.check_searchers(&prefix)?;
        self.check_shard_maps(&prefix, &known)
    }

    /// Checks the searchers and returns their ids.
    fn check_searchers(&self, prefix: &str) -> Result<BTreeSet<SearcherId>, InvalidSetting> {
        let mut known = BTreeSet::new();
        for searcher in &self.searchers {
            let key = format!("{prefix}.searchers.{}", searcher.id);
            check_range(&format!("{key}.slots"), searcher.slots, 1..=MAX_SEARCHER_CAPACITY)?;
            check_range(&format!("{key}.connections"), searcher.connections, 1..=MAX_SEARCHER_CAPACITY)?;
            if !known.insert(searcher.id) {
                return Err(InvalidSetting::value(format!("{key}.id"), searcher.id, "each id once"));
            }
        }
        Ok(known)
    }

    /// Checks that no snapshot and no shard of a map occurs twice, and that all replicas are in `known`.
    fn check_shard_maps(&self, prefix: &str, known: &BTreeSet<SearcherId>) -> Result<(), InvalidSetting> {
        let mut snapshots = BTreeSet::new();
        for map in &self.shard_maps {
            let key = format!("{prefix}.shard_maps.{}", map.snapshot);
            if !snapshots.insert(map.snapshot) {
                return Err(InvalidSetting::value(&key, map.snapshot, "each snapshot once"));
            }
            let mut previous = None;
            for placement in &map.shards {
                if previous.is_some_and(|previous| placement.shard <= previous) {
                    return Err(InvalidSetting::value(&key, placement.shard, "each shard once, in rising order"));
                }
                previous = Some(placement.shard);
                if let Some(unknown) = placement.replicas.iter().find(|id| !known.contains(id)) {
                    let allowed = "searchers that the service lists";
                    return Err(InvalidSetting::value(format!("{key}.{}", placement.shard), unknown, allowed));
                }
            }
        }
        Ok(())
    }
}
