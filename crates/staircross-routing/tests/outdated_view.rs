//! Requests at a node that stood still, until it knows what has changed meanwhile.

mod common;

use common::{Driver, answer, definition, route, searcher};
use staircross_routing::engine::{HoldCause, RoutingEvent, SendReason, UnsentCause};
use staircross_routing::state::request::Unknown;
use staircross_routing::{AttemptOutcome, NotRun, RouteTarget, RoutingDefinition, SearcherEntry};
use staircross_types::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time for which a request is held, in milliseconds.
const HOLD_MS: u64 = 500;

/// Returns a configuration whose route `r` goes to the service.
fn routed_to(version: u64, service: &str) -> RoutingDefinition {
    definition(version, vec![route("r", RouteTarget::Service(Arc::from(service)))], &["old", "new"])
}

fn driver() -> Driver {
    Driver::with(
        routed_to(1, "old"),
        vec![searcher("s-1", "old", "a"), searcher("s-2", "old", "a"), searcher("s-3", "new", "a")],
    )
}

fn set_outdated(driver: &mut Driver, is_outdated: bool) {
    driver.event(RoutingEvent::View { is_outdated });
}

fn draining(instance: &str) -> SearcherEntry {
    SearcherEntry { is_draining: true, ..searcher(instance, "old", "a") }
}

/// Guards against requests that are sent by a configuration which was superseded while the process stood still.
#[test]
fn a_request_waits_for_the_configuration_that_came_meanwhile() {
    let mut driver = driver();
    set_outdated(&mut driver, true);
    let request = driver.request("/r/1");
    assert_eq!(driver.held, [(request, HoldCause::OutdatedView)]);
    driver.configure(routed_to(2, "new"));
    assert!(driver.sends.is_empty(), "more may have changed");
    set_outdated(&mut driver, false);
    assert_eq!(driver.sent_for(request).len(), 1);
    assert_eq!(&*driver.sends[0].instance, "s-3");
}

/// Guards against a 404 for a route that was added while the process stood still.
#[test]
fn an_unknown_route_is_not_denied_by_an_outdated_view() {
    let mut driver = driver();
    set_outdated(&mut driver, true);
    let request = driver.request("/added/1");
    assert_eq!(driver.outcome(request), None);
    driver.advance_ms(HOLD_MS);
    assert_eq!(driver.refusal(request), Some(ErrorKind::Unconfirmed));
    assert_eq!(ErrorKind::Unconfirmed.http_status(), 503);
    assert!(driver.sends.is_empty());
}

/// Guards against requests that wait for a node which would refuse them anyway.
#[test]
fn an_overloaded_node_refuses_at_once_instead_of_holding() {
    let mut driver = driver();
    set_outdated(&mut driver, true);
    let mut arrival = driver.arrival("/r/1");
    arrival.is_overloaded = true;
    let request = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    assert_eq!(driver.refusal(request), Some(ErrorKind::Overloaded));
}

/// Guards against retries to a searcher that began to drain while the process stood still.
#[test]
fn a_retry_waits_until_it_is_known_which_searchers_have_left() {
    let mut driver = driver();
    driver.event(RoutingEvent::Searchers(vec![searcher("s-4", "old", "a")]));
    let request = driver.request("/r/1");
    let first = driver.sends[0].clone();
    let others = ["s-1", "s-2", "s-4"].into_iter().filter(|instance| **instance != *first.instance);
    let [leaving, staying] = others.collect::<Vec<_>>()[..] else { panic!("three searchers") };
    set_outdated(&mut driver, true);
    driver.end(first.attempt, AttemptOutcome::NotRun(NotRun::Shed));
    assert_eq!(driver.unsent, [(request, UnsentCause::OutdatedView)]);
    driver.event(RoutingEvent::Searchers(vec![draining(leaving)]));
    set_outdated(&mut driver, false);
    assert_eq!(driver.sends.len(), 2);
    assert_eq!(&*driver.sends[1].instance, staying);
}

/// Guards against requests that fail because a retry was due while the view was outdated.
#[test]
fn a_retry_is_sent_once_the_view_is_current() {
    let mut driver = driver();
    let request = driver.request("/r/1");
    let first = driver.sends[0].clone();
    set_outdated(&mut driver, true);
    driver.end(first.attempt, AttemptOutcome::NotRun(NotRun::Shed));
    set_outdated(&mut driver, false);
    let sent = driver.sent_for(request);
    assert_eq!(sent.len(), 2);
    assert_eq!(sent[1].reason, SendReason::Retry);
    let attempt = sent[1].attempt;
    driver.end(attempt, answer(200, "stamp", Vec::new()));
    assert_eq!(driver.finished.len(), 1);
}

/// Guards against attempts that were waiting for a connection when the process stood still, and are sent to a searcher
/// that has left meanwhile.
#[test]
fn an_attempt_that_was_not_sent_is_taken_back_and_sent_by_the_current_view() {
    let mut driver = driver();
    let request = driver.request("/r/1");
    let first = driver.sends[0].clone();
    set_outdated(&mut driver, true);
    assert_eq!(driver.recalled, [first.attempt]);
    driver.end(first.attempt, AttemptOutcome::Cancelled);
    driver.event(RoutingEvent::Searchers(vec![draining(&first.instance)]));
    assert_eq!(driver.outcome(request), None);
    set_outdated(&mut driver, false);
    let sent = driver.sent_for(request);
    assert_eq!(sent.len(), 2);
    assert_ne!(sent[1].instance, first.instance);
    assert_eq!(sent[1].reason, SendReason::Reroute, "nothing was sent, so nothing is paid");
}

/// Guards against an answer that is lost because the view became outdated while it was on its way.
#[test]
fn an_answer_to_an_attempt_that_was_sent_is_passed_on() {
    let mut driver = driver();
    driver.request("/r/1");
    let attempt = driver.sends[0].attempt;
    set_outdated(&mut driver, true);
    driver.end(attempt, answer(200, "stamp", Vec::new()));
    assert_eq!(driver.finished.len(), 1);
}

/// Guards against shards that go on waiting behind one that can't be sent, though nothing else tries them again.
#[test]
fn a_shard_that_is_given_up_doesnt_block_those_behind_it() {
    let mut driver = driver();
    let (first, second) = (driver.request("/r/1"), driver.request("/r/2"));
    let (one, two) = (driver.sent_for(first)[0].clone(), driver.sent_for(second)[0].clone());
    let other = if &*one.instance == "s-1" { "s-2" } else { "s-1" };
    set_outdated(&mut driver, true);
    driver.end(one.attempt, AttemptOutcome::Unknown(Unknown::Broken));
    driver.end(two.attempt, AttemptOutcome::Cancelled);
    driver.event(RoutingEvent::Searchers(vec![draining(other)]));
    set_outdated(&mut driver, false);
    assert_eq!(driver.sent_for(second).len(), 2);
}

/// Guards against recordings that don't replay: requests that end together end in a fixed order.
#[test]
fn a_stop_that_is_over_already_ends_requests_in_the_order_of_their_keys() {
    let mut driver = driver();
    for number in 0..20 {
        driver.request(&format!("/r/{number}"));
    }
    let stops_at = driver.now - Duration::from_millis(100);
    driver.event(RoutingEvent::StopsAt(stops_at));
    let keys: Vec<_> = driver.finished.iter().map(|(key, _)| *key).collect();
    assert_eq!(keys.len(), 20);
    assert!(keys.is_sorted(), "{keys:?}");
}
