//! A planned stop: announced at once, carried out when callers have gone elsewhere.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use staircross_cluster::MemberState;
use staircross_types::BootTime;
use std::time::Duration;

/// Callers keep an answer of the directory up to so many times as long as they were told.
const DIRECTORY_KEPT: u32 = 3;
/// Kept free before the process would be killed.
const KILL_GUARD: Duration = Duration::from_millis(500);
/// Looks in a row that find nothing to do before the node ends. Looks and not time: after a pause of
/// this process, requests may wait in its sockets that it hasn't read.
const IDLE_LOOKS: u32 = 3;

/// A planned stop in progress.
pub(super) struct StopState {
    /// Until when callers may still come.
    linger_until: BootTime,
    /// When the node ends whatever is in flight.
    latest: BootTime,
    idle_looks: u32,
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
        let linger_until = (self.now + self.directory_ttl() * DIRECTORY_KEPT + KILL_GUARD).min(latest);
        self.stop = Some(StopState { linger_until, latest, idle_looks: 0, is_done: false });
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
        let is_idle = !is_busy && now >= stop.linger_until;
        stop.idle_looks = if is_idle { stop.idle_looks + 1 } else { 0 };
        stop.is_done = stop.idle_looks >= IDLE_LOOKS || now >= stop.latest;
        if stop.is_done {
            let mut events = Vec::new();
            self.fleet.leave(MemberState::Left, &mut events);
            self.take_fleet_events(events);
        }
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stop.as_ref().is_some_and(|stop| stop.is_done)
    }
}
