//! Classifies each admission, and finds the window with the most admissions beyond the quota.

use super::{
    AdmissionKind, AdmittedRequest, BOUND, FAULT_S, Fault, Node, Simulation, TENANT, WorstWindow, boot_time, scaled,
};
use staircross_quota::QuotaView;
use std::collections::BTreeSet;

impl Simulation {
    /// Returns how a node decided to admit a request; `view_before` is its view of the quota right before that.
    pub(super) fn classify_admission(&self, node: usize, view_before: Option<QuotaView>) -> AdmissionKind {
        let state = &self.nodes[node];
        let Some(view) = state.rate_limiter.view(boot_time(self.now), TENANT) else {
            return AdmissionKind::Unlimited;
        };
        // A node that receives its first request of the tenant hasn't determined the owner before.
        let admit_fraction = view_before
            .filter(|view_before| view_before.owner == view.owner)
            .map_or(1.0, |view_before| view_before.admit_fraction);
        let is_reachable = |other: &Node| other.id == view.owner && other.is_up && other.group == state.group;
        match () {
            () if view.is_deciding_locally => AdmissionKind::Local,
            () if view.is_owned => AdmissionKind::Owner,
            () if view.substitute.is_some() => AdmissionKind::Substitute,
            () if !self.nodes.iter().any(is_reachable) => AdmissionKind::UnreachableOwner,
            () if admit_fraction < 1.0 => AdmissionKind::Granted,
            () => AdmissionKind::Unlimited,
        }
    }

    /// Returns the largest excess of a window as a multiple of the permitted excess, and the first and last admission
    /// of that window.
    pub(super) fn worst_window(&self) -> (f64, usize, usize) {
        let window = BOUND.window.as_secs_f64();
        let base = self.schedule.quota;
        let mut worst = (f64::NEG_INFINITY, 0, 0);
        let mut first = 0;
        for (last, AdmittedRequest { at: end, .. }) in self.admitted.iter().enumerate() {
            while end - self.admitted[first].at > window {
                first += 1;
            }
            let begin = self.admitted[first].at;
            let quota = match self.schedule.fault {
                // A lower quota applies to a window after every node knows it.
                Fault::QuotaDown if begin >= FAULT_S + 1.0 + window => scaled(base, 1.0 / 3.0),
                Fault::QuotaUp if *end >= FAULT_S => scaled(base, 2.0),
                _ => base,
            };
            let within_quota = quota.rate_per_s * window + quota.burst;
            let excess = ((last - first + 1) as f64 - within_quota) / (within_quota * BOUND.over + BOUND.slack);
            if excess > worst.0 {
                worst = (excess, first, last);
            }
        }
        worst
    }

    pub(super) fn window_by_kind(&self, first: usize, last: usize) -> WorstWindow {
        let Some(admitted) = self.admitted.get(first..=last) else {
            return WorstWindow::default();
        };
        let count = |kind| admitted.iter().filter(|one| one.kind == kind).count();
        let as_owner = admitted.iter().filter(|one| one.kind == AdmissionKind::Owner);
        let owners: BTreeSet<usize> = as_owner.map(|one| one.node).collect();
        WorstWindow {
            begin: admitted[0].at,
            end: admitted[admitted.len() - 1].at,
            owner: count(AdmissionKind::Owner),
            granted: count(AdmissionKind::Granted),
            unlimited: count(AdmissionKind::Unlimited),
            unreachable_owner: count(AdmissionKind::UnreachableOwner),
            substitute: count(AdmissionKind::Substitute),
            local: count(AdmissionKind::Local),
            owners: owners.len(),
        }
    }
}
