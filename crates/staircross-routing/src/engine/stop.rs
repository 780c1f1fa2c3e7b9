//! The end of a node that is about to stop: no request is in flight after a fixed time.

use super::{RoutingAction, RoutingEngine};
use crate::configuration::definition::RouteDefinition;
use crate::decision::last_requests::{LastRequest, may_begin};
use crate::decision::request_lifecycle::Refusal;
use crate::keys::RequestKey;
use staircross_types::{BootTime, ErrorKind};
use std::time::Duration;

impl RoutingEngine {
    /// Ends the requests in flight at `stops_at` at the latest.
    pub(super) fn on_stops_at(&mut self, now: BootTime, stops_at: BootTime, actions: &mut Vec<RoutingAction>) {
        self.stops_at = Some(stops_at);
        let mut keys: Vec<RequestKey> = self.requests.keys().copied().collect();
        // The result must not depend on the order of the hash map.
        keys.sort_unstable();
        for key in keys {
            if let Some(request) = self.requests.get_mut(&key) {
                request.deadline = request.deadline.min(stops_at);
                request.answer_by = request.answer_by.min(stops_at);
            }
            self.finish_if_done(now, key, actions);
            self.schedule_wake(key);
        }
    }

    /// Returns the deadline of an arriving request, which is no later than the time at which this node stops. Refuses the
    /// request if it couldn't be answered by then.
    pub(super) fn deadline_before_stop(
        &mut self,
        now: BootTime,
        route: &RouteDefinition,
        deadline: BootTime,
    ) -> Result<BootTime, Refusal> {
        let Some(stops_at) = self.stops_at else {
            return Ok(deadline);
        };
        let goal = Duration::from_millis(route.goal_ms);
        let request = LastRequest {
            until_stop: stops_at.since(now),
            until_deadline: deadline.since(now),
            late_answer: self.route_statistics(&route.name, goal).work.late(),
            is_idempotent: route.is_idempotent,
        };
        if may_begin(request) {
            return Ok(deadline.min(stops_at));
        }
        Err(Refusal::new(ErrorKind::Leaving, "the node stops before the request would be answered"))
    }
}
