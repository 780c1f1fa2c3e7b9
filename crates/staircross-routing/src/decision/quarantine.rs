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

mod alarm;
mod case;
mod recent_answers;

use crate::keys::{ContentKey, InstanceKey, RouteDigest};
use alarm::RouteAlarms;
use case::{ANSWER_MEMORY, Case, Loss, age_ms, before, is_later};
use recent_answers::RecentAnswers;
use serde::{Deserialize, Serialize};
use staircross_types::BootTime;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

/// Contents remembered; bounds memory (some 100 KB). Suspects that have been lost least lately go first.
const MAX_CASES: usize = 256;
/// Contents sent with one datagram, quarantined ones and others: some 100 bytes each.
const SENT_QUARANTINED: usize = 3;
const SENT_OTHERS: usize = 2;
const MAX_SENT: usize = SENT_QUARANTINED + SENT_OTHERS;
/// Contents suspected anew that are sent with one datagram, ahead of the others, and those that wait for it.
const SENT_RAISED: usize = 3;
const MAX_RAISED: usize = 16;

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
    /// Whether more is thought to be wrong than before.
    pub is_raised: bool,
}

impl SuspicionChange {
    /// Whether peers are to be told at once, rather than with the next datagrams. What a peer told is passed on: a push reaches some nodes of its
    /// region, and until a node knows it may send the content to one searcher of each shard.
    pub fn is_urgent(&self, is_by_peers: bool) -> bool {
        !is_by_peers || self.is_raised
    }
}

/// A content as it is sent to peers; times are ages, since nodes' clocks differ.
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
    /// The route that it was asked by, if its teller knows it.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub route: Option<RouteDigest>,
}

/// A searcher lost under a content, as it is sent to peers.
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

/// An attempt whose connection ended without an answer.
#[derive(Clone, Copy, Debug)]
pub struct LostAttempt {
    /// What was asked for.
    pub content: ContentKey,
    /// The route that it was asked by.
    pub route: RouteDigest,
    /// Who was asked.
    pub searcher: InstanceKey,
    /// When it was sent.
    pub sent_at: BootTime,
}

