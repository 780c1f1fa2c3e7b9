//! Admission at one node under the tenants' quotas, which hold for all nodes together.

use crate::bound::{Limits, QuotaBound};
use crate::fleet::{Fleet, FleetView};
use crate::message::{Confirmation, QuotaEnvelope, QuotaGrant, QuotaMessage, QuotaReport, TenantHash};
use crate::refusal::QuotaRefusal;
use crate::spender::{DueReport, PATIENCE};
use crate::tenant::Tenant;
use staircross_types::{BootTime, NodeId, Quota};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time since the start of a process, at the fleet's first start, during which a tenant's burst is regarded as unused.
/// Longer than a fleet takes to start.
const FIRST_START: Duration = Duration::from_secs(10);
/// Number of nodes that must leave reports unanswered before a node regards itself as cut off. A single silent node
/// may have ended.
const ASKED_IF_ALONE: usize = 2;

/// A tenant has become limited at this node, or is no longer limited.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaChange {
    /// The tenant.
    pub tenant: Arc<str>,
    /// Whether the tenant is limited now.
    pub is_limited: bool,
    /// Fraction of the tenant's requests that is admitted, 0 to 1.
    pub pass: f64,
    /// Whether this node decides without owner and substitute, because it reaches neither.
    pub is_stranded: bool,
    /// The node that substitutes for an owner that doesn't answer; may be this node.
    pub substitute: Option<NodeId>,
}

/// The state of a tenant's quota as one node sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaView {
    /// Node that keeps the tenant's token bucket.
    pub owner: NodeId,
    /// Whether this node is the owner.
    pub is_owned: bool,
    /// Tokens in the bucket; known to the owner only.
    pub level: Option<f64>,
    /// Fraction of the tenant's requests that is admitted, 0 to 1.
    pub pass: f64,
    /// Whether this node decides without owner and substitute, because it reaches neither.
    pub is_stranded: bool,
    /// The node that substitutes for an owner that doesn't answer; may be this node.
    pub substitute: Option<NodeId>,
}

/// Decides at one node which requests are admitted under quotas that all nodes share.
#[derive(Debug)]
pub struct FleetAllowance {
    bound: QuotaBound,
    own: NodeId,
    started: BootTime,
    is_first_start: bool,
    fleet: Fleet,
    tenants: HashMap<TenantHash, Tenant>,
    /// Tenants that have something to send at some time.
    active: BTreeSet<TenantHash>,
    wake: Option<BootTime>,
    /// Time of the first report since any node last sent a message, and the nodes that were sent reports since.
    unanswered: Option<(BootTime, Vec<NodeId>)>,
    /// Whether no datagram of any peer has arrived for some time.
    is_isolated: bool,
    /// Number of random numbers drawn so far, from which the next one is computed.
    draws: u64,
    changes: Vec<QuotaChange>,
}

impl FleetAllowance {
    /// Creates an instance without quotas, which admits everything. `is_first_start` says that no process of the fleet
    /// has run before.
    pub fn new(bound: QuotaBound, own: NodeId, now: BootTime, is_first_start: bool) -> Self {
        FleetAllowance {
            bound,
            own,
            started: now,
            is_first_start,
            fleet: Fleet::new(own, now, !is_first_start),
            tenants: HashMap::new(),
            active: BTreeSet::new(),
            wake: None,
            unanswered: None,
            is_isolated: false,
            draws: 0,
            changes: Vec::new(),
        }
    }

    /// Sets the bound. Tenants' limits are computed from it when [`FleetAllowance::set_quotas`] is called next.
    pub fn set_bound(&mut self, bound: QuotaBound) {
        self.bound = bound;
    }

    /// Sets the quotas of a configuration. The state of tenants that remain is kept.
    pub fn set_quotas(&mut self, _now: BootTime, quotas: impl Iterator<Item = (Arc<str>, Quota)>) {
        let mut former = std::mem::take(&mut self.tenants);
        for (name, quota) in quotas {
            let limits = Limits::new(&self.bound, quota);
            let known = former.remove(&TenantHash::of(&name));
            let mut tenant = known.unwrap_or_else(|| Tenant::new(name, limits, self.own, self.random()));
            tenant.limits = limits;
            self.tenants.insert(tenant.hash, tenant);
        }
    }

    /// Sets the nodes that serve callers.
    pub fn set_fleet(&mut self, now: BootTime, view: FleetView) {
        if !self.fleet.set(now, view) {
            return;
        }
        // A report that isn't confirmed must reach the new owner even if no further request arrives.
        let active: Vec<TenantHash> = self.active.iter().copied().collect();
        let is_first = self.is_first(now);
        for hash in active {
            if let Some(tenant) = self.tenants.get_mut(&hash) {
                tenant.refresh(now, self.own, &self.fleet, is_first);
            }
            self.note_due(hash);
        }
    }

