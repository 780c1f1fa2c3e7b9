//! Table tests of the rule for allowed regions without an engine: the regions of the route, of the tenant and of the
//! searcher.

mod common;

use common::route;
use staircross_routing::decision::allowed_regions::AllowedRegions;
use staircross_routing::{RouteDefinition, RouteTarget, TenantDefinition};
use std::sync::Arc;

fn regions(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

#[test]
fn both_the_route_and_the_tenant_bind() {
    let any: &[&str] = &[];
    // Inputs: allowed regions of the route and of the tenant, region of the searcher.
    // Expected: whether the searcher may be asked.
    let rows = [
        (any, any, Some("north"), true),
        (any, any, None, true),
        (&["north"], any, Some("north"), true),
        (&["north"], any, Some("south"), false),
        (&["north"], any, None, false),
        (any, &["south"], Some("south"), true),
        (any, &["south"], Some("north"), false),
        (&["north", "south"], &["south"], Some("south"), true),
        (&["north", "south"], &["south"], Some("north"), false),
    ];
    for (of_route, of_tenant, region, expected) in rows {
        let (route, tenant) = route_and_tenant(of_route, of_tenant);
        let allowed = AllowedRegions::new(&route, Some(&tenant));
        assert_eq!(allowed.allow(region.map(Arc::from).as_ref()), expected, "{of_route:?} {of_tenant:?} {region:?}");
    }
}

#[test]
fn regions_that_have_none_in_common_allow_none() {
    let any: &[&str] = &[];
    // Inputs: allowed regions of the route and of the tenant.
    // Expected: whether all regions are allowed, and whether none is.
    let rows = [
        (any, any, true, false),
        (&["north"], any, false, false),
        (any, &["south"], false, false),
        (&["north", "south"], &["south"], false, false),
        (&["north"], &["south"], false, true),
    ];
    for (of_route, of_tenant, are_all, are_none) in rows {
        let (route, tenant) = route_and_tenant(of_route, of_tenant);
        let allowed = AllowedRegions::new(&route, Some(&tenant));
        assert_eq!((allowed.are_all(), allowed.are_none()), (are_all, are_none), "{of_route:?} {of_tenant:?}");
    }
}

/// Returns a route and a tenant with these allowed regions.
fn route_and_tenant(of_route: &[&str], of_tenant: &[&str]) -> (RouteDefinition, TenantDefinition) {
    let route = route("s", RouteTarget::Service(Arc::from("x")));
    let route = RouteDefinition { allowed_regions: regions(of_route), ..route };
    let allowed_regions = regions(of_tenant);
    (route, TenantDefinition { name: Arc::from("t"), keys: Vec::new(), priority: 1, quota: None, allowed_regions })
}
