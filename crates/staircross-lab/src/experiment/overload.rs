//! Goodput under twice the capacity for a while, and the time to recover.
//!
//! Capacity is found first, in the same run: the rate of answers that the fleet gives when it is
//! offered a little more than it can take, for longer than any queue holds.

use super::tail;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::Serialize;
use staircross_config::{Priority, ServicePolicy};
use staircross_search::{Outcome, RootSettings};
use staircross_types::{BootTime, ServiceName};
use std::time::Duration;

/// What was measured for one way of admitting.
#[derive(Clone, Debug, Serialize)]
pub struct OverloadRow {
    /// The way of admitting.
    pub admission: &'static str,
    /// Answers a second at the most, found beforehand.
    pub capacity_per_s: f64,
    /// Answers a second during the overload, as a fraction of capacity.
    pub goodput: f64,
    /// 99 in 100 of the answers during the overload.
    pub p99_ms: f64,
    /// Requests refused during the overload, as a fraction.
    pub refused: f64,
    /// Retries and hedges per primary sub-request during the overload.
    pub extra_load: f64,
    /// Time after the overload until answers come as fast as before, in milliseconds.
    pub recovery_ms: f64,
}

const SERVICE: &str = "drafting";
const OVERLOAD: Duration = Duration::from_secs(20);
const AFTERWARDS: Duration = Duration::from_secs(10);
const SESSIONS: usize = 6;

fn policy() -> ServicePolicy {
    ServicePolicy {
        wait_ms: 330,
        least_coverage_per_mille: 900,
        priority: Priority::Coverage,
        repeatable: true,
        hedge_per_mille: 20,
        retry_per_mille: 20,
    }
}

/// Measures with and without admission control.
pub fn run(seed: u64) -> Vec<OverloadRow> {
    let capacity = find_capacity(seed);
    let ways = [("adaptive limit", true), ("no limit", false)];
    std::thread::scope(|scope| {
        let handles: Vec<_> =
            ways.iter().map(|(name, limit)| scope.spawn(move || overload(name, *limit, capacity, seed))).collect();
        handles.into_iter().filter_map(|handle| handle.join().ok()).collect()
    })
}

struct Driver {
    world: crate::sim::World,
    arrivals: ChaCha8Rng,
    sessions: Vec<usize>,
    next: usize,
}

impl Driver {
    fn new(seed: u64, limit_admission: bool) -> Self {
        let mut world = tail::world(policy(), RootSettings { limit_admission, ..RootSettings::default() }, seed);
        let sessions = (0..SESSIONS).map(|node| world.open_session(node)).collect();
        Driver { world, arrivals: ChaCha8Rng::seed_from_u64(seed), sessions, next: 0 }
    }

    fn offer(&mut self, per_s: f64, span: Duration) {
        let end = self.world.now() + span;
        let service = ServiceName::new(SERVICE);
        while self.world.now() < end {
            let session = self.sessions[self.next % self.sessions.len()];
            self.next += 1;
            self.world.search(session, &service);
            let gap = Duration::from_secs_f64(-(1.0 - self.arrivals.random::<f64>()).ln() / per_s);
            self.world.run_for(gap);
        }
    }

    /// Answers that came between two times, with their latencies.
    fn answers(&self, from: BootTime, to: BootTime) -> Vec<Duration> {
        let ended = self.world.history.requests.values().filter_map(|record| record.outcomes.first());
        let answers = ended.filter_map(|(at, outcome)| match outcome {
            Outcome::Answer(answer) if *at >= from && *at < to => Some(answer.elapsed),
            _ => None,
        });
        answers.collect()
    }
}

/// Rises the offered rate until answers no longer follow; the most answers a second is the capacity.
fn find_capacity(seed: u64) -> f64 {
    let rates = [50.0, 100.0, 150.0, 200.0, 250.0, 300.0, 350.0, 400.0, 500.0, 600.0, 800.0, 1000.0, 1300.0];
    let results: Vec<f64> = std::thread::scope(|scope| {
        let handles: Vec<_> = rates.iter().map(|rate| scope.spawn(move || rate_of_answers(*rate, seed))).collect();
        handles.into_iter().filter_map(|handle| handle.join().ok()).collect()
    });
    results.into_iter().fold(0.0, f64::max)
}

fn rate_of_answers(rate: f64, seed: u64) -> f64 {
    let mut driver = Driver::new(seed, true);
    driver.offer(rate, Duration::from_secs(5));
    let from = driver.world.now();
    driver.offer(rate, Duration::from_secs(5));
    let to = driver.world.now();
    driver.answers(from, to).len() as f64 / to.since(from).as_secs_f64()
}

fn overload(admission: &'static str, limit: bool, capacity: f64, seed: u64) -> OverloadRow {
    let mut driver = Driver::new(seed, limit);
    driver.offer(capacity * 0.6, Duration::from_secs(10));
    let quiet_end = driver.world.now();
    let mut usual = driver.answers(quiet_end - Duration::from_secs(5), quiet_end);
    let usual_p99 = quantile(&mut usual, 0.99);
    let before = driver.world.root_counters();
    let from = driver.world.now();
    driver.offer(capacity * 2.0, OVERLOAD);
    let to = driver.world.now();
    let after = driver.world.root_counters();
    let mut answers = driver.answers(from, to);
    let offered =
        driver.world.history.requests.values().filter(|record| record.submitted >= from && record.submitted < to);
    let offered = offered.count();
    driver.offer(capacity * 0.6, AFTERWARDS);
    let extra = (after.hedges + after.retries) - (before.hedges + before.retries);
    let goodput = answers.len() as f64 / to.since(from).as_secs_f64() / capacity;
    OverloadRow {
        admission,
        capacity_per_s: capacity,
        goodput,
        p99_ms: quantile(&mut answers, 0.99).as_secs_f64() * 1000.0,
        refused: 1.0 - answers.len() as f64 / offered.max(1) as f64,
        extra_load: extra as f64 / (after.primaries - before.primaries).max(1) as f64,
        recovery_ms: recovery(&driver, to, usual_p99).as_secs_f64() * 1000.0,
    }
}

/// First tenth of a second after the overload in which every request was answered about as fast as before.
fn recovery(driver: &Driver, end: BootTime, usual: Duration) -> Duration {
    let window = Duration::from_millis(100);
    let mut start = end;
    while start < end + AFTERWARDS {
        let next = start + window;
        let in_window = |record: &&crate::sim::RequestRecord| record.submitted >= start && record.submitted < next;
        let is_usual = |record: &crate::sim::RequestRecord| match record.outcomes.first() {
            Some((_, Outcome::Answer(answer))) => answer.elapsed <= usual.mul_f64(1.5),
            _ => false,
        };
        let mut requests = driver.world.history.requests.values().filter(in_window).peekable();
        if requests.peek().is_some() && requests.all(is_usual) {
            return start.since(end);
        }
        start = next;
    }
    AFTERWARDS
}

fn quantile(values: &mut [Duration], share: f64) -> Duration {
    values.sort_unstable();
    let index = ((values.len() as f64 * share) as usize).min(values.len().saturating_sub(1));
    values.get(index).copied().unwrap_or_default()
}
