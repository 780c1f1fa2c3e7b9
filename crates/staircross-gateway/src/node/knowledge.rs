//! What the node knows: store, peers, members.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::fleet::{FleetEvent, FleetShape};
use crate::http_call::CallOutcome;
use crate::socket::SocketId;
use crate::store_role::StoreRole;
use crate::traffic::{Purpose, Reach};
use staircross_cluster::Member;
use staircross_routing::engine::RoutingEvent;
use staircross_routing::store_reader::{Lane, ReaderAction, StoreReply};
use staircross_routing::{MirrorUpdate, RouteTable};
use staircross_wire::frame::decode;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a peer's answer.
const PEER_PATIENCE: Duration = Duration::from_millis(900);
/// Target at which peers are asked for what changed after a revision.
pub(super) const CHANGES_TARGET: &str = "/changes?after=";
/// Names the version of the configuration that the asker has, after the revision.
pub(super) const VERSION_FIELD: &str = "&version=";
/// Names the revision up to which the asker knows evacuations, after the version.
pub(super) const EVACUATIONS_FIELD: &str = "&evacuations=";
/// Ends the question of an asker that takes a configuration however large.
pub(super) const ANY_SIZE: &str = "&any-size";

impl<D: Dialect> GatewayNode<D> {
    pub(super) fn on_store_time(&mut self) {
        for (index, lane) in Lane::ALL.into_iter().enumerate() {
            if let Some(outcome) = self.store.callers[index].on_tick(self.now) {
                self.on_store_outcome(lane, outcome);
            }
        }
        if let Some(outcome) = self.peer.on_tick(self.now) {
            self.on_peer_outcome(outcome);
        }
        let mut actions = Vec::new();
        self.reader.on_tick(self.now, &mut actions);
        self.take_reader_actions(actions);
    }

    fn take_reader_actions(&mut self, actions: Vec<ReaderAction>) {
        for action in actions {
            match action {
                ReaderAction::Call { lane, call, patience } => {
                    let index = lane as usize;
                    let target = self.dialect.store_target(&call);
                    self.metrics.store_calls.count(&call);
                    self.store.pending[index] = Some(call);
                    self.store.called_at[index] = self.now;
                    let mut io = Self::io(self.now, &self.poll, &mut self.buffer, &self.engine);
                    if let Some(outcome) = self.store.callers[index].get(&target, patience, &mut io) {
                        self.on_store_outcome(lane, outcome);
                    }
                }
                ReaderAction::Cancel { lane } => {
                    self.store.callers[lane as usize].cancel();
                    self.store.pending[lane as usize] = None;
                }
                ReaderAction::Learned { lane, update } => {
                    self.learn(update, lane.name());
                    if lane == Lane::Configuration {
                        self.fleet.confirm(self.store.called_at[lane as usize]);
                    }
                }
                ReaderAction::Reachable { lane, is_reachable } => self.log.line(
                    self.now,
                    LineKind::Belief,
                    format_args!("event=store lane={} reachable={is_reachable}", lane.name()),
                ),
            }
        }
    }

    pub(super) fn on_store_socket(&mut self, id: SocketId, is_writable: bool) {
        let index = id.slot as usize;
        let lane = Lane::ALL[index];
        let mut io = Self::io(self.now, &self.poll, &mut self.buffer, &self.engine);
        if let Some(outcome) = self.store.callers[index].on_ready(id, is_writable, &mut io) {
            self.on_store_outcome(lane, outcome);
        }
    }

