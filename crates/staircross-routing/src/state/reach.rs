//! How far a node's knowledge of one kind of the store's items reaches.
//!
//! Owns two revisions that are easily taken for one: up to which all changes are known, and which known change is the newest. They differ where
//! pages of a listing were read while items changed: a later page shows a change though an earlier one, made before it, isn't known yet. Whoever asked
//! or watched from the newest change on would never hear of what lies between.

/// What is known of one kind of items.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reach {
    up_to: u64,
    newest: u64,
}

impl Reach {
    /// All changes up to a revision are known.
    pub fn note_whole(&mut self, up_to: u64) {
        self.up_to = self.up_to.max(up_to);
    }

    /// A change is known that was made at a revision.
    pub fn note_change(&mut self, revision: u64) {
        self.newest = self.newest.max(revision);
    }

    /// Revision up to which all changes are known; 0 where nothing is known whole.
    pub fn up_to(&self) -> u64 {
        self.up_to
    }

    /// Newest change before which nothing is lacking. Nodes compare it to find out who knows more: unlike [`Self::up_to`], it rises only with changes.
    pub fn newest(&self) -> u64 {
        self.newest.min(self.up_to)
    }
}
