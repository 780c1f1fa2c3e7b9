//! Detects requests that crash the searchers that run them ("queries of death"), and stops sending them.
//!
//! A request is identified by its content: a digest of host, method, target, body and tenant ([`ContentKey`]). The rule
//! decides for each content whether it may be sent like any other, to one searcher at a time (suspect), or to no
//! searcher (quarantined). The level follows from the content's case (`quarantine/case.rs`), which records the
//! searchers that were lost while they ran the content since it was last answered, on all nodes. A searcher counts as
//! lost when its connection ends without an answer. While contents of a route are quarantined, the alarm of that route
//! is raised for a limited time (`quarantine/alarm.rs`).
//!
//! The inputs are connections that ended without an answer (content, route, incarnation of the searcher, times),
//! answers, and records from peers ([`CaseRecord`]: the same data, with times as ages in milliseconds).
//!
//! The rule protects searchers. A connection that ends without an answer suggests that its searcher has ended, and any
//! request that ran there may be the cause. The request that is the cause is never answered by any searcher. On a day
//! with such an incident, 0.572 of all requests are served without the rule and 0.985 with it. On five standard days
//! and 128 days with crashing searchers, no harmless content is quarantined and 47 harmless contents are suspect for a
//! moment (docs/design/quarantine.md).
//!
//! The rule doesn't know why a connection ended, nor what the searcher ran for other nodes at that time. Its state is
//! lost when all nodes are lost. Copies of the first such request that arrive before any searcher has ended are sent to
//! all shards; contents that follow on the same route are tried on one shard first (`decision/first_probe`).
//!
//! The log shows the rule as `event=suspicion` (content, level, number of searchers lost, source) and `event=alarm`;
//! callers see refusals of kind `quarantined`. The setting `routing.quarantine = false` turns the rule off.

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
use case::{ANSWER_RETENTION, Case, Loss, age_ms, is_surely_later, time_before};
use recent_answers::RecentAnswers;
use sending::ReportSchedule;
use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of contents remembered. Beyond it, the content with the lowest level and the oldest report is dropped
/// first. This bounds memory to some 100 KB.
const MAX_CASES: usize = 256;

/// An attempt whose connection ended without an answer.
#[derive(Clone, Copy, Debug)]
pub struct LostAttempt {
    /// Content of the request.
    pub content: ContentKey,
    /// Route of the request.
    pub route: RouteDigest,
    /// Incarnation of the searcher that the attempt was sent to.
    pub searcher: InstanceKey,
    /// Time at which the attempt was sent.
    pub sent_at: BootTime,
}

/// Cases of all contents that were running on searchers that were lost, and the alarms of routes.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: BTreeMap<ContentKey, Case>,
    alarms: RouteAlarms,
    answers: RecentAnswers,
    schedule: ReportSchedule,
}

impl Quarantine {
    /// Returns the suspicion level of a content.
    pub fn suspicion(&self, now: BootTime, content: ContentKey) -> Suspicion {
        self.cases.get(&content).map_or(Suspicion::None, |case| case.suspicion(now))
    }

    /// Returns the number of suspect contents and the number of quarantined contents.
    pub fn counts(&self, now: BootTime) -> (usize, usize) {
        let count = |wanted| self.cases.values().filter(|case| case.suspicion(now) == wanted).count();
        (count(Suspicion::Suspect), count(Suspicion::Quarantined))
    }

    /// Returns whether the alarm of any route is stored. Alarms that have ended may still be included.
    pub fn has_alarms(&self) -> bool {
        !self.alarms.is_empty()
    }

    /// Returns whether the alarm of a route is raised: its requests have crashed searchers lately.
    pub fn is_alarmed(&self, now: BootTime, route: RouteDigest) -> bool {
        self.alarm_age(now, route).is_some()
    }

    /// Returns the time since the newest loss behind a route's alarm, or `None` if the alarm isn't raised.
    pub fn alarm_age(&self, now: BootTime, route: RouteDigest) -> Option<Duration> {
        self.alarms.age(now, route)
    }

    /// Returns whether a searcher has answered a request with this content lately, and none has been lost while running
    /// one since.
    pub fn is_harmless(&self, content: ContentKey) -> bool {
        self.answers.contains(content)
    }

    /// Records that a searcher's connection ended while the searcher ran a request with this content.
    pub fn note_lost(&mut self, now: BootTime, lost: LostAttempt) -> Option<SuspicionChange> {
        let LostAttempt { content, route, searcher, sent_at } = lost;
        self.answers.remove(content);
        self.evict_if_full(now, content);
        self.update_case(now, content, |case| {
            case.route = Some(route);
            case.add_loss(Loss { searcher, sent_at, lost_at: now, is_alive: false, is_reported_by_peer: false });
        })
    }

    /// Records that a searcher ran a request with this content to completion.
    pub fn note_answered(&mut self, now: BootTime, content: ContentKey) -> Option<SuspicionChange> {
        self.answers.record(now, content);
        let case = self.cases.get(&content)?;
        if !case.is_known_to_peers {
            let (before, route) = (case.suspicion(now), case.route);
            self.cases.remove(&content);
            self.update_alarm(now, route);
            let change = SuspicionChange { content, suspicion: Suspicion::None, losses: 0, is_raised: false };
            return (before != Suspicion::None).then_some(change);
        }
        self.update_case(now, content, |case| case.record_answer(now))
    }

