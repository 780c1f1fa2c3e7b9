//! What this node knows of zones, regions and the other nodes: the input of every placement.
//!
//! Owns the round trips to zones, estimated by the least time that a connection took to come up. Everything else is set by the engine from
//! settings and from what membership reports.

use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::cold::{ColdBound, FleetRank, cold_share};
use crate::policy::RoutingPolicy;
use crate::state::searcher::Searcher;
use hashbrown::HashMap;
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

/// Round trip assumed within the zone until one has been measured. For the order of near, nearer and far.
const OWN_ZONE_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Round trip assumed to another zone of the region, in the same way.
const OTHER_ZONE_ROUND_TRIP: Duration = Duration::from_millis(2);
/// Round trip assumed to another region, in the same way.
const OTHER_REGION_ROUND_TRIP: Duration = Duration::from_millis(24);

/// Where this node stands among zones and nodes.
#[derive(Clone, Debug)]
pub struct Place {
    /// Zone of this node.
    pub zone: Arc<str>,
    /// Regions by zone.
    pub regions: HashMap<Arc<str>, Arc<str>>,
    /// Nodes that serve callers, by zone; this one counts.
    pub nodes_by_zone: HashMap<Arc<str>, usize>,
    /// Where this node stands among those that serve.
    pub fleet: FleetRank,
    /// Bound on requests to a cold searcher.
    pub cold: ColdBound,
    /// Least times to connect, by zone.
    pub round_trips: HashMap<Arc<str>, Duration>,
    /// When this process started, if it isn't the first on its machine.
    pub restarted_at: Option<BootTime>,
    /// Mechanisms that are on.
    pub policy: RoutingPolicy,
}

/// How far a zone is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same zone.
    OwnZone,
    /// Another zone of the region.
    OwnRegion,
    /// Another region.
    Far,
}

impl Place {
    /// How far `zone` is. A zone whose region isn't known is far.
    pub fn distance(&self, zone: &str) -> Distance {
        if zone == &*self.zone {
            return Distance::OwnZone;
        }
        let is_same_region = match (self.regions.get(zone), self.regions.get(&self.zone)) {
            (Some(theirs), Some(ours)) => theirs == ours,
            _ => false,
        };
        if is_same_region { Distance::OwnRegion } else { Distance::Far }
    }

    /// Whether a request may be sent to a searcher, by where it is.
    pub fn allows(&self, regions: AllowedRegions<'_>, searcher: &Searcher) -> bool {
        regions.allow(self.regions.get(&searcher.entry.zone))
    }

    /// When a searcher may be asked, room aside: in the past where it isn't avoided, `None` where this node has no share of what it
    /// bears while it is cold.
    pub fn next_chance(&self, now: BootTime, searcher: &Searcher) -> Option<BootTime> {
        let avoided_until = searcher.avoided_until();
        if !searcher.is_cold(now) {
            return Some(avoided_until);
        }
        match cold_share(searcher.cold_start, self.cold, &searcher.entry.instance, self.fleet) {
            Some(share) => searcher.cold_sends().next(now, share).map(|at| at.max(avoided_until)),
            None => Some(avoided_until),
        }
    }

    /// Round trip to a zone: the least measured, or what is assumed for its distance.
    pub fn round_trip(&self, zone: &str) -> Duration {
        let assumed = match self.distance(zone) {
            Distance::OwnZone => OWN_ZONE_ROUND_TRIP,
            Distance::OwnRegion => OTHER_ZONE_ROUND_TRIP,
            Distance::Far => OTHER_REGION_ROUND_TRIP,
        };
        self.round_trips.get(zone).copied().unwrap_or(assumed)
    }

    /// Records how long a connection to a zone took to come up.
    pub fn note_connected(&mut self, zone: &Arc<str>, took: Duration) {
        let known = self.round_trips.entry(zone.clone()).or_insert(took);
        *known = took.min(*known);
    }
}
