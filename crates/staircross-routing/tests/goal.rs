//! The time that a node has for an answer, which depends on the route's goal and the round trip to the caller.

mod common;

use common::{Driver, answer, definition, gather, records, route, searcher};
use staircross_routing::decision::goal::{answer_by, usable_goal};
use staircross_routing::engine::RoutingEvent;
use staircross_routing::{CallerLink, RequestKey, RouteTarget};
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

fn link(round_trip_ms: f64, is_new_connection: bool) -> CallerLink {
    CallerLink { round_trip: Some(Duration::from_secs_f64(round_trip_ms / 1000.0)), is_new_connection }
}

fn usable_goal_of(goal_ms: u64, link: CallerLink) -> Duration {
    let mut route_with_goal = route("r", RouteTarget::Service(Arc::from("books")));
    route_with_goal.goal_ms = goal_ms;
    usable_goal(&route_with_goal, &link)
}

#[test]
fn a_far_caller_leaves_less_time_than_a_near_one() {
    assert_eq!(usable_goal_of(200, link(2.5, true)), Duration::from_millis(180));
    assert_eq!(usable_goal_of(200, link(6.0, true)), Duration::from_millis(166));
}

#[test]
fn a_kept_connection_leaves_more_time_than_a_fresh_one() {
    assert_eq!(usable_goal_of(200, link(6.0, false)), Duration::from_millis(172));
}

#[test]
fn a_caller_whose_way_takes_longer_than_its_goal_leaves_half_of_it() {
    assert_eq!(usable_goal_of(60, link(24.0, true)), Duration::from_millis(30));
}

#[test]
fn where_the_system_does_not_tell_a_usual_way_is_taken() {
    assert_eq!(usable_goal_of(200, CallerLink::default()), Duration::from_millis(178));
}

#[test]
fn an_answer_is_due_by_the_goal_less_what_its_request_waited_and_never_after_the_deadline() {
    let now = BootTime::from_millis(100_000);
    // Inputs: usable goal, time that the request waited to be read, time until the deadline. Expected: time until the
    // answer is due. All times are in ms.
    for (goal, waited, deadline, due_after) in
        [(200, 0, 1000, 200), (200, 50, 1000, 150), (200, 300, 1000, 0), (200, 0, 90, 90)]
    {
        let [goal, waited, deadline, due_after] = [goal, waited, deadline, due_after].map(Duration::from_millis);
        assert_eq!(answer_by(now, goal, waited, now + deadline), now + due_after);
    }
}

/// Returns the time from a request's arrival to its answer if three of four shards answer at once and the fourth never
/// does.
fn time_to_partial_answer(link: CallerLink) -> Duration {
    let shards = ["w", "x", "y", "z"];
    let searchers = shards.map(|shard| searcher(&format!("{shard}-a"), shard, "a")).to_vec();
    let mut driver = Driver::with(definition(1, vec![route("q", gather(&shards, 3, 0.5))], &shards), searchers);
    let mut arrival = driver.arrival("/q/1");
    arrival.link = link;
    let (key, arrived_at): (RequestKey, _) = (arrival.key, driver.now);
    driver.event(RoutingEvent::Arrived(arrival));
    for attempt in driver.sent_for(key).iter().skip(1).map(|order| order.attempt).collect::<Vec<_>>() {
        driver.end(attempt, answer(200, "stamp", records(&[1])));
    }
    driver.advance_ms(1000);
    driver.finished_at[0].since(arrived_at)
}

#[test]
fn the_parts_that_are_in_go_out_early_enough_for_their_caller() {
    assert_eq!(time_to_partial_answer(link(1.0, true)), Duration::from_millis(236));
    assert_eq!(time_to_partial_answer(link(20.0, true)), Duration::from_millis(160));
}
