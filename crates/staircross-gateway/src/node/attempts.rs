//! Attempts: passes the engine's orders to the searcher pool, and the pool's reports to the engine.
//!
//! This module owns no state. It relies on the pool for connections and on the engine for every decision. Each call
//! of the pool may end attempts at once, so its events are handled before anything else.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::pool::PoolEvent;
use staircross_routing::AttemptKey;
use staircross_routing::engine::{AbandonCause, RoutingEvent, SendOrder, SendReason};
use staircross_transport::socket::{Readiness, SocketId};
use std::time::Duration;

/// Time for which a reserve, a ready node that the directory sends no callers to, keeps an idle connection to a
/// searcher; other nodes need the connections. The timeout is far shorter than on nodes that serve, so that a node that
/// has just become a reserve releases its connections soon.
const RESERVE_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

impl<D: Dialect> GatewayNode<D> {
    /// Sends an attempt through the pool. An attempt beyond the first one of its shard is counted and traced.
    pub(super) fn send_attempt(&mut self, order: SendOrder) {
        let Some(pending) = self.requests.get_mut(order.attempt.request) else {
            return;
        };
        let outbound = pending.outbound.clone();
        if order.reason != SendReason::First {
            pending.extra_attempts += 1;
            self.trace_sent(&order);
        }
        let mut events = Vec::new();
        let mut io = Self::io_context(self.now, &self.poll, &mut self.buffer, &self.engine);
        self.pool.send(order, outbound, &mut io, &mut events);
        self.handle_pool_events(events);
    }

    /// Gives up an attempt whose answer is no longer wanted; the pool waits at most `answer_timeout` for its end.
    pub(super) fn abandon_attempt(&mut self, attempt: AttemptKey, answer_timeout: Duration, cause: AbandonCause) {
        let mut events = Vec::new();
        self.pool.abandon(self.now, attempt, answer_timeout, cause, &mut events);
        self.handle_pool_events(events);
    }

    /// Takes an attempt back if nothing of it was sent.
    pub(super) fn recall_attempt(&mut self, attempt: AttemptKey) {
        let mut events = Vec::new();
        self.pool.recall(attempt, &mut events);
        self.handle_pool_events(events);
    }

    pub(super) fn on_pool_socket(&mut self, id: SocketId, readiness: Readiness) {
        // What follows may send an attempt.
        self.advance_clock();
        let mut events = Vec::new();
        let mut io = Self::io_context(self.now, &self.poll, &mut self.buffer, &self.engine);
        self.pool.on_ready(id, readiness, &mut io, &mut events);
        self.handle_pool_events(events);
    }

    pub(super) fn handle_pool_timers(&mut self) {
        let mut events = Vec::new();
        let mut io = Self::io_context(self.now, &self.poll, &mut self.buffer, &self.engine);
        self.pool.on_tick(&mut io, &mut events);
        self.handle_pool_events(events);
    }

    pub(super) fn sweep_pool(&mut self) {
        let mut events = Vec::new();
        let max_idle = if self.status.is_serving { Duration::MAX } else { RESERVE_IDLE_TIMEOUT };
        self.pool.sweep(self.now, max_idle, &mut events);
        self.handle_pool_events(events);
    }

    fn handle_pool_events(&mut self, events: Vec<PoolEvent>) {
        for event in events {
            match event {
                PoolEvent::Connected { searcher, took } => {
                    self.process_routing_event(RoutingEvent::Connected { searcher, took });
                }
                PoolEvent::Begun { attempt } => self.process_routing_event(RoutingEvent::Begun { attempt }),
                PoolEvent::Skipped { searcher } => self.log_skipped_answer(searcher),
                PoolEvent::ReuseEnded { service, evidence } => self.log_reuse_ended(&service, evidence),
                PoolEvent::Ended { attempt, outcome } => {
                    self.trace_attempt_ended(attempt, &outcome);
                    self.process_routing_event(RoutingEvent::Ended { attempt, outcome });
                }
            }
        }
    }
}
