//! The state of one tenant at one node, and the decision about each of its requests.
//!
//! A node decides in one of several ways (the `decide_…` functions): as the tenant's owner, as a follower of an owner
//! or substitute that answers, as the substitute, locally if it reaches neither owner nor substitute, or by the rule
//! for a node that has just been restarted. [`crate::rate_limiter`] chooses the way.

use crate::bound::TenantLimits;
use crate::bucket::Bucket;
use crate::fleet::{Fleet, has_higher_score};
use crate::follower::{DueReport, Follower, OVERSPENT_OWNER_TIMEOUT, OWNER_TIMEOUT};
use crate::ledger::Ledger;
use crate::message::{Confirmation, Counts, QuotaGrant, QuotaMessage, QuotaReport, TenantHash};
use crate::refusal::QuotaRefusal;
use crate::substitution::{SUBSTITUTE_AFTER, Substitution};
use staircross_types::{BootTime, NodeId};
use std::sync::Arc;
use std::time::Duration;

/// Time for which a former owner still answers reports of nodes that don't know the new owner yet. This time is longer
/// than a planned stop takes to become known everywhere.
const FORMER_OWNER_LEDGER_RETENTION: Duration = Duration::from_secs(2);
/// Time between two checks of a limited tenant. It is equal to the shortest time between two grants of the owner.
const LIMITED_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a refusal after which a tenant is no longer logged as limited, so that the log doesn't alternate
/// between the two states.
const UNLIMITED_AFTER: Duration = Duration::from_secs(3);
/// Shortest time after which a refused caller should retry, in seconds. It is longer than a round trip.
const MIN_RETRY_AFTER_S: f64 = 0.25;
/// Longest time over which the retries of refused callers are spread, in seconds. The time is bounded so that callers
/// still retry when hardly any request is admitted.
const MAX_RETRY_SPREAD_S: f64 = 8.0;

/// One tenant at one node, which is the tenant's owner, follows another owner, or substitutes for one.
#[derive(Debug)]
pub(crate) struct Tenant {
    pub name: Arc<str>,
    pub hash: TenantHash,
    pub limits: TenantLimits,
    pub owner: NodeId,
    /// Generation of the fleet's view from which `owner` was determined.
    generation: u32,
    /// Present while this node is the owner, and for [`FORMER_OWNER_LEDGER_RETENTION`] afterwards.
    pub ledger: Option<Ledger>,
    /// Present while another node is the owner.
    pub follower: Option<Follower>,
    /// Present while this node substitutes for the owner.
    substitution: Option<Substitution>,
    /// Token bucket that this node uses while it reaches neither owner nor substitute.
    local_bucket: Option<Bucket>,
    /// Sum of the fractions of earlier requests that hasn't led to an admission yet; a request is admitted when it
    /// reaches 1.
    carry: f64,
    /// Time of the owner's next check of whether a grant must be sent to all nodes.
    next_grant_check_at: Option<BootTime>,
    /// Whether the tenant has sent a request here while this node was starting and didn't know the other nodes.
    has_requested_while_starting: bool,
    /// Time of the last refusal, while the tenant is logged as limited.
    last_refusal_at: Option<BootTime>,
}

impl Tenant {
    /// Creates a tenant without requests. `carry` is random, so that with few requests at each of many nodes the
    /// granted fraction is still admitted overall.
    pub fn new(name: Arc<str>, limits: TenantLimits, own_node: NodeId, carry: f64) -> Self {
        Tenant {
            hash: TenantHash::of(&name),
            name,
            limits,
            owner: own_node,
            generation: 0,
            ledger: None,
            follower: None,
            substitution: None,
            local_bucket: None,
            carry,
            next_grant_check_at: None,
            has_requested_while_starting: false,
            last_refusal_at: None,
        }
    }

