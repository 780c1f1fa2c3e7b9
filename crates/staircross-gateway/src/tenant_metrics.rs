//! Requests and refusals by tenant, with a limit on the number of tenants that are shown.
//!
//! A fleet may have ten thousand tenants. Only the largest are shown one by one. What the others contribute follows
//! from the totals over all tenants, and the totals only ever increase, as counters must.
//!
//! [`TenantMetrics`] owns the counts and renders them as text. It relies on tenant names coming from the configuration,
//! so that callers can't invent tenants.

use hashbrown::HashMap;
use std::cmp::Reverse;
use std::fmt::Write;
use std::sync::Arc;

/// Maximum number of tenants that are shown one by one: as many as fit on a dashboard panel.
const MAX_SHOWN_TENANTS: usize = 16;
/// Maximum number of tenants that are counted one by one; later ones count in the totals only. The number is above the
/// ten thousand tenants of a large fleet, and it bounds the memory.
const MAX_COUNTED_TENANTS: usize = 16_384;

#[derive(Clone, Copy, Debug, Default)]
struct RequestCounts {
    requests: u64,
    refused: u64,
}

impl RequestCounts {
    fn count(&mut self, is_refused: bool) {
        self.requests += 1;
        self.refused += u64::from(is_refused);
    }
}

type CountSelector = fn(&RequestCounts) -> u64;

/// Counts by tenant, and their totals.
#[derive(Debug, Default)]
pub struct TenantMetrics {
    totals: RequestCounts,
    by_tenant: HashMap<Arc<str>, RequestCounts>,
}

impl TenantMetrics {
    /// Counts a request of a tenant that was answered or refused.
    pub fn count(&mut self, tenant: &Arc<str>, is_refused: bool) {
        self.totals.count(is_refused);
        if let Some(counts) = self.by_tenant.get_mut(tenant) {
            counts.count(is_refused);
        } else if self.by_tenant.len() < MAX_COUNTED_TENANTS {
            self.by_tenant.entry(tenant.clone()).or_default().count(is_refused);
        }
    }

    /// Appends the totals and the counts of the largest tenants to `text`. Appends nothing before the first request of
    /// a tenant.
    pub fn render(&self, text: &mut String) {
        if self.totals.requests == 0 {
            return;
        }
        let mut largest: Vec<(&Arc<str>, &RequestCounts)> = self.by_tenant.iter().collect();
        largest.sort_unstable_by_key(|(name, counts)| (Reverse(counts.requests), *name));
        largest.truncate(MAX_SHOWN_TENANTS);
        let selectors: [(&str, CountSelector); 2] =
            [("requests", |counts| counts.requests), ("refused", |counts| counts.refused)];
        for (name, select) in selectors {
            let total = select(&self.totals);
            // Writing to a string can't fail.
            let _infallible = writeln!(
                text,
                "# TYPE staircross_tenants_{name}_total counter\nstaircross_tenants_{name}_total {total}"
            );
            let _infallible = writeln!(text, "# TYPE staircross_tenant_{name}_total counter");
            for (tenant, counts) in &largest {
                let (tenant, count) = (tenant.escape_debug(), select(counts));
                let _infallible = writeln!(text, "staircross_tenant_{name}_total{{tenant=\"{tenant}\"}} {count}");
            }
        }
    }
}
