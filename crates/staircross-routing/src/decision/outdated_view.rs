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
//! most [`OutdatedViewSettings::max_age`] ago. That time may lie before the last gap: a process that gets a little processor
//! time now and then asks in one turn and reads the answer in the next. So a call that is young enough is waited for over
//! further gaps. The view also counts as current once the store hasn't answered for [`OutdatedViewSettings::max_wait`],
//! since a node that can't reach the store serves by what it knows.
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
    /// Time without an answer of the store from which the view counts as current although nothing has confirmed it.
    pub max_wait: Duration,
}

/// Times as of which all changes of a kind are known.
#[derive(Clone, Copy, Debug, Default)]
struct Confirmed {
    /// What the operator writes: the configuration and evacuations.
    operator: Option<BootTime>,
    /// The searchers' entries.
    searchers: Option<BootTime>,
}

impl Confirmed {
    /// Returns whether both kinds are confirmed as of `time` or later.
    fn reaches(self, time: BootTime) -> bool {
        [self.operator, self.searchers].iter().all(|at| at.is_some_and(|at| at >= time))
    }
}

/// Gaps after which the view hasn't been confirmed yet.
#[derive(Clone, Copy, Debug)]
struct Gap {
    /// End of the last gap.
    ended: BootTime,
    /// Time at which the store was asked, until it has answered for both kinds.
    asked: Option<BootTime>,
    /// Time since which the store hasn't answered.
    unanswered_since: BootTime,
    confirmed: Confirmed,
}

/// A store that didn't answer in time.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// Time since which it hasn't answered.
    since: BootTime,
    /// Time at which this was last noticed.
    noticed: BootTime,
}

/// Watches the process's clock for gaps, and decides whether the view is outdated.
#[derive(Debug)]
pub struct OutdatedView {
    settings: OutdatedViewSettings,
    /// Last reading of the clock.
    last: BootTime,
    gap: Option<Gap>,
    silence: Option<Silence>,
}

impl OutdatedView {
    /// Creates the state of a process that starts now.
    pub fn new(now: BootTime, settings: OutdatedViewSettings) -> Self {
        OutdatedView { settings, last: now, gap: None, silence: None }
    }

    /// Changes the time limits.
    pub fn set_settings(&mut self, settings: OutdatedViewSettings) {
        self.settings = settings;
    }

    /// Records a reading of the clock.
    pub fn advance(&mut self, now: BootTime) {
        let length = now.since(self.last);
        self.last = now;
        if length < self.settings.max_gap {
            return;
        }
        if let Some(gap) = &mut self.gap {
            gap.ended = now;
            return;
        }
        // A store that was silent a moment ago isn't waited for once more.
        let silence = self.silence.filter(|silence| now.since(silence.noticed) <= self.settings.max_age);
        let unanswered_since = silence.map_or(now, |silence| silence.since);
        self.gap = Some(Gap { ended: now, asked: None, unanswered_since, confirmed: Confirmed::default() });
    }

    /// Returns whether the store must be asked now, and takes it as asked.
    pub fn take_due_question(&mut self, now: BootTime) -> bool {
        let max_age = self.settings.max_age;
        let is_waited_for = |asked: BootTime| now.since(asked) <= max_age;
        let Some(gap) = self.gap.as_mut().filter(|gap| !gap.asked.is_some_and(is_waited_for)) else {
            return false;
        };
        gap.asked = Some(now);
        true
    }

    /// Records that the calls to the store were given up, so that it must be asked again.
    pub fn forget_question(&mut self) {
        if let Some(gap) = &mut self.gap {
            gap.asked = None;
        }
    }

    /// Records that all changes of a lane's items up to the time `asked_at` are known.
    pub fn record_confirmation(&mut self, now: BootTime, lane: Lane, asked_at: BootTime) {
        let Some(gap) = &mut self.gap else {
            return;
        };
        match lane {
            Lane::Configuration => gap.confirmed.operator = gap.confirmed.operator.max(Some(asked_at)),
            Lane::Searchers => gap.confirmed.searchers = gap.confirmed.searchers.max(Some(asked_at)),
            Lane::SearcherPages | Lane::Probe => return,
        }
        if gap.asked.is_some_and(|asked| gap.confirmed.reaches(asked)) {
            gap.asked = None;
            gap.unanswered_since = now;
            self.silence = None;
        }
        if gap.confirmed.reaches(gap.ended) {
            self.gap = None;
        }
    }

    /// Returns whether the view is too old.
    pub fn is_outdated(&self, now: BootTime) -> bool {
        let is_recent = |at: Option<BootTime>| at.is_some_and(|at| now.since(at) <= self.settings.max_age);
        let is_confirmed = |confirmed: Confirmed| is_recent(confirmed.operator) && is_recent(confirmed.searchers);
        self.gap.is_some_and(|gap| !is_confirmed(gap.confirmed))
    }

    /// Lets the view count as current if the store hasn't answered in time. Returns whether this is so. To be called after
    /// everything that has arrived was read.
    pub fn give_up_if_due(&mut self, now: BootTime) -> bool {
        let Some(gap) = self.gap.take_if(|gap| now.since(gap.unanswered_since) >= self.settings.max_wait) else {
            return false;
        };
        self.silence = Some(Silence { since: gap.unanswered_since, noticed: now });
        true
    }
}
