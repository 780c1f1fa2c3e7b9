//! Whose requests are taken while only a fraction of them is: max-min fairness among tenants, with a floor.
//!
//! **Decides** for each request, while [`crate::decision::admission`] limits its group of services at its rank, the fraction of its tenant's requests that
//! is taken. What is taken is filled up like water: a tenant that asks for less than the share is taken whole, those that ask for more get
//! the share, and nobody gets less than [`FLOOR`] of the level. All tenants weigh the same.
//!
//! **Inputs**: the level (fraction, 0 to 1) and each tenant's recent requests at this node, counted here (requests, halved in 7 s).
//!
//! **Protects** tenants that ask for little from one that asks for much, which refusing by chance doesn't. Measured as the fraction served
//! in time with one tenant of 78 at 7.5 times the others, 71 nodes, twice the capacity offered: the others 0.486, by chance 0.476; the
//! one 0.366, by chance 0.475 (docs/design/fair-shares.md, with weights by quota and other floors).
//!
//! **Doesn't know** other nodes' counts; nothing is sent for it. A node sees a few requests of a tenant in the time that counts, so shares are
//! wrong at one node for a moment, and right over nodes and seconds. The sum holds at each node: what was taken too much or too little is made
//! good with the next requests, so that the sum of all fractions stays within [`MAX_OWED`] requests of what the level asks for.
//!
//! **Shown by** the log's `event=not_admitted` (the fraction) and the metric `staircross_tenant_refused_total{tenant}`. **Turned off by**
//! `routing.admission = false` together with the level; it has no switch of its own. With one tenant, or none, the fraction is the level to the last bit.

use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time in which a count halves, so that requests count for 10 s on average. So that a node that sees two requests a second counts some twenty.
const HALF_LIFE: Duration = Duration::from_secs(7);
/// Tenants that are counted one by one; the least active make way and are counted together. A bound on memory, some 20 KB by calculation, above the
/// number of tenants that a node hears from in the time that counts.
const MAX_TENANTS: usize = 256;
/// Least fraction of the level that every tenant's requests are taken with. Measured for 0, 0.5, 0.75 and 1 (chance alone): the greatest at which others
/// are still served better than by chance, and the only one of the first three at which the worst tenth of tenants gets within 0.05 of all
/// in each case tried (docs/design/fair-shares.md).
pub const FLOOR: f64 = 0.75;
/// Change of the aimed-at fraction for each request that is owed. So that what is owed is made good within some ten requests.
const OWED_GAIN: f64 = 0.1;
/// Requests that may be owed either way. Derived: at `1 / OWED_GAIN` the aim is all or nothing, which adds no more than one request.
pub const MAX_OWED: f64 = 1.0 / OWED_GAIN + 1.0;
/// Size of a request's unit, in first units, at which all counts are brought back to the first. Units grow by half-lives, so that only the tenant
/// that asks is touched. So that an `f64` still resolves a millionth of a request: it is reached in 210 s.
const MAX_SCALE: f64 = 1e9;
/// Requests below which a count is dropped when units are brought back. A hundredth of one request.
const NO_DEMAND: f64 = 0.01;
/// Steps in which the share is sought at most. Derived: halving alone narrows the interval to some 1e-12 of it in forty.
const MAX_STEPS: usize = 40;
/// Difference between what a share takes and what is wanted at which the search ends, as a fraction of all. Far below one request of any count that
/// occurs.
const PRECISION: f64 = 1e-9;

/// Fraction that is taken of `count` requests at a share.
fn fraction_at(share: f64, count: f64, floor: f64) -> f64 {
    (share / count).clamp(floor, 1.0)
}

/// What a share takes of all requests, and how many tenants are cut down to it: by so much what it takes rises with it.
struct TakenAt {
    taken: f64,
    cut: f64,
}

/// Recent demand of tenants for the same services at the same rank, and what is owed.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    /// Requests by tenant, in an order that replays alike; the empty name stands for all requests without a known tenant.
    counts: BTreeMap<Arc<str>, f64>,
    /// Requests of tenants that aren't counted one by one.
    rest: f64,
    /// When a request counted as one unit.
    unit_at: Option<BootTime>,
    /// Requests that were taken too little by now; below 0 where too many were.
    owed: f64,
}

