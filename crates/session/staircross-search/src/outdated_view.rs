//! Decides whether what this node knows of the platform is too old to handle requests by it.
//!
//! While a process stands still, because its machine is suspended or runs other processes, requests wait in its sockets,
//! and the platform's document and machine list aren't read. When it continues, it would handle those requests by a
//! document that has been replaced, or send work to a searcher that has been drained meanwhile.
//!
//! The inputs are the times at which the process reads its clock, by this machine's boot clock, which also advances while
//! the machine is suspended, and confirmations: replies of the platform, each with the time at which the platform was
//! asked. A gap of [`MAX_GAP`] between two readings makes the view outdated. It is current again once both the document and
//! the machine list have been read by a question that is at most [`MAX_AGE`] old; the question may have been asked before
//! the gap. From [`MAX_WAIT`] after the gap on, or [`MAX_WAIT_OVER_GAPS`] after the first of several, the view counts as
//! current in any case, since a node that can't reach the platform serves by what it knows.
//!
//! While the view is outdated, the node holds the commands of callers and its leaf sends nothing to searchers. The log
//! shows the rule as `event=view`.

use staircross_types::BootTime;
use std::time::Duration;

/// Gap between two readings of the clock from which the view is outdated. With the age that the view has at other times,
/// it is shorter than the bound of three seconds on changes. It is also shorter than the time in which other nodes declare
/// a silent one dead.
pub const MAX_GAP: Duration = Duration::from_millis(1000);
/// Maximum age of a confirmed view. It leaves time to handle a request within the bound on changes.
pub const MAX_AGE: Duration = Duration::from_millis(2700);
/// Time after a gap from which the view counts as current although nothing has confirmed it.
pub const MAX_WAIT: Duration = Duration::from_millis(1000);
/// The same from the first of several gaps on, so that a process which stands still again and again serves too.
pub const MAX_WAIT_OVER_GAPS: Duration = Duration::from_millis(3000);

/// What the platform was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The service document.
    Document,
    /// The list of machines.
    Machines,
}

/// Gaps in which the process stood still.
#[derive(Clone, Copy, Debug)]
struct Gaps {
    /// Time at which the process continued after the first gap.
    first_ended: BootTime,
    /// Time at which the process continued after the last gap.
    ended: BootTime,
    /// Time of the last answered question for the document.
    document: Option<BootTime>,
    /// Time of the last answered question for the list of machines.
    machines: Option<BootTime>,
}

/// Watches the process's clock for gaps, and decides whether the view is outdated.
#[derive(Debug)]
pub struct OutdatedView {
    /// Last reading of the clock.
    last: BootTime,
    /// Gaps since which the view has been outdated.
    gaps: Option<Gaps>,
}

/// Why the view is current again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// The platform has confirmed it.
    Confirmed,
    /// [`MAX_WAIT`] has passed.
    GivenUp,
}

impl OutdatedView {
    /// Creates the state of a process that starts now.
    pub fn new(now: BootTime) -> Self {
        OutdatedView { last: now, gaps: None }
    }

    /// Records a reading of the clock. Returns the length of the gap before it if the platform must be asked because of
    /// it.
    pub fn advance(&mut self, now: BootTime) -> Option<Duration> {
        let length = now.since(self.last);
        self.last = self.last.max(now);
        if length < MAX_GAP {
            return None;
        }
        let first = Gaps { first_ended: now, ended: now, document: None, machines: None };
        self.gaps = Some(Gaps { ended: now, ..self.gaps.unwrap_or(first) });
        Some(length)
    }

    /// Records an answer of the platform to a question that was asked at `asked_at`.
    pub fn record_confirmation(&mut self, confirmation: Confirmation, asked_at: BootTime) {
        let Some(gaps) = &mut self.gaps else {
            return;
        };
        let confirmed = match confirmation {
            Confirmation::Document => &mut gaps.document,
            Confirmation::Machines => &mut gaps.machines,
        };
        *confirmed = (*confirmed).max(Some(asked_at));
    }

    /// Returns whether the view is too old. It stays so until [`OutdatedView::recover`] returns a reason why not.
    pub fn is_outdated(&self) -> bool {
        self.gaps.is_some()
    }

    /// Makes an outdated view current if it has been confirmed or has waited long enough. Returns why.
    pub fn recover(&mut self, now: BootTime) -> Option<Recovery> {
        let gaps = self.gaps?;
        let is_recent = |asked_at: Option<BootTime>| asked_at.is_some_and(|asked_at| now.since(asked_at) <= MAX_AGE);
        let recovery = if is_recent(gaps.document) && is_recent(gaps.machines) {
            Recovery::Confirmed
        } else if now.since(gaps.ended) >= MAX_WAIT || now.since(gaps.first_ended) >= MAX_WAIT_OVER_GAPS {
            Recovery::GivenUp
        } else {
            return None;
        };
        self.gaps = None;
        Some(recovery)
    }
}
