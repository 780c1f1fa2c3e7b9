//! Requests to one service: at most once, refusals, retries, budgets, deadlines.

mod common;

use common::{Driver, LAPSE_MS, answer, definition, route, searcher, weighted};
use staircross_routing::engine::{AbandonCause, RoutingEvent, SendReason, UnsentCause};
use staircross_routing::state::request::Unknown;
use staircross_routing::{AttemptKey, AttemptOutcome, NotRun, RequestKey, RouteTarget, Verdict};
use staircross_types::ErrorKind;
use staircross_types::errors::Executed;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

fn service_route(name: &str, service: &str) -> staircross_routing::RouteDefinition {
    route(name, RouteTarget::Service(Arc::from(service)))
}

fn three_searchers() -> Vec<staircross_routing::SearcherEntry> {
    vec![searcher("s1", "books", "a"), searcher("s2", "books", "b"), searcher("s3", "books", "c")]
}

fn repeatable() -> Driver {
    Driver::with(definition(1, vec![service_route("r", "books")], &["books"]), three_searchers())
}

fn unrepeatable() -> Driver {
    let mut only_once = service_route("r", "books");
    only_once.is_idempotent = false;
    Driver::with(definition(1, vec![only_once], &["books"]), three_searchers())
}

#[test]
fn an_unknown_path_has_no_route_and_the_longest_prefix_wins() {
    let mut longer = service_route("r/deep", "deep");
    longer.path_prefix = Arc::from("/r/deep/");
    let routes = vec![service_route("r", "books"), longer];
    let mut searchers = three_searchers();
    searchers.push(searcher("d1", "deep", "a"));
    let mut driver = Driver::with(definition(1, routes, &["books", "deep"]), searchers);
    let lost = driver.request("/elsewhere/1");
    assert_eq!(driver.refusal(lost), Some(ErrorKind::NoRoute));
    let deep = driver.request("/r/deep/1");
    assert_eq!(driver.instances(deep), ["d1"]);
}

#[test]
fn an_answer_is_passed_on_as_it_is() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    assert_eq!(driver.instances(request), ["s1"], "the searcher of the own zone is asked");
    let attempt = driver.sends[0].attempt;
    driver.pass_ms(20);
    driver.end(attempt, answer(200, "stamp", b"body".to_vec()));
    let Some(Verdict::Passed(passed)) = driver.verdict(request) else {
        panic!("expected an answer, got {:?}", driver.verdict(request));
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
    assert_eq!(ErrorKind::BackEndsFailed.http_status(), 502, "502 makes no promise");
}

#[test]
fn an_unrepeatable_request_is_never_hedged() {
    let mut driver = unrepeatable();
    let request = driver.request("/r/1");
    driver.pass_ms(3500);
    assert_eq!(driver.sent_for(request).len(), 1);
}

/// Has every searcher turn a request away for lack of room until it is refused, by its time-out at the latest; two
/// searchers are asked, each with pauses.
fn shed_until_over(driver: &mut Driver, request: RequestKey) -> ErrorKind {
    let mut ended = driver.sent_for(request).len() - 1;
    for _ in 0..400 {
        if let Some(kind) = driver.refusal(request) {
            let instances: BTreeSet<String> = driver.instances(request).into_iter().collect();
            assert_eq!(instances.len(), 2, "as many searchers as attempts are allowed: {instances:?}");
            return kind;
        }
        let open: Vec<AttemptKey> = driver.sent_for(request).iter().skip(ended).map(|order| order.attempt).collect();
        ended += open.len();
        for attempt in open {
            driver.end(attempt, AttemptOutcome::NotRun(NotRun::Shed));
        }
        driver.pass_ms(10);
    }
    panic!("held past its time-out");
}

#[test]
fn an_unrepeatable_request_that_was_turned_away_goes_elsewhere() {
    let mut driver = unrepeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::NotRun(NotRun::Shed));
    assert_eq!(driver.reasons(request), [SendReason::First, SendReason::Retry]);
    let kind = shed_until_over(&mut driver, request);
    assert_eq!(kind.executed(), Executed::Never, "{kind}: all that was sent was answered: not run");
}

