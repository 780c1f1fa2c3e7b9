//! The owner's state of one tenant: the token bucket, and what all nodes have reported.
//!
//! The owner keeps the tenant's token bucket. The other nodes admit requests first and report them afterwards, and the
//! owner answers with the fraction of the tenant's requests to admit. The fraction is 1 while the bucket holds more
//! than the headroom. Otherwise it is the ratio of the available rate (the refill rate, corrected by the bucket's
//! level) to the demand, so that admissions settle at the rate whichever nodes the requests reach.

use crate::bound::TenantLimits;
use crate::bucket::Bucket;
use crate::message::{Confirmation, Counts, QuotaReport};
use staircross_types::{BootTime, NodeId};
use std::collections::HashMap;
use std::time::Duration;

/// Time within which the bucket's level is to be brought back to 0, in seconds. It is three times the round trip of a
/// report and its answer, so that the fraction doesn't oscillate.
const LEVEL_CORRECTION_S: f64 = 0.6;
/// Time constant of the average of demand, in seconds. It is below [`LEVEL_CORRECTION_S`], so that a rise of demand
/// shows within that time.
const DEMAND_AVERAGING_S: f64 = 0.4;
/// Fraction of the headroom that a new owner starts with, because it doesn't know what was admitted before.
const NEW_OWNER_HEADROOM_FRACTION: f64 = 0.5;
/// Time for which a grant of another owner reduces this owner's rate; one such owner halves it. The time is longer than
/// [`REGRANT_INTERVAL`], after which the other owner grants again.
const RIVAL_OWNER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two grants to a former owner that may still regard itself as the owner. It is well below
/// [`RIVAL_OWNER_TIMEOUT`].
const FORMER_OWNER_GRANT_INTERVAL: Duration = Duration::from_millis(500);
/// Time since a node's last report after which its counts are dropped. This bounds memory.
const REPORTED_COUNTS_RETENTION: Duration = Duration::from_secs(60);
/// Shortest time between two grants to all nodes that lower the fraction, in a small fleet. It is equal to the time
/// after which a report is sent again.
const MIN_GRANT_INTERVAL: Duration = Duration::from_millis(100);
/// Counterpart of [`MIN_GRANT_INTERVAL`] for each node that receives the grant. It limits grants to 500 datagrams per
/// second.
const GRANT_INTERVAL_PER_NODE: Duration = Duration::from_millis(2);
/// Factor of the time between two grants for those that raise the fraction. A late raise costs some refusals, but no
/// excess.
const RAISE_INTERVAL_FACTOR: u32 = 3;
/// Time after which a limited tenant's fraction is granted again, for nodes that missed it. It is a fraction of the
/// time for which a grant is valid.
const REGRANT_INTERVAL: Duration = Duration::from_millis(1000);
/// Change of the fraction, relative to the last one granted, from which all nodes are sent a new grant.
const MIN_GRANTED_CHANGE: f64 = 0.2;
/// Smallest base for relative changes of the fraction, so that changes of tiny fractions cause no grants.
const MIN_CHANGE_BASE: f64 = 0.05;

/// What one node has reported.
#[derive(Clone, Copy, Debug)]
struct ReportedCounts {
    /// Total counted for the node.
    confirmation: Confirmation,
    reported_at: BootTime,
}

/// The owner's state of one tenant.
#[derive(Debug)]
pub(crate) struct Ledger {
    bucket: Bucket,
    /// Requests per second that reach all nodes together (a decaying average), and the time of its last update.
    demand: f64,
    demand_updated_at: BootTime,
    /// Latest report of each node.
    reported: HashMap<NodeId, ReportedCounts>,
    /// Other nodes that have acted as the owner, each with the time until which that counts.
    rival_owners: Vec<(NodeId, BootTime)>,
    /// The former owner that was last sent a grant of this node, and when.
    former_owner_granted: Option<(NodeId, BootTime)>,
    /// The fraction that all nodes were last granted, and when.
    last_granted: f64,
    last_granted_at: BootTime,
    /// Time at which this node ceased to be the owner.
    pub ownership_lost_at: Option<BootTime>,
}

