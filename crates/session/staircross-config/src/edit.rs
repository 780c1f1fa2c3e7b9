//! Operators' edits of the platform's document.
//!
//! An edit creates a new document, which is checked as a whole. It takes effect only when the operator has published it
//! on the platform, because nodes read their configuration only from there.

use crate::document::PlatformDocument;
use crate::invalid::InvalidSetting;
use crate::service::{PolicyChange, ServiceDefinition, check_service_name};
use quick_error::quick_error;
use staircross_types::{SearcherId, ServiceName};

/// One edit of the service document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceEdit {
    /// Creates a service with the searchers and shard maps of another service.
    Create {
        /// Name of the new service.
        service: ServiceName,
        /// Name of the other service.
        like: ServiceName,
        /// Policy values that differ from the other service's.
        policy: PolicyChange,
    },
    /// Changes the policy of a service.
    Alter {
        /// Name of the service.
        service: ServiceName,
        /// The new policy values.
        policy: PolicyChange,
    },
    /// Removes a service.
    Drop {
        /// Name of the service.
        service: ServiceName,
    },
    /// Drains a searcher, which gets no new work from then on.
    Drain {
        /// Id of the searcher.
        searcher: SearcherId,
    },
}

quick_error! {
    /// Why an edit is refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum EditError {
        /// The document's revision is not the one that the edit is based on.
        Conflict { based_on: u64, revision: u64 } {
            display("based on revision {based_on}, but {revision} is in force")
        }
        /// No service has this name.
        UnknownService { name: String } {
            display("no service is named {name}")
        }
        /// No service lists this searcher.
        UnknownSearcher { id: SearcherId } {
            display("no service lists searcher {id}")
        }
        /// The new document would be invalid.
        Invalid(error: InvalidSetting) {
            from()
            display("{error}")
        }
    }
}

impl PlatformDocument {
    /// Returns the document after an edit, with the next revision. Fails if `based_on` is given and isn't the revision
    /// of this document.
    pub fn edited(&self, edit: &ServiceEdit, based_on: Option<u64>) -> Result<PlatformDocument, EditError> {
        if let Some(based_on) = based_on.filter(|based_on| *based_on != self.revision) {
            return Err(EditError::Conflict { based_on, revision: self.revision });
        }
        let mut next = PlatformDocument { revision: self.revision + 1, ..self.clone() };
        match edit {
            ServiceEdit::Create { service, like, policy } => next.create(service, like, policy)?,
            ServiceEdit::Alter { service, policy } => {
                let altered = next.find_service_mut(service)?;
                altered.policy = altered.policy.with(policy);
            }
            ServiceEdit::Drop { service } => {
                next.find_service_mut(service)?;
                next.services.retain(|known| known.name != *service);
            }
            ServiceEdit::Drain { searcher } => next.drain(*searcher)?,
        }
        next.check()?;
        Ok(next)
    }

    fn create(&mut self, name: &ServiceName, like: &ServiceName, policy: &PolicyChange) -> Result<(), EditError> {
        check_service_name(name)?;
        let mut created = self.find_service_mut(like)?.clone();
        created.name = name.clone();
        created.policy = created.policy.with(policy);
        self.services.push(created);
        Ok(())
    }

    fn drain(&mut self, searcher: SearcherId) -> Result<(), EditError> {
        let mut searchers = self.services.iter().flat_map(|service| &service.searchers);
        if !searchers.any(|known| known.id == searcher) {
            return Err(EditError::UnknownSearcher { id: searcher });
        }
        self.drained.insert(searcher);
        Ok(())
    }

    fn find_service_mut(&mut self, name: &ServiceName) -> Result<&mut ServiceDefinition, EditError> {
        let found = self.services.iter_mut().find(|service| service.name == *name);
        found.ok_or_else(|| EditError::UnknownService { name: name.to_string() })
    }
}
