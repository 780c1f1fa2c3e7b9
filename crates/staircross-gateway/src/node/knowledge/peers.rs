//! Pulls: what a node that is behind asks of a peer that is ahead.
//!
//! Owns the question's form and the one pull that may be out. Relies on the fleet for which peer is ahead, and on the mirror for what this
//! node has already; the answer is written in `peer_answers`.

use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::http_call::CallOutcome;
use crate::node::GatewayNode;
use crate::socket::SocketId;
use crate::store_role::StoreRole;
use crate::traffic::Purpose;
use staircross_routing::MirrorUpdate;
use staircross_routing::store_reader::Lane;
use staircross_wire::frame::decode;
use std::time::Duration;

/// Silence after which a pull is given up and counts as failed. Above a round trip between regions and the time that a peer's link needs for a
/// configuration that is passed on, and below the bounds on updates.
const PEER_PATIENCE: Duration = Duration::from_millis(900);
/// Target at which peers are asked for what changed after a revision.
pub(in crate::node) const CHANGES_TARGET: &str = "/changes?after=";
/// Names the version of the configuration that the asker has, after the revision.
pub(in crate::node) const VERSION_FIELD: &str = "&version=";
/// Names the revision up to which the asker knows evacuations, after the version.
pub(in crate::node) const EVACUATIONS_FIELD: &str = "&evacuations=";
/// Ends the question of an asker that takes a configuration however large.
pub(in crate::node) const ANY_SIZE: &str = "&any-size";
/// Status of an answer that holds an update.
const OK: u16 = 200;

impl<D: Dialect> GatewayNode<D> {
    /// Pulls what this node lacks from a peer that is ahead, unless a pull is out.
    pub(in crate::node) fn ask_better_informed(&mut self) {
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

    pub(in crate::node) fn on_peer_socket(&mut self, id: SocketId, is_writable: bool) {
        let mut io = Self::io(self.now, &self.poll, &mut self.buffer, &self.engine);
        if let Some(outcome) = self.peer.on_ready(id, is_writable, &mut io) {
            self.on_peer_outcome(outcome);
        }
    }

    /// Takes what a peer sent. Where that leaves the node behind, or nothing came, it reads the store by itself.
    pub(super) fn on_peer_outcome(&mut self, outcome: CallOutcome) {
        let peer = self.peer.address();
        self.traffic.count(Purpose::Pulls, self.fleet.reach_of_address(peer), self.peer.take_bytes());
        // An answer that can't be read is no update; the line below logs it as not understood.
        let update = match &outcome {
            CallOutcome::Answered(answer) if answer.head.status == OK => decode::<MirrorUpdate>(&answer.body).ok(),
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
        self.reader.on_peer_report(Lane::Searchers, self.mirror.known_revision());
        if !self.fleet.is_version_behind() {
            return self.reader.on_peer_report(Lane::Configuration, self.mirror.operator_up_to());
        }
        let mut actions = Vec::new();
        self.reader.read_configuration(self.now, &mut actions);
        self.take_reader_actions(actions);
    }
}
