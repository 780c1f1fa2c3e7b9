//! Which items of the store that can't be used have been told already.
//!
//! A listing tells again what stood there before. So each item has one line for each of its changes, however often it is read.

use hashbrown::HashMap;
use staircross_routing::UnreadableItem;

/// Items remembered, some 100 bytes each. With more, all are told again.
const MOST_ITEMS: usize = 1024;

/// What was told, by key.
#[derive(Debug, Default)]
pub struct UnreadableLog {
    told: HashMap<String, Option<u64>>,
}

impl UnreadableLog {
    /// Notes an item; returns whether it or a change of it is new.
    pub fn is_new(&mut self, item: &UnreadableItem) -> bool {
        if self.told.get(&item.key) == Some(&item.revision) {
            return false;
        }
        if self.told.len() >= MOST_ITEMS {
            self.told.clear();
        }
        self.told.insert(item.key.clone(), item.revision);
        true
    }
}
