//! One tenant at one node.

use crate::acting::{ACT_AFTER, Acting};
use crate::bound::Limits;
use crate::bucket::Bucket;
use crate::fleet::{Fleet, is_before};
use crate::ledger::Ledger;
use crate::message::{Confirmation, Counts, QuotaGrant, QuotaMessage, QuotaReport, TenantHash};
use crate::refusal::QuotaRefusal;
use crate::spender::{DOUBT, DueReport, PATIENCE, Spender};
use staircross_types::{BootTime, NodeId};
use std::sync::Arc;
use std::time::Duration;

/// Time for which a node that is no longer the owner answers reports of nodes that don't know that yet. Above the time in which a planned stop is
/// known everywhere.
const LINGER: Duration = Duration::from_secs(2);
/// Time between two checks of a tenant that is limited. The owner's shortest time between two grants.
const LIMITED_LOOK: Duration = Duration::from_millis(100);
/// Time without a refusal after which a tenant counts as free again, so that the log doesn't alternate.
const FREE_AFTER: Duration = Duration::from_secs(3);
/// Shortest time after which a refused caller is asked to come back, in seconds. Above a round trip.
const SOONEST_RETURN_S: f64 = 0.25;
/// Longest time over which refused callers are spread, in seconds, so that as many come back as pass. So that callers still come.
const LATEST_SPREAD_S: f64 = 8.0;

/// One tenant at one node.
#[derive(Debug)]
pub(crate) struct Tenant {
    pub name: Arc<str>,
    pub hash: TenantHash,
    pub limits: Limits,
    pub owner: NodeId,
    generation: u32,
    pub ledger: Option<Ledger>,
    pub spender: Option<Spender>,
    /// Set while this node stands in for the owner.
    acting: Option<Acting>,
    /// Tokens of a node that is on its own.
    stranded: Option<Bucket>,
    /// What is left of the parts of earlier requests; a request passes when it reaches 1.
    carry: f64,
    ledger_due: Option<BootTime>,
    /// Whether it asked anything here while this node didn't know who else there is.
    has_asked: bool,
    /// When a request was last refused, where the log says that the tenant is limited.
    limited_at: Option<BootTime>,
}

impl Tenant {
    /// A tenant without any requests yet; `carry` is drawn at random, so that few requests at many nodes pass at the fraction granted.
    pub fn new(name: Arc<str>, limits: Limits, own: NodeId, carry: f64) -> Self {
        Tenant {
            hash: TenantHash::of(&name),
            name,
            limits,
            owner: own,
            generation: 0,
            ledger: None,
            spender: None,
            acting: None,
            stranded: None,
            carry,
            ledger_due: None,
            has_asked: false,
            limited_at: None,
        }
    }

    /// Finds the owner anew where nodes have changed.
    pub fn refresh(&mut self, now: BootTime, own: NodeId, fleet: &Fleet, is_first: bool) {
        if self.generation != fleet.generation {
            self.generation = fleet.generation;
            let owner = fleet.owner_of(self.hash);
            // While many nodes come and go, a node that stands in for one that stays the owner would begin anew with each, and tell all others each time.
            if owner != self.owner {
                self.acting = None;
            }
            self.owner = owner;
            if self.owner == own {
                self.become_owner(now, fleet, is_first);
            } else {
                self.follow(now, fleet);
            }
        }
        let is_over = self.ledger.as_ref().and_then(|ledger| ledger.lost_at).is_some_and(|at| now.since(at) >= LINGER);
        if is_over {
            self.ledger = None;
        }
    }

    fn become_owner(&mut self, now: BootTime, fleet: &Fleet, is_first: bool) {
        let owned_for = now.since(fleet.changed_at);
        let limits = &self.limits;
        let ledger = self.ledger.get_or_insert_with(|| Ledger::new(now, limits, owned_for, is_first));
        ledger.lost_at = None;
        if let Some(spender) = self.spender.take() {
            ledger.count(spender.open());
        }
    }

