//! Requests that end the searchers that run them, known by what they ask for.
//!
//! A connection that ends without an answer says that its searcher may have ended, and any request that ran there may be to blame. The
//! one that is has no answer from anybody, ever. So losses are counted for each content since its last answer, at all nodes together. With
//! two, the content is suspect: it is sent to one searcher at a time until one answers. With three, one of them sent after another had been
//! seen, it is quarantined: sent to nobody. A searcher that answers anything sent after its loss, on a connection from before it, is alive, and
//! the loss counts no more.
//!
//! What it buys: a request that came again and again ended 135 searchers, and beside it 57 in 100 of all requests were served; now it ends
//! one searcher a shard in its first try and one or two more (`platform/tests/quarantine.rs`).

use crate::keys::{ContentKey, InstanceKey};
use serde::{Deserialize, Serialize};
use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Losses from which a content is sent to one searcher at a time. One broken connection is everyday, and its repeat shouldn't wait.
const SUSPECT_LOSSES: usize = 2;
/// Losses from which a content is sent to nobody.
const QUARANTINE_LOSSES: usize = 3;
/// Time from the newest loss until a quarantined content is tried at one searcher again: it may have been mended. A content that wasn't costs
/// one searcher an hour.
const QUARANTINE_TIME: Duration = Duration::from_secs(3600);
/// Time from the newest loss until a content is forgotten.
const MEMORY: Duration = Duration::from_secs(2 * 3600);
/// Time for which a content that was told to peers is remembered as answered, so that they learn it too.
const ANSWER_MEMORY: Duration = Duration::from_secs(60);
/// Contents remembered; bounds memory (some 100 KB). Suspects that have been lost least lately go first.
const MOST_CASES: usize = 256;
/// Losses remembered of one content: twice what decides.
const MOST_LOSSES: usize = 6;
/// Losses of one content told to peers.
const TOLD_LOSSES: usize = 4;
/// Contents told with one datagram, quarantined ones and others: some 100 bytes each.
const TOLD_QUARANTINED: usize = 3;
const TOLD_OTHERS: usize = 2;
/// Longest time that a datagram is taken to be on its way. What peers tell seems later by so much; without a tolerance, two nodes that tell each
/// other of one event would move it on for ever.
const TELLING_TIME: Duration = Duration::from_secs(1);
/// Age from which a single loss is told: by then a repeat has mostly been answered.
const SINGLE_TOLD_AFTER: Duration = Duration::from_millis(200);

/// What is thought of a content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// It may be sent like any other.
    #[default]
    None,
    /// It is sent to one searcher at a time.
    Suspect,
    /// It is sent to nobody.
    Quarantined,
}

impl Suspicion {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Suspicion::None => "none",
            Suspicion::Suspect => "suspect",
            Suspicion::Quarantined => "quarantined",
        }
    }
}

/// A change of what is thought of a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionChange {
    /// The content.
    pub content: ContentKey,
    /// What is thought of it now.
    pub suspicion: Suspicion,
    /// Searchers lost under it that count.
    pub losses: usize,
}

/// A searcher whose connection ended while it ran a content.
#[derive(Clone, Copy, Debug)]
struct Loss {
    searcher: InstanceKey,
    sent_at: BootTime,
    lost_at: BootTime,
    /// Whether it has answered something that was sent later.
    is_alive: bool,
}

/// What is known of one content.
#[derive(Clone, Debug, Default)]
struct Case {
    /// By the time of the loss.
    losses: Vec<Loss>,
    answered_at: Option<BootTime>,
    is_told: bool,
}

/// A content as peers are told of it; times are ages, since nodes' clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaseRecord {
    /// The content.
    #[serde(rename = "c")]
    pub content: ContentKey,
    /// Searchers lost.
    #[serde(rename = "l")]
    pub losses: Vec<LossRecord>,
    /// Milliseconds since it was answered last, if it was.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub answered_ms: Option<u32>,
}

/// A searcher lost under a content, as peers are told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossRecord {
    /// Its run.
    #[serde(rename = "s")]
    pub searcher: InstanceKey,
    /// Milliseconds since it was sent the request.
    #[serde(rename = "b")]
    pub sent_ms: u32,
    /// Milliseconds since its connection ended.
    #[serde(rename = "e")]
    pub lost_ms: u32,
    /// Whether it has answered something that was sent later.
    #[serde(rename = "v")]
    pub is_alive: bool,
}

/// All contents under which searchers were lost.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: BTreeMap<ContentKey, Case>,
    /// Contents told last, so that all have their turn.
    told_quarantined: Option<ContentKey>,
    told_other: Option<ContentKey>,
}

impl Quarantine {
    /// What is thought of a content.
    pub fn suspicion(&self, now: BootTime, content: ContentKey) -> Suspicion {
        self.cases.get(&content).map_or(Suspicion::None, |case| case.suspicion(now))
    }

