//! Calls and probes from leaves to searchers, and their replies.

use super::{SimEvent, World};
use crate::sim::network::Endpoint;
use crate::sim::records::LeavingArrival;
use crate::sim::searcher::{Admission, ReplyFault, apply_reply_fault};
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
const MAX_LATE_DELAY: Duration = Duration::from_millis(1500);

impl World {
    /// Sends a sub-request to a searcher, unless it is too late or the searcher can't be reached.
    pub(super) fn handle_worker_send(&mut self, node: usize, request: SubRequest, send_before: BootTime) {
        let generation = self.nodes[node].generation;
        if self.now >= send_before {
            let reply = not_run(&request, NotRunReason::Unconnected);
            self.schedule(Duration::ZERO, SimEvent::CallResult { node, generation, reply, incarnation: None });
            return;
        }
        let searcher = request.searcher.0 as usize;
        let (from, to) = (Endpoint::Node(node), Endpoint::Searcher(searcher));
        if !self.network.can_deliver(from, to) {
            let reply = not_run(&request, NotRunReason::Unconnected);
            self.schedule(CONNECT_TIMEOUT, SimEvent::CallResult { node, generation, reply, incarnation: None });
            return;
        }
        let delay = self.draw_network_delay(from, to);
        if !self.searchers[searcher].is_up {
            let reply = not_run(&request, NotRunReason::Unconnected);
            self.schedule(delay * 2, SimEvent::CallResult { node, generation, reply, incarnation: None });
            return;
        }
        let attempt = request.attempt;
        self.schedule(request.remaining + REPLY_GRACE, SimEvent::CallTimeout { node, generation, attempt });
        self.schedule(delay, SimEvent::SearcherArrival { node, generation, request, has_waited: false });
    }

    /// Offers a sub-request to a searcher, at the end of the pause if the searcher is paused.
    pub(super) fn handle_searcher_arrival(
        &mut self,
        node: usize,
        generation: u64,
        request: SubRequest,
        has_waited: bool,
    ) {
        let index = request.searcher.0 as usize;
        // A sub-request counts as arrived when it reaches the machine, even if a paused searcher reads it later.
        if let (false, Some(since)) = (has_waited, self.searchers[index].leaving_since) {
            let after_ms = self.now.since(since).as_millis() as u64;
            self.history.leaving_arrivals.push(LeavingArrival { searcher: request.searcher, after_ms });
        }
        let paused_until = self.searchers[index].paused_until;
        if self.now < paused_until {
            self.schedule_at(paused_until, SimEvent::SearcherArrival { node, generation, request, has_waited: true });
            return;
        }
        if !self.searchers[index].is_up {
            return;
        }
        if let Some(call) = self.nodes[node].open_calls.get_mut(&request.attempt) {
            call.has_arrived = true;
        }
        match self.searchers[index].admit(self.now, node, &request, &mut self.random) {
            Admission::Started(span) => self.start_work(index, node, generation, request, span),
            Admission::Queued => {}
            Admission::Refused(reason) => {
                let reply = not_run(&request, reason);
                self.send_searcher_reply(index, node, generation, reply, Duration::ZERO);
            }
        }
    }

    /// Sets the leaving time when a node gets the first refusal of a searcher that drains. From then on a node knows
    /// of the drain even if the state endpoint hides it.
    pub(super) fn set_leaving_on_refusal(&mut self, reply: &SubReply, incarnation: Option<SearcherIncarnation>) {
        let searcher = &mut self.searchers[reply.searcher.0 as usize];
        let is_refusal = reply.outcome == SubOutcome::NotRun(NotRunReason::Draining);
        if is_refusal && searcher.is_draining && incarnation == Some(searcher.incarnation) {
            searcher.leaving_since.get_or_insert(self.now);
        }
    }

    /// Records that a searcher executes a sub-request, and schedules the end of the work after `span`.
    pub(super) fn start_work(
        &mut self,
        searcher: usize,
        node: usize,
        generation: u64,
        request: SubRequest,
        span: Duration,
    ) {
        self.started_sub_requests += 1;
        let record = self.searchers[searcher].execution_record(&request);
        self.history.executions.push(record);
        let incarnation = self.searchers[searcher].incarnation.0;
        self.schedule(span, SimEvent::SearcherDone { searcher, incarnation, node, generation, request });
    }

