//! The oracle checks the history of a simulation: it compares every outcome with the work that searchers executed.
//!
//! The promises, by their numbers:
//!
//! - 0: Every request gets an outcome, unless the node that holds it crashes. Any system must keep this promise.
//! - 1: An answer comes from one published snapshot, and each included shard ran at that snapshot for that request.
//!   Within a session no later request sees an older snapshot.
//! - 2: The coverage lists every shard of the snapshot exactly once, as included or missing. The hits and the count
//!   come from the included shards alone.
//! - 3: A request gets at most one outcome, and only the outcome of its own work.
//! - 4: A request that was refused as never executed did not run anywhere.
//! - 5: An action runs at most once, however often the caller sends it.
//! - 6: A searcher gets no new work more than [`LEAVING_GRACE_MS`] after it began to leave.
//! - 7: A planned stop of a node interrupts no request and no sub-request.
//!
//! Simulated data makes each check a plain comparison. The id of a hit is `snapshot/shard/term`, every shard matches
//! exactly one document, the first term of a search is unique to the request, and the note of an action is unique to
//! the caller's intent. The checks are kept simple on purpose and can be read from top to bottom.

use super::records::{History, RequestRecord};
use staircross_search::{Answer, Outcome, Work};
use staircross_types::{Executed, Hit, RequestId, ShardId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A broken promise. The module documentation lists the promises by number.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Number of the promise.
    pub promise: u8,
    /// Description of the observation that breaks the promise.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "promise {}: {}", self.promise, self.what)
    }
}

/// Time after a searcher begins to leave during which it may still get new work.
pub const LEAVING_GRACE_MS: u64 = 4000;

/// Checks a history and returns all violations.
pub fn check_history(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in history.requests.values() {
        check_single_outcome(history, record, &mut violations);
        for (_, outcome) in &record.outcomes {
            match outcome {
                Outcome::Answer(answer) => check_answer(history, record, answer, &mut violations),
                Outcome::Acted(_) => check_receipt(history, record, &mut violations),
                Outcome::Refusal(refusal) if refusal.kind.executed() == Executed::Never => {
                    check_not_executed(history, record, &mut violations);
                }
                Outcome::Refusal(_) => {}
            }
        }
    }
    check_at_most_once(history, &mut violations);
    check_snapshot_order(history, &mut violations);
    for arrival in history.leaving_arrivals.iter().filter(|arrival| arrival.after_ms > LEAVING_GRACE_MS) {
        let what =
            format!("searcher {} got new work {} ms after it began to leave", arrival.searcher, arrival.after_ms);
        violations.push(Violation { promise: 6, what });
    }
    for stop in &history.unclean_stops {
        let what =
            format!("a planned stop interrupted {} requests and {} sub-requests", stop.requests, stop.sub_requests);
        violations.push(Violation { promise: 7, what });
    }
    if history.unmatched_outcomes > 0 {
        let what = format!("{} outcomes for requests that no caller made", history.unmatched_outcomes);
        violations.push(Violation { promise: 3, what });
    }
    violations
}

fn check_single_outcome(history: &History, record: &RequestRecord, violations: &mut Vec<Violation>) {
    let request = record.request;
    if record.outcomes.len() > 1 {
        violations
            .push(Violation { promise: 3, what: format!("request {request} got {} outcomes", record.outcomes.len()) });
    }
    let is_overdue = record.outcomes.is_empty() && !record.node_crashed && history.ended_at > record.outcome_due;
    if is_overdue {
        violations.push(Violation { promise: 0, what: format!("request {request} got no outcome") });
    }
}

