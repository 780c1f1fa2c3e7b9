//! The entries known under one searcher's id.
//!
//! This module holds the entries under one id and the revision of the newest known removal. The mirror maps ids to
//! these states.
//!
//! A searcher may restart under the same id, and changes of its incarnations arrive in any order, from the store and
//! from peers. The state doesn't depend on that order. It holds the revision of the newest removal and, of the entries
//! written after it, those that no other entry supersedes in both start time and revision. Of these, the entry of the
//! latest incarnation is current, so a late write of an earlier incarnation doesn't affect a later one. If the store still
//! holds another entry after some time, the mirror drops the others. Start times are compared only with each other, never
//! with a clock.

use crate::state::searcher_entry::SearcherEntry;
use crate::state::store_revision::{StoreEpoch, StoreRevision};

/// Maximum number of entries kept under one id. There is more than one only where an earlier incarnation wrote after a
/// later one. A restart during which both incarnations write needs two.
const MAX_ENTRIES_PER_ID: usize = 4;

/// An entry and the revision at which it was written.
#[derive(Clone, Debug)]
pub(crate) struct WrittenEntry {
    pub revision: StoreRevision,
    pub entry: SearcherEntry,
}

impl WrittenEntry {
    /// Returns whether this entry says anything that `before` didn't. After the store's return from an older copy the same
    /// entries are read again, in a new epoch.
    pub fn has_news_since(&self, before: &WrittenEntry) -> bool {
        let is_read_again = self.revision.epoch != before.revision.epoch && self.entry == before.entry;
        self.revision != before.revision && !is_read_again
    }

    /// Returns whether this entry can never become current once `other` is known, because every removal of `other`
    /// removes this entry too.
    fn is_superseded_by(&self, other: &WrittenEntry) -> bool {
        other.revision >= self.revision && other.entry.born_ms >= self.entry.born_ms
    }
}

/// The entries and the newest removal known under one id.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownEntries {
    /// The entries in ascending order of revision, and therefore in descending order of start time.
    entries: Vec<WrittenEntry>,
    /// Revision of the newest known removal; entries written up to it are gone.
    removed_up_to: StoreRevision,
    /// Revision of the newest removal that no longer withholds entries of a later epoch.
    released_removal: StoreRevision,
    /// Revision of the newest known write of an entry that can't be used, if there is one.
    unusable_at: StoreRevision,
}

impl KnownEntries {
    /// Inserts an entry unless it is known, superseded or removed. Returns whether it was inserted.
    pub fn insert(&mut self, written: WrittenEntry) -> bool {
        let is_known = self.entries.iter().any(|known| written.is_superseded_by(known));
        if is_known || written.revision <= self.removed_up_to {
            return false;
        }
        self.entries.retain(|known| !known.is_superseded_by(&written));
        let index = self.entries.partition_point(|known| known.revision < written.revision);
        self.entries.insert(index, written);
        self.entries.truncate(MAX_ENTRIES_PER_ID);
        true
    }

    /// Removes the entries written up to `revision`. Returns whether this removal is newer than those already known.
    pub fn remove_up_to(&mut self, revision: StoreRevision) -> bool {
        if revision <= self.removed_up_to {
            return false;
        }
        self.removed_up_to = revision;
        self.entries.retain(|known| known.revision > revision);
        true
    }

    /// Returns the current entry, which is that of the latest incarnation, unless it is withheld.
    pub fn current(&self) -> Option<&WrittenEntry> {
        self.entries.first().filter(|_| !self.is_withheld())
    }

    /// Returns whether the current entry is withheld: its removal was known in a former epoch, so it probably comes from the
    /// older copy from which the store has come back. Counts don't tell it from an entry that was written since: the copy
    /// may be older than an earlier return.
    pub fn is_withheld(&self) -> bool {
        let removal = self.removed_up_to;
        let is_later = |entry: &WrittenEntry| removal.epoch < entry.revision.epoch;
        removal > self.released_removal && self.entries.first().is_some_and(is_later)
    }

    /// Lets the entry count that is withheld, if there is one, and those that come later.
    pub fn release(&mut self) {
        self.released_removal = self.removed_up_to;
    }

    /// Returns whether any entry is of an epoch before this one.
    pub fn has_entry_before_epoch(&self, epoch: StoreEpoch) -> bool {
        self.entries.first().is_some_and(|oldest| oldest.revision.epoch < epoch)
    }

    /// Returns whether there are entries, and all are of an epoch before this one.
    pub fn are_before_epoch(&self, epoch: StoreEpoch) -> bool {
        self.entries.last().is_some_and(|newest| newest.revision.epoch < epoch)
    }

    /// Returns whether there are entries of several epochs.
    pub fn span_epochs(&self) -> bool {
        self.entries.last().is_some_and(|newest| self.has_entry_before_epoch(newest.revision.epoch))
    }

    /// Returns whether the current entry, withheld or not, was written at or before `revision`.
    pub fn has_current_entry_at(&self, revision: StoreRevision) -> bool {
        self.entries.first().is_some_and(|known| known.revision <= revision)
    }

    /// Records that an entry was written that can't be used. Returns whether it has overwritten a known one.
    pub fn note_unusable(&mut self, revision: StoreRevision) -> bool {
        self.unusable_at = self.unusable_at.max(revision);
        self.is_disputed()
    }

    /// Returns whether the store holds another entry than the current one.
    pub fn is_disputed(&self) -> bool {
        self.entries.len() > 1 || self.entries.last().is_some_and(|newest| newest.revision < self.unusable_at)
    }

    /// Drops all entries except the one that the store holds: the earlier ones were overwritten, which removed them.
    pub fn settle(&mut self) {
        let Some(newest) = self.entries.last() else {
            return;
        };
        match newest.revision < self.unusable_at {
            true => self.remove_up_to(self.unusable_at),
            false => self.remove_up_to(newest.revision.before()),
        };
    }

    /// Returns the current entry and those that become current if the entries of later incarnations are removed.
    pub fn entries(&self) -> &[WrittenEntry] {
        &self.entries
    }

    /// Returns the revision of the newest known removal, if one is known.
    pub fn removed_up_to(&self) -> StoreRevision {
        self.removed_up_to
    }
}
