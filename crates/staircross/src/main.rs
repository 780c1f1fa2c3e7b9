//! Command-line program for operators and callers.
//!
//! Exit codes: 0 success, 1 failure or refusal, 2 wrong usage.

mod check;
mod explain;
mod flags;
mod query;
mod replay;
mod run_node;
mod status;
mod table;

use std::process::ExitCode;

/// Result of a command that ran to its end.
pub enum CommandOutcome {
    /// The command succeeded.
    Done,
    /// The command was refused or found faults, and has printed why.
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
        Ok(CommandOutcome::Done) => ExitCode::SUCCESS,
        Ok(CommandOutcome::Failed) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("staircross: {message}");
            ExitCode::FAILURE
        }
    }
}
