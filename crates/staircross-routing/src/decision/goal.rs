//! Time that this node has to answer in time.
//!
//! Decides for each request by when its answer must be on its way to be worth most ([`usable_goal`], [`answer_by`]): from then on parts that are in go
//! out without the missing ones ([`super::giving_up`]), and a hedge is timed so that it can be answered before ([`super::hedging`]).
//!
//! **Inputs.** The route's goal (from the deploy file, in milliseconds); the round trip to the caller as the kernel measured it on the connection, if
//! it does; whether the connection was made for this request; what the request waited to be read.
//!
//! **What it buys.** A caller's clock runs from before it asks the directory until it has read the answer, so far callers must be answered earlier. Against
//! 22 ms kept free for everybody, mean worth of a day (0 to 1): +0.0184 ± 0.0025 on a fleet whose callers are 3 ms away, +0.0004 ± 0.0016 where they are 1 ms
//! away (`docs/studies/policy-rounds.md`); against no regard to the distance +0.0017 to +0.0216 on four fleets (`docs/studies/switches.md`).
//!
//! **What it doesn't know.** Whether the caller had to ask the directory this time; how long it takes to read the answer; the round trip where the
//! system doesn't report it.
//!
//! **At work.** Log: `finish` gives the time an answer took, `left_out cause=late` the shards that it went out without. Metric: `answers_partial_total`.
//! **Switch of `[policy]`.** `routing.caller_distance`: all callers are taken to be near.

use crate::configuration::definition::RouteDefinition;
use crate::state::request::CallerLink;
use staircross_types::BootTime;
use std::time::Duration;

/// Round trips of a request before and after its time at this node, on a connection made for it: to connect to the directory
/// and ask it, to connect here and ask. Derived.
const FRESH_TRIPS: f64 = 4.0;

/// The same on a kept connection. Callers keep an answer of the directory for about a second, so most have asked it anew. Of 1, 3 and 4, mean
/// worth of a day with 10 ms besides on a fleet whose callers are 3 ms away: +0.0007, +0.0184, +0.0159.
const KEPT_TRIPS: f64 = 3.0;

/// Taken besides for turns of the processes on both sides. Of 6 and 10 ms, mean worth of a day on a fleet whose callers are 1 ms away, with four round
/// trips: -0.0009 and +0.0004.
const TURNS: Duration = Duration::from_millis(10);

/// What callers are taken to spend where the system doesn't report how far they are. Of 16, 22 and 30 ms for all callers, mean worth of a day against 22 ms:
/// 16 ms -0.0072, 30 ms -0.0019 ± 0.0014 where callers are 1 ms away and +0.0146 ± 0.0019 where they are 3 ms away.
const USUAL_SPENT: Duration = Duration::from_millis(22);

/// Most of the goal that is left to the caller's side. So that far callers leave the node half of it.
const MAX_FRACTION: f64 = 0.5;

/// Time from a request's arrival until an answer must be on its way to be worth most.
pub fn usable_goal(route: &RouteDefinition, link: &CallerLink) -> Duration {
    let goal = Duration::from_millis(route.goal_ms);
    goal - spent_by_caller(link).min(goal.mul_f64(MAX_FRACTION))
}

/// When the answer to a request that arrives now must be on its way to be worth most, which is never after its deadline. `waited` is what it may
/// have waited to be read.
pub fn answer_by(now: BootTime, usable_goal: Duration, waited: Duration, deadline: BootTime) -> BootTime {
    (now + usable_goal.saturating_sub(waited)).min(deadline)
}

fn spent_by_caller(link: &CallerLink) -> Duration {
    let trips = if link.is_fresh { FRESH_TRIPS } else { KEPT_TRIPS };
    link.round_trip.map_or(USUAL_SPENT, |round_trip| round_trip.mul_f64(trips) + TURNS)
}
