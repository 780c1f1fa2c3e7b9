//! The replicated configuration and how a change applies to it.
//!
//! Applying is deterministic: every node that has applied the same entries holds the same state.
//! Revisions are positions in the agreed log and only rise.

use crate::quorum::VoterSet;
use serde::{Deserialize, Serialize};
use staircross_config::service::check_service_name;
use staircross_config::{PlatformDocument, PolicyChange, ServiceDefinition};
use staircross_types::{ErrorKind, SearcherId, ServiceName};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

/// Identity of a change, drawn by whoever proposes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub u64);

impl fmt::Display for ChangeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// An operator's edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceEdit {
    /// A new service over the searchers and shards of another.
    Create { service: ServiceName, like: ServiceName, policy: PolicyChange },
    /// New policy values, laid over the platform's.
    Alter { service: ServiceName, policy: PolicyChange },
    /// No service of this name any more, whatever the platform says.
    Drop { service: ServiceName },
    /// No new work for a searcher.
    Drain { searcher: SearcherId },
}

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeBody {
    /// Nothing; a new leader's first entry.
    Noop,
    /// The platform has published a document.
    Platform(Arc<PlatformDocument>),
    /// An operator's edit, refused unless `based_on` (if given) is the revision in force.
    Edit { edit: ServiceEdit, based_on: Option<u64> },
    /// Another voter set.
    Voters(VoterSet),
}

/// One proposed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its identity.
    pub id: ChangeId,
    /// What it does.
    pub body: ChangeBody,
}

/// What became of a change when it was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// In the configuration since this revision.
    Applied { revision: u64 },
    /// Refused; the configuration is as it was.
    Refused { kind: ErrorKind },
}

/// One line of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The change.
    pub id: ChangeId,
    /// Its revision.
    pub revision: u64,
    /// What became of it.
    pub outcome: ChangeOutcome,
    /// What it was, for people.
    pub summary: String,
}

/// Changes remembered, so that the outcome of one can be asked for.
const MAX_HISTORY: usize = 256;

/// What a service that operators created consists of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CreatedService {
    like: ServiceName,
    policy: PolicyChange,
}

/// The configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Position of the last entry applied.
    pub revision: u64,
    /// Last platform document taken.
    pub platform: Option<Arc<PlatformDocument>>,
    /// Who votes.
    pub voters: VoterSet,
    /// Searchers that operators drain.
    pub drained: BTreeSet<SearcherId>,
    created: BTreeMap<ServiceName, CreatedService>,
    altered: BTreeMap<ServiceName, PolicyChange>,
    dropped: BTreeSet<ServiceName>,
    /// Latest changes, oldest first.
    pub history: VecDeque<HistoryEntry>,
}

impl ConfigState {
    /// The first state of a new fleet.
    pub fn founded_by(voters: VoterSet) -> Self {
        ConfigState { revision: 1, voters, ..ConfigState::default() }
    }

    /// Revision of the platform document taken last; zero when none was.
    pub fn platform_revision(&self) -> u64 {
        self.platform.as_ref().map_or(0, |document| document.revision)
    }

    /// Applies the entry at `revision`, which must follow the last one.
    pub fn apply(&mut self, revision: u64, change: &Change) -> ChangeOutcome {
        debug_assert_eq!(revision, self.revision + 1, "entries apply in order");
        let result = self.apply_body(&change.body);
        self.revision = revision;
        let outcome = match result {
            Ok(()) => ChangeOutcome::Applied { revision },
            Err(kind) => ChangeOutcome::Refused { kind },
        };
        self.remember(change, outcome);
        outcome
    }

    fn apply_body(&mut self, body: &ChangeBody) -> Result<(), ErrorKind> {
        match body {
            ChangeBody::Noop => Ok(()),
            ChangeBody::Platform(document) => self.take_platform(document),
            ChangeBody::Edit { edit, based_on } => {
                if based_on.is_some_and(|based_on| based_on != self.last_edit_revision()) {
                    return Err(ErrorKind::RevisionConflict);
                }
                self.apply_edit(edit)
            }
            ChangeBody::Voters(voters) => {
                self.voters = voters.clone();
                Ok(())
            }
        }
    }

    /// Revision of the last change to the services, which compare-and-set refers to.
    ///
    /// Changes of voters don't count: they would make every operator's change conflict.
    pub fn last_edit_revision(&self) -> u64 {
        let edits = self.history.iter().rev().filter(|entry| entry.summary != VOTERS_SUMMARY && entry.id != NOOP_ID);
        let applied = edits.filter_map(|entry| match entry.outcome {
            ChangeOutcome::Applied { revision } => Some(revision),
            ChangeOutcome::Refused { .. } => None,
        });
        applied.max().unwrap_or(0)
    }

    fn take_platform(&mut self, document: &Arc<PlatformDocument>) -> Result<(), ErrorKind> {
        // The platform may be stale or step back; what was accepted never reverts.
        if document.revision <= self.platform_revision() {
            return Err(ErrorKind::RevisionConflict);
        }
        document.check().map_err(|_| ErrorKind::InvalidConfiguration)?;
        self.platform = Some(document.clone());
        Ok(())
    }

