//! Whether a gathered request is sent to one shard first, to which, and when the others follow.
//!
//! **Decides** for a request of several services: while its route is on alarm ([`crate::decision::quarantine`]), a content that nobody has answered
//! lately goes to one shard. The others follow when any that was asked has answered. Until then one more is asked each time that all are
//! silent for longer than work usually takes, later and later ([`FirstProbe`]).
//!
//! **Inputs**: the switches, the alarms and recent answers that quarantine knows, the route's name and the content; the number of shards; times
//! of this machine's boot clock, the usual work and the round trip as durations.
//!
//! **Protects** searchers: a gathered request that ends what runs it ends one searcher of each shard before anybody has seen the first end.
//! Silence is no sign of health: what ends a searcher by its memory or by a loop takes long before it does. Its price on alarm is that
//! harmless requests wait for one shard's work (docs/design/quarantine.md). Without an alarm it does nothing.
//!
//! **Doesn't know** whether the first such content of a route is one: no alarm is raised before it is quarantined. Nor what becomes of a
//! searcher whose connection this node closes, since the caller left or its time is over.
//!
//! **Shown by** the log's `event=alarm`, `event=probe` in the traces of requests, and the gauge `staircross_routes_alarmed`. **Turned off by**
//! `routing.first_probes = false`, and with `routing.quarantine = false`.

use crate::decision::quarantine::Quarantine;
use crate::keys::{ContentKey, RouteDigest};
use crate::policy::RoutingPolicy;
use rand_chacha::rand_core::RngCore;
use staircross_types::BootTime;
use std::time::Duration;

/// Times the usual work after which a searcher counts as silent. A searcher that stands still for a moment should leave time for the other shards
/// within the request's goal.
const SILENT_WORK_FACTOR: f64 = 3.0;
/// Factor by which the time until one more shard is asked grows each time that all were silent, so that what lives long before its end meets few
/// searchers.
const PATIENCE_GROWTH: u32 = 2;
/// Least time between two looks for a shard that can be sent.
const MIN_PATIENCE: Duration = Duration::from_millis(10);

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

/// A request none of whose shards has answered yet.
#[derive(Clone, Copy, Debug)]
pub struct FirstProbe {
    /// When one more shard is sent though others are at work.
    next_at: BootTime,
    /// Time from the last sending until then. It grows by silence alone, so it is never much longer than the request has waited.
    patience: Duration,
}

impl FirstProbe {
    /// A request that nothing was sent of.
    pub fn new(now: BootTime) -> Self {
        FirstProbe { next_at: now, patience: Duration::ZERO }
    }

    /// Whether one more shard may be sent, where searchers are `at_work` on so many.
    pub fn may_send(&self, now: BootTime, at_work: usize) -> bool {
        at_work == 0 || now >= self.next_at
    }

    /// A shard was sent to a searcher that is `round_trip` away and usually works on such a request for `work`, while others were `at_work` on
    /// so many.
    ///
    /// Only silence has the next shard wait longer. Where nobody is at work the last one asked has ended, rejected the request or couldn't be
    /// reached, and wasn't waited for: a request may be rejected dozens of times within a second.
    pub fn note_sent(&mut self, now: BootTime, round_trip: Duration, work: Duration, at_work: usize) {
        let growth = if at_work > 0 { PATIENCE_GROWTH } else { 1 };
        let usual = round_trip + work.mul_f64(SILENT_WORK_FACTOR);
        self.patience = (self.patience * growth).max(usual);
        self.next_at = now + self.patience;
    }

    /// No shard could be sent: looks again later.
    pub fn put_off(&mut self, now: BootTime) {
        self.next_at = now + self.patience.max(MIN_PATIENCE);
    }

    /// When one more shard may be sent, if nobody answers.
    pub fn next_at(&self) -> BootTime {
        self.next_at
    }
}