    fn follow(&mut self, now: BootTime, fleet: &Fleet) {
        if let Some(ledger) = &mut self.ledger {
            ledger.lost_at.get_or_insert(now);
        }
        match &mut self.spender {
            Some(spender) if spender.owner == self.owner => {}
            Some(spender) => spender.set_owner(now, self.owner, fleet.generation),
            None => self.spender = Some(Spender::new(self.owner, fleet.generation)),
        }
    }

    /// Whether the owner is silent: for long, or for a moment in which this node has admitted more than its part.
    pub fn is_stranded(&self, now: BootTime, fleet: &Fleet) -> bool {
        let Some(spender) = &self.spender else {
            return false;
        };
        if spender.substitute(now).is_some() || self.is_acting(now) {
            return false;
        }
        let credit = self.limits.stranded_credit(fleet.peak(now)).max(1.0);
        let is_over_credit = f64::from(spender.open().admitted) >= credit;
        spender.is_silent(now, PATIENCE) || (spender.is_silent(now, DOUBT) && is_over_credit)
    }

    /// Decides about a request as the owner.
    pub fn take_owned(&mut self, now: BootTime, fleet_fraction: f64, random: f64) -> Result<(), QuotaRefusal> {
        let Some(ledger) = &mut self.ledger else {
            return Ok(());
        };
        ledger.refill(now, &self.limits, fleet_fraction);
        let pass = ledger.pass(&self.limits, fleet_fraction);
        let is_admitted = draw(&mut self.carry, pass);
        ledger.count(Counts { offered: 1, admitted: u32::from(is_admitted) });
        if ledger.is_limiting() || ledger.pass(&self.limits, fleet_fraction) < 1.0 {
            self.ledger_due = Some(now);
        }
        self.stranded = None;
        if is_admitted { Ok(()) } else { Err(refusal(pass, random)) }
    }

    /// Decides about a request of a tenant that another node owns, which answers.
    pub fn take_followed(&mut self, now: BootTime, random: f64) -> Result<(), QuotaRefusal> {
        let Some(spender) = &mut self.spender else {
            return Ok(());
        };
        self.stranded = None;
        let pass = spender.pass(now);
        let unconfirmed = spender.unconfirmed(now);
        let credit = (self.limits.burst + self.limits.headroom()) * unconfirmed.trust;
        let has_credit = f64::from(unconfirmed.admitted) <= credit.max(1.0);
        let is_admitted = has_credit && draw(&mut self.carry, pass);
        self.count_unowned(now, is_admitted);
        if is_admitted { Ok(()) } else { Err(refusal(pass, random)) }
    }

    /// Whether this node stands in for the owner, and others take its word.
    pub fn is_acting(&self, now: BootTime) -> bool {
        self.acting.as_ref().is_some_and(|acting| acting.is_followed(now))
    }

    /// The node that stands in for the owner, `own` where this one does.
    pub fn substitute_or(&self, now: BootTime, own: NodeId) -> Option<NodeId> {
        if self.is_acting(now) { Some(own) } else { self.spender.as_ref()?.substitute(now) }
    }

    /// Begins to stand in for an owner that doesn't answer, where nobody else does.
    pub fn stand_in(&mut self, now: BootTime) {
        let Some(spender) = &self.spender else {
            return;
        };
        let is_needed = spender.is_silent(now, ACT_AFTER) && spender.substitute(now).is_none();
        if self.acting.is_none() && is_needed {
            self.acting = Some(Acting::new(now, spender.owner, &self.limits, spender.open()));
        }
    }

    /// Decides about a request in the owner's place.
    pub fn take_acting(&mut self, now: BootTime, fleet: &Fleet, random: f64) -> Result<(), QuotaRefusal> {
        let Some(acting) = &mut self.acting else {
            return Ok(());
        };
        self.stranded = None;
        let pass = acting.pass(now, &self.limits, fleet);
        let is_admitted = draw(&mut self.carry, pass);
        self.count_unowned(now, is_admitted);
        if is_admitted { Ok(()) } else { Err(refusal(pass, random)) }
    }

    /// Takes a report in the owner's place; none where this node doesn't stand in for it.
    pub fn take_report_acting(
        &mut self,
        now: BootTime,
        from: NodeId,
        report: &QuotaReport,
        fleet: &Fleet,
    ) -> Option<QuotaGrant> {
        let acting = self.acting.as_mut()?;
        let confirmation = acting.take_report(now, from, report);
        let pass = acting.pass(now, &self.limits, fleet);
        Some(acting.grant(now, self.hash, pass).with_confirmation(confirmation))
    }

