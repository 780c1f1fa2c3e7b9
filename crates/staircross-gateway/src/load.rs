//! How busy this process is, and with what delay it handles its work.
//!
//! A process that gets too little CPU time finds more and more events waiting at each turn (iteration) of its event
//! loop. Such an event may have arrived at any time since the previous turn; the event itself doesn't tell when.
//!
//! A node is *pressed* if its process is so busy that callers should be sent to other nodes, and *overloaded* if its
//! events wait so long that new requests should be refused.
//!
//! [`LoadMeter`] owns the times of the turns and relies on the event loop to report the start and the end of each turn.
//! The directory decides where callers of a pressed node are sent, and the engine which requests an overloaded node
//! refuses.

use staircross_types::BootTime;
use std::time::Duration;

/// Time over which the busy fraction is averaged, that is, the fraction of the time for which the event loop isn't
/// asleep. It spans many turns and is short beside the time for which callers keep an answer of the directory.
const BUSY_WINDOW: Duration = Duration::from_millis(500);
/// Busy fraction, in percent, from which a node is pressed. It is above the load for which the directory plans the
/// serving nodes, those that it sends callers to, with room for the callers of a node that fails.
const PRESSED_PERCENT: u8 = 70;
/// Delay of events from which a node is overloaded, so that most of a typical caller's timeout is left for another
/// node.
const OVERLOADED_DELAY: Duration = Duration::from_millis(150);
/// Longest sleep of the event loop that isn't regarded as a stall of the process: twice the loop's tick, so that a late
/// wake-up doesn't count as a stall.
const MAX_PLANNED_SLEEP: Duration = Duration::from_millis(100);

/// Measures the turns of the event loop.
#[derive(Debug)]
pub struct LoadMeter {
    turn_began: BootTime,
    turn_ended: BootTime,
    /// Duration of the previous turn.
    previous_turn: Duration,
    /// Duration of the sleep after the previous turn.
    previous_sleep: Duration,
    window_began: BootTime,
    busy_time: Duration,
    busy_percent: u8,
}

impl LoadMeter {
    /// Creates the meter of an idle process.
    pub fn new(now: BootTime) -> Self {
        LoadMeter {
            turn_began: now,
            turn_ended: now,
            previous_turn: Duration::ZERO,
            previous_sleep: Duration::ZERO,
            window_began: now,
            busy_time: Duration::ZERO,
            busy_percent: 0,
        }
    }

    /// Starts a turn.
    pub fn begin_turn(&mut self, now: BootTime) {
        self.previous_turn = self.turn_ended.since(self.turn_began);
        self.previous_sleep = now.since(self.turn_ended);
        self.turn_began = now;
    }

    /// Ends a turn, and updates the busy fraction once per window.
    pub fn end_turn(&mut self, now: BootTime) {
        self.turn_ended = now;
        self.busy_time += now.since(self.turn_began);
        let window = now.since(self.window_began);
        if window >= BUSY_WINDOW {
            let busy_fraction = self.busy_time.as_secs_f64() / window.as_secs_f64();
            self.busy_percent = (busy_fraction * 100.0).min(100.0) as u8;
            self.window_began = now;
            self.busy_time = Duration::ZERO;
        }
    }

    /// Returns the time between the starts of this turn and of the previous one.
    pub fn turn_interval(&self) -> Duration {
        self.previous_turn + self.previous_sleep
    }

    /// Returns the longest time for which an event that is handled now may have waited since it arrived.
    ///
    /// An event that arrives during a sleep ends the sleep. So an event can only have waited during the previous turn,
    /// during this one, or during a sleep that is too long to be planned, in which the process itself was stalled.
    pub fn max_event_delay(&self, now: BootTime) -> Duration {
        let stall = if self.previous_sleep > MAX_PLANNED_SLEEP { self.previous_sleep } else { Duration::ZERO };
        self.previous_turn + stall + now.since(self.turn_began)
    }

    /// Returns whether the node is overloaded, so that new requests should be refused.
    pub fn is_overloaded(&self, now: BootTime) -> bool {
        self.max_event_delay(now) >= OVERLOADED_DELAY
    }

    /// Returns the busy fraction of the last complete window, in percent.
    pub fn busy_percent(&self) -> u8 {
        self.busy_percent
    }

    /// Returns whether the node is pressed, so that callers should be sent to other nodes.
    pub fn is_pressed(&self) -> bool {
        is_pressed(self.busy_percent)
    }
}

/// Returns whether a node with this busy fraction, in percent, is pressed.
pub fn is_pressed(percent: u8) -> bool {
    percent >= PRESSED_PERCENT
}
