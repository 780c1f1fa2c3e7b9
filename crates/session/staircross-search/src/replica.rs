//! Choice of the replica that is asked for a shard.
//!
//! The choice uses only what this root has measured: requests in flight, latency and failures. The load that searchers
//! report about themselves isn't used, because it can be wrong. Invariant: at most a third of the searchers of a
//! service are ejected at once, so that a common cause can't eject them all.

use hashbrown::HashMap;
use rand::Rng;
use staircross_types::{BootTime, SearcherId};
use std::time::Duration;

/// Divisor of the difference between the estimate and a lower latency sample. The quotient is the step by which the
/// sample lowers the estimate.
const ESTIMATE_FALL_DIVISOR: f64 = 16.0;
/// Time constant with which the weight of an old estimate decays. Without the decay, a searcher that is avoided for a
/// high estimate would never be tried again.
const ESTIMATE_DECAY_TIME: Duration = Duration::from_secs(3);
/// Failures in a row after which a searcher is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection. It doubles with each further ejection in a row.
const INITIAL_EJECTION: Duration = Duration::from_secs(1);
/// Upper bound of the duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(16);
/// Number of searchers that a service must have for each of its searchers that is ejected.
const SEARCHERS_PER_EJECTION: usize = 3;
/// Multiple of the best cost up to which a searcher that the plan already asks is preferred.
const REUSE_COST_FACTOR: f64 = 2.0;

/// What this root has measured of one searcher.
#[derive(Clone, Debug, Default)]
pub struct SearcherStats {
    in_flight: u32,
    latency_micros: Option<f64>,
    measured_at: BootTime,
    /// Number of failures since the last successful reply or ejection.
    failures: u32,
    /// Number of ejections since the last successful reply.
    ejections: u32,
    ejected_until: BootTime,
}

/// What this root has measured of all searchers.
#[derive(Default)]
pub struct SearcherStatsTable {
    stats: HashMap<SearcherId, SearcherStats>,
}

impl SearcherStatsTable {
    /// Counts a sub-request that was sent as in flight.
    pub fn record_sent(&mut self, searcher: SearcherId) {
        self.stats.entry(searcher).or_default().in_flight += 1;
    }

    /// Counts a sub-request as ended, when its end says nothing about the searcher's speed or health.
    pub fn record_ended(&mut self, searcher: SearcherId) {
        let stats = self.stats.entry(searcher).or_default();
        stats.in_flight = stats.in_flight.saturating_sub(1);
    }

    /// Records a successful reply and its latency, and resets the searcher's failures and ejections.
    pub fn record_success(&mut self, now: BootTime, searcher: SearcherId, latency: Duration) {
        self.record_ended(searcher);
        let stats = self.stats.entry(searcher).or_default();
        stats.failures = 0;
        stats.ejections = 0;
        stats.record_latency(now, latency);
    }

    /// Records that a sub-request has had no reply for `age`. The age counts as a latency sample if it is above the
    /// estimate, since the searcher is at least that slow.
    pub fn record_lag(&mut self, now: BootTime, searcher: SearcherId, age: Duration) {
        let stats = self.stats.entry(searcher).or_default();
        let sample = age.as_micros() as f64;
        if sample > stats.estimate(now, 0.0) {
            stats.record_latency(now, age);
        }
    }

    /// Records a failure. Ejects the searcher after enough failures in a row, unless too many of
    /// `service_searchers` are ejected already.
    pub fn record_failure(&mut self, now: BootTime, searcher: SearcherId, service_searchers: &[SearcherId]) {
        self.record_ended(searcher);
        let ejected = service_searchers.iter().filter(|other| self.is_ejected(now, **other)).count();
        let may_eject = (ejected + 1) * SEARCHERS_PER_EJECTION <= service_searchers.len();
        let stats = self.stats.entry(searcher).or_default();
        stats.failures += 1;
        if stats.failures >= FAILURES_TO_EJECT && may_eject {
            let duration = INITIAL_EJECTION.saturating_mul(1 << stats.ejections.min(4)).min(MAX_EJECTION);
            stats.ejected_until = now + duration;
            stats.ejections += 1;
            stats.failures = 0;
        }
    }

