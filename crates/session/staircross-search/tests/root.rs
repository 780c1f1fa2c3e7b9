//! Decisions of the root about single searches: coverage, matching of replies, refusals, admission and later plans.

mod common;

use common::root::{NEW, NODE, OLD, RootFixture, definition, hits, policy};
use staircross_config::ServicePolicy;
use staircross_search::{NotRunReason, Outcome, RootEvent, SubOutcome, SubReply, UnknownReason, Work};
use staircross_types::{
    ErrorKind, Executed, MissingCause, NodeId, RequestId, SearchQuery, SearcherId, ServiceName, ShardHits, ShardId,
};
use std::sync::Arc;

#[test]
fn whole_answer_counts_every_shard_once() {
    let mut fixture = RootFixture::new();
    fixture.submit_search();
    for index in 0..fixture.sent.len() {
        fixture.answer_with_hits(index);
    }
    let answer = fixture.last_answer();
    assert_eq!(answer.coverage.included, vec![ShardId(0), ShardId(1)]);
    assert_eq!(answer.matched, 2);
    assert_eq!(answer.snapshot, OLD);
}

#[test]
fn late_shard_is_listed_as_late() {
    let mut fixture = RootFixture::new();
    fixture.submit_search();
    let whole = fixture.sent[0].clone();
    if whole.shards.len() == 2 {
        fixture.answer(0, SubOutcome::Found(vec![hits(ShardId(0))]));
    } else {
        fixture.answer_with_hits(0);
    }
    fixture.advance(300);
    let answer = fixture.last_answer();
    assert_eq!(answer.coverage.included.len(), 1);
    assert_eq!(answer.coverage.missing[0].cause, MissingCause::Late);
}

#[test]
fn omitted_and_foreign_shards_are_not_counted() {
    let mut fixture = RootFixture::new();
    fixture.submit_search();
    let asked = fixture.sent[0].shards.clone();
    let mut found = vec![hits(asked[0]), hits(ShardId(99))];
    found.push(ShardHits { shard: asked[0], matched: 50, hits: vec![hits(ShardId(98)).hits[0].clone()] });
    fixture.answer(0, SubOutcome::Found(found));
    fixture.advance(300);
    let answer = fixture.last_answer();
    assert!(answer.hits.iter().all(|hit| hit.shard.0 < 2), "{:?}", answer.hits);
    assert_eq!(answer.matched, answer.coverage.included.len() as u64);
}

#[test]
fn reply_from_another_snapshot_is_dropped_and_asked_elsewhere() {
    let mut fixture = RootFixture::new();
    fixture.submit_search();
    let first = fixture.sent[0].clone();
    let outcome = SubOutcome::Found(first.shards.iter().map(|shard| hits(*shard)).collect());
    let reply = SubReply {
        attempt: first.attempt,
        searcher: first.searcher,
        snapshot: NEW,
        outcome,
        worked: Default::default(),
    };
    let before = fixture.sent.len();
    fixture.send_event(RootEvent::Reply(reply));
    assert!(fixture.sent.len() > before, "the other replica is asked");
    assert_eq!(fixture.root.counters.foreign_replies, 1);
    for index in 1..fixture.sent.len() {
        fixture.answer_with_hits(index);
    }
    assert_eq!(fixture.last_answer().snapshot, OLD);
}

#[test]
fn crossed_reply_of_another_node_or_request_is_dropped() {
    let mut fixture = RootFixture::new();
    fixture.submit_search();
    let mut reply = SubReply {
        attempt: fixture.sent[0].attempt,
        searcher: fixture.sent[0].searcher,
        snapshot: OLD,
        outcome: SubOutcome::Found(vec![hits(ShardId(0)), hits(ShardId(1))]),
        worked: Default::default(),
    };
    reply.attempt.request.node = NodeId(1234);
    fixture.send_event(RootEvent::Reply(reply.clone()));
    reply.attempt.request = RequestId { node: NODE, sequence: 4711 };
    fixture.send_event(RootEvent::Reply(reply));
    assert!(fixture.finished.is_empty());
}

#[test]
fn doubled_reply_counts_once() {
    let mut fixture = RootFixture::new();
    fixture.submit_search();
    for index in 0..fixture.sent.len() {
        fixture.answer_with_hits(index);
        fixture.answer_with_hits(index);
    }
    assert_eq!(fixture.finished.len(), 1);
    assert_eq!(fixture.last_answer().matched, 2);
}

#[test]
fn refused_everywhere_is_never_run() {
    let mut fixture = RootFixture::new();
    fixture.submit_search();
    let mut index = 0;
    while index < fixture.sent.len() {
        fixture.answer(index, SubOutcome::NotRun(NotRunReason::Draining));
        index += 1;
    }
    assert_eq!(fixture.last_refusal().executed(), Executed::Never);
}

