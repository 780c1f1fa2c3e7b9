//! Calls to the store: the node's store role, the calls that are due, and their replies.
//!
//! This module makes no decisions: the store role says whether the store is read, the store reader which calls are
//! due, and the dialect how they are written. Each lane has its own HTTP client, so that a call that hangs doesn't
//! block the other lanes.

use super::source::UpdateSource;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::http_call::{CallFailure, CallOutcome};
use crate::node::GatewayNode;
use crate::store_role::StoreRole;
use crate::store_version::HoldingChange;
use crate::traffic::{Purpose, Reach};
use staircross_routing::store_reader::{CancelCause, Lane, ReaderAction, StoreCall, StoreReply};
use staircross_transport::socket::{Readiness, SocketId};

impl<D: Dialect> GatewayNode<D> {
    /// Decides whether the node reads the store or follows a reader of its region, and sets the store reader's mode
    /// to match.
    pub(in crate::node) fn decide_store_role(&mut self) {
        if let Some(heartbeat) = self.fleet.newest_heartbeat() {
            self.store_role.record_heartbeat(heartbeat);
        }
        self.store_reader.set_has_followers(self.now, self.fleet.has_followers());
        let before = self.store_role.role();
        let role = self.store_role.decide(self.now, self.fleet.is_designated_reader());
        if role == before {
            return;
        }
        let cause = self.store_role.cause();
        self.log.line(
            self.now,
            LineKind::NodeEvent,
            format_args!("event=store_role role={} cause={}", role.name(), cause.name()),
        );
        self.fleet.set_store_contact(None);
        let mut actions = Vec::new();
        self.store_reader.set_mode(self.now, role.mode(), &mut actions);
        self.apply_reader_actions(actions);
    }

    /// Reads the searchers' entries again if the answers of a searcher contradict its entry.
    pub(in crate::node) fn check_doubted_entries(&mut self) {
        if self.engine.take_due_entry_check(self.now) {
            let mut actions = Vec::new();
            self.store_reader.read_searchers_again(self.now, &mut actions);
            self.apply_reader_actions(actions);
        }
    }

    /// Ends the calls that have timed out, and makes those that are due.
    pub(in crate::node) fn handle_store_timers(&mut self) {
        for (index, lane) in Lane::ALL.into_iter().enumerate() {
            if let Some(outcome) = self.store.clients[index].on_tick(self.now) {
                self.on_store_outcome(lane, outcome);
            }
        }
        if let Some(outcome) = self.peer_client.on_tick(self.now) {
            self.on_peer_outcome(outcome);
        }
        let mut actions = Vec::new();
        self.store_reader.on_tick(self.now, &mut actions);
        self.apply_reader_actions(actions);
    }

    pub(in crate::node) fn apply_reader_actions(&mut self, actions: Vec<ReaderAction>) {
        for action in actions {
            match action {
                ReaderAction::Call { lane, call, timeout } => {
                    let index = lane as usize;
                    let target = self.dialect.store_target(&call);
                    self.metrics.store_calls.count(&call);
                    self.store.pending[index] = Some(call);
                    let mut io = Self::io_context(self.now, &self.poll, &mut self.buffer, &self.engine);
                    if let Some(outcome) = self.store.clients[index].get(&target, timeout, &mut io) {
                        self.on_store_outcome(lane, outcome);
                    }
                }
                ReaderAction::Cancel { lane, cause } => {
                    self.log_renewed_watch(lane, cause);
                    self.store.clients[lane as usize].cancel();
                    self.store.pending[lane as usize] = None;
                }
                ReaderAction::Learned { lane, update } => {
                    self.apply_update(update, UpdateSource::Store(lane));
                    if lane == Lane::Configuration && self.mirror.is_version_held() {
                        self.fleet.confirm(self.store_reader.called_at(lane));
                    }
                }
                ReaderAction::Confirmed { lane, asked_at } => {
                    self.outdated_view.record_confirmation(self.now, lane, asked_at);
                    self.apply_view_state(true);
                }
                ReaderAction::Listed { lane, pages, took } => self.log.line(
                    self.now,
                    LineKind::NodeEvent,
                    format_args!("event=store_listing lane={} pages={pages} ms={}", lane.name(), took.as_millis()),
                ),
                ReaderAction::EpochBegan { epoch, former, source } => self.log.line(
                    self.now,
                    LineKind::NodeEvent,
                    format_args!("event=store_epoch epoch={epoch} former={former} source={}", source.name()),
                ),
                ReaderAction::FormerEpoch { lane, epoch } => self.log.line(
                    self.now,
                    LineKind::Drop,
                    format_args!("event=former_epoch lane={} epoch={epoch}", lane.name()),
                ),
                ReaderAction::Reachable { lane, is_reachable } => self.log.line(
                    self.now,
                    LineKind::NodeEvent,
                    format_args!("event=store lane={} reachable={is_reachable}", lane.name()),
                ),
            }
        }
    }

    pub(in crate::node) fn on_store_socket(&mut self, id: SocketId, readiness: Readiness) {
        let index = id.slot as usize;
        let lane = Lane::ALL[index];
        let mut io = Self::io_context(self.now, &self.poll, &mut self.buffer, &self.engine);
        if let Some(outcome) = self.store.clients[index].on_ready(id, readiness, &mut io) {
            self.on_store_outcome(lane, outcome);
        }
    }

