//! The case of one content: the searchers that were lost while running it, its last answer, and the suspicion level
//! that follows from them.
//!
//! Two losses that count make a content suspect. Three, one of which was sent after another had been observed, make it
//! quarantined. A loss stops counting once its searcher has answered a request that was sent later. An answer to the
//! content removes all earlier losses.

use super::record::LossRecord;
use super::suspicion::Suspicion;
use crate::keys::{InstanceKey, RouteDigest};
use staircross_types::BootTime;
use std::time::Duration;

/// Number of losses from which a content is sent to one searcher at a time. It is above one because a single broken
/// connection is common and its retry shouldn't wait.
const MIN_SUSPECT_LOSSES: usize = 2;
/// Number of losses from which a content is sent to no searcher, if two of them are in sequence. It is one more than
/// makes a content suspect. With both conditions, no harmless content is quarantined in 133 days, 128 of them with
/// crashing searchers (docs/design/quarantine.md).
const MIN_QUARANTINE_LOSSES: usize = 3;
/// Time from the newest loss until a quarantined content is tried on one searcher again, since the fault may have been
/// mended. If it hasn't been, the trial crashes one searcher an hour.
const QUARANTINE_TIME: Duration = Duration::from_secs(3600);
/// Time from the newest loss until a content is forgotten. It is twice [`QUARANTINE_TIME`], so that the content is
/// still suspect when it is tried again.
const LOSS_RETENTION: Duration = Duration::from_secs(2 * 3600);
/// Time for which the answer to a content that was reported to peers is remembered, so that peers learn of it too. The
/// time covers many datagrams.
pub(super) const ANSWER_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of losses remembered of one content. This bounds memory; it is twice the number that decides.
const MAX_LOSSES: usize = 6;
/// Maximum number of losses of one content that are reported to peers: those that prove a sequence and the newest ones.
/// It is one more than the number that decides.
const MAX_REPORTED_LOSSES: usize = 4;
/// Longest time that a peer's report is assumed to be in transit. A reported event seems later than it was by the time
/// in transit. Without this tolerance, two nodes that report one event to each other would keep moving it later.
const MAX_REPORT_TRANSIT: Duration = Duration::from_secs(1);
/// Age from which a single loss is reported to peers. By then most retries have been answered.
const SINGLE_LOSS_REPORT_DELAY: Duration = Duration::from_millis(200);

/// A searcher whose connection ended while it ran a content.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loss {
    pub searcher: InstanceKey,
    pub sent_at: BootTime,
    pub lost_at: BootTime,
    /// Whether the searcher has answered a request that was sent later, so that the loss doesn't count.
    pub is_alive: bool,
    /// Whether a peer reported the loss. It then seems later than it was, by the time that the report was in transit.
    pub is_reported_by_peer: bool,
}

/// What this node knows of one content.
#[derive(Clone, Debug, Default)]
pub(super) struct Case {
    /// Losses in order of time.
    pub losses: Vec<Loss>,
    /// Time of the last answer.
    pub answered_at: Option<BootTime>,
    /// Route of the requests with this content, if known.
    pub route: Option<RouteDigest>,
    /// Whether any peer knows of the content.
    pub is_known_to_peers: bool,
}

impl Case {
    /// Returns the losses that count: their searchers haven't answered anything sent later.
    pub fn counted_losses(&self) -> impl Iterator<Item = &Loss> {
        self.losses.iter().filter(|loss| !loss.is_alive)
    }

    /// Returns the time of the newest loss or answer.
    pub fn newest_event(&self) -> BootTime {
        self.losses.iter().map(|loss| loss.lost_at).chain(self.answered_at).max().unwrap_or_default()
    }

    /// Returns the time of the newest loss that counts.
    pub fn newest_loss(&self) -> Option<BootTime> {
        self.counted_losses().map(|loss| loss.lost_at).max()
    }

    /// Returns the suspicion level of the content.
    pub fn suspicion(&self, now: BootTime) -> Suspicion {
        let count = self.counted_losses().count();
        if count < MIN_SUSPECT_LOSSES {
            return Suspicion::None;
        }
        let newest = self.newest_loss().unwrap_or_default();
        let is_proven = count >= MIN_QUARANTINE_LOSSES && self.sequence().is_some();
        if is_proven && now.since(newest) < QUARANTINE_TIME { Suspicion::Quarantined } else { Suspicion::Suspect }
    }

    /// Returns the searchers of two losses in sequence: the first loss that counts, and one whose attempt was sent
    /// after the first had been observed. When many searchers end at once, every content running there loses several at
    /// the same moment; only the content that causes it loses the next searcher too.
    fn sequence(&self) -> Option<(InstanceKey, InstanceKey)> {
        let first = self.counted_losses().min_by_key(|loss| loss.lost_at)?;
        let next = self.counted_losses().find(|loss| loss.sent_at >= first.lost_at)?;
        Some((first.searcher, next.searcher))
    }

