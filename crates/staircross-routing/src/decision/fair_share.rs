//! Divides the admitted requests among tenants while only a fraction is admitted: max-min fairness with a floor.
//!
//! While [`crate::decision::admission`] limits a request's group of services at the request's rank, the rule decides
//! which fraction of the tenant's requests is admitted. There is one share for all tenants: all requests of a tenant
//! that asks for less than the share are admitted, tenants that ask for more are cut to the share, and no tenant gets
//! less than [`TENANT_FLOOR`] times the level. All tenants have the same weight.
//!
//! The inputs are the level (a fraction, 0 to 1) and each tenant's recent requests at this node, which are counted here
//! with a half-life of 7 s.
//!
//! The rule protects tenants that send few requests from one that sends many, which random refusal doesn't do. With one
//! tenant of 78 sending 7.5 times as much as each other one, 71 nodes, and an offered load of twice the capacity, the
//! fraction of requests served in time is 0.486 for the other tenants, against 0.476 with random refusal, and 0.366 for
//! the one tenant, against 0.475 (docs/design/fair-shares.md, which also covers weights by quota and other floors).
//!
//! The rule doesn't know other nodes' counts, and sends nothing to learn them. A node sees only a few requests of a
//! tenant within the half-life, so the shares at one node are wrong for a moment, but right over all nodes and over
//! seconds. The sum is kept at each node: an excess or a shortfall is made up for with the next requests, so that the
//! sum of all fractions stays within [`MAX_OWED`] requests of the sum at the level.
//!
//! The log shows the rule as `event=not_admitted` (with the fraction); the metric is
//! `staircross_tenant_refused_total{tenant}`. The setting `routing.admission = false` turns the rule off together with
//! the level. With one tenant, or none, the fraction is the level, bit for bit.

use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Half-life of a count. Requests count for 10 s on average, so that a node that receives two requests a second counts
/// some twenty.
const HALF_LIFE: Duration = Duration::from_secs(7);
/// Maximum number of tenants that are counted separately. The least active ones beyond it are counted together. This
/// bounds memory to some 20 KB and exceeds the number of tenants that a node hears from within the half-life.
const MAX_TENANTS: usize = 256;
/// Smallest fraction of the level at which a tenant's requests are admitted. Of the floors 0, 0.5, 0.75 and 1 (random
/// refusal alone), 0.75 is the greatest with which other tenants are still served better than by random refusal, and
/// the only one of the first three with which the fraction served of the worst tenth of tenants is within 0.05 of that
/// of all tenants in each case (docs/design/fair-shares.md).
pub const TENANT_FLOOR: f64 = 0.75;
/// Change of the target fraction for each owed request. What is owed is thus made up for within some ten requests.
const OWED_GAIN: f64 = 0.1;
/// Maximum number of requests owed in either direction. Derivation: at `1 / OWED_GAIN` the target is all or nothing,
/// which adds at most one request.
pub const MAX_OWED: f64 = 1.0 / OWED_GAIN + 1.0;
/// Weight of a request, relative to the first, at which all counts are rescaled. New requests weigh more by each
/// half-life instead of old counts being reduced, so that only the tenant that asks is updated. At this limit, which is
/// reached in 210 s, an `f64` still resolves a millionth of a request.
const MAX_REQUEST_WEIGHT: f64 = 1e9;
/// Number of requests below which a count is dropped when counts are rescaled: a hundredth of one request.
const MIN_COUNT: f64 = 0.01;
/// Maximum number of steps in the search for the share. Derivation: bisection alone narrows the interval to some 1e-12
/// of it in forty steps.
const MAX_SEARCH_STEPS: usize = 40;
/// Difference between the admitted and the wanted requests at which the search ends, as a fraction of all requests. It
/// is far below one request for any count that occurs.
const SEARCH_PRECISION: f64 = 1e-9;

/// Returns the fraction of `count` requests that is admitted at a share.
fn admitted_fraction_at(share: f64, count: f64, floor: f64) -> f64 {
    (share / count).clamp(floor, 1.0)
}

/// Requests admitted at a share, and the number of tenants that are cut to it. That number is the slope at which the
/// admitted requests rise with the share.
struct AdmittedAtShare {
    admitted: f64,
    capped_tenants: f64,
}

/// Recent demand of tenants for the same services at the same rank, and the requests that are owed.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    /// Requests by tenant, in an order that a replay repeats. The empty name stands for all requests without a known
    /// tenant.
    counts: BTreeMap<Arc<str>, f64>,
    /// Requests of tenants that aren't counted separately.
    pooled: f64,
    /// Time at which one request had a weight of one.
    weight_one_at: Option<BootTime>,
    /// Requests by which too few have been admitted so far; negative if too many were.
    owed: f64,
}

