//! The zones that are evacuated, whose searchers must get no new work, by revision.
//!
//! This module holds the last change of each zone and the revision of the newest listing; the mirror merges updates into
//! it.
//!
//! The end of an evacuation is remembered with its revision, as its start is, so that updates may arrive in any order
//! from the store or from peers. There is at most one entry for each zone.
//!
//! A store that has come back from an older copy shows each zone as it was before. Where that contradicts what was known,
//! it is doubtful whether the zone is being evacuated, until the operator writes again, or for [`DOUBT_TIME`].

use crate::state::store_revision::{StoreEpoch, StoreRevision};
use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which the copy from which the store has come back is doubted. The operator writes again within a second or two.
const DOUBT_TIME: Duration = Duration::from_millis(2500);

#[derive(Clone, Copy, Debug)]
struct ZoneState {
    revision: StoreRevision,
    is_active: bool,
}

/// What is known of one zone.
#[derive(Clone, Copy, Debug)]
struct KnownZone {
    /// The last change.
    last: ZoneState,
    /// The last change of a former epoch, unless it no longer matters.
    former: Option<ZoneState>,
}

/// The last change of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// Revision of the change.
    pub revision: StoreRevision,
    /// The zone.
    pub zone: Arc<str>,
    /// Whether the zone is being evacuated: its searchers must get no new work.
    pub is_active: bool,
}

/// The last known change of each zone, and the newest listing.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<Arc<str>, KnownZone>,
    /// Revision of the newest listing of all evacuations, if there was one.
    listed_revision: StoreRevision,
    /// Revision of the first listing of the present epoch. What is written after it isn't from the copy.
    first_listing: StoreRevision,
    /// Epoch before which nothing is held against the store any more.
    settled_epoch: StoreEpoch,
    /// Time since which a zone is doubtful; `None` if none is, or the time begins anew.
    doubted_since: Option<BootTime>,
}

impl KnownZone {
    /// Records a change, in any order of revisions.
    fn note(&mut self, change: ZoneState) {
        if change.revision <= self.last.revision {
            if change.revision.epoch < self.last.revision.epoch {
                self.note_former(change);
            }
            return;
        }
        if self.last.revision.epoch < change.revision.epoch {
            self.note_former(self.last);
        }
        self.last = change;
    }

    fn note_former(&mut self, change: ZoneState) {
        if self.former.is_none_or(|former| former.revision < change.revision) {
            self.former = Some(change);
        }
    }

    /// Returns the change of a former epoch that contradicts the last one, which probably comes from the copy.
    fn contradicted(&self, first_listing: StoreRevision) -> Option<ZoneState> {
        let last = self.last;
        let is_written_since = last.revision.epoch == first_listing.epoch && last.revision > first_listing;
        self.former.filter(|former| former.is_active != last.is_active && !is_written_since)
    }
}

impl Evacuations {
    /// Merges the start or end of an evacuation.
    pub fn merge_change(&mut self, revision: StoreRevision, zone: Arc<str>, is_active: bool) {
        let change = ZoneState { revision, is_active };
        // An evacuation that the newest listing left out had ended by that listing, but a peer that doesn't know of the
        // end may still send the start. The end is inserted, so that this node counts as knowing more than that peer,
        // which then asks for it.
        let ended = ZoneState { revision: self.listed_revision, is_active: false };
        let is_before_listing = is_active && revision <= self.listed_revision;
        let first = if is_before_listing { ended } else { change };
        let is_settled = revision.epoch < self.settled_epoch;
        let known = self.zones.entry(zone).or_insert(KnownZone { last: first, former: None });
        if is_before_listing && known.last.revision < revision {
            known.note(ended);
        }
        known.note(change);
        known.former = known.former.filter(|_| !is_settled);
    }

    /// Merges a complete listing at `revision`: evacuations that it leaves out had ended by then.
    pub fn merge_listing(&mut self, revision: StoreRevision, listed: &[Arc<str>]) {
        if revision.epoch > self.listed_revision.epoch {
            self.first_listing = revision;
            self.doubted_since = None;
        }
        self.listed_revision = self.listed_revision.max(revision);
        for (zone, known) in &mut self.zones {
            if known.last.is_active && known.last.revision <= revision && !listed.contains(zone) {
                known.note(ZoneState { revision, is_active: false });
            }
        }
    }

    /// Lets the store be right about zones that have been doubtful for [`DOUBT_TIME`]. The caller calls this regularly, since
    /// time passes only by these calls. `hears_of_store` says whether it hears of what the store holds; if not, the time
    /// begins anew.
    pub fn settle(&mut self, now: BootTime, hears_of_store: bool) {
        let is_doubtful = self.zones.values().any(|known| known.contradicted(self.first_listing).is_some());
        if !is_doubtful || !hears_of_store {
            self.doubted_since = None;
            return;
        }
        if now.since(*self.doubted_since.get_or_insert(now)) >= DOUBT_TIME {
            self.settled_epoch = self.listed_revision.epoch;
            self.zones.values_mut().for_each(|known| known.former = None);
        }
    }

    /// Returns the zones that are being evacuated, and those that may be: the older copy of the store and what was known
    /// before contradict each other.
    pub fn active_or_doubtful(&self) -> Vec<Arc<str>> {
        self.zones_where(|known| known.last.is_active || known.contradicted(self.first_listing).is_some())
    }

    /// Returns the zones that are certainly being evacuated.
    pub fn active(&self) -> Vec<Arc<str>> {
        self.zones_where(|known| known.last.is_active && known.contradicted(self.first_listing).is_none())
    }

    fn zones_where(&self, holds: impl Fn(&KnownZone) -> bool) -> Vec<Arc<str>> {
        self.zones.iter().filter(|(_, known)| holds(known)).map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the revision of the newest known change or listing, or none while no evacuation is known. A listing counts,
    /// because any evacuation that it leaves out may have ended just before.
    pub fn newest(&self) -> StoreRevision {
        let newest_change = self.zones.values().map(|known| known.last.revision).max();
        newest_change.map_or(StoreRevision::NONE, |revision| revision.max(self.listed_revision))
    }

    /// Returns the revision of the newest listing of all evacuations, if there was one.
    pub fn listed_revision(&self) -> Option<StoreRevision> {
        (!self.listed_revision.is_none()).then_some(self.listed_revision)
    }

    /// Returns the changes that a peer lacks which knows all changes up to `revision`.
    ///
    /// Active evacuations are always sent, so the peer can tell that an evacuation that isn't sent had ended by
    /// [`Self::listed_revision`]. A node that has merged a peer's update watches the store only from the revision up to
    /// which that update was complete, and would never learn of earlier ends. A change of a former epoch that
    /// contradicts the copy is sent too, so that the peer doubts it as well.
    pub fn changes_after(&self, revision: StoreRevision) -> impl Iterator<Item = ZoneChange> {
        let newer = self.zones.iter().filter(move |(_, known)| known.last.revision > revision || known.last.is_active);
        newer.flat_map(|(zone, known)| {
            let states = known.contradicted(self.first_listing).into_iter().chain([known.last]);
            states.map(|state| ZoneChange { revision: state.revision, zone: zone.clone(), is_active: state.is_active })
        })
    }
}
