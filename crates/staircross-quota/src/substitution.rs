//! State of a node that substitutes for a tenant's owner that doesn't answer.
//!
//! The membership takes some seconds to detect that a node is gone. Until then each node would detect it separately, by
//! a request that it admits and a report that isn't answered; in a large fleet these requests alone exceed a quota. So
//! the first node that detects it substitutes for the owner: it sends the other nodes a grant, each of them reports to
//! it once and again whenever it has admitted requests, and all of them admit the fraction that it grants. If several
//! nodes substitute at once, the one with the highest owner score for the tenant remains. Substitution ends with the
//! owner's next answer, or when the membership names another owner.

use crate::bound::TenantLimits;
use crate::fleet::Fleet;
use crate::ledger::Ledger;
use crate::message::{Confirmation, Counts, QuotaGrant, QuotaReport, TenantHash};
use staircross_types::{BootTime, NodeId};
use std::time::Duration;

/// Time without an answer from the owner after which a node substitutes for it. A report is sent twice in that time.
pub(crate) const SUBSTITUTE_AFTER: Duration = Duration::from_millis(200);
/// Time since a node's last report during which it still counts as one that receives this node's grants. This time is
/// longer than the membership takes to detect that the owner is gone, because a node without requests reports only
/// once.
const REPORTER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an unchanged fraction is granted again. It is half the time for which a grant is valid.
const REGRANT_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two checks of whether a new fraction must be granted.
const GRANT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State of one tenant at a node that substitutes for the tenant's owner.
#[derive(Debug)]
pub(crate) struct Substitution {
    /// The owner that doesn't answer.
    owner: NodeId,
    /// Counts of this node and of the nodes that report to it.
    ledger: Ledger,
    /// Time of the next check of whether a new fraction must be granted.
    pub next_check_at: BootTime,
    /// Whether the first grant, which limits nobody, has been sent.
    has_granted: bool,
}

impl Substitution {
    /// Starts a substitution; `unconfirmed` are the requests of this node that the owner hasn't confirmed.
    pub fn new(now: BootTime, owner: NodeId, limits: &TenantLimits, unconfirmed: Counts) -> Self {
        let mut ledger = Ledger::with_level(now, limits.substitute_credit());
        ledger.count(unconfirmed);
        Substitution { owner, ledger, next_check_at: now, has_granted: false }
    }

    /// Returns whether any other node reports to this one. A substitute without reports decides like a node that
    /// reaches neither the owner nor a substitute.
    pub fn has_reporters(&self, now: BootTime) -> bool {
        self.reporters(now) > 0
    }

    /// Returns the number of nodes that receive this node's grants, because they have reported within
    /// [`REPORTER_TIMEOUT`].
    fn reporters(&self, now: BootTime) -> usize {
        self.ledger.reporters_within(now, REPORTER_TIMEOUT)
    }

    /// Returns the fraction of requests that this node and the nodes that report to it should admit now. Together they
    /// may spend only a part of the quota, because the owner may be alive and grant the rest.
    pub fn admit_fraction(&mut self, now: BootTime, limits: &TenantLimits, fleet: &Fleet) -> f64 {
        let fraction = fleet.ownerless_fraction(now, self.reporters(now) + 1);
        self.ledger.refill_keeping_surplus(now, limits, fraction);
        self.ledger.admit_fraction(limits, fraction)
    }

    /// Returns a grant of the fraction `admit_fraction` in the owner's place.
    pub fn grant(&self, now: BootTime, tenant: TenantHash, admit_fraction: f64) -> QuotaGrant {
        QuotaGrant::new(now, tenant, admit_fraction).with_substituted_owner(self.owner)
    }

    /// Counts requests of this node.
    pub fn count(&mut self, counts: Counts) {
        self.ledger.count(counts);
    }

    /// Counts what another node reports, and returns the confirmation for it.
    pub fn apply_report(&mut self, now: BootTime, from: NodeId, report: &QuotaReport) -> Confirmation {
        self.ledger.apply_report(now, from, report)
    }

    /// Returns the fraction to grant to all nodes, if a grant is due now. The first grant limits nobody, because only
    /// the reports that it causes show the demand.
    pub fn take_due_grant(&mut self, now: BootTime, limits: &TenantLimits, fleet: &Fleet) -> Option<f64> {
        if now < self.next_check_at {
            return None;
        }
        self.next_check_at = now + GRANT_CHECK_INTERVAL;
        let fraction = self.admit_fraction(now, limits, fleet);
        let limits_requests = self.has_granted && self.has_reporters(now);
        let admit_fraction = if limits_requests { fraction } else { 1.0 };
        let is_due = !self.has_granted
            || self.ledger.is_grant_due(now, admit_fraction, fleet.serving().len())
            || self.ledger.time_since_grant(now) >= REGRANT_INTERVAL;
        self.has_granted = true;
        if is_due {
            self.ledger.record_grant(now, admit_fraction);
        }
        is_due.then_some(admit_fraction)
    }
}
