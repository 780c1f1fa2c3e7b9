//! The state of a tenant at a node that doesn't own it: what the node admits and reports, and whether the owner
//! answers.

use crate::bound::TenantLimits;
use crate::message::{Counts, QuotaGrant, QuotaReport, TenantHash};
use staircross_types::{BootTime, NodeId};
use std::time::Duration;

/// Time after which a report that wasn't answered is sent again. This time is longer than the round trip between
/// regions.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two transmissions of an unanswered report. It equals three doublings of
/// [`REPORT_RETRY_INTERVAL`].
const MAX_REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(800);
/// Time without an answer from the owner after which this node decides without it. A report is sent five times in that
/// time, so that with a tenth of the datagrams lost in each direction only about one in some thousand detections is
/// false.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Counterpart of [`OWNER_TIMEOUT`] for a node whose unconfirmed admissions have reached its local credit
/// ([`TenantLimits::local_credit`]). A report is sent three times in that time.
pub(crate) const OVERSPENT_OWNER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a granted fraction is valid. A fraction below 1 is granted again each second, so three grants may be
/// lost.
const GRANT_VALIDITY: Duration = Duration::from_millis(4000);
/// Time for which a tenant that was limited is still assumed to exceed its quota, so that a node which decides without
/// the owner gives it no credit.
const LIMITED_RETENTION: Duration = Duration::from_secs(10);
/// Time for which a former owner may still regard itself as the owner. This time is longer than the nodes take to agree
/// on the membership, some 3 s.
const FORMER_OWNER_LIFETIME: Duration = Duration::from_secs(4);

/// The node that substitutes for an owner that doesn't answer.
#[derive(Clone, Copy, Debug)]
struct Substitute {
    node: NodeId,
    admit_fraction: f64,
    grant_valid_until: BootTime,
    /// Part of this node's counts that the substitute has confirmed.
    confirmed: Counts,
    /// Whether the substitute has answered a report of this node, and therefore counts this node among those that
    /// receive its grants.
    has_answered: bool,
    /// Time of the first transmission of the oldest report to the substitute that it hasn't answered.
    unanswered_since: Option<BootTime>,
}

impl Substitute {
    /// Returns whether the substitute has confirmed all of `counts`.
    fn has_confirmed_all(&self, counts: Counts) -> bool {
        self.has_answered && self.confirmed == counts
    }

    /// Returns whether the substitute's last grant is valid and no report to it has been unanswered for
    /// [`OWNER_TIMEOUT`].
    fn is_answering(&self, now: BootTime) -> bool {
        now < self.grant_valid_until && self.unanswered_since.is_none_or(|since| now.since(since) < OWNER_TIMEOUT)
    }
}

/// The state of a tenant that another node owns.
#[derive(Debug)]
pub(crate) struct Follower {
    pub owner: NodeId,
    /// Rises with each change of owner; `counts` and `confirmed` start anew then.
    epoch: u32,
    /// Requests of this epoch, and those that the former owner left unconfirmed.
    counts: Counts,
    /// Part of `counts` that the owner has confirmed.
    confirmed: Counts,
    /// Time of the first transmission of the oldest report that the owner hasn't answered.
    unanswered_since: Option<BootTime>,
    /// Time of the next report.
    next_report_at: Option<BootTime>,
    /// Time until an unanswered report is sent again.
    retry_interval: Duration,
    /// The fraction that the owner granted last.
    admit_fraction: f64,
    /// The owner's time of that grant, in microseconds; 0 before the first grant.
    granted_at: u64,
    grant_valid_until: BootTime,
    /// Time at which the tenant was last known to be limited.
    limited_at: Option<BootTime>,
    /// The owner before this one, and the time until which it may still regard itself as the owner.
    former_owner: Option<(NodeId, BootTime)>,
    /// Time of the owner's last answer to a report.
    last_answer_at: Option<BootTime>,
    substitute: Option<Substitute>,
}

impl Follower {
    /// Creates the state for a tenant without requests.
    pub fn new(owner: NodeId, epoch: u32) -> Self {
        Follower {
            owner,
            epoch,
            counts: Counts::default(),
            confirmed: Counts::default(),
            unanswered_since: None,
            next_report_at: None,
            retry_interval: REPORT_RETRY_INTERVAL,
            admit_fraction: 1.0,
            granted_at: 0,
            grant_valid_until: BootTime(0),
            limited_at: None,
            former_owner: None,
            last_answer_at: None,
            substitute: None,
        }
    }