fn check_answer(history: &History, record: &RequestRecord, answer: &Answer, violations: &mut Vec<Violation>) {
    let request = record.request;
    let mut flag =
        |promise: u8, what: String| violations.push(Violation { promise, what: format!("request {request}: {what}") });
    let Work::Search(query) = &record.work else {
        flag(3, "an action got a search answer".to_owned());
        return;
    };

    // Promise 2: the included and the missing shards together are the shards of the snapshot, each listed once.
    let Some(map) = history.maps.get(&(record.service.clone(), answer.snapshot)) else {
        flag(1, format!("snapshot {} was never published", answer.snapshot));
        return;
    };
    let expected: Vec<ShardId> = map.shards.iter().map(|placement| placement.shard).collect();
    let mut listed: Vec<ShardId> = answer.coverage.included.clone();
    listed.extend(answer.coverage.missing.iter().map(|missing| missing.shard));
    listed.sort_unstable();
    if listed != expected {
        flag(2, format!("coverage lists {listed:?}, the snapshot has {expected:?}"));
    }
    if answer.matched != answer.coverage.included.len() as u64 {
        flag(2, format!("{} documents for {} included shards", answer.matched, answer.coverage.included.len()));
    }

    // Promises 1, 2 and 3: every hit comes from the answer's snapshot, from an included shard and from this request.
    let own_term = query.terms.first().cloned().unwrap_or_default();
    let mut seen = BTreeSet::new();
    for hit in &answer.hits {
        let expected = document_id(&answer.snapshot.to_string(), hit.shard, &own_term);
        if hit.document != expected {
            let (promise, kind) =
                if hit.document.ends_with(&format!("/{own_term}")) { (1, "snapshot") } else { (3, "request") };
            flag(promise, format!("hit {} belongs to another {kind}, expected {expected}", hit.document));
        }
        if !seen.insert(hit.shard) || !answer.coverage.included.contains(&hit.shard) {
            flag(2, format!("shard {} has several hits or is not included", hit.shard));
        }
    }
    if seen.len() != answer.coverage.included.len() {
        flag(2, format!("{} shards included but {} with hits", answer.coverage.included.len(), seen.len()));
    }

    // Promise 1: the history has an execution of each included shard for this request at that snapshot.
    let executed_shards: BTreeSet<ShardId> = executions_of(history, request)
        .filter(|execution| execution.snapshot == answer.snapshot)
        .flat_map(|execution| execution.shards.iter().copied())
        .collect();
    for shard in answer.coverage.included.iter().filter(|shard| !executed_shards.contains(shard)) {
        flag(1, format!("shard {shard} is included but did not run at snapshot {}", answer.snapshot));
    }
}

fn check_receipt(history: &History, record: &RequestRecord, violations: &mut Vec<Violation>) {
    let Work::Act(command) = &record.work else {
        violations.push(Violation {
            promise: 3,
            what: format!("request {}: a search got the receipt of an action", record.request),
        });
        return;
    };
    let was_executed = history.executions.iter().any(|execution| execution.note.as_ref() == Some(&command.note));
    if !was_executed {
        violations.push(Violation {
            promise: 3,
            what: format!("request {}: got a receipt for an action that did not run", record.request),
        });
    }
}

fn check_not_executed(history: &History, record: &RequestRecord, violations: &mut Vec<Violation>) {
    if let Some(execution) = executions_of(history, record.request).next() {
        let what = format!(
            "request {} was refused as never executed but ran at searcher {}",
            record.request, execution.searcher
        );
        violations.push(Violation { promise: 4, what });
    }
}

fn check_at_most_once(history: &History, violations: &mut Vec<Violation>) {
    let mut counts: BTreeMap<&String, usize> = BTreeMap::new();
    for note in history.executions.iter().filter_map(|execution| execution.note.as_ref()) {
        *counts.entry(note).or_default() += 1;
    }
    for (note, count) in counts.into_iter().filter(|(_, count)| *count > 1) {
        violations.push(Violation { promise: 5, what: format!("action {note} ran {count} times") });
    }
}

/// Checks that no request sees an older snapshot than an answer that its session got before the request was made.
fn check_snapshot_order(history: &History, violations: &mut Vec<Violation>) {
    let answers: Vec<(&RequestRecord, staircross_types::BootTime, &Answer)> = history
        .requests
        .values()
        .flat_map(|record| {
            record.outcomes.iter().filter_map(move |(at, outcome)| match outcome {
                Outcome::Answer(answer) => Some((record, *at, &**answer)),
                _ => None,
            })
        })
        .collect();
    for (later, _, newer) in &answers {
        let before = answers.iter().filter(|(earlier, at, _)| {
            earlier.session == later.session && earlier.service == later.service && *at < later.submitted_at
        });
        for (earlier, _, older) in before {
            if newer.snapshot < older.snapshot {
                let what = format!(
                    "request {} saw snapshot {} after request {} of the session had seen {}",
                    later.request, newer.snapshot, earlier.request, older.snapshot
                );
                violations.push(Violation { promise: 1, what });
            }
        }
    }
}

fn executions_of(history: &History, request: RequestId) -> impl Iterator<Item = &super::records::ExecutionRecord> {
    history.executions.iter().filter(move |execution| execution.attempt.request == request)
}

/// Returns the id of the one document of a simulated shard that matches a search.
pub fn document_id(snapshot: &str, shard: ShardId, term: &str) -> String {
    format!("{snapshot}/{shard}/{term}")
}

/// Returns the one hit of a simulated shard.
pub fn simulated_hit(snapshot: &str, shard: ShardId, term: &str) -> Hit {
    Hit { document: document_id(snapshot, shard, term), shard, score: 1.0, title: String::new() }
}
