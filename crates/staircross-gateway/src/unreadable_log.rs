//! Which items of the store that can't be used have been logged already.
//!
//! A listing tells again what stood there before. So each item has one line for each of its changes, however often it is read.

use hashbrown::HashMap;
use staircross_routing::UnreadableItem;

/// Items remembered, some 100 bytes each. With more, all are told again.
const MAX_ITEMS: usize = 1024;

/// What was told, by key.
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
