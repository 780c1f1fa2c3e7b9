//! Tests of the oracle: it must flag a bad history for each promise, and must not flag a good one.

use staircross_lab::sim::oracle::{LEAVING_GRACE_MS, check_history, simulated_hit};
use staircross_lab::sim::records::{ExecutionRecord, History, LeavingArrival, RequestRecord, UncleanStop};
use staircross_search::{ActionReceipt, Answer, Outcome, Refusal, Work};
use staircross_types::{
    ActionCommand, AttemptId, BootTime, Coverage, ErrorKind, MissingCause, MissingShard, NodeId, RequestId,
    SearchQuery, SearcherId, ServiceName, SessionToken, ShardId, ShardMap, ShardPlacement, Snapshot,
};
use std::time::Duration;

const SNAPSHOT: Snapshot = Snapshot { version: 3, epoch: 1, build: 1 };
const OLDER: Snapshot = Snapshot { version: 2, epoch: 1, build: 1 };

fn id(sequence: u64) -> RequestId {
    RequestId { node: NodeId(1), sequence }
}

fn map(snapshot: Snapshot) -> ShardMap {
    let place_shard = |shard| ShardPlacement { shard: ShardId(shard), replicas: vec![SearcherId(1)] };
    ShardMap { snapshot, shards: vec![place_shard(0), place_shard(1)] }
}

fn record(sequence: u64, work: Work, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        request: id(sequence),
        session: SessionToken(1),
        service: ServiceName::new("s"),
        work,
        ticket: None,
        submitted_at: BootTime::from_millis(sequence * 100),
        outcomes: vec![(BootTime::from_millis(sequence * 100 + 10), outcome)],
        node_crashed: false,
        outcome_due: BootTime::from_millis(sequence * 100 + 400),
    }
}

fn search(sequence: u64) -> Work {
    Work::Search(SearchQuery { terms: vec![format!("q{sequence}")], limit: 10, after: None })
}

fn act(note: &str) -> Work {
    Work::Act(ActionCommand { verb: "v".into(), target: "t".into(), note: note.into() })
}

/// Returns a correct answer in which shard 0 is included and shard 1 is missing because it was late.
fn answer(sequence: u64, snapshot: Snapshot) -> Answer {
    let hit = simulated_hit(&snapshot.to_string(), ShardId(0), &format!("q{sequence}"));
    Answer {
        snapshot,
        coverage: Coverage {
            included: vec![ShardId(0)],
            missing: vec![MissingShard { shard: ShardId(1), cause: MissingCause::Late }],
        },
        matched: 1,
        hits: vec![hit],
        next: None,
        sent: 1,
        needed: 1,
        elapsed: Duration::ZERO,
    }
}

fn execution(sequence: u64, snapshot: Snapshot, note: Option<&str>) -> ExecutionRecord {
    ExecutionRecord {
        attempt: AttemptId { request: id(sequence), attempt: 1 },
        searcher: SearcherId(1),
        snapshot,
        shards: vec![ShardId(0)],
        note: note.map(str::to_owned),
    }
}

fn history(records: Vec<RequestRecord>, executions: Vec<ExecutionRecord>) -> History {
    let service = ServiceName::new("s");
    History {
        requests: records.into_iter().map(|record| (record.request, record)).collect(),
        executions,
        maps: [SNAPSHOT, OLDER].into_iter().map(|snapshot| ((service.clone(), snapshot), map(snapshot))).collect(),
        ended_at: BootTime::from_millis(100_000),
        ..History::default()
    }
}

fn history_with_answer(change: impl FnOnce(&mut Answer)) -> History {
    let mut given = answer(1, SNAPSHOT);
    change(&mut given);
    history(vec![record(1, search(1), Outcome::Answer(Box::new(given)))], vec![execution(1, SNAPSHOT, None)])
}

#[track_caller]
fn assert_flags(history: &History, promise: u8) {
    let violations = check_history(history);
    assert!(
        violations.iter().any(|violation| violation.promise == promise),
        "promise {promise} not flagged: {violations:?}"
    );
}

