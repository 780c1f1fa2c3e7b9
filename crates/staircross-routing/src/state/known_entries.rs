//! What is known of the entries written under one searcher's id.
//!
//! Owns the entries that hold under one id, and the revision up to which all before have ended. Relies on the mirror for the ids.
//!
//! A searcher may start again under the id that it had, and reports of its incarnations come in any order, from the store and from peers.
//! So the state is such that the order doesn't matter: the newest end of the entry, and of the entries written after it those that no
//! other outdoes in both start and revision. Of these, the one of the latest incarnation holds, so that nothing reported of an earlier
//! one touches a later one. Starts are compared with each other and with no clock.

use crate::state::searcher_entry::SearcherEntry;

/// Entries remembered under one id. There is more than one only where an earlier incarnation wrote after a later one. Above the two of a restart that
/// overlaps.
const MAX_STANDING: usize = 4;

/// An entry and the revision at which it was written.
#[derive(Clone, Debug)]
pub(crate) struct WrittenEntry {
    pub revision: u64,
    pub entry: SearcherEntry,
}

impl WrittenEntry {
    /// Whether nothing can make this entry hold once the other is known: what ends the other ends this one too.
    fn is_outdone_by(&self, other: &WrittenEntry) -> bool {
        other.revision >= self.revision && other.entry.born_ms >= self.entry.born_ms
    }
}

/// What is known under one id.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownEntries {
    /// By revision; the later written, the earlier the incarnation.
    standing: Vec<WrittenEntry>,
    /// What was written up to this revision has gone.
    ended_at: u64,
}

impl KnownEntries {
    /// Takes an entry; returns whether it is new.
    pub fn take(&mut self, written: WrittenEntry) -> bool {
        let is_known = self.standing.iter().any(|known| written.is_outdone_by(known));
        if is_known || written.revision <= self.ended_at {
            return false;
        }
        self.standing.retain(|known| !known.is_outdone_by(&written));
        let place = self.standing.partition_point(|known| known.revision < written.revision);
        self.standing.insert(place, written);
        self.standing.truncate(MAX_STANDING);
        true
    }

    /// Notes that what was written up to a revision has gone; returns whether that is new.
    pub fn end(&mut self, revision: u64) -> bool {
        if revision <= self.ended_at {
            return false;
        }
        self.ended_at = revision;
        self.standing.retain(|known| known.revision > revision);
        true
    }

    /// The entry that holds: that of the latest incarnation.
    pub fn current(&self) -> Option<&WrittenEntry> {
        self.standing.first()
    }

    /// Whether an entry holds that was written by a revision.
    pub fn stands_at(&self, revision: u64) -> bool {
        self.current().is_some_and(|known| known.revision <= revision)
    }

    /// Entries that hold, or will if those of later incarnations end.
    pub fn standing(&self) -> &[WrittenEntry] {
        &self.standing
    }

    /// Revision of the newest end; 0 where none is known.
    pub fn ended_at(&self) -> u64 {
        self.ended_at
    }
}
