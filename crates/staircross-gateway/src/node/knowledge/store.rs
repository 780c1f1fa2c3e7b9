//! The node's calls to the store: its role, the calls that are due, and their replies.
//!
//! Owns no decision: the role keeper says whether the store is read, the store reader which calls are due, the dialect how they are
//! written. Relies on one caller of HTTP for each lane, so that a call that hangs holds up no other lane.

use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::http_call::CallOutcome;
use crate::node::GatewayNode;
use crate::socket::SocketId;
use crate::traffic::{Purpose, Reach};
use staircross_routing::store_reader::{Lane, ReaderAction, StoreReply};

impl<D: Dialect> GatewayNode<D> {
    /// Decides whether the node reads the store or follows a reader of its region, and has the reader ask accordingly.
    pub(in crate::node) fn decide_store_role(&mut self) {
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

    /// Ends calls whose time is over, and makes those that are due.
    pub(in crate::node) fn on_store_time(&mut self) {
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

    pub(super) fn take_reader_actions(&mut self, actions: Vec<ReaderAction>) {
        for action in actions {
            match action {
                ReaderAction::Call { lane, call, timeout } => {
                    let index = lane as usize;
                    let target = self.dialect.store_target(&call);
                    self.metrics.store_calls.count(&call);
                    self.store.pending[index] = Some(call);
                    self.store.called_at[index] = self.now;
                    let mut io = Self::io(self.now, &self.poll, &mut self.buffer, &self.engine);
                    if let Some(outcome) = self.store.callers[index].get(&target, timeout, &mut io) {
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

    pub(in crate::node) fn on_store_socket(&mut self, id: SocketId, is_writable: bool) {
        let index = id.slot as usize;
        let lane = Lane::ALL[index];
        let mut io = Self::io(self.now, &self.poll, &mut self.buffer, &self.engine);
        if let Some(outcome) = self.store.callers[index].on_ready(id, is_writable, &mut io) {
            self.on_store_outcome(lane, outcome);
        }
    }

    /// Hands the reader a call's reply, or that there was none.
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
            self.on_store_alive();
        }
        self.take_reader_actions(actions);
    }

    /// The store answered a probe: what is known is confirmed up to the probe where a watch of the configuration was out by then, and
    /// followers get a heartbeat where both watches are served.
    fn on_store_alive(&mut self) {
        self.role.note_probe_answered(self.now);
        let [watched_at, _, probed_at] = self.store.called_at;
        if self.reader.watches_configuration() && watched_at <= probed_at {
            self.fleet.confirm(probed_at);
        }
        if self.reader.is_reachable() && self.fleet.is_designated_reader() {
            self.fleet.set_store_contact(Some(self.now));
            self.fleet.notify_followers(self.now);
        }
    }
}
