//! What one node may admit of the tenants' quotas, which hold for all nodes together.

use crate::bound::{Limits, QuotaBound};
use crate::fleet::{Fleet, FleetView};
use crate::message::{Confirmation, QuotaEnvelope, QuotaGrant, QuotaMessage, QuotaReport, TenantHash};
use crate::refusal::QuotaRefusal;
use crate::spender::PATIENCE;
use crate::tenant::Tenant;
use staircross_types::{BootTime, NodeId, Quota};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time from a process's start, at the fleet's first start, during which a tenant's burst is whole: nothing can have been spent of it. Not measured; chosen
/// longer than a fleet takes to start.
const FIRST_START: Duration = Duration::from_secs(10);
/// Time without a refusal after which a tenant counts as free again. Not measured; chosen so that the log doesn't alternate.
const FREE_AFTER: Duration = Duration::from_secs(3);
/// Nodes that must be silent for a node to count itself as cut off. Derived: a single one may have ended.
const ASKED_IF_ALONE: usize = 2;

/// A tenant has become limited at this node, or is free again.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaChange {
    /// The tenant.
    pub tenant: Arc<str>,
    /// Whether it is limited now.
    pub is_limited: bool,
    /// Part of its requests that passes.
    pub pass: f64,
    /// Whether this node decides on its own, since the tenant's owner doesn't answer.
    pub is_stranded: bool,
}

/// What this node thinks of a tenant's quota at the moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaView {
    /// Node that keeps the tenant's tokens.
    pub owner: NodeId,
    /// Whether that is this node.
    pub is_owned: bool,
    /// Tokens left; known to the owner alone.
    pub level: Option<f64>,
    /// Part of the tenant's requests that passes, 0 to 1.
    pub pass: f64,
    /// Whether this node decides on its own.
    pub is_stranded: bool,
}

/// What one node may admit.
#[derive(Debug)]
pub struct FleetAllowance {
    bound: QuotaBound,
    own: NodeId,
    started: BootTime,
    is_first_start: bool,
    fleet: Fleet,
    tenants: HashMap<TenantHash, Tenant>,
    /// Tenants for which something is due.
    active: BTreeSet<TenantHash>,
    wake: Option<BootTime>,
    /// When the first report was sent since the last message of any node, and to which nodes reports went since.
    unanswered: Option<(BootTime, Vec<NodeId>)>,
    /// Requests counted, which random numbers are drawn from.
    draws: u64,
    changes: Vec<QuotaChange>,
}

