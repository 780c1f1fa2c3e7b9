//! Checks that the requests of a tenant that all nodes together admit stay within the bound in every window, under
//! every fault.

mod model;

use model::{Callers, FAULT_S, Fault, Outcome, Schedule, Scheme, Simulation};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use staircross_types::Quota;

/// A tenant that keeps to this fraction of its rate must never be refused while there is no fault.
const SAFE_RATE_FRACTION: f64 = 0.9;
/// Fraction of its burst to which that tenant keeps.
const SAFE_BURST_FRACTION: f64 = 0.5;
/// Smallest burst of that tenant.
const MIN_BURST: f64 = 2.0;
/// Factor of the loss of datagrams in schedules without a fault: at most 2 in 1,000 are lost. A node doubts its owner
/// after three losses in a row.
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
        base_demand in 0.3_f64..0.9,
        hot_factor in 1.0_f64..9.0,
        hot_start_s in 8.5_f64..13.0,
        callers in callers(),
        fault in fault(),
        loss_rate in 0.0_f64..0.1,
        duplication_rate in 0.0_f64..0.1,
    ) -> Schedule {
        let quota = Quota { rate_per_s, burst: (rate_per_s * burst).max(1.0) };
        let hot_factor = hot_factor.min(MAX_DEMAND / base_demand);
        Schedule {
            seed,
            nodes,
            quota,
            base_demand,
            hot_factor,
            hot_start_s,
            callers,
            fault,
            loss_rate,
            duplication_rate,
            self_limit: None,
        }
    }
}

/// Demand rises within one second before or after the fault.
fn schedule_with_rise_near_fault() -> impl Strategy<Value = Schedule> {
    (schedule(), FAULT_S - 1.0..FAULT_S + 1.0).prop_map(|(schedule, hot_start_s)| Schedule { hot_start_s, ..schedule })
}

/// Seed of the property tests, which play the same schedules in each run. `figures_of_the_worst_schedules` searches
/// other schedules.
const SCHEDULE_SEED: u64 = 1;
/// Largest demand of a tenant, as a multiple of its rate: nine times a usual demand of 1 / 1.6.
const MAX_DEMAND: f64 = 9.0 / 1.6;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        max_shrink_iters: 0,
        rng_seed: RngSeed::Fixed(SCHEDULE_SEED),
        ..ProptestConfig::default()
    })]

    #[test]
    fn admissions_stay_within_the_bound_in_every_window(schedule in schedule()) {
        let outcome = Simulation::new(schedule, Scheme::Owner).run();
        prop_assert!(outcome.worst <= 1.0, "{outcome:?}");
    }

    #[test]
    fn admissions_stay_within_the_bound_where_demand_rises_about_a_fault(schedule in schedule_with_rise_near_fault()) {
        let outcome = Simulation::new(schedule, Scheme::Owner).run();
        prop_assert!(outcome.worst <= 1.0, "{outcome:?}");
    }

    #[test]
    fn tenants_below_their_rate_are_not_refused_in_quiet_times(schedule in schedule()) {
        // The tenant wants to send more than it may, so that it uses up its self-imposed limit, and unevenly.
        let burst = schedule.quota.burst.max(MIN_BURST);
        let quota = Quota { burst, ..schedule.quota };
        let self_limit = Some((SAFE_RATE_FRACTION, SAFE_BURST_FRACTION));
        let loss_rate = schedule.loss_rate * QUIET_LOSS_FRACTION;
        let quiet = Schedule {
            quota,
            self_limit,
            loss_rate,
            hot_factor: 1.0,
            base_demand: 1.2,
            fault: Fault::None,
            ..schedule
        };
        let outcome = Simulation::new(quiet, Scheme::Owner).run();
        prop_assert_eq!(outcome.refused, 0, "{:?}", outcome);
    }
}

