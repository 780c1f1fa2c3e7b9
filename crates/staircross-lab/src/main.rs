//! The lab's command line. Exit codes: 0 done, 1 failed or a violation found, 2 wrong usage.

use staircross_lab::demo::{self, DemoOptions};
use staircross_lab::experiment::config_spread::{self, SpreadOptions};
use staircross_lab::experiment::{overload, slopes, tail};
use staircross_lab::fuzz::runner::{self, FuzzOptions};
use std::process::ExitCode;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Tries staircross out.
        cmd staircross-lab {
            /// The guided tour: a whole fleet in one process, and what goes wrong with it.
            cmd demo {
                /// Print JSON, one object a line.
                optional --json
                /// Documents (JSON lines) for the clause service.
                optional --corpus corpus: PathBuf
                /// The nodes' log filter.
                optional --log log: String
            }
            /// Measure a simulated fleet.
            cmd experiment {
                /// `tail`, `overload` or `config-spread`.
                required name: String
                /// Seed (default 1).
                optional --seed seed: u64
                /// Nodes, for config-spread (default 530).
                optional --nodes nodes: usize
                /// Regions, for config-spread (default 2).
                optional --regions regions: usize
                /// Zones in all, for config-spread (default 6).
                optional --zones zones: usize
                /// Searchers, for config-spread (default 2200).
                optional --searchers searchers: usize
                /// Print JSON.
                optional --json
            }
            /// Measure the slopes that capacity is planned from, and print the data file.
            cmd slopes {
                /// Only compare hollow fleets of these sizes (e.g. 100,300,530) with each other.
                optional --fleets fleets: String
            }
            /// Stateful fuzzing of the engines against a plain oracle.
            cmd fuzz {
                /// What to fuzz: `requests` (default) or `cluster`.
                optional --model model: String
                /// Seed of all cases (default 1).
                optional --seed seed: u64
                /// Cases (default 100).
                optional --cases cases: u32
                /// Operations per case (default 200).
                optional --steps steps: usize
                /// Print JSON.
                optional --json
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::StaircrossLab::from_env_or_exit();
    let result = match flags.subcommand {
        flags::StaircrossLabCmd::Demo(command) => run_demo(command),
        flags::StaircrossLabCmd::Fuzz(command) => run_fuzz(&command),
        flags::StaircrossLabCmd::Experiment(command) => run_experiment(&command),
        flags::StaircrossLabCmd::Slopes(command) => run_slopes(&command),
    };
    match result {
        Ok(code) => code,
        Err(message) => {
            eprintln!("staircross-lab: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run_demo(command: flags::Demo) -> Result<ExitCode, String> {
    let log = command.log.unwrap_or_else(|| "off".to_owned());
    let options = DemoOptions { json: command.json, corpus: command.corpus, log };
    demo::run(&options).map_err(|error| error.to_string())?;
    Ok(ExitCode::SUCCESS)
}

fn run_fuzz(command: &flags::Fuzz) -> Result<ExitCode, String> {
    let options = FuzzOptions {
        seed: command.seed.unwrap_or(1),
        cases: command.cases.unwrap_or(100),
        steps: command.steps.unwrap_or(200),
    };
    let summary = match command.model.as_deref().unwrap_or("requests") {
        "requests" => runner::run::<runner::Requests>(options),
        "cluster" => runner::run::<runner::Cluster>(options),
        other => return Err(format!("--model {other}: allowed are requests, cluster")),
    };
    if command.json {
        println!("{}", serde_json::to_string(&summary).map_err(|error| error.to_string())?);
    } else {
        println!("{summary:#?}");
    }
    Ok(if summary.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn run_experiment(command: &flags::Experiment) -> Result<ExitCode, String> {
    let seed = command.seed.unwrap_or(1);
    match command.name.as_str() {
        "tail" => print_rows(&tail::run(seed), command.json),
        "overload" => print_rows(&overload::run(seed), command.json),
        "config-spread" => {
            let options = SpreadOptions {
                nodes: command.nodes.unwrap_or(530),
                regions: command.regions.unwrap_or(2),
                zones: command.zones.unwrap_or(6),
                seed,
                searchers: command.searchers.unwrap_or(2200),
            };
            print_rows(&[config_spread::run(options)], command.json)
        }
        other => Err(format!("experiment {other}: allowed are tail, overload, config-spread")),
    }
}

/// Prints rows as JSON, one a line, or as indented text.
fn print_rows<T: serde::Serialize>(rows: &[T], json: bool) -> Result<ExitCode, String> {
    for row in rows {
        let text = if json { serde_json::to_string(row) } else { serde_json::to_string_pretty(row) };
        println!("{}", text.map_err(|error| error.to_string())?);
    }
    Ok(ExitCode::SUCCESS)
}

fn run_slopes(command: &flags::Slopes) -> Result<ExitCode, String> {
    let Some(fleets) = &command.fleets else {
        let text = toml::to_string(&slopes::run()).map_err(|error| error.to_string())?;
        print!("{text}");
        return Ok(ExitCode::SUCCESS);
    };
    let sizes: Result<Vec<usize>, _> = fleets.split(',').map(|text| text.trim().parse::<usize>()).collect();
    let sizes = sizes.map_err(|error| format!("--fleets {fleets}: {error}"))?;
    let rows: Vec<_> = sizes.into_iter().map(|nodes| slopes::steady_fleet(nodes, 0, 1)).collect();
    print_rows(&rows, true)
}