    /// Passes a call's reply, or its failure, to the store reader.
    fn on_store_outcome(&mut self, lane: Lane, outcome: CallOutcome) {
        let call = self.store.pending[lane as usize].take();
        let is_too_long = outcome == CallOutcome::Failed(CallFailure::TooLong);
        self.traffic.count(Purpose::Store, Reach::Unknown, self.store.clients[lane as usize].take_bytes());
        let reply = match (outcome, &call) {
            (CallOutcome::Answered(answer), Some(call)) => {
                let epoch = self.read_store_epoch(&answer.head.headers);
                Some((epoch, self.dialect.store_reply(call, epoch, answer.head.status, &answer.body)))
            }
            _ => None,
        };
        self.note_receiving();
        let is_alive = matches!(reply, Some((_, StoreReply::Alive { .. })));
        let called_at = self.store_reader.called_at(lane);
        let mut actions = Vec::new();
        match reply {
            Some((epoch, reply)) => {
                if let Some(call) = call.as_ref().filter(|_| epoch >= self.store_reader.epoch()) {
                    self.store.version.record_reply(call, called_at, &reply);
                }
                if let StoreReply::Refused { status } = reply {
                    let line = format_args!("event=store_refused lane={} status={status}", lane.name());
                    self.log.line(self.now, LineKind::Drop, line);
                }
                self.store_reader.on_reply(self.now, lane, epoch, reply, &mut self.random, &mut actions);
            }
            None if is_too_long => {
                let line = format_args!("event=store_answer_too_long lane={}", lane.name());
                self.log.line(self.now, LineKind::Drop, line);
                self.store_reader.on_answer_too_long(self.now, lane, &mut self.random, &mut actions);
            }
            None => {
                self.log_failed_watch(lane, call.as_ref());
                self.store_reader.on_failed(self.now, lane, &mut self.random, &mut actions);
            }
        }
        if is_alive {
            self.on_probe_answered();
        }
        self.apply_reader_actions(actions);
        if lane == Lane::Configuration {
            let change = self.store.version.compare(self.mirror.version());
            self.log_version_holding(change);
        }
    }

    /// Records that another version of the configuration has come into force.
    pub(super) fn note_version_in_force(&mut self, version: u64) {
        let reads_store = self.store_role.role() == StoreRole::Reader;
        let change = self.store.version.record_in_force(self.now, version, reads_store);
        self.log_version_holding(change);
    }

    /// Logs a change of whether the store holds the version in force.
    fn log_version_holding(&mut self, change: Option<HoldingChange>) {
        let Some(HoldingChange { holding, in_force, shown }) = change else {
            return;
        };
        let (held, has_returned) = (holding.name(), !self.mirror.is_version_held());
        let line = format_args!(
            "event=version_held held={held} version={in_force} store_version={shown} store_returned={has_returned}"
        );
        self.log.line(self.now, LineKind::NodeEvent, line);
    }

    /// Tells the store reader which open calls have received a part of their reply.
    pub(super) fn note_receiving(&mut self) {
        for (lane, client) in Lane::ALL.into_iter().zip(&self.store.clients) {
            self.store_reader.set_receiving(lane, client.is_receiving());
        }
    }

    /// Logs how long a watch that broke or timed out had been silent, and the revision that this node has reached. A
    /// node whose peers have reached a later one missed updates meanwhile.
    fn log_failed_watch(&mut self, lane: Lane, call: Option<&StoreCall>) {
        let (Some(StoreCall::Watch { .. }), Some(silence)) = (call, self.store_reader.silence(self.now, lane)) else {
            return;
        };
        let (silence_ms, revision) = (silence.as_millis(), self.mirror.newest_revision());
        let line = format_args!("event=watch_failed lane={} silence_ms={silence_ms} revision={revision}", lane.name());
        self.log.line(self.now, LineKind::NodeEvent, line);
    }

    /// Logs that an open call is made anew, how long the store has sent no reply to its lane, and the revision that this
    /// node has reached. Calls that the node's mode no longer needs aren't logged.
    fn log_renewed_watch(&mut self, lane: Lane, cause: CancelCause) {
        let Some(silence) = self.store_reader.silence(self.now, lane).filter(|_| cause != CancelCause::Unused) else {
            return;
        };
        let (silence_ms, revision) = (silence.as_millis(), self.mirror.newest_revision());
        let line = format_args!(
            "event=watch_renewed lane={} cause={} silence_ms={silence_ms} revision={revision}",
            lane.name(),
            cause.name()
        );
        self.log.line(self.now, LineKind::NodeEvent, line);
    }

    /// Handles the store's answer to a probe. The configuration is confirmed as of the probe if a watch of it was
    /// already in flight by then, the probe shows no change that the watches haven't reported, and the store holds the
    /// version that is in force. A designated reader sends its followers a heartbeat if the store serves both watches.
    fn on_probe_answered(&mut self) {
        self.store_role.record_probe_answered(self.now);
        let [watched_at, probed_at] = [Lane::Configuration, Lane::Probe].map(|lane| self.store_reader.called_at(lane));
        let is_up_to_date = self.store_reader.watches_configuration() && self.store_reader.knows_probed_revision();
        if is_up_to_date && watched_at <= probed_at && self.mirror.is_version_held() {
            self.fleet.confirm(probed_at);
        }
        if self.store_reader.is_reachable() && self.fleet.is_designated_reader() {
            self.fleet.set_store_contact(Some(self.now));
            self.fleet.notify_followers(self.now);
        }
    }
}
