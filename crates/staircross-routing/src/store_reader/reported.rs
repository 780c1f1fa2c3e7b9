//! The changes of the store that probes have shown, and those that replies of any lane have reported.
//!
//! The store counts its changes, so a change that a probe shows has been missed by a watch only if no lane has reported the
//! revision. This tells the changes of one lane from those that the other lane's watch has missed.

use crate::state::mirror::MirrorUpdate;
use crate::state::store_revision::StoreRevision;
use staircross_types::BootTime;
use std::collections::BTreeSet;

/// Maximum number of reported revisions beyond a gap. More are forgotten, which bounds memory; the lanes are then asked
/// about changes that they may not have missed.
const MAX_BEYOND: usize = 4096;

/// A revision of the store that a probe returned.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbedRevision {
    pub revision: StoreRevision,
    /// Time of the reply.
    pub at: BootTime,
}

/// Revisions whose changes were reported.
#[derive(Debug, Default)]
pub(super) struct ReportedRevisions {
    /// Revision up to which every change was reported, or isn't of a lane's items.
    up_to: StoreRevision,
    /// Counts of the changes beyond, in the same epoch, that were reported.
    beyond: BTreeSet<u64>,
}

impl ReportedRevisions {
    /// Returns whether all changes up to the revision were reported.
    pub fn reach(&self, revision: StoreRevision) -> bool {
        revision <= self.up_to
    }

    /// Records that all lanes know all changes of their items up to the revision.
    pub fn complete_up_to(&mut self, revision: StoreRevision) {
        if revision > self.up_to {
            let is_new_epoch = revision.epoch != self.up_to.epoch;
            self.beyond = if is_new_epoch { BTreeSet::new() } else { self.beyond.split_off(&(revision.count + 1)) };
            self.up_to = revision;
        }
        self.extend();
    }

    /// Records the changes of an update.
    pub fn add(&mut self, update: &MirrorUpdate) {
        let of_items = update.items.iter().map(|(revision, _)| *revision);
        let of_unreadable = update.unreadable.iter().filter_map(|item| item.revision);
        let (epoch, up_to) = (self.up_to.epoch, self.up_to);
        let beyond = of_items.chain(of_unreadable).filter(|revision| revision.epoch == epoch && *revision > up_to);
        self.beyond.extend(beyond.map(|revision| revision.count));
        if self.beyond.len() > MAX_BEYOND {
            self.beyond.clear();
        }
        self.extend();
    }

    fn extend(&mut self) {
        while self.beyond.remove(&(self.up_to.count + 1)) {
            self.up_to.count += 1;
        }
    }
}
