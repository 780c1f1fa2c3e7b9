//! The rank of a request, by the priority of its tenant first and of its route second.

use std::ops::RangeInclusive;

/// Rank of a request; the lowest rank is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Number of different tenant priorities above that of the request's tenant.
    priorities_above: u32,
    /// Priority of the route, as configured.
    route_priority: u32,
}

impl Rank {
    /// Creates the rank of a request whose tenant has `priorities_above` different tenant priorities above its own, on
    /// a route with priority `route_priority`.
    pub fn new(priorities_above: u32, route_priority: u32) -> Self {
        Rank { priorities_above, route_priority }
    }

    /// Returns the number of steps below the most urgent rank, at services whose routes have priorities in
    /// `route_priorities`.
    ///
    /// A tenant's steps begin where those of the tenants above it end, so that steps have the same order as ranks.
    /// Tenants are counted by the number of different priorities above theirs, not by the value of their priority. The
    /// distance between the values that an operator chooses has no meaning, but each step lowers the fraction of a
    /// rank's requests that is accepted. Routes are counted by the value of their priority, with tenants as without.
    pub fn steps(self, route_priorities: RangeInclusive<u32>) -> u32 {
        let (first, last) = route_priorities.into_inner();
        let steps_per_tenant = last.saturating_sub(first).saturating_add(1);
        let above = self.priorities_above.saturating_mul(steps_per_tenant);
        above.saturating_add(self.route_priority.saturating_sub(first))
    }
}