/// All contents under which searchers were lost.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: BTreeMap<ContentKey, Case>,
    alarms: RouteAlarms,
    answers: RecentAnswers,
    /// Contents sent last, so that all have their turn.
    last_sent_quarantined: Option<ContentKey>,
    last_sent_other: Option<ContentKey>,
    /// Contents of which more is suspected since they were told last, newest first.
    raised: VecDeque<ContentKey>,
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

    /// Whether any route was on alarm lately.
    pub fn has_alarms(&self) -> bool {
        !self.alarms.is_empty()
    }

    /// Whether requests of a route have ended searchers lately.
    pub fn is_alarmed(&self, now: BootTime, route: RouteDigest) -> bool {
        self.alarms.is_raised(now, route)
    }

    /// Whether some searcher has answered a content lately, and none was lost under it since.
    pub fn is_harmless(&self, content: ContentKey) -> bool {
        self.answers.contains(content)
    }

    /// A searcher's connection ended while it ran a content.
    pub fn note_lost(&mut self, now: BootTime, lost: LostAttempt) -> Option<SuspicionChange> {
        let LostAttempt { content, route, searcher, sent_at } = lost;
        self.answers.forget(content);
        self.make_room(now, content);
        self.change(now, content, |case| {
            case.route = Some(route);
            case.add(Loss { searcher, sent_at, lost_at: now, is_alive: false, is_by_peer: false });
        })
    }

    /// A searcher ran a content to its end.
    pub fn note_answered(&mut self, now: BootTime, content: ContentKey) -> Option<SuspicionChange> {
        self.answers.note(now, content);
        let case = self.cases.get(&content)?;
        if !case.is_known_to_peers {
            let (before, route) = (case.suspicion(now), case.route);
            self.cases.remove(&content);
            self.set_alarm(now, route);
            let change = SuspicionChange { content, suspicion: Suspicion::None, losses: 0, is_raised: false };
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

    /// Takes what a peer reported.
    pub fn merge(&mut self, now: BootTime, records: &[CaseRecord]) -> Vec<SuspicionChange> {
        records.iter().filter_map(|record| self.merge_one(now, record)).collect()
    }

    fn merge_one(&mut self, now: BootTime, record: &CaseRecord) -> Option<SuspicionChange> {
        // An answer is remembered though its losses aren't known here yet: word of them may be on its way.
        let is_old = record.answered_ms.is_none_or(|age| u128::from(age) >= ANSWER_MEMORY.as_millis());
        if record.losses.is_empty() && is_old && !self.cases.contains_key(&record.content) {
            return None;
        }
        self.make_room(now, record.content);
        self.change(now, record.content, |case| {
            case.is_known_to_peers = true;
            case.route = case.route.or(record.route);
            record.losses.iter().for_each(|loss| case.add(Loss::from_record(now, loss)));
            if let Some(age) = record.answered_ms {
                case.answered_by_peer(before(now, age));
            }
        })
    }

    /// What to send peers with the next datagrams; contents take turns.
    pub fn records(&mut self, now: BootTime) -> Vec<CaseRecord> {
        self.forget_old(now);
        let is_quarantined = |case: &Case| case.suspicion(now) == Suspicion::Quarantined;
        let is_other = |case: &Case| !is_quarantined(case) && case.is_worth_sending(now);
        let raised = self.take_raised();
        let quarantined = self.next_turns(self.last_sent_quarantined, SENT_QUARANTINED, is_quarantined);
        let others = self.next_turns(self.last_sent_other, SENT_OTHERS, is_other);
        self.last_sent_quarantined = quarantined.last().copied();
        self.last_sent_other = others.last().copied();
        let by_turns = quarantined.into_iter().chain(others).filter(|content| !raised.contains(content));
        let to_send: Vec<ContentKey> = raised.iter().copied().chain(by_turns).take(MAX_SENT).collect();
        to_send.into_iter().filter_map(|content| self.record_to_send(now, content)).collect()
    }

    /// What is suspected anew comes first: each moment until peers know it may cost one searcher a shard.
    fn take_raised(&mut self) -> Vec<ContentKey> {
        let count = self.raised.len().min(SENT_RAISED);
        self.raised.drain(..count).collect()
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

    fn record_to_send(&mut self, now: BootTime, content: ContentKey) -> Option<CaseRecord> {
        let case = self.cases.get_mut(&content)?;
        case.is_known_to_peers = true;
        let losses = case.losses_to_send().map(|loss| loss.record(now)).collect();
        Some(CaseRecord { content, losses, answered_ms: case.answered_at.map(|at| age_ms(now, at)), route: case.route })
    }

    fn change(&mut self, now: BootTime, content: ContentKey, apply: impl FnOnce(&mut Case)) -> Option<SuspicionChange> {
        let case = self.cases.entry(content).or_default();
        let before = case.suspicion(now);
        apply(case);
        let suspicion = case.suspicion(now);
        let (losses, route) = (case.counted().count(), case.route);
        if before.max(suspicion) == Suspicion::Quarantined {
            self.set_alarm(now, route);
        }
        if suspicion > before {
            self.raised.retain(|known| *known != content);
            self.raised.push_front(content);
            self.raised.truncate(MAX_RAISED);
        }
        (suspicion != before).then_some(SuspicionChange { content, suspicion, losses, is_raised: suspicion > before })
    }

    /// Raises or ends the alarm of a route by what is quarantined there now.
    fn set_alarm(&mut self, now: BootTime, route: Option<RouteDigest>) {
        let Some(route) = route else {
            return;
        };
        let of_route = self.cases.values().filter(|case| case.route == Some(route));
        let quarantined = of_route.filter(|case| case.suspicion(now) == Suspicion::Quarantined);
        self.alarms.set(route, quarantined.filter_map(Case::newest_loss));
    }

    fn forget_old(&mut self, now: BootTime) {
        self.cases.retain(|_, case| case.is_remembered(now));
        self.alarms.forget_old(now);
    }

    /// Makes room for a content that isn't known yet.
    fn make_room(&mut self, now: BootTime, content: ContentKey) {
        if self.cases.len() < MAX_CASES || self.cases.contains_key(&content) {
            return;
        }
        self.forget_old(now);
        if self.cases.len() >= MAX_CASES {
            let least = self.cases.iter().min_by_key(|(_, case)| (case.suspicion(now), case.newest()));
            let least = least.map(|(content, _)| *content);
            least.map(|content| self.cases.remove(&content));
        }
    }
}
