//! Lines on changes of what the node believes of members and searchers, bounded.
//!
//! When a large fleet starts, each node learns of every member and every searcher. A line for each would make the volume grow
//! with the square of the fleet, and the lines that matter would be lost among them. So single changes have lines
//! of their own, and what comes in numbers is logged together.
//!
//! [`MemberLog`] owns what was counted of members; what changed is found by the fleet, the mirror and the engine.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use staircross_cluster::{Member, MemberState};
use staircross_routing::SuspicionChange;
use staircross_routing::state::mirror::MirrorChanges;
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

/// Changes of members that have lines of their own within one span; those beyond are counted, and logged together when it ends.
const SINGLE_MEMBERS: usize = 5;
/// Time within which changes of members are counted together. So that an operator who follows the log sees them at once.
const SPAN: Duration = Duration::from_secs(1);
/// Changes of searchers learned at once that have lines of their own; more, such as a listing, are logged in one.
const SINGLE_SEARCHERS: usize = 5;

/// Changes of members within the present span.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MemberLog {
    span_began: BootTime,
    logged: usize,
    held: MemberCounts,
}

/// Changes of members, by the state that they led to.
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
    /// Whether one more change has a line of its own now.
    fn may_log(&mut self, now: BootTime) -> bool {
        if now.since(self.span_began) >= SPAN {
            self.span_began = now;
            self.logged = 0;
        }
        self.logged += 1;
        self.logged <= SINGLE_MEMBERS
    }

    /// What was counted in a span that is over.
    fn take_held(&mut self, now: BootTime) -> Option<MemberCounts> {
        let is_over = now.since(self.span_began) >= SPAN;
        let held = std::mem::take(if is_over { &mut self.held } else { return None });
        (held != MemberCounts::default()).then_some(held)
    }
}

impl<D: Dialect> GatewayNode<D> {
    /// Logs a change of a member, or counts it.
    pub(super) fn note_member(&mut self, member: &Member) {
        if !self.log_limits.members.may_log(self.now) {
            return self.log_limits.members.held.count(member.state);
        }
        let line = format_args!(
            "event=member run={} address={} zone={} state={:?} ready={} record={}",
            member.node, member.caller_address, member.zone, member.state, member.is_ready, member.version
        );
        self.log.line(self.now, LineKind::Belief, line);
    }

    /// Logs the changes that were counted.
    pub(super) fn log_held_members(&mut self) {
        let Some(MemberCounts { alive, leaving, suspect, gone }) = self.log_limits.members.take_held(self.now) else {
            return;
        };
        let live = self.fleet.live_count();
        let line =
            format_args!("event=members alive={alive} leaving={leaving} suspect={suspect} gone={gone} live={live}");
        self.log.line(self.now, LineKind::Belief, line);
    }

    /// Logs what a merge has changed of the searchers.
    pub(super) fn note_searchers(&mut self, changes: &MirrorChanges, source: &str) {
        if changes.searchers.len() + changes.gone.len() > SINGLE_SEARCHERS {
            return self.note_listing(changes, source);
        }
        for entry in &changes.searchers {
            let line = format_args!(
                "event=searcher instance={} born={} service={} address={} draining={} cold_ms={} source={source}",
                entry.instance, entry.born_ms, entry.service, entry.address, entry.is_draining, entry.cold_ms
            );
            self.log.line(self.now, LineKind::Belief, line);
        }
        for instance in &changes.gone {
            let line = format_args!("event=searcher_gone instance={instance} source={source}");
            self.log.line(self.now, LineKind::Belief, line);
        }
    }

    /// Logs which zones' searchers get no new work from now on.
    pub(super) fn note_evacuated(&mut self, zones: &[Arc<str>], source: &str) {
        let line = format_args!("event=evacuated zones={} source={source}", zones.join(","));
        self.log.line(self.now, LineKind::Belief, line);
    }

    /// Logs what is believed of a content now, and has it sent to peers at once where each moment may cost another searcher.
    pub(super) fn note_suspicion(&mut self, change: SuspicionChange, is_from_peers: bool) {
        let SuspicionChange { content, suspicion, losses, .. } = change;
        let source = if is_from_peers { "peer" } else { "own" };
        let line =
            format_args!("event=suspicion content={content} level={} lost={losses} source={source}", suspicion.name());
        self.log.line(self.now, LineKind::Belief, line);
        if change.is_urgent(is_from_peers) {
            self.case_pushes.note_update();
        }
    }

    /// Logs that requests of a route have ended searchers lately, or do so no more.
    pub(super) fn note_alarm(&mut self, route: &str, is_raised: bool) {
        self.log.line(self.now, LineKind::Belief, format_args!("event=alarm route={route} raised={is_raised}"));
    }

    fn note_listing(&mut self, changes: &MirrorChanges, source: &str) {
        let draining = changes.searchers.iter().filter(|entry| entry.is_draining).count();
        let (changed, gone) = (changes.searchers.len(), changes.gone.len());
        let revision = self.mirror.newest_revision();
        let known = self.mirror.searchers().count();
        let line = format_args!(
            "event=searchers changed={changed} draining={draining} gone={gone} known={known} revision={revision} source={source}"
        );
        self.log.line(self.now, LineKind::Belief, line);
    }
}
