//! Timers of requests: hedges, early answers of latency-first requests, and deadlines.

use super::plan::SendReason;
use super::{RootAction, RootEngine, ServiceState};
use crate::message::Work;
use crate::request::Request;
use staircross_config::Priority;
use staircross_types::{BootTime, RequestId};
use std::cmp::Reverse;

/// Number of hedge delays that a latency-first request waits after its admission before it may be answered without its
/// last shards.
const EARLY_ANSWER_DELAYS: u32 = 2;

/// Returns when a latency-first search may be answered without its last shards; `None` for other requests.
pub(super) fn early_answer_time(request: &Request, service: &ServiceState) -> Option<BootTime> {
    let is_search = matches!(request.work, Work::Search(_));
    if !is_search || request.priority == Priority::Coverage {
        return None;
    }
    Some(request.admitted_at + service.latency.hedge_delay() * EARLY_ANSWER_DELAYS)
}

impl RootEngine {
    /// Handles the timers that are due.
    pub(super) fn on_tick(&mut self, now: BootTime, actions: &mut Vec<RootAction>) {
        while let Some(Reverse((due, sequence))) = self.timers.peek().copied() {
            if due > now {
                break;
            }
            self.timers.pop();
            self.on_timer(now, sequence, actions);
        }
        self.finished_actions.retain(|_, action| now < action.expires_at);
    }

    /// Handles a due timer of a request: ends the request, or hedges its late attempts.
    fn on_timer(&mut self, now: BootTime, sequence: u64, actions: &mut Vec<RootAction>) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        if now >= request.deadline {
            self.conclude(now, sequence, actions);
            return;
        }
        if self.is_early_answer_due(now, request) {
            self.conclude(now, sequence, actions);
            return;
        }
        self.hedge_late_attempts(now, sequence, actions);
        self.schedule(now, sequence);
    }

    /// Returns whether a latency-first request has enough shards and has waited long enough for the others.
    pub(super) fn is_early_answer_due(&self, now: BootTime, request: &Request) -> bool {
        if !request.reaches_coverage(request.shards.included()) {
            return false;
        }
        let service = self.services.get(&request.service);
        service.and_then(|service| early_answer_time(request, service)).is_some_and(|end| now >= end)
    }

    /// Sends hedges for the shards of attempts that are late, once for each attempt.
    fn hedge_late_attempts(&mut self, now: BootTime, sequence: u64, actions: &mut Vec<RootAction>) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        // An action is never hedged, because it must be executed at most once.
        if matches!(request.work, Work::Act(_)) {
            return;
        }
        let Some(service) = self.services.get(&request.service) else {
            return;
        };
        let delay = service.latency.hedge_delay();
        let mut late_shards = Vec::new();
        for attempt in &mut request.attempts {
            if attempt.open && !attempt.hedged && now >= attempt.sent_at + delay {
                attempt.hedged = true;
                late_shards.extend(attempt.shards.iter().copied());
                self.searcher_stats.record_lag(now, attempt.searcher, now.since(attempt.sent_at));
            }
        }
        late_shards.retain(|position| request.shards.is_open(*position));
        if !late_shards.is_empty() {
            self.send_extra(now, sequence, &late_shards, SendReason::Hedge, actions);
        }
    }

    /// Ends a search whose caller has disconnected.
    pub(super) fn on_caller_gone(&mut self, now: BootTime, id: RequestId, actions: &mut Vec<RootAction>) {
        let Some(request) = self.requests.get(&id.sequence) else {
            return;
        };
        // An action continues, so that its outcome is recorded with its ticket.
        if matches!(request.work, Work::Search(_)) {
            self.conclude(now, id.sequence, actions);
        }
    }
}
