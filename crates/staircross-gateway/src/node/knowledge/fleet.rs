//! The node among its peers: their datagrams, its own, and what follows from a change of members.
//!
//! Owns no state: members, announcements and the directory stand in the fleet. Relies on the engine for the requests under which
//! searchers were lost, which go out with the datagrams.

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
        self.take_fleet_events(events);
    }

    pub(in crate::node) fn on_fleet_tick(&mut self) {
        let mut events = Vec::new();
        let was_pressed = self.status.is_pressed;
        self.status.is_pressed = self.load.is_pressed();
        if was_pressed != self.status.is_pressed {
            let line =
                format_args!("event=pressed pressed={} busy_percent={}", self.status.is_pressed, self.load.percent());
            self.log.line(self.now, LineKind::Belief, line);
        }
        self.fleet.set_load(self.load.percent(), &mut events);
        // Not the records of a push in the same turn: they take turns, and each tick's datagrams carry the next.
        self.fleet.set_cases(self.engine.next_case_records(self.now));
        self.fleet.on_tick(self.now, &mut events);
        self.take_fleet_events(events);
        self.log_held_members();
        if self.fleet.is_directory_stale(self.now) {
            self.update_fleet_shape();
        }
    }

    /// Pushes the requests under which searchers were lost to some peers at once, if there are updates, and not too often.
    pub(in crate::node) fn push_cases(&mut self) {
        if !self.case_pushes.take(self.now) {
            return;
        }
        self.fleet.set_cases(self.engine.next_case_records(self.now));
        let mut events = Vec::new();
        self.fleet.push(&mut events);
        self.take_fleet_events(events);
    }

    pub(in crate::node) fn take_fleet_events(&mut self, events: Vec<FleetEvent>) {
        if events.is_empty() {
            return;
        }
        let mut is_shape_changed = false;
        for event in events {
            match event {
                FleetEvent::Member { member } => {
                    is_shape_changed = true;
                    if self.is_region_mate(&member) {
                        self.role.note_learned(self.now);
                    }
                    self.note_member(&member);
                }
                FleetEvent::Quotas { from, messages } => {
                    self.engine_event(RoutingEvent::PeerQuota { from, messages });
                }
                FleetEvent::Isolated { is_isolated } => {
                    self.log.line(self.now, LineKind::Belief, format_args!("event=isolated isolated={is_isolated}"));
                    self.engine_event(RoutingEvent::Isolated { is_isolated });
                }
                FleetEvent::Cases(records) => self.engine_event(RoutingEvent::PeerCases(records)),
            }
        }
        if is_shape_changed {
            self.update_fleet_shape();
        }
    }

    fn is_region_mate(&self, member: &Member) -> bool {
        member.region == self.settings.node.region
    }

    pub(super) fn update_fleet_shape(&mut self) {
        let FleetShape { nodes_by_zone, serving, rank, slack_share } = self.fleet.shape(self.now);
        let nodes = self.fleet.take_quota_nodes();
        self.engine_event(RoutingEvent::Fleet { nodes_by_zone, serving, rank, slack_share, nodes });
        let is_serving = self.fleet.is_serving();
        if is_serving != self.status.is_serving {
            self.status.is_serving = is_serving;
            self.log.line(self.now, LineKind::Belief, format_args!("event=serving serving={is_serving}"));
        }
    }
}
