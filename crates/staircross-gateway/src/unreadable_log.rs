//! Which items of the store that can't be used have been logged already.
//!
//! A listing repeats what stood there before. So each item has one line for each of its changes, however often it is read.
//!
//! [`UnreadableLog`] owns what was logged, by the store's key; the lines are written by the node.

use hashbrown::HashMap;
use staircross_routing::UnreadableItem;

/// Items remembered, some 100 bytes each; with more, all are logged again. Bounds them to some 100 KB.
const MAX_ITEMS: usize = 1024;

/// Revisions that were logged, by key.
#[derive(Debug, Default)]
pub struct UnreadableLog {
    logged: HashMap<String, Option<u64>>,
}

impl UnreadableLog {
    /// Notes an item; returns whether it or a change of it is new.
    pub fn is_new(&mut self, item: &UnreadableItem) -> bool {
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
