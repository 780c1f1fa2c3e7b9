//! Admission at one node under the tenants' quotas, which hold for all nodes together.

use crate::bound::{QuotaBound, TenantLimits};
use crate::fleet::{Fleet, FleetView};
use crate::follower::{DueReport, OWNER_TIMEOUT};
use crate::message::{Confirmation, QuotaEnvelope, QuotaGrant, QuotaMessage, QuotaReport, TenantHash};
use crate::refusal::QuotaRefusal;
use crate::tenant::Tenant;
use staircross_types::{BootTime, NodeId, Quota};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time since the start of a process, at the fleet's first start, during which a tenant's burst is regarded as unused.
/// This period is longer than a fleet takes to start.
const FIRST_START_PERIOD: Duration = Duration::from_secs(10);
/// Number of nodes that must leave reports unanswered before a node regards itself as cut off from the fleet. A single
/// silent node may simply have ended.
const MIN_SILENT_NODES: usize = 2;

/// A tenant has become limited at this node, or is no longer limited.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaChange {
    /// The tenant.
    pub tenant: Arc<str>,
    /// Whether the tenant is limited now.
    pub is_limited: bool,
    /// Fraction of the tenant's requests that is admitted, 0 to 1.
    pub admit_fraction: f64,
    /// Whether this node decides without owner and substitute, because it reaches neither.
    pub is_deciding_locally: bool,
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
    pub admit_fraction: f64,
    /// Whether this node decides without owner and substitute, because it reaches neither.
    pub is_deciding_locally: bool,
    /// The node that substitutes for an owner that doesn't answer; may be this node.
    pub substitute: Option<NodeId>,
}

/// Decides at one node which requests are admitted under quotas that all nodes share.
#[derive(Debug)]
pub struct FleetRateLimiter {
    bound: QuotaBound,
    own_node: NodeId,
    started: BootTime,
    is_first_start: bool,
    fleet: Fleet,
    tenants: HashMap<TenantHash, Tenant>,
    /// Tenants for which a report or a check of the grant is scheduled.
    scheduled: BTreeSet<TenantHash>,
    /// Earliest time at which anything is scheduled for a tenant.
    next_wake: Option<BootTime>,
    /// Time of the first report since any node last sent a message, and the nodes that were sent reports since.
    unanswered_reports: Option<(BootTime, Vec<NodeId>)>,
    /// Whether no datagram of any peer has arrived for some time.
    is_isolated: bool,
    /// Number of random numbers drawn so far, from which the next one is computed.
    random_draws: u64,
    /// Changes since the last call of [`FleetRateLimiter::take_changes`].
    changes: Vec<QuotaChange>,
}

impl FleetRateLimiter {
    /// Creates an instance without quotas, which admits everything. `is_first_start` says that no process of the fleet
    /// has run before.
    pub fn new(bound: QuotaBound, own_node: NodeId, now: BootTime, is_first_start: bool) -> Self {
        FleetRateLimiter {
            bound,
            own_node,
            started: now,
            is_first_start,
            fleet: Fleet::new(own_node, now, !is_first_start),
            tenants: HashMap::new(),
            scheduled: BTreeSet::new(),
            next_wake: None,
            unanswered_reports: None,
            is_isolated: false,
            random_draws: 0,
            changes: Vec::new(),
        }
    }

    /// Sets the bound. Tenants' limits are computed from it when [`FleetRateLimiter::set_quotas`] is called next.
    pub fn set_bound(&mut self, bound: QuotaBound) {
        self.bound = bound;
    }

    /// Sets the quotas of a configuration. The state of tenants that remain is kept.
    pub fn set_quotas(&mut self, _now: BootTime, quotas: impl Iterator<Item = (Arc<str>, Quota)>) {
        let mut previous = std::mem::take(&mut self.tenants);
        for (name, quota) in quotas {
            let limits = TenantLimits::new(&self.bound, quota);
            let known = previous.remove(&TenantHash::of(&name));
            let mut tenant = known.unwrap_or_else(|| Tenant::new(name, limits, self.own_node, self.random()));
            tenant.limits = limits;
            self.tenants.insert(tenant.hash, tenant);
        }
    }

