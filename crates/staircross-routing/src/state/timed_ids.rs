//! Ids of searchers of which something has held for some time, and since when.
//!
//! The mirror lets what it knows of a searcher count for a bounded time although the store holds something else. This
//! module measures the time; the mirror holds the entries.

use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Ids and times. The time of an id is that of the first call of [`TimedIds::take_overdue`] after it was added.
#[derive(Debug, Default)]
pub(crate) struct TimedIds {
    since: BTreeMap<Arc<str>, Option<BootTime>>,
}

impl TimedIds {
    /// Adds an id; one that is there keeps its time.
    pub fn insert(&mut self, instance: Arc<str>) {
        self.since.entry(instance).or_default();
    }

    /// Removes an id, if it is there.
    pub fn remove(&mut self, instance: &str) {
        self.since.remove(instance);
    }

    /// Removes and returns the ids that have been there for `max_age`.
    pub fn take_overdue(&mut self, now: BootTime, max_age: Duration) -> Vec<Arc<str>> {
        let mut overdue = Vec::new();
        self.since.retain(|instance, since| {
            let is_overdue = now.since(*since.get_or_insert(now)) >= max_age;
            if is_overdue {
                overdue.push(instance.clone());
            }
            !is_overdue
        });
        overdue
    }

    /// Lets the time of each id begin anew.
    pub fn restart(&mut self) {
        self.since.values_mut().for_each(|since| *since = None);
    }
}
