//! Which searcher of a service is asked.
//!
//! The one that should answer first: round trip, usual work, its slowness, its queue as far as it is
//! known here, how long its open attempts are overdue, and how probably it rejects the request. A
//! searcher with an overdue attempt is probably in a pause, so whoever comes next goes elsewhere.
//! Distance counts a little more than its time, because bytes between zones cost.
//!
//! Where a route or a tenant allows some regions only, searchers elsewhere are left out whatever their time.

use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::cold::{ColdBound, FleetRank, cold_share};
use crate::keys::SearcherKey;
use crate::policy::RoutingPolicy;
use crate::state::searcher::Searcher;
use hashbrown::HashMap;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

/// Added to the round trip to another zone of the region, and to another region.
const ZONE_BIAS: Duration = Duration::from_millis(4);
const REGION_BIAS: Duration = Duration::from_millis(25);
/// Added for a searcher whose entry has gone: it is asked after all others.
const LAPSE_BIAS: Duration = Duration::from_secs(60);
/// Round trips assumed until they have been measured.
const OWN_ZONE_ROUND_TRIP: Duration = Duration::from_millis(1);
const OTHER_ZONE_ROUND_TRIP: Duration = Duration::from_millis(2);
const OTHER_REGION_ROUND_TRIP: Duration = Duration::from_millis(24);
/// Candidates within this factor of the best share the work.
const AS_GOOD: f64 = 1.1;
/// Parts of a searcher's connections that nodes of its own zone and of others use.
const OWN_ZONE_SHARE: f64 = 0.45;
const OTHER_ZONE_SHARE: f64 = 0.45;
/// Steps in which a restarted node comes to use its share of a searcher's connections, and the time of each. When all nodes
/// lost power, searchers reset what is over their bound until they notice that the old connections are gone (2 to
/// 3 s on the users' bench), and whoever comes first would take all that is left.
const RAMP_STEPS: usize = 4;
const RAMP_STEP: Duration = Duration::from_secs(1);

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
    /// How far `zone` is.
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

    /// Round trip to a zone.
    pub fn round_trip(&self, zone: &str) -> Duration {
        let assumed = match self.distance(zone) {
            Distance::OwnZone => OWN_ZONE_ROUND_TRIP,
            Distance::OwnRegion => OTHER_ZONE_ROUND_TRIP,
            Distance::Far => OTHER_REGION_ROUND_TRIP,
        };
        self.round_trips.get(zone).copied().unwrap_or(assumed)
    }

    /// Notes how long a connection took to come up.
    pub fn note_connected(&mut self, zone: &Arc<str>, took: Duration) {
        let known = self.round_trips.entry(zone.clone()).or_insert(took);
        *known = took.min(*known);
    }

    /// Connections that this node may hold to a searcher, so that all nodes together stay below its bound.
    pub fn connection_share(&self, searcher: &Searcher) -> usize {
        let most = f64::from(searcher.max_connections);
        let fleet = self.fleet.serving.max(1);
        let near = self.nodes_by_zone.get(&searcher.entry.zone).copied().unwrap_or(0).min(fleet);
        let share = if near == 0 {
            most * (OWN_ZONE_SHARE + OTHER_ZONE_SHARE) / fleet as f64
        } else if near == fleet {
            most * (OWN_ZONE_SHARE + OTHER_ZONE_SHARE) / near as f64
        } else if *searcher.entry.zone == *self.zone {
            most * OWN_ZONE_SHARE / near as f64
        } else {
            most * OTHER_ZONE_SHARE / (fleet - near) as f64
        };
        (share as usize).max(1)
    }

    /// What a restarted node uses of its share of a searcher's connections, while those of the processes before may
    /// still be counted there: one step at first, and one more after each step's time.
    fn after_restart(&self, now: BootTime, share: usize) -> usize {
        let Some(restarted_at) = self.restarted_at.filter(|_| self.policy.connection_ramp) else {
            return share;
        };
        let steps = 1 + (now.since(restarted_at).as_micros() / RAMP_STEP.as_micros()) as usize;
        (share * steps.min(RAMP_STEPS) / RAMP_STEPS).max(1)
    }

    /// Other callers that probably send as much to the searcher as this node does, this one included.
    fn sharers(&self, searcher: &Searcher) -> f64 {
        if *searcher.entry.zone == *self.zone {
            return self.nodes_by_zone.get(&self.zone).copied().unwrap_or(1).max(1) as f64;
        }
        1.0
    }
}

