//! Entry point of the cluster logic of one node.
//!
//! The engine composes membership, the platform's document, searcher views and session copies. It passes
//! messages and ticks to each of them, and recomputes ownership after members or configuration have changed. Its
//! input are [`ClusterEvent`]s, its output [`ClusterAction`]s.

mod replication_wait;
mod sessions;

use crate::document_relay::{DocumentRelay, DocumentSend};
use crate::member::{Member, MemberState};
use crate::membership::{Membership, MembershipAction, MembershipSettings};
use crate::message::{ClusterMessage, Envelope};
use crate::ownership::OwnershipMap;
use crate::session_copies::{SessionCopy, SessionCopyMessage, SessionCopyStore};
use crate::views::{GossipedReport, ViewAction, ViewRecord, Views};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use replication_wait::ReplicationWait;
use staircross_config::PlatformDocument;
use staircross_types::{BootTime, NodeId, SearcherId, SessionToken};
use std::net::SocketAddr;
use std::sync::Arc;

/// Default maximum number of session copies that a node keeps for others.
const DEFAULT_MAX_SESSION_COPIES: usize = 20_000;
/// Number of members to which a planned stop is announced immediately; gossip informs the others.
const LEAVE_FANOUT: usize = 8;

/// Settings of the cluster logic of one node.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Record of the node itself.
    pub me: Member,
    /// Peer addresses through which the node joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of session copies that the node keeps for others.
    pub max_session_copies: usize,
    /// Settings of the membership protocol.
    pub membership: MembershipSettings,
}

impl ClusterSettings {
    /// Creates settings with default times and sizes.
    pub fn new(me: Member, seeds: Vec<SocketAddr>) -> Self {
        let membership = MembershipSettings::default();
        ClusterSettings { me, seeds, max_session_copies: DEFAULT_MAX_SESSION_COPIES, membership }
    }
}

/// Input of the cluster logic.
#[derive(Clone, Debug)]
pub enum ClusterEvent {
    /// A message from a peer has arrived.
    Message(Box<Envelope>),
    /// The platform's document has been read.
    Platform(Arc<PlatformDocument>),
    /// This node, an owner of the searcher, has observed its state; `report` is `None` when the searcher doesn't
    /// answer.
    Observed { searcher: SearcherId, report: Option<GossipedReport>, leaving: bool },
    /// This node holds the session and has changed its state; copies of the state must be stored on other nodes.
    StoreSession { token: SessionToken, version: u64, state: Vec<u8> },
    /// This node keeps a copy of a session whose holder is gone; the copy must be stored on other nodes as well.
    SpreadCopy { token: SessionToken },
    /// A session is resumed; its copies must be fetched from this node's store and from other nodes. Each resulting
    /// [`ClusterAction::SessionFetched`] repeats the number `ask`.
    FetchSession { token: SessionToken, ask: u64 },
    /// A session was closed; its copies must be dropped on this node and on others.
    ForgetSession { token: SessionToken },
    /// This node has taken a session over from the node `holder`, which must be notified.
    TakeOver { token: SessionToken, holder: NodeId },
    /// The copies of all sessions that this node sees to are complete; the member that asked must be told.
    ConfirmReplication { to: NodeId },
    /// This node no longer waits for the others to have complete copies.
    EndReplicationWait,
    /// A planned stop begins.
    Leave,
    /// The planned stop is complete and the process is about to exit.
    Left,
    /// Time has passed.
    Tick,
}

/// Output of the cluster logic: a message to send, or a change to act on.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterAction {
    /// Send a message to a peer.
    Send(Envelope),
    /// A newer document is in force on this node.
    ConfigChanged(Arc<PlatformDocument>),
    /// The record of a member has changed.
    MembersChanged,
    /// A searcher's record has changed.
    ViewChanged(ViewRecord),
    /// A peer has stored a copy; if `is_overtaken`, it kept a newer copy of another holder instead.
    SessionStored { token: SessionToken, version: u64, keeper: NodeId, is_overtaken: bool },
    /// The copy kept by `keeper`, which is this node or a peer that was asked, if it has one.
    SessionFetched { token: SessionToken, ask: u64, keeper: NodeId, copy: Option<SessionCopy> },
    /// Another node has taken the session over from this one.
    SessionMoved { token: SessionToken },
    /// A member asks whether the copies of all sessions that this node sees to are complete.
    ReplicationAwaited { by: NodeId },
}

