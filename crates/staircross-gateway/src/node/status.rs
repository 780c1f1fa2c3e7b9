//! What the node last found of itself: ready, pressed, serving, sure of its configuration.
//!
//! [`NodeStatus`] owns the findings; each is logged when it changes. Here is when a node is ready; `knowledge` finds
//! whether it is pressed and serving, `configuration_view` whether it is sure of its configuration.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use std::time::Duration;

/// Time that a node waits for a whole listing of the searchers before it is ready with less. So that a node is of use where no listing comes, and
/// after the usual time in which one does.
const LISTING_PATIENCE: Duration = Duration::from_secs(3);

/// What the node last found of itself.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NodeStatus {
    /// Whether there is enough to serve by, as readiness says.
    pub is_ready: bool,
    /// Whether it is so busy that callers are better sent elsewhere.
    pub is_pressed: bool,
    /// Whether the directory sends callers here.
    pub is_serving: bool,
    /// Whether the configuration hasn't been confirmed for longer than it may be.
    pub is_view_old: bool,
}

impl<D: Dialect> GatewayNode<D> {
    /// Ready when there is something to serve by.
    pub(super) fn update_readiness(&mut self) {
        let is_ready = self.knows_enough() && self.stop.is_none();
        if is_ready == self.status.is_ready {
            return;
        }
        self.status.is_ready = is_ready;
        let line = format_args!("event=ready ready={is_ready} version={}", self.mirror.version());
        self.log.line(self.now, LineKind::Belief, line);
        let mut events = Vec::new();
        self.fleet.set_ready(is_ready, &mut events);
        self.take_fleet_events(events);
    }

    /// Whether there is a configuration and a listing. Half a listing answers half the requests; but a part is better than
    /// nothing for long.
    fn knows_enough(&self) -> bool {
        let knows_all = self.mirror.has_listing();
        let knows_some = self.mirror.searchers().next().is_some() && self.now.since(self.started) >= LISTING_PATIENCE;
        self.engine.table().is_some() && (knows_all || knows_some)
    }
}
