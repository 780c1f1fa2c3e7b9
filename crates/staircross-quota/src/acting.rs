//! Standing in for a tenant's owner that doesn't answer.
//!
//! The membership takes some seconds to see that a node is gone. Until then each node would find out by itself, by a request that it admits and a report that
//! isn't answered; in a large fleet these requests alone exceed a quota. So the first node that finds out stands in for the owner: it tells the
//! others, which report to it once, and again with what they admit, and keep to the fraction that it grants. Of several the one that would own the tenant first remains. It ends with the owner's next
//! answer, or when the membership names another.

use crate::bound::Limits;
use crate::fleet::Fleet;
use crate::ledger::Ledger;
use crate::message::{Confirmation, Counts, QuotaGrant, QuotaReport, TenantHash};
use staircross_types::{BootTime, NodeId};
use std::time::Duration;

/// Silence of the owner after which a node stands in for it: two sendings of a report that weren't answered.
pub(crate) const ACT_AFTER: Duration = Duration::from_millis(200);
/// Time since its last report for which a node counts as one that is granted to. Longer than the membership takes to see that the owner is gone, since a node
/// that no request comes to reports once.
const FOLLOWER_LIFE: Duration = Duration::from_secs(5);
/// Time after which the fraction is granted again where nothing has changed: half the life of a grant.
const REPEAT: Duration = Duration::from_secs(2);
/// Time between two looks at what is to be granted.
const LOOK: Duration = Duration::from_millis(100);

/// What a node keeps that stands in for an owner.
#[derive(Debug)]
pub(crate) struct Acting {
    /// Whom it stands in for.
    owner: NodeId,
    ledger: Ledger,
    /// When to look at what is to be granted.
    pub due: BootTime,
    is_announced: bool,
}

impl Acting {
    /// Begins with what this node has admitted unconfirmed.
    pub fn new(now: BootTime, owner: NodeId, limits: &Limits, open: Counts) -> Self {
        let mut ledger = Ledger::with_level(now, limits.substitute_credit());
        ledger.count(open);
        Acting { owner, ledger, due: now, is_announced: false }
    }

    /// Whether any other node reports to this one. Without any it decides as one that is on its own.
    pub fn is_followed(&self, now: BootTime) -> bool {
        self.followers(now) > 0
    }

    fn followers(&self, now: BootTime) -> usize {
        self.ledger.heard_since(now, FOLLOWER_LIFE)
    }

    /// Part of the requests that this node and its followers are to admit now. They may spend a part of the quota only: the owner may live and grant the rest.
    pub fn pass(&mut self, now: BootTime, limits: &Limits, fleet: &Fleet) -> f64 {
        let fraction = fleet.stranded_fraction(now, self.followers(now) + 1);
        self.ledger.refill_keeping(now, limits, fraction);
        self.ledger.pass(limits, fraction)
    }

    /// What a node is granted in the owner's place.
    pub fn grant(&self, now: BootTime, tenant: TenantHash, pass: f64) -> QuotaGrant {
        QuotaGrant::unsolicited(now, tenant, pass).with_instead_of(self.owner)
    }

    /// Counts requests of this node.
    pub fn count(&mut self, counts: Counts) {
        self.ledger.count(counts);
    }

    /// Takes a follower's report.
    pub fn take_report(&mut self, now: BootTime, from: NodeId, report: &QuotaReport) -> Confirmation {
        self.ledger.take_report(now, from, report)
    }

    /// The fraction that all `nodes` are to be granted now, if it must be announced. The first word limits nobody: only what the others
    /// report tells how much there is.
    pub fn due_grant(&mut self, now: BootTime, limits: &Limits, fleet: &Fleet) -> Option<f64> {
        if now < self.due {
            return None;
        }
        self.due = now + LOOK;
        let granted = self.pass(now, limits, fleet);
        let is_limiting = self.is_announced && self.is_followed(now);
        let pass = if is_limiting { granted } else { 1.0 };
        let is_due = !self.is_announced
            || self.ledger.is_announcement_due(now, pass, fleet.serving().len())
            || self.ledger.announced_for(now) >= REPEAT;
        self.is_announced = true;
        if is_due {
            self.ledger.note_announced(now, pass);
        }
        is_due.then_some(pass)
    }
}
