//! The leaf: decides whether work may be sent to a searcher now.
//!
//! A leaf owns searchers, or a share of their slots: it probes them and sends them the sub-requests of the roots.
//!
//! Inputs: sub-requests from roots, replies and probe replies from searchers, and reports of any source that a searcher
//! is leaving. Invariants: no more of a searcher's slots are in use than the owner's share; nothing is sent unless the
//! searcher has answered a probe that was sent less than [`LeafSettings::max_report_age`] ago; nothing is sent while what
//! the node knows of the platform is outdated; an incarnation that is leaving stays leaving; a sub-request that was queued and never sent is answered `NotRun`, unless its root has
//! cancelled it.

mod owned;

use crate::message::{NotRunReason, SubOutcome, SubReply, SubRequest};
use crate::view::{ProbeReport, SearcherView};
use owned::{OwnedSearcher, Queued};
use staircross_types::{AttemptId, BootTime, NodeId, SearcherId, SearcherIncarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Settings of a leaf.
#[derive(Clone, Debug)]
pub struct LeafSettings {
    /// Time after a probe was sent during which its reply allows work to be sent to the searcher, and after which a
    /// probe without a reply counts as lost.
    pub max_report_age: Duration,
    /// Time between the probes of a searcher.
    pub probe_interval: Duration,
    /// Time over which the number of slots that are used of a restarted searcher rises to the whole share.
    pub ramp_up_time: Duration,
    /// Largest number of sub-requests that may be queued for a searcher, per slot of the leaf's share.
    pub max_queue_per_slot: usize,
    /// Time after a leaf first owns a searcher during which the leaf accepts no work. In this time it receives the
    /// views of its peers, which say which searchers are leaving.
    pub settling_time: Duration,
}

impl Default for LeafSettings {
    fn default() -> Self {
        LeafSettings {
            max_report_age: Duration::from_secs(2),
            probe_interval: Duration::from_millis(500),
            ramp_up_time: Duration::from_secs(3),
            max_queue_per_slot: 4,
            settling_time: Duration::from_millis(1000),
        }
    }
}

/// Time after the deadline of a sub-request at which the leaf stops counting it as in flight if no reply came.
const LOST_CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// An event that a leaf handles.
#[derive(Clone, Debug)]
pub enum LeafEvent {
    /// The searchers that the leaf owns, with its share of each one's slots.
    Owned(BTreeMap<SearcherId, u32>),
    /// A root sends a sub-request.
    Request { from: NodeId, request: SubRequest },
    /// A root no longer needs the result of an attempt.
    Cancel { from: NodeId, attempt: AttemptId },
    /// A searcher replied, or the call to it failed. `incarnation` is the one that replied, if one did.
    Reply { reply: SubReply, incarnation: Option<SearcherIncarnation> },
    /// A probe ended. `report` is `None` if the searcher didn't answer.
    Probed { searcher: SearcherId, asked_at: BootTime, report: Option<ProbeReport> },
    /// A peer published its view of a searcher.
    PeerView(SearcherView),
    /// The searchers that the platform lists as leaving or that operators drain. The list applies to every incarnation
    /// of a listed searcher.
    ListedAsLeaving(BTreeSet<SearcherId>),
    /// What the node knows of the platform has become outdated, or is current again. See [`crate::outdated_view`].
    View { is_outdated: bool },
    /// The leaf is stopping and accepts no new work.
    Stop,
    /// Timers may be due.
    Tick,
}

/// An action that a leaf asks its caller to carry out.
#[derive(Clone, Debug)]
pub enum LeafAction {
    /// Send the sub-request to the searcher, but not after `send_before`.
    Send { request: SubRequest, send_before: BootTime },
    /// Notify the searcher that the result of an attempt is no longer needed.
    CancelAtSearcher { searcher: SearcherId, attempt: AttemptId },
    /// Reply to a root.
    Reply { to: NodeId, reply: SubReply },
    /// Ask the searcher for its state: see [`ProbeReport`].
    Probe { searcher: SearcherId },
    /// Publish the new view of a searcher to the other nodes.
    PublishView(SearcherView),
}

/// The leaf's state and decisions for all searchers that it owns.
pub struct LeafEngine {
    settings: LeafSettings,
    searchers: BTreeMap<SearcherId, OwnedSearcher>,
    /// The leaving incarnation of each searcher that is known to be leaving, whether the leaf owns the searcher or not.
    /// A peer may report an incarnation before this leaf has probed it, or before the leaf owns the searcher.
    leaving_incarnations: BTreeMap<SearcherId, SearcherIncarnation>,
    first_owned_at: Option<BootTime>,
    /// Whether sub-requests stay in their queues because what the node knows of the platform is outdated.
    is_view_outdated: bool,
    stopping: bool,
}

impl LeafEngine {
    /// Creates a leaf that owns no searcher.
    pub fn new(settings: LeafSettings) -> Self {
        LeafEngine {
            settings,
            searchers: BTreeMap::new(),
            leaving_incarnations: BTreeMap::new(),
            first_owned_at: None,
            is_view_outdated: false,
            stopping: false,
        }
    }

    /// Handles one event and appends the actions to carry out.
    pub fn on_event(&mut self, now: BootTime, event: LeafEvent, actions: &mut Vec<LeafAction>) {
        match event {
            LeafEvent::Owned(shares) => self.set_owned(now, shares, actions),
            LeafEvent::Request { from, request } => self.on_request(now, from, request, actions),
            LeafEvent::Cancel { from, attempt } => self.on_cancel(now, from, attempt, actions),
            LeafEvent::Reply { reply, incarnation } => self.on_reply(now, reply, incarnation, actions),
            LeafEvent::Probed { searcher, asked_at, report } => {
                self.on_probed(now, searcher, asked_at, report, actions);
            }
            LeafEvent::PeerView(view) => self.on_peer_view(view, actions),
            LeafEvent::ListedAsLeaving(listed) => self.set_listed(&listed, actions),
            LeafEvent::View { is_outdated } => self.set_view_outdated(now, is_outdated, actions),
            LeafEvent::Stop => self.stopping = true,
            LeafEvent::Tick => self.on_tick(now, actions),
        }
    }

    /// Returns the number of sub-requests that are queued, or sent and not answered.
    pub fn in_flight(&self) -> usize {
        self.searchers.values().map(|searcher| searcher.in_flight.len() + searcher.queue.len()).sum()
    }

    /// Returns whether the leaf has waited for the views of its peers for long enough to accept work, or has never
    /// owned a searcher.
    pub fn is_settled(&self, now: BootTime) -> bool {
        self.first_owned_at.is_none_or(|since| now.since(since) >= self.settings.settling_time)
    }

    /// Returns the views of all searchers that are owned or still have work in flight.
    pub fn views(&self) -> Vec<SearcherView> {
        self.searchers.iter().map(|(id, searcher)| searcher.view(*id)).collect()
    }

    /// Sets the owned searchers and the shares of their slots. The sub-requests queued for searchers that are no longer
    /// owned are refused.
    fn set_owned(&mut self, now: BootTime, shares: BTreeMap<SearcherId, u32>, actions: &mut Vec<LeafAction>) {
        if !shares.is_empty() {
            self.first_owned_at.get_or_insert(now);
        }
        for (id, searcher) in &mut self.searchers {
            if shares.contains_key(id) {
                continue;
            }
            // Sub-requests in flight still end here. Queued ones were never sent, so that the root can send them to the
            // new owner.
            searcher.slot_share = 0;
            searcher.refuse_queue(NotRunReason::NotOwner, actions);
        }
        self.searchers.retain(|id, searcher| shares.contains_key(id) || !searcher.in_flight.is_empty());
        for (id, share) in shares {
            let searcher = self.searchers.entry(id).or_default();
            searcher.slot_share = share;
            searcher.is_view_outdated = self.is_view_outdated;
            if searcher.report.is_none() {
                searcher.request_probe(now, id, &self.settings, actions);
            }
        }
    }

    /// Stops sending from the queues, or begins again.
    fn set_view_outdated(&mut self, now: BootTime, is_outdated: bool, actions: &mut Vec<LeafAction>) {
        self.is_view_outdated = is_outdated;
        for (id, searcher) in &mut self.searchers {
            searcher.is_view_outdated = is_outdated;
            searcher.dispatch(now, *id, &self.settings, actions);
        }
    }

    /// Queues a sub-request, or refuses it if the leaf doesn't accept it or the queue is full.
    fn on_request(&mut self, now: BootTime, from: NodeId, request: SubRequest, actions: &mut Vec<LeafAction>) {
        let id = request.searcher;
        let refuse = |reason| LeafAction::Reply { to: from, reply: not_run(&request, reason) };
        if self.stopping {
            actions.push(refuse(NotRunReason::LeafLeaving));
            return;
        }
        let is_unsettled = !self.is_settled(now);
        let owned = self.searchers.get_mut(&id).filter(|searcher| searcher.slot_share > 0);
        let Some(searcher) = owned.filter(|_| !is_unsettled) else {
            actions.push(refuse(NotRunReason::NotOwner));
            return;
        };
        if searcher.is_leaving() {
            actions.push(refuse(NotRunReason::Draining));
            return;
        }
        let queue_bound = searcher.slot_share as usize * self.settings.max_queue_per_slot;
        if searcher.queue.len() >= queue_bound {
            actions.push(refuse(NotRunReason::Shed));
            return;
        }
        let deadline = now + request.remaining;
        searcher.queue.push_back(Queued { from, request, deadline });
        searcher.dispatch(now, id, &self.settings, actions);
    }

    /// Drops a queued sub-request, or cancels it at the searcher if it was sent.
    fn on_cancel(&mut self, now: BootTime, from: NodeId, attempt: AttemptId, actions: &mut Vec<LeafAction>) {
        for (id, searcher) in &mut self.searchers {
            let queued = searcher.queue.iter().position(|queued| queued.request.attempt == attempt);
            if let Some(index) = queued.filter(|index| searcher.queue[*index].from == from) {
                searcher.queue.remove(index);
                return;
            }
            if searcher.in_flight.get(&attempt).is_some_and(|in_flight| in_flight.from == from) {
                actions.push(LeafAction::CancelAtSearcher { searcher: *id, attempt });
                searcher.dispatch(now, *id, &self.settings, actions);
                return;
            }
        }
    }

    /// Passes the reply to an attempt in flight to its root. A `Draining` refusal is recorded even if the attempt isn't
    /// in flight.
    fn on_reply(
        &mut self,
        now: BootTime,
        reply: SubReply,
        incarnation: Option<SearcherIncarnation>,
        actions: &mut Vec<LeafAction>,
    ) {
        let id = reply.searcher;
        if let (SubOutcome::NotRun(NotRunReason::Draining), Some(incarnation)) = (&reply.outcome, incarnation) {
            self.leaving_incarnations.insert(id, incarnation);
        }
        let Some(searcher) = self.searchers.get_mut(&id) else {
            return;
        };
        // An attempt that isn't in flight was answered already, or was never sent by this leaf.
        let Some(in_flight) = searcher.in_flight.remove(&reply.attempt) else {
            return;
        };
        match reply.outcome {
            SubOutcome::NotRun(NotRunReason::Draining) => searcher.on_draining_refusal(id, incarnation, actions),
            SubOutcome::NotRun(NotRunReason::Unconnected) => searcher.report_probed_at = None,
            _ => {}
        }
        let reply = SubReply { worked: now.since(in_flight.sent_at), ..reply };
        actions.push(LeafAction::Reply { to: in_flight.from, reply });
        if searcher.is_leaving() {
            searcher.refuse_queue(NotRunReason::Draining, actions);
        }
        searcher.dispatch(now, id, &self.settings, actions);
    }

    /// Records the incarnation of a searcher that is leaving, so that it is still known after the searcher's owner has
    /// changed.
    fn record_leaving_incarnation(&mut self, id: SearcherId) {
        let Some(searcher) = self.searchers.get(&id).filter(|searcher| searcher.is_incarnation_leaving) else {
            return;
        };
        if let Some(report) = &searcher.report {
            self.leaving_incarnations.insert(id, report.incarnation);
        }
    }

    /// Applies the result of a probe, and publishes the searcher's view if it has changed.
    fn on_probed(
        &mut self,
        now: BootTime,
        id: SearcherId,
        asked_at: BootTime,
        report: Option<ProbeReport>,
        actions: &mut Vec<LeafAction>,
    ) {
        let Some(searcher) = self.searchers.get_mut(&id) else {
            return;
        };
        searcher.pending_probe_at = None;
        let before = searcher.view(id);
        match report {
            Some(report) => {
                let is_known_leaving = self.leaving_incarnations.get(&id) == Some(&report.incarnation);
                searcher.apply_report(now, asked_at, report, is_known_leaving);
            }
            None => searcher.clear_report(),
        }
        let after = searcher.view(id);
        if after != before {
            actions.push(LeafAction::PublishView(after));
        }
        if searcher.is_leaving() {
            searcher.refuse_queue(NotRunReason::Draining, actions);
        } else if searcher.report_probed_at.is_none() {
            searcher.refuse_queue(NotRunReason::Unconnected, actions);
        }
        searcher.dispatch(now, id, &self.settings, actions);
        self.record_leaving_incarnation(id);
    }

    /// Marks an incarnation that a peer reports as leaving. If the peer doesn't know yet that the incarnation is
    /// leaving, publishes the corrected view.
    fn on_peer_view(&mut self, view: SearcherView, actions: &mut Vec<LeafAction>) {
        let Some(incarnation) = view.report.as_ref().map(|report| report.incarnation) else {
            return;
        };
        if view.leaving {
            self.mark_incarnation_leaving(view.searcher, incarnation, actions);
        } else if self.leaving_incarnations.get(&view.searcher) == Some(&incarnation) {
            actions.push(LeafAction::PublishView(SearcherView { leaving: true, ..view }));
        }
    }

    /// Records that an incarnation is leaving. If it is the last known incarnation of an owned searcher, refuses the
    /// searcher's queue.
    fn mark_incarnation_leaving(
        &mut self,
        id: SearcherId,
        incarnation: SearcherIncarnation,
        actions: &mut Vec<LeafAction>,
    ) {
        self.leaving_incarnations.insert(id, incarnation);
        let Some(searcher) = self.searchers.get_mut(&id) else {
            return;
        };
        if searcher.report.as_ref().is_some_and(|report| report.incarnation == incarnation) {
            searcher.mark_leaving(id, actions);
            searcher.refuse_queue(NotRunReason::Draining, actions);
        }
    }

    /// Sets which searchers are listed as leaving, and publishes the views that have changed.
    fn set_listed(&mut self, listed: &BTreeSet<SearcherId>, actions: &mut Vec<LeafAction>) {
        for (id, searcher) in &mut self.searchers {
            let is_listed = listed.contains(id);
            if searcher.listed_as_leaving == is_listed {
                continue;
            }
            let before = searcher.view(*id);
            searcher.listed_as_leaving = is_listed;
            // The incarnation stays leaving, even if a later list no longer has the searcher.
            searcher.is_incarnation_leaving |= is_listed && searcher.report.is_some();
            let after = searcher.view(*id);
            if after != before {
                actions.push(LeafAction::PublishView(after));
            }
            if searcher.is_leaving() {
                searcher.refuse_queue(NotRunReason::Draining, actions);
            }
        }
    }

    /// Refuses expired sub-requests, sends due probes and dispatches queues.
    fn on_tick(&mut self, now: BootTime, actions: &mut Vec<LeafAction>) {
        for (id, searcher) in &mut self.searchers {
            searcher.expire_queue(now, actions);
            // Every call to a searcher ends by its deadline, with or without a reply. If a call were dropped sooner, a
            // planned stop could finish while the call is still in flight. The timeout only matters if a worker thread
            // ended without a reply.
            searcher.in_flight.retain(|_, in_flight| now < in_flight.deadline + LOST_CALL_TIMEOUT);
            let probe_timeout = self.settings.max_report_age;
            let unanswered = searcher.pending_probe_at.is_some_and(|asked| now.since(asked) > probe_timeout);
            if unanswered {
                searcher.pending_probe_at = None;
            }
            if now >= searcher.next_probe_at {
                searcher.request_probe(now, *id, &self.settings, actions);
            }
            searcher.dispatch(now, *id, &self.settings, actions);
        }
    }
}

/// Returns the reply to a sub-request that was not sent and never will be.
pub fn not_run(request: &SubRequest, reason: NotRunReason) -> SubReply {
    SubReply {
        attempt: request.attempt,
        searcher: request.searcher,
        snapshot: request.snapshot,
        outcome: SubOutcome::NotRun(reason),
        worked: Default::default(),
    }
}
