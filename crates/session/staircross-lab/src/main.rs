//! Command line of `staircross-lab`.
//!
//! The exit code is 0 on success, 1 if the command failed or found a violation, and 2 for wrong usage.

use staircross_lab::demo::{self, DemoOptions};
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
            /// Stateful fuzzing of the request engine against a plain oracle.
            cmd fuzz {
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
    let summary = runner::run(options);
    if command.json {
        println!("{}", serde_json::to_string(&summary).map_err(|error| error.to_string())?);
    } else {
        println!("{summary:#?}");
    }
    Ok(if summary.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
