//! Limits on requests: deadlines, the budget for extra sends, requests in flight, and connections to searchers. Another
//! subject is the division of requests among weighted services.

mod common;

use common::requests::{repeatable, service_route, three_searchers};
use common::{Driver, answer, definition, route, searcher, weighted};
use staircross_routing::engine::{AbandonCause, RoutingEvent, SendReason, UnsentCause};
use staircross_routing::state::request::Unknown;
use staircross_routing::{AttemptOutcome, NotRun};
use staircross_types::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

#[test]
fn the_deadline_is_the_lesser_of_caller_and_route_and_the_final_answer_comes_before_it() {
    let mut driver = repeatable();
    let mut arrival = driver.arrival("/r/1");
    arrival.caller_timeout = Some(Duration::from_millis(1500));
    let key = arrival.key;
    let began = driver.now;
    driver.event(RoutingEvent::Arrived(arrival));
    assert_eq!(driver.sends[0].deadline, began + Duration::from_millis(1500));
    driver.advance_ms(1499);
    assert_eq!(driver.refusal(key), Some(ErrorKind::TimedOut));
}

#[test]
fn time_that_a_request_waited_to_be_read_is_taken_off() {
    let mut driver = repeatable();
    let mut expired = driver.arrival("/r/1");
    expired.caller_timeout = Some(Duration::from_millis(1000));
    expired.waited = Duration::from_millis(1000);
    let key = expired.key;
    driver.event(RoutingEvent::Arrived(expired));
    assert_eq!(driver.refusal(key), Some(ErrorKind::Overloaded));
    assert!(driver.sends.is_empty(), "nothing may be sent once the caller's timeout has passed");

    let mut delayed = driver.arrival("/r/2");
    delayed.caller_timeout = Some(Duration::from_millis(1000));
    delayed.waited = Duration::from_millis(400);
    let began = driver.now;
    driver.event(RoutingEvent::Arrived(delayed));
    assert_eq!(driver.sends[0].deadline, began + Duration::from_millis(600));
}

#[test]
fn a_node_that_comes_too_late_to_its_work_refuses_at_once() {
    let mut driver = repeatable();
    let mut arrival = driver.arrival("/r/1");
    arrival.is_overloaded = true;
    let key = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    assert_eq!(driver.refusal(key), Some(ErrorKind::Overloaded));
}

#[test]
fn a_departed_caller_ends_all_its_attempts() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    driver.event(RoutingEvent::CallerGone(request));
    assert_eq!(driver.abandoned, [(driver.sends[0].attempt, AbandonCause::CallerGone)]);
    driver.end(driver.sends[0].attempt, AttemptOutcome::Cancelled);
    assert!(driver.finished.is_empty());
    assert_eq!(driver.engine.in_flight(), 0);
}

#[test]
fn extra_sends_stay_within_the_budget_in_every_window() {
    let mut driver = repeatable();
    driver.set_fleet(&[("a", 1), ("b", 1), ("c", 1)], 3);
    for _ in 0..400 {
        driver.request("/r/1");
        let attempt = driver.sends.last().expect("sent").attempt;
        driver.advance_ms(20);
        // The first answer of every request is lost; its retry is answered.
        driver.end(attempt, AttemptOutcome::Unknown(Unknown::Broken));
        if let Some(last) = driver.sends.last().filter(|last| last.attempt != attempt) {
            let retry = last.attempt;
            driver.end(retry, answer(200, "stamp", Vec::new()));
        }
    }
    // The bound is a fifth of the requests and this node's third of the slack of 50.
    let retries = driver.sends.iter().filter(|order| order.reason == SendReason::Retry).count() as f64;
    let slack_of_node = 50.0 / 3.0;
    assert!(retries <= 400.0 * 0.2 + slack_of_node, "{retries} retries for 400 requests");
    assert!(retries >= 40.0, "{retries} retries for 400 requests: the budget must be used");
    assert!(
        driver.unsent.iter().any(|(_, cause)| *cause == UnsentCause::OverBudget),
        "extra sends that the budget refuses are reported"
    );
}

#[test]
fn a_lone_request_of_a_small_service_may_be_retried() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::Unknown(Unknown::Broken));
    assert_eq!(driver.sent_for(request).len(), 2);
}

#[test]
fn weighted_services_get_their_exact_shares() {
    let target = weighted(&[("red", 3), ("green", 1), ("off", 0)]);
    let searchers = vec![searcher("r1", "red", "a"), searcher("g1", "green", "a"), searcher("o1", "off", "a")];
    let mut driver = Driver::with(definition(1, vec![route("r", target)], &["red", "green", "off"]), searchers);
    for _ in 0..80 {
        driver.request("/r/1");
        let attempt = driver.sends.last().expect("sent").attempt;
        driver.advance_ms(5);
        driver.end(attempt, answer(200, "stamp", Vec::new()));
    }
    let count = |name: &str| driver.sends.iter().filter(|order| &*order.instance == name).count();
    assert_eq!((count("r1"), count("g1"), count("o1")), (60, 20, 0));
}

