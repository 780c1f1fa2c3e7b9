//! Contents that a searcher has answered lately, and which are therefore known to be harmless.

use crate::keys::ContentKey;
use hashbrown::HashSet;
use staircross_types::BootTime;
use std::time::Duration;

/// Maximum number of contents in one generation; two generations are kept. This bounds memory to some 80 KB.
const MAX_GENERATION_CONTENTS: usize = 2048;
/// Time after which a generation ends even if few contents were answered, because searchers may run another version by
/// then. An answer thus counts for ten to twenty minutes.
const GENERATION_TIME: Duration = Duration::from_secs(600);

/// The contents answered last, in two generations. When the recent generation is full, it replaces the older one.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    recent: HashSet<ContentKey>,
    older: HashSet<ContentKey>,
    begun_at: BootTime,
}

impl RecentAnswers {
    /// Records that a searcher has answered a content.
    pub fn record(&mut self, now: BootTime, content: ContentKey) {
        if self.recent.len() >= MAX_GENERATION_CONTENTS || now.since(self.begun_at) >= GENERATION_TIME {
            self.older = std::mem::take(&mut self.recent);
            self.begun_at = now;
        }
        self.recent.insert(content);
    }

    /// Removes a content because a searcher was lost while running it.
    pub fn remove(&mut self, content: ContentKey) {
        self.recent.remove(&content);
        self.older.remove(&content);
    }

    /// Returns whether a content was answered lately.
    pub fn contains(&self, content: ContentKey) -> bool {
        self.recent.contains(&content) || self.older.contains(&content)
    }
}
