//! Tests an engine whose node is about to stop: which requests it begins, and how those in flight end.

mod common;

use common::requests::{repeatable, unrepeatable};
use common::{Driver, answer, definition, gather, records, route, searcher};
use staircross_routing::engine::RoutingEvent;
use staircross_routing::{RequestOutcome, RouteTarget};
use staircross_types::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// Time from the beginning of the stop until the node answers nothing more, in milliseconds.
const STOP_MS: u64 = 3000;

fn begin_stop(driver: &mut Driver) {
    let stops_at = driver.now + Duration::from_millis(STOP_MS);
    driver.event(RoutingEvent::StopsAt(stops_at));
}

/// Lets a request arrive and answers its first attempt after `millis`.
fn measure(driver: &mut Driver, millis: u64) {
    driver.request("/r/1");
    let attempt = driver.sends.last().expect("sent").attempt;
    driver.advance_ms(millis);
    driver.end(attempt, answer(200, "stamp", Vec::new()));
}

/// Guards against requests that may not be repeated and end as timed out, although they ran: the node began them too
/// late in its stop for the searchers of their route.
#[test]
fn a_request_that_can_not_be_answered_before_the_stop_is_refused_as_not_run() {
    let mut driver = unrepeatable();
    measure(&mut driver, 1200);
    begin_stop(&mut driver);
    let early = driver.request("/r/2");
    assert_eq!(driver.sent_for(early).len(), 1, "there is time for it");
    driver.advance_ms(1000);
    let late = driver.request("/r/3");
    assert_eq!(driver.refusal(late), Some(ErrorKind::Leaving));
    assert!(driver.sent_for(late).is_empty());
}

/// Guards against the same where nothing is known of the route yet.
#[test]
fn a_request_of_a_route_without_measurements_is_begun_only_if_it_may_be_repeated() {
    let mut unrepeatable = unrepeatable();
    begin_stop(&mut unrepeatable);
    let refused = unrepeatable.request("/r/1");
    assert_eq!(unrepeatable.refusal(refused), Some(ErrorKind::Leaving));
    let mut repeatable = repeatable();
    begin_stop(&mut repeatable);
    let begun = repeatable.request("/r/1");
    assert_eq!(repeatable.sent_for(begun).len(), 1);
}

#[test]
fn a_request_whose_own_time_ends_before_the_stop_is_begun() {
    let mut driver = unrepeatable();
    begin_stop(&mut driver);
    let mut arrival = driver.arrival("/r/1");
    arrival.caller_timeout = Some(Duration::from_millis(STOP_MS));
    let key = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    assert_eq!(driver.sent_for(key).len(), 1);
}

/// Guards against requests that are refused as possibly run when the node stops, although nothing was sent.
#[test]
fn a_request_that_waits_for_room_until_the_stop_did_not_run() {
    let mut full = searcher("s1", "books", "a");
    full.slots = 1;
    let mut slow = route("r", RouteTarget::Service(Arc::from("books")));
    slow.timeout_ms = 60_000;
    let mut driver = Driver::with(definition(1, vec![slow], &["books"]), vec![full]);
    let keys: Vec<_> = (0..80).map(|_| driver.request("/r/1")).collect();
    begin_stop(&mut driver);
    driver.advance_ms(STOP_MS);
    let mut waited = 0;
    for key in keys {
        let kind = driver.refusal(key).expect("no request is in flight any more");
        if driver.sent_for(key).is_empty() {
            waited += 1;
            assert!(matches!(kind, ErrorKind::Leaving | ErrorKind::Overloaded), "{kind}");
        } else {
            assert_eq!(kind, ErrorKind::TimedOut);
        }
    }
    assert!(waited > 0, "some requests had to wait");
}

/// Guards against parts of a gathered answer that are thrown away when the node stops.
#[test]
fn the_parts_received_by_the_stop_are_answered() {
    let mut all = route("r", gather(&["left", "right"], 2, 0.5));
    (all.timeout_ms, all.goal_ms) = (60_000, 60_000);
    let searchers = vec![searcher("s1", "left", "a"), searcher("s2", "right", "a")];
    let mut driver = Driver::with(definition(1, vec![all], &["left", "right"]), searchers);
    let key = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, answer(200, "stamp", records(b"7")));
    begin_stop(&mut driver);
    driver.advance_ms(STOP_MS - 1);
    assert_eq!(driver.outcome(key), None);
    driver.advance_ms(1);
    match driver.outcome(key) {
        Some(RequestOutcome::Merged(merged)) => assert_eq!((merged.missing, &merged.body), (1, &records(b"7"))),
        outcome => panic!("no answer: {outcome:?}"),
    }
}
