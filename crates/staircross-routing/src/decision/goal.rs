//! Computes the time that this node has for an answer that reaches its caller in time.
//!
//! An answer has its full value if it reaches the caller within the route's latency goal. The rule decides for each
//! request by when its answer must be sent for that ([`usable_goal`], [`answer_by`]). From then on, the parts received
//! are sent without the missing ones ([`super::request_lifecycle`]), and hedges are timed so that they can be answered
//! before ([`super::hedging`]).
//!
//! The inputs are the route's goal (from the deploy file, in milliseconds); the round trip to the caller as the kernel
//! measured it on the connection, if it does; whether the connection was made for this request; and how long the
//! request waited to be read.
//!
//! The rule gives distant callers answers in time. A caller's clock runs from before it asks the directory until it has
//! read the answer, so distant callers must be answered earlier. Compared with 22 ms reserved for every caller, the
//! mean score of a day's requests (0 to 1, `docs/studies/scores.md`) changes by +0.0184 ± 0.0025 on a fleet whose
//! callers are 3 ms away and by +0.0004 ± 0.0016 where they are 1 ms away (`docs/studies/policy-rounds.md`). Compared
//! with ignoring the distance of callers, it changes by +0.0017 to +0.0216 on four fleets (`docs/studies/switches.md`).
//!
//! The rule doesn't know whether the caller had to ask the directory this time, how long the caller takes to read the
//! answer, or the round trip if the system doesn't report it.
//!
//! The log shows the time that an answer took as `finish`, and the shards missing from it as `left_out cause=late`; the
//! metric is `answers_partial_total`. With `routing.caller_distance = false`, the distance of every caller counts as
//! not reported.

use crate::configuration::definition::RouteDefinition;
use crate::state::request::CallerLink;
use staircross_types::BootTime;
use std::time::Duration;

/// Round trips that a request on a new connection takes before and after its time at this node: to connect to the
/// directory and ask it, and to connect to this node and ask it.
const NEW_CONNECTION_ROUND_TRIPS: f64 = 4.0;

/// Round trips that a request on a kept connection takes. Callers cache an answer of the directory for about a second,
/// so most have asked it anew. On a fleet whose callers are 3 ms away, the mean score of a day's requests changes by
/// +0.0007 with 1 round trip, by +0.0184 with 3 and by +0.0159 with 4, each plus 10 ms ([`SCHEDULING_TIME`]), compared
/// with 22 ms for every caller.
const KEPT_CONNECTION_ROUND_TRIPS: f64 = 3.0;

/// Additional time for the scheduling of the processes on both sides. On a fleet whose callers are 1 ms away, the mean
/// score of a day's requests changes by -0.0009 with 6 ms and by +0.0004 with 10 ms, each plus four round trips.
const SCHEDULING_TIME: Duration = Duration::from_millis(10);

/// Time that callers are assumed to spend if the system doesn't report their distance. Compared with 22 ms for all
/// callers, the mean score of a day's requests changes by -0.0072 with 16 ms. With 30 ms, it changes by
/// -0.0019 ± 0.0014 where callers are 1 ms away and by +0.0146 ± 0.0019 where they are 3 ms away.
const DEFAULT_CALLER_TIME: Duration = Duration::from_millis(22);

/// Largest fraction of the goal that is reserved for the caller's side. Distant callers thus leave this node at least
/// half of the goal.
const MAX_CALLER_FRACTION: f64 = 0.5;

/// Returns the time from a request's arrival until its answer must be sent to meet the latency goal.
pub fn usable_goal(route: &RouteDefinition, link: &CallerLink) -> Duration {
    let goal = Duration::from_millis(route.goal_ms);
    goal - caller_time(link).min(goal.mul_f64(MAX_CALLER_FRACTION))
}

/// Returns the time by which the answer to a request that arrives now must be sent to meet the latency goal, which is
/// never after its deadline. `waited` is the time for which the request may have waited to be read.
pub fn answer_by(now: BootTime, usable_goal: Duration, waited: Duration, deadline: BootTime) -> BootTime {
    (now + usable_goal.saturating_sub(waited)).min(deadline)
}

/// Returns the part of the goal that is spent outside this node.
fn caller_time(link: &CallerLink) -> Duration {
    let round_trips = if link.is_new_connection { NEW_CONNECTION_ROUND_TRIPS } else { KEPT_CONNECTION_ROUND_TRIPS };
    link.round_trip.map_or(DEFAULT_CALLER_TIME, |round_trip| round_trip.mul_f64(round_trips) + SCHEDULING_TIME)
}