#[test]
fn a_refusal_after_an_unknown_end_makes_no_promise() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::Unknown(Unknown::Broken));
    let kind = shed_until_over(&mut driver, request);
    assert!(!matches!(kind.http_status(), 408 | 421 | 429 | 503), "{kind} promises that nothing ran");
}

#[test]
fn a_connection_that_does_not_come_up_costs_no_attempt_and_no_budget() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::NotRun(NotRun::Unconnected));
    driver.end(driver.sends[1].attempt, AttemptOutcome::NotRun(NotRun::Unconnected));
    assert_eq!(driver.reasons(request), [SendReason::First, SendReason::Reroute, SendReason::Reroute]);
    driver.end(driver.sends[2].attempt, answer(200, "stamp", Vec::new()));
    assert!(matches!(driver.verdict(request), Some(Verdict::Passed(_))));
}

#[test]
fn a_kept_connection_that_had_ended_costs_nothing_and_bars_nobody() {
    let only = vec![searcher("i-1", "one", "a")];
    let mut once = service_route("r", "one");
    once.is_idempotent = false;
    let mut driver = Driver::with(definition(1, vec![once], &["one"]), only);
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::NotRun(NotRun::Stale));
    driver.end(driver.sends[1].attempt, AttemptOutcome::NotRun(NotRun::Stale));
    assert_eq!(driver.reasons(request), [SendReason::First, SendReason::Reroute, SendReason::Reroute]);
    driver.end(driver.sends[2].attempt, answer(200, "stamp", Vec::new()));
    assert!(matches!(driver.verdict(request), Some(Verdict::Passed(_))));
}

#[test]
fn a_searchers_failure_is_tried_elsewhere_then_passed_on_with_its_own_status() {
    let mut driver = repeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, answer(500, "one", b"first".to_vec()));
    driver.end(driver.sends[1].attempt, answer(500, "two", b"second".to_vec()));
    let Some(Verdict::Passed(passed)) = driver.verdict(request) else {
        panic!("expected the searcher's failure, got {:?}", driver.verdict(request));
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
    assert!(matches!(driver.verdict(request), Some(Verdict::Passed(passed)) if passed.status == 404));
}

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
        driver.pass_ms(5);
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
    driver.pass_ms(LAPSE_MS);
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
    assert_eq!(driver.instances(request), ["s3"], "others come first, however near");
    driver.event(RoutingEvent::SearchersGone(vec![Arc::from("s3")]));
    let request = driver.request("/r/1");
    assert_eq!(driver.sent_for(request).len(), 1, "a store that was away lets entries lapse");
    driver.pass_ms(LAPSE_MS);
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

#[test]
fn the_deadline_is_the_lesser_of_caller_and_route_and_the_final_answer_comes_before_it() {
    let mut driver = repeatable();
    let mut arrival = driver.arrival("/r/1");
    arrival.patience = Some(Duration::from_millis(1500));
    let key = arrival.key;
    let began = driver.now;
    driver.event(RoutingEvent::Arrived(arrival));
    assert_eq!(driver.sends[0].deadline, began + Duration::from_millis(1500));
    driver.pass_ms(1499);
    assert_eq!(driver.refusal(key), Some(ErrorKind::TimedOut));
}

