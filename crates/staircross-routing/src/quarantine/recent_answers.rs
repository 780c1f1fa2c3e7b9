//! Contents that some searcher has answered lately, and so runs without harm.

use crate::keys::ContentKey;
use hashbrown::HashSet;
use staircross_types::BootTime;
use std::time::Duration;

/// Contents of one generation; two are kept, some 80 KB.
const MOST_CONTENTS: usize = 2048;
/// Time after which a generation is full though few contents were answered: searchers may be of another version by then.
const GENERATION_TIME: Duration = Duration::from_secs(600);

/// The contents answered last, in two generations: when the young one is full, it takes the place of the old.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    young: HashSet<ContentKey>,
    old: HashSet<ContentKey>,
    begun_at: BootTime,
}

impl RecentAnswers {
    /// A searcher has answered a content.
    pub fn note(&mut self, now: BootTime, content: ContentKey) {
        if self.young.len() >= MOST_CONTENTS || now.since(self.begun_at) >= GENERATION_TIME {
            self.old = std::mem::take(&mut self.young);
            self.begun_at = now;
        }
        self.young.insert(content);
    }

    /// A searcher was lost under a content.
    pub fn forget(&mut self, content: ContentKey) {
        self.young.remove(&content);
        self.old.remove(&content);
    }

    /// Whether a content was answered lately.
    pub fn contains(&self, content: ContentKey) -> bool {
        self.young.contains(&content) || self.old.contains(&content)
    }
}