#[test]
fn unknown_outcome_is_never_called_not_run() {
    let mut fixture = RootFixture::new();
    fixture.submit_search();
    let mut index = 0;
    while index < fixture.sent.len() {
        fixture.answer(index, SubOutcome::Unknown(UnknownReason::Broken));
        index += 1;
    }
    assert_eq!(fixture.last_refusal().executed(), Executed::Maybe);
}

#[test]
fn hopeless_request_is_refused_before_anything_is_sent() {
    let mut fixture = RootFixture::new();
    fixture.report_snapshots(1, &[]);
    fixture.report_snapshots(2, &[]);
    fixture.submit_search();
    assert!(fixture.sent.is_empty());
    assert_eq!(fixture.last_refusal(), ErrorKind::NoSnapshot);
}

#[test]
fn snapshot_that_vanishes_is_replaced_as_a_whole() {
    let mut fixture = RootFixture::new();
    fixture.define_services(&[OLD, NEW]);
    fixture.submit_search();
    assert!(fixture.sent.iter().all(|request| request.snapshot == OLD));
    let first_plan = fixture.sent.len();
    fixture.report_snapshots(1, &[NEW]);
    fixture.report_snapshots(2, &[NEW]);
    let mut index = 0;
    while index < fixture.sent.len() && fixture.sent[index].snapshot == OLD {
        fixture.answer(index, SubOutcome::NotRun(NotRunReason::SnapshotGone));
        index += 1;
    }
    assert!(fixture.sent[first_plan..].iter().any(|request| request.snapshot == NEW));
    for index in index..fixture.sent.len() {
        fixture.answer_with_hits(index);
    }
    let answer = fixture.last_answer();
    assert_eq!((answer.snapshot, answer.coverage.included.len()), (NEW, 2));
    assert!(answer.sent > answer.needed, "the second plan counts as extra load");
}

/// Guards against refusing a request as never run while sub-requests of an abandoned plan may still be executed.
#[test]
fn abandoned_plan_counts_as_may_have_run() {
    let mut fixture = RootFixture::new();
    let mut split =
        (*definition("split", ServicePolicy { least_coverage_per_mille: 1000, ..policy() }, &[OLD, NEW])).clone();
    for map in &mut split.shard_maps {
        map.shards[0].replicas = vec![SearcherId(1)];
        map.shards[1].replicas = vec![SearcherId(2)];
    }
    fixture.send_event(RootEvent::Services(vec![Arc::new(split)]));
    fixture.submit("split", Work::Search(SearchQuery { terms: Vec::new(), limit: 1, after: None }), None);
    assert_eq!(fixture.sent.len(), 2, "one for each searcher");
    fixture.report_snapshots(2, &[OLD, NEW]);
    fixture.answer(0, SubOutcome::NotRun(NotRunReason::SnapshotGone));
    assert_eq!(fixture.sent.len(), 2, "the new snapshot's coverage is too low");
    assert_eq!(fixture.last_refusal().executed(), Executed::Maybe, "the second sub-request was in flight");
}

#[test]
fn service_moves_to_a_new_snapshot_only_when_it_is_covered_as_well() {
    let mut fixture = RootFixture::new();
    fixture.define_services(&[OLD, NEW]);
    let name = ServiceName::new("s");
    assert_eq!(fixture.root.current_snapshot(&name), Some(OLD));
    fixture.report_snapshots(1, &[OLD, NEW]);
    assert_eq!(fixture.root.current_snapshot(&name), Some(NEW), "one replica covers all shards");
}

#[test]
fn session_never_sees_an_older_snapshot() {
    let mut fixture = RootFixture::new();
    fixture.define_services(&[OLD, NEW]);
    fixture.report_snapshots(1, &[OLD, NEW]);
    fixture.submit_search();
    let count = fixture.sent.len();
    (0..count).for_each(|index| fixture.answer_with_hits(index));
    assert_eq!(fixture.last_answer().snapshot, NEW);
    fixture.report_snapshots(1, &[OLD]);
    fixture.submit_search();
    assert_eq!(fixture.last_refusal(), ErrorKind::NoSnapshot);
}

#[test]
fn shed_replies_are_not_answered_by_retries() {
    let mut fixture = RootFixture::new();
    fixture.submit_search();
    let first = fixture.sent.len();
    for index in 0..first {
        fixture.answer(index, SubOutcome::NotRun(NotRunReason::Shed));
    }
    assert_eq!(fixture.sent.len(), first);
    assert_eq!(fixture.last_refusal(), ErrorKind::NotDelivered);
}

#[test]
fn admission_refuses_early_when_sheds_have_shrunk_the_limit() {
    let mut fixture = RootFixture::new();
    let mut refused = false;
    for _ in 0..400 {
        fixture.submit_search();
        refused |= matches!(fixture.finished.last(), Some((_, Outcome::Refusal(r))) if r.kind == ErrorKind::Overloaded);
        if refused {
            break;
        }
    }
    assert!(refused, "requests in flight are bounded");
}