    /// What all nodes are to be granted now in the owner's place.
    pub fn due_grant_acting(&mut self, now: BootTime, fleet: &Fleet) -> Option<QuotaGrant> {
        let acting = self.acting.as_mut()?;
        let pass = acting.due_grant(now, &self.limits, fleet)?;
        Some(acting.grant(now, self.hash, pass))
    }

    /// Another node stands in for an owner. The answer, where it shouldn't: this node comes before it in that.
    pub fn take_grant_acting(
        &mut self,
        now: BootTime,
        from: NodeId,
        own: NodeId,
        grant: &QuotaGrant,
    ) -> Option<QuotaGrant> {
        let spender = self.spender.as_mut().filter(|spender| Some(spender.owner) == grant.instead_of)?;
        if spender.was_answered(now, ACT_AFTER) {
            return None;
        }
        if let Some(acting) = self.acting.as_ref().filter(|_| is_before(own, from, self.hash)) {
            return Some(acting.grant(now, self.hash, 1.0));
        }
        let known = spender.substitute(now);
        if known.is_none_or(|known| known == from || is_before(from, known, self.hash)) {
            self.acting = None;
            spender.take_substitutes_grant(now, from, grant);
        }
        None
    }

    /// The owner answers: nobody is needed in its place.
    pub fn end_acting(&mut self) {
        self.acting = None;
    }

    /// Decides about a request on this node's own: its fixed part of the rate, and seldom one request at once.
    pub fn take_stranded(&mut self, now: BootTime, fleet: &Fleet, random: f64) -> Result<(), QuotaRefusal> {
        let fraction = fleet.stranded_fraction(now, 1);
        let rate = self.limits.rate * fraction;
        let most = (self.limits.burst * fraction).max(1.0);
        let was_limited = self.spender.as_ref().is_some_and(|spender| spender.was_limited(now));
        let credit = if was_limited { 0.0 } else { self.limits.stranded_credit(fleet.peak(now)) };
        let open = self.spender.as_ref().map_or(0, |spender| spender.open().admitted);
        // The random part lets few requests at many nodes pass at the rate granted.
        let bucket = self.stranded.get_or_insert_with(|| Bucket::new(now, credit + random - f64::from(open)));
        bucket.refill(now, rate, most.max(credit));
        let taken = bucket.try_take(rate);
        self.count_unowned(now, taken.is_ok());
        taken.map_err(|wait| QuotaRefusal { retry_after: wait + Duration::from_secs_f64(random) })
    }

    /// Decides about a request right after a restart, while this node doesn't know who else there is. Nodes that know of different
    /// peers take different ones for the owner, so nobody's grant counts yet; what is admitted is reported all the same.
    pub fn take_starting(&mut self, now: BootTime, random: f64) -> Result<(), QuotaRefusal> {
        let fraction = self.limits.starting_fraction(!self.has_asked);
        self.has_asked = true;
        let is_admitted = draw(&mut self.carry, fraction);
        self.count_unowned(now, is_admitted);
        if is_admitted { Ok(()) } else { Err(refusal(fraction, random)) }
    }

    /// Counts a request of a tenant that another node owns, or will own.
    fn count_unowned(&mut self, now: BootTime, is_admitted: bool) {
        if let Some(acting) = &mut self.acting {
            acting.count(Counts { offered: 1, admitted: u32::from(is_admitted) });
        }
        if let Some(spender) = &mut self.spender {
            spender.count(now, is_admitted, &self.limits);
        } else if let Some(ledger) = &mut self.ledger {
            ledger.count(Counts { offered: 1, admitted: u32::from(is_admitted) });
        }
    }

