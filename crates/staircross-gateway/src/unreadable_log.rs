//! Remembers which unusable items of the store have been logged.
//!
//! Each listing of the store returns the same unusable items again. So an item is logged only once for each of its
//! revisions, however often it is read.
//!
//! [`UnreadableLog`] owns the logged revisions by store key; the node writes the lines.

use hashbrown::HashMap;
use staircross_routing::{StoreRevision, UnreadableItem};

/// Maximum number of items remembered, at some 100 bytes each, which bounds the memory to some 100 KB. When it is
/// exceeded, the list is cleared and all items are logged again.
const MAX_ITEMS: usize = 1024;

/// The logged revisions of unusable items, by store key.
#[derive(Debug, Default)]
pub struct UnreadableLog {
    logged: HashMap<String, Option<StoreRevision>>,
}

impl UnreadableLog {
    /// Remembers an item, and returns whether the item or its revision is new and must be logged.
    pub fn insert(&mut self, item: &UnreadableItem) -> bool {
        if self.logged.get(&item.key) == Some(&item.revision) {
            return false;
        }
        if self.logged.len() >= MAX_ITEMS {
            self.logged.clear();
        }
        self.logged.insert(item.key.clone(), item.revision);
        true
    }
}
