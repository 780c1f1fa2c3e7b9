//! Values that are derived from the bounds and limits of the settings.
//!
//! The settings say how soon an update must be in force. From that follow how often the store is called, which silences
//! are tolerated, and how much a node keeps open. This module owns the fractions. It relies on checked settings: with
//! values that [`GatewaySettings::check`] refuses, subtractions and products may overflow.
//!
//! A *reader* is a node that reads the store, a *follower* pulls its updates from the readers of its region, and a
//! *prober* is a node that no longer receives heartbeats and probes the store. A reader's *heartbeat* is a datagram
//! that states when the store last answered the reader. The values that concern silences:
//!
//! | value | meaning |
//! | --- | --- |
//! | [`GatewaySettings::heartbeat_timeout`] | time without a heartbeat of a reader after which a follower probes |
//! | `ReaderSettings::watch` | time for which the store may hold a watch; a silent one is given up a call's timeout later |
//! | `ReaderSettings::probe_with_followers` | time between two heartbeats of a reader: one goes out with each probe |
//! | `ReaderSettings::probe_as_prober` | time between two probes of a prober |
//! | `ReaderSettings::probe` | time between two confirmations of the configuration, where keys need them |
//! | [`GatewaySettings::outdated_view_settings`] | time for which the process may stand still before its view must be confirmed |
//! | [`GatewaySettings::max_dispute`] | time for which the entry of a later start counts although the store holds another |
//! | [`GatewaySettings::lapse_grace`] | time for which a searcher whose entry may have lapsed is still a fallback |

use super::{BoundSettings, GatewaySettings};
use staircross_routing::decision::outdated_view::OutdatedViewSettings;
use staircross_routing::store_reader::{Lane, ProbeIntervals, ReaderSettings};
use std::time::Duration;

/// Descriptors that are reserved for files, listeners, and calls to the store and to peers. They are about a quarter of
/// the default limit.
pub(super) const RESERVED_DESCRIPTORS: usize = 264;
/// Minimum time between calls for the configuration, as a fraction of the bound on operator updates. Together with a
/// follower's pull it leaves most of the bound for a late wake-up and a lost answer.
const CONFIGURATION_PAUSE_FRACTION: f64 = 0.17;
/// Minimum time between calls for searchers, as a fraction of the bound on drains. Together with a datagram and a
/// follower's pull, an update stays below the bound, and many updates at once cause few calls.
const SEARCHER_PAUSE_FRACTION: f64 = 0.3;
/// Time for which a searcher whose entry may have lapsed is still a fallback, as a fraction of the bound on drains. Together
/// with the time between calls, a follower's pull and a late wake-up, it stays below the bound.
const LAPSE_GRACE_FRACTION: f64 = 0.25;
/// Time for which the entry of a later start counts although the store holds one of an earlier start, as a fraction of
/// the bound on drains. A live searcher writes its entry again within a heartbeat, which is shorter, and a drain that the
/// store holds is known to the node within the bound.
const MAX_DISPUTE_FRACTION: f64 = 0.5;
/// Time after which a watch that sends nothing has been given up, as a fraction of the time within which silent
/// connections must be noticed. The new watch's call, a datagram and a follower's pull fit into the rest.
const WATCH_TIMEOUT_FRACTION: f64 = 0.9;
/// Minimum time for which the store may hold a watch, so that a short `contact_ms` doesn't turn watches into polling.
const MIN_WATCH: Duration = Duration::from_millis(500);
/// Silence of its readers that a follower tolerates, as a fraction of the shorter bound on updates. This silence, a
/// probe, another third of the silence, and the follower's own call together stay below the bound.
const HEARTBEAT_TIMEOUT_FRACTION: f64 = 0.4;
/// Time between two probes of a reader, as a fraction of the silence that is tolerated. The fraction is below a half,
/// so that one lost heartbeat doesn't count as silence.
const READER_PROBE_INTERVAL_FRACTION: f64 = 0.4;
/// Time between two probes of a prober, as a fraction of the silence that followers tolerate. This time is longer than
/// that of a reader, because many nodes may receive no heartbeats at once.
const PROBER_PROBE_INTERVAL_FRACTION: f64 = 0.5;
/// Time for which this process may stand still before its view must be confirmed, as a fraction of the shortest bound on
/// updates. It equals the silence of its readers that a follower tolerates: both keep updates away for that long.
const MAX_GAP_FRACTION: f64 = HEARTBEAT_TIMEOUT_FRACTION;
/// Maximum age of a view that was confirmed after the process stood still, as a fraction of the shortest bound on updates.
/// The rest is for a late wake-up.
const MAX_VIEW_AGE_FRACTION: f64 = 0.9;
/// Share of the link's time that answers to peers may use, in seconds per second. A request that waits behind these
/// answers reaches its searcher that much later, with a deadline that is too late by the same time. With 195 nodes and
/// a large configuration, limiting only the number of large answers let some days exceed the budget for extra sends;
/// with this share, none of six days did.
const PEER_LINK_SHARE: f64 = 0.2;
/// Average memory of a request in flight in bytes, at most. It is enough for a head, a body, and the answers of several
/// shards of typical sizes.
const MEMORY_PER_REQUEST: u64 = 64 * 1024;

