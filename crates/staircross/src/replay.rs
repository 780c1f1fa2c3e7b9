//! `staircross replay`: replays the recorded input of a gateway node and compares the decisions with the recorded ones.
//!
//! With the code that made the recording, no decision may differ. With a changed policy, the differences show the
//! change's effect on the recorded traffic, but only in part, because the recording has no replies to attempts that
//! only the changed policy sends.

use crate::CommandOutcome;
use crate::flags;
use staircross_routing::recording::{Decision, Difference, Record, Replay};
use staircross_wire::WireError;
use staircross_wire::frame::{MAX_FRAME, read_frame};
use std::fs::File;
use std::io::{BufReader, ErrorKind, Read};
use std::path::Path;

/// Maximum number of differences shown if `--most` isn't given.
const DEFAULT_MAX_DIFFERENCES: usize = 20;

/// Runs `replay`: prints the differences, and fails if there are any.
pub fn run(command: &flags::Replay) -> Result<CommandOutcome, String> {
    let file = File::open(&command.file).map_err(|error| format!("{}: {error}", command.file.display()))?;
    let mut reader = BufReader::new(file);
    let Some(Record::Begin(settings)) = read_record(&mut reader, &command.file)? else {
        return Err(format!("{}: no recording begins here", command.file.display()));
    };
    let mut replay = Replay::new(&settings);
    let mut differences = Vec::new();
    while let Some(record) = read_record(&mut reader, &command.file)? {
        match record {
            Record::Turn(turn) => differences.extend(replay.play(turn)),
            Record::Begin(_) => return Err(format!("{}: a second recording begins", command.file.display())),
        }
    }
    println!("node {}: {} turns, {} decisions", settings.node, replay.turns, replay.decisions);
    println!("{} requests decided otherwise", differences.len());
    for difference in differences.iter().take(command.most.unwrap_or(DEFAULT_MAX_DIFFERENCES)) {
        print_difference(difference);
    }
    Ok(if differences.is_empty() { CommandOutcome::Done } else { CommandOutcome::Failed })
}

/// Reads the next record; returns `None` at the end of the file. An incomplete last record counts as the end of the
/// file, since a node that was killed may leave one.
fn read_record(reader: &mut impl Read, path: &Path) -> Result<Option<Record>, String> {
    match read_frame(reader, MAX_FRAME) {
        Ok(record) => Ok(Some(record)),
        Err(WireError::Io(error)) if error.kind() == ErrorKind::UnexpectedEof => Ok(None),
        Err(error) => Err(format!("{}: {error}", path.display())),
    }
}

fn print_difference(difference: &Difference) {
    println!("\nrequest {} at {:.3} s", difference.request.0, difference.at.0 as f64 / 1e6);
    for (name, decisions) in [("then", &difference.recorded), ("now", &difference.replayed)] {
        if decisions.is_empty() {
            println!("  {name:<5} nothing");
        }
        for decision in decisions {
            println!("  {name:<5} {}", describe_decision(decision));
        }
    }
}

fn describe_decision(decision: &Decision) -> String {
    match decision {
        Decision::Send { attempt, instance, reason } => {
            format!("send attempt={} reason={} searcher={instance}", attempt.number, reason.name())
        }
        Decision::Abandon { attempt } => format!("abandon attempt={}", attempt.number),
        Decision::Finish { ending, .. } => format!("finish {ending:?}"),
    }
}
