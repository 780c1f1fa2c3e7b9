//! Zones whose searchers are to get no new work, by revision.
//!
//! Owns the last change of each zone and the revision of the newest listing. Relies on nothing else; the mirror merges into it.
//!
//! Ends are remembered with their revision like beginnings, so that updates may come in any order from the store or from peers.
//! There are as many entries as zones.

use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Copy, Debug)]
struct ZoneState {
    revision: u64,
    is_active: bool,
}

/// The last change of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// Revision of the change.
    pub revision: u64,
    /// The zone.
    pub zone: Arc<str>,
    /// Whether its searchers are to get no new work.
    pub is_active: bool,
}

/// What is known of evacuations.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<Arc<str>, ZoneState>,
    /// Newest revision at which all were listed; 0 before the first listing.
    listed_at: u64,
}

impl Evacuations {
    /// Takes the beginning or end of an evacuation. Returns whether that changed which zones are evacuated.
    pub fn take(&mut self, revision: u64, zone: Arc<str>, is_active: bool) -> bool {
        let known = self.zones.get(&zone).copied();
        // What a listing left out had ended by then; a peer that hasn't heard of the end may still send its beginning. An end is remembered, so
        // that this node counts as knowing it.
        let had_ended = known.is_none() && is_active && revision <= self.listed_at;
        if had_ended || known.is_some_and(|known| known.revision >= revision) {
            return false;
        }
        self.zones.insert(zone, ZoneState { revision, is_active });
        known.is_some_and(|known| known.is_active) != is_active
    }

    /// A whole listing at a revision: evacuations that it leaves out had ended by then. Returns whether any had.
    pub fn end_unlisted(&mut self, at: u64, listed: &[Arc<str>]) -> bool {
        self.listed_at = self.listed_at.max(at);
        let mut has_ended = false;
        for (zone, state) in &mut self.zones {
            if state.is_active && state.revision <= at && !listed.contains(zone) {
                *state = ZoneState { revision: at, is_active: false };
                has_ended = true;
            }
        }
        has_ended
    }

    /// Zones that are being evacuated.
    pub fn active(&self) -> Vec<Arc<str>> {
        let active = self.zones.iter().filter(|(_, state)| state.is_active);
        active.map(|(zone, _)| zone.clone()).collect()
    }

    /// Newest revision; 0 when nothing was ever evacuated.
    pub fn newest(&self) -> u64 {
        self.zones.values().map(|state| state.revision).max().unwrap_or_default()
    }

    /// Newest revision at which all were listed, if they ever were.
    pub fn listed_at(&self) -> Option<u64> {
        (self.listed_at > 0).then_some(self.listed_at)
    }

    /// What a peer lacks that knows everything up to a revision. Evacuations that go on are sent in any case, so that one that isn't is
    /// known to have ended by [`Self::listed_at`]: a node that gets a newer configuration watches from there, and would never hear of ends
    /// before it.
    pub fn changes_after(&self, revision: u64) -> impl Iterator<Item = ZoneChange> {
        let newer = self.zones.iter().filter(move |(_, state)| state.revision > revision || state.is_active);
        newer.map(|(zone, state)| ZoneChange {
            revision: state.revision,
            zone: zone.clone(),
            is_active: state.is_active,
        })
    }
}