impl Ledger {
    /// Creates the ledger of a node that has been the owner for `owned_for` without a request. `is_first_start` says
    /// that the fleet has just started for the first time, so that nothing of the burst is used.
    pub fn new(now: BootTime, limits: &TenantLimits, owned_for: Duration, is_first_start: bool) -> Self {
        let capacity = limits.burst + limits.headroom();
        let start = limits.headroom() * NEW_OWNER_HEADROOM_FRACTION + limits.rate * owned_for.as_secs_f64();
        Self::with_level(now, if is_first_start { capacity } else { start.min(capacity) })
    }

    /// Creates a ledger with `level` tokens.
    pub fn with_level(now: BootTime, level: f64) -> Self {
        Ledger {
            bucket: Bucket::new(now, level),
            demand: 0.0,
            demand_updated_at: now,
            reported: HashMap::new(),
            rival_owners: Vec::new(),
            former_owner_granted: None,
            last_granted: 1.0,
            last_granted_at: now,
            ownership_lost_at: None,
        }
    }

    /// Updates the bucket and the demand to the present; `quota_fraction` is the fraction of the quota that this owner
    /// may grant.
    pub fn refill(&mut self, now: BootTime, limits: &TenantLimits, quota_fraction: f64) {
        self.refill_to(now, limits, quota_fraction, (limits.burst + limits.headroom()) * quota_fraction);
    }

    /// Like [`Ledger::refill`], but keeps tokens beyond the bucket's capacity.
    pub fn refill_keeping_surplus(&mut self, now: BootTime, limits: &TenantLimits, quota_fraction: f64) {
        let capacity = (limits.burst + limits.headroom()) * quota_fraction;
        self.refill_to(now, limits, quota_fraction, capacity.max(self.bucket.level()));
    }

    fn refill_to(&mut self, now: BootTime, limits: &TenantLimits, quota_fraction: f64, capacity: f64) {
        self.rival_owners.retain(|(_, until)| *until > now);
        self.bucket.refill(now, self.rate(limits, quota_fraction), capacity);
        self.demand *= (-now.since(self.demand_updated_at).as_secs_f64() / DEMAND_AVERAGING_S).exp();
        self.demand_updated_at = now;
    }

    /// Returns the rate at which this owner may grant requests, divided evenly among all nodes that act as the owner.
    fn rate(&self, limits: &TenantLimits, quota_fraction: f64) -> f64 {
        limits.rate * quota_fraction / (1 + self.rival_owners.len()) as f64
    }

    /// Counts requests as demand, and takes tokens for those that were admitted.
    pub fn count(&mut self, counts: Counts) {
        self.demand += f64::from(counts.offered) / DEMAND_AVERAGING_S;
        self.bucket.debit(f64::from(counts.admitted));
    }

    /// Returns the fraction of the tenant's requests that nodes should admit, 0 to 1.
    pub fn admit_fraction(&self, limits: &TenantLimits, quota_fraction: f64) -> f64 {
        if self.bucket.level() >= limits.headroom() * quota_fraction && self.bucket.level() > 0.0 {
            return 1.0;
        }
        let rate = self.rate(limits, quota_fraction) + self.bucket.level() / LEVEL_CORRECTION_S;
        if rate >= self.demand { 1.0 } else { (rate / self.demand).max(0.0) }
    }

