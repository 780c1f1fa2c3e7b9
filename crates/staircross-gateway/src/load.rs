//! How busy this process is, and how late it comes to its work.
//!
//! A process that gets too little of its processor finds more and more waiting at each turn of its
//! loop. What it reads then arrived at some time since the turn before; nothing says when.
//!
//! [`LoadMeter`] owns the times of the turns and relies on the loop to report both ends of each; what follows from
//! a busy or late process is decided by the engine and the directory.

use staircross_types::BootTime;
use std::time::Duration;

/// Time over which the busy share is averaged. To span many turns, and short beside the time for which callers keep an answer of the directory.
const WINDOW: Duration = Duration::from_millis(500);
/// Busy share, in percent, from which callers are better sent elsewhere. Above what serving nodes are planned to have, with room for the callers of
/// one that fails.
const PRESSED_PERCENT: u8 = 70;
/// Wait from which new requests are rejected. So that most of a usual caller's time is left for another node.
const OVERLOADED_WAIT: Duration = Duration::from_millis(150);
/// Longest sleep that isn't taken for a process that stood still. Derived: twice the loop's tick, so that a late wake-up is
/// none.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// Measures the turns of the event loop.
#[derive(Debug)]
pub struct LoadMeter {
    turn_began: BootTime,
    turn_ended: BootTime,
    /// Length of the turn before, and of the sleep after it.
    last_turn: Duration,
    last_sleep: Duration,
    window_began: BootTime,
    busy: Duration,
    percent: u8,
}

impl LoadMeter {
    /// A meter of an idle process.
    pub fn new(now: BootTime) -> Self {
        LoadMeter {
            turn_began: now,
            turn_ended: now,
            last_turn: Duration::ZERO,
            last_sleep: Duration::ZERO,
            window_began: now,
            busy: Duration::ZERO,
            percent: 0,
        }
    }

    /// A turn begins.
    pub fn begin_turn(&mut self, now: BootTime) {
        self.last_turn = self.turn_ended.since(self.turn_began);
        self.last_sleep = now.since(self.turn_ended);
        self.turn_began = now;
    }

    /// A turn ends.
    pub fn end_turn(&mut self, now: BootTime) {
        self.turn_ended = now;
        self.busy += now.since(self.turn_began);
        let window = now.since(self.window_began);
        if window >= WINDOW {
            let share = self.busy.as_secs_f64() / window.as_secs_f64();
            self.percent = (share * 100.0).min(100.0) as u8;
            self.window_began = now;
            self.busy = Duration::ZERO;
        }
    }

    /// Time between the beginnings of this turn and the one before.
    pub fn gap(&self) -> Duration {
        self.last_turn + self.last_sleep
    }

    /// Longest time that what is read now may have waited since it arrived.
    ///
    /// What arrives during a sleep ends it, so only the turn before lets work wait, and a sleep that was
    /// longer than any that was asked for: the process itself stood still.
    pub fn longest_wait(&self, now: BootTime) -> Duration {
        let stood_still = if self.last_sleep > LONGEST_SLEEP { self.last_sleep } else { Duration::ZERO };
        self.last_turn + stood_still + now.since(self.turn_began)
    }

    /// Whether new requests are rejected.
    pub fn is_overloaded(&self, now: BootTime) -> bool {
        self.longest_wait(now) >= OVERLOADED_WAIT
    }

    /// Busy share of the last window, in percent.
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// Whether callers are better sent elsewhere.
    pub fn is_pressed(&self) -> bool {
        is_pressed(self.percent)
    }
}

/// Whether a busy share, in percent, means that callers are better sent elsewhere.
pub fn is_pressed(percent: u8) -> bool {
    percent >= PRESSED_PERCENT
}