    /// Sets the nodes that share the quotas.
    pub fn set_fleet(&mut self, now: BootTime, view: FleetView) {
        if !self.fleet.set_view(now, view) {
            return;
        }
        // A report that isn't confirmed must reach the new owner even if no further request arrives.
        let scheduled: Vec<TenantHash> = self.scheduled.iter().copied().collect();
        let is_in_first_start = self.is_in_first_start(now);
        for hash in scheduled {
            if let Some(tenant) = self.tenants.get_mut(&hash) {
                tenant.refresh_owner(now, self.own_node, &self.fleet, is_in_first_start);
            }
            self.schedule(hash);
        }
    }

    /// Sets whether no datagram of any peer has arrived for some time, although peers send each other datagrams all
    /// the time. An isolated node knows that it is cut off before any report of its own goes unanswered.
    pub fn set_isolated(&mut self, is_isolated: bool) {
        self.is_isolated = is_isolated;
    }

    /// Admits or refuses one request of a tenant.
    pub fn try_admit(&mut self, now: BootTime, tenant: &str) -> Result<(), QuotaRefusal> {
        let hash = TenantHash::of(tenant);
        let (random, is_in_first_start, is_cut_off) =
            (self.random(), self.is_in_first_start(now), self.is_cut_off(now));
        let quota_fraction = self.quota_fraction(now);
        let Some(tenant) = self.tenants.get_mut(&hash) else {
            return Ok(());
        };
        tenant.refresh_owner(now, self.own_node, &self.fleet, is_in_first_start);
        let is_deciding_locally = is_cut_off || tenant.is_deciding_locally(now, &self.fleet);
        let decision = match (is_deciding_locally, tenant.owner == self.own_node) {
            _ if self.fleet.is_starting(now) => tenant.decide_while_starting(now, random),
            (true, _) => tenant.decide_locally(now, &self.fleet, random),
            _ if tenant.is_substitute(now) => tenant.decide_as_substitute(now, &self.fleet, random),
            (false, true) => tenant.decide_as_owner(now, quota_fraction, random),
            (false, false) => tenant.decide_as_follower(now, random),
        };
        let is_admitted = decision.is_ok();
        self.changes.extend(tenant.record_decision(now, is_admitted).map(|is_limited| QuotaChange {
            tenant: tenant.name.clone(),
            is_limited,
            admit_fraction: tenant.admit_fraction(now, quota_fraction),
            is_deciding_locally,
            substitute: tenant.current_substitute(now, self.own_node),
        }));
        self.schedule(hash);
        decision
    }

    /// Handles a message of another node and appends the answers to `envelopes`.
    pub fn on_message(
        &mut self,
        now: BootTime,
        from: NodeId,
        message: QuotaMessage,
        envelopes: &mut Vec<QuotaEnvelope>,
    ) {
        self.unanswered_reports = None;
        match message {
            QuotaMessage::Report(report) => self.on_report(now, from, &report, envelopes),
            QuotaMessage::Grant(grant) => self.on_grant(now, from, &grant, envelopes),
        }
    }

