//! Enforces tenants' quotas, which limit the requests that all nodes together admit.

use super::{RoutingAction, RoutingEngine, RoutingSettings};
use crate::configuration::table::RouteTable;
use staircross_quota::{FleetRateLimiter, FleetView, QuotaBound, QuotaEnvelope, QuotaMessage, QuotaView};
use staircross_types::{BootTime, NodeId};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of quota messages in one datagram to a peer, so that the datagram is never fragmented.
const MAX_MESSAGES_PER_DATAGRAM: usize = 10;

/// Creates the rate limiter of a node that has just started.
pub(super) fn new_rate_limiter(settings: &RoutingSettings) -> FleetRateLimiter {
    FleetRateLimiter::new(settings.quota, settings.node, settings.started_at, settings.restarted_at.is_none())
}

impl RoutingEngine {
    /// Takes a token for one request of a tenant; otherwise returns the time until one will be available.
    pub fn take_quota_token(&mut self, now: BootTime, tenant: &Arc<str>) -> Result<(), Duration> {
        self.quotas.try_admit(now, tenant).map_err(|refusal| {
            self.counters.over_quota += 1;
            refusal.retry_after
        })
    }

    /// Returns this node's present view of a tenant's quota; `None` when the tenant has no quota.
    pub fn quota_view(&self, now: BootTime, tenant: &str) -> Option<QuotaView> {
        self.quotas.view(now, tenant)
    }

    /// Changes the bound on how far all nodes together may exceed quotas.
    pub fn set_quota_bound(&mut self, now: BootTime, bound: QuotaBound) {
        self.quotas.set_bound(bound);
        if let Some(table) = self.table.clone() {
            self.set_quotas(now, &table);
        }
    }

    /// Sets the quotas of the tenants of a configuration.
    pub(super) fn set_quotas(&mut self, now: BootTime, table: &RouteTable) {
        let tenants = table.definition().tenants.iter();
        let quotas = tenants.filter_map(|tenant| tenant.quota.map(|quota| (tenant.name.clone(), quota)));
        self.quotas.set_quotas(now, quotas);
    }

    /// Sets the nodes that share tenants' quotas, if they have changed.
    pub(super) fn set_quota_nodes(&mut self, now: BootTime, nodes: Option<Vec<NodeId>>) {
        if let Some(serving) = nodes {
            self.quotas.set_fleet(now, FleetView { serving });
        }
    }

    /// Handles a peer's messages on quotas, and answers them.
    pub(super) fn handle_quota_messages(
        &mut self,
        now: BootTime,
        from: NodeId,
        messages: Vec<QuotaMessage>,
        actions: &mut Vec<RoutingAction>,
    ) {
        let mut envelopes = Vec::new();
        messages.into_iter().for_each(|message| self.quotas.on_message(now, from, message, &mut envelopes));
        self.push_quota_messages(envelopes, actions);
    }

    /// Sends peers the messages that are due, and logs the tenants that have become limited or free.
    pub(super) fn send_due_quotas(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        let mut envelopes = Vec::new();
        self.quotas.on_tick(now, &mut envelopes);
        self.push_quota_messages(envelopes, actions);
        actions.extend(self.quotas.take_changes().into_iter().map(RoutingAction::Quota));
    }

    /// Groups quota messages by peer, and orders to send them in datagrams of limited size.
    fn push_quota_messages(&mut self, envelopes: Vec<QuotaEnvelope>, actions: &mut Vec<RoutingAction>) {
        self.counters.quota_messages += envelopes.len() as u64;
        let mut by_peer: BTreeMap<NodeId, Vec<QuotaMessage>> = BTreeMap::new();
        envelopes.into_iter().for_each(|envelope| by_peer.entry(envelope.to).or_default().push(envelope.message));
        for (to, messages) in by_peer {
            let batches = messages.chunks(MAX_MESSAGES_PER_DATAGRAM);
            actions.extend(batches.map(|messages| RoutingAction::SendQuotas { to, messages: messages.to_vec() }));
        }
    }
}