/// Number of shares into which the process's memory is divided: one each for incomplete answers of searchers, for what
/// accepted connections cost, and for the bodies of requests in flight. The last is for everything else.
const BUFFER_SHARES: u64 = 4;

/// Maximum number of calls to the store and to peers that are in flight: one in each lane of the store, and one pull.
const MAX_CALLS: usize = Lane::ALL.len() + 1;
/// Minimum of the largest answer to a call, in bytes. A page of the store has at most 1 MB and one more value, and a value
/// of 1 MB, the largest that the store takes by default, has 1.4 MB when it is encoded.
const MIN_CALL_ANSWER: usize = 3 * 1024 * 1024;

impl BoundSettings {
    /// Returns the shorter of the bounds on operator updates (configurations and evacuations), in milliseconds.
    pub(super) fn operator_update_ms(&self) -> u64 {
        self.evacuate_ms.map_or(self.config_ms, |evacuate_ms| evacuate_ms.min(self.config_ms))
    }
}

impl GatewaySettings {
    /// Returns the settings of the store reader, that is, when it calls the store. The time between its calls is a
    /// small fraction of the time in which updates must be in force.
    pub fn store_reader_settings(&self) -> ReaderSettings {
        let defaults = ReaderSettings::default();
        let configuration_pause =
            Duration::from_millis(self.bounds.operator_update_ms()).mul_f64(CONFIGURATION_PAUSE_FRACTION);
        let searcher_pause = Duration::from_millis(self.bounds.drain_ms).mul_f64(SEARCHER_PAUSE_FRACTION);
        let heartbeat_timeout = self.heartbeat_timeout();
        let max_confirmation_age = self.max_confirmation_age();
        let watch_timeout = Duration::from_millis(self.bounds.contact_ms).mul_f64(WATCH_TIMEOUT_FRACTION);
        ReaderSettings {
            watch: defaults.watch.min(watch_timeout.saturating_sub(defaults.call_timeout).max(MIN_WATCH)),
            configuration_pause: defaults.configuration_pause.min(configuration_pause),
            searcher_pause: defaults.searcher_pause.min(searcher_pause),
            probe: ProbeIntervals {
                usual: defaults.probe.usual.min(max_confirmation_age.mul_f64(READER_PROBE_INTERVAL_FRACTION)),
                ..defaults.probe
            },
            probe_with_followers: heartbeat_timeout.min(max_confirmation_age).mul_f64(READER_PROBE_INTERVAL_FRACTION),
            probe_as_prober: heartbeat_timeout.mul_f64(PROBER_PROBE_INTERVAL_FRACTION),
            lanes_wait_for_probe: self.policy.node.probe_first,
            ..defaults
        }
    }

