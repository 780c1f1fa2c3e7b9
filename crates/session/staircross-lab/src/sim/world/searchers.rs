//! Calls and probes from leaves to searchers, and their replies.

use super::{SimEvent, World};
use crate::sim::network::Place;
use crate::sim::records::LateArrival;
use crate::sim::searcher::{Arrival, ReplyFault, distort};
use staircross_search::leaf::not_run;
use staircross_search::{LeafEvent, NotRunReason, SubOutcome, SubReply, SubRequest, UnknownReason};
use staircross_types::{AttemptId, BootTime, SearcherId, SearcherIncarnation};
use std::time::Duration;

/// Time after which an attempt to connect fails. It equals `CONNECT_TIMEOUT` of the node's runtime.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a node waits for a reply beyond the remaining time of the sub-request. It equals `REPLY_GRACE` of the
/// node's runtime.
const REPLY_GRACE: Duration = Duration::from_millis(50);
/// Upper bound of the additional delay of a late reply.
const LATE_BY: Duration = Duration::from_millis(1500);

impl World {
    /// Sends a sub-request to a searcher, unless it is too late or the searcher can't be reached.
    pub(super) fn worker_send(&mut self, node: usize, request: SubRequest, send_before: BootTime) {
        let run = self.nodes[node].runs;
        if self.now >= send_before {
            let reply = not_run(&request, NotRunReason::Unconnected);
            self.schedule(Duration::ZERO, SimEvent::LeafReply { node, run, reply, incarnation: None });
            return;
        }
        let searcher = request.searcher.0 as usize;
        let (from, to) = (Place::Node(node), Place::Searcher(searcher));
        if !self.network.is_open(from, to) {
            let reply = not_run(&request, NotRunReason::Unconnected);
            self.schedule(CONNECT_TIMEOUT, SimEvent::LeafReply { node, run, reply, incarnation: None });
            return;
        }
        let delay = self.delay_between(from, to);
        if !self.searchers[searcher].is_up {
            let reply = not_run(&request, NotRunReason::Unconnected);
            self.schedule(delay * 2, SimEvent::LeafReply { node, run, reply, incarnation: None });
            return;
        }
        let attempt = request.attempt;
        self.schedule(request.remaining + REPLY_GRACE, SimEvent::SendTimeout { node, run, attempt });
        self.schedule(delay, SimEvent::SearcherArrival { node, run, request, has_waited: false });
    }

    pub(super) fn searcher_arrival(&mut self, node: usize, run: u64, request: SubRequest, has_waited: bool) {
        let index = request.searcher.0 as usize;
        // A sub-request counts as arrived when it reaches the machine, even if a paused searcher reads it later.
        if let (false, Some(since)) = (has_waited, self.searchers[index].leaving_since) {
            let after_ms = self.now.since(since).as_millis() as u64;
            self.history.late_arrivals.push(LateArrival { searcher: request.searcher, after_ms });
        }
        let paused_until = self.searchers[index].paused_until;
        if self.now < paused_until {
            self.schedule_at(paused_until, SimEvent::SearcherArrival { node, run, request, has_waited: true });
            return;
        }
        if !self.searchers[index].is_up {
            return;
        }
        if let Some(pending) = self.nodes[node].sends.get_mut(&request.attempt) {
            pending.has_arrived = true;
        }
        match self.searchers[index].arrive(self.now, node, &request, &mut self.random) {
            Arrival::Started(span) => self.start_work(index, node, run, request, span),
            Arrival::Queued => {}
            Arrival::Refused(reason) => {
                let reply = not_run(&request, reason);
                self.reply_from_searcher(index, node, run, reply, Duration::ZERO);
            }
        }
    }

    /// Sets the leaving time when a node gets the first refusal of a searcher that drains. From then on a node knows
    /// of the drain even if the state endpoint hides it.
    pub(super) fn note_refusal_heard(&mut self, reply: &SubReply, incarnation: Option<SearcherIncarnation>) {
        let searcher = &mut self.searchers[reply.searcher.0 as usize];
        let is_refusal = reply.outcome == SubOutcome::NotRun(NotRunReason::Draining);
        if is_refusal && searcher.refuses && incarnation == Some(searcher.incarnation) {
            searcher.leaving_since.get_or_insert(self.now);
        }
    }

    pub(super) fn start_work(&mut self, searcher: usize, node: usize, run: u64, request: SubRequest, span: Duration) {
        self.started_sub_requests += 1;
        let record = self.searchers[searcher].run_record(&request);
        self.history.runs.push(record);
        let incarnation = self.searchers[searcher].incarnation.0;
        self.schedule(span, SimEvent::SearcherDone { searcher, incarnation, node, run, request });
    }