    /// Determines the owner again if the nodes have changed, and drops the ledger of a former owner after
    /// [`FORMER_OWNER_LEDGER_RETENTION`].
    pub fn refresh_owner(&mut self, now: BootTime, own_node: NodeId, fleet: &Fleet, is_first_start: bool) {
        if self.generation != fleet.generation {
            self.generation = fleet.generation;
            let owner = fleet.owner_of(self.hash);
            // A substitution continues while the owner remains the same. Otherwise, while many nodes join and leave,
            // the substitute would start again with each change and send a grant to all nodes each time.
            if owner != self.owner {
                self.substitution = None;
            }
            self.owner = owner;
            if self.owner == own_node {
                self.become_owner(now, fleet, is_first_start);
            } else {
                self.become_follower(now, fleet);
            }
        }
        let is_retention_over = self
            .ledger
            .as_ref()
            .and_then(|ledger| ledger.ownership_lost_at)
            .is_some_and(|at| now.since(at) >= FORMER_OWNER_LEDGER_RETENTION);
        if is_retention_over {
            self.ledger = None;
        }
    }

    /// Starts or resumes ownership. Requests of this node that the former owner hasn't confirmed count at once.
    fn become_owner(&mut self, now: BootTime, fleet: &Fleet, is_first_start: bool) {
        let owned_for = now.since(fleet.changed_at);
        let limits = &self.limits;
        let ledger = self.ledger.get_or_insert_with(|| Ledger::new(now, limits, owned_for, is_first_start));
        ledger.ownership_lost_at = None;
        if let Some(follower) = self.follower.take() {
            ledger.count(follower.unconfirmed_counts());
        }
    }

    /// Follows the current owner; a ledger of this node's own remains for [`FORMER_OWNER_LEDGER_RETENTION`].
    fn become_follower(&mut self, now: BootTime, fleet: &Fleet) {
        if let Some(ledger) = &mut self.ledger {
            ledger.ownership_lost_at.get_or_insert(now);
        }
        match &mut self.follower {
            Some(follower) if follower.owner == self.owner => {}
            Some(follower) => follower.set_owner(now, self.owner, fleet.generation),
            None => self.follower = Some(Follower::new(self.owner, fleet.generation)),
        }
    }

    /// Returns whether this node has to decide without owner and substitute: no substitute answers, and the owner has
    /// been silent for [`OWNER_TIMEOUT`], or for [`OVERSPENT_OWNER_TIMEOUT`] while this node has admitted as many
    /// unconfirmed requests as its local credit allows.
    pub fn is_deciding_locally(&self, now: BootTime, fleet: &Fleet) -> bool {
        let Some(follower) = &self.follower else {
            return false;
        };
        if follower.substitute(now).is_some() || self.is_substitute(now) {
            return false;
        }
        let credit = self.limits.local_credit(fleet.peak(now)).max(1.0);
        let exceeds_credit = f64::from(follower.unconfirmed_counts().admitted) >= credit;
        follower.is_unanswered_for(now, OWNER_TIMEOUT)
            || (follower.is_unanswered_for(now, OVERSPENT_OWNER_TIMEOUT) && exceeds_credit)
    }

    /// Admits or refuses a request as the owner.
    pub fn decide_as_owner(&mut self, now: BootTime, quota_fraction: f64, random: f64) -> Result<(), QuotaRefusal> {
        let Some(ledger) = &mut self.ledger else {
            return Ok(());
        };
        ledger.refill(now, &self.limits, quota_fraction);
        let admit_fraction = ledger.admit_fraction(&self.limits, quota_fraction);
        let is_admitted = should_admit(&mut self.carry, admit_fraction);
        ledger.count(Counts { offered: 1, admitted: u32::from(is_admitted) });
        if ledger.has_granted_limit() || ledger.admit_fraction(&self.limits, quota_fraction) < 1.0 {
            self.next_grant_check_at = Some(now);
        }
        self.local_bucket = None;
        if is_admitted { Ok(()) } else { Err(refusal(admit_fraction, random)) }
    }