    /// Contents that are suspect, and those that are quarantined.
    pub fn counts(&self, now: BootTime) -> (usize, usize) {
        let count = |wanted| self.cases.values().filter(|case| case.suspicion(now) == wanted).count();
        (count(Suspicion::Suspect), count(Suspicion::Quarantined))
    }

    /// A searcher's connection ended while it ran a content sent to it at `sent_at`.
    pub fn note_lost(
        &mut self,
        now: BootTime,
        content: ContentKey,
        searcher: InstanceKey,
        sent_at: BootTime,
    ) -> Option<SuspicionChange> {
        self.make_room(now, content);
        self.change(now, content, |case| case.add(Loss { searcher, sent_at, lost_at: now, is_alive: false }))
    }

    /// A searcher ran a content to its end.
    pub fn note_answered(&mut self, now: BootTime, content: ContentKey) -> Option<SuspicionChange> {
        let case = self.cases.get(&content)?;
        if !case.is_told {
            let before = case.suspicion(now);
            self.cases.remove(&content);
            let change = SuspicionChange { content, suspicion: Suspicion::None, losses: 0 };
            return (before != Suspicion::None).then_some(change);
        }
        self.change(now, content, |case| case.answered(now))
    }

    /// A searcher answered something that was sent to it at `sent_at`: whatever broke before, it is alive. Where a connection to it may
    /// have come up since the loss, the last one at `connected_at`, the answer may be from a later start under its id and proves nothing.
    pub fn note_alive(
        &mut self,
        now: BootTime,
        searcher: InstanceKey,
        sent_at: BootTime,
        connected_at: Option<BootTime>,
    ) -> Vec<SuspicionChange> {
        let is_kept = |lost_at: BootTime| connected_at.is_none_or(|connected_at| is_later(lost_at, connected_at));
        let is_outlived = |loss: &&Loss| loss.lost_at <= sent_at && is_kept(loss.lost_at);
        let is_cleared = |loss: &&Loss| loss.searcher == searcher && is_outlived(loss) && !loss.is_alive;
        let concerned = self.cases.iter().filter(|(_, case)| case.losses.iter().any(|loss| is_cleared(&loss)));
        let contents: Vec<ContentKey> = concerned.map(|(content, _)| *content).collect();
        let clear = |case: &mut Case| {
            let cleared = case.losses.iter_mut().filter(|loss| is_cleared(&&**loss));
            cleared.for_each(|loss| loss.is_alive = true);
        };
        contents.into_iter().filter_map(|content| self.change(now, content, clear)).collect()
    }

    /// Takes what a peer told.
    pub fn merge(&mut self, now: BootTime, records: &[CaseRecord]) -> Vec<SuspicionChange> {
        records.iter().filter_map(|record| self.merge_one(now, record)).collect()
    }

    fn merge_one(&mut self, now: BootTime, record: &CaseRecord) -> Option<SuspicionChange> {
        let is_known = self.cases.contains_key(&record.content);
        if !is_known && record.losses.is_empty() {
            return None;
        }
        self.make_room(now, record.content);
        self.change(now, record.content, |case| {
            case.is_told = true;
            record.losses.iter().for_each(|loss| case.add(Loss::from_record(now, loss)));
            if let Some(age) = record.answered_ms {
                case.answered(before(now, age));
            }
        })
    }

    /// What to tell peers with the next datagrams; contents take turns.
    pub fn records(&mut self, now: BootTime) -> Vec<CaseRecord> {
        self.forget_old(now);
        let is_quarantined = |case: &Case| case.suspicion(now) == Suspicion::Quarantined;
        let is_other = |case: &Case| !is_quarantined(case) && case.is_worth_telling(now);
        let quarantined = self.next_turns(self.told_quarantined, TOLD_QUARANTINED, is_quarantined);
        let others = self.next_turns(self.told_other, TOLD_OTHERS, is_other);
        self.told_quarantined = quarantined.last().copied();
        self.told_other = others.last().copied();
        quarantined.into_iter().chain(others).filter_map(|content| self.tell(now, content)).collect()
    }

    /// The contents that come after the one told last, and then from the beginning.
    fn next_turns(&self, last: Option<ContentKey>, most: usize, is_wanted: impl Fn(&Case) -> bool) -> Vec<ContentKey> {
        let after = last.map_or(Bound::Unbounded, Bound::Excluded);
        let until = last.map_or(Bound::Excluded(ContentKey(0)), Bound::Included);
        let later = self.cases.range((after, Bound::Unbounded));
        let earlier = self.cases.range((Bound::Unbounded, until));
        let wanted = later.chain(earlier).filter(|(_, case)| is_wanted(case));
        wanted.map(|(content, _)| *content).take(most).collect()
    }

    fn tell(&mut self, now: BootTime, content: ContentKey) -> Option<CaseRecord> {
        let case = self.cases.get_mut(&content)?;
        case.is_told = true;
        let losses = case.telling_losses().map(|loss| loss.record(now)).collect();
        Some(CaseRecord { content, losses, answered_ms: case.answered_at.map(|at| age_ms(now, at)) })
    }