/// The cluster logic of one node.
pub struct ClusterEngine {
    me: NodeId,
    address: SocketAddr,
    rng: ChaCha8Rng,
    membership: Membership,
    document_relay: DocumentRelay,
    views: Views,
    copies: SessionCopyStore,
    replication_wait: ReplicationWait,
    ownership: OwnershipMap,
    /// Whether members or configuration have changed since `ownership` was computed.
    ownership_is_stale: bool,
}

impl ClusterEngine {
    /// Creates the logic of a node that has just started; `seed` seeds its random number generator.
    pub fn new(settings: ClusterSettings, seed: u64) -> Self {
        let me = settings.me.node;
        ClusterEngine {
            me,
            address: settings.me.peer_address,
            rng: ChaCha8Rng::seed_from_u64(seed),
            membership: Membership::new(settings.membership, settings.me, settings.seeds),
            document_relay: DocumentRelay::new(),
            views: Views::new(me),
            copies: SessionCopyStore::new(settings.max_session_copies),
            replication_wait: ReplicationWait::default(),
            ownership: OwnershipMap::default(),
            ownership_is_stale: true,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn on_event(&mut self, now: BootTime, event: ClusterEvent, actions: &mut Vec<ClusterAction>) {
        match event {
            ClusterEvent::Message(envelope) => self.on_envelope(now, *envelope, actions),
            ClusterEvent::Platform(document) => {
                if self.document_relay.adopt(document) {
                    self.report_config_change(actions);
                }
            }
            ClusterEvent::Observed { searcher, report, leaving } => {
                let mut out = Vec::new();
                self.views.observe(searcher, report, leaving, &mut out);
                self.apply_view_actions(out, actions);
            }
            ClusterEvent::StoreSession { token, version, state } => self.store_session(token, version, state, actions),
            ClusterEvent::SpreadCopy { token } => self.spread_copy(token, actions),
            ClusterEvent::FetchSession { token, ask } => self.fetch_session(token, ask, actions),
            ClusterEvent::ForgetSession { token } => self.forget_session(token, actions),
            ClusterEvent::TakeOver { token, holder } => {
                if let Some(address) = self.membership.get(holder).map(|member| member.peer_address) {
                    let message = ClusterMessage::SessionCopies(SessionCopyMessage::Moved { token });
                    self.send(Some(holder), address, message, actions);
                }
            }
            ClusterEvent::ConfirmReplication { to } => self.confirm_replication(to, actions),
            ClusterEvent::EndReplicationWait => self.end_replication_wait(),
            ClusterEvent::Leave => self.leave(MemberState::Leaving, actions),
            ClusterEvent::Left => self.leave(MemberState::Left, actions),
            ClusterEvent::Tick => self.on_tick(now, actions),
        }
    }

    /// Returns the id of this node's incarnation.
    pub fn node(&self) -> NodeId {
        self.me
    }

    /// Returns the document in force on this node, if one is known.
    pub fn config(&self) -> Option<&Arc<PlatformDocument>> {
        self.document_relay.document()
    }

    /// Returns the revision of the document in force on this node; 0 when none is known.
    pub fn revision(&self) -> u64 {
        self.document_relay.revision()
    }

    /// Returns the revision that a member last announced to this node; for this node, the revision that it holds.
    pub fn revision_of(&self, node: NodeId) -> Option<u64> {
        if node == self.me { Some(self.revision()) } else { self.document_relay.revision_of(node) }
    }

    /// Returns all member records, including this node's own and those of gone members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members().values()
    }

    /// Returns the record of one member, gone or not.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.membership.get(node)
    }

    /// Returns the number of members that this node itself declared dead.
    pub fn declared_dead(&self) -> u64 {
        self.membership.declared_dead
    }

    /// Returns the owners of the searchers, computed from this node's member records and configuration.
    pub fn ownership(&mut self) -> &OwnershipMap {
        if self.ownership_is_stale {
            self.ownership_is_stale = false;
            let services = self.document_relay.document().map_or(&[][..], |document| &document.services);
            self.ownership = OwnershipMap::compute(self.membership.members().values(), services.iter());
        }
        &self.ownership
    }

    /// Returns the records of all known searchers.
    pub fn view_records(&self) -> impl Iterator<Item = &ViewRecord> {
        self.views.records()
    }

