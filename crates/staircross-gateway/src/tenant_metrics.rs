//! Requests and refusals by tenant, with a bound on what is shown.
//!
//! A fleet may have ten thousand tenants. The largest are shown one by one; the rest follows from the sums over all tenants and
//! only ever grow, as counters must.
//!
//! [`TenantMetrics`] owns the counts and their text; it relies on the names coming from the configuration, so that callers can't
//! make up tenants.

use hashbrown::HashMap;
use std::cmp::Reverse;
use std::fmt::Write;
use std::sync::Arc;

/// Tenants that are shown one by one. What fits on a panel.
const SHOWN: usize = 16;
/// Tenants that are counted one by one, in the order in which they came. Derived: above the ten thousand of a large fleet; bounds
/// memory.
const COUNTED: usize = 16_384;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u64,
    refused: u64,
}

impl Counts {
    fn count(&mut self, is_refused: bool) {
        self.requests += 1;
        self.refused += u64::from(is_refused);
    }
}

type Figure = fn(&Counts) -> u64;

/// Counts by tenant.
#[derive(Debug, Default)]
pub struct TenantMetrics {
    all: Counts,
    by_tenant: HashMap<Arc<str>, Counts>,
}

impl TenantMetrics {
    /// Counts a request of a tenant that has its final word.
    pub fn count(&mut self, tenant: &Arc<str>, is_refused: bool) {
        self.all.count(is_refused);
        if let Some(counts) = self.by_tenant.get_mut(tenant) {
            counts.count(is_refused);
        } else if self.by_tenant.len() < COUNTED {
            self.by_tenant.entry(tenant.clone()).or_default().count(is_refused);
        }
    }

    /// Appends the largest and the sums; nothing where no tenant has asked.
    pub fn render(&self, text: &mut String) {
        if self.all.requests == 0 {
            return;
        }
        let mut largest: Vec<(&Arc<str>, &Counts)> = self.by_tenant.iter().collect();
        largest.sort_unstable_by_key(|(name, counts)| (Reverse(counts.requests), *name));
        largest.truncate(SHOWN);
        let figures: [(&str, Figure); 2] =
            [("requests", |counts| counts.requests), ("refused", |counts| counts.refused)];
        for (name, figure) in figures {
            let sum = figure(&self.all);
            // Writing to a string can't fail.
            let _infallible =
                writeln!(text, "# TYPE staircross_tenants_{name}_total counter\nstaircross_tenants_{name}_total {sum}");
            let _infallible = writeln!(text, "# TYPE staircross_tenant_{name}_total counter");
            for (tenant, counts) in &largest {
                let (tenant, count) = (tenant.escape_debug(), figure(counts));
                let _infallible = writeln!(text, "staircross_tenant_{name}_total{{tenant=\"{tenant}\"}} {count}");
            }
        }
    }
}
