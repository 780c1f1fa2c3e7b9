//! Fair shares of tenants: invariants of the rule, and simulations of how many requests of each tenant are answered in
//! time while searchers are overloaded.

use proptest::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_routing::decision::admission::{Admission, Wait, tolerable_wait};
use staircross_routing::decision::fair_share::{FairShares, MAX_OWED, TENANT_FLOOR};
use staircross_types::BootTime;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

fn tenant_name(index: usize) -> Arc<str> {
    Arc::from(format!("t{index}"))
}

proptest! {
    #[test]
    fn shares_are_max_min_fair_above_the_floor_and_add_up_to_the_level(
        counts in prop::collection::vec(1_u32..60, 2..40),
        level in 0.05_f64..1.0,
    ) {
        let now = BootTime::from_millis(5000);
        let mut shares = FairShares::default();
        for (index, count) in counts.iter().enumerate() {
            (0..*count).for_each(|_| shares.count(now, Some(&tenant_name(index))));
        }
        let fraction = |index| shares.clone().admitted_fraction(now, Some(&tenant_name(index)), level);
        let tenants: Vec<(f64, f64)> =
            counts.iter().enumerate().map(|(i, count)| (f64::from(*count), fraction(i))).collect();
        let all: f64 = tenants.iter().map(|(count, _)| count).sum();
        let admitted: f64 = tenants.iter().map(|(count, fraction)| count * fraction).sum();
        prop_assert!(
            (admitted - level * all).abs() < 1e-5 * all,
            "{admitted} of {all} requests are admitted at level {level}"
        );

        let floor = TENANT_FLOOR * level;
        let fair_share = (1.0 - TENANT_FLOOR) * level * all / tenants.len() as f64;
        for (count, fraction) in &tenants {
            prop_assert!((floor..=1.0).contains(fraction));
            prop_assert!(
                *count > fair_share || *fraction == 1.0,
                "a tenant with {count} requests and a share of {fair_share} gets the fraction {fraction}"
            );
            for (other_count, other_fraction) in &tenants {
                let other_has_more = other_count * other_fraction > count * fraction + 1e-5 * all;
                let is_fair = *fraction > 1.0 - 1e-6 || *other_fraction < floor + 1e-6;
                prop_assert!(
                    !other_has_more || is_fair,
                    "the fraction {fraction} of {count} and {other_fraction} of {other_count} requests"
                );
            }
        }
    }

    #[test]
    fn what_is_taken_in_sum_follows_the_level_whoever_asks(
        seed in any::<u64>(),
        tenants in 1_usize..400,
        skew in 0.0_f64..2.0,
        gap_ms in 1_u64..3000,
        levels in prop::collection::vec(0.05_f64..1.0, 1..4),
    ) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut shares = FairShares::default();
        let mut now = BootTime::from_millis(1);
        let mut owed = 0.0_f64;
        for request in 0..600 {
            let tenant = tenant_name((tenants as f64 * random.random::<f64>().powf(1.0 + skew)) as usize);
            let level = levels[request * levels.len() / 600];
            now = now + Duration::from_millis(random.random_range(0..=gap_ms * 2));
            shares.count(now, Some(&tenant));
            owed += level - shares.admitted_fraction(now, Some(&tenant), level);
            prop_assert!(owed.abs() <= MAX_OWED, "{owed} requests are owed after request {request}");
        }
    }
}

#[test]
fn whoever_asks_alone_gets_just_the_level() {
    let mut shares = FairShares::default();
    for step in 0..2000 {
        let now = BootTime::from_millis(step * 37);
        let level = 0.05 + 0.9 * (step as f64 / 2000.0);
        shares.count(now, None);
        assert_eq!(shares.admitted_fraction(now, None, level), level, "the fraction is the level, bit for bit");
    }
}

#[test]
fn ten_thousand_tenants_do_not_hide_the_one_that_asks_for_much() {
    let mut shares = FairShares::default();
    let greedy: Arc<str> = Arc::from("greedy");
    let (mut of_greedy, mut of_others) = (Vec::new(), Vec::new());
    for step in 0..40_000_usize {
        let now = BootTime::from_millis(step as u64 * 2);
        let is_greedy = step % 2 == 0;
        let tenant = if is_greedy { greedy.clone() } else { tenant_name(step % 10_000) };
        shares.count(now, Some(&tenant));
        let fraction = shares.admitted_fraction(now, Some(&tenant), 0.7);
        if is_greedy { of_greedy.push(fraction) } else { of_others.push(fraction) }
    }
    let mean = |fractions: &[f64]| fractions.iter().sum::<f64>() / fractions.len() as f64;
    // The greedy tenant is held at the floor, and the others get what that leaves of a level of 0.7.
    assert!((mean(&of_greedy) - 0.7 * TENANT_FLOOR).abs() < 0.01, "{}", mean(&of_greedy));
    assert!((mean(&of_others) - (1.4 - 0.7 * TENANT_FLOOR)).abs() < 0.01, "{}", mean(&of_others));
}