#[test]
fn time_that_a_request_waited_to_be_read_is_taken_off() {
    let mut driver = repeatable();
    let mut late = driver.arrival("/r/1");
    late.patience = Some(Duration::from_millis(1000));
    late.waited = Duration::from_millis(1000);
    let key = late.key;
    driver.event(RoutingEvent::Arrived(late));
    assert_eq!(driver.refusal(key), Some(ErrorKind::Overloaded));
    assert!(driver.sends.is_empty(), "nothing may run for a caller that has left");

    let mut half = driver.arrival("/r/2");
    half.patience = Some(Duration::from_millis(1000));
    half.waited = Duration::from_millis(400);
    let began = driver.now;
    driver.event(RoutingEvent::Arrived(half));
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
    driver.fleet(&[("a", 1), ("b", 1), ("c", 1)], 3);
    for _ in 0..400 {
        driver.request("/r/1");
        let attempt = driver.sends.last().expect("sent").attempt;
        driver.pass_ms(20);
        // Every answer is lost; each retry is one more arrival.
        driver.end(attempt, AttemptOutcome::Unknown(Unknown::Broken));
        if let Some(last) = driver.sends.last().filter(|last| last.attempt != attempt) {
            let again = last.attempt;
            driver.end(again, answer(200, "stamp", Vec::new()));
        }
    }
    let extras = driver.sends.iter().filter(|order| order.reason == SendReason::Retry).count() as f64;
    let own_slack = 50.0 / 3.0;
    assert!(extras <= 400.0 * 0.2 + own_slack, "{extras} retries for 400 requests");
    assert!(extras >= 40.0, "the budget is used: {extras}");
    assert!(driver.unsent.iter().any(|(_, cause)| *cause == UnsentCause::OverBudget), "and what it refuses is told");
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
        driver.pass_ms(5);
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
        driver.pass_ms(if is_slow { 200 } else { 5 });
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
    driver.fleet(&[("a", 40)], 40);
    let first = driver.request("/r/1");
    let second = driver.request("/r/2");
    assert_eq!((driver.sent_for(first).len(), driver.sent_for(second).len()), (1, 0), "one connection each");
    driver.end(driver.sends[0].attempt, answer(200, "stamp", Vec::new()));
    assert_eq!(driver.sent_for(second).len(), 1);
}

#[test]
fn a_request_that_found_no_room_in_time_is_refused_as_not_run() {
    let mut driver =
        Driver::with(definition(1, vec![service_route("r", "books")], &["books"]), vec![searcher("s1", "books", "a")]);
    driver.fleet(&[("a", 40)], 40);
    driver.request("/r/1");
    let second = driver.request("/r/2");
    driver.pass_ms(4000);
    assert_eq!(driver.refusal(second), Some(ErrorKind::Overloaded));
    assert!(driver.sent_for(second).is_empty());
}

#[test]
fn searchers_that_all_lose_answers_go_on_being_asked() {
    let mut driver = repeatable();
    for _ in 0..100 {
        let request = driver.request("/r/1");
        assert!(!driver.sent_for(request).is_empty(), "refused though three searchers live");
        for attempt in driver.sent_for(request).iter().map(|order| order.attempt).collect::<Vec<_>>() {
            driver.pass_ms(5);
            driver.end(attempt, AttemptOutcome::Unknown(Unknown::Broken));
        }
    }
}

#[test]
fn a_repeat_that_had_to_wait_for_room_still_counts_as_one() {
    let both = vec![searcher("s1", "books", "a"), searcher("s2", "books", "a")];
    let mut few_connections = definition(1, vec![service_route("r", "books")], &["books"]);
    few_connections.services[0].max_connections = 3;
    let mut driver = Driver::with(few_connections, both);
    driver.fleet(&[("a", 3)], 3);
    let first = driver.request("/r/1");
    let second = driver.request("/r/2");
    driver.end(driver.sends[0].attempt, AttemptOutcome::NotRun(NotRun::Shed));
    assert_eq!(driver.sent_for(first).len(), 1, "the other searcher has no room yet");
    driver.end(driver.sends[1].attempt, answer(200, "stamp", Vec::new()));
    assert!(driver.verdict(second).is_some());
    assert_eq!(driver.reasons(first), [SendReason::First, SendReason::Retry]);
}

#[test]
fn a_failure_that_is_not_tried_again_says_why() {
    let mut driver = unrepeatable();
    let request = driver.request("/r/1");
    driver.end(driver.sends[0].attempt, AttemptOutcome::Unknown(Unknown::Broken));
    assert_eq!(driver.refusal(request), Some(ErrorKind::BackEndsFailed), "it may have run, and there is time");
    assert_eq!(driver.sent_for(request).len(), 1);
    assert_eq!(driver.unsent, [(request, UnsentCause::NotRepeatable)]);

    let mut driver = repeatable();
    let request = driver.request("/r/1");
    for number in 0..2 {
        driver.end(driver.sends[number].attempt, AttemptOutcome::Unknown(Unknown::Broken));
    }
    assert_eq!(driver.refusal(request), Some(ErrorKind::BackEndsFailed), "its route allows two");
    assert_eq!(driver.unsent, [(request, UnsentCause::MostAttempts)]);
}
