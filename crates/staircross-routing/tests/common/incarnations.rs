//! Store entries of successive starts of a searcher.

use super::searcher;
use staircross_routing::SearcherEntry;

/// Returns the entry of a searcher of `books` that started at `born_ms`.
pub fn started(instance: &str, born_ms: u64) -> SearcherEntry {
    SearcherEntry { born_ms, ..searcher(instance, "books", "a") }
}

/// Returns the entry that [`started`] returns, marked as draining.
pub fn draining(instance: &str, born_ms: u64) -> SearcherEntry {
    SearcherEntry { is_draining: true, ..started(instance, born_ms) }
}
