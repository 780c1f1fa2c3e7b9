//! A leaf's state of one searcher that it owns, and the rules for sending work to it.

use super::{LeafAction, LeafSettings, not_run};
use crate::message::{NotRunReason, SubRequest};
use crate::view::{ProbeReport, SearcherView};
use hashbrown::HashMap;
use staircross_types::{AttemptId, BootTime, NodeId, SearcherId, SearcherIncarnation};
use std::collections::VecDeque;

/// A sub-request that waits for a free slot.
pub(super) struct Queued {
    pub(super) from: NodeId,
    pub(super) request: SubRequest,
    pub(super) deadline: BootTime,
}

/// A sub-request that was sent and has not ended.
pub(super) struct InFlight {
    pub(super) from: NodeId,
    pub(super) sent_at: BootTime,
    pub(super) deadline: BootTime,
}

/// State of one owned searcher.
#[derive(Default)]
pub(super) struct OwnedSearcher {
    /// Slots of the searcher that this leaf may use; zero once the leaf no longer owns the searcher.
    pub(super) slot_share: u32,
    /// The searcher's last report.
    pub(super) report: Option<ProbeReport>,
    /// When the probe that brought the last report was sent; `None` while the searcher doesn't answer.
    pub(super) report_probed_at: Option<BootTime>,
    /// When the current incarnation was first seen.
    pub(super) incarnation_first_seen_at: BootTime,
    /// Whether this leaf saw an earlier incarnation before the current one, so that the slots used are ramped up.
    pub(super) needs_ramp_up: bool,
    /// Whether the current incarnation is leaving. Once set, this stays set until another incarnation is seen.
    pub(super) is_incarnation_leaving: bool,
    /// Whether the platform lists the searcher as leaving or an operator drains it.
    pub(super) listed_as_leaving: bool,
    /// Whether nothing may be sent because what the node knows of the platform is outdated.
    pub(super) is_view_outdated: bool,
    /// When the probe that has not ended was sent.
    pub(super) pending_probe_at: Option<BootTime>,
    pub(super) next_probe_at: BootTime,
    pub(super) in_flight: HashMap<AttemptId, InFlight>,
    pub(super) queue: VecDeque<Queued>,
}

impl OwnedSearcher {
    pub(super) fn is_leaving(&self) -> bool {
        self.is_incarnation_leaving || self.listed_as_leaving
    }

    pub(super) fn view(&self, searcher: SearcherId) -> SearcherView {
        SearcherView { searcher, report: self.report.clone(), leaving: self.is_leaving() }
    }

    /// Marks the current incarnation as leaving.
    pub(super) fn mark_leaving(&mut self, id: SearcherId, actions: &mut Vec<LeafAction>) {
        if !self.is_incarnation_leaving {
            self.is_incarnation_leaving = true;
            actions.push(LeafAction::PublishView(self.view(id)));
        }
    }

    /// Handles a refusal because the searcher is leaving. The refusal is about the incarnation that sent it, which may
    /// be newer than the one probed last; in that case nothing more is sent until the next probe reply.
    pub(super) fn on_draining_refusal(
        &mut self,
        id: SearcherId,
        incarnation: Option<SearcherIncarnation>,
        actions: &mut Vec<LeafAction>,
    ) {
        let known = self.report.as_ref().map(|report| report.incarnation);
        if incarnation.is_none() || incarnation == known {
            self.mark_leaving(id, actions);
        } else {
            self.report_probed_at = None;
        }
    }

    /// Applies a probe reply. `is_known_leaving` says whether the incarnation is already known to be leaving.
    pub(super) fn apply_report(
        &mut self,
        now: BootTime,
        asked_at: BootTime,
        report: ProbeReport,
        is_known_leaving: bool,
    ) {
        let is_same_incarnation = self.report.as_ref().is_some_and(|known| known.incarnation == report.incarnation);
        if !is_same_incarnation {
            // The first incarnation that this leaf sees may be warm; one that follows another has restarted and is
            // cold.
            self.needs_ramp_up = self.report.is_some();
            self.incarnation_first_seen_at = now;
            self.is_incarnation_leaving = false;
        }
        // An incarnation that is leaving stays so, even if it reports itself as serving again.
        self.is_incarnation_leaving |= report.draining || is_known_leaving;
        self.report_probed_at = Some(asked_at);
        self.report = Some(report);
    }

    /// Records that a probe was not answered.
    pub(super) fn clear_report(&mut self) {
        self.report_probed_at = None;
        // The incarnation is kept, to be compared with the next one, but the searcher no longer counts as serving any
        // snapshot.
        if let Some(report) = &mut self.report {
            report.snapshots.clear();
        }
    }

    /// Requests a probe, unless one has not ended or the leaf doesn't own the searcher.
    pub(super) fn request_probe(
        &mut self,
        now: BootTime,
        id: SearcherId,
        settings: &LeafSettings,
        actions: &mut Vec<LeafAction>,
    ) {
        if self.pending_probe_at.is_some() || self.slot_share == 0 {
            return;
        }
        self.pending_probe_at = Some(now);
        self.next_probe_at = now + settings.probe_interval;
        actions.push(LeafAction::Probe { searcher: id });
    }

    /// Returns how many sub-requests may be in flight at the searcher.
    pub(super) fn capacity(&self, now: BootTime, settings: &LeafSettings) -> usize {
        let age = now.since(self.incarnation_first_seen_at);
        if !self.needs_ramp_up || age >= settings.ramp_up_time {
            return self.slot_share as usize;
        }
        let fraction = age.as_secs_f64() / settings.ramp_up_time.as_secs_f64();
        ((f64::from(self.slot_share) * fraction) as usize).max(1)
    }

    /// Sends queued sub-requests while there is capacity. If the last probe reply is too old, this requests a probe
    /// instead.
    pub(super) fn dispatch(
        &mut self,
        now: BootTime,
        id: SearcherId,
        settings: &LeafSettings,
        actions: &mut Vec<LeafAction>,
    ) {
        self.expire_queue(now, actions);
        if self.queue.is_empty() || self.is_leaving() || self.is_view_outdated {
            return;
        }
        let fresh_until = self.report_probed_at.map(|asked| asked + settings.max_report_age);
        let Some(send_before) = fresh_until.filter(|until| now < *until) else {
            self.request_probe(now, id, settings, actions);
            return;
        };
        while self.in_flight.len() < self.capacity(now, settings) {
            let Some(queued) = self.queue.pop_front() else {
                return;
            };
            let mut request = queued.request;
            request.remaining = now.until(queued.deadline);
            self.in_flight
                .insert(request.attempt, InFlight { from: queued.from, sent_at: now, deadline: queued.deadline });
            actions.push(LeafAction::Send { request, send_before });
        }
    }

    /// Refuses the queued sub-requests whose deadline has passed.
    pub(super) fn expire_queue(&mut self, now: BootTime, actions: &mut Vec<LeafAction>) {
        self.queue.retain(|queued| {
            let in_time = now < queued.deadline;
            if !in_time {
                let reply = not_run(&queued.request, NotRunReason::Shed);
                actions.push(LeafAction::Reply { to: queued.from, reply });
            }
            in_time
        });
    }

    /// Refuses all queued sub-requests.
    pub(super) fn refuse_queue(&mut self, reason: NotRunReason, actions: &mut Vec<LeafAction>) {
        for queued in self.queue.drain(..) {
            actions.push(LeafAction::Reply { to: queued.from, reply: not_run(&queued.request, reason) });
        }
    }
}
