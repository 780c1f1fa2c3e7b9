//! The revisions up to which a node knows the changes of one kind of the store's items.
//!
//! This module holds two revisions that are easily confused: the revision up to which all changes are known, and the
//! revision of the newest known change. They differ if items changed while the pages of a listing were read: a later
//! page then contains a change although an earlier change isn't known yet. A node that asked a peer or watched the
//! store from the newest change on would never learn of the changes in between.

use crate::state::store_revision::StoreRevision;

/// The known revisions of one kind of items.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownRevisions {
    complete_up_to: StoreRevision,
    newest_change: StoreRevision,
}

impl KnownRevisions {
    /// Records that all changes up to a revision are known.
    pub fn note_complete(&mut self, up_to: StoreRevision) {
        self.complete_up_to = self.complete_up_to.max(up_to);
    }

    /// Records that a change made at `revision` is known, or a listing at `revision`, which implies the removals before.
    pub fn note_change(&mut self, revision: StoreRevision) {
        self.newest_change = self.newest_change.max(revision);
    }

    /// Returns the revision up to which all changes are known; none before the first complete listing or update.
    pub fn complete_up_to(&self) -> StoreRevision {
        self.complete_up_to
    }

    /// Returns the revision of the newest known change, whether or not all changes before it are known.
    pub fn latest_change(&self) -> StoreRevision {
        self.newest_change
    }

    /// Returns the revision of the newest known change, but at most [`Self::complete_up_to`]. Nodes compare it to find
    /// out which of them knows more, because unlike [`Self::complete_up_to`] it rises only with changes.
    pub fn newest_change(&self) -> StoreRevision {
        self.newest_change.min(self.complete_up_to)
    }
}
