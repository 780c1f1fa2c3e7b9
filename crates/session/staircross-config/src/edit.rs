//! Operators' edits of the platform's document.
//!
//! Nothing here puts anything in force: an edit makes a new document, checked as a whole, for the
//! operator to publish. A node follows the platform only.

use crate::document::PlatformDocument;
use crate::invalid::InvalidSetting;
use crate::service::{PolicyChange, ServiceDefinition, check_service_name};
use quick_error::quick_error;
use staircross_types::{SearcherId, ServiceName};

/// One edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceEdit {
    /// A new service over the searchers and shards of another.
    Create {
        /// Its name.
        service: ServiceName,
        /// The other.
        like: ServiceName,
        /// What differs.
        policy: PolicyChange,
    },
    /// New policy values.
    Alter {
        /// Of which service.
        service: ServiceName,
        /// The values.
        policy: PolicyChange,
    },
    /// Remove a service.
    Drop {
        /// Which.
        service: ServiceName,
    },
    /// Give a searcher no new work.
    Drain {
        /// Which.
        searcher: SearcherId,
    },
}

quick_error! {
    /// Why an edit can't be made.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum EditError {
        /// The document has another revision than the edit is based on.
        Conflict { based_on: u64, revision: u64 } {
            display("based on revision {based_on}, but {revision} is in force")
        }
        /// No service has the name.
        UnknownService { name: String } {
            display("no service is named {name}")
        }
        /// No service lists the searcher.
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
    /// The document after an edit, with the next revision. `based_on`, if given, must be this one's.
    pub fn edited(&self, edit: &ServiceEdit, based_on: Option<u64>) -> Result<PlatformDocument, EditError> {
        if let Some(based_on) = based_on.filter(|based_on| *based_on != self.revision) {
            return Err(EditError::Conflict { based_on, revision: self.revision });
        }
        let mut next = PlatformDocument { revision: self.revision + 1, ..self.clone() };
        match edit {
            ServiceEdit::Create { service, like, policy } => next.create(service, like, policy)?,
            ServiceEdit::Alter { service, policy } => {
                let altered = next.find_mut(service)?;
                altered.policy = altered.policy.with(policy);
            }
            ServiceEdit::Drop { service } => {
                next.find_mut(service)?;
                next.services.retain(|known| known.name != *service);
            }
            ServiceEdit::Drain { searcher } => next.drain(*searcher)?,
        }
        next.check()?;
        Ok(next)
    }

    fn create(&mut self, name: &ServiceName, like: &ServiceName, policy: &PolicyChange) -> Result<(), EditError> {
        check_service_name(name)?;
        let mut created = self.find_mut(like)?.clone();
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

    fn find_mut(&mut self, name: &ServiceName) -> Result<&mut ServiceDefinition, EditError> {
        let found = self.services.iter_mut().find(|service| service.name == *name);
        found.ok_or_else(|| EditError::UnknownService { name: name.to_string() })
    }
}
