//! Log lines on changes of members, searchers, evacuations, suspicions and alarms.
//!
//! When a large fleet starts, each node learns of every member and every searcher. With a line for each, the log
//! volume would grow with the square of the fleet's size, and the important lines would be lost in it. So only a few
//! changes of members and searchers get lines of their own, and the others are logged as counts.
//!
//! [`MemberLog`] owns the counts of member changes. The fleet, the mirror and the engine detect the changes.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use staircross_cluster::{Member, MemberState};
use staircross_routing::SuspicionChange;
use staircross_routing::state::mirror::MirrorChanges;
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of member changes logged in single lines within one span; further ones are counted and logged
/// together when the span ends.
const MAX_MEMBER_LINES: usize = 5;
/// Length of the span over which member changes are counted. The span is short, so that an operator who follows the log
/// sees the counts at once.
const MEMBER_LOG_SPAN: Duration = Duration::from_secs(1);
/// Maximum number of searcher changes in one update that are logged in single lines; a larger update, such as a
/// listing, is logged in one line.
const MAX_SEARCHER_LINES: usize = 5;

/// Member changes within the current span.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MemberLog {
    span_started_at: BootTime,
    logged: usize,
    unlogged: MemberCounts,
}

/// Numbers of member changes by the state that the member changed to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct MemberCounts {
    alive: usize,
    leaving: usize,
    suspect: usize,
    gone: usize,
}

impl MemberCounts {
    fn count(&mut self, state: MemberState) {
        match state {
            MemberState::Alive => self.alive += 1,
            MemberState::Leaving => self.leaving += 1,
            MemberState::Suspect => self.suspect += 1,
            MemberState::Dead | MemberState::Left => self.gone += 1,
        }
    }
}

impl MemberLog {
    /// Counts one more change, and returns whether it gets a line of its own.
    fn try_take_line(&mut self, now: BootTime) -> bool {
        if now.since(self.span_started_at) >= MEMBER_LOG_SPAN {
            self.span_started_at = now;
            self.logged = 0;
        }
        self.logged += 1;
        self.logged <= MAX_MEMBER_LINES
    }

    /// Returns and clears the counts of a span that is over; `None` if the span is still open or nothing was counted.
    fn take_unlogged(&mut self, now: BootTime) -> Option<MemberCounts> {
        let is_over = now.since(self.span_started_at) >= MEMBER_LOG_SPAN;
        let unlogged = std::mem::take(if is_over { &mut self.unlogged } else { return None });
        (unlogged != MemberCounts::default()).then_some(unlogged)
    }
}

impl<D: Dialect> GatewayNode<D> {
    /// Logs a member's change, or counts it if the span has had enough single lines.
    pub(super) fn log_member(&mut self, member: &Member) {
        if !self.log_limits.members.try_take_line(self.now) {
            return self.log_limits.members.unlogged.count(member.state);
        }
        let line = format_args!(
            "event=member run={} address={} zone={} state={:?} ready={} record={}",
            member.node, member.caller_address, member.zone, member.state, member.is_ready, member.version
        );
        self.log.line(self.now, LineKind::NodeEvent, line);
    }

    /// Logs the counted member changes once their span is over.
    pub(super) fn log_member_totals(&mut self) {
        let Some(MemberCounts { alive, leaving, suspect, gone }) = self.log_limits.members.take_unlogged(self.now)
        else {
            return;
        };
        let live = self.fleet.live_count();
        let line =
            format_args!("event=members alive={alive} leaving={leaving} suspect={suspect} gone={gone} live={live}");
        self.log.line(self.now, LineKind::NodeEvent, line);
    }

    /// Logs the searchers that a merge has added, changed or removed.
    pub(super) fn log_searchers(&mut self, changes: &MirrorChanges, source: &str) {
        if changes.searchers.len() + changes.removed_searchers.len() > MAX_SEARCHER_LINES {
            return self.log_searcher_totals(changes, source);
        }
        let revision = self.mirror.newest_revision();
        for entry in &changes.searchers {
            let line = format_args!(
                "event=searcher instance={} born={} service={} address={} draining={} cold_ms={} revision={revision} \
                 source={source}",
                entry.instance, entry.born_ms, entry.service, entry.address, entry.is_draining, entry.cold_ms
            );
            self.log.line(self.now, LineKind::NodeEvent, line);
        }
        for instance in &changes.removed_searchers {
            let line = format_args!("event=searcher_gone instance={instance} revision={revision} source={source}");
            self.log.line(self.now, LineKind::NodeEvent, line);
        }
    }

    /// Logs the zones that are now evacuated: their searchers get no new work.
    pub(super) fn log_evacuated(&mut self, zones: &[Arc<str>], source: &str) {
        let line = format_args!("event=evacuated zones={} source={source}", zones.join(","));
        self.log.line(self.now, LineKind::NodeEvent, line);
    }

    /// Logs a change of a content's suspicion. An urgent change is also scheduled for a push to peers, since any
    /// delay may cost another searcher.
    pub(super) fn on_suspicion_change(&mut self, change: SuspicionChange, is_from_peers: bool) {
        let SuspicionChange { content, suspicion, losses, .. } = change;
        let source = if is_from_peers { "peer" } else { "own" };
        let line =
            format_args!("event=suspicion content={content} level={} lost={losses} source={source}", suspicion.name());
        self.log.line(self.now, LineKind::NodeEvent, line);
        if change.is_urgent(is_from_peers) {
            self.case_pushes.record_update();
        }
    }

    /// Logs that an alarm is raised for a route, because its requests have ended searchers lately, or that it is
    /// cleared.
    pub(super) fn log_alarm(&mut self, route: &str, is_raised: bool) {
        self.log.line(self.now, LineKind::NodeEvent, format_args!("event=alarm route={route} raised={is_raised}"));
    }

    /// Logs that the answers of a searcher say that it is leaving, of which this node hasn't heard.
    pub(super) fn log_searcher_closing(&mut self, instance: &str, service: &str) {
        let revision = self.mirror.newest_revision();
        let line = format_args!("event=searcher_closing instance={instance} service={service} revision={revision}");
        self.log.line(self.now, LineKind::NodeEvent, line);
    }

    fn log_searcher_totals(&mut self, changes: &MirrorChanges, source: &str) {
        let draining = changes.searchers.iter().filter(|entry| entry.is_draining).count();
        let (changed, gone) = (changes.searchers.len(), changes.removed_searchers.len());
        let revision = self.mirror.newest_revision();
        let known = self.mirror.searchers().count();
        let line = format_args!(
            "event=searchers changed={changed} draining={draining} gone={gone} known={known} revision={revision} source={source}"
        );
        self.log.line(self.now, LineKind::NodeEvent, line);
    }
}
