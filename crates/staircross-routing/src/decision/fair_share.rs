//! Whose requests are taken while only a part of them is: max-min fairness among tenants, with a floor.
//!
//! [`crate::decision::admission`] says how much of the offered work is taken; this says whose. Refusing by chance lets a tenant that asks for
//! much push out those that ask for little. So each tenant's recent requests are counted, and what is taken is filled up like
//! water: a tenant that asks for less than its share is taken whole, and those that ask for more get the share. Nobody gets less
//! than [`FLOOR`] of what is taken of all: how many of its requests are served is what a tenant notices, and one that has more
//! to ask is no worse for it.
//!
//! All tenants weigh the same. Weights by the rates of their quotas were measured: at nodes that see two requests a second a small
//! tenant's single request is then already much more than its share, and the worst tenth of tenants gets up to 0.18 less.
//!
//! A node sees a few requests of a tenant in the time over which it counts, so what it sees of one tenant is mostly chance. Shares follow
//! the counts all the same: they are wrong at one node for a moment, and right over nodes and seconds. What must hold at each node is the
//! sum, and it does: what was taken too much or too little so far is made good with the next requests, so that the sum of all parts given
//! is within [`MAX_OWED`] requests of what the level asks for.
//!
//! Nothing is sent to other nodes. With one tenant, or none, each request's part is the level itself, to the last bit.

use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time in which a count halves: requests count for 10 s on average. At two requests a second of a node that is some twenty.
const HALF_LIFE: Duration = Duration::from_secs(7);
/// Tenants that are counted one by one; the least active make way and are counted together. Whoever asks much isn't among
/// those, and a node takes hardly so many requests from others in the time that counts.
const MAX_TENANTS: usize = 256;
/// Part of the level that every tenant's requests are taken with at least. Of 0, 0.5, 0.75 and 1 (which is chance alone) the greatest at
/// which others are still served better than by chance beside a tenant that asks for 7.5 times its usual, and the only
/// one of the first three at which the worst tenth of tenants gets within 0.05 of all in each case tried.
pub const FLOOR: f64 = 0.75;
/// Change of what is aimed at for each request that was taken too little, as a part of all: what is owed is made good within some ten
/// requests.
const OWED_GAIN: f64 = 0.1;
/// Requests that may be owed either way: aiming at all or nothing makes good whatever is owed, so no more adds up.
pub const MAX_OWED: f64 = 1.0 / OWED_GAIN + 1.0;
/// Counts are kept in units that grow by half-lives, so that only the tenant that asks is touched; at so many times, all are
/// brought back to the first unit and those that count no more are dropped.
const MAX_SCALE: f64 = 1e9;
/// Requests below which a tenant counts no more.
const NO_DEMAND: f64 = 0.01;
/// Steps in which the share is sought at most, and how exactly, as a part of all.
const MAX_STEPS: usize = 40;
const PRECISION: f64 = 1e-9;

/// Part that is taken of `count` requests at a share.
fn fraction_at(share: f64, count: f64, floor: f64) -> f64 {
    (share / count).clamp(floor, 1.0)
}

/// Recent demand of tenants for the same services at the same rank, and what part of it is taken.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    /// Requests by tenant, in an order that replays alike; the empty name stands for whoever isn't known.
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

    /// Part of a tenant's requests that is taken while `level` is taken of all, 0 to 1 both. The tenant's request is counted before.
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
            let is_cut = |count: f64| floor * count < share && share < count;
            let of_rest = self.rest * fraction_at(share, unit, floor);
            let rest_cut = if is_cut(unit) { self.rest / unit } else { 0.0 };
            let (taken, cut) = self.counts.values().fold((of_rest, rest_cut), |(taken, cut), count| {
                let own = (share.min(*count)).max(floor * count);
                (taken + own, cut + f64::from(u8::from(is_cut(*count))))
            });
            let lacking = wanted - taken;
            if lacking.abs() <= PRECISION * all {
                break;
            }
            if lacking > 0.0 {
                low = share;
            } else {
                high = share;
            }
            let step = share + lacking / cut;
            share = if low < step && step < high { step } else { (low + high) / 2.0 };
        }
        share
    }

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