    /// Returns whether a loss is one of the two that prove a sequence, or the first of all losses, which a later one
    /// may follow in sequence.
    fn may_prove_sequence(&self, loss: &Loss) -> bool {
        let is_first = self.losses.first().is_some_and(|first| first.searcher == loss.searcher);
        is_first || self.sequence().is_some_and(|(first, next)| [first, next].contains(&loss.searcher))
    }

    /// Adds a loss, unless a later answer is known. Beyond the limit, a loss is dropped that proves nothing.
    pub fn add_loss(&mut self, loss: Loss) {
        if self.answered_at.is_some_and(|answered| loss.is_before(answered)) {
            return;
        }
        match self.losses.iter_mut().find(|known| known.searcher == loss.searcher) {
            Some(known) if is_surely_later(loss.lost_at, known.lost_at) => *known = loss,
            Some(known) => known.is_alive |= loss.is_alive,
            None => self.losses.push(loss),
        }
        self.losses.sort_by_key(|loss| loss.lost_at);
        if self.losses.len() > MAX_LOSSES {
            let outlived = self.losses.iter().position(|loss| loss.is_alive);
            let dropped = outlived.or_else(|| self.losses.iter().position(|loss| !self.may_prove_sequence(loss)));
            dropped.map(|index| self.losses.remove(index));
        }
    }

    /// Records an answer received by this node.
    pub fn record_answer(&mut self, at: BootTime) {
        self.answered_at = self.answered_at.max(Some(at));
        self.losses.retain(|loss| !loss.is_before(at));
    }

    /// Records an answer reported by a peer.
    pub fn record_peer_answer(&mut self, at: BootTime) {
        if self.answered_at.is_none_or(|known| is_surely_later(at, known)) {
            self.answered_at = Some(at);
        }
        self.losses.retain(|loss| !loss.is_before(at));
    }

    /// Returns the losses to report to peers: those that prove a sequence, and the newest. They suffice to determine
    /// the suspicion level.
    pub fn losses_to_send(&self) -> impl Iterator<Item = &Loss> {
        let (proof, others): (Vec<&Loss>, Vec<&Loss>) =
            self.losses.iter().partition(|loss| self.may_prove_sequence(loss));
        let newest = others.into_iter().rev().take(MAX_REPORTED_LOSSES - proof.len().min(MAX_REPORTED_LOSSES));
        proof.into_iter().chain(newest)
    }

    /// Returns whether the content is to be reported to peers.
    pub fn is_due_for_report(&self, now: BootTime) -> bool {
        self.is_known_to_peers
            || self.losses.len() >= MIN_SUSPECT_LOSSES
            || now.since(self.newest_event()) >= SINGLE_LOSS_REPORT_DELAY
    }

    /// Returns whether the content is still remembered.
    pub fn is_remembered(&self, now: BootTime) -> bool {
        let retention = if self.losses.is_empty() { ANSWER_RETENTION } else { LOSS_RETENTION };
        now.since(self.newest_event()) < retention
    }
}

impl Loss {
    /// Returns whether the searcher was lost before an answer at `answered`. A loss reported by a peer counts as later
    /// only if it certainly is: a content that crashes its searchers has no answer at all, whereas a harmless content
    /// whose answer is discarded may be refused.
    fn is_before(&self, answered: BootTime) -> bool {
        let tolerance = if self.is_reported_by_peer { MAX_REPORT_TRANSIT } else { Duration::ZERO };
        self.lost_at <= answered + tolerance
    }

    /// Returns the record of the loss that is sent to peers.
    pub fn peer_record(&self, now: BootTime) -> LossRecord {
        LossRecord {
            searcher: self.searcher,
            sent_ms: age_ms(now, self.sent_at),
            lost_ms: age_ms(now, self.lost_at),
            is_alive: self.is_alive,
        }
    }

    /// Creates a loss from the record that a peer has sent.
    pub fn from_record(now: BootTime, record: &LossRecord) -> Self {
        Loss {
            searcher: record.searcher,
            sent_at: time_before(now, record.sent_ms),
            lost_at: time_before(now, record.lost_ms),
            is_alive: record.is_alive,
            is_reported_by_peer: true,
        }
    }
}

/// Returns whether an event at `time` is certainly another and later one than the event at `than`, though peers may
/// have reported the times.
pub(super) fn is_surely_later(time: BootTime, than: BootTime) -> bool {
    time > than + MAX_REPORT_TRANSIT
}

/// Returns the age of `at` in milliseconds, capped at `u32::MAX`.
pub(super) fn age_ms(now: BootTime, at: BootTime) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time that lies `age_ms` milliseconds before `now`.
pub(super) fn time_before(now: BootTime, age_ms: u32) -> BootTime {
    now - Duration::from_millis(age_ms.into())
}
