//! Records the answers to peers' pulls (calls for missing updates) that a node sent within the last second.
//!
//! When a configuration changes, all followers (the nodes that get their updates from a reader of the store rather than
//! from the store itself) pull it within a fraction of a second. The answers use the same link as callers' requests to
//! searchers: 64 answers of 45 KB fill a link of 20 Mbit/s for more than a second. A request that is delayed behind
//! them reaches its searcher with a time limit that is longer than the time that its caller still waits.
//!
//! [`RecentPeerAnswers`] owns only the sizes and times of the answers. The code that answers peers decides what to hold
//! back because of them.

use staircross_types::BootTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which an answer is counted. One second, since the limits on answers to peers are rates per second.
const WINDOW: Duration = Duration::from_secs(1);
/// Length in bytes above which an answer counts as large. It is the size above which followers read a configuration
/// from the store.
const LARGE_ANSWER_BYTES: usize = 64 * 1024;

#[derive(Clone, Copy, Debug)]
struct PeerAnswer {
    at: BootTime,
    bytes: usize,
}

/// Sizes and times of the answers sent within the last second.
#[derive(Debug, Default)]
pub struct RecentPeerAnswers {
    answers: VecDeque<PeerAnswer>,
}

/// Totals of the answers sent within the last second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerAnswerTotals {
    /// Number of bytes in all answers.
    pub bytes: usize,
    /// Number of large answers.
    pub large: usize,
}

impl RecentPeerAnswers {
    /// Records an answer of `bytes` bytes.
    pub fn record(&mut self, now: BootTime, bytes: usize) {
        self.answers.push_back(PeerAnswer { at: now, bytes });
    }

    /// Drops older answers, and returns the totals of the last second.
    pub fn recent(&mut self, now: BootTime) -> PeerAnswerTotals {
        while self.answers.front().is_some_and(|answer| now.since(answer.at) >= WINDOW) {
            self.answers.pop_front();
        }
        PeerAnswerTotals {
            bytes: self.answers.iter().map(|answer| answer.bytes).sum(),
            large: self.answers.iter().filter(|answer| answer.bytes > LARGE_ANSWER_BYTES).count(),
        }
    }
}