impl FairShares {
    /// Counts a request of a tenant.
    pub fn count(&mut self, now: BootTime, tenant: Option<&Arc<str>>) {
        let unit = self.unit(now);
        if let Some(count) = self.counts.get_mut(key_of(tenant)) {
            *count += unit;
            return;
        }
        if self.counts.len() >= MAX_TENANTS {
            self.merge_least();
        }
        self.counts.insert(tenant.cloned().unwrap_or_default(), unit);
    }

    /// Fraction of a tenant's requests that is taken while `level` is taken of all, 0 to 1 both. The tenant's request must be counted before.
    pub fn fraction_taken(&mut self, now: BootTime, tenant: Option<&Arc<str>>, level: f64) -> f64 {
        let unit = self.unit(now);
        let is_alone = self.counts.len() <= 1 && self.rest == 0.0;
        let Some(count) = self.counts.get(key_of(tenant)).copied().filter(|_| !is_alone) else {
            return level;
        };
        let floor = FLOOR * level;
        let aim = (level + OWED_GAIN * self.owed).clamp(0.0, 1.0);
        let fraction = fraction_at(self.share(aim, floor, unit), count, floor);
        self.owed += level - fraction;
        fraction
    }

    /// The share at which `aim` of all is taken. Tenants that aren't counted one by one are each taken to ask for one request.
    ///
    /// What is taken rises with the share in straight pieces, by one for each tenant that is cut down to it. So a step along the
    /// present piece mostly hits; where it leads out of the interval that is left, that is halved.
    fn share(&self, aim: f64, floor: f64, unit: f64) -> f64 {
        let all = self.total();
        let wanted = aim * all;
        if wanted <= floor * all {
            return 0.0;
        }
        let (mut low, mut high) = (0.0, self.counts.values().copied().fold(unit, f64::max));
        let mut share = (low + high) / 2.0;
        for _ in 0..MAX_STEPS {
            let at = self.taken_at(share, floor, unit);
            let lacking = wanted - at.taken;
            if lacking.abs() <= PRECISION * all {
                break;
            }
            if lacking > 0.0 {
                low = share;
            } else {
                high = share;
            }
            let step = share + lacking / at.cut;
            share = if low < step && step < high { step } else { (low + high) / 2.0 };
        }
        share
    }

    /// What a share takes. Tenants that aren't counted one by one count as one request each.
    fn taken_at(&self, share: f64, floor: f64, unit: f64) -> TakenAt {
        let is_cut = |count: f64| floor * count < share && share < count;
        let mut at = TakenAt {
            taken: self.rest * fraction_at(share, unit, floor),
            cut: if is_cut(unit) { self.rest / unit } else { 0.0 },
        };
        for count in self.counts.values() {
            at.taken += (share.min(*count)).max(floor * count);
            at.cut += f64::from(u8::from(is_cut(*count)));
        }
        at
    }

    /// All requests that count.
    fn total(&self) -> f64 {
        self.counts.values().sum::<f64>() + self.rest
    }

    /// What a request counts now.
    fn unit(&mut self, now: BootTime) -> f64 {
        let unit_at = *self.unit_at.get_or_insert(now);
        let unit = (now.since(unit_at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        if unit < MAX_SCALE {
            return unit;
        }
        self.unit_at = Some(now);
        self.counts.values_mut().for_each(|count| *count /= unit);
        self.counts.retain(|_, count| *count >= NO_DEMAND);
        self.rest = if self.rest / unit < NO_DEMAND { 0.0 } else { self.rest / unit };
        1.0
    }

    /// Counts the least active tenant among those that are counted together.
    fn merge_least(&mut self) {
        let least = self.counts.iter().min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(name, _)| name.clone());
        self.rest += least.and_then(|name| self.counts.remove(&name)).unwrap_or(0.0);
    }
}

fn key_of(tenant: Option<&Arc<str>>) -> &str {
    tenant.map_or("", |name| name)
}
