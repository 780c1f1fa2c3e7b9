//! Classifies each admission, and finds the window with the most admissions beyond the quota.

use super::{Admission, Admitted, BOUND, FAULT_S, Fault, Node, TENANT, World, WorstWindow, scaled, time};
use staircross_quota::QuotaView;
use std::collections::BTreeSet;

impl World {
    /// Returns how a node decided to admit a request; `before` is its view of the quota right before that.
    pub(super) fn way(&self, node: usize, before: Option<QuotaView>) -> Admission {
        let state = &self.nodes[node];
        let Some(view) = state.rate_limiter.view(time(self.now), TENANT) else {
            return Admission::Unlimited;
        };
        // A node that receives its first request of the tenant hasn't determined the owner before.
        let pass = before.filter(|before| before.owner == view.owner).map_or(1.0, |before| before.admit_fraction);
        let is_reached = |other: &Node| other.id == view.owner && other.is_up && other.group == state.group;
        match () {
            () if view.is_deciding_locally => Admission::Alone,
            () if view.is_owned => Admission::Owner,
            () if view.substitute.is_some() => Admission::Substitute,
            () if !self.nodes.iter().any(is_reached) => Admission::Unheard,
            () if pass < 1.0 => Admission::Granted,
            () => Admission::Unlimited,
        }
    }

    /// Returns the largest excess of a window as a multiple of the permitted excess, and the first and last admission
    /// of that window.
    pub(super) fn worst_window(&self) -> (f64, usize, usize) {
        let window = BOUND.window.as_secs_f64();
        let base = self.schedule.quota;
        let mut worst = (f64::NEG_INFINITY, 0, 0);
        let mut first = 0;
        for (last, Admitted { at: end, .. }) in self.admitted.iter().enumerate() {
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
            let own = quota.rate_per_s * window + quota.burst;
            let beyond = ((last - first + 1) as f64 - own) / (own * BOUND.over + BOUND.slack);
            if beyond > worst.0 {
                worst = (beyond, first, last);
            }
        }
        worst
    }

    pub(super) fn window_by_kind(&self, first: usize, last: usize) -> WorstWindow {
        let Some(admitted) = self.admitted.get(first..=last) else {
            return WorstWindow::default();
        };
        let count = |how| admitted.iter().filter(|one| one.how == how).count();
        let as_owner = admitted.iter().filter(|one| one.how == Admission::Owner);
        let owners: BTreeSet<usize> = as_owner.map(|one| one.node).collect();
        WorstWindow {
            begin: admitted[0].at,
            end: admitted[admitted.len() - 1].at,
            owner: count(Admission::Owner),
            granted: count(Admission::Granted),
            unlimited: count(Admission::Unlimited),
            unheard: count(Admission::Unheard),
            substitute: count(Admission::Substitute),
            alone: count(Admission::Alone),
            owners: owners.len(),
        }
    }
}
