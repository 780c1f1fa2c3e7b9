//! The owner's side: what all nodes admit of one tenant.
//!
//! The owner keeps the tenant's token bucket. Nodes take tokens first and report them, and the owner answers with the part of the
//! tenant's requests that nodes are to admit. The part is 1 while the bucket holds more than its headroom, and otherwise what the
//! rate and the bucket's level leave of the demand, so that admissions settle at the rate wherever requests come.

use crate::bound::Limits;
use crate::bucket::Bucket;
use crate::message::{Confirmation, Counts, QuotaReport};
use staircross_types::{BootTime, NodeId};
use std::collections::HashMap;
use std::time::Duration;

/// Time within which the bucket's level is brought back to 0, in seconds. Three times the round trip of a report and its answer, so that the fraction
/// doesn't swing.
const CORRECTION_S: f64 = 0.6;
/// Time over which demand is averaged, in seconds. Below [`CORRECTION_S`], so that a rise shows within it.
const DEMAND_S: f64 = 0.4;
/// Fraction of the headroom that a new owner starts with: what was admitted before it is unknown.
const NEW_OWNER_FRACTION: f64 = 0.5;
/// Time for which another owner's grant halves this owner's rate. Longer than [`REPEAT`], by which it is heard of again.
const RIVAL_LIFE: Duration = Duration::from_millis(1500);
/// Time between two grants to a former owner that may still grant. Well below [`RIVAL_LIFE`].
const ASK_FORMER: Duration = Duration::from_millis(500);
/// Silence after which a node's counts are forgotten. A bound on memory.
const FORGET_NODE: Duration = Duration::from_secs(60);
/// Shortest time between two grants to all nodes that less passes. The time after which a report is sent again.
const SHORTEST_GAP: Duration = Duration::from_millis(100);
/// The same for each node that must get one. At most 500 datagrams a second.
const GAP_PER_NODE: Duration = Duration::from_millis(2);
/// Factor of the gaps where more passes: a grant that comes late costs some refusals then, and no excess.
const EASING_FACTOR: u32 = 3;
/// Time after which a limited tenant's fraction is granted again, for nodes that missed it. A few times below the life of a grant.
const REPEAT: Duration = Duration::from_millis(1000);
/// Change of the fraction, relative to itself, that is announced to all nodes.
const ANNOUNCED_CHANGE: f64 = 0.2;
/// Least fraction that changes are measured against. So that changes of tiny fractions aren't announced.
const MIN_FRACTION: f64 = 0.05;

/// What one node has reported.
#[derive(Clone, Copy, Debug)]
struct Reported {
    confirmation: Confirmation,
    at: BootTime,
}

/// What the owner keeps of one tenant.
#[derive(Debug)]
pub(crate) struct Ledger {
    bucket: Bucket,
    /// Requests a second that come to all nodes, and when that was last brought up to date.
    demand: f64,
    demand_at: BootTime,
    reported: HashMap<NodeId, Reported>,
    /// Other nodes that spoke as owner, and until when that counts.
    rivals: Vec<(NodeId, BootTime)>,
    /// The former owner that was last sent a grant of this node, and when.
    asked_former: Option<(NodeId, BootTime)>,
    /// Fraction that all nodes were granted last, and when.
    announced: f64,
    announced_at: BootTime,
    /// When this node ceased to be the owner.
    pub lost_at: Option<BootTime>,
}

impl Ledger {
    /// A ledger of a node that has been the owner for `owned_for` without a request, or is the first owner ever.
    pub fn new(now: BootTime, limits: &Limits, owned_for: Duration, is_first: bool) -> Self {
        let full = limits.burst + limits.headroom();
        let start = limits.headroom() * NEW_OWNER_FRACTION + limits.rate * owned_for.as_secs_f64();
        Self::with_level(now, if is_first { full } else { start.min(full) })
    }

    /// A ledger with so many tokens.
    pub fn with_level(now: BootTime, level: f64) -> Self {
        Ledger {
            bucket: Bucket::new(now, level),
            demand: 0.0,
            demand_at: now,
            reported: HashMap::new(),
            rivals: Vec::new(),
            asked_former: None,
            announced: 1.0,
            announced_at: now,
            lost_at: None,
        }
    }

    /// Brings bucket and demand up to date; `fleet_fraction` is what this owner's side of the fleet may spend.
    pub fn refill(&mut self, now: BootTime, limits: &Limits, fleet_fraction: f64) {
        self.refill_to(now, limits, fleet_fraction, (limits.burst + limits.headroom()) * fleet_fraction);
    }

    /// The same; tokens above what the bucket fills up to are kept.
    pub fn refill_keeping(&mut self, now: BootTime, limits: &Limits, fleet_fraction: f64) {
        let full = (limits.burst + limits.headroom()) * fleet_fraction;
        self.refill_to(now, limits, fleet_fraction, full.max(self.bucket.level()));
    }

