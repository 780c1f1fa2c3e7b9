//! Prints figures for different ways to share a quota among nodes. Run with `cargo test --release -p staircross-quota
//! --test comparison -- --ignored --nocapture`.

mod model;

use model::{Callers, Fault, Schedule, Scheme, Simulation};
use staircross_types::Quota;

const SEEDS: u64 = 8;

#[test]
#[ignore = "prints figures for the design note"]
fn figures_of_each_scheme() {
    for nodes in [71] {
        for rate_per_s in [2.4, 20.0, 80.0] {
            for &fault in Fault::ALL {
                for (hot_factor, hot_start_s) in [(1.0, 9.0), (9.0, 9.0), (9.0, 11.0)] {
                    for callers in [Callers::Spread, Callers::OneNode, Callers::Moving] {
                        let schemes = [Scheme::Owner, Scheme::FixedShares, Scheme::FixedSharesAndOne];
                        let shown = schemes.map(|scheme| {
                            summarize(nodes, rate_per_s, fault, (hot_factor, hot_start_s), callers, scheme)
                        });
                        println!(
                            "{nodes} {rate_per_s} {fault:?} x{hot_factor}@{hot_start_s} {callers:?} {}",
                            shown.join(" | ")
                        );
                    }
                }
            }
        }
    }
}

fn summarize(
    nodes: usize,
    rate_per_s: f64,
    fault: Fault,
    (hot_factor, hot_start_s): (f64, f64),
    callers: Callers,
    scheme: Scheme,
) -> String {
    let quota = Quota { rate_per_s, burst: rate_per_s };
    let mut worst = f64::NEG_INFINITY;
    let (mut shortfall, mut reference_admissions, mut datagrams, mut requests) = (0.0, 0.0, 0, 0);
    for seed in 0..SEEDS {
        let schedule = Schedule {
            seed,
            nodes,
            quota,
            base_demand: 1.0 / 1.6,
            hot_factor,
            hot_start_s,
            callers,
            fault,
            loss_rate: 0.01,
            duplication_rate: 0.01,
            self_limit: None,
        };
        let outcome = Simulation::new(schedule, scheme).run();
        worst = worst.max(outcome.worst);
        shortfall += outcome.shortfall;
        reference_admissions += outcome.reference_admissions;
        datagrams += outcome.datagrams;
        requests += outcome.requests;
    }
    let per_request = datagrams as f64 / requests as f64;
    format!("worst={worst:.2} lost={:.3} datagrams={per_request:.1}", shortfall / reference_admissions)
}

/// Prints the datagrams per second that one tenant causes, by fleet size, with demand below its rate and at nine times
/// that demand, without a fault and while a dead owner isn't yet known to be dead.
#[test]
#[ignore = "prints figures for the design note"]
fn datagrams_by_fleet() {
    for fault in [Fault::None, Fault::KillFifth] {
        for nodes in [71, 300, 530] {
            for (rate_per_s, hot_factor) in [(2.4, 1.0), (2.4, 9.0), (80.0, 1.0), (80.0, 9.0)] {
                let quota = Quota { rate_per_s, burst: rate_per_s };
                let schedule = Schedule {
                    seed: 1,
                    nodes,
                    quota,
                    base_demand: 1.0 / 1.6,
                    hot_factor,
                    hot_start_s: 0.0,
                    callers: Callers::Spread,
                    fault,
                    loss_rate: 0.01,
                    duplication_rate: 0.01,
                    self_limit: None,
                };
                let outcome = Simulation::new(schedule, Scheme::Owner).run();
                let per_second = outcome.datagrams as f64 / model::END_S;
                println!(
                    "{fault:?}, {nodes} nodes, rate {rate_per_s}, x{hot_factor}: {per_second:.1} datagrams a second"
                );
            }
        }
    }
}
