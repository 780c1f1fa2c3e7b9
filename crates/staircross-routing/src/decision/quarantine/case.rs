//! What is known of one content: which searchers were lost under it, when it was answered last, and what follows.
//!
//! Two losses that count make it suspect; three, one of them sent after another had been seen, make it quarantined. A loss counts
//! no more once its searcher has answered something sent later, and an answer of the content drops all losses before it.

use super::record::LossRecord;
use super::suspicion::Suspicion;
use crate::keys::{InstanceKey, RouteDigest};
use staircross_types::BootTime;
use std::time::Duration;

/// Losses from which a content is sent to one searcher at a time. Above one, since one broken connection is common and its repeat shouldn't wait.
const SUSPECT_LOSSES: usize = 2;
/// Losses from which a content is sent to nobody, if two of them are in sequence. One more than makes it suspect. With both, none of the harmless
/// contents of 133 days was quarantined (docs/design/quarantine.md).
const QUARANTINE_LOSSES: usize = 3;
/// Time from the newest loss until a quarantined content is tried at one searcher again: it may have been mended. So that one that wasn't costs one
/// searcher an hour.
const QUARANTINE_TIME: Duration = Duration::from_secs(3600);
/// Time from the newest loss until a content is forgotten. Twice [`QUARANTINE_TIME`], so that it is still suspect when it is tried again.
const MEMORY: Duration = Duration::from_secs(2 * 3600);
/// Time for which a content that was sent to peers is remembered as answered, so that they learn it too. For many datagrams.
pub(super) const ANSWER_MEMORY: Duration = Duration::from_secs(60);
/// Losses remembered of one content. A bound on memory, twice what decides.
const MAX_LOSSES: usize = 6;
/// Losses of one content sent to peers. Those that prove a sequence and the newest, one more than what decides.
const SENT_LOSSES: usize = 4;
/// Longest time that a datagram is taken to be on its way: what peers report seems later by so much, and without a tolerance two nodes that report
/// one event to each other would move it on for ever.
const TELLING_TIME: Duration = Duration::from_secs(1);
/// Age from which a single loss is sent to peers. So that a repeat has mostly been answered by then.
const SINGLE_SENT_AFTER: Duration = Duration::from_millis(200);

/// A searcher whose connection ended while it ran a content.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loss {
    pub searcher: InstanceKey,
    pub sent_at: BootTime,
    pub lost_at: BootTime,
    /// Whether it has answered something that was sent later.
    pub is_alive: bool,
    /// Whether a peer saw it; then it seems later than it was, by the time for which its report was on its way.
    pub is_by_peer: bool,
}

/// What is known of one content.
#[derive(Clone, Debug, Default)]
pub(super) struct Case {
    /// By the time of the loss.
    pub losses: Vec<Loss>,
    pub answered_at: Option<BootTime>,
    /// The route that it was asked by, where that is known.
    pub route: Option<RouteDigest>,
    /// Whether any peer knows of it.
    pub is_known_to_peers: bool,
}

impl Case {
    pub fn counted(&self) -> impl Iterator<Item = &Loss> {
        self.losses.iter().filter(|loss| !loss.is_alive)
    }

    pub fn newest(&self) -> BootTime {
        self.losses.iter().map(|loss| loss.lost_at).chain(self.answered_at).max().unwrap_or_default()
    }

    /// Time of the newest loss that counts.
    pub fn newest_loss(&self) -> Option<BootTime> {
        self.counted().map(|loss| loss.lost_at).max()
    }

    pub fn suspicion(&self, now: BootTime) -> Suspicion {
        let count = self.counted().count();
        if count < SUSPECT_LOSSES {
            return Suspicion::None;
        }
        let newest = self.newest_loss().unwrap_or_default();
        let is_proven = count >= QUARANTINE_LOSSES && self.sequence().is_some();
        if is_proven && now.since(newest) < QUARANTINE_TIME { Suspicion::Quarantined } else { Suspicion::Suspect }
    }