/// Time after which a searcher is expected to answer.
pub fn expected_time(now: BootTime, searcher: &Searcher, place: &Place, choice: &Choice<'_>) -> Duration {
    let zone = &searcher.entry.zone;
    let bias = match place.distance(zone) {
        Distance::OwnRegion if place.policy.near_first => ZONE_BIAS,
        Distance::Far if place.policy.near_first => REGION_BIAS,
        Distance::OwnZone | Distance::OwnRegion | Distance::Far => Duration::ZERO,
    };
    let measured = if place.policy.avoid_slow { searcher.slowness(now) } else { 1.0 };
    let reported = if place.policy.reported_host { searcher.host_slowness(now) } else { 1.0 };
    let work = choice.usual_work.mul_f64(measured.max(reported));
    let slots = f64::from(searcher.entry.slots.max(1));
    let at_work = searcher.open.len() as f64 * place.sharers(searcher);
    let queue = work.mul_f64(((at_work + 1.0 - slots) / slots).max(0.0));
    // Whoever is overdue will probably be so for as long again.
    let pause = if place.policy.avoid_overdue { searcher.overdue(now) * 2 } else { Duration::ZERO };
    let lapse = if searcher.is_serving() { Duration::ZERO } else { LAPSE_BIAS };
    place.round_trip(zone) + bias + work + queue + pause + lapse + rejection_cost(now, searcher, place, choice)
}

/// What a rejection costs, times how probable it is. The budget may not pay for a repeat, and then the part is missing: so a rejection
/// counts as the goal missed. Counting it as the time of a repeat alone served 3 in 100 requests less while many rejected.
fn rejection_cost(now: BootTime, searcher: &Searcher, place: &Place, choice: &Choice<'_>) -> Duration {
    if !place.policy.avoid_rejecting {
        return Duration::ZERO;
    }
    choice.goal.mul_f64(searcher.rejection_rate(now))
}

/// What a searcher is chosen for.
pub struct Choice<'a> {
    /// Where the request may be served.
    pub regions: AllowedRegions<'a>,
    /// Searchers that aren't to be asked.
    pub excluded: &'a [SearcherKey],
    /// Usual time of the route's work.
    pub usual_work: Duration,
    /// Time within which the whole answer is worth most.
    pub goal: Duration,
}

/// Chooses among `candidates`; those that are excluded, outside the allowed regions, without room, not serving or avoided are
/// left out.
pub fn choose(
    now: BootTime,
    choice: &Choice<'_>,
    candidates: &[SearcherKey],
    table: &[Searcher],
    place: &Place,
    random: &mut ChaCha8Rng,
) -> Option<SearcherKey> {
    let mut best: Option<(SearcherKey, Duration)> = None;
    let mut as_good = 0_u32;
    for key in candidates {
        let searcher = &table[key.0 as usize];
        if choice.excluded.contains(key) || !place.allows(choice.regions, searcher) || !may_take(now, searcher, place) {
            continue;
        }
        let expected = expected_time(now, searcher, place, choice);
        match best {
            Some((_, least)) if expected > least.mul_f64(AS_GOOD) => {}
            Some((_, least)) if expected.mul_f64(AS_GOOD) >= least => {
                as_good += 1;
                if random.random_range(0..as_good) == 0 {
                    best = Some((*key, expected.min(least)));
                }
            }
            _ => {
                best = Some((*key, expected));
                as_good = 1;
            }
        }
    }
    best.map(|(key, _)| key)
}

fn may_take(now: BootTime, searcher: &Searcher, place: &Place) -> bool {
    let most = place.after_restart(now, place.connection_share(searcher));
    let has_room = searcher.open.len() < most && !searcher.is_full(now);
    let is_time = place.next_chance(now, searcher).is_some_and(|chance| chance <= now);
    searcher.may_be_asked(now) && is_time && has_room
}
