//! Requests to several shards: coverage, merging, hedges, partial answers, and the configuration that a request keeps.

mod common;

use common::{Driver, LAPSE_GRACE_MS, answer, definition, gather, records, route, searcher};
use staircross_routing::engine::{LeftOutCause, RoutingEvent, SendReason};
use staircross_routing::state::request::Unknown;
use staircross_routing::{
    AttemptKey, AttemptOutcome, MergedAnswer, NotRun, RequestKey, RequestOutcome, RouteTable, SearcherEntry,
};
use staircross_types::ErrorKind;
use staircross_types::errors::Executed;
use std::sync::Arc;

const SHARDS: [&str; 4] = ["w", "x", "y", "z"];

fn searchers() -> Vec<SearcherEntry> {
    let of = |shard: &str| ["a", "b", "c"].map(|zone| searcher(&format!("{shard}-{zone}"), shard, zone));
    SHARDS.iter().flat_map(|shard| of(shard)).collect()
}

fn driver(min_coverage: f64) -> Driver {
    let routes = vec![route("q", gather(&SHARDS, 3, min_coverage))];
    Driver::with(definition(1, routes, &SHARDS), searchers())
}

fn attempts(driver: &Driver, request: RequestKey) -> Vec<AttemptKey> {
    driver.sent_for(request).iter().map(|order| order.attempt).collect()
}

fn merged(driver: &Driver, request: RequestKey) -> &MergedAnswer {
    match driver.outcome(request) {
        Some(RequestOutcome::Merged(answer)) => answer,
        other => panic!("expected a merged answer, got {other:?}"),
    }
}

#[test]
fn each_shard_is_asked_once_in_the_own_zone_and_the_best_records_come_back() {
    let mut driver = driver(0.5);
    let request = driver.request("/q/1");
    assert_eq!(driver.instances(request), ["w-a", "x-a", "y-a", "z-a"]);
    let bodies = [records(&[1, 9]), records(&[7, 7]), records(&[3]), records(&[])];
    for (index, attempt) in attempts(&driver, request).into_iter().enumerate() {
        driver.advance_ms(3);
        driver.end(attempt, answer(200, &format!("stamp{index}"), bodies[index].clone()));
    }
    let answer = merged(&driver, request);
    assert_eq!(answer.body, records(&[9, 7, 7]), "the greatest records come first, and equal ones are all kept");
    assert_eq!(answer.missing, 0);
    assert_eq!(answer.stamps.len(), 4);
}

#[test]
fn a_rest_shorter_than_a_record_is_none() {
    let mut driver = driver(0.25);
    let request = driver.request("/q/1");
    let mut body = records(&[5]);
    body.extend_from_slice(&[255; 15]);
    for attempt in attempts(&driver, request) {
        driver.end(attempt, answer(200, "stamp", body.clone()));
    }
    assert_eq!(merged(&driver, request).body, records(&[5, 5, 5]));
}

#[test]
fn a_late_shard_is_hedged_and_whichever_answers_first_is_the_part() {
    let mut driver = driver(0.5);
    let request = driver.request("/q/1");
    let all = attempts(&driver, request);
    driver.advance_ms(30);
    for attempt in &all[..3] {
        driver.end(*attempt, answer(200, "stamp", records(&[1])));
    }
    driver.advance_ms(150);
    assert_eq!(driver.reasons(request).last(), Some(&SendReason::Hedge));
    let hedge = driver.sends.last().expect("hedged").attempt;
    driver.end(hedge, answer(200, "hedge", records(&[2])));
    let answer = merged(&driver, request).clone();
    assert_eq!(answer.missing, 0);
    assert!(answer.stamps.contains(&b"hedge".to_vec()));
    // The answer of the first attempt arrives after the outcome and changes nothing.
    driver.end(all[3], common::answer(200, "late", records(&[9])));
    assert_eq!(driver.finished.len(), 1);
}

