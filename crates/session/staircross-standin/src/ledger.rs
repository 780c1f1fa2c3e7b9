//! What truly ran at a searcher, for tests to compare answers with.

use serde::{Deserialize, Serialize};
use staircross_types::{ActionCommand, AttemptId, SearcherId, ShardId, Snapshot};

/// One call that ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The searcher.
    pub searcher: SearcherId,
    /// The call's identity.
    pub attempt: AttemptId,
    /// The snapshot it ran on.
    pub snapshot: Snapshot,
    /// Shards it touched.
    pub shards: Vec<ShardId>,
    /// For an action: what was done.
    pub action: Option<ActionCommand>,
    /// Whether the searcher was leaving when it ran.
    pub while_draining: bool,
}

/// All calls that ran, in order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The entries.
    pub entries: Vec<LedgerEntry>,
}

/// Entries kept; older ones are dropped.
const MAX_ENTRIES: usize = 1_000_000;

impl Ledger {
    /// Adds an entry and returns its number, from one.
    pub fn add(&mut self, entry: LedgerEntry) -> u64 {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.remove(0);
        }
        self.entries.push(entry);
        self.entries.len() as u64
    }

    /// How often an action with this note ran.
    pub fn count_actions(&self, note: &str) -> usize {
        let matches = |entry: &&LedgerEntry| entry.action.as_ref().is_some_and(|action| action.note == note);
        self.entries.iter().filter(matches).count()
    }
}