    fn apply_edit(&mut self, edit: &ServiceEdit) -> Result<(), ErrorKind> {
        match edit {
            ServiceEdit::Create { service, like, policy } => self.create(service, like, policy),
            ServiceEdit::Alter { service, policy } => self.alter(service, policy),
            ServiceEdit::Drop { service } => self.drop_service(service),
            ServiceEdit::Drain { searcher } => {
                self.drained.insert(*searcher);
                Ok(())
            }
        }
    }

    fn create(&mut self, service: &ServiceName, like: &ServiceName, policy: &PolicyChange) -> Result<(), ErrorKind> {
        if self.service(service).is_some() {
            return Err(ErrorKind::InvalidConfiguration);
        }
        let Some(model) = self.service(like) else {
            return Err(ErrorKind::UnknownService);
        };
        check_service_name(service).map_err(|_| ErrorKind::InvalidConfiguration)?;
        model.policy.with(policy).check("policy").map_err(|_| ErrorKind::InvalidConfiguration)?;
        // A copy of a copy refers to the platform's service, so that dropping the first copy is safe.
        let mut created = CreatedService { like: like.clone(), policy: policy.clone() };
        if let Some(original) = self.created.get(like) {
            created = CreatedService { like: original.like.clone(), policy: original.policy.clone() };
            if let Some(altered) = self.altered.get(like) {
                created.policy.merge(altered);
            }
            created.policy.merge(policy);
        }
        self.dropped.remove(service);
        self.altered.remove(service);
        self.created.insert(service.clone(), created);
        Ok(())
    }

    fn alter(&mut self, service: &ServiceName, policy: &PolicyChange) -> Result<(), ErrorKind> {
        let Some(present) = self.service(service) else {
            return Err(ErrorKind::UnknownService);
        };
        present.policy.with(policy).check("policy").map_err(|_| ErrorKind::InvalidConfiguration)?;
        self.altered.entry(service.clone()).or_default().merge(policy);
        Ok(())
    }

    fn drop_service(&mut self, service: &ServiceName) -> Result<(), ErrorKind> {
        if self.service(service).is_none() {
            return Err(ErrorKind::UnknownService);
        }
        self.created.remove(service);
        self.altered.remove(service);
        self.dropped.insert(service.clone());
        Ok(())
    }

    fn remember(&mut self, change: &Change, outcome: ChangeOutcome) {
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        let summary = change.body.summary();
        self.history.push_back(HistoryEntry { id: change.id, revision: self.revision, outcome, summary });
    }

    /// What became of a change, if it is remembered.
    pub fn outcome_of(&self, id: ChangeId) -> Option<&HistoryEntry> {
        self.history.iter().rev().find(|entry| entry.id == id)
    }

    fn platform_service(&self, name: &ServiceName) -> Option<&ServiceDefinition> {
        self.platform.as_ref()?.services.iter().find(|service| service.name == *name)
    }

    /// The definition in force of one service.
    pub fn service(&self, name: &ServiceName) -> Option<ServiceDefinition> {
        if self.dropped.contains(name) {
            return None;
        }
        let mut definition = match self.created.get(name) {
            Some(created) => {
                let mut definition = self.platform_service(&created.like)?.clone();
                definition.name = name.clone();
                definition.policy = definition.policy.with(&created.policy);
                definition
            }
            None => self.platform_service(name)?.clone(),
        };
        if let Some(altered) = self.altered.get(name) {
            definition.policy = definition.policy.with(altered);
        }
        Some(definition)
    }

    /// All definitions in force.
    pub fn services(&self) -> Vec<ServiceDefinition> {
        let from_platform = self.platform.iter().flat_map(|document| &document.services).map(|service| &service.name);
        let mut names: Vec<&ServiceName> = from_platform.chain(self.created.keys()).collect();
        names.sort_unstable();
        names.dedup();
        names.into_iter().filter_map(|name| self.service(name)).collect()
    }

    /// A platform document that makes the operators' changes permanent.
    pub fn export(&self) -> PlatformDocument {
        PlatformDocument { revision: self.platform_revision() + 1, services: self.services() }
    }
}

/// Summary of a change of voters.
const VOTERS_SUMMARY: &str = "voters";
/// Identity of every entry that does nothing.
const NOOP_ID: ChangeId = ChangeId(0);

impl ChangeBody {
    /// What the change is, for people.
    pub fn summary(&self) -> String {
        match self {
            ChangeBody::Noop => "new leader".to_owned(),
            ChangeBody::Platform(document) => format!("platform document {}", document.revision),
            ChangeBody::Voters(_) => VOTERS_SUMMARY.to_owned(),
            ChangeBody::Edit { edit, .. } => match edit {
                ServiceEdit::Create { service, like, .. } => format!("create {service} like {like}"),
                ServiceEdit::Alter { service, .. } => format!("alter {service}"),
                ServiceEdit::Drop { service } => format!("drop {service}"),
                ServiceEdit::Drain { searcher } => format!("drain searcher {searcher}"),
            },
        }
    }
}
