//! Searchers that report a slow host: other searchers are preferred until the report is outdated.

mod common;

use common::{Driver, answer, definition, gather, records, route, searcher};
use staircross_routing::engine::SendReason;
use staircross_routing::{AttemptOutcome, ReportedLoad, RouteTarget, SearcherAnswer, SearcherReport};
use std::sync::Arc;

/// Returns an answer that reports that the host's work takes `percent` of the usual time.
fn answer_with_report(percent: u32) -> AttemptOutcome {
    let load = ReportedLoad { running: 1, waiting: 0, slots: 5, host_slowness: Some(percent) };
    let report = SearcherReport { load: Some(load), ..SearcherReport::default() };
    let AttemptOutcome::Answered(plain) = answer(200, "p", records(&[1])) else {
        unreachable!("`answer` returns an answer");
    };
    AttemptOutcome::Answered(Box::new(SearcherAnswer { report, ..*plain }))
}

/// Returns the searcher that gets the next request, `wait_ms` after `a1` reported that its host's work takes `percent`
/// of the usual time.
fn searcher_after_report(percent: u32, wait_ms: u64) -> String {
    let routes = vec![route("g", gather(&["x"], 1, 1.0))];
    // `b1` is in another zone, so `a1` is preferred as long as it has reported nothing.
    let searchers = vec![searcher("a1", "x", "a"), searcher("b1", "x", "b")];
    let mut driver = Driver::with(definition(1, routes, &["x"]), searchers);
    let first = driver.request("/g/1");
    assert_eq!(driver.instances(first), ["a1"]);
    let attempt = driver.sends[0].attempt;
    driver.advance_ms(5);
    driver.end(attempt, answer_with_report(percent));
    driver.advance_ms(wait_ms);
    let next = driver.request("/g/2");
    driver.instances(next)[0].clone()
}

#[test]
fn a_searcher_whose_host_is_slow_at_the_moment_is_passed_over_for_a_moment() {
    assert_eq!(searcher_after_report(100, 0), "a1");
    assert_eq!(searcher_after_report(400, 0), "b1");
    assert_eq!(searcher_after_report(400, 3000), "a1", "the report is outdated");
    assert_eq!(searcher_after_report(10, 0), "a1", "a report of a fast host has no effect");
}

#[test]
fn a_report_of_a_slow_host_never_leaves_a_shard_without_anybody() {
    let routes = vec![route("s", RouteTarget::Service(Arc::from("x")))];
    let mut driver = Driver::with(definition(1, routes, &["x"]), vec![searcher("a1", "x", "a")]);
    for number in 0..20 {
        let request = driver.request(&format!("/s/{number}"));
        assert_eq!(driver.reasons(request), [SendReason::First]);
        let attempt = driver.sends[driver.sends.len() - 1].attempt;
        driver.advance_ms(5);
        driver.end(attempt, answer_with_report(u32::MAX));
    }
}
