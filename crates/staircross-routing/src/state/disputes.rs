//! The searchers of whose entries the store holds another than the one that counts, and since when that is so.
//!
//! Of several incarnations under one id, the one with the latest start counts, so that a late write of an earlier one
//! doesn't close it (`known_entries`). But start times come from the searchers' clocks and from other writers, and the
//! latest may be wrong. A live incarnation writes its entry again within a heartbeat; if another one still stands in the
//! store after that, the store is right. This module measures the time; the mirror holds the entries.

use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The disputed ids. The time is that of the first call of [`Disputes::take_overdue`] after the dispute began.
#[derive(Debug, Default)]
pub(crate) struct Disputes {
    since: BTreeMap<Arc<str>, Option<BootTime>>,
}

impl Disputes {
    /// Records that the entry that counts under an id isn't the one that the store holds.
    pub fn begin(&mut self, instance: Arc<str>) {
        self.since.entry(instance).or_default();
    }

    /// Records that the entry that counts under an id is the one that the store holds.
    pub fn end(&mut self, instance: &str) {
        self.since.remove(instance);
    }

    /// Ends the disputes that have lasted for `max_age`, and returns their ids.
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
}