    /// The first loss that counts, and one that was sent after it had been seen. When many searchers end at once, whatever ran there loses several
    /// at the same moment; only what is to blame loses the next one too.
    fn sequence(&self) -> Option<(InstanceKey, InstanceKey)> {
        let first = self.counted().min_by_key(|loss| loss.lost_at)?;
        let next = self.counted().find(|loss| loss.sent_at >= first.lost_at)?;
        Some((first.searcher, next.searcher))
    }

    /// Whether a loss is one of the two that prove a sequence, or the first of all, after which one may come yet.
    fn is_proof(&self, loss: &Loss) -> bool {
        let is_first = self.losses.first().is_some_and(|first| first.searcher == loss.searcher);
        is_first || self.sequence().is_some_and(|(first, next)| [first, next].contains(&loss.searcher))
    }

    pub fn add(&mut self, loss: Loss) {
        if self.answered_at.is_some_and(|answered| loss.is_before(answered)) {
            return;
        }
        match self.losses.iter_mut().find(|known| known.searcher == loss.searcher) {
            Some(known) if is_later(loss.lost_at, known.lost_at) => *known = loss,
            Some(known) => known.is_alive |= loss.is_alive,
            None => self.losses.push(loss),
        }
        self.losses.sort_by_key(|loss| loss.lost_at);
        if self.losses.len() > MAX_LOSSES {
            let is_alive = self.losses.iter().position(|loss| loss.is_alive);
            let needless = is_alive.or_else(|| self.losses.iter().position(|loss| !self.is_proof(loss)));
            needless.map(|index| self.losses.remove(index));
        }
    }

    /// It was answered here.
    pub fn answered(&mut self, at: BootTime) {
        self.answered_at = self.answered_at.max(Some(at));
        self.losses.retain(|loss| !loss.is_before(at));
    }

    /// A peer reports that it was answered.
    pub fn answered_by_peer(&mut self, at: BootTime) {
        if self.answered_at.is_none_or(|known| is_later(at, known)) {
            self.answered_at = Some(at);
        }
        self.losses.retain(|loss| !loss.is_before(at));
    }

    /// What proves a sequence, and the newest: enough to decide by.
    pub fn losses_to_send(&self) -> impl Iterator<Item = &Loss> {
        let (proof, others): (Vec<&Loss>, Vec<&Loss>) = self.losses.iter().partition(|loss| self.is_proof(loss));
        let newest = others.into_iter().rev().take(SENT_LOSSES - proof.len().min(SENT_LOSSES));
        proof.into_iter().chain(newest)
    }

    pub fn is_worth_sending(&self, now: BootTime) -> bool {
        self.is_known_to_peers || self.losses.len() >= SUSPECT_LOSSES || now.since(self.newest()) >= SINGLE_SENT_AFTER
    }

    pub fn is_remembered(&self, now: BootTime) -> bool {
        let memory = if self.losses.is_empty() { ANSWER_MEMORY } else { MEMORY };
        now.since(self.newest()) < memory
    }
}

impl Loss {
    /// Whether it was lost before an answer came. A report of a loss that comes after the answer, or by another way, is believed only if it is later
    /// for sure: what ends its searchers has no answer at all, and a harmless content that loses its answer is refused.
    fn is_before(&self, answered: BootTime) -> bool {
        let tolerance = if self.is_by_peer { TELLING_TIME } else { Duration::ZERO };
        self.lost_at <= answered + tolerance
    }

    pub fn record(&self, now: BootTime) -> LossRecord {
        LossRecord {
            searcher: self.searcher,
            sent_ms: age_ms(now, self.sent_at),
            lost_ms: age_ms(now, self.lost_at),
            is_alive: self.is_alive,
        }
    }

    pub fn from_record(now: BootTime, record: &LossRecord) -> Self {
        Loss {
            searcher: record.searcher,
            sent_at: before(now, record.sent_ms),
            lost_at: before(now, record.lost_ms),
            is_alive: record.is_alive,
            is_by_peer: true,
        }
    }
}

/// Whether two times that peers may have reported are surely of two events, this one of the later.
pub(super) fn is_later(time: BootTime, than: BootTime) -> bool {
    time > than + TELLING_TIME
}

pub(super) fn age_ms(now: BootTime, at: BootTime) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn before(now: BootTime, age_ms: u32) -> BootTime {
    now - Duration::from_millis(age_ms.into())
}