    /// Counts what a node reports, and returns the total counted for it so far as the confirmation. A report that
    /// arrives late or twice counts nothing.
    pub fn apply_report(&mut self, now: BootTime, from: NodeId, report: &QuotaReport) -> Confirmation {
        let initial = Confirmation { epoch: report.epoch, counts: report.confirmed };
        let known = self.reported.get(&from).map_or(initial, |known| known.confirmation);
        if known.epoch > report.epoch {
            return known;
        }
        let known = if known.epoch < report.epoch { initial } else { known };
        self.count(report.counts.since(known.counts));
        let counts = Counts {
            offered: known.counts.offered.max(report.counts.offered),
            admitted: known.counts.admitted.max(report.counts.admitted),
        };
        let confirmation = Confirmation { epoch: report.epoch, counts };
        self.reported.insert(from, ReportedCounts { confirmation, reported_at: now });
        confirmation
    }

    /// Records that another node has acted as the owner. All owners divide the rate evenly, so that two grant half of
    /// it each. Returns whether the other owner is new.
    pub fn record_rival_owner(&mut self, now: BootTime, rival: NodeId) -> bool {
        let is_new = self.rival_owners.iter().all(|(node, until)| *node != rival || *until <= now);
        self.rival_owners.retain(|(node, _)| *node != rival);
        self.rival_owners.push((rival, now + RIVAL_OWNER_TIMEOUT));
        is_new
    }

    /// Returns whether a former owner should be sent a grant of this node now, and if so records that it is sent.
    pub fn should_notify_former_owner(&mut self, now: BootTime, former_owner: NodeId) -> bool {
        let is_due = self
            .former_owner_granted
            .is_none_or(|(node, at)| node != former_owner || now.since(at) >= FORMER_OWNER_GRANT_INTERVAL);
        if is_due {
            self.former_owner_granted = Some((former_owner, now));
        }
        is_due
    }

    /// Returns whether all `nodes` nodes should be sent the fraction `admit_fraction` now.
    pub fn is_grant_due(&self, now: BootTime, admit_fraction: f64, nodes: usize) -> bool {
        if admit_fraction >= 1.0 && self.last_granted >= 1.0 {
            return false;
        }
        let (age, interval) = (now.since(self.last_granted_at), min_grant_interval(nodes));
        let change = (admit_fraction - self.last_granted) / self.last_granted.max(MIN_CHANGE_BASE);
        let is_lower = self.last_granted >= 1.0 || change < -MIN_GRANTED_CHANGE;
        let is_higher = admit_fraction >= 1.0 || change > MIN_GRANTED_CHANGE;
        (is_lower && age >= interval)
            || (is_higher && age >= interval * RAISE_INTERVAL_FACTOR)
            || age >= REGRANT_INTERVAL.max(interval)
    }

    /// Returns the time since all nodes were last granted a fraction.
    pub fn time_since_grant(&self, now: BootTime) -> Duration {
        now.since(self.last_granted_at)
    }

    /// Returns the number of nodes that have reported within `time`.
    pub fn reporters_within(&self, now: BootTime, time: Duration) -> usize {
        self.reported.values().filter(|reported| now.since(reported.reported_at) < time).count()
    }

    /// Records that all nodes are sent the fraction `admit_fraction`, and drops the counts of nodes that have long been
    /// silent.
    pub fn record_grant(&mut self, now: BootTime, admit_fraction: f64) {
        self.last_granted = admit_fraction;
        self.last_granted_at = now;
        self.reported.retain(|_, reported| now.since(reported.reported_at) < REPORTED_COUNTS_RETENTION);
    }

    /// Returns whether nodes were granted a fraction below 1, which must be granted again.
    pub fn has_granted_limit(&self) -> bool {
        self.last_granted < 1.0
    }

    /// Returns the number of tokens in the bucket; negative if more was admitted than it held.
    pub fn level(&self) -> f64 {
        self.bucket.level()
    }
}

/// Returns the shortest time between two grants to all nodes that lower the fraction, in a fleet of `nodes` nodes.
fn min_grant_interval(nodes: usize) -> Duration {
    MIN_GRANT_INTERVAL.max(GRANT_INTERVAL_PER_NODE * nodes as u32)
}
