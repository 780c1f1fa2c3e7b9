//! Changes of searchers' entries in the store: a searcher drains, its entry lapses or is written again, or another
//! instance takes over its address.

mod common;

use common::requests::{repeatable, service_route};
use common::{Driver, LAPSE_GRACE_MS, answer, definition, searcher};
use staircross_routing::engine::RoutingEvent;
use staircross_routing::{AttemptOutcome, NotRun};
use staircross_types::ErrorKind;
use std::sync::Arc;

#[test]
fn a_draining_or_gone_searcher_gets_nothing_more() {
    let mut driver = repeatable();
    let mut draining = searcher("s1", "books", "a");
    draining.is_draining = true;
    driver.event(RoutingEvent::Searchers(vec![draining]));
    driver.event(RoutingEvent::SearchersGone(vec![Arc::from("s2")]));
    for _ in 0..20 {
        let request = driver.request("/r/1");
        assert_eq!(driver.instances(request), ["s3"]);
        let attempt = driver.sends.last().expect("sent").attempt;
        driver.advance_ms(5);
        driver.end(attempt, answer(200, "stamp", Vec::new()));
    }
}

#[test]
fn a_searcher_that_said_it_drains_never_serves_again() {
    let mut driver =
        Driver::with(definition(1, vec![service_route("r", "books")], &["books"]), vec![searcher("s1", "books", "a")]);
    let mut draining = searcher("s1", "books", "a");
    draining.is_draining = true;
    driver.event(RoutingEvent::Searchers(vec![draining]));
    driver.event(RoutingEvent::Searchers(vec![searcher("s1", "books", "a")]));
    let request = driver.request("/r/1");
    assert_eq!(driver.refusal(request), Some(ErrorKind::NoReplica));
}

#[test]
fn a_searcher_whose_entry_lapsed_serves_again_when_it_is_back() {
    let mut driver =
        Driver::with(definition(1, vec![service_route("r", "books")], &["books"]), vec![searcher("s1", "books", "a")]);
    driver.event(RoutingEvent::SearchersGone(vec![Arc::from("s1")]));
    driver.advance_ms(LAPSE_GRACE_MS);
    let refused = driver.request("/r/1");
    assert_eq!(driver.refusal(refused), Some(ErrorKind::NoReplica));
    driver.event(RoutingEvent::Searchers(vec![searcher("s1", "books", "a")]));
    let request = driver.request("/r/1");
    assert_eq!(driver.instances(request), ["s1"]);
}

#[test]
fn a_searcher_whose_entry_has_gone_is_asked_for_a_moment_where_nobody_else_can_be() {
    let mut driver = repeatable();
    driver.event(RoutingEvent::SearchersGone(["s1", "s2"].map(Arc::from).to_vec()));
    let request = driver.request("/r/1");
    assert_eq!(driver.instances(request), ["s3"], "a searcher with an entry is preferred, however far away it is");
    driver.event(RoutingEvent::SearchersGone(vec![Arc::from("s3")]));
    let request = driver.request("/r/1");
    assert_eq!(
        driver.sent_for(request).len(),
        1,
        "entries also lapse when the store was unavailable, so the searcher is still asked"
    );
    driver.advance_ms(LAPSE_GRACE_MS);
    let request = driver.request("/r/1");
    assert_eq!(driver.refusal(request), Some(ErrorKind::NoReplica));
}

#[test]
fn a_searcher_that_drained_before_its_entry_went_is_no_last_resort() {
    let mut driver =
        Driver::with(definition(1, vec![service_route("r", "books")], &["books"]), vec![searcher("s1", "books", "a")]);
    let mut draining = searcher("s1", "books", "a");
    draining.is_draining = true;
    driver.event(RoutingEvent::Searchers(vec![draining]));
    driver.event(RoutingEvent::SearchersGone(vec![Arc::from("s1")]));
    let request = driver.request("/r/1");
    assert_eq!(driver.refusal(request), Some(ErrorKind::NoReplica));
}

#[test]
fn another_run_at_the_address_of_a_lapsed_one_ends_the_last_resort() {
    let mut driver =
        Driver::with(definition(1, vec![service_route("r", "books")], &["books"]), vec![searcher("s1", "books", "a")]);
    driver.event(RoutingEvent::SearchersGone(vec![Arc::from("s1")]));
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::NotRun(NotRun::OtherInstance));
    assert_eq!(driver.refusal(request), Some(ErrorKind::NotDelivered));
    let request = driver.request("/r/1");
    assert_eq!(driver.refusal(request), Some(ErrorKind::NoReplica));
}

#[test]
fn another_instance_at_the_address_is_not_asked_again() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::NotRun(NotRun::OtherInstance));
    assert_eq!(driver.instances(request), ["s1", "s2"]);
    let next = driver.request("/r/2");
    assert_ne!(driver.instances(next)[0], "s1");
}