    fn on_report(&mut self, now: BootTime, from: NodeId, report: &QuotaReport, envelopes: &mut Vec<QuotaEnvelope>) {
        let (is_in_first_start, quota_fraction) = (self.is_in_first_start(now), self.quota_fraction(now));
        let answer = match self.tenants.get_mut(&report.tenant) {
            Some(tenant) => {
                tenant.refresh_owner(now, self.own_node, &self.fleet, is_in_first_start);
                if let Some(grant) = tenant.handle_report_as_substitute(now, from, report, &self.fleet) {
                    envelopes.push(QuotaEnvelope { to: from, message: QuotaMessage::Grant(grant) });
                    return self.schedule(report.tenant);
                }
                let former_owner = report.former_owner.filter(|former_owner| {
                    *former_owner != self.own_node && tenant.should_notify_former_owner(now, *former_owner)
                });
                envelopes.extend(
                    former_owner.map(|to| QuotaEnvelope { to, message: tenant.ownership_claim(now, quota_fraction) }),
                );
                tenant.handle_report_as_owner(now, from, report, quota_fraction)
            }
            // The sender has a version of the configuration that this node doesn't have yet, or no longer has.
            None => Some((1.0, Confirmation { epoch: report.epoch, counts: report.counts })),
        };
        let Some((admit_fraction, confirmation)) = answer else {
            return;
        };
        let grant = QuotaGrant::new(now, report.tenant, admit_fraction).with_confirmation(confirmation);
        envelopes.push(QuotaEnvelope { to: from, message: QuotaMessage::Grant(grant) });
        self.schedule(report.tenant);
    }

    fn on_grant(&mut self, now: BootTime, from: NodeId, grant: &QuotaGrant, envelopes: &mut Vec<QuotaEnvelope>) {
        let (is_in_first_start, quota_fraction) = (self.is_in_first_start(now), self.quota_fraction(now));
        let Some(tenant) = self.tenants.get_mut(&grant.tenant) else {
            return;
        };
        // The tenant may become limited before this node receives its first request.
        tenant.refresh_owner(now, self.own_node, &self.fleet, is_in_first_start);
        if grant.substituted_owner.is_some() {
            let objection = tenant.handle_substitute_grant(now, from, self.own_node, grant).map(QuotaMessage::Grant);
            let is_owner = grant.substituted_owner == Some(self.own_node) && tenant.owner == self.own_node;
            let answer = if is_owner { Some(tenant.ownership_claim(now, quota_fraction)) } else { objection };
            envelopes.extend(answer.map(|message| QuotaEnvelope { to: from, message }));
        } else if let Some(follower) = &mut tenant.follower {
            // Grants of a former owner are ignored.
            if follower.owner == from {
                follower.apply_grant(now, grant);
                if grant.confirmation.is_some() {
                    tenant.end_substitution();
                }
            }
        } else if grant.confirmation.is_none() && tenant.record_rival_owner(now, from) {
            envelopes.push(QuotaEnvelope { to: from, message: tenant.ownership_claim(now, quota_fraction) });
        }
        self.schedule(grant.tenant);
    }

    /// Appends the messages that are due to `envelopes`.
    pub fn on_tick(&mut self, now: BootTime, envelopes: &mut Vec<QuotaEnvelope>) {
        if self.next_wake.is_none_or(|next_wake| next_wake > now) {
            return;
        }
        let (is_in_first_start, quota_fraction) = (self.is_in_first_start(now), self.quota_fraction(now));
        let may_substitute = !self.is_isolated && self.fleet.is_settled(now);
        let scheduled: Vec<TenantHash> = self.scheduled.iter().copied().collect();
        for hash in scheduled {
            let Some(tenant) = self.tenants.get_mut(&hash) else {
                self.scheduled.remove(&hash);
                continue;
            };
            tenant.refresh_owner(now, self.own_node, &self.fleet, is_in_first_start);
            let report = tenant.take_due_report(now);
            if report.is_some() && may_substitute {
                tenant.start_substitution_if_needed(now);
            }
            let due_grant = tenant.take_due_grant(now, quota_fraction, self.fleet.serving().len());
            let owner_grant = due_grant.map(|admit_fraction| QuotaGrant::new(now, hash, admit_fraction));
            let substitute_grant = tenant.take_due_substitute_grant(now, &self.fleet);
            if tenant.next_due().is_none() {
                self.scheduled.remove(&hash);
            }
            if let Some(DueReport { report, owner, substitute }) = report {
                owner.into_iter().for_each(|owner| self.record_report_sent(now, owner));
                let receivers = [owner, substitute].into_iter().flatten();
                envelopes.extend(receivers.map(|to| QuotaEnvelope { to, message: QuotaMessage::Report(report) }));
            }
            for grant in [owner_grant, substitute_grant].into_iter().flatten() {
                let message = QuotaMessage::Grant(grant);
                let others = self.fleet.serving().iter().filter(|node| **node != self.own_node);
                envelopes.extend(others.map(|node| QuotaEnvelope { to: *node, message }));
            }
        }
        self.next_wake = self.scheduled.iter().filter_map(|hash| self.tenants.get(hash)?.next_due()).min();
    }