    /// Drops the measurements of a searcher, which has restarted.
    pub fn clear_searcher(&mut self, searcher: SearcherId) {
        self.stats.remove(&searcher);
    }

    /// Returns whether the searcher is ejected now.
    pub fn is_ejected(&self, now: BootTime, searcher: SearcherId) -> bool {
        self.stats.get(&searcher).is_some_and(|stats| now < stats.ejected_until)
    }

    /// Returns the expected cost of asking a searcher: its estimated latency times the sub-requests in flight, the new
    /// one included. An ejected searcher costs a million times as much, so that any other is cheaper.
    fn cost(&self, now: BootTime, searcher: SearcherId, typical: Duration) -> f64 {
        let typical_micros = typical.as_micros() as f64;
        let Some(stats) = self.stats.get(&searcher) else {
            return typical_micros;
        };
        let latency = stats.estimate(now, typical_micros);
        let cost = latency * f64::from(stats.in_flight + 1);
        if now < stats.ejected_until { cost * 1e6 } else { cost }
    }

    /// Chooses one of `replicas`; `already_asked` holds the searchers that the plan already asks.
    ///
    /// The cheaper of two replicas picked at random is chosen (power of two choices). If each root chose the cheapest
    /// of all, every root would send to the same searcher at once.
    pub fn choose(
        &self,
        now: BootTime,
        replicas: &[SearcherId],
        already_asked: &HashMap<SearcherId, usize>,
        typical: Duration,
        random: &mut impl Rng,
    ) -> Option<SearcherId> {
        let first = *pick_random(replicas, random)?;
        let second = *pick_random(replicas, random)?;
        let first_cost = self.cost(now, first, typical);
        let second_cost = self.cost(now, second, typical);
        let (best, best_cost) = if second_cost < first_cost { (second, second_cost) } else { (first, first_cost) };
        // A searcher that the plan already asks is preferred: one sub-request for two shards costs a searcher less than
        // two sub-requests.
        let reused = replicas.iter().filter(|replica| already_asked.contains_key(*replica));
        let reused = reused.map(|replica| (*replica, self.cost(now, *replica, typical)));
        let reused = reused.min_by(|left, right| left.1.total_cmp(&right.1));
        match reused {
            Some((replica, cost)) if cost <= best_cost * REUSE_COST_FACTOR => Some(replica),
            _ => Some(best),
        }
    }
}

impl SearcherStats {
    /// Updates the estimate with a sample. It rises to a higher sample at once and falls slowly, so that one slow reply
    /// is enough to prefer other searchers for a while.
    fn record_latency(&mut self, now: BootTime, latency: Duration) {
        let sample = latency.as_micros() as f64;
        let known = self.estimate(now, sample);
        self.latency_micros = Some(sample.max(known + (sample - known) / ESTIMATE_FALL_DIVISOR));
        self.measured_at = now;
    }

    /// Returns the latency estimate in microseconds. It approaches `typical` as it ages.
    fn estimate(&self, now: BootTime, typical: f64) -> f64 {
        let Some(measured) = self.latency_micros else {
            return typical;
        };
        let age = now.since(self.measured_at).as_secs_f64() / ESTIMATE_DECAY_TIME.as_secs_f64();
        typical + (measured - typical) * (-age).exp()
    }
}

/// Picks one of `replicas` at random; `None` if there are none.
fn pick_random<'a>(replicas: &'a [SearcherId], random: &mut impl Rng) -> Option<&'a SearcherId> {
    match replicas.len() {
        0 => None,
        count => replicas.get(random.random_range(0..count)),
    }
}
