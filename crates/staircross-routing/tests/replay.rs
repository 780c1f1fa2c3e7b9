//! The replay of a recording: it makes the recorded decisions again, and reports requests whose decisions differ.

mod common;

use common::backends::Backends;
use common::{Driver, definition, gather, route, searcher, settings};
use staircross_routing::recording::{Decision, Difference, RecordedEvent, RecordedSettings, RecordedTurn, Replay};
use staircross_routing::{RequestKey, RoutingSettings};
use std::time::Duration;

const SHARDS: [&str; 3] = ["s0", "s1", "s2"];

/// Records 6 s of traffic with a slow searcher, hedges and an overload, and returns the settings and the turns.
fn record_traffic() -> (RecordedSettings, Vec<RecordedTurn>) {
    let settings = RoutingSettings { max_requests: 10_000, ..settings() };
    let searchers_of = |shard: &str| ["x", "y", "z"].map(|copy| searcher(&format!("{shard}{copy}"), shard, "a"));
    let searchers = SHARDS.iter().flat_map(|shard| searchers_of(shard)).collect();
    let definition = definition(1, vec![route("q", gather(&SHARDS, 10, 0.6))], &SHARDS);
    let driver = Driver::with_settings(settings.clone(), definition, searchers);
    let mut backends = Backends::new(driver, 2, Duration::from_millis(20));
    backends.set_slowness("s1y", 15.0);
    backends.offer(&["/q/1"], 60.0, Duration::from_secs(4));
    backends.offer(&["/q/1"], 700.0, Duration::from_secs(2));
    (RecordedSettings::new("n", &settings), std::mem::take(&mut backends.driver.turns))
}

/// Replays the turns with these settings and returns the requests whose decisions differ from the recorded ones.
fn replay_differences(settings: &RecordedSettings, turns: &[RecordedTurn]) -> Vec<Difference> {
    let mut replay = Replay::new(settings);
    turns.iter().cloned().flat_map(|turn| replay.play(turn)).collect()
}

#[test]
fn the_same_code_decides_alike() {
    let (settings, turns) = record_traffic();
    let count_sends = |wanted: &str| {
        let decisions = turns.iter().flat_map(|turn| &turn.decisions);
        let is_wanted =
            |decision: &&Decision| matches!(decision, Decision::Send { reason, .. } if reason.name() == wanted);
        decisions.filter(is_wanted).count()
    };
    assert!(
        count_sends("first") > 1000 && count_sends("hedge") > 10,
        "{} {}",
        count_sends("first"),
        count_sends("hedge")
    );
    assert_eq!(replay_differences(&settings, &turns), Vec::new());
}

#[test]
fn another_seed_decides_otherwise() {
    let (_, turns) = record_traffic();
    let other = RecordedSettings::new("n", &RoutingSettings { max_requests: 10_000, seed: 8, ..settings() });
    assert!(!replay_differences(&other, &turns).is_empty());
}

#[test]
fn a_decision_that_was_changed_is_shown_once_for_its_request() {
    let (settings, mut turns) = record_traffic();
    let is_arrival = |turn: &&mut RecordedTurn| matches!(turn.event, RecordedEvent::Arrived(_));
    let turn = turns.iter_mut().filter(is_arrival).nth(10).expect("the eleventh arrival");
    let removed = turn.decisions.pop().expect("the request was sent");
    let found = replay_differences(&settings, &turns);
    let [difference] = found.as_slice() else {
        panic!("exactly one request must differ: {found:?}");
    };
    assert_eq!(difference.request, removed.request());
    assert_eq!(difference.replayed.len(), difference.recorded.len() + 1);
    assert_eq!(difference.replayed.last(), Some(&removed));
    assert_ne!(difference.request, RequestKey(0));
}