    /// Returns the number of session copies that this node keeps for others.
    pub fn session_copy_count(&self) -> usize {
        self.copies.len()
    }

    fn on_envelope(&mut self, now: BootTime, envelope: Envelope, actions: &mut Vec<ClusterAction>) {
        if envelope.from == self.me {
            return;
        }
        let Envelope { from, from_address, to, message, .. } = envelope;
        // The message is meant for an earlier incarnation at this node's address.
        if to.is_some_and(|to| to != self.me) {
            let mut out = Vec::new();
            self.membership.on_misaddressed(from, from_address, &mut out);
            return self.apply_membership_actions(out, actions);
        }
        match message {
            ClusterMessage::Membership(message) => {
                let mut out = Vec::new();
                self.membership.on_message(now, from, from_address, message, &mut out);
                self.apply_membership_actions(out, actions);
            }
            ClusterMessage::Document(message) => {
                let mut out = Vec::new();
                let has_changed = self.document_relay.on_message(from, from_address, message, &mut out);
                self.send_document_messages(out, actions);
                if has_changed {
                    self.report_config_change(actions);
                }
            }
            ClusterMessage::Views(message) => {
                let mut out = Vec::new();
                self.views.on_message(from, from_address, message, &mut out);
                self.apply_view_actions(out, actions);
            }
            ClusterMessage::SessionCopies(message) => {
                self.on_session_copy_message(from, from_address, message, actions)
            }
        }
    }

    fn send(
        &self,
        to: Option<NodeId>,
        to_address: SocketAddr,
        message: ClusterMessage,
        actions: &mut Vec<ClusterAction>,
    ) {
        let envelope = Envelope { from: self.me, from_address: self.address, to, to_address, message };
        actions.push(ClusterAction::Send(envelope));
    }

    fn leave(&mut self, state: MemberState, actions: &mut Vec<ClusterAction>) {
        let mut out = Vec::new();
        self.membership.leave(state, &mut out);
        self.membership.push_updates(&mut self.rng, LEAVE_FANOUT, &mut out);
        self.apply_membership_actions(out, actions);
    }

    fn on_tick(&mut self, now: BootTime, actions: &mut Vec<ClusterAction>) {
        let mut out = Vec::new();
        self.membership.on_tick(now, &mut self.rng, &mut out);
        self.apply_membership_actions(out, actions);

        let mut out = Vec::new();
        let others: Vec<&Member> = self.membership.others().collect();
        self.document_relay.on_tick(now, &others, &mut self.rng, &mut out);
        self.send_document_messages(out, actions);

        let others: Vec<(NodeId, SocketAddr)> =
            self.membership.others().map(|member| (member.node, member.peer_address)).collect();
        let mut out = Vec::new();
        self.views.on_tick(now, &others, &mut self.rng, &mut out);
        self.apply_view_actions(out, actions);
        self.ask_for_replication(now, actions);
    }

    fn apply_membership_actions(&mut self, out: Vec<MembershipAction>, actions: &mut Vec<ClusterAction>) {
        for action in out {
            match action {
                MembershipAction::Send { to, address, message } => {
                    self.send(to, address, ClusterMessage::Membership(message), actions);
                }
                MembershipAction::Changed(_) => {
                    self.ownership_is_stale = true;
                    actions.push(ClusterAction::MembersChanged);
                }
            }
        }
    }

    fn send_document_messages(&mut self, out: Vec<DocumentSend>, actions: &mut Vec<ClusterAction>) {
        for DocumentSend { to, address, message } in out {
            self.send(Some(to), address, ClusterMessage::Document(message), actions);
        }
    }

    fn apply_view_actions(&mut self, out: Vec<ViewAction>, actions: &mut Vec<ClusterAction>) {
        for action in out {
            match action {
                ViewAction::Send { to, address, message } => {
                    self.send(Some(to), address, ClusterMessage::Views(message), actions);
                }
                ViewAction::Changed(record) => actions.push(ClusterAction::ViewChanged(record)),
            }
        }
    }

    fn report_config_change(&mut self, actions: &mut Vec<ClusterAction>) {
        self.ownership_is_stale = true;
        if let Some(document) = self.document_relay.document() {
            actions.push(ClusterAction::ConfigChanged(document.clone()));
        }
    }
}
