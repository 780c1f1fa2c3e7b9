//! Exchange with peers: incoming and outgoing datagrams, and the effects of membership changes.
//!
//! This module owns no state: the fleet holds members, announcements and the directory. The engine supplies the
//! case records, which describe requests during which searchers were lost; datagrams carry them to peers.

use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::fleet::{FleetEvent, FleetShape};
use crate::node::GatewayNode;
use staircross_cluster::Member;
use staircross_routing::engine::RoutingEvent;

impl<D: Dialect> GatewayNode<D> {
    pub(in crate::node) fn on_datagrams(&mut self) {
        let mut events = Vec::new();
        self.fleet.on_readable(self.now, &mut events);
        self.handle_fleet_events(events);
    }

    /// Updates the announced load and records, and runs the periodic work of the fleet.
    pub(in crate::node) fn on_fleet_tick(&mut self) {
        let mut events = Vec::new();
        let was_pressed = self.status.is_pressed;
        self.status.is_pressed = self.load.is_pressed();
        if was_pressed != self.status.is_pressed {
            let line = format_args!(
                "event=pressed pressed={} busy_percent={}",
                self.status.is_pressed,
                self.load.busy_percent()
            );
            self.log.line(self.now, LineKind::NodeEvent, line);
        }
        self.fleet.set_load(self.load.busy_percent(), &mut events);
        // Datagrams have room for some of the records only, so each call returns the next ones. The datagrams of this
        // tick therefore don't carry the same records as a push in the same turn.
        self.fleet.set_case_records(self.engine.next_case_records(self.now));
        self.fleet.on_tick(self.now, &mut events);
        self.handle_fleet_events(events);
        self.log_member_totals();
        if self.fleet.is_directory_stale(self.now) {
            self.update_fleet_shape();
        }
    }

    /// Pushes case records to some peers at once, if there are updates and the rate limit allows it.
    pub(in crate::node) fn push_cases(&mut self) {
        if !self.case_pushes.take_due_push(self.now) {
            return;
        }
        self.fleet.set_case_records(self.engine.next_case_records(self.now));
        let mut events = Vec::new();
        self.fleet.push(&mut events);
        self.handle_fleet_events(events);
    }

    pub(in crate::node) fn handle_fleet_events(&mut self, events: Vec<FleetEvent>) {
        if events.is_empty() {
            return;
        }
        let mut is_shape_changed = false;
        for event in events {
            match event {
                FleetEvent::Member { member } => {
                    is_shape_changed = true;
                    if self.is_in_own_region(&member) {
                        self.store_role.record_member_change(self.now);
                    }
                    self.log_member(&member);
                }
                FleetEvent::Quotas { from, messages } => {
                    self.process_routing_event(RoutingEvent::PeerQuota { from, messages });
                }
                FleetEvent::Isolated { is_isolated } => {
                    self.log.line(self.now, LineKind::NodeEvent, format_args!("event=isolated isolated={is_isolated}"));
                    self.process_routing_event(RoutingEvent::Isolated { is_isolated });
                }
                FleetEvent::CaseRecords(records) => self.process_routing_event(RoutingEvent::PeerCases(records)),
            }
        }
        if is_shape_changed {
            self.update_fleet_shape();
        }
    }

    fn is_in_own_region(&self, member: &Member) -> bool {
        member.region == self.settings.node.region
    }

    /// Passes the number of serving nodes and this node's share of the common limits to the engine.
    pub(super) fn update_fleet_shape(&mut self) {
        let FleetShape { nodes_by_zone, serving, rank, slack_share } = self.fleet.shape(self.now);
        let nodes = self.fleet.take_changed_quota_nodes();
        self.process_routing_event(RoutingEvent::Fleet { nodes_by_zone, serving, rank, slack_share, nodes });
        let is_serving = self.fleet.is_serving();
        if is_serving != self.status.is_serving {
            self.status.is_serving = is_serving;
            self.log.line(self.now, LineKind::NodeEvent, format_args!("event=serving serving={is_serving}"));
        }
    }
}