#[test]
fn good_history_is_not_flagged() {
    let receipt = Outcome::Acted(ActionReceipt { entry: 1, message: String::new() });
    let refusal = Outcome::Refusal(Refusal::new(ErrorKind::Overloaded, ""));
    let good = history(
        vec![
            record(1, search(1), Outcome::Answer(Box::new(answer(1, OLDER)))),
            record(2, search(2), Outcome::Answer(Box::new(answer(2, SNAPSHOT)))),
            record(3, act("a"), receipt),
            record(4, search(4), refusal),
        ],
        vec![execution(1, OLDER, None), execution(2, SNAPSHOT, None), execution(3, SNAPSHOT, Some("a"))],
    );
    assert_eq!(check_history(&good), Vec::new());
}

#[test]
fn promise_1_hit_of_another_snapshot() {
    assert_flags(
        &history_with_answer(|answer| answer.hits[0] = simulated_hit(&OLDER.to_string(), ShardId(0), "q1")),
        1,
    );
}

#[test]
fn promise_1_shard_that_ran_at_another_snapshot() {
    let mixed = history(
        vec![record(1, search(1), Outcome::Answer(Box::new(answer(1, SNAPSHOT))))],
        vec![execution(1, OLDER, None)],
    );
    assert_flags(&mixed, 1);
}

#[test]
fn promise_1_session_goes_back() {
    let records = vec![
        record(1, search(1), Outcome::Answer(Box::new(answer(1, SNAPSHOT)))),
        record(2, search(2), Outcome::Answer(Box::new(answer(2, OLDER)))),
    ];
    assert_flags(&history(records, vec![execution(1, SNAPSHOT, None), execution(2, OLDER, None)]), 1);
}

#[test]
fn promise_2_shard_neither_included_nor_missing() {
    assert_flags(&history_with_answer(|answer| answer.coverage.missing.clear()), 2);
}

#[test]
fn promise_2_shard_claimed_without_its_documents() {
    assert_flags(&history_with_answer(|answer| answer.hits.clear()), 2);
}

#[test]
fn promise_2_shard_counted_twice() {
    assert_flags(&history_with_answer(|answer| answer.matched = 2), 2);
}

#[test]
fn promise_3_hit_of_another_request() {
    assert_flags(
        &history_with_answer(|answer| answer.hits[0] = simulated_hit(&SNAPSHOT.to_string(), ShardId(0), "q99")),
        3,
    );
}

#[test]
fn promise_3_two_final_words() {
    let mut doubled = history_with_answer(|_| {});
    for record in doubled.requests.values_mut() {
        let again = record.outcomes[0].clone();
        record.outcomes.push(again);
    }
    assert_flags(&doubled, 3);
}

#[test]
fn promise_3_receipt_for_what_never_ran() {
    let receipt = Outcome::Acted(ActionReceipt { entry: 1, message: String::new() });
    assert_flags(&history(vec![record(1, act("a"), receipt)], Vec::new()), 3);
}

#[test]
fn promise_4_refused_as_not_run_and_ran() {
    let refusal = Outcome::Refusal(Refusal::new(ErrorKind::NotDelivered, ""));
    assert_flags(&history(vec![record(1, search(1), refusal)], vec![execution(1, SNAPSHOT, None)]), 4);
}

#[test]
fn promise_5_action_ran_twice() {
    let unknown = Outcome::Refusal(Refusal::new(ErrorKind::OutcomeUnknown, ""));
    let twice = vec![execution(1, SNAPSHOT, Some("a")), execution(2, SNAPSHOT, Some("a"))];
    assert_flags(&history(vec![record(1, act("a"), unknown)], twice), 5);
}

#[test]
fn promise_6_new_work_at_a_leaving_searcher() {
    let mut late = history(Vec::new(), Vec::new());
    late.leaving_arrivals.push(LeavingArrival { searcher: SearcherId(1), after_ms: LEAVING_GRACE_MS });
    assert_eq!(check_history(&late), Vec::new());
    late.leaving_arrivals.push(LeavingArrival { searcher: SearcherId(1), after_ms: LEAVING_GRACE_MS + 1 });
    assert_flags(&late, 6);
}

#[test]
fn promise_7_planned_stop_that_cuts() {
    let mut cut = history(Vec::new(), Vec::new());
    cut.unclean_stops.push(UncleanStop { requests: 1, sub_requests: 0 });
    assert_flags(&cut, 7);
}

#[test]
fn request_without_a_final_word() {
    let mut silent = history_with_answer(|_| {});
    silent.requests.values_mut().for_each(|record| record.outcomes.clear());
    assert_flags(&silent, 0);
}
