//! Session copies: which peers keep them, and the messages to store, fetch and drop them.

use super::{ClusterAction, ClusterEngine};
use crate::member::Member;
use crate::message::ClusterMessage;
use crate::session_copies::{COPIES_PER_SESSION, COPIES_WITHOUT_HOLDER, FETCH_FANOUT, SessionCopy, SessionCopyMessage};
use staircross_types::{NodeId, SessionToken, ZoneName};
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl ClusterEngine {
    pub(super) fn on_session_copy_message(
        &mut self,
        from: NodeId,
        from_address: SocketAddr,
        message: SessionCopyMessage,
        actions: &mut Vec<ClusterAction>,
    ) {
        match message {
            SessionCopyMessage::Store { token, copy } => {
                let version = copy.version;
                let is_overtaken = self.copies.store(token, copy);
                let reply = SessionCopyMessage::Stored { token, version, is_overtaken };
                self.send(Some(from), from_address, ClusterMessage::SessionCopies(reply), actions);
            }
            SessionCopyMessage::Stored { token, version, is_overtaken } => {
                actions.push(ClusterAction::SessionStored { token, version, keeper: from, is_overtaken });
            }
            SessionCopyMessage::Fetch { token, ask } => {
                let copy = self.copies.get(token).cloned();
                let reply = SessionCopyMessage::Fetched { token, ask, copy };
                self.send(Some(from), from_address, ClusterMessage::SessionCopies(reply), actions);
            }
            SessionCopyMessage::Fetched { token, ask, copy } => {
                actions.push(ClusterAction::SessionFetched { token, ask, keeper: from, copy });
            }
            SessionCopyMessage::Forget { token } => self.copies.forget(token),
            SessionCopyMessage::Moved { token } => actions.push(ClusterAction::SessionMoved { token }),
            SessionCopyMessage::AwaitReplication => actions.push(ClusterAction::ReplicationAwaited { by: from }),
            SessionCopyMessage::Replicated => self.on_replicated(from),
        }
    }

    /// Returns the members that keep copies of a session held here, in order of rank; members of other zones than this
    /// node's come first.
    fn keepers(&self, token: SessionToken) -> Vec<(NodeId, SocketAddr)> {
        let own_zone = self.membership.own().zone.clone();
        let ranked = self.membership.ranked_for(&token.0.to_be_bytes(), Some(&own_zone));
        let others = ranked.into_iter().filter(|member| member.node != self.me);
        others.take(COPIES_PER_SESSION).map(|member| (member.node, member.peer_address)).collect()
    }

    /// Returns the ids of the nodes that keep copies of a session held here.
    pub fn session_keepers(&self, token: SessionToken) -> Vec<NodeId> {
        self.keepers(token).into_iter().map(|(node, _)| node).collect()
    }

    /// Returns the number of copies that a session held here should have: fewer than [`COPIES_PER_SESSION`] in a very
    /// small fleet.
    pub fn wanted_copies(&self) -> usize {
        self.membership.others().filter(|member| member.takes_work()).count().min(COPIES_PER_SESSION)
    }

    /// Sends a new version of a session that this node holds to the members that keep its copies.
    pub(super) fn store_session(
        &mut self,
        token: SessionToken,
        version: u64,
        state: Vec<u8>,
        actions: &mut Vec<ClusterAction>,
    ) {
        let copy = SessionCopy { version, holder: self.me, state };
        for (node, address) in self.keepers(token) {
            let message = SessionCopyMessage::Store { token, copy: copy.clone() };
            self.send(Some(node), address, ClusterMessage::SessionCopies(message), actions);
        }
    }

    /// Returns the sessions of which this node keeps a copy and whose holder is gone, with the versions of the copies.
    pub fn orphaned_copies(&self) -> impl Iterator<Item = (SessionToken, u64)> + '_ {
        let is_orphaned = |copy: &SessionCopy| self.membership.get(copy.holder).is_none_or(Member::is_gone);
        self.copies.iter().filter(move |(_, copy)| is_orphaned(copy)).map(|(token, copy)| (token, copy.version))
    }

    /// Returns the members that keep copies of a session without a holder. Members of different zones are preferred among
    /// those that a node asks for the session.
    fn orphan_keepers(&self, token: SessionToken) -> Vec<&Member> {
        let mut ranked = self.membership.ranked_for(&token.0.to_be_bytes(), None);
        ranked.truncate(FETCH_FANOUT);
        let mut zones: BTreeSet<&ZoneName> = BTreeSet::new();
        let (mut keepers, others): (Vec<&Member>, Vec<&Member>) =
            ranked.into_iter().partition(|member| zones.insert(&member.zone));
        keepers.extend(others);
        keepers.truncate(COPIES_WITHOUT_HOLDER);
        keepers
    }

    /// Returns the ids of the other nodes that keep copies of a session without a holder.
    pub fn orphan_keeper_ids(&self, token: SessionToken) -> Vec<NodeId> {
        let keepers = self.orphan_keepers(token).into_iter().map(|member| member.node);
        keepers.filter(|keeper| *keeper != self.me).collect()
    }

    /// Sends this node's copy of a session without a holder to the other members that keep one.
    pub(super) fn spread_copy(&self, token: SessionToken, actions: &mut Vec<ClusterAction>) {
        let Some(copy) = self.copies.get(token) else {
            return;
        };
        for keeper in self.orphan_keepers(token).into_iter().filter(|keeper| keeper.node != self.me) {
            let message = SessionCopyMessage::Store { token, copy: copy.clone() };
            self.send(Some(keeper.node), keeper.peer_address, ClusterMessage::SessionCopies(message), actions);
        }
    }

    /// Asks other nodes for their copies of a session, and reports this node's own copy immediately if there is one.
    pub(super) fn fetch_session(&mut self, token: SessionToken, ask: u64, actions: &mut Vec<ClusterAction>) {
        // The holder chose the members that keep copies by its own zone. This node doesn't know that zone and may be
        // one of these members itself.
        if let Some(copy) = self.copies.get(token) {
            let copy = Some(copy.clone());
            actions.push(ClusterAction::SessionFetched { token, ask, keeper: self.me, copy });
        }
        for (node, address) in self.possible_keepers(token) {
            let message = SessionCopyMessage::Fetch { token, ask };
            self.send(Some(node), address, ClusterMessage::SessionCopies(message), actions);
        }
    }

    /// Returns the members that may keep a copy of the session, whichever zone its holder is in.
    fn possible_keepers(&self, token: SessionToken) -> Vec<(NodeId, SocketAddr)> {
        let ranked = self.membership.ranked_for(&token.0.to_be_bytes(), None);
        let others = ranked.into_iter().filter(|member| member.node != self.me);
        others.take(FETCH_FANOUT).map(|member| (member.node, member.peer_address)).collect()
    }

    /// Returns the number of answers to expect from a fetch of the session; a copy kept by this node counts as one.
    pub fn expected_fetch_answers(&self, token: SessionToken) -> usize {
        self.possible_keepers(token).len() + usize::from(self.copies.get(token).is_some())
    }

    /// Drops the copies of a closed session here and on other nodes.
    pub(super) fn forget_session(&mut self, token: SessionToken, actions: &mut Vec<ClusterAction>) {
        self.copies.forget(token);
        for (node, address) in self.possible_keepers(token) {
            let message = SessionCopyMessage::Forget { token };
            self.send(Some(node), address, ClusterMessage::SessionCopies(message), actions);
        }
    }
}