impl FleetAllowance {
    /// An allowance without quotas: everything is admitted. `is_first_start` says that no process of the fleet has run before.
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
            draws: 0,
            changes: Vec::new(),
        }
    }

    /// Changes the bound; quotas follow with the next configuration.
    pub fn set_bound(&mut self, bound: QuotaBound) {
        self.bound = bound;
    }

    /// Takes the quotas of a configuration. What is known of tenants that stay is kept.
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

    /// Takes which nodes serve callers.
    pub fn set_fleet(&mut self, now: BootTime, view: FleetView) {
        if !self.fleet.set(now, view) {
            return;
        }
        // A report that isn't confirmed must reach the new owner also when no further request comes.
        let active: Vec<TenantHash> = self.active.iter().copied().collect();
        let is_first = self.is_first(now);
        for hash in active {
            if let Some(tenant) = self.tenants.get_mut(&hash) {
                tenant.refresh(now, self.own, &self.fleet, is_first);
            }
            self.note_due(hash);
        }
    }

    /// Takes a token for one request of a tenant.
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
            (false, true) => tenant.take_owned(now, fleet_fraction, random),
            (false, false) => tenant.take_followed(now, random),
        };
        note_change(tenant, now, fleet_fraction, is_stranded, taken.is_ok(), &mut self.changes);
        self.note_due(hash);
        taken
    }

    /// Takes a message of another node.
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
                let former = report.former.filter(|former| *former != self.own && tenant.is_new_rival(now, *former));
                envelopes.extend(former.map(|to| QuotaEnvelope { to, message: tenant.claim(now, fleet_fraction) }));
                tenant.take_report(now, from, report, fleet_fraction)
            }
            // The sender has a version of the configuration that this node doesn't have, or no longer has.
            None => Some((1.0, Confirmation { epoch: report.epoch, counts: report.counts })),
        };
        let Some((pass, confirmation)) = answer else {
            return;
        };
        let grant = QuotaGrant {
            tenant: report.tenant,
            granted_at: now.0,
            pass: pass as f32,
            confirmation: Some(confirmation),
        };
        envelopes.push(QuotaEnvelope { to: from, message: QuotaMessage::Grant(grant) });
        self.note_due(report.tenant);
    }

    fn on_grant(&mut self, now: BootTime, from: NodeId, grant: &QuotaGrant, envelopes: &mut Vec<QuotaEnvelope>) {
        let (is_first, fleet_fraction) = (self.is_first(now), self.fleet_fraction(now));
        let Some(tenant) = self.tenants.get_mut(&grant.tenant) else {
            return;
        };
        // The first request here may come while the tenant is limited.
        tenant.refresh(now, self.own, &self.fleet, is_first);
        if let Some(spender) = &mut tenant.spender {
            // The grant of a former owner counts no more.
            if spender.owner == from {
                spender.take_grant(now, grant);
            }
        } else if grant.confirmation.is_none() && tenant.note_rival(now, from) {
            envelopes.push(QuotaEnvelope { to: from, message: tenant.claim(now, fleet_fraction) });
        }
        self.note_due(grant.tenant);
    }

    /// Sends what is due.
    pub fn on_tick(&mut self, now: BootTime, envelopes: &mut Vec<QuotaEnvelope>) {
        if self.wake.is_none_or(|wake| wake > now) {
            return;
        }
        let (is_first, fleet_fraction) = (self.is_first(now), self.fleet_fraction(now));
        let active: Vec<TenantHash> = self.active.iter().copied().collect();
        for hash in active {
            let Some(tenant) = self.tenants.get_mut(&hash) else {
                self.active.remove(&hash);
                continue;
            };
            tenant.refresh(now, self.own, &self.fleet, is_first);
            let (report, due_grant) =
                (tenant.report(now), tenant.due_grant(now, fleet_fraction, self.fleet.serving().len()));
            if tenant.due().is_none() {
                self.active.remove(&hash);
            }
            if let Some((to, report)) = report {
                self.note_asked(now, to);
                envelopes.push(QuotaEnvelope { to, message: QuotaMessage::Report(report) });
            }
            if let Some(pass) = due_grant {
                let message = QuotaMessage::Grant(QuotaGrant::unsolicited(now, hash, pass));
                let others = self.fleet.serving().iter().filter(|node| **node != self.own);
                envelopes.extend(others.map(|node| QuotaEnvelope { to: *node, message }));
            }
        }
        self.wake = self.active.iter().filter_map(|hash| self.tenants.get(hash)?.due()).min();
    }

    /// When [`FleetAllowance::on_tick`] is due next.
    pub fn next_wake(&self) -> Option<BootTime> {
        self.wake
    }

    /// What this node thinks of a tenant's quota; none where the tenant has no quota.
    pub fn view(&self, now: BootTime, tenant: &str) -> Option<QuotaView> {
        let tenant = self.tenants.get(&TenantHash::of(tenant))?;
        let is_stranded = self.is_alone(now) || tenant.is_stranded(now, &self.fleet);
        Some(QuotaView {
            owner: tenant.owner,
            is_owned: tenant.owner == self.own,
            level: tenant.ledger.as_ref().map(|ledger| ledger.level()),
            pass: tenant.pass(now, self.fleet_fraction(now)),
            is_stranded,
        })
    }

    /// Tenants that became limited or free since the last call, at most a few a second for each.
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

    /// Whether no node has said anything for some time though several should have: this node is cut off.
    fn is_alone(&self, now: BootTime) -> bool {
        let is_silent =
            |(since, asked): &(BootTime, Vec<NodeId>)| now.since(*since) >= PATIENCE && asked.len() >= ASKED_IF_ALONE;
        self.fleet.is_left_alone(now) || self.unanswered.as_ref().is_some_and(is_silent)
    }

    fn is_first(&self, now: BootTime) -> bool {
        self.is_first_start && now.since(self.started) < FIRST_START
    }

    fn fleet_fraction(&self, now: BootTime) -> f64 {
        self.fleet.fraction(now)
    }

    /// A number from 0 to 1, another each time and at each node.
    fn random(&mut self) -> f64 {
        self.draws += 1;
        let hash = xxh3_64_with_seed(&self.own.0.to_le_bytes(), self.draws);
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Notes for the log when a tenant becomes limited or free.
fn note_change(
    tenant: &mut Tenant,
    now: BootTime,
    fleet_fraction: f64,
    is_stranded: bool,
    is_admitted: bool,
    changes: &mut Vec<QuotaChange>,
) {
    let was_limited = tenant.limited_at.is_some();
    if !is_admitted {
        tenant.limited_at = Some(now);
    } else if tenant.limited_at.is_some_and(|at| now.since(at) >= FREE_AFTER) {
        tenant.limited_at = None;
    }
    let is_limited = tenant.limited_at.is_some();
    if is_limited != was_limited {
        let pass = tenant.pass(now, fleet_fraction);
        changes.push(QuotaChange { tenant: tenant.name.clone(), is_limited, pass, is_stranded });
    }
}
