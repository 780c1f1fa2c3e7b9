//! Decisions of the root about single searches: coverage, matching of replies, refusals, admission and later plans.

mod common;

use common::root::{Bench, NEW, NODE, OLD, definition, hits, policy};
use staircross_config::ServicePolicy;
use staircross_search::{NotRunReason, Outcome, RootEvent, SubOutcome, SubReply, UnknownReason, Work};
use staircross_types::{
    ErrorKind, Executed, MissingCause, NodeId, RequestId, SearchQuery, SearcherId, ServiceName, ShardHits, ShardId,
};
use std::sync::Arc;

#[test]
fn whole_answer_counts_every_shard_once() {
    let mut bench = Bench::new();
    bench.search();
    for index in 0..bench.sent.len() {
        bench.found(index);
    }
    let answer = bench.last_answer();
    assert_eq!(answer.coverage.included, vec![ShardId(0), ShardId(1)]);
    assert_eq!(answer.matched, 2);
    assert_eq!(answer.snapshot, OLD);
}

#[test]
fn late_shard_is_listed_as_late() {
    let mut bench = Bench::new();
    bench.search();
    let whole = bench.sent[0].clone();
    if whole.shards.len() == 2 {
        bench.answer(0, SubOutcome::Found(vec![hits(ShardId(0))]));
    } else {
        bench.found(0);
    }
    bench.pass(300);
    let answer = bench.last_answer();
    assert_eq!(answer.coverage.included.len(), 1);
    assert_eq!(answer.coverage.missing[0].cause, MissingCause::Late);
}

#[test]
fn omitted_and_foreign_shards_are_not_counted() {
    let mut bench = Bench::new();
    bench.search();
    let asked = bench.sent[0].shards.clone();
    let mut found = vec![hits(asked[0]), hits(ShardId(99))];
    found.push(ShardHits { shard: asked[0], matched: 50, hits: vec![hits(ShardId(98)).hits[0].clone()] });
    bench.answer(0, SubOutcome::Found(found));
    bench.pass(300);
    let answer = bench.last_answer();
    assert!(answer.hits.iter().all(|hit| hit.shard.0 < 2), "{:?}", answer.hits);
    assert_eq!(answer.matched, answer.coverage.included.len() as u64);
}

#[test]
fn reply_from_another_snapshot_is_dropped_and_asked_elsewhere() {
    let mut bench = Bench::new();
    bench.search();
    let first = bench.sent[0].clone();
    let outcome = SubOutcome::Found(first.shards.iter().map(|shard| hits(*shard)).collect());
    let reply = SubReply {
        attempt: first.attempt,
        searcher: first.searcher,
        snapshot: NEW,
        outcome,
        worked: Default::default(),
    };
    let before = bench.sent.len();
    bench.tell(RootEvent::Reply(reply));
    assert!(bench.sent.len() > before, "the other replica is asked");
    assert_eq!(bench.root.counters.foreign_replies, 1);
    for index in 1..bench.sent.len() {
        bench.found(index);
    }
    assert_eq!(bench.last_answer().snapshot, OLD);
}

#[test]
fn crossed_reply_of_another_node_or_request_is_dropped() {
    let mut bench = Bench::new();
    bench.search();
    let mut reply = SubReply {
        attempt: bench.sent[0].attempt,
        searcher: bench.sent[0].searcher,
        snapshot: OLD,
        outcome: SubOutcome::Found(vec![hits(ShardId(0)), hits(ShardId(1))]),
        worked: Default::default(),
    };
    reply.attempt.request.node = NodeId(1234);
    bench.tell(RootEvent::Reply(reply.clone()));
    reply.attempt.request = RequestId { node: NODE, sequence: 4711 };
    bench.tell(RootEvent::Reply(reply));
    assert!(bench.finished.is_empty());
}

#[test]
fn doubled_reply_counts_once() {
    let mut bench = Bench::new();
    bench.search();
    for index in 0..bench.sent.len() {
        bench.found(index);
        bench.found(index);
    }
    assert_eq!(bench.finished.len(), 1);
    assert_eq!(bench.last_answer().matched, 2);
}

#[test]
fn refused_everywhere_is_never_run() {
    let mut bench = Bench::new();
    bench.search();
    let mut index = 0;
    while index < bench.sent.len() {
        bench.answer(index, SubOutcome::NotRun(NotRunReason::Draining));
        index += 1;
    }
    assert_eq!(bench.last_refusal().executed(), Executed::Never);
}