    /// Admits or refuses a request as a node whose owner or substitute answers.
    pub fn decide_as_follower(&mut self, now: BootTime, random: f64) -> Result<(), QuotaRefusal> {
        let Some(follower) = &mut self.follower else {
            return Ok(());
        };
        self.local_bucket = None;
        let admit_fraction = follower.admit_fraction(now);
        let unconfirmed = follower.unconfirmed_admissions(now);
        let credit = (self.limits.burst + self.limits.headroom()) * unconfirmed.burst_fraction;
        let has_credit = f64::from(unconfirmed.admitted) <= credit.max(1.0);
        let is_admitted = has_credit && should_admit(&mut self.carry, admit_fraction);
        self.count_as_non_owner(now, is_admitted);
        if is_admitted { Ok(()) } else { Err(refusal(admit_fraction, random)) }
    }

    /// Returns whether this node substitutes for the owner and other nodes report to it.
    pub fn is_substitute(&self, now: BootTime) -> bool {
        self.substitution.as_ref().is_some_and(|substitution| substitution.has_reporters(now))
    }

    /// Returns the node that substitutes for the owner, or `own_node` if it is this one.
    pub fn current_substitute(&self, now: BootTime, own_node: NodeId) -> Option<NodeId> {
        if self.is_substitute(now) { Some(own_node) } else { self.follower.as_ref()?.substitute(now) }
    }

    /// Starts to substitute for an owner that doesn't answer, if no other node does.
    pub fn start_substitution_if_needed(&mut self, now: BootTime) {
        let Some(follower) = &self.follower else {
            return;
        };
        let is_needed = follower.is_unanswered_for(now, SUBSTITUTE_AFTER) && follower.substitute(now).is_none();
        if self.substitution.is_none() && is_needed {
            self.substitution =
                Some(Substitution::new(now, follower.owner, &self.limits, follower.unconfirmed_counts()));
        }
    }

    /// Admits or refuses a request in the owner's place.
    pub fn decide_as_substitute(&mut self, now: BootTime, fleet: &Fleet, random: f64) -> Result<(), QuotaRefusal> {
        let Some(substitution) = &mut self.substitution else {
            return Ok(());
        };
        self.local_bucket = None;
        let admit_fraction = substitution.admit_fraction(now, &self.limits, fleet);
        let is_admitted = should_admit(&mut self.carry, admit_fraction);
        self.count_as_non_owner(now, is_admitted);
        if is_admitted { Ok(()) } else { Err(refusal(admit_fraction, random)) }
    }

    /// Handles a report in the owner's place, and returns the grant that answers it. Returns `None` if this node
    /// doesn't substitute for the owner.
    pub fn handle_report_as_substitute(
        &mut self,
        now: BootTime,
        from: NodeId,
        report: &QuotaReport,
        fleet: &Fleet,
    ) -> Option<QuotaGrant> {
        let substitution = self.substitution.as_mut()?;
        let confirmation = substitution.apply_report(now, from, report);
        let admit_fraction = substitution.admit_fraction(now, &self.limits, fleet);
        Some(substitution.grant(now, self.hash, admit_fraction).with_confirmation(confirmation))
    }

    /// Returns the grant to send to all nodes now in the owner's place, if one is due.
    pub fn take_due_substitute_grant(&mut self, now: BootTime, fleet: &Fleet) -> Option<QuotaGrant> {
        let substitution = self.substitution.as_mut()?;
        let admit_fraction = substitution.take_due_grant(now, &self.limits, fleet)?;
        Some(substitution.grant(now, self.hash, admit_fraction))
    }

    /// Handles a grant of a node that substitutes for an owner. Returns a grant as an objection if this node
    /// substitutes too and has the higher owner score.
    pub fn handle_substitute_grant(
        &mut self,
        now: BootTime,
        from: NodeId,
        own_node: NodeId,
        grant: &QuotaGrant,
    ) -> Option<QuotaGrant> {
        let follower = self.follower.as_mut().filter(|follower| Some(follower.owner) == grant.substituted_owner)?;
        if follower.answered_within(now, SUBSTITUTE_AFTER) {
            return None;
        }
        if let Some(substitution) = self.substitution.as_ref().filter(|_| has_higher_score(own_node, from, self.hash)) {
            return Some(substitution.grant(now, self.hash, 1.0));
        }
        let known = follower.substitute(now);
        if known.is_none_or(|known| known == from || has_higher_score(from, known, self.hash)) {
            self.substitution = None;
            follower.apply_substitute_grant(now, from, grant);
        }
        None
    }