/// A simulated site: searchers that process requests in order, and nodes in front of them that refuse a part.
struct Site {
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    /// Admission level that all nodes use; `None` if each node adjusts its own.
    level: Option<f64>,
    /// Time at which the searchers will have finished all admitted requests.
    free_at: BootTime,
    now: BootTime,
}

#[derive(Default)]
struct Node {
    admission: Admission,
    wait: Option<Wait>,
    shares: FairShares,
    /// Ends of requests, and how long each waited for the searchers.
    ends: VecDeque<(BootTime, Duration)>,
}

/// How a node chooses the requests that it refuses: at random, or by the tenants' fair shares.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RefusalMode {
    AtRandom,
    ByFairShares,
}

/// Number of nodes of which each receives enough requests to adjust its admission level itself.
const FEW_NODES: usize = 8;
/// Number of nodes of which each receives about two requests per second, from changing tenants. These nodes are given
/// the level.
const MANY_NODES: usize = 71;
/// Requests per second that the searchers can process.
const CAPACITY: f64 = 120.0;
const GOAL: Duration = Duration::from_millis(400);
/// Usual work of a request.
const WORK: Duration = Duration::from_millis(28);
/// Shards that a request asks.
const FAN_OUT: usize = 36;
/// Longest wait for the searchers. They shed requests that would wait longer.
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// The number of requests that were offered, and the number that were answered in time.
#[derive(Clone, Copy, Default)]
struct TenantCounts {
    offered: f64,
    in_time: f64,
}

impl TenantCounts {
    fn fraction(self) -> f64 {
        self.in_time / self.offered.max(1.0)
    }
}

impl Site {
    fn new(nodes: usize, level: Option<f64>, seed: u64) -> Self {
        let nodes = (0..nodes).map(|_| Node::default()).collect();
        let start = BootTime::from_millis(1000);
        Site { random: ChaCha8Rng::seed_from_u64(seed), nodes, level, free_at: start, now: start }
    }

    /// Offers requests for `span` at these rates per second, one for each tenant, and returns the counts of each
    /// tenant.
    fn offer(&mut self, rates: &[f64], mode: RefusalMode, span: Duration) -> Vec<TenantCounts> {
        let all: f64 = rates.iter().sum();
        let mut counts_by_tenant = vec![TenantCounts::default(); rates.len()];
        let end = self.now + span;
        while self.now < end {
            let gap = -(1.0 - self.random.random::<f64>()).ln() / all;
            self.now = self.now + Duration::from_secs_f64(gap);
            let mut pick = self.random.random::<f64>() * all;
            let tenant = rates.iter().position(|rate| {
                pick -= rate;
                pick < 0.0
            });
            let tenant = tenant.unwrap_or(0);
            counts_by_tenant[tenant].offered += 1.0;
            if self.reaches_searchers(&tenant_name(tenant), mode) {
                let begins = self.free_at.max(self.now);
                self.free_at = begins + Duration::from_secs_f64(1.0 / CAPACITY);
                counts_by_tenant[tenant].in_time += f64::from(u8::from(self.now.until(begins) + WORK <= GOAL));
            }
        }
        counts_by_tenant
    }

