//! Entries of searchers at their starts.

use super::searcher;
use staircross_routing::SearcherEntry;

/// The entry of a searcher of books at one of its starts.
pub fn started(instance: &str, born_ms: u64) -> SearcherEntry {
    SearcherEntry { born_ms, ..searcher(instance, "books", "a") }
}

/// The same once it says that it leaves.
pub fn draining(instance: &str, born_ms: u64) -> SearcherEntry {
    SearcherEntry { is_draining: true, ..started(instance, born_ms) }
}
