//! Which requests end the searchers that run them, known by what they ask for.
//!
//! **Decides** for each content (a digest of host, method, target, body and tenant) whether it may be sent: like any other, to one searcher at a time
//! (suspect), or to nobody (quarantined). `quarantine/case.rs` holds the levels: losses since the content's last answer count, at all nodes together.
//!
//! **Inputs**: connections that ended without an answer (content, route, searcher's incarnation, times), answers, and what peers report
//! ([`CaseRecord`]: the same, times as ages in milliseconds).
//!
//! **Protects** searchers. A connection that ends without an answer says that its searcher may have ended, and any request that ran there may be
//! to blame; the one that is has no answer from anybody, ever. Measured in an incident's day: 0.572 of all requests served without, 0.985 with.
//! Harmless contents taken for such ones, on five standard days and 128 with searchers that crash: none quarantined, 47 suspect for a
//! moment (docs/design/quarantine.md).
//!
//! **Doesn't know** why a connection ended, or what ran beside at other nodes; remembers nothing after a loss of all nodes. Copies of a first such
//! request that come before anything has ended go to all shards; the contents that follow are tried on one first (`decision/first_probe`).
//!
//! **Shown by** the log's `event=suspicion` (content, level, searchers lost, source) and `event=alarm`, and refusals `quarantined`.
//! **Turned off by** `routing.quarantine = false`.

mod alarm;
mod case;
mod recent_answers;
mod record;
mod sending;
mod suspicion;

pub use record::{CaseRecord, LossRecord};
pub use suspicion::{Suspicion, SuspicionChange};

use crate::keys::{ContentKey, InstanceKey, RouteDigest};
use alarm::RouteAlarms;
use case::{ANSWER_MEMORY, Case, Loss, age_ms, before, is_later};
use recent_answers::RecentAnswers;
use sending::SendingTurns;
use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Contents remembered; those with the lowest level and the oldest report go first. A bound on memory, some 100 KB.
const MAX_CASES: usize = 256;

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
    sending: SendingTurns,
}

impl Quarantine {
    /// What is believed of a content.
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
        self.alarm_age(now, route).is_some()
    }

    /// Time since the newest loss of a route's alarm; `None` where it is on none.
    pub fn alarm_age(&self, now: BootTime, route: RouteDigest) -> Option<Duration> {
        self.alarms.age(now, route)
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
    /// have come up since the loss, the last one at `connected_at`, the answer may be from a later incarnation under its id and proves nothing.
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
        // An answer is remembered though its losses aren't known here yet: a report of them may be on its way.
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
        let to_send = self.sending.next(now, &self.cases);
        to_send.into_iter().filter_map(|content| self.record_to_send(now, content)).collect()
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
            self.sending.raise(content);
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
