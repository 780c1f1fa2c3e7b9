//! What all nodes together admit of a tenant stays within the bound in every window, whatever goes wrong.

mod model;

use model::{Callers, Fault, Outcome, Schedule, Scheme, World};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use staircross_types::Quota;

/// Parts of its rate and burst to which a tenant that is never refused in quiet times keeps, and the least burst that it needs.
const SAFE_FRACTION: f64 = 0.9;
const SAFE_BURST_FRACTION: f64 = 0.5;
const MIN_BURST: f64 = 2.0;
/// Datagrams lost in quiet times, in times those of other schedules: 2 in 1,000 at most. Three losses in a row make a node doubt its owner.
const QUIET_LOSS_FRACTION: f64 = 0.02;

fn fault() -> impl Strategy<Value = Fault> {
    prop::sample::select(Fault::ALL)
}

fn callers() -> impl Strategy<Value = Callers> {
    prop::sample::select(vec![Callers::Spread, Callers::OneNode, Callers::Moving])
}

prop_compose! {
    fn schedule()(
        seed in any::<u64>(),
        nodes in 6_usize..80,
        rate_per_s in prop::sample::select(vec![0.5, 1.0, 2.4, 6.0, 12.0, 25.0, 50.0]),
        burst in 0.5_f64..2.0,
        usual in 0.3_f64..0.9,
        hot in 1.0_f64..9.0,
        hot_s in 8.5_f64..13.0,
        callers in callers(),
        fault in fault(),
        lost in 0.0_f64..0.1,
        doubled in 0.0_f64..0.1,
    ) -> Schedule {
        let quota = Quota { rate_per_s, burst: (rate_per_s * burst).max(1.0) };
        let hot = hot.min(HOTTEST / usual);
        Schedule { seed, nodes, quota, usual, hot, hot_s, callers, fault, lost, doubled, keeps_to: None }
    }
}

/// The property tests play the same schedules each time; others are looked for by `figures_of_the_worst_schedules`.
const SCHEDULES: u64 = 1;
/// Most that a tenant asks, in times its rate: nine times a usual demand of 1 / 1.6.
const HOTTEST: f64 = 9.0 / 1.6;

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, max_shrink_iters: 0, rng_seed: RngSeed::Fixed(SCHEDULES), ..ProptestConfig::default() })]

    #[test]
    fn admissions_stay_within_the_bound_in_every_window(schedule in schedule()) {
        let outcome = World::new(schedule, Scheme::Owner).run();
        prop_assert!(outcome.worst <= 1.0, "{outcome:?}");
    }

    #[test]
    fn tenants_below_their_rate_are_not_refused_in_quiet_times(schedule in schedule()) {
        // It asks for more than it sends, so that it sends as much as it may, and unevenly.
        let burst = schedule.quota.burst.max(MIN_BURST);
        let quota = Quota { burst, ..schedule.quota };
        let keeps_to = Some((SAFE_FRACTION, SAFE_BURST_FRACTION));
        let lost = schedule.lost * QUIET_LOSS_FRACTION;
        let quiet = Schedule { quota, keeps_to, lost, hot: 1.0, usual: 1.2, fault: Fault::None, ..schedule };
        let outcome = World::new(quiet, Scheme::Owner).run();
        prop_assert_eq!(outcome.refused, 0, "{:?}", outcome);
    }
}

/// Demand rises as nodes are cut off or end: each node without an owner admits a request or two before it knows, and the others' whole burst
/// comes on top.
#[test]
fn a_rise_of_demand_at_the_moment_of_a_cut_stays_within_the_bound() {
    let schedule = |seed, nodes, rate_per_s, burst, usual, hot, hot_s, fault, lost, doubled| {
        let (quota, callers) = (Quota { rate_per_s, burst }, Callers::Spread);
        Schedule { seed, nodes, quota, usual, hot, hot_s, callers, fault, lost, doubled, keeps_to: None }
    };
    let schedules = [
        schedule(
            376644262033305620,
            55,
            6.0,
            4.10931643643848,
            0.8944351186114259,
            6.288885446193776,
            10.033591863091253,
            Fault::ThirdCut,
            0.012376619232691184,
            0.0822182038901155,
        ),
        schedule(
            13764583427092633854,
            58,
            12.0,
            23.764635509013814,
            0.8238732939076685,
            6.714808672429899,
            9.552818688944631,
            Fault::KillFifth,
            0.056328181018965674,
            0.0030144105147461462,
        ),
    ];
    for schedule in schedules {
        let outcome = World::new(schedule.clone(), Scheme::Owner).run();
        assert!(outcome.worst <= 1.0, "{schedule:?}: {outcome:?}");
    }
}

/// Schedules of searches in which an earlier state of this code exceeded the bound, each by another weakness.
#[test]
fn schedules_that_exceeded_the_bound_once_stay_within_it() {
    let schedule = |seed, nodes, rate_per_s, burst, usual, hot, hot_s, callers, fault, lost, doubled| {
        let quota = Quota { rate_per_s, burst };
        Schedule { seed, nodes, quota, usual, hot, hot_s, callers, fault, lost, doubled, keeps_to: None }
    };
    let schedules = [
        // Callers move to nodes that were cut off before the tenant was limited; each admitted a whole burst unconfirmed.
        schedule(
            5285770589910842087,
            71,
            12.0,
            16.327816065622823,
            0.5034421529624274,
            8.846275644188283,
            9.766196600105475,
            Callers::Moving,
            Fault::ThirdCut,
            0.07201763114077797,
            0.08144076146197483,
        ),
        schedule(
            13218111383679759797,
            37,
            25.0,
            49.4183233265952,
            0.8871983328752271,
            6.340183239265715,
            10.117627745538302,
            Callers::Moving,
            Fault::ThirdCut,
            0.06114733760450458,
            0.06111037720613607,
        ),
        // Both halves of a cut granted more than their parts.
        schedule(
            7229924254924871606,
            56,
            12.0,
            17.73983463087398,
            0.5719804097116757,
            6.0631743891652965,
            9.4749997863521,
            Callers::Spread,
            Fault::Halves,
            0.04706113469049252,
            0.07446191170705706,
        ),
    ];
    for schedule in schedules {
        let outcome = World::new(schedule.clone(), Scheme::Owner).run();
        assert!(outcome.worst <= 1.0, "{schedule:?}: {outcome:?}");
    }
}

/// `cargo test --release -p staircross-quota --test bound -- --ignored --nocapture`
#[test]
#[ignore = "prints figures for the design note"]
fn figures_of_the_worst_schedules() {
    let mut runner = TestRunner::deterministic();
    let strategy = schedule();
    let mut played: Vec<(Schedule, Outcome)> = (0..CENSUS)
        .map(|_| {
            let tree = strategy.new_tree(&mut runner).expect("schedules have no filter");
            let schedule = tree.current();
            (schedule.clone(), World::new(schedule, Scheme::Owner).run())
        })
        .collect();
    played.sort_by(|(_, a), (_, b)| b.worst.total_cmp(&a.worst));
    let beyond = played.iter().filter(|(_, outcome)| outcome.worst > 1.0).count();
    println!("{beyond} of {CENSUS} schedules beyond the bound");
    for (schedule, outcome) in played.iter().take(12) {
        println!("{:.2} lost {:.3} {schedule:?}", outcome.worst, outcome.lost / outcome.owed.max(1.0));
    }
}

/// Schedules of the printed figures.
const CENSUS: usize = 5000;
