//! The services whose connections carry one attempt each, by the rule of [`crate::connection_reuse`].
//!
//! The searchers of a service run the same software, so what one of them sends is expected of all.

use crate::connection_reuse::{ConnectionReuse, Evidence};
use hashbrown::HashMap;
use staircross_types::BootTime;
use std::sync::Arc;

/// The rule's state for each service that has sent an ambiguous answer.
#[derive(Debug, Default)]
pub(super) struct ReuseByService {
    services: HashMap<Arc<str>, ConnectionReuse>,
}

impl ReuseByService {
    /// Records an ambiguous answer of a service. Returns whether its connections could be reused until now.
    pub fn note_ambiguous(&mut self, service: &Arc<str>, evidence: Evidence, now: BootTime) -> bool {
        self.services.retain(|_, reuse| !reuse.is_allowed(now));
        self.services.entry(service.clone()).or_default().note_ambiguous(evidence, now)
    }

    /// Returns whether a connection to a searcher of the service may carry a further attempt.
    pub fn is_allowed(&self, service: &str, now: BootTime) -> bool {
        self.services.get(service).is_none_or(|reuse| reuse.is_allowed(now))
    }
}
