//! Searchers of which the store holds something else than what counts, and when the store is right. Evacuations are
//! settled together with them; `evacuations` says when.
//!
//! Of several incarnations under one id, the one with the latest start counts (`known_entries`). But start times come from
//! the searchers' clocks and from other writers, and the latest may be wrong. And a store that has come back from an older
//! copy shows searchers as they were before: it lacks the entries of those that have registered since, and has those of
//! searchers that have left. A live searcher writes its entry again within a heartbeat, and the entry of one that has left
//! goes after three. So what is known counts for a bounded time; after that the store is right.

use super::pending::PendingChanges;
use super::{Mirror, MirrorChanges};
use crate::state::searcher_entry::REREGISTRATION_TIME;
use crate::state::store_revision::StoreRevision;
use crate::state::timed_ids::TimedIds;
use staircross_types::BootTime;
use std::time::Duration;

/// Time for which a searcher's entry is withheld although it stands in the store, because its removal was known before
/// the store came back. The entry of a searcher that has left goes after three heartbeats of 1.2 s in which nobody renews
/// it; the rest is for the time in which its end is heard of.
const WITHHOLDING_TIME: Duration = Duration::from_secs(5);

/// The searchers of which the store holds something else than what counts.
#[derive(Debug, Default)]
pub(super) struct UnsettledSearchers {
    /// The store holds another entry than the one of the latest start.
    pub disputes: TimedIds,
    /// The entries that count are of an epoch before that of the last complete listing: the copy from which the store has
    /// come back lacks them.
    pub unlisted: TimedIds,
    /// The entries are withheld: the copy has them, but their removal is known.
    pub withheld: TimedIds,
}

impl UnsettledSearchers {
    /// Lets the times begin anew that run since the store came back.
    pub fn restart_return(&mut self) {
        self.unlisted.restart();
        self.withheld.restart();
    }
}

impl Mirror {
    /// Lets the store be right about the searchers and zones of which its older copy said something else than was known,
    /// if there was time to write them again, and returns what that changes. The caller calls this regularly, since time
    /// passes only by these calls. `hears_of_store` says whether it hears of what the store holds; if not, the time
    /// begins anew.
    pub fn settle_return(&mut self, now: BootTime, hears_of_store: bool) -> MirrorChanges {
        let evacuated_before = self.evacuated();
        self.evacuations.settle(now, hears_of_store);
        let changes = self.settle_returned_searchers(now, hears_of_store);
        let evacuated = self.evacuated();
        let evacuated = (evacuated != evacuated_before).then_some(evacuated);
        MirrorChanges { evacuated, ..changes }
    }

    fn settle_returned_searchers(&mut self, now: BootTime, hears_of_store: bool) -> MirrorChanges {
        if !hears_of_store {
            self.unsettled.restart_return();
            return MirrorChanges::default();
        }
        let mut pending = PendingChanges::default();
        for instance in self.unsettled.withheld.take_overdue(now, WITHHOLDING_TIME) {
            if let Some(known) = self.searchers.get_mut(&instance) {
                let before = known.current().cloned();
                known.release();
                pending.searcher_mut(instance, before);
            }
        }
        let epoch = self.known_revision().epoch;
        for instance in self.unsettled.unlisted.take_overdue(now, REREGISTRATION_TIME) {
            if let Some(known) = self.searchers.get_mut(&instance).filter(|known| known.has_entry_before_epoch(epoch)) {
                let before = known.current().cloned();
                // Whatever is written in this epoch is newer than the removal.
                known.remove_up_to(StoreRevision::new(epoch, 0));
                pending.searcher_mut(instance, before);
            }
        }
        pending.into_changes(&self.searchers)
    }

    /// Lets the store's entry count for each searcher for which another has counted for `max_age`, and returns what that
    /// changes. The caller calls this regularly, since time passes only by these calls.
    pub fn settle_disputes(&mut self, now: BootTime, max_age: Duration) -> MirrorChanges {
        let mut pending = PendingChanges::default();
        for instance in self.unsettled.disputes.take_overdue(now, max_age) {
            if let Some(known) = self.searchers.get_mut(&instance) {
                let before = known.current().cloned();
                known.settle();
                pending.searcher_mut(instance, before);
            }
        }
        pending.into_changes(&self.searchers)
    }
}