    /// Sets whether no datagram of any peer has arrived for some time, although peers send each other datagrams all
    /// the time. An isolated node knows that it is cut off before any report of its own goes unanswered.
    pub fn set_isolated(&mut self, is_isolated: bool) {
        self.is_isolated = is_isolated;
    }

    /// Admits or refuses one request of a tenant.
    pub fn try_take(&mut self, now: BootTime, tenant: &str) -> Result<(), QuotaRefusal> {
        let hash = TenantHash::of(tenant);
        let (random, is_first, is_alone) = (self.random(), self.is_first(now), self.is_alone(now));
        let fleet_fraction = self.fleet_fraction(now);
        let Some(tenant) = self.tenants.get_mut(&hash) else {
            return Ok(());
        };
        tenant.refresh(now, self.own, &self.fleet, is_first);
        let is_stranded = is_alone || tenant.is_stranded(now, &self.fleet);
        let taken = match (is_stranded, tenant.owner == self.own) {
            _ if self.fleet.is_starting(now) => tenant.take_starting(now, random),
            (true, _) => tenant.take_stranded(now, &self.fleet, random),
            _ if tenant.is_acting(now) => tenant.take_acting(now, &self.fleet, random),
            (false, true) => tenant.take_owned(now, fleet_fraction, random),
            (false, false) => tenant.take_followed(now, random),
        };
        let is_admitted = taken.is_ok();
        self.changes.extend(tenant.note_decided(now, is_admitted).map(|is_limited| QuotaChange {
            tenant: tenant.name.clone(),
            is_limited,
            pass: tenant.pass(now, fleet_fraction),
            is_stranded,
            substitute: tenant.substitute_or(now, self.own),
        }));
        self.note_due(hash);
        taken
    }

    /// Handles a message of another node and appends the answers to `envelopes`.
    pub fn on_message(
        &mut self,
        now: BootTime,
        from: NodeId,
        message: QuotaMessage,
        envelopes: &mut Vec<QuotaEnvelope>,
    ) {
        self.unanswered = None;
        match message {
            QuotaMessage::Report(report) => self.on_report(now, from, &report, envelopes),
            QuotaMessage::Grant(grant) => self.on_grant(now, from, &grant, envelopes),
        }
    }

    fn on_report(&mut self, now: BootTime, from: NodeId, report: &QuotaReport, envelopes: &mut Vec<QuotaEnvelope>) {
        let (is_first, fleet_fraction) = (self.is_first(now), self.fleet_fraction(now));
        let answer = match self.tenants.get_mut(&report.tenant) {
            Some(tenant) => {
                tenant.refresh(now, self.own, &self.fleet, is_first);
                if let Some(grant) = tenant.take_report_acting(now, from, report, &self.fleet) {
                    envelopes.push(QuotaEnvelope { to: from, message: QuotaMessage::Grant(grant) });
                    return self.note_due(report.tenant);
                }
                let former = report.former.filter(|former| *former != self.own && tenant.is_new_rival(now, *former));
                envelopes.extend(former.map(|to| QuotaEnvelope { to, message: tenant.claim(now, fleet_fraction) }));
                tenant.take_report(now, from, report, fleet_fraction)
            }
            // The sender has a version of the configuration that this node doesn't have yet, or no longer has.
            None => Some((1.0, Confirmation { epoch: report.epoch, counts: report.counts })),
        };
        let Some((pass, confirmation)) = answer else {
            return;
        };
        let grant = QuotaGrant::unsolicited(now, report.tenant, pass).with_confirmation(confirmation);
        envelopes.push(QuotaEnvelope { to: from, message: QuotaMessage::Grant(grant) });
        self.note_due(report.tenant);
    }

    fn on_grant(&mut self, now: BootTime, from: NodeId, grant: &QuotaGrant, envelopes: &mut Vec<QuotaEnvelope>) {
        let (is_first, fleet_fraction) = (self.is_first(now), self.fleet_fraction(now));
        let Some(tenant) = self.tenants.get_mut(&grant.tenant) else {
            return;
        };
        // The tenant may become limited before this node receives its first request.
        tenant.refresh(now, self.own, &self.fleet, is_first);
        if grant.instead_of.is_some() {
            let dispute = tenant.take_grant_acting(now, from, self.own, grant).map(QuotaMessage::Grant);
            let is_owner = grant.instead_of == Some(self.own) && tenant.owner == self.own;
            let answer = if is_owner { Some(tenant.claim(now, fleet_fraction)) } else { dispute };
            envelopes.extend(answer.map(|message| QuotaEnvelope { to: from, message }));
        } else if let Some(spender) = &mut tenant.spender {
            // Grants of a former owner are ignored.
            if spender.owner == from {
                spender.take_grant(now, grant);
                if grant.confirmation.is_some() {
                    tenant.end_acting();
                }
            }
        } else if grant.confirmation.is_none() && tenant.note_rival(now, from) {
            envelopes.push(QuotaEnvelope { to: from, message: tenant.claim(now, fleet_fraction) });
        }
        self.note_due(grant.tenant);
    }

