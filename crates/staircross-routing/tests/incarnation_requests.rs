//! Searchers that restart under the same id: which start the engine asks, and to which one it attributes failures.

mod common;

use common::incarnations::{draining, started};
use common::quarantine::{BROKEN, CRASHING_CONTENT};
use common::{Driver, answer, definition, gather, records, route};
use staircross_routing::{
    Arrival, AttemptOutcome, ColdStart, NotRun, RequestKey, RouteTarget, RoutingEvent, SearcherEntry, SearcherKey,
    ServiceEntry,
};
use staircross_types::ErrorKind;
use staircross_types::errors::Executed;
use std::sync::Arc;
use std::time::Duration;

fn books_service() -> RouteTarget {
    RouteTarget::Service(Arc::from("books"))
}

/// Returns a driver with one route to the service `books`.
fn driver(is_idempotent: bool, searchers: Vec<SearcherEntry>) -> Driver {
    let mut route = route("r", books_service());
    route.is_idempotent = is_idempotent;
    Driver::with(definition(1, vec![route], &["books", "maps"]), searchers)
}

fn update_entry(driver: &mut Driver, entry: SearcherEntry) {
    driver.event(RoutingEvent::Searchers(vec![entry]));
}

fn success() -> AttemptOutcome {
    answer(200, "stamp", Vec::new())
}

#[test]
fn the_next_start_of_a_searcher_that_was_leaving_is_asked() {
    let mut driver = driver(true, vec![started("s", 100)]);
    update_entry(&mut driver, draining("s", 100));
    update_entry(&mut driver, started("s", 200));
    let request = driver.request("/r/1");
    assert_eq!(driver.instances(request), ["s"]);
    update_entry(&mut driver, draining("s", 200));
    let request = driver.request("/r/1");
    assert_eq!(driver.refusal(request), Some(ErrorKind::NoReplica));
}

#[test]
fn a_later_start_is_a_searcher_of_its_own_and_the_earlier_is_asked_no_more() {
    let mut driver = driver(true, vec![started("s", 100)]);
    let first = driver.request("/r/1");
    let earlier = driver.sent_for(first)[0].searcher;
    update_entry(&mut driver, started("s", 200));
    for _ in 0..10 {
        let request = driver.request("/r/1");
        let order = driver.sent_for(request)[0].clone();
        assert_ne!(order.searcher, earlier, "connections to the earlier start aren't used");
        driver.end(order.attempt, success());
    }
}

#[test]
fn failures_of_the_earlier_start_are_not_held_against_the_later() {
    let far = SearcherEntry { zone: Arc::from("c"), ..started("far", 100) };
    let mut driver = driver(true, vec![started("near", 100), far]);
    let asked_first = |driver: &mut Driver| {
        let request = driver.request("/r/1");
        driver.instances(request)[0].clone()
    };
    assert_eq!(asked_first(&mut driver), "near");
    let attempt = driver.sends[0].attempt;
    driver.end(attempt, AttemptOutcome::NotRun(NotRun::Unconnected));
    assert_eq!(asked_first(&mut driver), "far", "a searcher that couldn't be reached is avoided for a while");
    update_entry(&mut driver, started("near", 200));
    assert_eq!(asked_first(&mut driver), "near");
}

#[test]
fn a_request_that_may_not_be_repeated_stays_unknown_when_its_searcher_starts_again() {
    let mut driver = driver(false, vec![started("s", 100)]);
    let request = driver.request("/r/1");
    update_entry(&mut driver, started("s", 200));
    assert!(driver.outcome(request).is_none(), "the earlier start may still answer");
    driver.end(driver.sends[0].attempt, BROKEN);
    assert_eq!(driver.sent_for(request).len(), 1, "the later start isn't asked");
    let refusal = driver.refusal(request);
    assert!(refusal.is_some_and(|kind| kind.executed() == Executed::Maybe), "{refusal:?}");
}

