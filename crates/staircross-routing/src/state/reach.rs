//! The revisions up to which a node knows the changes of one kind of the store's items.
//!
//! This module holds two revisions that are easily confused: the revision up to which all changes are known, and the
//! revision of the newest known change. They differ if items changed while the pages of a listing were read: a later
//! page then contains a change although an earlier change isn't known yet. A node that asked a peer or watched the
//! store from the newest change on would never be told of the changes in between.

/// The known revisions of one kind of items.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reach {
    up_to: u64,
    newest: u64,
}

impl Reach {
    /// Records that all changes up to a revision are known.
    pub fn note_whole(&mut self, up_to: u64) {
        self.up_to = self.up_to.max(up_to);
    }

    /// Records that a change made at `revision` is known.
    pub fn note_change(&mut self, revision: u64) {
        self.newest = self.newest.max(revision);
    }

    /// Returns the revision up to which all changes are known; 0 before the first complete listing or update.
    pub fn up_to(&self) -> u64 {
        self.up_to
    }

    /// Returns the revision of the newest known change, but at most [`Self::up_to`]. Nodes compare it to find out which
    /// of them knows more, because unlike [`Self::up_to`] it rises only with changes.
    pub fn newest(&self) -> u64 {
        self.newest.min(self.up_to)
    }
}
