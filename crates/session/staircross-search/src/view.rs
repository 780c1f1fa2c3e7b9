//! What the nodes know about a searcher.

use serde::{Deserialize, Serialize};
use staircross_types::{SearcherId, SearcherIncarnation, Snapshot};

/// What a searcher reported about itself in reply to a probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReport {
    /// The incarnation of the searcher that reported.
    pub incarnation: SearcherIncarnation,
    /// Snapshots that the searcher holds.
    pub snapshots: Vec<Snapshot>,
    /// Whether the searcher is leaving.
    pub draining: bool,
}

/// What the leaf that owns a searcher knows about it. Leaves send their views to the roots and to other leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherView {
    /// The searcher that the view is about.
    pub searcher: SearcherId,
    /// The searcher's last report; `None` before its first one. Its snapshots are empty while the searcher doesn't
    /// answer.
    #[serde(rename = "evidence")]
    pub report: Option<ProbeReport>,
    /// Whether the searcher is leaving, according to itself, the platform, an operator or another leaf.
    pub leaving: bool,
}

impl SearcherView {
    /// Returns whether new work for `snapshot` may be planned on the searcher.
    pub fn serves(&self, snapshot: Snapshot) -> bool {
        let holds = self.report.as_ref().is_some_and(|report| report.snapshots.contains(&snapshot));
        holds && !self.leaving
    }
}
