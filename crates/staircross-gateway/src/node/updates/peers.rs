//! Pulls: a node that is behind asks a peer that is ahead for the missing updates.
//!
//! One pull at a time is in flight. The fleet says which peer is ahead, the mirror what this node has already, and
//! `pull_request` how that is written. `endpoints` answers the pulls of peers.

use super::source::UpdateSource;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::fleet::PullPeer;
use crate::http_call::CallOutcome;
use crate::node::GatewayNode;
use crate::pull_request;
use crate::store_role::StoreRole;
use crate::traffic::Purpose;
use staircross_routing::store_reader::Lane;
use staircross_routing::{AcceptedConfiguration, MirrorUpdate, PeerKnowledge, StoreRevision};
use staircross_transport::socket::{Readiness, SocketId};
use staircross_wire::frame::decode;
use std::time::Duration;

/// Silence after which a pull is given up and counts as failed. The timeout is longer than a round trip between regions
/// plus the time that a peer's link needs for a configuration that is passed on, and shorter than the bounds on
/// updates.
const PULL_TIMEOUT: Duration = Duration::from_millis(900);
/// HTTP status of an answer that holds an update.
const HTTP_OK: u16 = 200;

impl<D: Dialect> GatewayNode<D> {
    /// Pulls missing updates from a peer that is ahead, unless a pull is in flight.
    pub(in crate::node) fn pull_if_behind(&mut self) {
        if self.peer_client.is_call_in_flight() {
            return;
        }
        let is_reading = self.store_role.role() == StoreRole::Reader || self.store_reader.is_reading_once();
        let Some(peer) = self.fleet.choose_pull_peer(self.now, is_reading) else {
            return;
        };
        self.fleet.record_pull_start(self.now);
        self.pulled_at = self.now;
        self.peer_client.set_address(peer.address);
        let (is_served, behind_since) = (self.store_reader.is_reachable(), self.fleet.version_behind_since());
        let takes_any = is_reading && self.store_role.should_pull_any_size(self.now, is_served, behind_since);
        let known = PeerKnowledge {
            revision: self.pull_revision(peer),
            version: self.mirror.version(),
            evacuations: self.mirror.evacuations_revision(),
            accepts: if takes_any { AcceptedConfiguration::Any } else { AcceptedConfiguration::Small },
        };
        let (target, epochs) = (pull_request::target(&known), pull_request::epochs(&known));
        let fields: Vec<(&str, &str)> =
            epochs.iter().map(|epochs| (pull_request::EPOCHS_FIELD, epochs.as_str())).collect();
        let mut io = Self::io_context(self.now, &self.poll, &mut self.buffer, &self.engine);
        if let Some(outcome) = self.peer_client.get_with_fields(&target, &fields, PULL_TIMEOUT, &mut io) {
            self.on_peer_outcome(outcome);
        }
    }

    /// Returns the revision after which changes of searchers are pulled. It is the one up to which this node takes all
    /// changes to be known, unless the peer knows a change before it that this node has missed.
    fn pull_revision(&self, peer: PullPeer) -> StoreRevision {
        let (known, latest) = (self.mirror.known_revision(), self.mirror.latest_revision());
        let has_missed_change = latest < peer.revision && peer.revision <= known;
        if has_missed_change { latest } else { known }
    }

    pub(in crate::node) fn on_peer_socket(&mut self, id: SocketId, readiness: Readiness) {
        let mut io = Self::io_context(self.now, &self.poll, &mut self.buffer, &self.engine);
        if let Some(outcome) = self.peer_client.on_ready(id, readiness, &mut io) {
            self.on_peer_outcome(outcome);
        }
    }

    /// Applies a peer's answer. If the pull failed, the node reads the store itself for a while. If a peer still has
    /// a newer configuration after the pull, the node reads the configuration from the store.
    pub(super) fn on_peer_outcome(&mut self, outcome: CallOutcome) {
        let peer = self.peer_client.address();
        self.traffic.count(Purpose::Pulls, self.fleet.reach_of_address(peer), self.peer_client.take_bytes());
        // An answer that can't be decoded holds no update; the line below logs it with `understood=false`.
        let update = match &outcome {
            CallOutcome::Answered(answer) if answer.head.status == HTTP_OK => decode::<MirrorUpdate>(&answer.body).ok(),
            CallOutcome::Answered(_) | CallOutcome::Failed(_) => None,
        };
        let is_understood = update.is_some();
        self.log.line(
            self.now,
            LineKind::NodeEvent,
            format_args!("event=asked_peer peer={peer} understood={is_understood}"),
        );
        let Some(update) = update else {
            return self.store_role.record_pull_failed(self.now);
        };
        self.apply_update(update.assuming_epoch(self.mirror.known_revision().epoch), UpdateSource::Peer(peer));
        let mut actions = Vec::new();
        let (searchers, operator) = (self.mirror.known_revision(), self.mirror.operator_up_to());
        self.note_receiving();
        self.store_reader.on_peer_report(self.now, Lane::Searchers, searchers, &mut actions);
        if self.fleet.is_version_behind() {
            self.store_reader.read_configuration(self.now, &mut actions);
        } else {
            self.store_reader.on_peer_report(self.now, Lane::Configuration, operator, &mut actions);
        }
        self.apply_reader_actions(actions);
        self.confirm_view_by_pull();
    }
}