#[test]
fn unknown_outcome_is_never_called_not_run() {
    let mut bench = Bench::new();
    bench.search();
    let mut index = 0;
    while index < bench.sent.len() {
        bench.answer(index, SubOutcome::Unknown(UnknownReason::Broken));
        index += 1;
    }
    assert_eq!(bench.last_refusal().executed(), Executed::Maybe);
}

#[test]
fn hopeless_request_is_refused_before_anything_is_sent() {
    let mut bench = Bench::new();
    bench.view(1, &[]);
    bench.view(2, &[]);
    bench.search();
    assert!(bench.sent.is_empty());
    assert_eq!(bench.last_refusal(), ErrorKind::NoSnapshot);
}

#[test]
fn snapshot_that_vanishes_is_replaced_as_a_whole() {
    let mut bench = Bench::new();
    bench.serve(&[OLD, NEW]);
    bench.search();
    assert!(bench.sent.iter().all(|request| request.snapshot == OLD));
    let first_plan = bench.sent.len();
    bench.view(1, &[NEW]);
    bench.view(2, &[NEW]);
    let mut index = 0;
    while index < bench.sent.len() && bench.sent[index].snapshot == OLD {
        bench.answer(index, SubOutcome::NotRun(NotRunReason::SnapshotGone));
        index += 1;
    }
    assert!(bench.sent[first_plan..].iter().any(|request| request.snapshot == NEW));
    for index in index..bench.sent.len() {
        bench.found(index);
    }
    let answer = bench.last_answer();
    assert_eq!((answer.snapshot, answer.coverage.included.len()), (NEW, 2));
    assert!(answer.sent > answer.needed, "the second plan counts as extra load");
}

/// Guards against refusing a request as never run while sub-requests of an abandoned plan may still be executed.
#[test]
fn abandoned_plan_counts_as_may_have_run() {
    let mut bench = Bench::new();
    let mut split =
        (*definition("split", ServicePolicy { least_coverage_per_mille: 1000, ..policy() }, &[OLD, NEW])).clone();
    for map in &mut split.shard_maps {
        map.shards[0].replicas = vec![SearcherId(1)];
        map.shards[1].replicas = vec![SearcherId(2)];
    }
    bench.tell(RootEvent::Services(vec![Arc::new(split)]));
    bench.submit("split", Work::Search(SearchQuery { terms: Vec::new(), limit: 1, after: None }), None);
    assert_eq!(bench.sent.len(), 2, "one for each searcher");
    bench.view(2, &[OLD, NEW]);
    bench.answer(0, SubOutcome::NotRun(NotRunReason::SnapshotGone));
    assert_eq!(bench.sent.len(), 2, "the new snapshot's coverage is too low");
    assert_eq!(bench.last_refusal().executed(), Executed::Maybe, "the second sub-request was in flight");
}

#[test]
fn service_moves_to_a_new_snapshot_only_when_it_is_covered_as_well() {
    let mut bench = Bench::new();
    bench.serve(&[OLD, NEW]);
    let name = ServiceName::new("s");
    assert_eq!(bench.root.current_snapshot(&name), Some(OLD));
    bench.view(1, &[OLD, NEW]);
    assert_eq!(bench.root.current_snapshot(&name), Some(NEW), "one replica covers all shards");
}

#[test]
fn session_never_sees_an_older_snapshot() {
    let mut bench = Bench::new();
    bench.serve(&[OLD, NEW]);
    bench.view(1, &[OLD, NEW]);
    bench.search();
    let count = bench.sent.len();
    (0..count).for_each(|index| bench.found(index));
    assert_eq!(bench.last_answer().snapshot, NEW);
    bench.view(1, &[OLD]);
    bench.search();
    assert_eq!(bench.last_refusal(), ErrorKind::NoSnapshot);
}

#[test]
fn shed_replies_are_not_answered_by_retries() {
    let mut bench = Bench::new();
    bench.search();
    let first = bench.sent.len();
    for index in 0..first {
        bench.answer(index, SubOutcome::NotRun(NotRunReason::Shed));
    }
    assert_eq!(bench.sent.len(), first);
    assert_eq!(bench.last_refusal(), ErrorKind::NotDelivered);
}

#[test]
fn admission_refuses_early_when_sheds_have_shrunk_the_limit() {
    let mut bench = Bench::new();
    let mut refused = false;
    for _ in 0..400 {
        bench.search();
        refused |= matches!(bench.finished.last(), Some((_, Outcome::Refusal(r))) if r.kind == ErrorKind::Overloaded);
        if refused {
            break;
        }
    }
    assert!(refused, "requests in flight are bounded");
}
