//! Requests that are held because they arrive before the node knows the configuration or the searchers that they need.

mod common;

use common::{Driver, answer, definition, route, searcher};
use staircross_routing::engine::{HoldCause, RoutingEvent};
use staircross_routing::{Arrival, RequestKey, RouteTarget, RoutingDefinition};
use staircross_types::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time for which a request is held, in milliseconds.
const HOLD_MS: u64 = 500;

/// Returns a configuration of this version with the service `books` and one route of this name to it.
fn definition_with_route(version: u64, route_name: &str) -> RoutingDefinition {
    definition(version, vec![route(route_name, RouteTarget::Service(Arc::from("books")))], &["books"])
}

/// Lets a request arrive after `change` has adjusted the arrival, and returns its key.
fn request_with(driver: &mut Driver, path: &str, change: impl FnOnce(&mut Arrival)) -> RequestKey {
    let mut arrival = driver.arrival(path);
    change(&mut arrival);
    let key = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    key
}

#[test]
fn a_request_that_comes_before_the_configuration_is_begun_when_it_is_there() {
    let mut driver = Driver::new();
    driver.event(RoutingEvent::Searchers(vec![searcher("s-1", "books", "a")]));
    let request = driver.request("/r/1");
    assert_eq!(driver.held, [(request, HoldCause::NoConfiguration)]);
    driver.advance_ms(60);
    driver.configure(definition_with_route(1, "r"));
    assert_eq!(driver.sent_for(request).len(), 1);
    driver.end(driver.sends[0].attempt, answer(200, "stamp", Vec::new()));
    assert_eq!(driver.finished.len(), 1);
}

#[test]
fn a_node_without_a_configuration_refuses_as_not_run_after_a_moment() {
    let mut driver = Driver::new();
    let request = driver.request("/r/1");
    driver.advance_ms(HOLD_MS - 1);
    assert_eq!(driver.outcome(request), None);
    driver.advance_ms(1);
    assert_eq!(driver.refusal(request), Some(ErrorKind::NoConfiguration));
    assert_eq!(ErrorKind::NoConfiguration.http_status(), 503);
    assert!(driver.sends.is_empty());
}

#[test]
fn a_route_that_a_newer_configuration_may_have_is_not_denied() {
    let mut driver = Driver::with(definition_with_route(1, "r"), vec![searcher("s-1", "books", "a")]);
    let request = request_with(&mut driver, "/added/1", |arrival| arrival.newest_version = 2);
    driver.advance_ms(HOLD_MS);
    assert_eq!(driver.refusal(request), Some(ErrorKind::NoConfiguration));
}

#[test]
fn a_route_that_a_newer_configuration_adds_in_a_moment_is_served() {
    let mut driver = Driver::with(definition_with_route(1, "r"), vec![searcher("s-1", "books", "a")]);
    let request = request_with(&mut driver, "/added/1", |arrival| arrival.newest_version = 2);
    driver.configure(definition_with_route(2, "added"));
    assert_eq!(driver.sent_for(request).len(), 1);
}

#[test]
fn a_request_that_comes_before_the_searchers_are_known_is_begun_when_they_are() {
    let mut driver = Driver::with(definition_with_route(1, "r"), Vec::new());
    let request = request_with(&mut driver, "/r/1", |arrival| arrival.knows_searchers = false);
    assert_eq!(driver.held, [(request, HoldCause::NoSearchers)]);
    driver.event(RoutingEvent::Searchers(vec![searcher("s-1", "books", "a")]));
    assert_eq!(driver.sent_for(request).len(), 1);
}

#[test]
fn a_caller_whose_hold_brought_no_searchers_is_told_to_come_back_when_they_may_be_known() {
    let mut driver = Driver::with(definition_with_route(1, "r"), Vec::new());
    let request = request_with(&mut driver, "/r/1", |arrival| arrival.knows_searchers = false);
    driver.advance_ms(HOLD_MS);
    assert_eq!(driver.refusal(request), Some(ErrorKind::NoReplicaYet));
    assert!(ErrorKind::NoReplicaYet.retry_after_ms() > ErrorKind::NoReplica.retry_after_ms());
}

#[test]
fn a_service_without_searchers_is_refused_at_once_where_all_searchers_are_known() {
    let mut driver = Driver::with(definition_with_route(1, "r"), Vec::new());
    let request = driver.request("/r/1");
    assert_eq!(driver.refusal(request), Some(ErrorKind::NoReplica));
}

#[test]
fn the_time_of_a_hold_is_taken_off_what_the_request_has_left() {
    let mut driver = Driver::new();
    driver.event(RoutingEvent::Searchers(vec![searcher("s-1", "books", "a")]));
    let arrived_at = driver.now;
    let request =
        request_with(&mut driver, "/r/1", |arrival| arrival.caller_timeout = Some(Duration::from_millis(1600)));
    driver.advance_ms(300);
    driver.configure(definition_with_route(1, "r"));
    assert_eq!(driver.sent_for(request)[0].deadline, arrived_at + Duration::from_millis(1600));
}

#[test]
fn a_hold_leaves_an_impatient_caller_time_to_ask_another_node() {
    let mut driver = Driver::new();
    let request =
        request_with(&mut driver, "/r/1", |arrival| arrival.caller_timeout = Some(Duration::from_millis(400)));
    driver.advance_ms(100);
    assert_eq!(driver.refusal(request), Some(ErrorKind::NoConfiguration));
}

#[test]
fn a_caller_that_leaves_ends_its_hold() {
    let mut driver = Driver::new();
    driver.event(RoutingEvent::Searchers(vec![searcher("s-1", "books", "a")]));
    let request = driver.request("/r/1");
    assert_eq!(driver.engine.in_flight(), 1);
    driver.event(RoutingEvent::CallerGone(request));
    assert_eq!(driver.engine.in_flight(), 0);
    driver.configure(definition_with_route(1, "r"));
    assert!(driver.sends.is_empty(), "nothing may be sent for a caller that has left");
}

#[test]
fn more_than_may_be_held_are_refused_at_once() {
    let mut driver = Driver::new();
    for _ in 0..2000 {
        driver.request("/r/1");
    }
    assert!(driver.engine.in_flight() <= 512, "{} requests are in flight", driver.engine.in_flight());
    assert_eq!(driver.engine.in_flight() + driver.finished.len(), 2000);
}
