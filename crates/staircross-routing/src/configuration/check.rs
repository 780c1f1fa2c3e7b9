//! Warnings about valid settings that are probably mistakes, for operators before they write a version.
//!
//! Findings name tenants, routes and regions, but never keys.

use crate::configuration::definition::{RouteDefinition, RoutingDefinition};
use crate::configuration::tenants::{KeyDigest, TenantDefinition};
use crate::decision::allowed_regions::AllowedRegions;
use crate::keys::TenantKey;
use hashbrown::hash_map::Entry;
use hashbrown::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

/// Least burst, in requests, with which a request that follows a time without any is accepted.
const MIN_BURST: f64 = 1.0;

/// One probable mistake in a configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// Two tenants have the same name.
    DuplicateTenant {
        /// Name of the tenants.
        tenant: Arc<str>,
    },
    /// Two tenants hold the same key, or one tenant lists it twice. Callers with the key count as the first tenant.
    DuplicateKey {
        /// The tenant that comes first in the configuration; requests with the key are its requests.
        first: Arc<str>,
        /// The tenant for which the key has no effect; equal to `first` if one tenant lists the key twice.
        second: Arc<str>,
    },
    /// A tenant has no key, so no request can be made in its name.
    NoKeys {
        /// The tenant.
        tenant: Arc<str>,
    },
    /// A burst is given without a rate, so there is no limit.
    BurstWithoutRate {
        /// The tenant.
        tenant: Arc<str>,
    },
    /// The burst is so small that even a request that follows a time without any is refused.
    BurstBelowOne {
        /// The tenant.
        tenant: Arc<str>,
        /// The burst, in requests.
        burst: f64,
    },
    /// An allowed region has no zone.
    UnknownRegion {
        /// The route or tenant that allows the region.
        allowed_by: RegionHolder,
        /// The region.
        region: Arc<str>,
    },
    /// A route and a tenant have no allowed region in common.
    NoCommonRegion {
        /// The route.
        route: Arc<str>,
        /// The tenant.
        tenant: Arc<str>,
    },
}

/// The route or tenant that allows a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegionHolder {
    /// A route.
    Route(Arc<str>),
    /// A tenant.
    Tenant(Arc<str>),
}

/// Checks a tenant's quota: its rate in requests per second (0 for no limit) and its burst in requests.
pub fn check_quota(tenant: &Arc<str>, rate_per_s: f64, burst: f64) -> Option<Finding> {
    let tenant = tenant.clone();
    match (rate_per_s > 0.0, burst) {
        (false, burst) if burst > 0.0 => Some(Finding::BurstWithoutRate { tenant }),
        (true, burst) if burst < MIN_BURST => Some(Finding::BurstBelowOne { tenant, burst }),
        _ => None,
    }
}

/// Checks the tenants and regions of a definition. `regions` are the regions that have zones; `None` if they are
/// unknown.
pub fn check_tenants(definition: &RoutingDefinition, regions: Option<&[Arc<str>]>) -> Vec<Finding> {
    let mut findings = check_names(&definition.tenants);
    findings.extend(check_keys(&definition.tenants));
    if let Some(regions) = regions {
        findings.extend(check_regions(definition, regions));
    }
    findings.extend(definition.routes.iter().flat_map(|route| check_route(route, &definition.tenants)));
    findings
}

fn check_names(tenants: &[TenantDefinition]) -> Vec<Finding> {
    let mut names = HashSet::new();
    let duplicates = tenants.iter().filter(|tenant| !names.insert(tenant.name.clone()));
    duplicates.map(|tenant| Finding::DuplicateTenant { tenant: tenant.name.clone() }).collect()
}

fn check_keys(tenants: &[TenantDefinition]) -> Vec<Finding> {
    let mut holders: HashMap<KeyDigest, TenantKey> = HashMap::new();
    let mut findings = Vec::new();
    for (number, tenant) in (0_u32..).zip(tenants) {
        if tenant.keys.is_empty() {
            findings.push(Finding::NoKeys { tenant: tenant.name.clone() });
        }
        for key in &tenant.keys {
            match holders.entry(*key) {
                Entry::Occupied(holder) => {
                    let first = tenants[holder.get().0 as usize].name.clone();
                    findings.push(Finding::DuplicateKey { first, second: tenant.name.clone() });
                }
                Entry::Vacant(entry) => {
                    entry.insert(TenantKey(number));
                }
            }
        }
    }
    findings
}

fn check_regions(definition: &RoutingDefinition, regions: &[Arc<str>]) -> Vec<Finding> {
    let routes =
        definition.routes.iter().map(|route| (RegionHolder::Route(route.name.clone()), &route.allowed_regions));
    let tenants =
        definition.tenants.iter().map(|tenant| (RegionHolder::Tenant(tenant.name.clone()), &tenant.allowed_regions));
    let unknown = routes.chain(tenants).flat_map(|(allowed_by, allowed)| {
        let unknown = allowed.iter().filter(|region| !regions.contains(region));
        unknown.map(move |region| Finding::UnknownRegion { allowed_by: allowed_by.clone(), region: region.clone() })
    });
    unknown.collect()
}

fn check_route(route: &RouteDefinition, tenants: &[TenantDefinition]) -> Vec<Finding> {
    let has_no_region = |tenant: &&TenantDefinition| AllowedRegions::new(route, Some(tenant)).are_none();
    let finding =
        |tenant: &TenantDefinition| Finding::NoCommonRegion { route: route.name.clone(), tenant: tenant.name.clone() };
    tenants.iter().filter(has_no_region).map(finding).collect()
}

impl fmt::Display for RegionHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RegionHolder::Route(name) => write!(f, "route {name}"),
            RegionHolder::Tenant(name) => write!(f, "tenant {name}"),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::DuplicateTenant { tenant } => write!(f, "tenant {tenant}: named twice"),
            Finding::DuplicateKey { first, second } if first == second => {
                write!(f, "tenant {first}: lists a key twice")
            }
            Finding::DuplicateKey { first, second } => {
                write!(
                    f,
                    "tenant {second}: holds a key of tenant {first}; callers with that key count as tenant {first}"
                )
            }
            Finding::NoKeys { tenant } => write!(f, "tenant {tenant}: has no key"),
            Finding::BurstWithoutRate { tenant } => {
                write!(f, "tenant {tenant}: a burst without a rate, so there is no limit")
            }
            Finding::BurstBelowOne { tenant, burst } => {
                write!(
                    f,
                    "tenant {tenant}: a burst of {burst} is below 1, so even a request after an idle period is refused"
                )
            }
            Finding::UnknownRegion { allowed_by, region } => {
                write!(f, "{allowed_by}: allows region {region}, which has no zone")
            }
            Finding::NoCommonRegion { route, tenant } => {
                write!(f, "route {route}: has no allowed region in common with tenant {tenant}")
            }
        }
    }
}
