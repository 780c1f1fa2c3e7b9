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

/// Time for which a former owner still answers reports of nodes that don't know the new owner yet. Longer than a
/// planned stop takes to become known everywhere.
const LINGER: Duration = Duration::from_secs(2);
/// Time between two checks of a limited tenant. Equal to the shortest time between two grants of the owner.
const LIMITED_LOOK: Duration = Duration::from_millis(100);
/// Time without a refusal after which a tenant is no longer logged as limited, so that the log doesn't alternate
/// between the two states.
const FREE_AFTER: Duration = Duration::from_secs(3);
/// Shortest time after which a refused caller should retry, in seconds. Longer than a round trip.
const SOONEST_RETURN_S: f64 = 0.25;
/// Longest time over which the retries of refused callers are spread, in seconds. Bounded so that callers still retry
/// when hardly any request is admitted.
const LATEST_SPREAD_S: f64 = 8.0;

/// One tenant at one node, which is the tenant's owner, follows another owner, or substitutes for one.
#[derive(Debug)]
pub(crate) struct Tenant {
    pub name: Arc<str>,
    pub hash: TenantHash,
    pub limits: Limits,
    pub owner: NodeId,
    generation: u32,
    pub ledger: Option<Ledger>,
    pub spender: Option<Spender>,
    /// Present while this node substitutes for the owner.
    acting: Option<Acting>,
    /// Token bucket that this node uses while it reaches neither owner nor substitute.
    stranded: Option<Bucket>,
    /// Sum of the fractions of earlier requests that hasn't led to an admission yet; a request is admitted when it
    /// reaches 1.
    carry: f64,
    ledger_due: Option<BootTime>,
    /// Whether the tenant has sent a request here while this node was starting and didn't know the other nodes.
    has_asked: bool,
    /// Time of the last refusal, while the tenant is logged as limited.
    limited_at: Option<BootTime>,
}

impl Tenant {
    /// Creates a tenant without requests. `carry` is random, so that with few requests at each of many nodes the
    /// granted fraction is still admitted overall.
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

