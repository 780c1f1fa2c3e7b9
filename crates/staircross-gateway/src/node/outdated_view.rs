//! Finds out that this process stood still, and has what it knows of the store confirmed before it handles requests by it.
//!
//! This module owns no state: [`OutdatedView`](staircross_routing::decision::outdated_view::OutdatedView) decides, the
//! store reader asks the store, and the engine holds what must wait.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use staircross_routing::engine::RoutingEvent;
use staircross_routing::store_reader::Lane;
use staircross_types::boot_clock as clock;

impl<D: Dialect> GatewayNode<D> {
    /// Reads the clock within a turn. The process may have stood still since it was last read.
    pub(super) fn advance_clock(&mut self) {
        self.now = clock::now();
        self.detect_gap();
    }

    /// Asks the store for what has changed if this process stood still until now, and tells the engine whether the view
    /// may be used.
    pub(super) fn detect_gap(&mut self) {
        self.outdated_view.advance(self.now);
        if self.outdated_view.take_due_question(self.now) {
            let mut actions = Vec::new();
            self.store_reader.confirm(self.now, &mut actions);
            self.apply_reader_actions(actions);
        }
        self.apply_view_state(true);
    }

    /// Stops waiting for a store that doesn't answer. This comes after the sockets, in which its answers may wait.
    pub(super) fn give_up_view_if_due(&mut self) {
        if self.outdated_view.give_up_if_due(self.now) {
            let mut actions = Vec::new();
            self.store_reader.end_confirmation(self.now, &mut actions);
            self.apply_reader_actions(actions);
            self.apply_view_state(false);
        }
    }

    /// Takes a peer's answer to the last pull for a confirmation if the store fails this node or refuses its calls.
    /// Otherwise the store is asked, since the peer may have stood still as well.
    pub(super) fn confirm_view_by_pull(&mut self) {
        if !self.store_reader.is_confirmation_failing() {
            return;
        }
        for lane in [Lane::Configuration, Lane::Searchers] {
            self.outdated_view.record_confirmation(self.now, lane, self.pulled_at);
        }
        if !self.outdated_view.is_outdated(self.now) {
            let mut actions = Vec::new();
            self.store_reader.end_confirmation(self.now, &mut actions);
            self.apply_reader_actions(actions);
        }
        self.apply_view_state(true);
    }

    /// Passes a change of the view's state to the log and to the engine. `is_confirmed` says whether a view that may be
    /// used was confirmed.
    pub(super) fn apply_view_state(&mut self, is_confirmed: bool) {
        let is_outdated = self.outdated_view.is_outdated(self.now);
        if is_outdated == self.status.is_view_outdated {
            return;
        }
        self.status.is_view_outdated = is_outdated;
        let (version, revision) = (self.mirror.version(), self.mirror.newest_revision());
        let confirmed = is_confirmed && !is_outdated;
        let line = format_args!(
            "event=view outdated={is_outdated} confirmed={confirmed} version={version} revision={revision}"
        );
        self.log.line(self.now, LineKind::NodeEvent, line);
        self.process_routing_event(RoutingEvent::View { is_outdated });
    }
}
