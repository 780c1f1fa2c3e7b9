//! Searchers that may have left though their entries say that they serve: when they are asked, and when the entries are
//! read again.

mod common;

use common::{Driver, definition, records, route, searcher};
use staircross_routing::state::request::SearcherAnswer;
use staircross_routing::{AttemptOutcome, RouteTarget, RoutingEvent, SearcherReport};
use std::sync::Arc;

/// Returns a driver of a node in zone `a` with a searcher of the service `x` in its own zone, and one in another region.
fn driver_with_near_and_far() -> Driver {
    let routes = vec![route("s", RouteTarget::Service(Arc::from("x")))];
    Driver::with(definition(1, routes, &["x"]), vec![searcher("near", "x", "a"), searcher("far", "x", "c")])
}

/// Sends a request, answers it, and returns the id of the searcher that it went to.
fn ask(driver: &mut Driver, closes: bool) -> String {
    ask_with_status(driver, closes, 200)
}

fn ask_with_status(driver: &mut Driver, closes: bool, status: u16) -> String {
    driver.advance_ms(10);
    let key = driver.request("/s/1");
    let (attempt, instance) =
        driver.sent_for(key).last().map(|sent| (sent.attempt, sent.instance.to_string())).expect("a send");
    let outcome = match common::answer(status, "stamp", records(&[1])) {
        AttemptOutcome::Answered(answer) => {
            let report = SearcherReport { closes, ..SearcherReport::default() };
            AttemptOutcome::Answered(Box::new(SearcherAnswer { report, ..*answer }))
        }
        other => other,
    };
    driver.advance_ms(10);
    driver.end(attempt, outcome);
    instance
}

fn remove(driver: &mut Driver, instance: &str) {
    driver.event(RoutingEvent::SearchersGone(vec![Arc::from(instance)]));
}

/// Guards against new work for a leaving searcher whose leaving the node hasn't heard of.
#[test]
fn a_searcher_whose_answers_close_is_asked_after_all_others() {
    let mut driver = driver_with_near_and_far();
    assert_eq!(ask(&mut driver, false), "near");
    assert_eq!(ask(&mut driver, true), "near");
    assert_eq!(ask(&mut driver, true), "near", "a single answer that closes is no evidence");
    assert_eq!(driver.closing, ["near"]);
    assert_eq!(ask(&mut driver, false), "far");
    driver.advance_ms(10_000);
    assert_eq!(ask(&mut driver, false), "near", "it is tried again");
}

/// Guards against shards without an answer because all their searchers close connections.
#[test]
fn a_searcher_whose_answers_close_is_asked_where_there_is_no_other() {
    let mut driver = driver_with_near_and_far();
    remove(&mut driver, "far");
    driver.advance_ms(60_000);
    for closes in [false, true, true, true] {
        assert_eq!(ask(&mut driver, closes), "near");
    }
}

/// Guards against avoiding searchers that never keep a connection, or that close one after an error.
#[test]
fn searchers_that_always_close_or_close_after_errors_are_asked_as_usual() {
    let mut driver = driver_with_near_and_far();
    for _ in 0..5 {
        assert_eq!(ask(&mut driver, true), "near");
    }
    let mut driver = driver_with_near_and_far();
    assert_eq!(ask(&mut driver, false), "near");
    for _ in 0..3 {
        ask_with_status(&mut driver, true, 500);
    }
    assert_eq!(driver.closing, [""; 0]);
}

/// Guards against ignorance for as long as the searcher lives: the node must read the entries again, but a listing for
/// each leaving that it hears of in time would cost too much.
#[test]
fn entries_are_read_again_while_a_searcher_that_closes_is_listed_as_serving() {
    let mut driver = driver_with_near_and_far();
    for closes in [false, true, true] {
        ask(&mut driver, closes);
    }
    assert!(!driver.engine.take_due_entry_check(driver.now));
    driver.advance_ms(1500);
    assert!(driver.engine.take_due_entry_check(driver.now));
    assert!(!driver.engine.take_due_entry_check(driver.now), "once");

    let mut heard = driver_with_near_and_far();
    for closes in [false, true, true] {
        ask(&mut heard, closes);
    }
    remove(&mut heard, "near");
    heard.advance_ms(1500);
    assert!(!heard.engine.take_due_entry_check(heard.now), "the node has heard of the leaving meanwhile");
}

/// Guards against new work for a searcher after its removal from a store that has answered all the time, whenever the node
/// hears of it. Entries that may have lapsed leave a fallback for a moment.
#[test]
fn only_a_searcher_whose_entry_may_have_lapsed_is_a_fallback() {
    let mut driver = driver_with_near_and_far();
    let instances = || ["near", "far"].map(Arc::from).to_vec();
    driver.event(RoutingEvent::SearchersGone(instances()));
    ask(&mut driver, false);
    let mut driver = driver_with_near_and_far();
    driver.event(RoutingEvent::SearchersLeft(instances()));
    let key = driver.request("/s/1");
    assert!(driver.sent_for(key).is_empty());
}

/// Guards against new work for a searcher that has left, because a write of its own that was late brought its entry back.
#[test]
fn a_searcher_whose_entry_came_back_is_asked_after_all_others_for_a_while() {
    let mut driver = driver_with_near_and_far();
    assert_eq!(ask(&mut driver, false), "near");
    remove(&mut driver, "near");
    driver.advance_ms(3000);
    driver.event(RoutingEvent::Searchers(vec![searcher("near", "x", "a")]));
    assert_eq!(ask(&mut driver, false), "far");
    driver.advance_ms(3600);
    assert_eq!(ask(&mut driver, false), "far", "an entry that nobody renews stays for three heartbeats");
    driver.advance_ms(1500);
    assert_eq!(ask(&mut driver, false), "near", "the searcher lives");
}

/// Guards against losing a searcher that truly comes back while no other can be asked.
#[test]
fn a_searcher_whose_entry_came_back_is_asked_where_there_is_no_other() {
    let mut driver = driver_with_near_and_far();
    remove(&mut driver, "near");
    remove(&mut driver, "far");
    driver.advance_ms(3000);
    driver.event(RoutingEvent::Searchers(vec![searcher("near", "x", "a")]));
    assert_eq!(ask(&mut driver, false), "near");
    driver.event(RoutingEvent::Searchers(vec![searcher("far", "x", "c")]));
    assert_eq!(ask(&mut driver, false), "near", "an answer that keeps its connection shows that it isn't leaving");
}
