//! Session copies: which peers keep them, and the messages to store, fetch and drop them.

use super::{ClusterAction, ClusterEngine};
use crate::message::ClusterMessage;
use crate::session_copies::{COPIES_PER_SESSION, FETCH_FANOUT, SessionCopy, SessionCopyMessage};
use staircross_types::{NodeId, SessionToken};
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
