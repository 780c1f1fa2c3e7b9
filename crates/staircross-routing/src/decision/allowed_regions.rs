//! In which regions a request may be served.

use crate::configuration::definition::RouteDefinition;
use crate::configuration::tenants::TenantDefinition;
use std::sync::Arc;

/// The regions that a request's route allows, and those that its tenant does; both bind.
#[derive(Clone, Copy, Debug)]
pub struct AllowedRegions<'a> {
    /// Empty where any is allowed.
    route: &'a [Arc<str>],
    tenant: &'a [Arc<str>],
}

impl<'a> AllowedRegions<'a> {
    /// What binds requests of a tenant, if there is one, to a route.
    pub fn new(route: &'a RouteDefinition, tenant: Option<&'a TenantDefinition>) -> Self {
        let tenant = tenant.map_or(&[][..], |tenant| &tenant.allowed_regions);
        AllowedRegions { route: &route.allowed_regions, tenant }
    }

    /// Whether searchers of a region may serve the request. `None` is a zone whose region isn't known.
    pub fn allow(&self, region: Option<&Arc<str>>) -> bool {
        let is_in = |set: &[Arc<str>]| set.is_empty() || region.is_some_and(|region| set.contains(region));
        is_in(self.route) && is_in(self.tenant)
    }

    /// Whether any region will do.
    pub fn are_all(&self) -> bool {
        self.route.is_empty() && self.tenant.is_empty()
    }

    /// Whether no region will ever do, whoever serves there.
    pub fn are_none(&self) -> bool {
        let is_disjoint = || !self.route.iter().any(|region| self.tenant.contains(region));
        !self.route.is_empty() && !self.tenant.is_empty() && is_disjoint()
    }
}