/// Demand rises at the moment at which nodes are cut off or killed. The worst windows held 1.40 and 1.08 times the
/// permitted excess, and 1.26 and 0.59 in a later version. If a tenant's owner is unreachable, each node detects that
/// separately, by a request that it admits and by half a second without an answer, so in a large fleet each node
/// admits one or more requests before it knows. The admissions of the worst window by kind (`WorstWindow`) show this:
/// of 70 in the first schedule, 58 are of nodes that don't know yet that their owner is unreachable, 10 are from
/// before the fault, and one is of the owner.
#[test]
fn a_rise_of_demand_at_the_moment_of_a_cut_stays_within_the_bound() {
    let schedule =
        |seed, nodes, rate_per_s, burst, base_demand, hot_factor, hot_start_s, fault, loss_rate, duplication_rate| {
            let (quota, callers) = (Quota { rate_per_s, burst }, Callers::Spread);
            Schedule {
                seed,
                nodes,
                quota,
                base_demand,
                hot_factor,
                hot_start_s,
                callers,
                fault,
                loss_rate,
                duplication_rate,
                self_limit: None,
            }
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
        let outcome = Simulation::new(schedule.clone(), Scheme::Owner).run();
        assert!(outcome.worst <= 1.0, "{schedule:?}: {outcome:?}");
    }
}

/// Further schedules in which demand rises within one second of a fault. They come from seven searches of 10,000
/// schedules each (`figures_of_the_worst_schedules`, seeds 101 to 107) and reached 1.62 to 1.16 times the permitted
/// excess in the version that was searched.
#[test]
fn a_rise_of_demand_within_a_second_of_a_fault_stays_within_the_bound() {
    let schedule =
        |seed, nodes, rate_per_s, burst, base_demand, hot_factor, hot_start_s, fault, loss_rate, duplication_rate| {
            let (quota, callers) = (Quota { rate_per_s, burst }, Callers::Spread);
            Schedule {
                seed,
                nodes,
                quota,
                base_demand,
                hot_factor,
                hot_start_s,
                callers,
                fault,
                loss_rate,
                duplication_rate,
                self_limit: None,
            }
        };
    let schedules = [
        schedule(
            13786871040143935473,
            78,
            6.0,
            5.93975997234222,
            0.7800932748486672,
            7.2106761862435125,
            10.222859433875547,
            Fault::ThirdCut,
            0.09540536212250489,
            0.035375104953389906,
        ),
        schedule(
            12415334169904583175,
            75,
            12.0,
            7.871052316074552,
            0.7904595176302611,
            7.116113949596473,
            9.792526644076062,
            Fault::ThirdCut,
            0.07105440546697886,
            0.07921001715678198,
        ),
        schedule(
            8596447397739239276,
            79,
            12.0,
            7.68206123660925,
            0.7613046983550438,
            7.332261723943876,
            9.244860027411512,
            Fault::ThirdCut,
            0.0867630232268441,
            0.020264872058616365,
        ),
        schedule(
            2394567240069329223,
            66,
            6.0,
            4.99116115060731,
            0.7929394033285941,
            7.093858592961106,
            8.526122948597664,
            Fault::KillFifth,
            0.008777625057494062,
            0.07529840565371311,
        ),
        schedule(
            2936975035052657148,
            71,
            6.0,
            10.427550941552148,
            0.838818614515432,
            6.705859768323626,
            10.021977388002478,
            Fault::Halves,
            0.09571239444197671,
            0.06421470682480869,
        ),
        schedule(
            16377980617064979227,
            62,
            12.0,
            14.42572689139152,
            0.8917266949663484,
            6.307986552104144,
            9.915530601131156,
            Fault::Halves,
            0.05382378031153918,
            4.901193452864291e-5,
        ),
        schedule(
            12201847288972569309,
            63,
            12.0,
            7.618805022179817,
            0.7514512672684006,
            7.485515355436726,
            10.547480560038297,
            Fault::ThirdCut,
            0.00119716018964014,
            0.008154263767365728,
        ),
        schedule(
            14397022152368407193,
            53,
            6.0,
            7.862318071975224,
            0.865697241970551,
            6.497652674965262,
            10.494657354829386,
            Fault::Halves,
            0.013159650412569108,
            0.009815237449743382,
        ),
        schedule(
            15197783510243021430,
            67,
            12.0,
            11.05169629645686,
            0.8605626926015725,
            5.658749845427656,
            9.728545041826765,
            Fault::Halves,
            0.06632491464115586,
            0.06744855801445608,
        ),
        schedule(
            14291237533804757829,
            71,
            12.0,
            15.584394071963828,
            0.841127766084415,
            4.505273313669945,
            10.05273640938266,
            Fault::Halves,
            0.06101301280132474,
            0.03542348813293169,
        ),
        schedule(
            13946642523305555053,
            79,
            12.0,
            11.733005403579645,
            0.7245696177502503,
            7.052297841671498,
            10.077074867316831,
            Fault::Halves,
            0.08731424968847405,
            0.015772504311576497,
        ),
        schedule(
            18112655931698611471,
            68,
            12.0,
            8.183588129058005,
            0.828925521161233,
            6.7858931308086605,
            10.030758772797471,
            Fault::Halves,
            0.06778620894938564,
            0.05922001296370863,
        ),
    ];
    let played = schedules.map(|schedule| (Simulation::new(schedule.clone(), Scheme::Owner).run(), schedule));
    let beyond: Vec<_> = played.iter().filter(|(outcome, _)| outcome.worst > 1.0).collect();
    assert!(beyond.is_empty(), "{} of {}: {beyond:#?}", beyond.len(), played.len());
}

