//! Decides whether what this node knows of the store is too old to handle requests by it.
//!
//! While a process stands still, because its machine is suspended or runs other processes, requests wait in its sockets,
//! and so do the updates that it would have read in the meantime. When it continues, it can read requests before the
//! updates: the store and peers send some of them only when they are asked again. Such a request would be handled by a
//! configuration, or sent to a searcher, that has been superseded for as long as the process stood still.
//!
//! The inputs are the times at which the process reads its clock, by this machine's boot clock, which also advances while
//! the machine is suspended, and confirmations: answers of the store that leave no change unknown up to the time at which
//! the store was asked. A gap of [`OutdatedViewSettings::max_gap`] between two readings makes the view outdated. It is
//! current again once what the operator writes and the searchers' entries have both been confirmed as of a time that is at
//! most [`OutdatedViewSettings::max_age`] ago. That time may lie before the gap: a process that gets a little processor
//! time now and then asks in one turn and reads the answer in the next. It also counts as current from
//! [`OutdatedViewSettings::max_wait`] after the gap on, since a node that can't reach the store serves by what it knows.
//!
//! The rule bounds the age of the view by which a request is handled. While the view is outdated, the engine holds new
//! requests and refuses them if that takes too long; nothing of it runs, and another node may be asked. The rule doesn't
//! know of delays at the store or at peers, which the store reader's timeouts bound.
//!
//! The log shows the rule as `event=woke_late` and `event=view`, and requests as `event=held cause=outdated_view` and
//! `event=unsent cause=outdated_view`; the metric is `staircross_process_gaps_total`.

use crate::store_reader::Lane;
use staircross_types::BootTime;
use std::time::Duration;

/// Time limits of the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutdatedViewSettings {
    /// Gap between two readings of the clock from which the view is outdated.
    pub max_gap: Duration,
    /// Maximum age of a confirmed view.
    pub max_age: Duration,
    /// Time after a gap from which the view counts as current although nothing has confirmed it.
    pub max_wait: Duration,
}

/// A gap in which the process stood still.
#[derive(Clone, Copy, Debug)]
struct Gap {
    /// Time at which the process continued.
    ended: BootTime,
    /// Times as of which what the operator writes, and the searchers' entries, were confirmed.
    confirmed: [Option<BootTime>; 2],
}

/// Watches the process's clock for gaps, and decides whether the view is outdated.
#[derive(Debug)]
pub struct OutdatedView {
    settings: OutdatedViewSettings,
    /// Last reading of the clock.
    last: BootTime,
    /// Last gap, until the view has been confirmed as of a time after it.
    gap: Option<Gap>,
}

impl OutdatedView {
    /// Creates the state of a process that starts now.
    pub fn new(now: BootTime, settings: OutdatedViewSettings) -> Self {
        OutdatedView { settings, last: now, gap: None }
    }

    /// Changes the time limits.
    pub fn set_settings(&mut self, settings: OutdatedViewSettings) {
        self.settings = settings;
    }

    /// Records a reading of the clock. Returns the length of the gap before it if the view must be confirmed now because
    /// of it.
    pub fn advance(&mut self, now: BootTime) -> Option<Duration> {
        let length = now.since(self.last);
        self.last = now;
        if length < self.settings.max_gap {
            return None;
        }
        let confirmed = self.gap.map_or([None; 2], |gap| gap.confirmed);
        self.gap = Some(Gap { ended: now, confirmed });
        Some(length)
    }

    /// Records that all changes of a lane's items up to the time `asked_at` are known.
    pub fn record_confirmation(&mut self, lane: Lane, asked_at: BootTime) {
        let index = match lane {
            Lane::Configuration => 0,
            Lane::Searchers => 1,
            Lane::SearcherPages | Lane::Probe => return,
        };
        let Some(gap) = &mut self.gap else {
            return;
        };
        gap.confirmed[index] = gap.confirmed[index].max(Some(asked_at));
        if gap.confirmed.iter().all(|at| at.is_some_and(|at| at >= gap.ended)) {
            self.gap = None;
        }
    }

    /// Returns whether the view is too old.
    pub fn is_outdated(&self, now: BootTime) -> bool {
        let is_recent = |at: &Option<BootTime>| at.is_some_and(|at| now.since(at) <= self.settings.max_age);
        self.gap.is_some_and(|gap| !gap.confirmed.iter().all(is_recent))
    }

    /// Lets the view count as current if nothing has confirmed it in time. Returns whether this is so.
    pub fn give_up_if_due(&mut self, now: BootTime) -> bool {
        let is_outdated = self.is_outdated(now);
        let due = self.gap.take_if(|gap| now.since(gap.ended) >= self.settings.max_wait);
        is_outdated && due.is_some()
    }
}
