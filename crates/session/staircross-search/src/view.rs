//! What is known about a searcher.

use serde::{Deserialize, Serialize};
use staircross_types::{SearcherId, SearcherIncarnation, Snapshot};

/// A searcher's own statement about itself, from direct contact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The run of the searcher that speaks.
    pub incarnation: SearcherIncarnation,
    /// Snapshots that it holds.
    pub snapshots: Vec<Snapshot>,
    /// Whether it is leaving.
    pub draining: bool,
}

/// An owner's view of a searcher, spread to roots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherView {
    /// The searcher.
    pub searcher: SearcherId,
    /// What it last said; `None` when it doesn't answer.
    pub evidence: Option<Evidence>,
    /// Whether it is leaving, by any source.
    pub leaving: bool,
}

impl SearcherView {
    /// Whether new work for `snapshot` may be planned on the searcher.
    pub fn serves(&self, snapshot: Snapshot) -> bool {
        let holds = self.evidence.as_ref().is_some_and(|evidence| evidence.snapshots.contains(&snapshot));
        holds && !self.leaving
    }
}