    /// Determines the owner again if the nodes have changed, and drops the ledger of a former owner after [`LINGER`].
    pub fn refresh(&mut self, now: BootTime, own: NodeId, fleet: &Fleet, is_first: bool) {
        if self.generation != fleet.generation {
            self.generation = fleet.generation;
            let owner = fleet.owner_of(self.hash);
            // A substitution continues while the owner remains the same. Otherwise, while many nodes join and leave,
            // the substitute would start again with each change and send a grant to all nodes each time.
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

    /// Returns whether this node has to decide without owner and substitute: the owner has been silent for
    /// [`PATIENCE`], or for [`DOUBT`] while this node has admitted more than its share.
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

    /// Admits or refuses a request as the owner.
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

    /// Admits or refuses a request as a node whose owner or substitute answers.
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

    /// Returns whether this node substitutes for the owner and other nodes report to it.
    pub fn is_acting(&self, now: BootTime) -> bool {
        self.acting.as_ref().is_some_and(|acting| acting.is_followed(now))
    }

    /// The node that substitutes for the owner, `own` if it is this one.
    pub fn substitute_or(&self, now: BootTime, own: NodeId) -> Option<NodeId> {
        if self.is_acting(now) { Some(own) } else { self.spender.as_ref()?.substitute(now) }
    }

    /// Starts to substitute for an owner that doesn't answer, if no other node does.
    pub fn stand_in(&mut self, now: BootTime) {
        let Some(spender) = &self.spender else {
            return;
        };
        let is_needed = spender.is_silent(now, ACT_AFTER) && spender.substitute(now).is_none();
        if self.acting.is_none() && is_needed {
            self.acting = Some(Acting::new(now, spender.owner, &self.limits, spender.open()));
        }
    }

    /// Admits or refuses a request in the owner's place.
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

    /// Handles a report in the owner's place; `None` if this node doesn't substitute for the owner.
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

    /// The grant to send to all nodes now in the owner's place, if one is due.
    pub fn due_grant_acting(&mut self, now: BootTime, fleet: &Fleet) -> Option<QuotaGrant> {
        let acting = self.acting.as_mut()?;
        let pass = acting.due_grant(now, &self.limits, fleet)?;
        Some(acting.grant(now, self.hash, pass))
    }

    /// Handles a grant of a node that substitutes for an owner. Returns a grant as an objection if this node
    /// substitutes too and has the higher owner score.
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

    /// Stops substituting for the owner, because it answers.
    pub fn end_acting(&mut self) {
        self.acting = None;
    }

    /// Admits or refuses a request without owner and substitute, by a bucket with this node's fixed share of the rate
    /// and a small credit.
    pub fn take_stranded(&mut self, now: BootTime, fleet: &Fleet, random: f64) -> Result<(), QuotaRefusal> {
        let fraction = fleet.stranded_fraction(now, 1);
        let rate = self.limits.rate * fraction;
        let most = (self.limits.burst * fraction).max(1.0);
        let was_limited = self.spender.as_ref().is_some_and(|spender| spender.was_limited(now));
        let credit = if was_limited { 0.0 } else { self.limits.stranded_credit(fleet.peak(now)) };
        let open = self.spender.as_ref().map_or(0, |spender| spender.open().admitted);
        // The random part makes few requests at each of many nodes pass at the granted rate overall.
        let bucket = self.stranded.get_or_insert_with(|| Bucket::new(now, credit + random - f64::from(open)));
        bucket.refill(now, rate, most.max(credit));
        let taken = bucket.try_take(rate);
        self.count_unowned(now, taken.is_ok());
        taken.map_err(|wait| QuotaRefusal { retry_after: wait + Duration::from_secs_f64(random) })
    }

    /// Admits or refuses a request right after a restart, while this node doesn't know which other nodes exist. Nodes
    /// that know different peers assume different owners, so no grant is used yet; admissions are reported all the
    /// same.
    pub fn take_starting(&mut self, now: BootTime, random: f64) -> Result<(), QuotaRefusal> {
        let fraction = self.limits.starting_fraction(!self.has_asked);
        self.has_asked = true;
        let is_admitted = draw(&mut self.carry, fraction);
        self.count_unowned(now, is_admitted);
        if is_admitted { Ok(()) } else { Err(refusal(fraction, random)) }
    }

    /// Counts a request that this node has not decided as the owner.
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

    /// Handles a report as the owner; `None` if this node isn't the owner.
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

    /// Records that another node has acted as the owner. Returns whether this node is an owner too and didn't know of
    /// the other one.
    pub fn note_rival(&mut self, now: BootTime, rival: NodeId) -> bool {
        self.ledger.as_mut().is_some_and(|ledger| ledger.note_rival(now, rival))
    }

    /// Returns the grant that the owner sends to another node which acts as the owner.
    pub fn claim(&self, now: BootTime, fleet_fraction: f64) -> QuotaMessage {
        QuotaMessage::Grant(QuotaGrant::unsolicited(now, self.hash, self.pass(now, fleet_fraction)))
    }

    /// Returns whether this node is the owner and should send a grant to a former owner now, to learn whether that
    /// still acts as one.
    pub fn is_new_rival(&mut self, now: BootTime, former: NodeId) -> bool {
        let ledger = self.ledger.as_mut().filter(|ledger| ledger.lost_at.is_none());
        ledger.is_some_and(|ledger| ledger.ask_former(now, former))
    }

    /// Returns the fraction to grant to all `nodes` nodes, if a grant is due now.
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

    /// Returns the report that is due now, if there is one.
    pub fn report(&mut self, now: BootTime) -> Option<DueReport> {
        self.spender.as_mut()?.report(now, self.hash)
    }

    /// Records the decision about a request. Returns whether the tenant is limited now, if that has changed.
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

    /// Time at which something is to be sent next.
    pub fn due(&self) -> Option<BootTime> {
        let report = self.spender.as_ref().and_then(Spender::due);
        let acting = self.acting.as_ref().map(|acting| acting.due);
        [report, self.ledger_due, acting].into_iter().flatten().min()
    }

    /// Fraction of requests to admit, as far as this node knows.
    pub fn pass(&self, now: BootTime, fleet_fraction: f64) -> f64 {
        match (&self.ledger, &self.spender) {
            (_, Some(spender)) => spender.pass(now),
            (Some(ledger), None) => ledger.pass(&self.limits, fleet_fraction),
            (None, None) => 1.0,
        }
    }
}

/// Decides whether to admit a request when the fraction `pass` is to be admitted. `carry` accumulates the fractions,
/// so that admissions are spread evenly.
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

/// Creates a refusal. Retries are spread over the time in which as many requests are admitted as were refused.
fn refusal(pass: f64, random: f64) -> QuotaRefusal {
    let spread = (1.0 / pass.max(f64::MIN_POSITIVE)).min(LATEST_SPREAD_S);
    QuotaRefusal { retry_after: Duration::from_secs_f64(SOONEST_RETURN_S + random * spread) }
}
