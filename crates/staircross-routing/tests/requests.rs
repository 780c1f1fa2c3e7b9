//! Requests to one service: routing by path, at-most-once execution, retries, refusals, and the answers that are passed
//! on to the caller.

mod common;

use common::requests::{repeatable, service_route, three_searchers, unrepeatable};
use common::{Driver, answer, definition, searcher};
use staircross_routing::engine::{SendReason, UnsentCause};
use staircross_routing::state::request::Unknown;
use staircross_routing::{AttemptKey, AttemptOutcome, NotRun, RequestKey, RequestOutcome};
use staircross_types::ErrorKind;
use staircross_types::errors::Executed;
use std::collections::BTreeSet;
use std::sync::Arc;

#[test]
fn an_unknown_path_has_no_route_and_the_longest_prefix_wins() {
    let mut deep_route = service_route("r/deep", "deep");
    deep_route.path_prefix = Arc::from("/r/deep/");
    let routes = vec![service_route("r", "books"), deep_route];
    let mut searchers = three_searchers();
    searchers.push(searcher("d1", "deep", "a"));
    let mut driver = Driver::with(definition(1, routes, &["books", "deep"]), searchers);
    let unrouted = driver.request("/elsewhere/1");
    assert_eq!(driver.refusal(unrouted), Some(ErrorKind::NoRoute));
    let deep = driver.request("/r/deep/1");
    assert_eq!(driver.instances(deep), ["d1"]);
}

#[test]
fn an_answer_is_passed_on_as_it_is() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    assert_eq!(driver.instances(request), ["s1"], "the searcher in the node's own zone is asked");
    let attempt = driver.sends[0].attempt;
    driver.advance_ms(20);
    driver.end(attempt, answer(200, "stamp", b"body".to_vec()));
    let Some(RequestOutcome::Passed(passed)) = driver.outcome(request) else {
        panic!("expected an answer, got {:?}", driver.outcome(request));
    };
    assert_eq!((passed.status, passed.body.as_slice()), (200, &b"body"[..]));
}

#[test]
fn a_lost_answer_of_a_repeatable_request_is_asked_for_elsewhere_and_at_most_twice() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::Unknown(Unknown::Broken));
    assert_eq!(driver.instances(request).len(), 2);
    assert_ne!(driver.instances(request)[0], driver.instances(request)[1]);
    driver.end(driver.sends[1].attempt, AttemptOutcome::Unknown(Unknown::Broken));
    assert_eq!(driver.sent_for(request).len(), 2, "max_attempts is 2");
    assert_eq!(driver.refusal(request), Some(ErrorKind::BackEndsFailed));
}

#[test]
fn an_unrepeatable_request_that_may_have_run_is_never_sent_again() {
    let mut driver = unrepeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::Unknown(Unknown::Broken));
    assert_eq!(driver.sent_for(request).len(), 1);
    assert_eq!(driver.refusal(request), Some(ErrorKind::BackEndsFailed));
    assert_eq!(ErrorKind::BackEndsFailed.http_status(), 502, "status 502 doesn't promise that the request did not run");
}

#[test]
fn an_unrepeatable_request_is_never_hedged() {
    let mut driver = unrepeatable();
    let request = driver.request("/r/1");
    driver.advance_ms(3500);
    assert_eq!(driver.sent_for(request).len(), 1);
}

/// Ends every open attempt of a request as shed until the engine refuses the request, and returns the kind of the
/// refusal. Fails if the request isn't refused within its timeout, or if it wasn't sent to exactly two searchers.
fn shed_until_refused(driver: &mut Driver, request: RequestKey) -> ErrorKind {
    let mut ended = driver.sent_for(request).len() - 1;
    for _ in 0..400 {
        if let Some(kind) = driver.refusal(request) {
            let instances: BTreeSet<String> = driver.instances(request).into_iter().collect();
            assert_eq!(instances.len(), 2, "as many searchers are asked as attempts are allowed: {instances:?}");
            return kind;
        }
        let open: Vec<AttemptKey> = driver.sent_for(request).iter().skip(ended).map(|order| order.attempt).collect();
        ended += open.len();
        for attempt in open {
            driver.end(attempt, AttemptOutcome::NotRun(NotRun::Shed));
        }
        driver.advance_ms(10);
    }
    panic!("the request was held past its timeout");
}