    /// Stops substituting for the owner, because it answers.
    pub fn end_substitution(&mut self) {
        self.substitution = None;
    }

    /// Admits or refuses a request without owner and substitute, by a bucket with this node's fixed share of the rate
    /// and a small credit.
    pub fn decide_locally(&mut self, now: BootTime, fleet: &Fleet, random: f64) -> Result<(), QuotaRefusal> {
        let fraction = fleet.ownerless_fraction(now, 1);
        let rate = self.limits.rate * fraction;
        let capacity = (self.limits.burst * fraction).max(1.0);
        let was_limited = self.follower.as_ref().is_some_and(|follower| follower.was_limited(now));
        let credit = if was_limited { 0.0 } else { self.limits.local_credit(fleet.peak(now)) };
        let unconfirmed = self.follower.as_ref().map_or(0, |follower| follower.unconfirmed_counts().admitted);
        // The random part makes few requests at each of many nodes pass at the granted rate overall.
        let bucket =
            self.local_bucket.get_or_insert_with(|| Bucket::new(now, credit + random - f64::from(unconfirmed)));
        bucket.refill(now, rate, capacity.max(credit));
        let decision = bucket.try_take(rate);
        self.count_as_non_owner(now, decision.is_ok());
        decision.map_err(|wait| QuotaRefusal { retry_after: wait + Duration::from_secs_f64(random) })
    }

    /// Admits or refuses a request right after a restart, while this node doesn't know which other nodes exist. Nodes
    /// that know different peers assume different owners, so no grant is used yet; admissions are reported all the
    /// same.
    pub fn decide_while_starting(&mut self, now: BootTime, random: f64) -> Result<(), QuotaRefusal> {
        let fraction = self.limits.startup_fraction(!self.has_requested_while_starting);
        self.has_requested_while_starting = true;
        let is_admitted = should_admit(&mut self.carry, fraction);
        self.count_as_non_owner(now, is_admitted);
        if is_admitted { Ok(()) } else { Err(refusal(fraction, random)) }
    }

    /// Counts a request that this node has not decided as the owner.
    fn count_as_non_owner(&mut self, now: BootTime, is_admitted: bool) {
        if let Some(substitution) = &mut self.substitution {
            substitution.count(Counts { offered: 1, admitted: u32::from(is_admitted) });
        }
        if let Some(follower) = &mut self.follower {
            follower.count(now, is_admitted, &self.limits);
        } else if let Some(ledger) = &mut self.ledger {
            ledger.count(Counts { offered: 1, admitted: u32::from(is_admitted) });
        }
    }

    /// Handles a report as the owner, and returns the fraction to admit and the confirmation. Returns `None` if this
    /// node isn't the owner and hasn't been one within [`FORMER_OWNER_LEDGER_RETENTION`].
    pub fn handle_report_as_owner(
        &mut self,
        now: BootTime,
        from: NodeId,
        report: &QuotaReport,
        quota_fraction: f64,
    ) -> Option<(f64, Confirmation)> {
        let ledger = self.ledger.as_mut()?;
        ledger.refill(now, &self.limits, quota_fraction);
        let confirmation = ledger.apply_report(now, from, report);
        let admit_fraction = ledger.admit_fraction(&self.limits, quota_fraction);
        if admit_fraction < 1.0 || ledger.has_granted_limit() {
            self.next_grant_check_at = Some(now);
        }
        Some((admit_fraction, confirmation))
    }

    /// Records that another node has acted as the owner. Returns whether this node is an owner too and didn't know of
    /// the other one.
    pub fn record_rival_owner(&mut self, now: BootTime, rival: NodeId) -> bool {
        self.ledger.as_mut().is_some_and(|ledger| ledger.record_rival_owner(now, rival))
    }

