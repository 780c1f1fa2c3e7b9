//! Planned stop: the node announces that it leaves, and stops once callers have gone to other nodes.
//!
//! A stop passes through these phases:
//!
//! 1. Requests are still served, because callers may still hold this node's address from the directory. The engine knows
//!    the deadline, and refuses those that it couldn't answer by then.
//! 2. New requests are refused as not executed.
//! 3. When no request is in flight, or the deadline is near, the listeners for callers and of the directory close, so
//!    that new connections are refused. From then on, each refusal and each answer of the directory closes its
//!    connection.
//! 4. When no caller's connection has been used for a while either, the node ends.
//! 5. Shortly before the deadline, which is before the process would be killed, the engine ends the requests still in
//!    flight.
//!
//! So a caller that connects late or goes on using its connection gets an answer and is never cut off.
//!
//! [`StopState`] owns the times of a stop in progress. This module relies on the settings for the time until the
//! process is killed, and on callers not keeping an answer of the directory for longer than allowed.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::event_log::LineKind;
use staircross_cluster::MemberState;
use staircross_routing::decision::request_lifecycle::DEADLINE_GUARD;
use staircross_routing::{RequestOutcome, RoutingEvent};
use staircross_types::{BootTime, ErrorKind};
use std::time::Duration;

/// Callers may keep an answer of the directory for this many times its stated time to live. The platform sets this
/// factor.
const DIRECTORY_TTL_FACTOR: u32 = 3;
/// Minimum time to live of the directory's answers, so that callers don't have to ask before most of their requests.
const MIN_DIRECTORY_TTL: Duration = Duration::from_millis(250);
/// Maximum time to live of the directory's answers, whatever the settings allow, so that callers soon leave a dead
/// node.
const MAX_DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Reserve before the time at which the process would be killed, for a late wake-up and the last writes.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Further reserve for the requests that were accepted last. It is longer than callers usually wait.
const LAST_REQUESTS_MARGIN: Duration = Duration::from_millis(1500);
/// Number of consecutive idle ticks after which the listeners close. This counts ticks rather than time: after a
/// pause of this process, requests may wait unread in its sockets.
const IDLE_TICKS_TO_CLOSE: u32 = 3;
/// Time before the deadline at which the listeners close even with requests in flight. It must be long enough to
/// answer each caller that goes on sending once more, after which the caller can't connect again.
const LISTENER_CLOSE_MARGIN: Duration = Duration::from_millis(1000);
// By the time the listeners close, requests on new connections must already be refused.
const _: () = assert!(LISTENER_CLOSE_MARGIN.as_millis() < LAST_REQUESTS_MARGIN.as_millis());

/// A planned stop in progress.
pub(super) struct StopState {
    /// Time until which requests are still accepted, since callers may hold this node's address.
    accepts_until: BootTime,
    /// Time at which the listeners close even with requests in flight.
    listeners_close_at: BootTime,
    /// Deadline at which the node ends even with requests in flight.
    deadline: BootTime,
    idle_ticks: u32,
    is_done: bool,
}

impl<D: Dialect> GatewayNode<D> {
    /// Begins a planned stop and announces it to peers. If a stop is in progress already, the request is only logged.
    pub(super) fn begin_stop(&mut self) {
        if self.stop.is_some() {
            self.log.line(self.now, LineKind::NodeEvent, format_args!("event=stop_again"));
            return;
        }
        let in_flight = self.engine.in_flight();
        self.log.line(self.now, LineKind::NodeEvent, format_args!("event=stop_begins in_flight={in_flight}"));
        // The process is killed a fixed time after the signal, which may have come while it stood still.
        let asked_at = self.now - self.load.max_event_delay(self.now);
        let grace = Duration::from_secs_f64(self.settings.bounds.stop_s);
        let deadline = asked_at + grace.saturating_sub(KILL_MARGIN);
        let callers_left_at = self.now + self.directory_ttl() * DIRECTORY_TTL_FACTOR + KILL_MARGIN;
        let accepts_until = callers_left_at.min(deadline - LAST_REQUESTS_MARGIN).max(self.now);
        let listeners_close_at = deadline - LISTENER_CLOSE_MARGIN;
        self.stop = Some(StopState { accepts_until, listeners_close_at, deadline, idle_ticks: 0, is_done: false });
        self.process_routing_event(RoutingEvent::StopsAt(deadline - DEADLINE_GUARD));
        self.update_readiness();
        let mut events = Vec::new();
        self.fleet.leave(MemberState::Leaving, &mut events);
        self.handle_fleet_events(events);
    }