    /// Switches to another owner. Counts that the former owner hasn't confirmed are reported to the new one; the
    /// granted fraction remains valid until the new owner grants one.
    pub fn set_owner(&mut self, now: BootTime, owner: NodeId, epoch: u32) {
        let counts = self.counts.since(self.confirmed);
        let has_unconfirmed = counts != Counts::default();
        let former_owner = (self.granted_at > 0).then_some((self.owner, now + FORMER_OWNER_LIFETIME));
        *self = Follower {
            counts,
            next_report_at: has_unconfirmed.then_some(now),
            admit_fraction: self.admit_fraction,
            grant_valid_until: self.grant_valid_until,
            limited_at: self.limited_at,
            former_owner: former_owner.or(self.former_owner),
            ..Follower::new(owner, epoch)
        };
    }

    /// Returns the fraction of requests to admit, 0 to 1.
    pub fn admit_fraction(&self, now: BootTime) -> f64 {
        let granted = if now < self.grant_valid_until { self.admit_fraction } else { 1.0 };
        self.answering_substitute(now).map_or(granted, |substitute| substitute.admit_fraction.min(granted))
    }

    /// Returns the node that substitutes for the owner, if there is one and it answers.
    pub fn substitute(&self, now: BootTime) -> Option<NodeId> {
        self.answering_substitute(now).map(|substitute| substitute.node)
    }

    fn answering_substitute(&self, now: BootTime) -> Option<&Substitute> {
        self.substitute.as_ref().filter(|substitute| substitute.is_answering(now))
    }

    /// Returns whether the owner has answered a report within `time`.
    pub fn answered_within(&self, now: BootTime, time: Duration) -> bool {
        self.last_answer_at.is_some_and(|at| now.since(at) < time)
    }

    /// Returns the numbers of requests that the owner hasn't confirmed.
    pub fn unconfirmed_counts(&self) -> Counts {
        self.counts.since(self.confirmed)
    }

    /// Returns whether the tenant was limited within [`LIMITED_RETENTION`].
    pub fn was_limited(&self, now: BootTime) -> bool {
        self.limited_at.is_some_and(|at| now.since(at) < LIMITED_RETENTION)
    }

