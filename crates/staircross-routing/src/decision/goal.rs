//! Time that this node has to answer in time.
//!
//! A caller's clock runs from before it asks the directory until it has read the answer. What it spends besides this
//! node's work follows from how far it is.

use crate::configuration::definition::RouteDefinition;
use crate::state::request::CallerLink;
use std::time::Duration;

/// Round trips of a request before and after its time at this node, on a connection made for it: to connect to the directory
/// and ask it, to connect here and ask.
const FRESH_TRIPS: f64 = 4.0;
/// The same on a kept connection. Callers keep an answer of the directory for about a second, so most have asked it anew.
const KEPT_TRIPS: f64 = 3.0;
/// Taken besides for turns of the processes on both sides. Of 6 and 10 ms, 10 measured better on the users' bench.
const TURNS: Duration = Duration::from_millis(10);
/// What callers are taken to spend where the system doesn't tell how far they are.
const USUAL_SPENT: Duration = Duration::from_millis(22);
/// Most of the goal that is left to the caller's side.
const MAX_FRACTION: f64 = 0.5;

/// Time from a request's arrival until an answer must be on its way to be worth most.
pub fn usable_goal(route: &RouteDefinition, link: &CallerLink) -> Duration {
    let goal = Duration::from_millis(route.goal_ms);
    goal - spent_by_caller(link).min(goal.mul_f64(MAX_FRACTION))
}

fn spent_by_caller(link: &CallerLink) -> Duration {
    let trips = if link.is_fresh { FRESH_TRIPS } else { KEPT_TRIPS };
    link.round_trip.map_or(USUAL_SPENT, |round_trip| round_trip.mul_f64(trips) + TURNS)
}
