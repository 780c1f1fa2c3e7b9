//! Whether a gathered request is sent to one shard first, to which, and when the others follow.
//!
//! **Decides** for a request of several services: while its route is on alarm ([`crate::decision::quarantine`]), a content that nobody has answered
//! lately goes to one shard. The others follow when that one has answered, or has worked for [`HARMLESS_WORK_FACTOR`] times the usual.
//!
//! **Inputs**: the switches, the alarms and recent answers that quarantine knows, the route's name and the content; the number of shards.
//!
//! **Protects** searchers: a gathered request that ends what runs it ends one searcher of each shard before anybody has seen the first end.
//! Measured on real nodes with eight shards and five such contents in turn: searchers ended 10 10 9 9 10 without, 10 3 3 3 3 with. Its price on
//! alarm: the median of harmless requests rises from 70 to 87 ms (docs/design/quarantine.md). Without an alarm it does nothing.
//!
//! **Doesn't know** whether the first such content of a route is one: no alarm is raised before it is quarantined.
//!
//! **Shown by** the log's `event=alarm` and the gauge `staircross_routes_alarmed`. **Turned off by**
//! `routing.first_probes = false`, and with `routing.quarantine = false`.

use crate::decision::quarantine::Quarantine;
use crate::keys::{ContentKey, RouteDigest};
use crate::policy::RoutingPolicy;
use rand_chacha::rand_core::RngCore;
use staircross_types::BootTime;

/// Times the usual work after which the first shard's silence counts as harmless: what ends its searcher does so while it works. Not measured;
/// chosen well above the spread of usual work.
pub const HARMLESS_WORK_FACTOR: f64 = 3.0;

/// Whether a request is sent to one shard first.
pub fn is_needed(
    now: BootTime,
    policy: &RoutingPolicy,
    quarantine: &Quarantine,
    route: &str,
    content: ContentKey,
) -> bool {
    policy.first_probes
        && policy.quarantine
        && quarantine.has_alarms()
        && quarantine.is_alarmed(now, RouteDigest::of(route))
        && !quarantine.is_harmless(content)
}

/// The shard that is sent first: any, so that no shard's searchers have to take all probes. Draws one random number.
pub fn first_of(shards: usize, random: &mut impl RngCore) -> usize {
    random.next_u32() as usize % shards.max(1)
}
