//! Contents that some searcher has answered lately, and so runs without harm.

use crate::keys::ContentKey;
use hashbrown::HashSet;
use staircross_types::BootTime;
use std::time::Duration;

/// Contents of one generation at most; two are kept. A bound on memory, some 80 KB.
const MAX_CONTENTS: usize = 2048;
/// Time after which a generation ends though few contents were answered: searchers may be of another version by then. So that an answer counts for
/// ten to twenty minutes.
const GENERATION_TIME: Duration = Duration::from_secs(600);

/// The contents answered last, in two generations: when the recent one is full, it takes the place of the old.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    recent: HashSet<ContentKey>,
    older: HashSet<ContentKey>,
    begun_at: BootTime,
}

impl RecentAnswers {
    /// A searcher has answered a content.
    pub fn note(&mut self, now: BootTime, content: ContentKey) {
        if self.recent.len() >= MAX_CONTENTS || now.since(self.begun_at) >= GENERATION_TIME {
            self.older = std::mem::take(&mut self.recent);
            self.begun_at = now;
        }
        self.recent.insert(content);
    }

    /// A searcher was lost under a content.
    pub fn forget(&mut self, content: ContentKey) {
        self.recent.remove(&content);
        self.older.remove(&content);
    }

    /// Whether a content was answered lately.
    pub fn contains(&self, content: ContentKey) -> bool {
        self.recent.contains(&content) || self.older.contains(&content)
    }
}
