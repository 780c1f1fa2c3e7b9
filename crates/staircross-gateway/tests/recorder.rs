//! Tests that a recording ends at its maximum size and contains only complete records.

use staircross_gateway::recorder::{Recorder, RecordingEnd};
use staircross_routing::recording::{Record, RecordedEvent, RecordedTurn};
use staircross_types::BootTime;
use staircross_wire::frame::{MAX_FRAME, read_frame};

fn tick(at: u64) -> Record {
    Record::Turn(RecordedTurn { at: BootTime(at), event: RecordedEvent::Tick, decisions: Vec::new() })
}

#[test]
fn a_recording_ends_when_its_file_is_full_and_what_is_there_is_whole() {
    let path = std::env::temp_dir().join(format!("staircross-recorder-{}.bin", std::process::id()));
    let mut recorder = Recorder::create(&path, 1000).expect("a file");
    let written_count =
        (0..1000).map(|at| recorder.write(&tick(at))).position(|outcome| outcome.is_err()).expect("the recording ends");
    assert_eq!(recorder.write(&tick(0)), Err(RecordingEnd::Full));
    drop(recorder);
    let bytes = std::fs::read(&path).expect("the file");
    std::fs::remove_file(&path).expect("the file is there");
    assert!(bytes.len() <= 1000, "{}", bytes.len());
    let mut rest = bytes.as_slice();
    let read_count = std::iter::from_fn(|| read_frame::<Record>(&mut rest, MAX_FRAME).ok()).count();
    assert_eq!((read_count, rest.len()), (written_count, 0));
}