/// Schedules in which an earlier version exceeded the bound, each for a different cause.
#[test]
fn schedules_that_exceeded_the_bound_once_stay_within_it() {
    let schedule = |seed,
                    nodes,
                    rate_per_s,
                    burst,
                    base_demand,
                    hot_factor,
                    hot_start_s,
                    callers,
                    fault,
                    loss_rate,
                    duplication_rate| {
        let quota = Quota { rate_per_s, burst };
        Schedule {
            seed,
            nodes,
            quota,
            base_demand,
            hot_factor,
            hot_start_s,
            callers,
            fault,
            loss_rate,
            duplication_rate,
            self_limit: None,
        }
    };
    let schedules = [
        // Callers move to nodes that were cut off before the tenant was limited; each of these nodes admitted a whole
        // burst unconfirmed.
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
        // The two halves of a partitioned fleet each granted more than their fraction of the quota.
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
        let outcome = Simulation::new(schedule.clone(), Scheme::Owner).run();
        assert!(outcome.worst <= 1.0, "{schedule:?}: {outcome:?}");
    }
}

/// Run with `SEARCH_SEED=7 cargo test --release -p staircross-quota --test bound -- --ignored --nocapture`.
#[test]
#[ignore = "prints figures for the design note"]
fn figures_of_the_worst_schedules() {
    print_worst_schedules(schedule());
    print_worst_schedules(schedule_with_rise_near_fault());
}

/// Plays schedules drawn from the seed in the environment variable `SEARCH_SEED`, or from the fixed seed, and prints
/// the worst.
fn print_worst_schedules(strategy: impl Strategy<Value = Schedule>) {
    let seed = std::env::var("SEARCH_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(SCHEDULE_SEED);
    let config = ProptestConfig { rng_seed: RngSeed::Fixed(seed), ..ProptestConfig::default() };
    let mut runner = TestRunner::new(config);
    let mut played: Vec<(Schedule, Outcome)> = (0..SEARCHED_SCHEDULES)
        .map(|_| {
            let tree = strategy.new_tree(&mut runner).expect("schedules have no filter");
            let schedule = tree.current();
            (schedule.clone(), Simulation::new(schedule, Scheme::Owner).run())
        })
        .collect();
    played.sort_by(|(_, a), (_, b)| b.worst.total_cmp(&a.worst));
    let beyond = played.iter().filter(|(_, outcome)| outcome.worst > 1.0).count();
    println!("{beyond} of {SEARCHED_SCHEDULES} schedules beyond the bound");
    for (schedule, outcome) in played.iter().take(12) {
        let shortfall = outcome.shortfall / outcome.reference_admissions.max(1.0);
        println!("{:.2} lost {shortfall:.3} {schedule:?} {:?}", outcome.worst, outcome.window);
    }
}

/// Number of schedules that `print_worst_schedules` plays.
const SEARCHED_SCHEDULES: usize = 5000;
