//! Record of the calls that a searcher executed, with which tests compare the answers.

use serde::{Deserialize, Serialize};
use staircross_types::{ActionCommand, AttemptId, SearcherId, ShardId, Snapshot};

/// A call that a searcher executed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The searcher that executed the call.
    pub searcher: SearcherId,
    /// Id of the attempt that made the call.
    pub attempt: AttemptId,
    /// Snapshot on which the call was executed.
    pub snapshot: Snapshot,
    /// Shards that the call named.
    pub shards: Vec<ShardId>,
    /// The action, or `None` for a search.
    pub action: Option<ActionCommand>,
    /// Whether the searcher was draining when it executed the call.
    pub while_draining: bool,
}

/// All calls that a searcher executed, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// One entry per call.
    pub entries: Vec<LedgerEntry>,
}

/// Largest number of entries kept. The oldest ones are dropped beyond it.
const MAX_ENTRIES: usize = 1_000_000;

impl Ledger {
    /// Adds an entry and returns the number of entries kept. As long as no entry was dropped, this is the position of
    /// the new entry, counted from one.
    pub fn add(&mut self, entry: LedgerEntry) -> u64 {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.remove(0);
        }
        self.entries.push(entry);
        self.entries.len() as u64
    }

    /// Returns how many times an action with this note was executed.
    pub fn count_actions(&self, note: &str) -> usize {
        let matches = |entry: &&LedgerEntry| entry.action.as_ref().is_some_and(|action| action.note == note);
        self.entries.iter().filter(matches).count()
    }
}
