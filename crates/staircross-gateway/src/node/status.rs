//! The node's status as last evaluated: ready, pressed, serving, configuration confirmed.
//!
//! A node is pressed if it is so busy that callers should be sent to other nodes, and serving if the directory sends
//! callers to it. [`NodeStatus`] owns these values; each change is logged. This module decides whether the node is
//! ready. `updates` evaluates whether it is pressed and serving, `configuration_view` whether its configuration is
//! confirmed, `outdated_view` whether what it knows of the store is too old.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use std::time::Duration;

/// Time for which a starting node waits for a complete listing of the searchers before it becomes ready with an
/// incomplete one. It is longer than a listing usually takes, and is bounded so that the node becomes ready even if no
/// complete listing arrives.
const LISTING_TIMEOUT: Duration = Duration::from_secs(3);

/// The node's status as last evaluated.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NodeStatus {
    /// Whether the node has enough state to serve requests, as the readiness endpoint reports.
    pub is_ready: bool,
    /// Whether the node is so busy that callers should be sent to other nodes.
    pub is_pressed: bool,
    /// Whether the directory sends callers to this node.
    pub is_serving: bool,
    /// Whether the configuration was last confirmed longer ago than the settings allow.
    pub is_confirmation_overdue: bool,
    /// Whether what the node knows of the store is too old to handle requests by it.
    pub is_view_outdated: bool,
}

impl<D: Dialect> GatewayNode<D> {
    /// Evaluates readiness; a change is logged and announced to peers.
    pub(super) fn update_readiness(&mut self) {
        let is_ready = self.has_state_to_serve() && self.stop.is_none();
        if is_ready == self.status.is_ready {
            return;
        }
        self.status.is_ready = is_ready;
        let line = format_args!("event=ready ready={is_ready} version={}", self.mirror.version());
        self.log.line(self.now, LineKind::NodeEvent, line);
        let mut events = Vec::new();
        self.fleet.set_ready(is_ready, &mut events);
        self.handle_fleet_events(events);
    }

    /// Returns whether the node has a configuration and a listing of searchers. Half a listing answers only half the
    /// requests, but after `LISTING_TIMEOUT` a partial listing is better than none.
    fn has_state_to_serve(&self) -> bool {
        let has_full_listing = self.mirror.has_listing();
        let has_partial_listing =
            self.mirror.searchers().next().is_some() && self.now.since(self.started) >= LISTING_TIMEOUT;
        self.engine.table().is_some() && (has_full_listing || has_partial_listing)
    }
}