#[test]
fn the_later_start_counts_as_one_more_searcher_asked() {
    let mut driver = driver(true, vec![started("s", 100)]);
    let request = driver.request("/r/1");
    for born_ms in [200, 300, 400] {
        let attempt = driver.sends.last().expect("sent").attempt;
        update_entry(&mut driver, started("s", born_ms));
        driver.end(attempt, BROKEN);
        driver.advance_ms(300);
    }
    assert_eq!(driver.sent_for(request).len(), 2, "the route permits two searchers");
}

#[test]
fn a_searcher_that_starts_again_cold_is_sent_no_more_than_it_bears() {
    let mut definition = definition(1, vec![route("r", books_service())], &[]);
    let cold_start = ColdStart { duration_ms: 5000, requests_per_s: Some(5.0) };
    definition.services = vec![ServiceEntry { name: Arc::from("books"), max_connections: 40, cold_start }];
    let cold = |born_ms| SearcherEntry { cold_ms: 5000, ..started("s", born_ms) };
    let mut driver = Driver::with(definition, vec![cold(100)]);
    for born_ms in 101..120 {
        driver.request("/r/1");
        update_entry(&mut driver, cold(born_ms));
    }
    assert!((1..=5).contains(&driver.sends.len()), "{}", driver.sends.len());
}

#[test]
fn an_entry_that_names_another_service_takes_the_searcher_out_of_the_earlier_one() {
    for born_ms in [100, 200] {
        let mut driver = driver(true, vec![started("s", 100)]);
        update_entry(&mut driver, SearcherEntry { service: Arc::from("maps"), ..started("s", born_ms) });
        let request = driver.request("/r/1");
        assert_eq!(driver.refusal(request), Some(ErrorKind::NoReplica), "start {born_ms}");
    }
}

/// Returns a driver with a gather route over the one shard `books`, which has one searcher.
fn single_shard_driver() -> Driver {
    let route = route("g", gather(&["books"], 3, 1.0));
    Driver::with(definition(1, vec![route], &["books"]), vec![started("s", 100)])
}

fn request_crashing_content(driver: &mut Driver) -> RequestKey {
    let arrival = Arrival { content: CRASHING_CONTENT, ..driver.arrival("/g/x") };
    let key = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    key
}

fn crash_searcher(driver: &mut Driver) -> SearcherKey {
    request_crashing_content(driver);
    driver.advance_ms(5);
    let order = driver.sends.last().expect("sent").clone();
    driver.end(order.attempt, BROKEN);
    order.searcher
}

fn answer_other_content(driver: &mut Driver) {
    let harmless = driver.request("/g/y");
    let attempt = driver.sent_for(harmless)[0].attempt;
    driver.advance_ms(5);
    driver.end(attempt, answer(200, "s.1", records(&[1])));
}

#[test]
fn a_content_that_ends_a_searcher_at_each_of_its_starts_is_quarantined() {
    let mut driver = single_shard_driver();
    for born_ms in [200, 300, 400] {
        crash_searcher(&mut driver);
        update_entry(&mut driver, started("s", born_ms));
        driver.advance_ms(4500);
        // The next start answers another content, which is no evidence that the lost start is alive.
        answer_other_content(&mut driver);
    }
    let request = request_crashing_content(&mut driver);
    assert_eq!(driver.refusal(request), Some(ErrorKind::Quarantined));
}

#[test]
fn an_answer_on_a_new_connection_does_not_prove_that_the_start_which_was_lost_lives() {
    let mut driver = single_shard_driver();
    for born_ms in [200, 300, 400] {
        let searcher = crash_searcher(&mut driver);
        driver.advance_ms(4500);
        // The next start has the same address and id, and its entry isn't known to this node yet.
        driver.event(RoutingEvent::Connected { searcher, took: Duration::from_millis(1) });
        answer_other_content(&mut driver);
        update_entry(&mut driver, started("s", born_ms));
    }
    let request = request_crashing_content(&mut driver);
    assert_eq!(driver.refusal(request), Some(ErrorKind::Quarantined));
}