    fn refill_to(&mut self, now: BootTime, limits: &Limits, fleet_fraction: f64, full: f64) {
        self.rivals.retain(|(_, until)| *until > now);
        self.bucket.refill(now, self.rate(limits, fleet_fraction), full);
        self.demand *= (-now.since(self.demand_at).as_secs_f64() / DEMAND_S).exp();
        self.demand_at = now;
    }

    fn rate(&self, limits: &Limits, fleet_fraction: f64) -> f64 {
        limits.rate * fleet_fraction / (1 + self.rivals.len()) as f64
    }

    /// Counts requests.
    pub fn count(&mut self, counts: Counts) {
        self.demand += f64::from(counts.offered) / DEMAND_S;
        self.bucket.spend(f64::from(counts.admitted));
    }

    /// Part of the tenant's requests that nodes are to admit, 0 to 1.
    pub fn pass(&self, limits: &Limits, fleet_fraction: f64) -> f64 {
        if self.bucket.level() >= limits.headroom() * fleet_fraction && self.bucket.level() > 0.0 {
            return 1.0;
        }
        let rate = self.rate(limits, fleet_fraction) + self.bucket.level() / CORRECTION_S;
        if rate >= self.demand { 1.0 } else { (rate / self.demand).max(0.0) }
    }

    /// Takes a node's report; what was counted for it so far is the answer. A report that is late or came twice counts nothing.
    pub fn take_report(&mut self, now: BootTime, from: NodeId, report: &QuotaReport) -> Confirmation {
        let fresh = Confirmation { epoch: report.epoch, counts: report.confirmed };
        let known = self.reported.get(&from).map_or(fresh, |known| known.confirmation);
        if known.epoch > report.epoch {
            return known;
        }
        let known = if known.epoch < report.epoch { fresh } else { known };
        self.count(report.counts.since(known.counts));
        let counts = Counts {
            offered: known.counts.offered.max(report.counts.offered),
            admitted: known.counts.admitted.max(report.counts.admitted),
        };
        let confirmation = Confirmation { epoch: report.epoch, counts };
        self.reported.insert(from, Reported { confirmation, at: now });
        confirmation
    }

    /// Another node has spoken as owner: both halve their rate. Says whether that is new.
    pub fn note_rival(&mut self, now: BootTime, rival: NodeId) -> bool {
        let is_new = self.rivals.iter().all(|(node, until)| *node != rival || *until <= now);
        self.rivals.retain(|(node, _)| *node != rival);
        self.rivals.push((rival, now + RIVAL_LIFE));
        is_new
    }

    /// Whether a former owner is to be sent a grant of this node now.
    pub fn ask_former(&mut self, now: BootTime, former: NodeId) -> bool {
        let is_due = self.asked_former.is_none_or(|(node, at)| node != former || now.since(at) >= ASK_FORMER);
        if is_due {
            self.asked_former = Some((former, now));
        }
        is_due
    }

    /// Whether all `nodes` are to be granted the fraction now.
    pub fn is_announcement_due(&self, now: BootTime, pass: f64, nodes: usize) -> bool {
        if pass >= 1.0 && self.announced >= 1.0 {
            return false;
        }
        let (age, gap) = (now.since(self.announced_at), gap(nodes));
        let change = (pass - self.announced) / self.announced.max(MIN_FRACTION);
        let is_tighter = self.announced >= 1.0 || change < -ANNOUNCED_CHANGE;
        let is_easier = pass >= 1.0 || change > ANNOUNCED_CHANGE;
        (is_tighter && age >= gap) || (is_easier && age >= gap * EASING_FACTOR) || age >= REPEAT.max(gap)
    }

    /// Time since all nodes were granted a fraction last.
    pub fn announced_for(&self, now: BootTime) -> Duration {
        now.since(self.announced_at)
    }

    /// Nodes that have reported within a time.
    pub fn heard_since(&self, now: BootTime, time: Duration) -> usize {
        self.reported.values().filter(|reported| now.since(reported.at) < time).count()
    }

    /// All nodes are granted the fraction.
    pub fn note_announced(&mut self, now: BootTime, pass: f64) {
        self.announced = pass;
        self.announced_at = now;
        self.reported.retain(|_, reported| now.since(reported.at) < FORGET_NODE);
    }

    /// Whether nodes hold a fraction below 1 that must be granted again.
    pub fn is_limiting(&self) -> bool {
        self.announced < 1.0
    }

    /// Tokens.
    pub fn level(&self) -> f64 {
        self.bucket.level()
    }
}

fn gap(nodes: usize) -> Duration {
    SHORTEST_GAP.max(GAP_PER_NODE * nodes as u32)
}