    /// Returns the time at which [`FleetRateLimiter::on_tick`] is due next.
    pub fn next_wake(&self) -> Option<BootTime> {
        self.next_wake
    }

    /// Returns the state of a tenant's quota as this node sees it; `None` if the tenant has no quota.
    pub fn view(&self, now: BootTime, tenant: &str) -> Option<QuotaView> {
        let tenant = self.tenants.get(&TenantHash::of(tenant))?;
        let is_deciding_locally = self.is_cut_off(now) || tenant.is_deciding_locally(now, &self.fleet);
        Some(QuotaView {
            owner: tenant.owner,
            is_owned: tenant.owner == self.own_node,
            level: tenant.ledger.as_ref().map(|ledger| ledger.level()),
            admit_fraction: tenant.admit_fraction(now, self.quota_fraction(now)),
            is_deciding_locally,
            substitute: tenant.current_substitute(now, self.own_node),
        })
    }

    /// Returns the tenants that became limited or unlimited since the last call. A tenant changes at most a few times
    /// per second.
    pub fn take_changes(&mut self) -> Vec<QuotaChange> {
        std::mem::take(&mut self.changes)
    }

    /// Schedules the next wake for a tenant that has something to send.
    fn schedule(&mut self, hash: TenantHash) {
        let Some(due) = self.tenants.get(&hash).and_then(Tenant::next_due) else {
            return;
        };
        self.scheduled.insert(hash);
        self.next_wake = Some(self.next_wake.map_or(due, |next_wake| next_wake.min(due)));
    }

    /// Records that a report was sent, up to [`MIN_SILENT_NODES`] receivers.
    fn record_report_sent(&mut self, now: BootTime, to: NodeId) {
        let (_, receivers) = self.unanswered_reports.get_or_insert_with(|| (now, Vec::new()));
        if receivers.len() < MIN_SILENT_NODES && !receivers.contains(&to) {
            receivers.push(to);
        }
    }

    /// Returns whether this node is cut off: no peer has sent anything for some time, although several should have.
    fn is_cut_off(&self, now: BootTime) -> bool {
        let is_silent = |(since, receivers): &(BootTime, Vec<NodeId>)| {
            now.since(*since) >= OWNER_TIMEOUT && receivers.len() >= MIN_SILENT_NODES
        };
        self.is_isolated
            || self.fleet.has_lost_all_peers(now)
            || self.unanswered_reports.as_ref().is_some_and(is_silent)
    }

    /// Returns whether the fleet is starting for the first time, so that tenants' bursts are unused.
    fn is_in_first_start(&self, now: BootTime) -> bool {
        self.is_first_start && now.since(self.started) < FIRST_START_PERIOD
    }

    /// Returns the fraction of quotas that this node may grant as an owner, 0 to 1.
    fn quota_fraction(&self, now: BootTime) -> f64 {
        self.fleet.owner_fraction(now)
    }

    /// Returns a number from 0 to 1 that differs for each call and each node.
    fn random(&mut self) -> f64 {
        self.random_draws += 1;
        let hash = xxh3_64_with_seed(&self.own_node.0.to_le_bytes(), self.random_draws);
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }
}