    /// Returns whether the owner has left a report unanswered for at least `time`.
    pub fn is_unanswered_for(&self, now: BootTime, time: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) >= time)
    }

    /// Counts a request and schedules the report of it.
    pub fn count(&mut self, now: BootTime, is_admitted: bool, limits: &TenantLimits) {
        self.counts.count(is_admitted);
        let is_limited = self.admit_fraction(now) < 1.0;
        let delay = if is_limited { limits.report_delay().min(REPORT_RETRY_INTERVAL) } else { limits.report_delay() };
        self.next_report_at = Some(self.next_report_at.map_or(now + delay, |due| due.min(now + delay)));
    }

    /// Returns the admitted requests that the substitute (or without one the owner) hasn't confirmed, and how much of
    /// the tenant's burst they may use. That part shrinks while a report remains unanswered.
    pub fn unconfirmed_admissions(&self, now: BootTime) -> UnconfirmedAdmissions {
        let (confirmed, since) = match self.answering_substitute(now) {
            Some(substitute) => (substitute.confirmed, substitute.unanswered_since),
            None => (self.confirmed, self.unanswered_since),
        };
        let unanswered_for = since.map_or(Duration::ZERO, |since| now.since(since));
        let burst_fraction =
            1.0 - unanswered_for.min(OVERSPENT_OWNER_TIMEOUT).div_duration_f64(OVERSPENT_OWNER_TIMEOUT);
        UnconfirmedAdmissions { admitted: self.counts.since(confirmed).admitted, burst_fraction }
    }

    /// Returns the time of the next report.
    pub fn next_report_at(&self) -> Option<BootTime> {
        self.next_report_at
    }

    /// Returns the report that is due now, if there is one, and schedules its repetition.
    pub fn take_due_report(&mut self, now: BootTime, tenant: TenantHash) -> Option<DueReport> {
        if self.next_report_at.is_none_or(|due| due > now) {
            return None;
        }
        let counts = self.counts;
        // While there is a substitute, only nodes with counts that the owner hasn't confirmed report to the owner.
        // Otherwise all nodes would send reports to a node that may be gone.
        let reports_to_owner = self.answering_substitute(now).is_none() || counts != self.confirmed;
        if reports_to_owner {
            self.unanswered_since.get_or_insert(now);
        }
        let substitute = self.substitute.as_mut().filter(|substitute| !substitute.has_confirmed_all(counts));
        let substitute = substitute.map(|substitute| {
            substitute.unanswered_since.get_or_insert(now);
            substitute.node
        });
        if !reports_to_owner && substitute.is_none() {
            self.next_report_at = None;
            return None;
        }
        self.retry_interval = if self.is_unanswered_for(now, OWNER_TIMEOUT) {
            (self.retry_interval * 2).min(MAX_REPORT_RETRY_INTERVAL)
        } else {
            REPORT_RETRY_INTERVAL
        };
        self.next_report_at = Some(now + self.retry_interval);
        let former_owner = self.former_owner.filter(|(_, until)| *until > now).map(|(former_owner, _)| former_owner);
        let report = QuotaReport { tenant, epoch: self.epoch, counts, confirmed: self.confirmed, former_owner };
        Some(DueReport { report, owner: reports_to_owner.then_some(self.owner), substitute })
    }

    /// Applies a grant of the owner.
    pub fn apply_grant(&mut self, now: BootTime, grant: &QuotaGrant) {
        if let Some(confirmation) = grant.confirmation.filter(|confirmation| confirmation.epoch == self.epoch) {
            self.confirmed.offered = self.confirmed.offered.max(confirmation.counts.offered.min(self.counts.offered));
            self.confirmed.admitted =
                self.confirmed.admitted.max(confirmation.counts.admitted.min(self.counts.admitted));
            self.unanswered_since = None;
            self.last_answer_at = Some(now);
            self.substitute = None;
            let is_confirmed = self.confirmed == self.counts;
            self.next_report_at =
                self.next_report_at.filter(|_| !is_confirmed).map(|due| due.min(now + REPORT_RETRY_INTERVAL));
        }
        if grant.granted_at < self.granted_at {
            return;
        }
        self.granted_at = grant.granted_at;
        self.admit_fraction = f64::from(grant.admit_fraction).clamp(0.0, 1.0);
        self.grant_valid_until = now + GRANT_VALIDITY;
        if self.admit_fraction < 1.0 {
            self.limited_at = Some(now);
        }
    }

    /// Applies a grant of a node that substitutes for the owner. This node reports to a new substitute at once,
    /// because the substitute must know how many nodes it grants to. Once the substitute has confirmed all counts,
    /// only those that the owner hasn't confirmed are reported again, and at long intervals: the substitute itself
    /// continues to report to the owner.
    pub fn apply_substitute_grant(&mut self, now: BootTime, from: NodeId, grant: &QuotaGrant) {
        if self.substitute.is_none_or(|current| current.node != from) {
            self.next_report_at = Some(now);
            let confirmed = self.confirmed;
            self.substitute = Some(Substitute {
                node: from,
                admit_fraction: 1.0,
                grant_valid_until: now,
                confirmed,
                has_answered: false,
                unanswered_since: None,
            });
        }
        let (counts, epoch) = (self.counts, self.epoch);
        let Some(substitute) = &mut self.substitute else {
            return;
        };
        substitute.admit_fraction = f64::from(grant.admit_fraction).clamp(0.0, 1.0);
        substitute.grant_valid_until = now + GRANT_VALIDITY;
        if let Some(confirmation) = grant.confirmation.filter(|confirmation| confirmation.epoch == epoch) {
            substitute.confirmed = confirmation.counts.at_most(counts);
            substitute.has_answered = true;
            substitute.unanswered_since = None;
            if substitute.has_confirmed_all(counts) {
                self.next_report_at = (counts != self.confirmed).then_some(now + MAX_REPORT_RETRY_INTERVAL);
            }
        }
        if substitute.admit_fraction < 1.0 {
            self.limited_at = Some(now);
        }
    }
}

/// A report and its receivers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueReport {
    pub report: QuotaReport,
    /// The owner, if the report is to be sent to it.
    pub owner: Option<NodeId>,
    /// The owner's substitute, if it hasn't confirmed all counts.
    pub substitute: Option<NodeId>,
}

/// Requests that this node has admitted and that haven't been confirmed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnconfirmedAdmissions {
    pub admitted: u32,
    /// Fraction of the tenant's burst that these requests may use, 0 to 1.
    pub burst_fraction: f64,
}