    /// Sends the reply of a finished sub-request, with the next scripted fault, and starts work from the queue.
    pub(super) fn searcher_done(&mut self, index: usize, node: usize, run: u64, request: SubRequest) {
        self.searchers[index].active -= 1;
        let true_reply = self.searchers[index].true_reply(&request);
        let fault = self.searchers[index].faults.pop_front();
        let reply = match fault {
            Some(fault) => distort(fault, true_reply),
            None => Some(true_reply),
        };
        if let Some(reply) = reply {
            let late = if fault == Some(ReplyFault::Late) { self.random_up_to(LATE_BY) } else { Duration::ZERO };
            if fault == Some(ReplyFault::Doubled) {
                self.reply_from_searcher(index, node, run, reply.clone(), Duration::from_millis(3));
            }
            self.reply_from_searcher(index, node, run, reply, late);
        }
        self.start_queued(index);
    }

    /// Starts sub-requests from the queue while slots are free, and refuses those that are past their deadline.
    pub(super) fn start_queued(&mut self, index: usize) {
        while self.searchers[index].active < self.searchers[index].slots {
            let Some((node, request, good_until)) = self.searchers[index].queue.pop_front() else {
                return;
            };
            let run = self.nodes[node].runs;
            if self.now >= good_until {
                let reply = not_run(&request, NotRunReason::Shed);
                self.reply_from_searcher(index, node, run, reply, Duration::ZERO);
                continue;
            }
            self.searchers[index].active += 1;
            let span = self.searchers[index].time_for(self.now, &request, &mut self.random);
            self.start_work(index, node, run, request, span);
        }
    }

    /// Sends a reply to a node after the network delay and `later`. The reply is lost if the network is cut.
    pub(super) fn reply_from_searcher(
        &mut self,
        searcher: usize,
        node: usize,
        run: u64,
        reply: SubReply,
        later: Duration,
    ) {
        let (from, to) = (Place::Searcher(searcher), Place::Node(node));
        if self.network.is_open(from, to) {
            let delay = self.delay_between(from, to) + later;
            let incarnation = Some(self.searchers[searcher].incarnation);
            self.schedule(delay, SimEvent::LeafReply { node, run, reply, incarnation });
        }
    }

    /// Reports a call without a reply to the leaf as unknown.
    pub(super) fn send_timeout(&mut self, node: usize, run: u64, attempt: AttemptId) {
        if !self.is_run(node, run) {
            return;
        }
        let Some(pending) = self.nodes[node].sends.remove(&attempt) else {
            return;
        };
        let searcher = SearcherId(pending.searcher as u32);
        let outcome = SubOutcome::Unknown(UnknownReason::Late);
        let reply =
            SubReply { attempt, searcher, snapshot: pending.request.snapshot, outcome, worked: Default::default() };
        self.leaf_event(node, LeafEvent::Reply { reply, run: None });
    }

    pub(super) fn send_probe(&mut self, node: usize, searcher: SearcherId) {
        let index = searcher.0 as usize;
        let run = self.nodes[node].runs;
        let asked_at = self.now;
        let (from, to) = (Place::Node(node), Place::Searcher(index));
        let delay = self.delay_between(from, to);
        if self.searchers[index].is_up && self.network.is_open(from, to) {
            self.schedule(delay, SimEvent::ProbeArrival { node, run, searcher: index, asked_at });
        } else {
            let event = LeafEvent::Probed { searcher, asked_at, evidence: None };
            self.schedule(delay * 2, SimEvent::Probed { node, run, event });
        }
    }

    pub(super) fn probe_arrival(&mut self, node: usize, run: u64, index: usize, asked_at: BootTime) {
        let paused_until = self.searchers[index].paused_until;
        if self.now < paused_until {
            self.schedule_at(paused_until, SimEvent::ProbeArrival { node, run, searcher: index, asked_at });
            return;
        }
        let (from, to) = (Place::Searcher(index), Place::Node(node));
        if !self.searchers[index].is_up || !self.network.is_open(from, to) {
            return;
        }
        let evidence = Some(self.searchers[index].evidence());
        let searcher = self.searchers[index].id;
        let delay = self.delay_between(from, to);
        let event = LeafEvent::Probed { searcher, asked_at, evidence };
        self.schedule(delay, SimEvent::Probed { node, run, event });
    }
}
