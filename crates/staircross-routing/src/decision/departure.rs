//! Decides whether a searcher whose entry says that it serves is suspected of leaving.
//!
//! The store tells when a searcher leaves, but a node may not have heard of it, and a late write may bring back the entry
//! of a searcher that has left. A searcher that leaves shows it: each of its answers says that the connection closes. Other
//! searchers say so now and then.
//!
//! The inputs are the searcher's answers (whether each says that the connection closes, and the times at which its
//! request was sent and at which it arrived) and the return of an entry that was gone from the store. A searcher is
//! suspected after [`MIN_CLOSING_ANSWERS`] closing answers in a row, if it has kept a connection open before, and after
//! the return of its entry. The suspicion ends after a while, or with an answer that doesn't close to a request that was
//! sent after it began.
//!
//! The rule bounds new work for leaving searchers that the store's updates don't tell of. A suspected searcher is asked
//! after all others, as placement decides, and after [`CHECK_DELAY`] of closing answers the node reads the entries again.
//! The rule doesn't know what other nodes see. It can't tell a leaving searcher from one whose server has just begun to
//! close each connection; that one serves as a fallback.
//!
//! The log shows the rule as `event=searcher_closing`, the metric as `staircross_searchers_closing_total`.

use staircross_types::BootTime;
use std::time::Duration;

/// Number of closing answers in a row from which on a searcher is suspected. A single one is no evidence, since servers
/// also end connections that have carried many requests.
const MIN_CLOSING_ANSWERS: u32 = 2;
/// Time for which a searcher is suspected after the last closing answer. It is longer than leaving searchers usually go
/// on serving.
const CLOSING_SUSPICION: Duration = Duration::from_secs(10);
/// Time for which a searcher is suspected after its entry has come back. It is longer than an entry stays that nobody
/// renews, which is three heartbeats of 1.2 s, and the time in which its end is heard of.
const RETURN_SUSPICION: Duration = Duration::from_secs(5);
/// Time from the first of several closing answers to a check of the entries. It is longer than an update of the store
/// usually takes.
const CHECK_DELAY: Duration = Duration::from_millis(1500);

/// The evidence that one incarnation of a searcher is leaving.
#[derive(Clone, Copy, Debug, Default)]
pub struct Departure {
    /// Whether the searcher has kept a connection open after an answer. To a searcher that never does, closing means
    /// nothing.
    keeps_connections: bool,
    /// Number of closing answers in a row.
    closing_answers: u32,
    /// Time of the first evidence of the present suspicion.
    evident_since: Option<BootTime>,
    suspected_until: BootTime,
    /// Whether the entries are to be read again because of the closing answers.
    needs_check: bool,
}

impl Departure {
    /// Records an answer to an attempt that was sent at `sent_at`; `closes` says whether it announces that the connection
    /// closes. Returns whether closing answers have just made the searcher suspected.
    pub fn note_answer(&mut self, now: BootTime, sent_at: BootTime, closes: bool) -> bool {
        if !closes {
            self.keeps_connections = true;
            if self.evident_since.is_none_or(|since| sent_at >= since) {
                *self = Departure { keeps_connections: true, ..Departure::default() };
            }
            return false;
        }
        if !self.keeps_connections {
            return false;
        }
        self.closing_answers = self.closing_answers.saturating_add(1);
        if self.closing_answers == 1 {
            self.evident_since = Some(now);
        }
        if self.closing_answers < MIN_CLOSING_ANSWERS {
            return false;
        }
        self.suspected_until = self.suspected_until.max(now + CLOSING_SUSPICION);
        let has_begun = self.closing_answers == MIN_CLOSING_ANSWERS;
        self.needs_check |= has_begun;
        has_begun
    }

    /// Records that the searcher's entry has come back after it was gone.
    pub fn note_return(&mut self, now: BootTime) {
        self.evident_since.get_or_insert(now);
        self.suspected_until = self.suspected_until.max(now + RETURN_SUSPICION);
    }

    /// Returns whether the searcher is suspected of leaving.
    pub fn is_suspected(&self, now: BootTime) -> bool {
        now < self.suspected_until
    }

    /// Returns the time at which the entries are to be read again, if they are.
    pub fn check_due_at(&self) -> Option<BootTime> {
        self.evident_since.filter(|_| self.needs_check).map(|since| since + CHECK_DELAY)
    }

    /// Records that the entries are read again.
    pub fn note_checked(&mut self) {
        self.needs_check = false;
    }
}