    /// Returns the grant that the owner sends to another node which acts as the owner.
    pub fn ownership_claim(&self, now: BootTime, quota_fraction: f64) -> QuotaMessage {
        QuotaMessage::Grant(QuotaGrant::new(now, self.hash, self.admit_fraction(now, quota_fraction)))
    }

    /// Returns whether this node is the owner and should send a grant to a former owner now, to learn whether that
    /// still acts as one.
    pub fn should_notify_former_owner(&mut self, now: BootTime, former_owner: NodeId) -> bool {
        let ledger = self.ledger.as_mut().filter(|ledger| ledger.ownership_lost_at.is_none());
        ledger.is_some_and(|ledger| ledger.should_notify_former_owner(now, former_owner))
    }

    /// Returns the fraction to grant to all `nodes` nodes, if a grant is due now.
    pub fn take_due_grant(&mut self, now: BootTime, quota_fraction: f64, nodes: usize) -> Option<f64> {
        if self.next_grant_check_at.is_none_or(|due| due > now) {
            return None;
        }
        self.next_grant_check_at = None;
        let ledger = self.ledger.as_mut().filter(|ledger| ledger.ownership_lost_at.is_none())?;
        ledger.refill(now, &self.limits, quota_fraction);
        let admit_fraction = ledger.admit_fraction(&self.limits, quota_fraction);
        let is_grant_due = ledger.is_grant_due(now, admit_fraction, nodes);
        if is_grant_due {
            ledger.record_grant(now, admit_fraction);
        }
        if admit_fraction < 1.0 || ledger.has_granted_limit() {
            self.next_grant_check_at = Some(now + LIMITED_CHECK_INTERVAL);
        }
        is_grant_due.then_some(admit_fraction)
    }

    /// Returns the report that is due now, if there is one.
    pub fn take_due_report(&mut self, now: BootTime) -> Option<DueReport> {
        self.follower.as_mut()?.take_due_report(now, self.hash)
    }

    /// Records the decision about a request. Returns whether the tenant is limited now, if that has changed.
    pub fn record_decision(&mut self, now: BootTime, is_admitted: bool) -> Option<bool> {
        let was_limited = self.last_refusal_at.is_some();
        if !is_admitted {
            self.last_refusal_at = Some(now);
        } else if self.last_refusal_at.is_some_and(|at| now.since(at) >= UNLIMITED_AFTER) {
            self.last_refusal_at = None;
        }
        let is_limited = self.last_refusal_at.is_some();
        (is_limited != was_limited).then_some(is_limited)
    }

    /// Returns the time at which something is to be sent next.
    pub fn next_due(&self) -> Option<BootTime> {
        let report = self.follower.as_ref().and_then(Follower::next_report_at);
        let substitution = self.substitution.as_ref().map(|substitution| substitution.next_check_at);
        [report, self.next_grant_check_at, substitution].into_iter().flatten().min()
    }

    /// Returns the fraction of requests to admit, as far as this node knows.
    pub fn admit_fraction(&self, now: BootTime, quota_fraction: f64) -> f64 {
        match (&self.ledger, &self.follower) {
            (_, Some(follower)) => follower.admit_fraction(now),
            (Some(ledger), None) => ledger.admit_fraction(&self.limits, quota_fraction),
            (None, None) => 1.0,
        }
    }
}

/// Decides whether to admit a request when the fraction `admit_fraction` is to be admitted. `carry` accumulates the
/// fractions, so that admissions are spread evenly.
fn should_admit(carry: &mut f64, admit_fraction: f64) -> bool {
    if admit_fraction >= 1.0 {
        return true;
    }
    *carry += admit_fraction;
    if *carry < 1.0 {
        return false;
    }
    *carry -= 1.0;
    true
}

/// Creates a refusal. Retries are spread over the time in which as many requests are admitted as were refused.
fn refusal(admit_fraction: f64, random: f64) -> QuotaRefusal {
    let spread = (1.0 / admit_fraction.max(f64::MIN_POSITIVE)).min(MAX_RETRY_SPREAD_S);
    QuotaRefusal { retry_after: Duration::from_secs_f64(MIN_RETRY_AFTER_S + random * spread) }
}
