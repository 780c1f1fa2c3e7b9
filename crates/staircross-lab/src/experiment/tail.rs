//! Latency, coverage and extra load of policies side by side, at the users' sizes of today.
//!
//! One shard copy in a hundred is ten times slower than the others and one replica is lost. Every policy sees the same
//! fleet, the same seed and the same arrivals; the last row is the same fleet without stragglers.

use super::statistics::new_histogram;
use crate::sim::network::Delays;
use crate::sim::world::SimService;
use crate::sim::{WorkTime, World, WorldSettings};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::Serialize;
use staircross_config::{Priority, ServicePolicy};
use staircross_search::{LeafSettings, Outcome, RootSettings};
use staircross_types::ServiceName;
use std::collections::BTreeMap;
use std::time::Duration;

/// One policy's figures.
#[derive(Clone, Debug, Serialize)]
pub struct TailRow {
    /// The policy.
    pub policy: &'static str,
    /// Median latency of answers.
    pub p50_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
    /// 999 in 1000.
    pub p999_ms: f64,
    /// Shards included, of all shards of all answers.
    pub coverage: f64,
    /// Sub-requests sent beyond those strictly needed, as a fraction.
    pub extra_load: f64,
    /// Requests refused, as a fraction.
    pub refused: f64,
    /// Requests.
    pub requests: usize,
}

const SEARCHERS: usize = 16;
const SLOTS: usize = 5;
const SHARDS: u32 = 64;
const REPLICAS: usize = 3;
const NODES: usize = 6;
const ZONES: usize = 3;
/// Median time of one sub-request; the spread gives a tail of its own.
const WORK_MEDIAN: Duration = Duration::from_millis(20);
const WORK_SIGMA: f64 = 0.25;
const SLOW_FACTOR: f64 = 10.0;
/// Delay of the row with a fixed one: about the usual 99 % point.
const FIXED_HEDGE_DELAY: Duration = Duration::from_millis(45);
const REQUESTS: usize = 6000;
/// Mean time between requests: about a third of the slots are busy.
const BETWEEN: Duration = Duration::from_millis(12);
const SERVICE: &str = "drafting";

struct Setup {
    name: &'static str,
    policy: ServicePolicy,
    root: RootSettings,
    has_stragglers: bool,
}

/// Runs all policies.
pub fn run(seed: u64) -> Vec<TailRow> {
    let base = ServicePolicy {
        wait_ms: 2000,
        least_coverage_per_mille: 950,
        priority: Priority::Coverage,
        repeatable: true,
        hedge_per_mille: 20,
        retry_per_mille: 20,
    };
    let wait = ServicePolicy { hedge_per_mille: 0, retry_per_mille: 0, ..base.clone() };
    let latency = ServicePolicy { priority: Priority::Latency, ..base.clone() };
    let unbounded = ServicePolicy { hedge_per_mille: 1000, ..base.clone() };
    let plain = RootSettings { avoid_slow_copies: false, ..RootSettings::default() };
    let fixed = RootSettings { fixed_hedge_delay: Some(FIXED_HEDGE_DELAY), ..plain.clone() };
    let ours = RootSettings::default();
    let setup = |name, policy: &ServicePolicy, root: &RootSettings, has_stragglers| Setup {
        name,
        policy: policy.clone(),
        root: root.clone(),
        has_stragglers,
    };
    let setups = [
        setup("wait-for-all", &wait, &plain, true),
        setup("fixed-hedge", &unbounded, &fixed, true),
        setup("avoid slow copies only", &wait, &ours, true),
        setup("staircross coverage-first", &base, &ours, true),
        setup("staircross latency-first", &latency, &ours, true),
        setup("wait-for-all, no stragglers", &wait, &plain, false),
        setup("staircross, no stragglers", &base, &ours, false),
    ];
    std::thread::scope(|scope| {
        let handles: Vec<_> = setups.iter().map(|setup| scope.spawn(move || run_one(setup, seed))).collect();
        handles.into_iter().filter_map(|handle| handle.join().ok()).collect()
    })
}

/// A fleet of one service at today's size of the drafting and guest search services.
pub fn world(policy: ServicePolicy, root: RootSettings, seed: u64) -> World {
    let work_time = WorkTime { median: WORK_MEDIAN, sigma: WORK_SIGMA, slow_copies: BTreeMap::new() };
    let service = SimService {
        name: ServiceName::new(SERVICE),
        policy,
        searchers: SEARCHERS,
        slots: SLOTS,
        shards: SHARDS,
        replicas: REPLICAS,
        work_time,
    };
    let settings = WorldSettings {
        nodes: NODES,
        zones: ZONES,
        services: vec![service],
        delays: Delays::default(),
        root,
        leaf: LeafSettings::default(),
        update_delay: Duration::from_millis(100),
    };
    World::new(settings, seed)
}

fn run_one(setup: &Setup, seed: u64) -> TailRow {
    let mut world = world(setup.policy.clone(), setup.root.clone(), seed);
    if setup.has_stragglers {
        world.slow_one_copy_in(100, SLOW_FACTOR, seed);
        world.crash_searcher(SEARCHERS - 1);
        world.run_for(Duration::from_secs(2));
    }
    let mut arrivals = ChaCha8Rng::seed_from_u64(seed);
    let sessions: Vec<usize> = (0..NODES).map(|node| world.open_session(node)).collect();
    let service = ServiceName::new(SERVICE);
    for number in 0..REQUESTS {
        world.search(sessions[number % sessions.len()], &service);
        let gap = BETWEEN.mul_f64(-(1.0 - arrivals.random::<f64>()).ln());
        world.run_for(gap);
    }
    world.run_for(Duration::from_secs(5));
    summarize(setup.name, &world)
}

fn summarize(policy: &'static str, world: &World) -> TailRow {
    let mut latency = new_histogram();
    let (mut included, mut total, mut sent, mut needed, mut refused) = (0_usize, 0_usize, 0_u64, 0_u64, 0_usize);
    for record in world.history.requests.values() {
        match record.outcomes.first() {
            Some((_, Outcome::Answer(answer))) => {
                latency.saturating_record((answer.elapsed.as_micros() as u64).max(1));
                included += answer.coverage.included.len();
                total += answer.coverage.total();
                sent += u64::from(answer.sent);
                needed += u64::from(answer.needed);
            }
            _ => refused += 1,
        }
    }
    let requests = world.history.requests.len();
    let millis = |quantile: f64| latency.value_at_quantile(quantile) as f64 / 1000.0;
    TailRow {
        policy,
        p50_ms: millis(0.5),
        p99_ms: millis(0.99),
        p999_ms: millis(0.999),
        coverage: included as f64 / total.max(1) as f64,
        extra_load: sent as f64 / needed.max(1) as f64 - 1.0,
        refused: refused as f64 / requests.max(1) as f64,
        requests,
    }
}
