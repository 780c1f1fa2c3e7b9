//! Each policy switch turns off its own mechanism and no other.

mod common;

use common::{Driver, answer, definition, gather, route, searcher, settings};
use staircross_routing::{AttemptKey, AttemptOutcome, NotRun, RoutingPolicy, RoutingSettings};
use staircross_types::{BootTime, ErrorKind};

/// Returns a driver of a node that has just restarted, with two searchers of one shard and this policy.
fn driver(policy: RoutingPolicy) -> Driver {
    let restarted_at = Some(BootTime::from_millis(1_000_000));
    let settings = RoutingSettings { policy, restarted_at, ..settings() };
    let searchers = vec![searcher("x-1", "x", "a"), searcher("x-2", "x", "a")];
    Driver::with_settings(settings, definition(1, vec![route("q", gather(&["x"], 2, 1.0))], &["x"]), searchers)
}

fn all_on() -> RoutingPolicy {
    RoutingPolicy::default()
}

#[test]
fn without_hedges_a_late_searcher_is_waited_for() {
    for (policy, sends) in [(all_on(), 2), (RoutingPolicy { hedges: false, ..all_on() }, 1)] {
        let mut driver = driver(policy);
        driver.advance_ms(2000);
        let request = driver.request("/q/1");
        driver.advance_ms(240);
        assert_eq!(driver.sent_for(request).len(), sends);
    }
}

#[test]
fn without_a_rest_a_restarted_node_hedges_from_the_start() {
    for (policy, sends) in [(all_on(), 1), (RoutingPolicy { start_rest: false, ..all_on() }, 2)] {
        let mut driver = driver(policy);
        let request = driver.request("/q/1");
        driver.advance_ms(240);
        assert_eq!(driver.sent_for(request).len(), sends);
        driver.advance_ms(1761);
        assert_eq!(driver.sent_for(request).len(), 2, "an attempt that is still late after two seconds is hedged");
    }
}

#[test]
fn without_waiting_a_shard_that_is_turned_away_everywhere_is_lost() {
    for (policy, is_lost) in [(all_on(), false), (RoutingPolicy { waiting: false, ..all_on() }, true)] {
        let mut driver = driver(policy);
        let request = driver.request("/q/1");
        for index in 0..2 {
            let attempt = driver.sends[index].attempt;
            driver.end(attempt, AttemptOutcome::NotRun(NotRun::ConnectionRejected));
        }
        assert_eq!(driver.refusal(request) == Some(ErrorKind::NotDelivered), is_lost);
    }
}

#[test]
fn without_holds_an_unconfigured_node_refuses_at_once() {
    for (policy, is_refused) in [(all_on(), false), (RoutingPolicy { holds: false, ..all_on() }, true)] {
        let mut driver = Driver::new();
        driver.engine = staircross_routing::RoutingEngine::new(RoutingSettings { policy, ..settings() });
        let request = driver.request("/q/1");
        assert_eq!(driver.refusal(request) == Some(ErrorKind::NoConfiguration), is_refused);
    }
}

#[test]
fn without_the_ramp_a_restarted_node_takes_its_share_at_once() {
    for (policy, sends) in [(all_on(), 2), (RoutingPolicy { connection_ramp: false, ..all_on() }, 8)] {
        let mut driver = driver(policy);
        driver.set_fleet(&[("a", 9)], 9);
        for number in 0..8 {
            driver.request(&format!("/q/{number}"));
        }
        assert_eq!(
            driver.sends.len(),
            sends,
            "there are two searchers, of each of which the node's share is four connections"
        );
    }
}

#[test]
fn without_avoidance_a_slow_searcher_is_asked_as_often_as_another() {
    let first_attempts_at_slow = |policy: RoutingPolicy| {
        let mut driver = driver(policy);
        let mut slow = 0;
        for number in 0..200 {
            let request = driver.request(&format!("/q/{number}"));
            let first = driver.sent_for(request)[0].clone();
            let is_slow = &*first.instance == "x-1";
            slow += usize::from(is_slow);
            driver.advance_ms(if is_slow { 12 } else { 2 });
            driver.end(first.attempt, answer(200, "stamp", Vec::new()));
            let hedges: Vec<AttemptKey> = driver.sent_for(request)[1..].iter().map(|order| order.attempt).collect();
            hedges.into_iter().for_each(|hedge| driver.end(hedge, AttemptOutcome::Cancelled));
        }
        slow
    };
    let (avoided, not_avoided) =
        (first_attempts_at_slow(all_on()), first_attempts_at_slow(RoutingPolicy { avoid_slow: false, ..all_on() }));
    assert!(avoided * 3 < not_avoided, "{avoided} and {not_avoided} of 200");
}
