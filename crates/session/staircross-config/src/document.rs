//! What the platform publishes: a service document with a revision, and a machine list that may be out of date.

use crate::invalid::InvalidSetting;
use crate::service::{SearcherDefinition, ServiceDefinition};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use staircross_types::SearcherId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The platform's service document, which defines all services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformDocument {
    /// Number that rises with each change. A document never replaces one of a higher revision.
    pub revision: u64,
    /// All services.
    pub services: Vec<ServiceDefinition>,
    /// Searchers that get no new work.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub drained: BTreeSet<SearcherId>,
}

impl PlatformDocument {
    /// Creates a document with these services, without drained searchers.
    pub fn new(revision: u64, services: Vec<ServiceDefinition>) -> Self {
        PlatformDocument { revision, services, drained: BTreeSet::new() }
    }

    /// Parses a document from JSON and checks it. `origin` names the source in errors.
    pub fn from_json(origin: &str, text: &str) -> Result<Self, InvalidSetting> {
        let document: PlatformDocument = serde_json::from_str(text)
            .map_err(|error| InvalidSetting::Unreadable { origin: origin.to_owned(), reason: error.to_string() })?;
        document.check()?;
        Ok(document)
    }

    /// Checks every service, that no service name occurs twice, and that a searcher that several services list is
    /// defined the same in each.
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

/// State of a machine according to the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine is in service.
    Live,
    /// The machine is about to be taken out of service.
    Leaving,
}

/// One machine of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineEntry {
    /// Address at which the process of the machine listens.
    pub address: SocketAddr,
    /// State of the machine. It may be out of date.
    pub state: MachineState,
}

/// The platform's list of machines. It may be out of date and is only a hint, except that a machine listed as leaving
/// is treated as leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// All machines that the platform knows.
    pub machines: Vec<MachineEntry>,
}

/// A machine list as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadMachineList {
    /// The entries that can be used.
    pub list: MachineList,
    /// Positions in the list, from 0, of the entries that can't be used.
    pub unusable: Vec<usize>,
}

/// A machine list whose entries haven't been parsed.
#[derive(Deserialize)]
struct RawMachineList<'a> {
    #[serde(borrow)]
    machines: Vec<&'a RawValue>,
}

impl ReadMachineList {
    /// Parses a list from JSON. Entries are written by various programs, so each is parsed by itself: one that can't be
    /// used doesn't affect the others. Unknown fields are ignored. `origin` names the source in errors.
    pub fn from_json(origin: &str, text: &str) -> Result<Self, InvalidSetting> {
        let raw: RawMachineList<'_> = serde_json::from_str(text)
            .map_err(|error| InvalidSetting::Unreadable { origin: origin.to_owned(), reason: error.to_string() })?;
        let mut read = ReadMachineList::default();
        for (position, entry) in raw.machines.into_iter().enumerate() {
            match serde_json::from_str(entry.get()) {
                Ok(machine) => read.list.machines.push(machine),
                // The error may quote what another program wrote, at any length, so only the position is kept.
                Err(_) => read.unusable.push(position),
            }
        }
        Ok(read)
    }
}
