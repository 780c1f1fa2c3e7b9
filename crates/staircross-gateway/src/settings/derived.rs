//! Figures that follow from the bounds and limits of the settings.
//!
//! The settings say within what time an update must be in force; from that follow how often the store is called,
//! how long a silence is borne, and how much a node keeps open. It owns the fractions and relies on checked settings:
//! with values that [`GatewaySettings::check`] refuses, subtractions and products may overflow.
//!
//! Each timeout of a node towards the store bounds one silence:
//!
//! | figure | the silence that it bounds |
//! | --- | --- |
//! | [`GatewaySettings::longest_silence`] | a follower hears no heartbeat of its region's readers; then it probes the store |
//! | `ReaderSettings::probe_with_followers` | the readers' own: a heartbeat goes out with each probe answer |
//! | `ReaderSettings::probe_as_prober` | a node that hears no reader waits so long for its next probe |
//! | `ReaderSettings::probe` | nobody confirms the configuration, where keys must be revoked in time |
//! | [`GatewaySettings::lapse_grace`] | a searcher's entry has ended and nothing new is heard of it |

use super::{BoundSettings, GatewaySettings};
use staircross_routing::store_reader::{ProbeIntervals, ReaderSettings};
use std::time::Duration;

/// Descriptors kept for files, listeners and calls to the store and peers. A quarter of the default limit.
pub(super) const RESERVED_DESCRIPTORS: usize = 264;
/// Rest between calls for the configuration, as a fraction of the bound on what the operator writes. So that, with a follower's pull, most of the
/// bound is left for a late wake-up and a lost answer.
const CONFIG_REST_FRACTION: f64 = 0.17;
/// Rest between calls for searchers, as a fraction of the bound on drains. Derived: with this rest, a datagram and a
/// follower's pull an update stays below the bound, and a storm of updates is a few calls.
const DRAIN_REST_FRACTION: f64 = 0.3;
/// Time after the end of its entry during which a searcher is a fallback, as a fraction of the bound on drains.
/// Derived: with the rest after updates, a follower's pull and a late wake-up it stays below the bound.
const LAPSE_FRACTION: f64 = 0.25;
/// Silence of its readers that a follower bears, as a fraction of the shorter bound on updates. Derived: this silence, a
/// probe, a third of it more and a call of its own stay below the bound.
const SILENCE_FRACTION: f64 = 0.4;
/// Time after which a reader probes the store again, as a fraction of the silence that is borne. Derived: below a half, so
/// that one lost heartbeat is no silence.
const PROBE_FRACTION: f64 = 0.4;
/// Time after which a node that hears no reader probes again, as a fraction of the silence that is borne. Slower than a reader's, because many nodes
/// may hear no reader at once.
const DOUBT_FRACTION: f64 = 0.5;
/// Time of the link, in seconds, that answers to peers may take in a second. A request that waits behind them reaches its
/// searcher with a deadline that is too late by as much. Measured with 195 nodes and a large configuration: bounded only by the
/// number of large answers, days went beyond the budget of extra sends; with this figure none of six did.
const PEER_LINK_S: f64 = 0.2;
/// Memory that one request in flight is taken to need at most on average, in bytes. For a head, a body and the answers of several shards of usual
/// sizes.
const REQUEST_MEMORY: u64 = 64 * 1024;

impl BoundSettings {
    /// The shorter of the times in which what the operator writes must be in force, in milliseconds.
    pub(super) fn operator_ms(&self) -> u64 {
        self.evacuate_ms.map_or(self.config_ms, |evacuate_ms| evacuate_ms.min(self.config_ms))
    }
}

impl GatewaySettings {
    /// When the store is called: a rest after updates is a small fraction of the time that updates may take.
    pub fn reader(&self) -> ReaderSettings {
        let usual = ReaderSettings::default();
        let configuration_pause = Duration::from_millis(self.bounds.operator_ms()).mul_f64(CONFIG_REST_FRACTION);
        let searcher_pause = Duration::from_millis(self.bounds.drain_ms).mul_f64(DRAIN_REST_FRACTION);
        let silence = self.longest_silence();
        let unconfirmed = self.longest_unconfirmed();
        ReaderSettings {
            configuration_pause: usual.configuration_pause.min(configuration_pause),
            searcher_pause: usual.searcher_pause.min(searcher_pause),
            probe: ProbeIntervals { usual: usual.probe.usual.min(unconfirmed.mul_f64(PROBE_FRACTION)), ..usual.probe },
            probe_with_followers: silence.min(unconfirmed).mul_f64(PROBE_FRACTION),
            probe_as_prober: silence.mul_f64(DOUBT_FRACTION),
            lanes_wait_for_probe: self.policy.node.probe_first,
            ..usual
        }
    }

    /// Longest silence of its readers that a follower bears: a fraction of the time that updates may take.
    pub fn longest_silence(&self) -> Duration {
        let shorter_ms = self.bounds.operator_ms().min(self.bounds.drain_ms);
        Duration::from_millis(shorter_ms).mul_f64(SILENCE_FRACTION)
    }

    /// Longest time without report of the store after which requests are still taken, where the settings bound it.
    fn longest_unconfirmed(&self) -> Duration {
        let strict_ms = self.bounds.revoke_ms.filter(|_| self.bounds.revoke_strict);
        strict_ms.map_or(Duration::MAX, Duration::from_millis)
    }

    /// Time after the end of its entry during which a searcher is asked where nobody else can be.
    pub fn lapse_grace(&self) -> Duration {
        Duration::from_millis(self.bounds.drain_ms).mul_f64(LAPSE_FRACTION)
    }

    /// Connections that callers may hold together: half of the descriptors that aren't reserved, the other half is for searchers.
    pub fn caller_connections(&self) -> usize {
        (self.limits.descriptors - RESERVED_DESCRIPTORS) / 2
    }

    /// Bytes that answers to peers may have in a second before configurations are kept back.
    pub fn max_bytes_to_peers(&self) -> usize {
        (self.limits.link_mbps * 1e6 / 8.0 * PEER_LINK_S) as usize
    }

    /// Requests that may be in flight together: as many as half of the process's memory holds.
    pub fn max_requests(&self) -> usize {
        let half = self.limits.memory_mb * 1024 * 1024 / 2;
        (half / REQUEST_MEMORY) as usize
    }
}