    /// Appends the messages that are due to `envelopes`.
    pub fn on_tick(&mut self, now: BootTime, envelopes: &mut Vec<QuotaEnvelope>) {
        if self.wake.is_none_or(|wake| wake > now) {
            return;
        }
        let (is_first, fleet_fraction) = (self.is_first(now), self.fleet_fraction(now));
        let may_stand_in = !self.is_isolated && self.fleet.is_settled(now);
        let active: Vec<TenantHash> = self.active.iter().copied().collect();
        for hash in active {
            let Some(tenant) = self.tenants.get_mut(&hash) else {
                self.active.remove(&hash);
                continue;
            };
            tenant.refresh(now, self.own, &self.fleet, is_first);
            let report = tenant.report(now);
            if report.is_some() && may_stand_in {
                tenant.stand_in(now);
            }
            let due_grant = tenant.due_grant(now, fleet_fraction, self.fleet.serving().len());
            let granted = due_grant.map(|pass| QuotaGrant::unsolicited(now, hash, pass));
            let granted_acting = tenant.due_grant_acting(now, &self.fleet);
            if tenant.due().is_none() {
                self.active.remove(&hash);
            }
            if let Some(DueReport { report, owner, substitute }) = report {
                owner.into_iter().for_each(|owner| self.note_asked(now, owner));
                let receivers = [owner, substitute].into_iter().flatten();
                envelopes.extend(receivers.map(|to| QuotaEnvelope { to, message: QuotaMessage::Report(report) }));
            }
            for grant in [granted, granted_acting].into_iter().flatten() {
                let message = QuotaMessage::Grant(grant);
                let others = self.fleet.serving().iter().filter(|node| **node != self.own);
                envelopes.extend(others.map(|node| QuotaEnvelope { to: *node, message }));
            }
        }
        self.wake = self.active.iter().filter_map(|hash| self.tenants.get(hash)?.due()).min();
    }

    /// Time at which [`FleetAllowance::on_tick`] is due next.
    pub fn next_wake(&self) -> Option<BootTime> {
        self.wake
    }

    /// Returns the state of a tenant's quota as this node sees it; `None` if the tenant has no quota.
    pub fn view(&self, now: BootTime, tenant: &str) -> Option<QuotaView> {
        let tenant = self.tenants.get(&TenantHash::of(tenant))?;
        let is_stranded = self.is_alone(now) || tenant.is_stranded(now, &self.fleet);
        Some(QuotaView {
            owner: tenant.owner,
            is_owned: tenant.owner == self.own,
            level: tenant.ledger.as_ref().map(|ledger| ledger.level()),
            pass: tenant.pass(now, self.fleet_fraction(now)),
            is_stranded,
            substitute: tenant.substitute_or(now, self.own),
        })
    }

    /// Returns the tenants that became limited or unlimited since the last call. A tenant changes at most a few times
    /// per second.
    pub fn take_changes(&mut self) -> Vec<QuotaChange> {
        std::mem::take(&mut self.changes)
    }

    fn note_due(&mut self, hash: TenantHash) {
        let Some(due) = self.tenants.get(&hash).and_then(Tenant::due) else {
            return;
        };
        self.active.insert(hash);
        self.wake = Some(self.wake.map_or(due, |wake| wake.min(due)));
    }

    fn note_asked(&mut self, now: BootTime, to: NodeId) {
        let (_, asked) = self.unanswered.get_or_insert_with(|| (now, Vec::new()));
        if asked.len() < ASKED_IF_ALONE && !asked.contains(&to) {
            asked.push(to);
        }
    }

    /// Returns whether this node is cut off: no peer has sent anything for some time, although several should have.
    fn is_alone(&self, now: BootTime) -> bool {
        let is_silent =
            |(since, asked): &(BootTime, Vec<NodeId>)| now.since(*since) >= PATIENCE && asked.len() >= ASKED_IF_ALONE;
        self.is_isolated || self.fleet.is_left_alone(now) || self.unanswered.as_ref().is_some_and(is_silent)
    }

    fn is_first(&self, now: BootTime) -> bool {
        self.is_first_start && now.since(self.started) < FIRST_START
    }

    fn fleet_fraction(&self, now: BootTime) -> f64 {
        self.fleet.fraction(now)
    }

    /// Returns a number from 0 to 1 that differs for each call and each node.
    fn random(&mut self) -> f64 {
        self.draws += 1;
        let hash = xxh3_64_with_seed(&self.own.0.to_le_bytes(), self.draws);
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }
}