#[test]
fn the_parts_that_are_in_go_out_before_the_goal() {
    let mut driver = driver(0.75);
    let request = driver.request("/q/1");
    let began = driver.now;
    let all = attempts(&driver, request);
    driver.advance_ms(30);
    for attempt in &all[..3] {
        driver.end(*attempt, answer(200, "stamp", records(&[1])));
    }
    while driver.finished.is_empty() && driver.now.since(began).as_millis() < 1000 {
        driver.advance_ms(1);
    }
    let took = driver.now.since(began).as_millis();
    assert!((150..250).contains(&took), "answered after {took} ms, the goal is 250 ms");
    let answer = merged(&driver, request);
    assert_eq!((answer.stamps.len(), answer.missing), (3, 1));
    assert_eq!(driver.left_out, [("z".to_owned(), LeftOutCause::Late)], "the missing shard and the cause are reported");
}

#[test]
fn below_the_least_coverage_the_request_waits_on_and_is_answered_as_soon_as_it_can_be() {
    let mut driver = driver(0.75);
    let request = driver.request("/q/1");
    let all = attempts(&driver, request);
    driver.advance_ms(30);
    for attempt in &all[..2] {
        driver.end(*attempt, answer(200, "stamp", records(&[1])));
    }
    driver.advance_ms(500);
    assert!(driver.finished.is_empty(), "two of four shards are too few for an answer");
    driver.end(all[2], answer(200, "stamp", records(&[1])));
    assert_eq!(merged(&driver, request).missing, 1);
}

#[test]
fn a_failure_of_a_searcher_is_no_part_though_it_is_signed() {
    let mut driver = driver(1.0);
    let request = driver.request("/q/1");
    let all = attempts(&driver, request);
    driver.end(all[0], answer(500, "failure", records(&[9])));
    let retry = driver.sends.last().expect("retried").attempt;
    assert_ne!(retry, all[3]);
    for attempt in [retry, all[1], all[2], all[3]] {
        driver.end(attempt, answer(200, "good", records(&[1])));
    }
    let answer = merged(&driver, request);
    assert!(!answer.stamps.contains(&b"failure".to_vec()));
    assert_eq!(answer.body, records(&[1, 1, 1]));
}

#[test]
fn an_unsigned_success_is_no_part() {
    let mut driver = driver(1.0);
    let request = driver.request("/q/1");
    let all = attempts(&driver, request);
    driver.end(all[0], answer(200, "", records(&[9])));
    assert_eq!(driver.reasons(request).last(), Some(&SendReason::Retry));
}

#[test]
fn a_hopeless_query_ends_at_once() {
    let mut driver = driver(1.0);
    let request = driver.request("/q/1");
    let all = attempts(&driver, request);
    driver.end(all[0], AttemptOutcome::Unknown(Unknown::Broken));
    let retry = driver.sends.last().expect("retried").attempt;
    driver.end(retry, AttemptOutcome::Unknown(Unknown::Broken));
    assert_eq!(driver.refusal(request), Some(ErrorKind::BackEndsFailed));
    assert_eq!(driver.abandoned.len(), 3, "the attempts of the other shards are abandoned");
}

#[test]
fn a_query_with_too_few_shards_to_ask_is_refused_before_anything_runs() {
    let mut driver = driver(1.0);
    let gone = ["w-a", "w-b", "w-c"].map(Arc::from).to_vec();
    driver.event(RoutingEvent::SearchersGone(gone));
    driver.advance_ms(LAPSE_GRACE_MS);
    let request = driver.request("/q/1");
    assert_eq!(driver.refusal(request), Some(ErrorKind::NoReplica));
    assert!(driver.sends.is_empty());
}

#[test]
fn a_shard_without_searchers_is_counted_as_missing() {
    let mut driver = driver(0.75);
    driver.event(RoutingEvent::SearchersGone(["w-a", "w-b", "w-c"].map(Arc::from).to_vec()));
    driver.advance_ms(LAPSE_GRACE_MS);
    let request = driver.request("/q/1");
    for attempt in attempts(&driver, request) {
        driver.end(attempt, answer(200, "stamp", records(&[1])));
    }
    assert_eq!(merged(&driver, request).missing, 1);
}

