//! Decides which requests a node that is about to stop still begins.
//!
//! The node answers nothing after a fixed time ([`crate::engine::RoutingEvent::StopsAt`]). A request that isn't answered
//! by then ends as timed out, and its caller doesn't know whether it ran. The rule refuses such a request when it
//! arrives, as one that didn't run, so that its caller can send it to another node.
//!
//! The inputs are durations and whether the request may be repeated. What decides is by when the request ends in any
//! case, and how long late answers of its route have taken at this node. A route that this node hasn't measured yet may
//! be of any length: only requests that may be repeated are begun.
//!
//! The rule doesn't know how long this request takes, nor whether its caller asks another node.
//!
//! The log shows the rule as `finish` with `leaving`; the metric is `staircross_refusals_total{kind="leaving"}`. It is a
//! promise to callers and can't be turned off.

use std::time::Duration;

/// Number of late answers, one after the other, for which there must be time: an attempt may be turned away or queued
/// before the one that is answered.
const LATE_ANSWERS: u32 = 2;

/// The time of a request that arrives at a node that is about to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastRequest {
    /// Time until this node answers nothing more.
    pub until_stop: Duration,
    /// Time until the request ends in any case, by its caller's timeout or its route's.
    pub until_deadline: Duration,
    /// Time that a late answer of the route takes, if it was measured.
    pub late_answer: Option<Duration>,
    /// Whether the request may be repeated.
    pub is_idempotent: bool,
}

/// Returns whether the request is begun: whether it ends or is probably answered before the node stops.
pub fn may_begin(request: LastRequest) -> bool {
    if request.until_deadline <= request.until_stop {
        return true;
    }
    match request.late_answer {
        Some(late_answer) => late_answer * LATE_ANSWERS <= request.until_stop,
        None => request.is_idempotent,
    }
}
