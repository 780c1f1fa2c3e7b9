//! The command line of staircross, for operators and callers.
//!
//! Exit codes: 0 done, 1 failed or refused, 2 wrong usage.

mod check;
mod explain;
mod flags;
mod query;
mod replay;
mod run_node;
mod status;
mod table;

use std::process::ExitCode;

/// Whether a command did what it was asked.
pub enum Verdict {
    /// It did.
    Done,
    /// It was refused, or found fault; what was found has been printed.
    Failed,
}

fn main() -> ExitCode {
    let flags = flags::Staircross::from_env_or_exit();
    let result = match flags.subcommand {
        flags::StaircrossCmd::Node(command) => run_node::run(&command),
        flags::StaircrossCmd::Query(command) => query::run_query(&command),
        flags::StaircrossCmd::Command(command) => query::run_command(&command),
        flags::StaircrossCmd::Status(command) => status::run(&command),
        flags::StaircrossCmd::Explain(command) => explain::run(&command),
        flags::StaircrossCmd::Replay(command) => replay::run(&command),
        flags::StaircrossCmd::Check(command) => check::run(&command),
    };
    match result {
        Ok(Verdict::Done) => ExitCode::SUCCESS,
        Ok(Verdict::Failed) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("staircross: {message}");
            ExitCode::FAILURE
        }
    }
}
