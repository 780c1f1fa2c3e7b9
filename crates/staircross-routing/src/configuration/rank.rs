//! How urgent a request is: first by its tenant, then by its route.

use std::ops::RangeInclusive;

/// Rank of a request; the least is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Different priorities of tenants above this one's.
    tenant: u32,
    /// The route's priority as the configuration has it.
    route: u32,
}

impl Rank {
    /// A rank of a tenant with so many different priorities above its own, on a route of a priority.
    pub fn new(tenant: u32, route: u32) -> Self {
        Rank { tenant, route }
    }

    /// Steps below the most urgent rank of services whose routes have priorities in a range.
    ///
    /// A tenant's steps begin where those of the tenants above it end, so that steps sort as ranks do. Tenants count by how many
    /// different priorities are above theirs, not by their figures: how far apart an operator writes these says nothing, and each step
    /// takes more from the rank that stands there. Routes count by their figures, with tenants as without.
    pub fn steps(self, routes: RangeInclusive<u32>) -> u32 {
        let (first, last) = routes.into_inner();
        let steps_a_tenant = last.saturating_sub(first).saturating_add(1);
        let above = self.tenant.saturating_mul(steps_a_tenant);
        above.saturating_add(self.route.saturating_sub(first))
    }
}
