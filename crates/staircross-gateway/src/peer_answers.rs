//! Answers that a node has sent to peers within the last second.
//!
//! When a configuration changes, all that follow a reader of the store ask it within a fraction of a second. Their answers go over the
//! link on which the reader sends callers' requests; 64 answers of 45 KB fill one of 20 Mbit/s for more than a second, and what is
//! written meanwhile reaches searchers with more time than its callers have left.
//!
//! [`RecentPeerAnswers`] owns sizes and times alone; what a node keeps back because of them is decided where it answers its peers.

use staircross_types::BootTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which an answer counts. Derived: the bounds on answers to peers are figures a second.
const SPAN: Duration = Duration::from_secs(1);
/// Answers longer than this, in bytes, are large. Derived: the size above which followers read a configuration from the store.
const LARGE: usize = 64 * 1024;

#[derive(Clone, Copy, Debug)]
struct PeerAnswer {
    at: BootTime,
    bytes: usize,
}

/// Answers of the last second.
#[derive(Debug, Default)]
pub struct RecentPeerAnswers {
    answers: VecDeque<PeerAnswer>,
}

/// Their sum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerAnswerTotals {
    /// All bytes.
    pub bytes: usize,
    /// Answers that were large.
    pub large: usize,
}

impl RecentPeerAnswers {
    /// Notes an answer.
    pub fn note(&mut self, now: BootTime, bytes: usize) {
        self.answers.push_back(PeerAnswer { at: now, bytes });
    }

    /// What was sent within the last second.
    pub fn recent(&mut self, now: BootTime) -> PeerAnswerTotals {
        while self.answers.front().is_some_and(|answer| now.since(answer.at) >= SPAN) {
            self.answers.pop_front();
        }
        PeerAnswerTotals {
            bytes: self.answers.iter().map(|answer| answer.bytes).sum(),
            large: self.answers.iter().filter(|answer| answer.bytes > LARGE).count(),
        }
    }
}