#[test]
fn a_slow_part_of_a_weighted_set_keeps_its_share() {
    let target = weighted(&[("red", 1), ("green", 1)]);
    let searchers = vec![searcher("r1", "red", "a"), searcher("g1", "green", "a")];
    let mut driver = Driver::with(definition(1, vec![route("r", target)], &["red", "green"]), searchers);
    for _ in 0..60 {
        driver.request("/r/1");
        let order = driver.sends.last().expect("sent").clone();
        let is_slow = &*order.instance == "r1";
        driver.advance_ms(if is_slow { 200 } else { 5 });
        driver.end(order.attempt, answer(200, "stamp", Vec::new()));
    }
    let red = driver.sends.iter().filter(|order| &*order.instance == "r1").count();
    assert_eq!(red, 30);
}

#[test]
fn a_request_beyond_the_most_that_are_held_is_refused_as_not_run() {
    let mut settings = common::settings();
    settings.max_requests = 1;
    let mut driver = Driver::new();
    driver.engine = staircross_routing::RoutingEngine::new(settings);
    let table =
        staircross_routing::RouteTable::new(Arc::new(definition(1, vec![service_route("r", "books")], &["books"])));
    driver.event(RoutingEvent::Configuration(Arc::new(table)));
    driver.event(RoutingEvent::Searchers(three_searchers()));
    driver.request("/r/1");
    let second = driver.request("/r/2");
    assert_eq!(driver.refusal(second), Some(ErrorKind::Overloaded));
}

#[test]
fn a_full_searcher_makes_the_next_request_wait_until_a_connection_is_free() {
    let mut entry = searcher("s1", "books", "a");
    entry.slots = 1;
    let mut driver = Driver::with(definition(1, vec![service_route("r", "books")], &["books"]), vec![entry]);
    driver.set_fleet(&[("a", 40)], 40);
    let first = driver.request("/r/1");
    let second = driver.request("/r/2");
    assert_eq!(
        (driver.sent_for(first).len(), driver.sent_for(second).len()),
        (1, 0),
        "the node may use one connection, so the second request waits"
    );
    driver.end(driver.sends[0].attempt, answer(200, "stamp", Vec::new()));
    assert_eq!(driver.sent_for(second).len(), 1);
}

#[test]
fn a_request_that_found_no_room_in_time_is_refused_as_not_run() {
    let mut driver =
        Driver::with(definition(1, vec![service_route("r", "books")], &["books"]), vec![searcher("s1", "books", "a")]);
    driver.set_fleet(&[("a", 40)], 40);
    driver.request("/r/1");
    let second = driver.request("/r/2");
    driver.advance_ms(4000);
    assert_eq!(driver.refusal(second), Some(ErrorKind::Overloaded));
    assert!(driver.sent_for(second).is_empty());
}

#[test]
fn searchers_that_all_lose_answers_go_on_being_asked() {
    let mut driver = repeatable();
    for _ in 0..100 {
        let request = driver.request("/r/1");
        assert!(!driver.sent_for(request).is_empty(), "a request wasn't sent although three searchers are known");
        for attempt in driver.sent_for(request).iter().map(|order| order.attempt).collect::<Vec<_>>() {
            driver.advance_ms(5);
            driver.end(attempt, AttemptOutcome::Unknown(Unknown::Broken));
        }
    }
}

#[test]
fn a_repeat_that_had_to_wait_for_room_still_counts_as_one() {
    let two_searchers = vec![searcher("s1", "books", "a"), searcher("s2", "books", "a")];
    let mut definition_with_few_connections = definition(1, vec![service_route("r", "books")], &["books"]);
    definition_with_few_connections.services[0].max_connections = 3;
    let mut driver = Driver::with(definition_with_few_connections, two_searchers);
    driver.set_fleet(&[("a", 3)], 3);
    let first = driver.request("/r/1");
    let second = driver.request("/r/2");
    driver.end(driver.sends[0].attempt, AttemptOutcome::NotRun(NotRun::Shed));
    assert_eq!(driver.sent_for(first).len(), 1, "the other searcher is at capacity");
    driver.end(driver.sends[1].attempt, answer(200, "stamp", Vec::new()));
    assert!(driver.outcome(second).is_some());
    assert_eq!(driver.reasons(first), [SendReason::First, SendReason::Retry]);
}