    /// Sends the reply of a finished sub-request, with the next scripted fault, and starts work from the queue.
    pub(super) fn handle_searcher_done(&mut self, index: usize, node: usize, generation: u64, request: SubRequest) {
        self.searchers[index].active -= 1;
        let correct_reply = self.searchers[index].correct_reply(&request);
        let fault = self.searchers[index].reply_faults.pop_front();
        let reply = match fault {
            Some(fault) => apply_reply_fault(fault, correct_reply),
            None => Some(correct_reply),
        };
        if let Some(reply) = reply {
            let extra_delay =
                if fault == Some(ReplyFault::Late) { self.draw_delay_up_to(MAX_LATE_DELAY) } else { Duration::ZERO };
            if fault == Some(ReplyFault::Doubled) {
                self.send_searcher_reply(index, node, generation, reply.clone(), Duration::from_millis(3));
            }
            self.send_searcher_reply(index, node, generation, reply, extra_delay);
        }
        self.start_queued_work(index);
    }

    /// Starts sub-requests from the queue while slots are free, and refuses those that are past their deadline.
    pub(super) fn start_queued_work(&mut self, index: usize) {
        while self.searchers[index].active < self.searchers[index].slots {
            let Some((node, request, deadline)) = self.searchers[index].queue.pop_front() else {
                return;
            };
            let generation = self.nodes[node].generation;
            if self.now >= deadline {
                let reply = not_run(&request, NotRunReason::Shed);
                self.send_searcher_reply(index, node, generation, reply, Duration::ZERO);
                continue;
            }
            self.searchers[index].active += 1;
            let span = self.searchers[index].draw_work_time(self.now, &request, &mut self.random);
            self.start_work(index, node, generation, request, span);
        }
    }

    /// Sends a reply to a node after the network delay and `extra_delay`. The reply is lost if the network is cut.
    pub(super) fn send_searcher_reply(
        &mut self,
        searcher: usize,
        node: usize,
        generation: u64,
        reply: SubReply,
        extra_delay: Duration,
    ) {
        let (from, to) = (Endpoint::Searcher(searcher), Endpoint::Node(node));
        if self.network.can_deliver(from, to) {
            let delay = self.draw_network_delay(from, to) + extra_delay;
            let incarnation = Some(self.searchers[searcher].incarnation);
            self.schedule(delay, SimEvent::CallResult { node, generation, reply, incarnation });
        }
    }

    /// Reports a call without a reply to the leaf as unknown.
    pub(super) fn handle_call_timeout(&mut self, node: usize, generation: u64, attempt: AttemptId) {
        if !self.is_current_generation(node, generation) {
            return;
        }
        let Some(call) = self.nodes[node].open_calls.remove(&attempt) else {
            return;
        };
        let searcher = SearcherId(call.searcher as u32);
        let outcome = SubOutcome::Unknown(UnknownReason::Late);
        let reply =
            SubReply { attempt, searcher, snapshot: call.request.snapshot, outcome, worked: Default::default() };
        self.handle_leaf_event(node, LeafEvent::Reply { reply, incarnation: None });
    }

    /// Sends a probe to a searcher. If it can't be reached, the leaf gets a result without a report.
    pub(super) fn send_probe(&mut self, node: usize, searcher: SearcherId) {
        let index = searcher.0 as usize;
        let generation = self.nodes[node].generation;
        let asked_at = self.now;
        let (from, to) = (Endpoint::Node(node), Endpoint::Searcher(index));
        let delay = self.draw_network_delay(from, to);
        if self.searchers[index].is_up && self.network.can_deliver(from, to) {
            self.schedule(delay, SimEvent::ProbeArrival { node, generation, searcher: index, asked_at });
        } else {
            let event = LeafEvent::Probed { searcher, asked_at, report: None };
            self.schedule(delay * 2, SimEvent::Probed { node, generation, event });
        }
    }

    /// Replies to a probe, at the end of the pause if the searcher is paused. If the searcher is down or the network is
    /// cut, no reply comes.
    pub(super) fn handle_probe_arrival(&mut self, node: usize, generation: u64, index: usize, asked_at: BootTime) {
        let paused_until = self.searchers[index].paused_until;
        if self.now < paused_until {
            self.schedule_at(paused_until, SimEvent::ProbeArrival { node, generation, searcher: index, asked_at });
            return;
        }
        let (from, to) = (Endpoint::Searcher(index), Endpoint::Node(node));
        if !self.searchers[index].is_up || !self.network.can_deliver(from, to) {
            return;
        }
        let report = Some(self.searchers[index].probe_report());
        let searcher = self.searchers[index].id;
        let delay = self.draw_network_delay(from, to);
        let event = LeafEvent::Probed { searcher, asked_at, report };
        self.schedule(delay, SimEvent::Probed { node, generation, event });
    }
}