    /// Advances a stop in progress: closes the listeners, refuses the last requests at the deadline, and ends the node.
    pub(super) fn on_stop_tick(&mut self) {
        let is_busy = self.engine.in_flight() > 0 || self.server.is_busy(Endpoint::Callers);
        let now = self.now;
        let Some(stop) = &mut self.stop else {
            return;
        };
        let is_idle = !is_busy && now >= stop.accepts_until;
        stop.idle_ticks = if is_idle { stop.idle_ticks + 1 } else { 0 };
        let is_past_deadline = now >= stop.deadline;
        if stop.idle_ticks >= IDLE_TICKS_TO_CLOSE || now >= stop.listeners_close_at {
            self.stop_listening_to_callers();
        }
        if is_past_deadline && !self.requests.is_empty() {
            // The answers are written before the next tick ends the node.
            return self.time_out_requests_in_flight();
        }
        if is_past_deadline || (is_idle && self.have_callers_left()) {
            self.end_stop();
        }
    }

    /// Returns whether nobody uses the endpoints of callers any more.
    fn have_callers_left(&self) -> bool {
        Endpoint::USED_BY_CALLERS.iter().all(|endpoint| self.server.is_drained(self.now, *endpoint))
    }

    fn end_stop(&mut self) {
        if let Some(stop) = &mut self.stop {
            stop.is_done = true;
        }
        let mut events = Vec::new();
        self.fleet.leave(MemberState::Left, &mut events);
        self.handle_fleet_events(events);
    }

    fn stop_listening_to_callers(&mut self) {
        for endpoint in Endpoint::USED_BY_CALLERS {
            if let Err(error) = self.server.stop_listening(self.now, endpoint) {
                self.log.line(self.now, LineKind::NodeEvent, format_args!("event=filter_refused error={error}"));
            }
        }
    }

    /// Refuses all requests that are in flight at the deadline as timed out, because the process was paused when the engine
    /// would have ended them. The refusal says that the request may have run.
    fn time_out_requests_in_flight(&mut self) {
        for key in self.requests.keys() {
            let detail = "the node stops and can't wait any longer; the request may have run";
            self.finish_request(key, RequestOutcome::Refused { kind: ErrorKind::TimedOut, detail, retry_after: None });
            self.process_routing_event(RoutingEvent::CallerGone(key));
        }
    }

    /// Returns whether new requests are refused as not executed, because the node couldn't wait for their end.
    pub(super) fn is_refusing_requests(&self) -> bool {
        self.stop.as_ref().is_some_and(|stop| self.now >= stop.accepts_until)
    }

    /// Returns the time to live of the directory's answers. It is short enough that callers have left a stopping node
    /// while the node can still finish the requests that it accepted from them.
    pub(super) fn directory_ttl(&self) -> Duration {
        let bounds = &self.settings.bounds;
        let grace = Duration::from_secs_f64(bounds.stop_s);
        let time_to_leave = grace.saturating_sub(KILL_MARGIN + KILL_MARGIN + LAST_REQUESTS_MARGIN);
        let longest = Duration::from_secs_f64(bounds.directory_ttl_s).min(MAX_DIRECTORY_TTL);
        (time_to_leave / DIRECTORY_TTL_FACTOR).clamp(MIN_DIRECTORY_TTL, longest.max(MIN_DIRECTORY_TTL))
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stop.as_ref().is_some_and(|stop| stop.is_done)
    }
}
