//! Table tests of the retry rule without an engine: whether a request is sent again, to which searchers, and when.

mod common;

use common::answer;
use staircross_routing::decision::retry::{
    NextStep, RequestKind, SearcherReuse, budget_retry_at, may_have_run, may_wait, next_step, promises_not_run,
    reuse_after_not_run,
};
use staircross_routing::state::request::{SendReason, Unknown};
use staircross_routing::{AttemptOutcome, NotRun, RoutingPolicy};
use staircross_types::BootTime;
use std::time::Duration;

const REPEATABLE: RequestKind = RequestKind { is_idempotent: true, is_gather: false };
const GATHER: RequestKind = RequestKind { is_gather: true, ..REPEATABLE };
const NOT_REPEATABLE: RequestKind = RequestKind { is_idempotent: false, ..REPEATABLE };
const RETRY: NextStep = NextStep::SendAgain(SendReason::Retry);
const REROUTE: NextStep = NextStep::SendAgain(SendReason::Reroute);

#[test]
fn an_answer_is_final_if_it_is_a_signed_success_or_another_searcher_would_say_the_same() {
    let rows = [
        // Inputs: status, stamp.
        // Expected: next step for a repeatable request, for a part of a gather, and for a request that may run only
        // once.
        (200, "p", NextStep::AcceptAnswer, NextStep::AcceptAnswer, NextStep::AcceptAnswer),
        (200, "", NextStep::AcceptAnswer, RETRY, NextStep::AcceptAnswer),
        (404, "", NextStep::AcceptAnswer, RETRY, NextStep::AcceptAnswer),
        (404, "p", NextStep::AcceptAnswer, RETRY, NextStep::AcceptAnswer),
        (408, "", RETRY, RETRY, NextStep::NotRepeatable),
        (421, "", RETRY, RETRY, NextStep::NotRepeatable),
        (429, "", RETRY, RETRY, NextStep::NotRepeatable),
        (500, "", RETRY, RETRY, NextStep::NotRepeatable),
        (503, "", RETRY, RETRY, NextStep::NotRepeatable),
    ];
    for (status, stamp, plain, gather, once) in rows {
        let outcome = answer(status, stamp, Vec::new());
        assert!(may_have_run(&outcome), "{status}");
        for (kind, expected) in [(REPEATABLE, plain), (GATHER, gather), (NOT_REPEATABLE, once)] {
            assert_eq!(next_step(&outcome, kind), expected, "{status} {stamp} {kind:?}");
        }
    }
}

#[test]
fn what_may_have_run_is_sent_again_only_if_it_may_run_twice() {
    // Inputs: outcome of an attempt.
    // Expected: whether the attempt may have run, next step for a request that may run twice, and for one that may not.
    let rows = [
        (AttemptOutcome::Unknown(Unknown::Broken), true, RETRY, NextStep::NotRepeatable),
        (AttemptOutcome::Unknown(Unknown::Malformed), true, RETRY, NextStep::NotRepeatable),
        (AttemptOutcome::Unknown(Unknown::Unanswered), true, RETRY, NextStep::NotRepeatable),
        (AttemptOutcome::Unknown(Unknown::TooLong), true, RETRY, NextStep::NotRepeatable),
        (AttemptOutcome::NotRun(NotRun::Unconnected), false, REROUTE, REROUTE),
        (AttemptOutcome::NotRun(NotRun::ConnectionRejected), false, REROUTE, REROUTE),
        (AttemptOutcome::NotRun(NotRun::Stale), false, REROUTE, REROUTE),
        (AttemptOutcome::NotRun(NotRun::Shed), false, RETRY, RETRY),
        (AttemptOutcome::NotRun(NotRun::OtherInstance), false, RETRY, RETRY),
        (AttemptOutcome::Cancelled, false, NextStep::GiveUp, NextStep::GiveUp),
    ];
    for (outcome, ran, plain, once) in rows {
        assert_eq!(may_have_run(&outcome), ran, "{outcome:?}");
        assert_eq!(next_step(&outcome, REPEATABLE), plain, "{outcome:?}");
        assert_eq!(next_step(&outcome, GATHER), plain, "{outcome:?}");
        assert_eq!(next_step(&outcome, NOT_REPEATABLE), once, "{outcome:?}");
    }
}

#[test]
fn a_searcher_that_got_nothing_does_not_count_and_may_be_asked_again() {
    let on = RoutingPolicy::default();
    let off = RoutingPolicy { waiting: false, ..on };
    let rows = [
        // Inputs: reason.
        // Expected: whether the searcher counts as asked, and whether it may be asked again with and without waiting.
        (NotRun::Stale, false, true, true),
        (NotRun::Unconnected, false, true, false),
        (NotRun::ConnectionRejected, false, true, false),
        (NotRun::Shed, true, true, false),
        (NotRun::OtherInstance, true, false, false),
    ];
    for (reason, is_counted, with_waiting, without) in rows {
        for (policy, may_be_asked_again) in [(on, with_waiting), (off, without)] {
            let expected = SearcherReuse { is_counted, may_be_asked_again };
            assert_eq!(reuse_after_not_run(reason, &policy), expected, "{reason:?}");
        }
    }
}

#[test]
fn a_failure_at_hand_is_passed_on_rather_than_kept_unless_it_is_one_part_of_several() {
    // Inputs: whether a searcher's own failure was received, kind of request.
    // Expected: whether a retry that the budget refuses waits for the budget.
    let rows = [(false, REPEATABLE, true), (true, REPEATABLE, false), (false, GATHER, true), (true, GATHER, true)];
    for (has_failure, kind, waits) in rows {
        assert_eq!(may_wait(has_failure, kind), waits, "{has_failure} {kind:?}");
    }
    let (now, on) = (BootTime::from_millis(5_000), RoutingPolicy::default());
    assert_eq!(budget_retry_at(now, &on), Some(now + Duration::from_millis(100)));
    assert_eq!(budget_retry_at(now, &RoutingPolicy { waiting: false, ..on }), None);
}

#[test]
fn four_statuses_promise_that_a_request_did_not_run() {
    let promising: Vec<u16> = (100..600).filter(|status| promises_not_run(*status)).collect();
    assert_eq!(promising, [408, 421, 429, 503]);
}
