//! The changes that were last handled in one way, bounded.

use crate::config_state::ChangeId;
use std::collections::VecDeque;

/// Ids remembered; the oldest is forgotten first.
const MAX_REMEMBERED: usize = 1024;

/// Ids of changes, newest last.
#[derive(Default)]
pub(crate) struct RecentIds {
    ids: VecDeque<ChangeId>,
}

impl RecentIds {
    /// Remembers an id.
    pub fn remember(&mut self, id: ChangeId) {
        if self.ids.len() >= MAX_REMEMBERED {
            self.ids.pop_front();
        }
        self.ids.push_back(id);
    }

    /// Whether an id is remembered.
    pub fn contains(&self, id: ChangeId) -> bool {
        self.ids.contains(&id)
    }
}