    fn on_store_outcome(&mut self, lane: Lane, outcome: CallOutcome) {
        let call = self.store.pending[lane as usize].take();
        self.traffic.count(Purpose::Store, Reach::Unknown, self.store.callers[lane as usize].take_bytes());
        let reply = match (outcome, &call) {
            (CallOutcome::Answered(answer), Some(call)) => {
                Some(self.dialect.store_reply(call, answer.head.status, &answer.body))
            }
            _ => None,
        };
        let is_alive = reply == Some(StoreReply::Alive);
        let mut actions = Vec::new();
        match reply {
            Some(reply) => {
                if let StoreReply::Refused { status } = reply {
                    let line = format_args!("event=store_refused lane={} status={status}", lane.name());
                    self.log.line(self.now, LineKind::Drop, line);
                }
                self.reader.on_reply(self.now, lane, reply, &mut self.random, &mut actions);
            }
            None => self.reader.on_failed(self.now, lane, &mut self.random, &mut actions),
        }
        if is_alive {
            self.role.note_probe_answered(self.now);
        }
        let [watched_at, _, probed_at] = self.store.called_at;
        if is_alive && self.reader.watches_configuration() && watched_at <= probed_at {
            self.fleet.confirm(probed_at);
        }
        if is_alive && self.reader.is_reachable() && self.fleet.is_designated_reader() {
            self.fleet.set_store_contact(Some(self.now));
            self.fleet.notify_followers(self.now);
        }
        self.take_reader_actions(actions);
    }

    /// Merges what was learned and puts updates in force at once.
    fn learn(&mut self, update: MirrorUpdate, source: &str) {
        self.note_unreadable(&update.unreadable, source);
        let mut changes = self.mirror.merge(update);
        if let Some(definition) = changes.configuration.take() {
            self.log.line(
                self.now,
                LineKind::Belief,
                format_args!(
                    "event=configuration version={} routes={} services={} tenants={} source={source}",
                    definition.version,
                    definition.routes.len(),
                    definition.services.len(),
                    definition.tenants.len()
                ),
            );
            self.fleet.set_confirmation_sent(!definition.tenants.is_empty());
            self.engine_event(RoutingEvent::Configuration(Arc::new(RouteTable::new(definition))));
            self.fleet.set_connections(self.engine.tightest_connections());
            self.update_fleet_shape();
        }
        self.note_searchers(&changes, source);
        if !changes.searchers.is_empty() {
            self.engine_event(RoutingEvent::Searchers(changes.searchers));
        }
        if !changes.gone.is_empty() {
            self.engine_event(RoutingEvent::SearchersGone(changes.gone));
        }
        if let Some(zones) = changes.evacuated {
            self.note_evacuated(&zones, source);
            self.engine_event(RoutingEvent::Evacuated(zones));
        }
        let is_new = self.fleet.set_knowledge(&self.mirror);
        if is_new && self.fleet.is_designated_reader() {
            self.fleet.notify_followers(self.now);
        }
    }

    pub(super) fn on_datagrams(&mut self) {
        let mut events = Vec::new();
        self.fleet.on_readable(self.now, &mut events);
        self.take_fleet_events(events);
    }

    pub(super) fn on_fleet_tick(&mut self) {
        let mut events = Vec::new();
        let was_pressed = self.status.is_pressed;
        self.status.is_pressed = self.load.is_pressed();
        if was_pressed != self.status.is_pressed {
            let line =
                format_args!("event=pressed pressed={} busy_percent={}", self.status.is_pressed, self.load.percent());
            self.log.line(self.now, LineKind::Belief, line);
        }
        self.fleet.set_load(self.load.percent(), &mut events);
        self.fleet.set_cases(self.engine.case_records(self.now));
        self.fleet.on_tick(self.now, &mut events);
        self.take_fleet_events(events);
        self.log_held_members();
        if self.fleet.is_directory_stale(self.now) {
            self.update_fleet_shape();
        }
    }

    /// Pushes the requests under which searchers were lost to some peers at once, if there are updates, and not too often.
    pub(super) fn push_cases(&mut self) {
        if !self.case_pushes.take(self.now) {
            return;
        }
        self.fleet.set_cases(self.engine.case_records(self.now));
        let mut events = Vec::new();
        self.fleet.push(&mut events);
        self.take_fleet_events(events);
    }