    fn change(&mut self, now: BootTime, content: ContentKey, apply: impl FnOnce(&mut Case)) -> Option<SuspicionChange> {
        let case = self.cases.entry(content).or_default();
        let before = case.suspicion(now);
        apply(case);
        let suspicion = case.suspicion(now);
        let losses = case.counted().count();
        (suspicion != before).then_some(SuspicionChange { content, suspicion, losses })
    }

    fn forget_old(&mut self, now: BootTime) {
        self.cases.retain(|_, case| case.is_remembered(now));
    }

    /// Makes room for a content that isn't known yet.
    fn make_room(&mut self, now: BootTime, content: ContentKey) {
        if self.cases.len() < MOST_CASES || self.cases.contains_key(&content) {
            return;
        }
        self.forget_old(now);
        if self.cases.len() >= MOST_CASES {
            let least = self.cases.iter().min_by_key(|(_, case)| (case.suspicion(now), case.newest()));
            let least = least.map(|(content, _)| *content);
            least.map(|content| self.cases.remove(&content));
        }
    }
}

impl Case {
    fn counted(&self) -> impl Iterator<Item = &Loss> {
        self.losses.iter().filter(|loss| !loss.is_alive)
    }

    fn newest(&self) -> BootTime {
        self.losses.iter().map(|loss| loss.lost_at).chain(self.answered_at).max().unwrap_or_default()
    }

    fn suspicion(&self, now: BootTime) -> Suspicion {
        let count = self.counted().count();
        if count < SUSPECT_LOSSES {
            return Suspicion::None;
        }
        let newest = self.counted().map(|loss| loss.lost_at).max().unwrap_or_default();
        let is_proven = count >= QUARANTINE_LOSSES && self.has_sequence();
        if is_proven && now.since(newest) < QUARANTINE_TIME { Suspicion::Quarantined } else { Suspicion::Suspect }
    }

    /// Whether one loss was sent after another had been seen. When many searchers end at once, whatever ran there loses several at the same
    /// moment; only what is to blame loses the next one too.
    fn has_sequence(&self) -> bool {
        let first = self.counted().map(|loss| loss.lost_at).min();
        first.is_some_and(|first| self.counted().any(|loss| loss.sent_at >= first))
    }

    fn add(&mut self, loss: Loss) {
        if self.answered_at.is_some_and(|answered| loss.lost_at <= answered) {
            return;
        }
        match self.losses.iter_mut().find(|known| known.searcher == loss.searcher) {
            Some(known) if is_later(loss.lost_at, known.lost_at) => *known = loss,
            Some(known) => known.is_alive |= loss.is_alive,
            None => self.losses.push(loss),
        }
        self.losses.sort_by_key(|loss| loss.lost_at);
        if self.losses.len() > MOST_LOSSES {
            // The first stays: what was sent after it proves the sequence. One that is alive proves nothing.
            let needless = self.losses.iter().position(|loss| loss.is_alive).unwrap_or(1);
            self.losses.remove(needless);
        }
    }

    fn answered(&mut self, at: BootTime) {
        if self.answered_at.is_none_or(|known| is_later(at, known)) {
            self.answered_at = Some(at);
        }
        self.losses.retain(|loss| loss.lost_at > at);
    }

    /// The first loss and the newest: enough to decide by.
    fn telling_losses(&self) -> impl Iterator<Item = &Loss> {
        let skipped = self.losses.len().saturating_sub(TOLD_LOSSES);
        let rest = self.losses.get(1 + skipped..).unwrap_or_default();
        self.losses.iter().take(1).chain(rest)
    }

    fn is_worth_telling(&self, now: BootTime) -> bool {
        self.is_told || self.losses.len() >= SUSPECT_LOSSES || now.since(self.newest()) >= SINGLE_TOLD_AFTER
    }

    fn is_remembered(&self, now: BootTime) -> bool {
        let memory = if self.losses.is_empty() { ANSWER_MEMORY } else { MEMORY };
        now.since(self.newest()) < memory
    }
}

impl Loss {
    fn record(&self, now: BootTime) -> LossRecord {
        LossRecord {
            searcher: self.searcher,
            sent_ms: age_ms(now, self.sent_at),
            lost_ms: age_ms(now, self.lost_at),
            is_alive: self.is_alive,
        }
    }

    fn from_record(now: BootTime, record: &LossRecord) -> Self {
        Loss {
            searcher: record.searcher,
            sent_at: before(now, record.sent_ms),
            lost_at: before(now, record.lost_ms),
            is_alive: record.is_alive,
        }
    }
}

/// Whether two times that peers may have told are surely of two events, this one of the later.
fn is_later(time: BootTime, than: BootTime) -> bool {
    time > than + TELLING_TIME
}

fn age_ms(now: BootTime, at: BootTime) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

fn before(now: BootTime, age_ms: u32) -> BootTime {
    now - Duration::from_millis(age_ms.into())
}
