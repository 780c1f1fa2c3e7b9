//! Decides in which regions a request may be served.
//!
//! For a request and a searcher's region, the rule returns whether the request may be sent there. The route's regions
//! and the tenant's regions both apply; an empty list allows all regions. A zone whose region isn't known serves only
//! requests that may be served anywhere.
//!
//! The inputs are the allowed regions of the route and of the tenant, from the configuration with which the request
//! began, and the name of the region.
//!
//! The rule guarantees to tenants and routes where their requests run, so it can't be turned off. Requests
//! that no searcher in these regions can serve are refused at once; they are never moved elsewhere.
//!
//! Callers see the rule as refusals of kind `no_allowed_replica`. docs/DESIGN.md names the page with the details.

use crate::configuration::definition::RouteDefinition;
use crate::configuration::tenants::TenantDefinition;
use std::sync::Arc;

/// Regions allowed by a request's route and by its tenant. Both restrictions apply.
#[derive(Clone, Copy, Debug)]
pub struct AllowedRegions<'a> {
    /// Regions that the route allows, or empty if it allows any.
    route: &'a [Arc<str>],
    /// Regions that the tenant allows, or empty if it allows any.
    tenant: &'a [Arc<str>],
}

impl<'a> AllowedRegions<'a> {
    /// Combines the restrictions of a route and of the tenant, if there is one.
    pub fn new(route: &'a RouteDefinition, tenant: Option<&'a TenantDefinition>) -> Self {
        let tenant = tenant.map_or(&[][..], |tenant| &tenant.allowed_regions);
        AllowedRegions { route: &route.allowed_regions, tenant }
    }

    /// Returns whether searchers of a region may serve the request. `None` stands for a zone whose region isn't known.
    pub fn allow(&self, region: Option<&Arc<str>>) -> bool {
        let is_in = |set: &[Arc<str>]| set.is_empty() || region.is_some_and(|region| set.contains(region));
        is_in(self.route) && is_in(self.tenant)
    }

    /// Returns whether any region is allowed, including unknown ones.
    pub fn are_all(&self) -> bool {
        self.route.is_empty() && self.tenant.is_empty()
    }

    /// Returns whether no region is allowed, so that no searcher can ever serve the request.
    pub fn are_none(&self) -> bool {
        let is_disjoint = || !self.route.iter().any(|region| self.tenant.contains(region));
        !self.route.is_empty() && !self.tenant.is_empty() && is_disjoint()
    }
}
