//! What the platform publishes: a revisioned service document and a lagging machine list.

use crate::invalid::InvalidSetting;
use crate::service::{SearcherDefinition, ServiceDefinition};
use serde::{Deserialize, Serialize};
use staircross_types::SearcherId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The platform's service document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformDocument {
    /// Rises with each change; a lower one is never taken over a higher one.
    pub revision: u64,
    /// All services.
    pub services: Vec<ServiceDefinition>,
    /// Searchers that get no new work.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub drained: BTreeSet<SearcherId>,
}

impl PlatformDocument {
    /// A document with these services, none of whose searchers is drained.
    pub fn new(revision: u64, services: Vec<ServiceDefinition>) -> Self {
        PlatformDocument { revision, services, drained: BTreeSet::new() }
    }

    /// Reads a document from JSON and checks it; `origin` names the source in errors.
    pub fn from_json(origin: &str, text: &str) -> Result<Self, InvalidSetting> {
        let document: PlatformDocument = serde_json::from_str(text)
            .map_err(|error| InvalidSetting::Unreadable { origin: origin.to_owned(), reason: error.to_string() })?;
        document.check()?;
        Ok(document)
    }

    /// Checks every service, that names occur once, and that a searcher is the same wherever it is listed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let mut names = BTreeSet::new();
        let mut searchers: BTreeMap<SearcherId, &SearcherDefinition> = BTreeMap::new();
        for service in &self.services {
            service.check()?;
            if !names.insert(&service.name) {
                return Err(InvalidSetting::value("services.name", &service.name, "each name once"));
            }
            for searcher in &service.searchers {
                let known = searchers.entry(searcher.id).or_insert(searcher);
                if *known != searcher {
                    let key = format!("services.{}.searchers.id", service.name);
                    let allowed = "one address, zone, group and size for each id over all services";
                    return Err(InvalidSetting::value(key, searcher.id, allowed));
                }
            }
        }
        Ok(())
    }
}

/// State of a machine in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to go.
    Leaving,
}

/// One machine of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineEntry {
    /// Where the machine's process listens.
    pub address: SocketAddr,
    /// Its state; it lags.
    pub state: MachineState,
}

/// The platform's list of machines. It lags and is a hint only, except that `leaving` counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineList {
    /// All machines known to the platform.
    pub machines: Vec<MachineEntry>,
}