    /// Returns whether a request reaches the searchers: its node admits it, and they don't shed it.
    fn reaches_searchers(&mut self, tenant: &Arc<str>, mode: RefusalMode) -> bool {
        let (now, begins) = (self.now, self.free_at.max(self.now));
        let index = self.random.random_range(0..self.nodes.len());
        let node = &mut self.nodes[index];
        let wait = node.wait.get_or_insert_with(|| Wait::at_group(FAN_OUT));
        while let Some((at, waited)) = node.ends.pop_front_if(|(at, _)| *at <= now) {
            (0..FAN_OUT).for_each(|_| wait.record(at, waited));
            if let Some(waited) = wait.for_admission(at).filter(|_| node.admission.is_due(at)) {
                node.admission.evaluate(at, waited, tolerable_wait(GOAL, WORK, FAN_OUT));
            }
        }
        node.shares.count(now, Some(tenant));
        let level = self.level.unwrap_or(node.admission.level());
        let fraction = match mode {
            RefusalMode::ByFairShares if level < 1.0 => node.shares.admitted_fraction(now, Some(tenant), level),
            _ => level,
        };
        if !self.random.random_bool(fraction) {
            return false;
        }
        let waited = now.until(begins);
        let is_queued = waited <= MAX_WAIT;
        let at = if is_queued { begins + WORK } else { now };
        node.ends.push_back((at, waited));
        is_queued
    }
}

/// Fractions of requests answered in time: the mean of the worst tenth of tenants, the greedy tenant (the first), all
/// others, and all tenants.
#[derive(Debug)]
struct Outcome {
    worst_tenth: f64,
    greedy: f64,
    others: f64,
    all: f64,
}

fn summarize(counts_by_tenant: &[TenantCounts]) -> Outcome {
    let mut fractions: Vec<f64> = counts_by_tenant.iter().map(|tenant| tenant.fraction()).collect();
    let greedy = fractions[0];
    fractions.sort_by(f64::total_cmp);
    let worst = &fractions[..fractions.len().div_ceil(10)];
    let total_fraction = |counts_by_tenant: &[TenantCounts]| {
        let add = |sum: TenantCounts, one: &TenantCounts| TenantCounts {
            offered: sum.offered + one.offered,
            in_time: sum.in_time + one.in_time,
        };
        counts_by_tenant.iter().fold(TenantCounts::default(), add).fraction()
    };
    let worst_tenth = worst.iter().sum::<f64>() / worst.len() as f64;
    Outcome {
        worst_tenth,
        greedy,
        others: total_fraction(&counts_by_tenant[1..]),
        all: total_fraction(counts_by_tenant),
    }
}

/// Simulates 78 tenants, of which the first sends 7.5 times as many requests as each other one. The total load is
/// `load` times the capacity.
fn simulate_greedy_tenant(nodes: usize, load: f64, mode: RefusalMode, seed: u64) -> Outcome {
    let mut rates = vec![1.0; 78];
    rates[0] = 7.5;
    simulate_overload(nodes, &rates, load, mode, seed)
}

fn simulate_overload(nodes: usize, rates: &[f64], load: f64, mode: RefusalMode, seed: u64) -> Outcome {
    let factor = load * CAPACITY / rates.iter().sum::<f64>();
    let rates: Vec<f64> = rates.iter().map(|rate| rate * factor).collect();
    let level = (nodes == MANY_NODES).then_some(0.95 / load);
    let mut site = Site::new(nodes, level, seed);
    site.offer(&rates, mode, Duration::from_secs(40));
    summarize(&site.offer(&rates, mode, Duration::from_secs(200)))
}

#[test]
fn a_tenant_that_asks_for_much_gives_way_and_none_is_left_far_behind() {
    for nodes in [FEW_NODES, MANY_NODES] {
        for load in [1.3, 2.0] {
            let at_random = simulate_greedy_tenant(nodes, load, RefusalMode::AtRandom, 1);
            let by_fair_shares = simulate_greedy_tenant(nodes, load, RefusalMode::ByFairShares, 1);
            let case = format!("{nodes} nodes, {load} times: {at_random:.3?}, {by_fair_shares:.3?}");
            assert!(by_fair_shares.worst_tenth > by_fair_shares.all - 0.05, "{case}");
            assert!(by_fair_shares.greedy < by_fair_shares.others - 0.05, "{case}");
            assert!(by_fair_shares.greedy > TENANT_FLOOR * by_fair_shares.all - 0.05, "{case}");
            assert!(by_fair_shares.all > at_random.all - 0.02, "the total must not fall: {case}");
        }
    }
}

#[test]
fn beside_large_tenants_that_ask_for_their_usual_the_worst_tenth_is_not_left_far_behind() {
    let rates: Vec<f64> = (0..78).map(|index| if index < 4 { 12.0 } else { 1.0 }).collect();
    for load in [1.3, 2.0] {
        let outcome = simulate_overload(FEW_NODES, &rates, load, RefusalMode::ByFairShares, 1);
        assert!(outcome.worst_tenth > outcome.all - 0.05, "{load} times: {outcome:.3?}");
    }
}