    /// Records that a searcher answered a request sent at `sent_at`, which shows that it survived all its losses before
    /// that time. If a connection to the searcher may have been established since a loss (the last one was at
    /// `connected_at`), the answer may come from a later incarnation under the same id, so the loss still counts.
    pub fn note_alive(
        &mut self,
        now: BootTime,
        searcher: InstanceKey,
        sent_at: BootTime,
        connected_at: Option<BootTime>,
    ) -> Vec<SuspicionChange> {
        let has_not_reconnected =
            |lost_at: BootTime| connected_at.is_none_or(|connected_at| is_surely_later(lost_at, connected_at));
        let is_outlived = |loss: &&Loss| loss.lost_at <= sent_at && has_not_reconnected(loss.lost_at);
        let is_cleared = |loss: &&Loss| loss.searcher == searcher && is_outlived(loss) && !loss.is_alive;
        let concerned = self.cases.iter().filter(|(_, case)| case.losses.iter().any(|loss| is_cleared(&loss)));
        let contents: Vec<ContentKey> = concerned.map(|(content, _)| *content).collect();
        let clear = |case: &mut Case| {
            let cleared = case.losses.iter_mut().filter(|loss| is_cleared(&&**loss));
            cleared.for_each(|loss| loss.is_alive = true);
        };
        contents.into_iter().filter_map(|content| self.update_case(now, content, clear)).collect()
    }

    /// Merges the records that a peer has sent.
    pub fn merge(&mut self, now: BootTime, records: &[CaseRecord]) -> Vec<SuspicionChange> {
        records.iter().filter_map(|record| self.merge_record(now, record)).collect()
    }

    fn merge_record(&mut self, now: BootTime, record: &CaseRecord) -> Option<SuspicionChange> {
        // An answer is stored even if no losses of its content are known here, since a report of them may be in
        // transit.
        let is_old = record.answered_ms.is_none_or(|age| u128::from(age) >= ANSWER_RETENTION.as_millis());
        if record.losses.is_empty() && is_old && !self.cases.contains_key(&record.content) {
            return None;
        }
        self.evict_if_full(now, record.content);
        self.update_case(now, record.content, |case| {
            case.is_known_to_peers = true;
            case.route = case.route.or(record.route);
            record.losses.iter().for_each(|loss| case.add_loss(Loss::from_record(now, loss)));
            if let Some(age) = record.answered_ms {
                case.record_peer_answer(time_before(now, age));
            }
        })
    }

    /// Returns the records to send to peers with the next datagram, and advances the schedule by which contents take
    /// turns.
    pub fn next_records(&mut self, now: BootTime) -> Vec<CaseRecord> {
        self.remove_expired(now);
        let to_send = self.schedule.next_contents(now, &self.cases);
        to_send.into_iter().filter_map(|content| self.record_for_peers(now, content)).collect()
    }

    fn record_for_peers(&mut self, now: BootTime, content: ContentKey) -> Option<CaseRecord> {
        let case = self.cases.get_mut(&content)?;
        case.is_known_to_peers = true;
        let losses = case.losses_to_send().map(|loss| loss.peer_record(now)).collect();
        Some(CaseRecord { content, losses, answered_ms: case.answered_at.map(|at| age_ms(now, at)), route: case.route })
    }

    fn update_case(
        &mut self,
        now: BootTime,
        content: ContentKey,
        apply: impl FnOnce(&mut Case),
    ) -> Option<SuspicionChange> {
        let case = self.cases.entry(content).or_default();
        let before = case.suspicion(now);
        apply(case);
        let suspicion = case.suspicion(now);
        let (losses, route) = (case.counted_losses().count(), case.route);
        if before.max(suspicion) == Suspicion::Quarantined {
            self.update_alarm(now, route);
        }
        if suspicion > before {
            self.schedule.send_first(content);
        }
        (suspicion != before).then_some(SuspicionChange { content, suspicion, losses, is_raised: suspicion > before })
    }

    /// Raises or clears the alarm of a route, depending on which of its contents are quarantined now.
    fn update_alarm(&mut self, now: BootTime, route: Option<RouteDigest>) {
        let Some(route) = route else {
            return;
        };
        let of_route = self.cases.values().filter(|case| case.route == Some(route));
        let quarantined = of_route.filter(|case| case.suspicion(now) == Suspicion::Quarantined);
        self.alarms.set(route, quarantined.filter_map(Case::newest_loss));
    }

    fn remove_expired(&mut self, now: BootTime) {
        self.cases.retain(|_, case| case.is_remembered(now));
        self.alarms.remove_expired(now);
    }

    /// Drops a content if necessary, so that one that isn't known yet can be stored.
    fn evict_if_full(&mut self, now: BootTime, content: ContentKey) {
        if self.cases.len() < MAX_CASES || self.cases.contains_key(&content) {
            return;
        }
        self.remove_expired(now);
        if self.cases.len() >= MAX_CASES {
            let least = self.cases.iter().min_by_key(|(_, case)| (case.suspicion(now), case.newest_event()));
            let least = least.map(|(content, _)| *content);
            least.map(|content| self.cases.remove(&content));
        }
    }
}