impl FairShares {
    /// Counts a request of a tenant.
    pub fn count(&mut self, now: BootTime, tenant: Option<&Arc<str>>) {
        let weight = self.current_weight(now);
        if let Some(count) = self.counts.get_mut(key_of(tenant)) {
            *count += weight;
            return;
        }
        if self.counts.len() >= MAX_TENANTS {
            self.pool_least_active();
        }
        self.counts.insert(tenant.cloned().unwrap_or_default(), weight);
    }

    /// Returns the fraction of a tenant's requests that is admitted while `level` is admitted of all requests, both 0
    /// to 1. The tenant's request must be counted first.
    pub fn admitted_fraction(&mut self, now: BootTime, tenant: Option<&Arc<str>>, level: f64) -> f64 {
        let weight = self.current_weight(now);
        let is_alone = self.counts.len() <= 1 && self.pooled == 0.0;
        let Some(count) = self.counts.get(key_of(tenant)).copied().filter(|_| !is_alone) else {
            return level;
        };
        let floor = TENANT_FLOOR * level;
        let target = (level + OWED_GAIN * self.owed).clamp(0.0, 1.0);
        let fraction = admitted_fraction_at(self.share(target, floor, weight), count, floor);
        self.owed += level - fraction;
        fraction
    }

    /// Returns the share at which the fraction `target` of all requests is admitted. Tenants that aren't counted
    /// separately are assumed to have one request each.
    ///
    /// The number of admitted requests is piecewise linear in the share, with a slope of one for each tenant that is
    /// cut to the share. A step along the current piece usually hits the target. If the step leads out of the remaining
    /// interval, the interval is bisected.
    fn share(&self, target: f64, floor: f64, weight: f64) -> f64 {
        let all = self.total();
        let wanted = target * all;
        if wanted <= floor * all {
            return 0.0;
        }
        let (mut low, mut high) = (0.0, self.counts.values().copied().fold(weight, f64::max));
        let mut share = (low + high) / 2.0;
        for _ in 0..MAX_SEARCH_STEPS {
            let at = self.admitted_at(share, floor, weight);
            let lacking = wanted - at.admitted;
            if lacking.abs() <= SEARCH_PRECISION * all {
                break;
            }
            if lacking > 0.0 {
                low = share;
            } else {
                high = share;
            }
            let step = share + lacking / at.capped_tenants;
            share = if low < step && step < high { step } else { (low + high) / 2.0 };
        }
        share
    }

    /// Returns what is admitted at a share. Tenants that aren't counted separately are assumed to have one request
    /// each.
    fn admitted_at(&self, share: f64, floor: f64, weight: f64) -> AdmittedAtShare {
        let is_capped = |count: f64| floor * count < share && share < count;
        let mut at = AdmittedAtShare {
            admitted: self.pooled * admitted_fraction_at(share, weight, floor),
            capped_tenants: if is_capped(weight) { self.pooled / weight } else { 0.0 },
        };
        for count in self.counts.values() {
            at.admitted += (share.min(*count)).max(floor * count);
            at.capped_tenants += f64::from(u8::from(is_capped(*count)));
        }
        at
    }

    /// Returns the sum of all counts.
    fn total(&self) -> f64 {
        self.counts.values().sum::<f64>() + self.pooled
    }

    /// Returns the weight of one request now, and rescales all counts when it has grown too large.
    fn current_weight(&mut self, now: BootTime) -> f64 {
        let weight_one_at = *self.weight_one_at.get_or_insert(now);
        let weight = (now.since(weight_one_at).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        if weight < MAX_REQUEST_WEIGHT {
            return weight;
        }
        self.weight_one_at = Some(now);
        self.counts.values_mut().for_each(|count| *count /= weight);
        self.counts.retain(|_, count| *count >= MIN_COUNT);
        self.pooled = if self.pooled / weight < MIN_COUNT { 0.0 } else { self.pooled / weight };
        1.0
    }

    /// Moves the count of the least active tenant to the tenants that are counted together.
    fn pool_least_active(&mut self) {
        let least = self.counts.iter().min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(name, _)| name.clone());
        self.pooled += least.and_then(|name| self.counts.remove(&name)).unwrap_or(0.0);
    }
}

/// Returns the name under which a tenant's requests are counted.
fn key_of(tenant: Option<&Arc<str>>) -> &str {
    tenant.map_or("", |name| name)
}