    /// Returns the silence of its readers that a follower tolerates, a fraction of the shorter bound on updates.
    pub fn heartbeat_timeout(&self) -> Duration {
        let shorter_ms = self.bounds.operator_update_ms().min(self.bounds.drain_ms);
        Duration::from_millis(shorter_ms).mul_f64(HEARTBEAT_TIMEOUT_FRACTION)
    }

    /// Returns the time limits by which a process that stood still decides whether what it knows of the store is too old.
    /// It waits for a confirmation for as long as a call to the store may take.
    pub fn outdated_view_settings(&self) -> OutdatedViewSettings {
        let update_ms = self.bounds.operator_update_ms().min(self.bounds.drain_ms);
        let bound =
            Duration::from_millis(self.bounds.revoke_ms.map_or(update_ms, |revoke_ms| revoke_ms.min(update_ms)));
        OutdatedViewSettings {
            max_gap: bound.mul_f64(MAX_GAP_FRACTION),
            max_age: bound.mul_f64(MAX_VIEW_AGE_FRACTION),
            max_wait: self.store_reader_settings().call_timeout,
        }
    }

    /// Returns the longest time without a confirmation of the configuration after which requests that need a key are
    /// still accepted. It is `Duration::MAX` unless `revoke_strict` is set.
    fn max_confirmation_age(&self) -> Duration {
        let strict_ms = self.bounds.revoke_ms.filter(|_| self.bounds.revoke_strict);
        strict_ms.map_or(Duration::MAX, Duration::from_millis)
    }

    /// Returns how long a searcher whose entry may have lapsed is still asked if no other can be.
    pub fn lapse_grace(&self) -> Duration {
        Duration::from_millis(self.bounds.drain_ms).mul_f64(LAPSE_GRACE_FRACTION)
    }

    /// Returns how long the entry of a later start counts although the store holds one of an earlier start.
    pub fn max_dispute(&self) -> Duration {
        Duration::from_millis(self.bounds.drain_ms).mul_f64(MAX_DISPUTE_FRACTION)
    }

    /// Returns the maximum number of callers' connections: half of the descriptors that aren't reserved. The other half
    /// is for searchers.
    pub fn max_caller_connections(&self) -> usize {
        (self.limits.descriptors - RESERVED_DESCRIPTORS) / 2
    }

    /// Returns the rate of answers to peers, in bytes per second, from which no more configurations are sent to peers.
    pub fn max_peer_answer_bytes_per_s(&self) -> usize {
        (self.limits.link_mbps * 1e6 / 8.0 * PEER_LINK_SHARE) as usize
    }

    /// Returns the maximum size of all incomplete answers of searchers together, in bytes.
    pub fn max_buffered_answers(&self) -> usize {
        self.buffer_share()
    }

    /// Returns the maximum number of bytes that accepted connections cost together, in this process and in the kernel.
    pub fn max_connection_bytes(&self) -> usize {
        self.buffer_share()
    }

    /// Returns the maximum length of the bodies of all requests in flight together, in bytes.
    pub fn max_request_bodies(&self) -> usize {
        self.buffer_share()
    }

    /// Returns the maximum size of the answer to a call to the store or to a peer, in bytes. All calls together hold half
    /// of the share for everything else, or the minimum.
    pub fn max_call_answer(&self) -> usize {
        (self.buffer_share() / 2 / MAX_CALLS).max(MIN_CALL_ANSWER)
    }

    fn buffer_share(&self) -> usize {
        (self.limits.memory_mb * 1024 * 1024 / BUFFER_SHARES) as usize
    }

    /// Returns the maximum number of requests in flight: as many as fit into half of the process's memory.
    pub fn max_requests(&self) -> usize {
        let half = self.limits.memory_mb * 1024 * 1024 / 2;
        (half / MEMORY_PER_REQUEST) as usize
    }
}
