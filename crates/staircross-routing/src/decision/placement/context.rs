//! What this node knows of zones, regions and other nodes, which placement uses for every choice of a searcher.
//!
//! [`PlacementContext`] maintains the round trips to zones, each estimated as the least time in which a connection was
//! established. The engine sets all other fields from the settings and from membership.

use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::cold::{ColdBound, FleetRank, cold_share};
use crate::policy::RoutingPolicy;
use crate::state::searcher::Searcher;
use hashbrown::HashMap;
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

/// Round trip assumed within the zone until one has been measured. The assumed round trips keep nearer zones ahead of
/// farther ones.
const OWN_ZONE_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Round trip assumed to another zone of the region until one has been measured.
const OTHER_ZONE_ROUND_TRIP: Duration = Duration::from_millis(2);
/// Round trip assumed to another region until one has been measured.
const OTHER_REGION_ROUND_TRIP: Duration = Duration::from_millis(24);

/// Zones, regions, other nodes and limits, as this node knows them.
#[derive(Clone, Debug)]
pub struct PlacementContext {
    /// Zone of this node.
    pub zone: Arc<str>,
    /// Region of each zone.
    pub regions: HashMap<Arc<str>, Arc<str>>,
    /// Number of nodes that serve callers in each zone, including this node.
    pub nodes_by_zone: HashMap<Arc<str>, usize>,
    /// Rank of this node among the nodes that serve callers, and their number.
    pub fleet: FleetRank,
    /// Limit on requests to a searcher that has just started.
    pub cold: ColdBound,
    /// Least time to establish a connection to each zone.
    pub round_trips: HashMap<Arc<str>, Duration>,
    /// Time at which this process started; `None` if it is the first on its machine.
    pub restarted_at: Option<BootTime>,
    /// Mechanisms that are turned on.
    pub policy: RoutingPolicy,
}

/// Distance of a zone from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The zone of this node.
    OwnZone,
    /// Another zone of the region of this node.
    SameRegion,
    /// A zone of another region, or of a region that isn't known.
    OtherRegion,
}

impl PlacementContext {
    /// Returns the distance of `zone`. A zone whose region isn't known counts as another region.
    pub fn distance(&self, zone: &str) -> Distance {
        if zone == &*self.zone {
            return Distance::OwnZone;
        }
        let is_same_region = match (self.regions.get(zone), self.regions.get(&self.zone)) {
            (Some(theirs), Some(ours)) => theirs == ours,
            _ => false,
        };
        if is_same_region { Distance::SameRegion } else { Distance::OtherRegion }
    }

    /// Returns whether a request that may be served in `regions` may be sent to a searcher.
    pub fn allows(&self, regions: AllowedRegions<'_>, searcher: &Searcher) -> bool {
        regions.allow(self.regions.get(&searcher.entry.zone))
    }

    /// Returns the time from which a searcher may be asked, regardless of its capacity. The time is in the past if the
    /// searcher isn't avoided. `None` means that the searcher is cold and this node has no share of the requests that
    /// the searcher can take.
    pub fn available_from(&self, now: BootTime, searcher: &Searcher) -> Option<BootTime> {
        let avoided_until = searcher.avoided_until();
        if !searcher.is_cold(now) {
            return Some(avoided_until);
        }
        match cold_share(searcher.cold_start, self.cold, &searcher.entry.instance, self.fleet) {
            Some(share) => searcher.cold_sends().next(now, share).map(|at| at.max(avoided_until)),
            None => Some(avoided_until),
        }
    }

    /// Returns the round trip to a zone: the least measured one, or the one assumed for its distance.
    pub fn round_trip(&self, zone: &str) -> Duration {
        let assumed = match self.distance(zone) {
            Distance::OwnZone => OWN_ZONE_ROUND_TRIP,
            Distance::SameRegion => OTHER_ZONE_ROUND_TRIP,
            Distance::OtherRegion => OTHER_REGION_ROUND_TRIP,
        };
        self.round_trips.get(zone).copied().unwrap_or(assumed)
    }

    /// Records the time in which a connection to a zone was established.
    pub fn note_connected(&mut self, zone: &Arc<str>, took: Duration) {
        let known = self.round_trips.entry(zone.clone()).or_insert(took);
        *known = took.min(*known);
    }
}
