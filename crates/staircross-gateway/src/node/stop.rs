//! A planned stop: announced at once, carried out when callers have gone elsewhere.
//!
//! First requests are served as ever, then they are refused as not run. When nothing is under way, or the end is near, callers' listeners close, so
//! that connecting is refused, and each refusal closes its connection. When no connection has been used for a while either, the node ends. What is
//! under way when the process would soon be killed is answered. A caller that connects late, or goes on using its connection, is so answered and
//! never cut.
//!
//! [`StopState`] owns the times of a stop in progress. Relies on the settings for the time until the process is killed, and on
//! callers keeping an answer of the directory no longer than they may.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::server::Endpoint;
use staircross_cluster::MemberState;
use staircross_routing::{RoutingEvent, Verdict};
use staircross_types::{BootTime, ErrorKind};
use std::time::Duration;

/// Times the stated time to live for which callers may keep an answer of the directory. Given by the platform.
const DIRECTORY_KEPT: u32 = 3;
/// Shortest time to live of the directory's answers, so that callers don't ask before most requests.
const MIN_DIRECTORY_TTL: Duration = Duration::from_millis(250);
/// Longest time to live of the directory's answers, whatever the settings allow: callers are to leave a dead node soon.
const MAX_DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Time kept free before the process would be killed, for a late wake-up and the last writes.
const KILL_GUARD: Duration = Duration::from_millis(500);
/// Time kept free besides for requests that were taken last: above the time that callers usually give.
const LAST_REQUESTS: Duration = Duration::from_millis(1500);
/// Looks in a row that find nothing to do before the listeners close. Looks and not time: after a pause of
/// this process, requests may wait in its sockets that it hasn't read.
const IDLE_LOOKS: u32 = 3;
/// Time for which all connections of callers must have rested at the end. Callers that rest longer between requests see the end of the
/// connection before they send.
const LAST_REST: Duration = Duration::from_millis(500);
/// Time before the last moment at which the listeners close though requests are under way: callers who go on asking must each be answered once more
/// and find no way back.
const LAST_CLOSING: Duration = Duration::from_millis(1000);
// Whoever connects until then is refused, and not taken.
const _: () = assert!(LAST_CLOSING.as_millis() < LAST_REQUESTS.as_millis());

/// A planned stop in progress.
pub(super) struct StopState {
    /// Until when requests are still taken from callers who hold this node's address.
    takes_until: BootTime,
    /// When the listeners close whatever is in flight.
    closes_by: BootTime,
    /// When the node ends whatever is in flight.
    latest: BootTime,
    idle_looks: u32,
    has_closed_listeners: bool,
    is_done: bool,
}

impl<D: Dialect> GatewayNode<D> {
    pub(super) fn begin_stop(&mut self) {
        if self.stop.is_some() {
            self.log.line(self.now, LineKind::Belief, format_args!("event=stop_again"));
            return;
        }
        let in_flight = self.engine.in_flight();
        self.log.line(self.now, LineKind::Belief, format_args!("event=stop_begins in_flight={in_flight}"));
        let grace = Duration::from_secs_f64(self.settings.bounds.stop_s);
        let latest = self.now + grace.saturating_sub(KILL_GUARD);
        let has_left = self.now + self.directory_ttl() * DIRECTORY_KEPT + KILL_GUARD;
        let takes_until = has_left.min(latest - LAST_REQUESTS).max(self.now);
        let closes_by = latest - LAST_CLOSING;
        self.stop = Some(StopState {
            takes_until,
            closes_by,
            latest,
            idle_looks: 0,
            has_closed_listeners: false,
            is_done: false,
        });
        self.update_readiness();
        let mut events = Vec::new();
        self.fleet.leave(MemberState::Leaving, &mut events);
        self.take_fleet_events(events);
    }

    pub(super) fn on_stop_tick(&mut self) {
        let is_busy = self.engine.in_flight() > 0 || self.server.is_busy();
        let now = self.now;
        let Some(stop) = &mut self.stop else {
            return;
        };
        let is_idle = !is_busy && now >= stop.takes_until;
        stop.idle_looks = if is_idle { stop.idle_looks + 1 } else { 0 };
        let must_close = stop.idle_looks >= IDLE_LOOKS || now >= stop.closes_by;
        if must_close && !stop.has_closed_listeners {
            stop.has_closed_listeners = true;
            self.server.stop_listening(now, Endpoint::Callers, self.poll.registry());
        }
        let has_ended = stop.has_closed_listeners && is_idle && self.server.have_callers_rested(now, LAST_REST);
        let is_latest = now >= stop.latest;
        if is_latest && !self.requests.is_empty() {
            // Their answers go out before the next tick ends the node.
            return self.answer_in_flight();
        }
        stop.is_done = has_ended || is_latest;
        if stop.is_done {
            let mut events = Vec::new();
            self.fleet.leave(MemberState::Left, &mut events);
            self.take_fleet_events(events);
        }
    }

    /// Answers what can't be waited for any longer: its callers are told that it may have run.
    fn answer_in_flight(&mut self) {
        for key in self.requests.keys() {
            let detail = "the node stops and can't wait any longer; the request may have run";
            self.finish(key, Verdict::Refused { kind: ErrorKind::TimedOut, detail, retry_after: None });
            self.engine_event(RoutingEvent::CallerGone(key));
        }
    }

    /// Whether what comes now is refused as not run: its end could not be waited for.
    pub(super) fn is_closed_to_requests(&self) -> bool {
        self.stop.as_ref().is_some_and(|stop| self.now >= stop.takes_until)
    }

    /// Whether callers can connect.
    pub(super) fn is_listening_to_callers(&self) -> bool {
        self.stop.as_ref().is_none_or(|stop| !stop.has_closed_listeners)
    }

    /// Time to live of the directory's answers, such that they have left a
    /// stopping node while it can still finish what it took from them.
    pub(super) fn directory_ttl(&self) -> Duration {
        let bounds = &self.settings.bounds;
        let grace = Duration::from_secs_f64(bounds.stop_s);
        let lingering = grace.saturating_sub(KILL_GUARD + KILL_GUARD + LAST_REQUESTS);
        let longest = Duration::from_secs_f64(bounds.directory_ttl_s).min(MAX_DIRECTORY_TTL);
        (lingering / DIRECTORY_KEPT).clamp(MIN_DIRECTORY_TTL, longest.max(MIN_DIRECTORY_TTL))
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stop.as_ref().is_some_and(|stop| stop.is_done)
    }
}
