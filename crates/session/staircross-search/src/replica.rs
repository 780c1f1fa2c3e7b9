//! Which replica of a shard is asked.
//!
//! Inputs: own measurements only (requests in flight and latency as seen from here, failures);
//! the searchers' load endpoints mislead. Invariant: at most a third of the searchers of a
//! service are ejected at once, so a common cause can't eject them all.

use hashbrown::HashMap;
use rand::Rng;
use staircross_types::{BootTime, SearcherId};
use std::time::Duration;

/// Weight of a latency sample below the estimate, as one part in this many.
const LATENCY_WINDOW: f64 = 16.0;
/// Time over which an old estimate loses most of its weight: whoever is avoided must be tried again.
const ESTIMATE_LIFE: Duration = Duration::from_secs(3);
/// Failures in a row after which a searcher is ejected.
const EJECT_AFTER: u32 = 3;
/// First ejection; doubles with each further one in a row.
const EJECT_BASE: Duration = Duration::from_secs(1);
/// Longest ejection.
const EJECT_MAX: Duration = Duration::from_secs(16);
/// One part in this many of the searchers may be ejected.
const EJECT_SHARE: usize = 3;
/// A searcher used already in this request is kept while its cost is below this factor of the best.
const STICKY_FACTOR: f64 = 2.0;

/// Measurements of one searcher.
#[derive(Clone, Debug, Default)]
pub struct ReplicaStats {
    in_flight: u32,
    latency_micros: Option<f64>,
    measured_at: BootTime,
    failures: u32,
    ejections: u32,
    ejected_until: BootTime,
}

/// Measurements of all searchers.
#[derive(Default)]
pub struct ReplicaTable {
    stats: HashMap<SearcherId, ReplicaStats>,
}

impl ReplicaTable {
    /// Notes a sub-request sent.
    pub fn sent(&mut self, searcher: SearcherId) {
        self.stats.entry(searcher).or_default().in_flight += 1;
    }

    /// Notes a sub-request that ended without a word on the searcher's speed or health.
    pub fn ended(&mut self, searcher: SearcherId) {
        let stats = self.stats.entry(searcher).or_default();
        stats.in_flight = stats.in_flight.saturating_sub(1);
    }

    /// Notes a good reply.
    pub fn succeeded(&mut self, now: BootTime, searcher: SearcherId, latency: Duration) {
        self.ended(searcher);
        let stats = self.stats.entry(searcher).or_default();
        stats.failures = 0;
        stats.ejections = 0;
        stats.note_latency(now, latency);
    }

    /// Notes that a sub-request outlived `age` without a reply: the searcher is at least this slow.
    pub fn lagging(&mut self, now: BootTime, searcher: SearcherId, age: Duration) {
        let stats = self.stats.entry(searcher).or_default();
        let sample = age.as_micros() as f64;
        if sample > stats.estimate(now, 0.0) {
            stats.note_latency(now, age);
        }
    }

    /// Notes a failure; may eject the searcher unless too many of `peers` are ejected already.
    pub fn failed(&mut self, now: BootTime, searcher: SearcherId, peers: &[SearcherId]) {
        self.ended(searcher);
        let ejected = peers.iter().filter(|peer| self.is_ejected(now, **peer)).count();
        let room = (ejected + 1) * EJECT_SHARE <= peers.len();
        let stats = self.stats.entry(searcher).or_default();
        stats.failures += 1;
        if stats.failures >= EJECT_AFTER && room {
            let span = EJECT_BASE.saturating_mul(1 << stats.ejections.min(4)).min(EJECT_MAX);
            stats.ejected_until = now + span;
            stats.ejections += 1;
            stats.failures = 0;
        }
    }

    /// Forgets what is known of a searcher, which has restarted.
    pub fn forget(&mut self, searcher: SearcherId) {
        self.stats.remove(&searcher);
    }

    /// Whether the searcher is ejected now.
    pub fn is_ejected(&self, now: BootTime, searcher: SearcherId) -> bool {
        self.stats.get(&searcher).is_some_and(|stats| now < stats.ejected_until)
    }

    /// Expected cost of asking a searcher; lower is better.
    fn cost(&self, now: BootTime, searcher: SearcherId, typical: Duration) -> f64 {
        let typical_micros = typical.as_micros() as f64;
        let Some(stats) = self.stats.get(&searcher) else {
            return typical_micros;
        };
        let latency = stats.estimate(now, typical_micros);
        let cost = latency * f64::from(stats.in_flight + 1);
        if now < stats.ejected_until { cost * 1e6 } else { cost }
    }

    /// Chooses among `replicas`; `used` are searchers that this request asks anyway.
    ///
    /// Two random choices, the cheaper wins: choosing the best of all would send every root to
    /// the same searcher at once.
    pub fn choose(
        &self,
        now: BootTime,
        replicas: &[SearcherId],
        used: &HashMap<SearcherId, usize>,
        typical: Duration,
        random: &mut impl Rng,
    ) -> Option<SearcherId> {
        let first = *pick(replicas, random)?;
        let second = *pick(replicas, random)?;
        let first_cost = self.cost(now, first, typical);
        let second_cost = self.cost(now, second, typical);
        let (best, best_cost) = if second_cost < first_cost { (second, second_cost) } else { (first, first_cost) };
        // One sub-request for two shards costs a back end less than two.
        let shared = replicas.iter().filter(|replica| used.contains_key(*replica));
        let shared = shared.map(|replica| (*replica, self.cost(now, *replica, typical)));
        let shared = shared.min_by(|left, right| left.1.total_cmp(&right.1));
        match shared {
            Some((replica, cost)) if cost <= best_cost * STICKY_FACTOR => Some(replica),
            _ => Some(best),
        }
    }
}

impl ReplicaStats {
    /// Rises at once and falls slowly: one slow reply is reason enough to look elsewhere for a while.
    fn note_latency(&mut self, now: BootTime, latency: Duration) {
        let sample = latency.as_micros() as f64;
        let known = self.estimate(now, sample);
        self.latency_micros = Some(sample.max(known + (sample - known) / LATENCY_WINDOW));
        self.measured_at = now;
    }

    /// The estimate, drawn towards what is typical as it ages.
    fn estimate(&self, now: BootTime, typical: f64) -> f64 {
        let Some(measured) = self.latency_micros else {
            return typical;
        };
        let age = now.since(self.measured_at).as_secs_f64() / ESTIMATE_LIFE.as_secs_f64();
        typical + (measured - typical) * (-age).exp()
    }
}

fn pick<'a>(replicas: &'a [SearcherId], random: &mut impl Rng) -> Option<&'a SearcherId> {
    match replicas.len() {
        0 => None,
        count => replicas.get(random.random_range(0..count)),
    }
}
