//! What the platform publishes: a revisioned service document and a lagging machine list.

use crate::invalid::InvalidSetting;
use crate::service::ServiceDefinition;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The platform's service document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformDocument {
    /// Rises with each change; a lower one is never taken over a higher one.
    pub revision: u64,
    /// All services.
    pub services: Vec<ServiceDefinition>,
}

impl PlatformDocument {
    /// Reads a document from JSON and checks it; `origin` names the source in errors.
    pub fn from_json(origin: &str, text: &str) -> Result<Self, InvalidSetting> {
        let document: PlatformDocument = serde_json::from_str(text)
            .map_err(|error| InvalidSetting::Unreadable { origin: origin.to_owned(), reason: error.to_string() })?;
        document.check()?;
        Ok(document)
    }

    /// Checks every service, and that names and searcher ids occur once.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let mut names = BTreeSet::new();
        let mut searchers = BTreeSet::new();
        for service in &self.services {
            service.check()?;
            if !names.insert(&service.name) {
                return Err(InvalidSetting::value("services.name", &service.name, "each name once"));
            }
            for searcher in &service.searchers {
                if !searchers.insert(searcher.id) {
                    let key = format!("services.{}.searchers.id", service.name);
                    return Err(InvalidSetting::value(key, searcher.id, "each id once over all services"));
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