#[test]
fn all_turned_away_is_not_run() {
    let mut driver = driver(0.25);
    let request = driver.request("/q/1");
    let arrived_at = driver.now;
    let mut ended = 0;
    while driver.finished.is_empty() {
        let open: Vec<AttemptKey> = attempts(&driver, request).split_off(ended);
        ended += open.len();
        for attempt in open {
            driver.end(attempt, AttemptOutcome::NotRun(NotRun::Shed));
        }
        driver.advance_ms(10);
        assert!(driver.now.since(arrived_at).as_millis() < 4000, "the request was held past its timeout");
    }
    assert_eq!(driver.refusal(request).map(|kind| kind.executed()), Some(Executed::Never));
    for shard in ["w", "x", "y", "z"] {
        let mut asked = driver.instances(request);
        asked.retain(|instance| instance.starts_with(shard));
        let extra = asked.len() - 1;
        assert!(
            (2..=21).contains(&extra),
            "{extra} sent again, of the 0.4 of 50 and 0.17 that the budget permits for one request"
        );
        asked.sort_unstable();
        asked.dedup();
        assert!(asked.len() <= 2, "more searchers were asked than attempts are allowed: {asked:?}");
    }
}

#[test]
fn a_query_keeps_the_configuration_that_it_began_with() {
    let mut driver = driver(0.5);
    let request = driver.request("/q/1");
    let newer = definition(2, vec![route("q", gather(&["w", "x"], 3, 0.5))], &["w", "x"]);
    driver.event(RoutingEvent::Configuration(Arc::new(RouteTable::new(Arc::new(newer)))));
    for attempt in attempts(&driver, request) {
        driver.end(attempt, answer(200, "stamp", records(&[1])));
    }
    assert_eq!(merged(&driver, request).stamps.len(), 4, "the request gathers the four shards of version 1");
    let next = driver.request("/q/2");
    assert_eq!(driver.instances(next), ["w-a", "x-a"], "the next request uses version 2");
}

#[test]
fn a_searcher_with_an_overdue_attempt_is_passed_over() {
    let mut driver = driver(0.5);
    driver.set_fleet(&[("a", 1), ("b", 1), ("c", 1)], 3);
    let first = driver.request("/q/1");
    let all = attempts(&driver, first);
    for attempt in &all[1..] {
        driver.advance_ms(5);
        driver.end(*attempt, answer(200, "stamp", records(&[1])));
    }
    driver.advance_ms(110);
    let second = driver.request("/q/2");
    assert_ne!(driver.instances(second)[0], "w-a", "a searcher with an overdue attempt isn't asked");
    assert_eq!(driver.instances(second)[1..], ["x-a", "y-a", "z-a"]);
}

#[test]
fn a_searcher_that_stays_slow_is_left_alone_and_one_pause_is_forgiven() {
    let mut driver = driver(0.25);
    let run_request = |driver: &mut Driver, slow_ms: u64| {
        let request = driver.request("/q/1");
        let orders: Vec<_> =
            driver.sent_for(request).iter().map(|order| (order.attempt, order.instance.to_string())).collect();
        driver.advance_ms(30);
        for (attempt, instance) in orders.iter().filter(|(_, instance)| instance != "w-a") {
            assert!(!instance.is_empty());
            driver.end(*attempt, answer(200, "stamp", records(&[1])));
        }
        if let Some((attempt, _)) = orders.iter().find(|(_, instance)| instance == "w-a") {
            driver.advance_ms(slow_ms);
            driver.end(*attempt, answer(200, "stamp", records(&[1])));
        }
        // Answers hedges too, so that they don't count as overdue.
        let hedges: Vec<AttemptKey> = attempts(driver, request).into_iter().skip(orders.len()).collect();
        for hedge in hedges {
            driver.end(hedge, answer(200, "stamp", records(&[1])));
        }
        orders.iter().any(|(_, instance)| instance == "w-a")
    };
    for _ in 0..30 {
        run_request(&mut driver, 0);
    }
    run_request(&mut driver, 300);
    assert!(run_request(&mut driver, 0), "after one slow answer the searcher is asked again");
    run_request(&mut driver, 600);
    run_request(&mut driver, 600);
    let asked = (0..10).filter(|_| run_request(&mut driver, 600)).count();
    assert!(asked <= 2, "asked {asked} times of 10 although every answer was slow");
}