    /// Takes a report as the owner; none where this node isn't.
    pub fn take_report(
        &mut self,
        now: BootTime,
        from: NodeId,
        report: &QuotaReport,
        fleet_fraction: f64,
    ) -> Option<(f64, Confirmation)> {
        let ledger = self.ledger.as_mut()?;
        ledger.refill(now, &self.limits, fleet_fraction);
        let confirmation = ledger.take_report(now, from, report);
        let pass = ledger.pass(&self.limits, fleet_fraction);
        if pass < 1.0 || ledger.is_limiting() {
            self.ledger_due = Some(now);
        }
        Some((pass, confirmation))
    }

    /// Another node has spoken as owner. Says whether this one is the owner too, and hasn't known of it.
    pub fn note_rival(&mut self, now: BootTime, rival: NodeId) -> bool {
        self.ledger.as_mut().is_some_and(|ledger| ledger.note_rival(now, rival))
    }

    /// What the owner sends another node that acts as owner.
    pub fn claim(&self, now: BootTime, fleet_fraction: f64) -> QuotaMessage {
        QuotaMessage::Grant(QuotaGrant::unsolicited(now, self.hash, self.pass(now, fleet_fraction)))
    }

    /// Whether this node is the owner, and hasn't asked a former one yet whether it still is.
    pub fn is_new_rival(&mut self, now: BootTime, former: NodeId) -> bool {
        let ledger = self.ledger.as_mut().filter(|ledger| ledger.lost_at.is_none());
        ledger.is_some_and(|ledger| ledger.ask_former(now, former))
    }

    /// The fraction that all `nodes` are to be granted now, if it must be announced.
    pub fn due_grant(&mut self, now: BootTime, fleet_fraction: f64, nodes: usize) -> Option<f64> {
        if self.ledger_due.is_none_or(|due| due > now) {
            return None;
        }
        self.ledger_due = None;
        let ledger = self.ledger.as_mut().filter(|ledger| ledger.lost_at.is_none())?;
        ledger.refill(now, &self.limits, fleet_fraction);
        let pass = ledger.pass(&self.limits, fleet_fraction);
        let is_new = ledger.is_announcement_due(now, pass, nodes);
        if is_new {
            ledger.note_announced(now, pass);
        }
        if pass < 1.0 || ledger.is_limiting() {
            self.ledger_due = Some(now + LIMITED_LOOK);
        }
        is_new.then_some(pass)
    }

    /// The report that is due now, if one is.
    pub fn report(&mut self, now: BootTime) -> Option<DueReport> {
        self.spender.as_mut()?.report(now, self.hash)
    }

    /// Notes how a request was decided. Says whether the tenant is limited now, where that has changed.
    pub fn note_decided(&mut self, now: BootTime, is_admitted: bool) -> Option<bool> {
        let was_limited = self.limited_at.is_some();
        if !is_admitted {
            self.limited_at = Some(now);
        } else if self.limited_at.is_some_and(|at| now.since(at) >= FREE_AFTER) {
            self.limited_at = None;
        }
        let is_limited = self.limited_at.is_some();
        (is_limited != was_limited).then_some(is_limited)
    }

    /// When something is due next.
    pub fn due(&self) -> Option<BootTime> {
        let report = self.spender.as_ref().and_then(Spender::due);
        let acting = self.acting.as_ref().map(|acting| acting.due);
        [report, self.ledger_due, acting].into_iter().flatten().min()
    }

    /// Part of the requests that pass as far as this node knows.
    pub fn pass(&self, now: BootTime, fleet_fraction: f64) -> f64 {
        match (&self.ledger, &self.spender) {
            (_, Some(spender)) => spender.pass(now),
            (Some(ledger), None) => ledger.pass(&self.limits, fleet_fraction),
            (None, None) => 1.0,
        }
    }
}

/// Whether a request passes where a part of all does.
fn draw(carry: &mut f64, pass: f64) -> bool {
    if pass >= 1.0 {
        return true;
    }
    *carry += pass;
    if *carry < 1.0 {
        return false;
    }
    *carry -= 1.0;
    true
}

/// Callers that are refused at the same time come back over a time in which as many pass as were refused.
fn refusal(pass: f64, random: f64) -> QuotaRefusal {
    let spread = (1.0 / pass.max(f64::MIN_POSITIVE)).min(LATEST_SPREAD_S);
    QuotaRefusal { retry_after: Duration::from_secs_f64(SOONEST_RETURN_S + random * spread) }
}
