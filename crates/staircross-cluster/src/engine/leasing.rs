//! How the engine renews its lease and grants leases to others.

use super::{ClusterAction, ClusterEngine};
use crate::lease::{ConfigUpdate, LeaseMessage, LeaseSource, LeaseWord, choose_source};
use crate::message::ClusterMessage;
use crate::ownership::rendezvous_weight;
use rand::seq::{IndexedRandom, SliceRandom};
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

impl ClusterEngine {
    pub(super) fn renew_lease(&mut self, now: BootTime, actions: &mut Vec<ClusterAction>) {
        if !self.lease.is_due(now) {
            return;
        }
        let Some(source) = self.lease_source() else {
            return;
        };
        let message = self.lease.ask(now, source.clone());
        match source {
            LeaseSource::Parent(node, address) => {
                self.send(Some(node), address, ClusterMessage::Lease(message), actions);
            }
            LeaseSource::Voters(region) => self.ask_voters(&region, message, actions),
        }
    }

    fn ask_voters(&mut self, region: &str, message: LeaseMessage, actions: &mut Vec<ClusterAction>) {
        let mut voters: Vec<(NodeId, SocketAddr)> =
            self.config().voters.in_region(region).map(|(node, voter)| (node, voter.address)).collect();
        // A majority and one to spare are enough, unless the last try brought nothing; others the next time.
        voters.shuffle(&mut self.random);
        if self.lease.failures() <= 1 {
            voters.truncate(voters.len() / 2 + 2);
        }
        for (node, address) in voters {
            if node != self.me {
                self.send(Some(node), address, ClusterMessage::Lease(message.clone()), actions);
                continue;
            }
            let LeaseMessage::Ask { ask, revision, .. } = message else {
                continue;
            };
            let grant = self.grant_as_voter(ask, revision);
            self.take_grant(node, grant, actions);
        }
    }

    fn lease_source(&mut self) -> Option<LeaseSource> {
        let state = self.lease.state().clone();
        if state.revision == 0 {
            // A node that has just come up asks anybody for the configuration.
            let others: Vec<(NodeId, SocketAddr)> =
                self.membership.others().map(|member| (member.node, member.peer_address)).collect();
            return others.choose(&mut self.random).map(|(node, address)| LeaseSource::Parent(*node, *address));
        }
        let region = self.membership.own().region.clone();
        let mut ordered: Vec<(NodeId, SocketAddr)> = self
            .membership
            .members()
            .values()
            .filter(|member| member.region == region && member.takes_work())
            .map(|member| (member.node, member.peer_address))
            .collect();
        // A fixed random order: neighbours in it aren't neighbours in a rack.
        ordered.sort_by_cached_key(|(node, _)| rendezvous_weight(b"lease", 0, *node));
        let failures = self.lease.failures();
        Some(choose_source(&self.lease_settings, &ordered, self.me, &region, &state.voters, failures))
    }

    pub(super) fn on_lease_message(
        &mut self,
        now: BootTime,
        from: NodeId,
        from_address: SocketAddr,
        message: LeaseMessage,
        actions: &mut Vec<ClusterAction>,
    ) {
        match message {
            LeaseMessage::Ask { ask, revision, wants } => {
                let grant = match wants {
                    LeaseWord::Vote => self.grant_as_voter(ask, revision),
                    LeaseWord::Lease => self.pass_on(now, ask, revision),
                };
                self.send(Some(from), from_address, ClusterMessage::Lease(grant), actions);
            }
            LeaseMessage::Grant { .. } => self.take_grant(from, message, actions),
        }
    }

    /// A voter's own word. It is worth nothing once the voter knows that it was removed.
    fn grant_as_voter(&self, ask: u64, revision: u64) -> LeaseMessage {
        let state = self.agreement.committed_state();
        let is_voter = state.voters.contains(self.me);
        let update = if revision >= state.revision {
            ConfigUpdate::None
        } else {
            match self.agreement.committed_entries_after(revision) {
                Some(entries) if revision > 0 => ConfigUpdate::Entries(entries),
                _ => ConfigUpdate::Full(Arc::new(state.clone())),
            }
        };
        let remaining = if is_voter { self.lease_settings.life } else { Duration::ZERO };
        LeaseMessage::Grant { ask, revision: state.revision, word: LeaseWord::Vote, remaining, update }
    }

    /// Passes on what is left of this node's own lease.
    fn pass_on(&self, now: BootTime, ask: u64, revision: u64) -> LeaseMessage {
        LeaseMessage::Grant {
            ask,
            revision: self.lease.state().revision,
            word: LeaseWord::Lease,
            remaining: self.lease.remaining(now),
            update: self.lease.update_for(revision),
        }
    }

    fn take_grant(&mut self, from: NodeId, grant: LeaseMessage, actions: &mut Vec<ClusterAction>) {
        if self.lease.on_grant(from, grant) {
            self.config_changed(actions);
        }
    }

    /// A voter holds what it knows to be committed.
    pub(super) fn take_committed(&mut self, actions: &mut Vec<ClusterAction>) {
        let held = self.lease.state().revision;
        let changed = match self.agreement.committed_entries_after(held) {
            Some(entries) if held > 0 => self.lease.apply_entries(entries),
            _ => self.lease.adopt(Arc::new(self.agreement.committed_state().clone())),
        };
        if changed {
            self.config_changed(actions);
        }
    }
}
