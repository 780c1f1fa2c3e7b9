//! In which regions a request may be served.
//!
//! **Decides** for a request and a searcher's region whether it may be sent there. Both the route's regions and the tenant's bind; an empty list allows
//! all. A zone whose region isn't known serves only what may be served anywhere.
//!
//! **Inputs**: the route's and the tenant's allowed regions, by the configuration that the request was begun with, and the region's name.
//!
//! **Protects** a promise to tenants and routes about where their requests run, so it has no switch. It costs requests that nobody there can serve:
//! they are refused at once, never moved.
//!
//! **Shown by** refusals `no_allowed_replica`. docs/DESIGN.md names the page that has the rest.

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

    /// Whether no region will ever do, whichever searchers serve there.
    pub fn are_none(&self) -> bool {
        let is_disjoint = || !self.route.iter().any(|region| self.tenant.contains(region));
        !self.route.is_empty() && !self.tenant.is_empty() && is_disjoint()
    }
}