#[test]
fn an_unrepeatable_request_that_was_turned_away_goes_elsewhere() {
    let mut driver = unrepeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::NotRun(NotRun::Shed));
    assert_eq!(driver.reasons(request), [SendReason::First, SendReason::Retry]);
    let kind = shed_until_refused(&mut driver, request);
    assert_eq!(kind.executed(), Executed::Never, "{kind}: no attempt has run");
}

#[test]
fn a_refusal_after_an_unknown_end_makes_no_promise() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::Unknown(Unknown::Broken));
    let kind = shed_until_refused(&mut driver, request);
    assert!(!matches!(kind.http_status(), 408 | 421 | 429 | 503), "{kind} promises that the request did not run");
}

#[test]
fn a_connection_that_does_not_come_up_costs_no_attempt_and_no_budget() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::NotRun(NotRun::Unconnected));
    driver.end(driver.sends[1].attempt, AttemptOutcome::NotRun(NotRun::Unconnected));
    assert_eq!(driver.reasons(request), [SendReason::First, SendReason::Reroute, SendReason::Reroute]);
    driver.end(driver.sends[2].attempt, answer(200, "stamp", Vec::new()));
    assert!(matches!(driver.outcome(request), Some(RequestOutcome::Passed(_))));
}

#[test]
fn a_kept_connection_that_had_ended_costs_nothing_and_bars_nobody() {
    let searchers = vec![searcher("i-1", "one", "a")];
    let mut once_only_route = service_route("r", "one");
    once_only_route.is_idempotent = false;
    let mut driver = Driver::with(definition(1, vec![once_only_route], &["one"]), searchers);
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::NotRun(NotRun::Stale));
    driver.end(driver.sends[1].attempt, AttemptOutcome::NotRun(NotRun::Stale));
    assert_eq!(driver.reasons(request), [SendReason::First, SendReason::Reroute, SendReason::Reroute]);
    driver.end(driver.sends[2].attempt, answer(200, "stamp", Vec::new()));
    assert!(matches!(driver.outcome(request), Some(RequestOutcome::Passed(_))));
}

#[test]
fn a_searchers_failure_is_tried_elsewhere_then_passed_on_with_its_own_status() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, answer(500, "one", b"first".to_vec()));
    driver.end(driver.sends[1].attempt, answer(500, "two", b"second".to_vec()));
    let Some(RequestOutcome::Passed(passed)) = driver.outcome(request) else {
        panic!("expected the searcher's failure, got {:?}", driver.outcome(request));
    };
    assert_eq!((passed.status, passed.stamp.as_deref()), (500, Some(&b"two"[..])));
}

#[test]
fn a_searchers_503_that_ran_is_not_passed_on_as_a_promise() {
    let mut driver = unrepeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, answer(503, "one", Vec::new()));
    assert_eq!(driver.refusal(request), Some(ErrorKind::BackEndsFailed));
}

#[test]
fn a_searchers_word_on_the_request_itself_is_final() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, answer(404, "one", Vec::new()));
    assert_eq!(driver.sent_for(request).len(), 1);
    assert!(matches!(driver.outcome(request), Some(RequestOutcome::Passed(passed)) if passed.status == 404));
}

#[test]
fn a_failure_that_is_not_tried_again_says_why() {
    let mut driver = unrepeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::Unknown(Unknown::Broken));
    assert_eq!(
        driver.refusal(request),
        Some(ErrorKind::BackEndsFailed),
        "the request may have run, and its deadline hasn't passed"
    );
    assert_eq!(driver.sent_for(request).len(), 1);
    assert_eq!(driver.unsent, [(request, UnsentCause::NotRepeatable)]);

    let mut driver = repeatable();
    let request = driver.request("/r/1");
    for number in 0..2 {
        driver.end(driver.sends[number].attempt, AttemptOutcome::Unknown(Unknown::Broken));
    }
    assert_eq!(driver.refusal(request), Some(ErrorKind::BackEndsFailed), "the route allows two attempts");
    assert_eq!(driver.unsent, [(request, UnsentCause::MaxAttempts)]);
}
