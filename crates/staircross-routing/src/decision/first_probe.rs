//! Decides whether a gather request is sent to one shard first, to which one, and when the other shards follow.
//!
//! The rule applies to requests for several services. While the alarm of the route is raised because its requests have
//! crashed searchers lately ([`crate::decision::quarantine`]), a request whose content (digest of what it asks for,
//! [`ContentKey`]) no searcher has answered lately is sent to one shard. This attempt is the probe. The other shards
//! follow as soon as any searcher that was asked has answered. Until then, one more shard is sent each time that all
//! searchers asked have been silent for longer than the work usually takes, at growing intervals ([`FirstProbe`]).
//!
//! The inputs are the settings; the alarms and recent answers that quarantine knows; the route's name and the content;
//! the number of shards; times of this machine's boot clock; and the usual work and the round trip as durations.
//!
//! The rule protects searchers: a gather request that crashes its searchers would crash one searcher of each shard
//! before the first crash is observed. Silence doesn't show that a searcher is healthy, since a request that exhausts
//! memory or loops takes long to crash it. While an alarm is raised, harmless requests wait for the work of one shard
//! (docs/design/quarantine.md). Without an alarm, the rule has no effect.
//!
//! The rule doesn't recognise the first crashing content of a route, since no alarm is raised before a content is
//! quarantined. It also doesn't learn what becomes of a searcher whose connection this node closes because the caller
//! has left or the request's time is over.
//!
//! The log shows the rule as `event=alarm`, and as `event=probe` in the traces of requests; the gauge is
//! `staircross_routes_alarmed`. The settings `routing.first_probes = false` and `routing.quarantine = false` turn it
//! off.

use crate::decision::quarantine::Quarantine;
use crate::keys::{ContentKey, RouteDigest};
use crate::policy::RoutingPolicy;
use rand_chacha::rand_core::RngCore;
use staircross_types::BootTime;
use std::time::Duration;

/// Multiple of the usual work after which a searcher counts as silent. A searcher that pauses for a moment should leave
/// time for the other shards within the request's goal.
const SILENT_WORK_FACTOR: f64 = 3.0;
/// Factor by which the time until one more shard is asked grows each time that all searchers asked are silent. A
/// request that runs long before it crashes its searcher thus reaches few searchers.
const SILENCE_TIMEOUT_GROWTH: u32 = 2;
/// Minimum time between two checks for a shard that can be sent.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Returns whether a request is sent to one shard first.
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

/// Returns the shard that is sent first. It is chosen at random, so that no shard's searchers receive all probes. Draws
/// one random number.
pub fn choose_first_shard(shards: usize, random: &mut impl RngCore) -> usize {
    random.next_u32() as usize % shards.max(1)
}

/// State of a request that is sent to one shard first, until a shard has answered.
#[derive(Clone, Copy, Debug)]
pub struct FirstProbe {
    /// Time from which one more shard is sent though others are in progress.
    next_at: BootTime,
    /// Time from the last send until `next_at`. It grows only after silence, so it is never much longer than the
    /// request has waited.
    silence_timeout: Duration,
}

impl FirstProbe {
    /// Creates the state of a request for which nothing has been sent.
    pub fn new(now: BootTime) -> Self {
        FirstProbe { next_at: now, silence_timeout: Duration::ZERO }
    }

    /// Returns whether one more shard may be sent while `open_attempts` attempts are in progress.
    pub fn may_send(&self, now: BootTime, open_attempts: usize) -> bool {
        open_attempts == 0 || now >= self.next_at
    }

    /// Records that a shard was sent to a searcher at a distance of `round_trip` that usually takes `work` for such a
    /// request, while `open_attempts` other attempts were in progress.
    ///
    /// The time until the next shard is lengthened only after silence. If no attempt is in progress, the last searcher
    /// asked has ended, rejected the request or couldn't be reached, and there was nothing to wait for: a request may
    /// be rejected dozens of times within a second.
    pub fn note_sent(&mut self, now: BootTime, round_trip: Duration, work: Duration, open_attempts: usize) {
        let growth = if open_attempts > 0 { SILENCE_TIMEOUT_GROWTH } else { 1 };
        let usual = round_trip + work.mul_f64(SILENT_WORK_FACTOR);
        self.silence_timeout = (self.silence_timeout * growth).max(usual);
        self.next_at = now + self.silence_timeout;
    }

    /// Postpones the next check after no shard could be sent.
    pub fn postpone(&mut self, now: BootTime) {
        self.next_at = now + self.silence_timeout.max(MIN_CHECK_INTERVAL);
    }

    /// Returns the time from which one more shard may be sent if no searcher answers.
    pub fn next_at(&self) -> BootTime {
        self.next_at
    }
}
