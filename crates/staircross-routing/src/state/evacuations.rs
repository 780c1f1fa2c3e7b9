//! The zones that are evacuated, whose searchers must get no new work, by revision.
//!
//! This module holds the last change of each zone and the revision of the newest listing; the mirror merges updates into
//! it.
//!
//! The end of an evacuation is remembered with its revision, as its start is, so that updates may arrive in any order
//! from the store or from peers. There is at most one entry for each zone.

use crate::state::store_revision::StoreRevision;
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Copy, Debug)]
struct ZoneState {
    revision: StoreRevision,
    is_active: bool,
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
    zones: BTreeMap<Arc<str>, ZoneState>,
    /// Revision of the newest listing of all evacuations, if there was one.
    listed_revision: StoreRevision,
}

impl Evacuations {
    /// Merges the start or end of an evacuation. Returns whether the set of evacuated zones changed.
    pub fn merge_change(&mut self, revision: StoreRevision, zone: Arc<str>, is_active: bool) -> bool {
        let known = self.zones.get(&zone).copied();
        // An evacuation that the newest listing left out had ended by that listing, but a peer that doesn't know of the
        // end may still send the start. The end is inserted, so that this node counts as knowing more than that peer,
        // which then asks for it.
        let had_ended = known.is_none() && is_active && revision <= self.listed_revision;
        if had_ended {
            self.zones.insert(zone, ZoneState { revision: self.listed_revision, is_active: false });
            return false;
        }
        if known.is_some_and(|known| known.revision >= revision) {
            return false;
        }
        self.zones.insert(zone, ZoneState { revision, is_active });
        known.is_some_and(|known| known.is_active) != is_active
    }

    /// Merges a complete listing at `revision`: evacuations that it leaves out had ended by then.
    /// Returns whether any known evacuation ended that way.
    pub fn merge_listing(&mut self, revision: StoreRevision, listed: &[Arc<str>]) -> bool {
        self.listed_revision = self.listed_revision.max(revision);
        let mut has_ended = false;
        for (zone, state) in &mut self.zones {
            if state.is_active && state.revision <= revision && !listed.contains(zone) {
                *state = ZoneState { revision, is_active: false };
                has_ended = true;
            }
        }
        has_ended
    }

    /// Returns the zones that are being evacuated.
    pub fn active(&self) -> Vec<Arc<str>> {
        let active = self.zones.iter().filter(|(_, state)| state.is_active);
        active.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the revision of the newest known change or listing, or none while no evacuation is known. A listing counts,
    /// because any evacuation that it leaves out may have ended just before.
    pub fn newest(&self) -> StoreRevision {
        let newest_change = self.zones.values().map(|state| state.revision).max();
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
    /// which that update was complete, and would never learn of earlier ends.
    pub fn changes_after(&self, revision: StoreRevision) -> impl Iterator<Item = ZoneChange> {
        let newer = self.zones.iter().filter(move |(_, state)| state.revision > revision || state.is_active);
        newer.map(|(zone, state)| ZoneChange {
            revision: state.revision,
            zone: zone.clone(),
            is_active: state.is_active,
        })
    }
}