    pub(super) fn take_fleet_events(&mut self, events: Vec<FleetEvent>) {
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

    fn update_fleet_shape(&mut self) {
        let FleetShape { nodes_by_zone, serving, rank, slack_share } = self.fleet.shape(self.now);
        let nodes = self.fleet.take_quota_nodes();
        self.engine_event(RoutingEvent::Fleet { nodes_by_zone, serving, rank, slack_share, nodes });
        let is_serving = self.fleet.is_serving();
        if is_serving != self.status.is_serving {
            self.status.is_serving = is_serving;
            self.log.line(self.now, LineKind::Belief, format_args!("event=serving serving={is_serving}"));
        }
    }

    /// Reads the store, or follows a reader of the region.
    pub(super) fn decide_store_role(&mut self) {
        if let Some(heartbeat) = self.fleet.newest_heartbeat() {
            self.role.note_heartbeat(heartbeat);
        }
        self.reader.set_has_followers(self.now, self.fleet.has_followers());
        let before = self.role.role();
        let role = self.role.decide(self.now, self.fleet.is_designated_reader());
        if role == before {
            return;
        }
        self.log.line(self.now, LineKind::Belief, format_args!("event=store_role role={}", role.name()));
        self.fleet.set_store_contact(None);
        let mut actions = Vec::new();
        self.reader.set_mode(self.now, role.mode(), &mut actions);
        self.take_reader_actions(actions);
    }

    /// A node that the store doesn't serve takes what it lacks from a peer.
    pub(super) fn ask_better_informed(&mut self) {
        if self.peer.is_calling() {
            return;
        }
        let is_reading = self.role.role() == StoreRole::Reader || self.reader.is_reading_once();
        let Some(address) = self.fleet.better_informed(self.now, is_reading) else {
            return;
        };
        self.fleet.note_asked(self.now);
        self.peer.set_address(address);
        let (revision, version) = (self.mirror.known_revision(), self.mirror.version());
        let evacuations = self.mirror.evacuations_revision();
        let (is_served, behind_since) = (self.reader.is_reachable(), self.fleet.version_behind_since());
        let takes_any = is_reading && self.role.takes_any_size(self.now, is_served, behind_since);
        let any_size = if takes_any { ANY_SIZE } else { "" };
        let target =
            format!("{CHANGES_TARGET}{revision}{VERSION_FIELD}{version}{EVACUATIONS_FIELD}{evacuations}{any_size}");
        let mut io = Self::io(self.now, &self.poll, &mut self.buffer, &self.engine);
        if let Some(outcome) = self.peer.get(&target, PEER_PATIENCE, &mut io) {
            self.on_peer_outcome(outcome);
        }
    }

    pub(super) fn on_peer_socket(&mut self, id: SocketId, is_writable: bool) {
        let mut io = Self::io(self.now, &self.poll, &mut self.buffer, &self.engine);
        if let Some(outcome) = self.peer.on_ready(id, is_writable, &mut io) {
            self.on_peer_outcome(outcome);
        }
    }

    fn on_peer_outcome(&mut self, outcome: CallOutcome) {
        let peer = self.peer.address();
        self.traffic.count(Purpose::Pulls, self.fleet.reach_of_address(peer), self.peer.take_bytes());
        let update = match &outcome {
            CallOutcome::Answered(answer) if answer.head.status == 200 => decode::<MirrorUpdate>(&answer.body).ok(),
            CallOutcome::Answered(_) | CallOutcome::Failed => None,
        };
        let is_understood = update.is_some();
        self.log.line(
            self.now,
            LineKind::Belief,
            format_args!("event=asked_peer peer={peer} understood={is_understood}"),
        );
        let Some(update) = update else {
            return self.role.note_unserved(self.now);
        };
        self.learn(update, "peer");
        self.reader.on_peer_report(Lane::Searchers, self.mirror.newest_revision());
        if !self.fleet.is_version_behind() {
            return self.reader.on_peer_report(Lane::Configuration, self.mirror.operator_revision());
        }
        let mut actions = Vec::new();
        self.reader.read_configuration(self.now, &mut actions);
        self.take_reader_actions(actions);
    }
}
