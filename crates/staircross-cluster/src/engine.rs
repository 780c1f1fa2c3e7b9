//! The cluster logic of one node as a whole.
//!
//! Composes membership, genesis, agreement, leases, views and session copies; passes messages and
//! time to each and carries news between them. Inputs and outputs are typed events and actions.

mod fanout;
mod leasing;

use crate::agreement::voters::{next_voters, voter_of};
use crate::agreement::{Agreement, AgreementAction, AgreementSettings};
use crate::config_state::{Change, ChangeBody, ChangeId, ConfigState};
use crate::genesis::{Genesis, GenesisAction};
use crate::lease::{LeaseHolder, LeaseSettings};
use crate::member::{Member, MemberState};
use crate::membership::{Membership, MembershipAction, MembershipSettings};
use crate::message::{ClusterMessage, Envelope, ProposalReply};
use crate::ownership::OwnershipMap;
use crate::recent_ids::RecentIds;
use crate::replicas::{ReplicaMessage, ReplicaStore, SessionCopy};
use crate::views::{SpreadEvidence, ViewAction, ViewRecord, Views};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_config::PlatformDocument;
use staircross_types::{BootTime, NodeId, SearcherId, SessionToken};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How the cluster logic of a node is set up.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// The node's own record.
    pub me: Member,
    /// Peer addresses to join through.
    pub seeds: Vec<SocketAddr>,
    /// Most session copies kept for others.
    pub session_copies: usize,
    /// Times of the membership.
    pub membership: MembershipSettings,
    /// Times of the agreement.
    pub agreement: AgreementSettings,
    /// Times of the leases.
    pub lease: LeaseSettings,
}

impl ClusterSettings {
    /// Usual times for a node.
    pub fn new(me: Member, seeds: Vec<SocketAddr>) -> Self {
        ClusterSettings {
            me,
            seeds,
            session_copies: 20_000,
            membership: MembershipSettings::default(),
            agreement: AgreementSettings::default(),
            lease: LeaseSettings::default(),
        }
    }
}

/// What the cluster logic is told.
#[derive(Clone, Debug)]
pub enum ClusterEvent {
    /// A peer's message.
    Message(Envelope),
    /// The platform's document, as just read.
    Platform(Arc<PlatformDocument>),
    /// An operator's change.
    Propose(Change),
    /// This node, an owner, found out about a searcher.
    Observed { searcher: SearcherId, evidence: Option<SpreadEvidence>, leaving: bool },
    /// Copy a session's state to other nodes.
    StoreSession { token: SessionToken, version: u64, state: Vec<u8> },
    /// Find a session's state at other nodes.
    FetchSession { token: SessionToken, ask: u64 },
    /// A session was closed.
    ForgetSession { token: SessionToken },
    /// Take a session over from `holder`, which is told.
    TakeOver { token: SessionToken, holder: NodeId },
    /// A planned stop begins.
    Leave,
    /// The planned stop is done but for the exit.
    Left,
    /// Time has passed.
    Tick,
}

/// What the cluster logic wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterAction {
    /// Send to a peer.
    Send(Envelope),
    /// The configuration held has changed.
    ConfigChanged(Arc<ConfigState>),
    /// The members have changed.
    MembersChanged,
    /// What became of a change.
    Proposed(ProposalReply),
    /// A searcher's record has changed.
    ViewChanged(ViewRecord),
    /// A peer keeps a copy; or has a newer one by another holder.
    SessionStored { token: SessionToken, version: u64, is_overtaken: bool },
    /// A peer's copy, if it has one.
    SessionFetched { token: SessionToken, ask: u64, copy: Option<SessionCopy> },
    /// Another node holds the session now.
    SessionMoved { token: SessionToken },
}

/// Time between looks at the voter set by the leader.
const VOTERS_EVERY: Duration = Duration::from_millis(200);
/// Age at which a platform document that the leader hasn't taken is brought to it by another node.
const FORWARD_PLATFORM_AFTER: Duration = Duration::from_secs(2);

/// A document of the platform that isn't in the configuration yet.
struct UnseenDocument {
    document: Arc<PlatformDocument>,
    since: BootTime,
}

/// The cluster logic of one node.
pub struct ClusterEngine {
    me: NodeId,
    address: SocketAddr,
    random: ChaCha8Rng,
    membership: Membership,
    genesis: Genesis,
    agreement: Agreement,
    lease_settings: LeaseSettings,
    lease: LeaseHolder,
    views: Views,
    copies: ReplicaStore,
    ownership: OwnershipMap,
    ownership_is_stale: bool,
    next_voter_look: BootTime,
    unseen: Option<UnseenDocument>,
    /// Changes that were passed on to a leader. A repeated message must not reach another one.
    passed_on: RecentIds,
}

impl ClusterEngine {
    /// Logic of a node that has just started; `seed` feeds its random choices.
    pub fn new(settings: ClusterSettings, seed: u64) -> Self {
        let me = settings.me.node;
        let address = settings.me.peer_address;
        let voter = voter_of(&settings.me);
        ClusterEngine {
            me,
            address,
            random: ChaCha8Rng::seed_from_u64(seed),
            genesis: Genesis::new(me, voter, settings.seeds.clone()),
            membership: Membership::new(settings.membership, settings.me, settings.seeds),
            agreement: Agreement::new(settings.agreement, me),
            lease: LeaseHolder::new(settings.lease.clone()),
            lease_settings: settings.lease,
            views: Views::new(me),
            copies: ReplicaStore::new(settings.session_copies),
            ownership: OwnershipMap::default(),
            ownership_is_stale: true,
            next_voter_look: BootTime::default(),
            unseen: None,
            passed_on: RecentIds::default(),
        }
    }

    /// Takes one event; appends what is to be done.
    pub fn on_event(&mut self, now: BootTime, event: ClusterEvent, actions: &mut Vec<ClusterAction>) {
        match event {
            ClusterEvent::Message(envelope) => self.on_envelope(now, envelope, actions),
            ClusterEvent::Platform(document) => self.on_platform(now, document, actions),
            ClusterEvent::Propose(change) => self.propose(now, change, actions),
            ClusterEvent::Observed { searcher, evidence, leaving } => {
                let mut out = Vec::new();
                self.views.observe(searcher, evidence, leaving, &mut out);
                self.do_views(out, actions);
            }
            ClusterEvent::StoreSession { token, version, state } => self.store_session(token, version, state, actions),
            ClusterEvent::FetchSession { token, ask } => self.fetch_session(token, ask, actions),
            ClusterEvent::ForgetSession { token } => self.forget_session(token, actions),
            ClusterEvent::TakeOver { token, holder } => {
                if let Some(address) = self.membership.get(holder).map(|member| member.peer_address) {
                    let message = ClusterMessage::Replica(ReplicaMessage::Moved { token });
                    self.send(Some(holder), address, message, actions);
                }
            }
            ClusterEvent::Leave => self.leave(MemberState::Leaving, actions),
            ClusterEvent::Left => self.leave(MemberState::Left, actions),
            ClusterEvent::Tick => self.on_tick(now, actions),
        }
    }

    /// This run.
    pub fn node(&self) -> NodeId {
        self.me
    }

    /// Whether this node may act under its configuration now.
    pub fn may_act(&self, now: BootTime) -> bool {
        self.lease.is_valid(now) && self.lease.state().revision > 0
    }

    /// What is left of the lease.
    pub fn lease_remaining(&self, now: BootTime) -> Duration {
        self.lease.remaining(now)
    }

    /// The configuration held.
    pub fn config(&self) -> &Arc<ConfigState> {
        self.lease.state()
    }

    /// The members, gone ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members().values()
    }

    /// One member.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.membership.get(node)
    }

    /// Deaths declared by this node itself.
    pub fn declared_dead(&self) -> u64 {
        self.membership.declared_dead
    }

    /// The leader, as far as known to a voter.
    pub fn leader(&self) -> Option<NodeId> {
        self.agreement.leader()
    }

    /// Whether this node votes.
    pub fn is_voter(&self) -> bool {
        self.lease.state().voters.contains(self.me)
    }

    /// Whether this node leads.
    pub fn is_leader(&self) -> bool {
        self.agreement.is_leader()
    }

    /// The agreement's own idea of the committed state; it may be ahead of the configuration held.
    pub fn agreement(&self) -> &Agreement {
        &self.agreement
    }

    /// Whether a planned stop would leave the voters short: it waits until this is true.
    pub fn is_free_to_leave(&self) -> bool {
        let state = self.lease.state();
        let is_only_one = state.voters.voters.len() <= 1;
        let has_others = self.membership.others().any(Member::takes_work);
        !self.is_voter() || is_only_one || !has_others
    }

    /// Owners of searchers, as this node sees them.
    pub fn ownership(&mut self) -> &OwnershipMap {
        if self.ownership_is_stale {
            self.ownership_is_stale = false;
            let services = self.lease.state().services();
            self.ownership = OwnershipMap::compute(self.membership.members().values(), services.iter());
        }
        &self.ownership
    }

    /// All searcher records.
    pub fn view_records(&self) -> impl Iterator<Item = &ViewRecord> {
        self.views.records()
    }

    /// What is known of a change by its id.
    pub fn change_reply(&self, id: ChangeId) -> Option<ProposalReply> {
        if let Some(outcome) = self.agreement.settled_outcome(id) {
            return Some(ProposalReply::Settled { id, outcome });
        }
        self.lease.state().outcome_of(id).map(|_| ProposalReply::Pending { id })
    }

    /// Copies of other nodes' sessions.
    pub fn session_copies(&self) -> usize {
        self.copies.len()
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
        self.agreement.resign();
        let mut out = Vec::new();
        self.membership.leave(state, &mut out);
        self.membership.push_news(&mut self.random, LEAVE_FANOUT, &mut out);
        self.do_membership(out, actions);
    }

    fn on_platform(&mut self, now: BootTime, document: Arc<PlatformDocument>, actions: &mut Vec<ClusterAction>) {
        if document.revision <= self.config().platform_revision() {
            self.unseen = None;
            return;
        }
        let is_known = self.unseen.as_ref().is_some_and(|unseen| unseen.document.revision == document.revision);
        if !is_known {
            self.unseen = Some(UnseenDocument { document: document.clone(), since: now });
        }
        let is_overdue = self.unseen.as_ref().is_some_and(|unseen| now.since(unseen.since) >= FORWARD_PLATFORM_AFTER);
        // The leader reads the platform itself; others step in only if it seems unable to.
        let is_under_way = self.agreement.has_platform_revision(document.revision);
        if (self.agreement.is_leader() || is_overdue) && !is_under_way {
            let id = self.fresh_change_id();
            self.propose(now, Change { id, body: ChangeBody::Platform(document) }, actions);
        }
    }

    fn propose(&mut self, now: BootTime, change: Change, actions: &mut Vec<ClusterAction>) {
        if self.agreement.is_leader() {
            let mut out = Vec::new();
            self.agreement.propose(now, self.me, change, &mut out);
            self.do_agreement(out, actions);
            return;
        }
        match self.leader_address() {
            Some((leader, address)) => {
                let message = ClusterMessage::Propose { origin: self.me, is_passed_on: false, change };
                self.send(Some(leader), address, message, actions);
            }
            None => actions.push(ClusterAction::Proposed(ProposalReply::NotTaken { id: change.id })),
        }
    }

    /// The leader if this node hears it, else any voter: that one passes the change on, once, or refuses it.
    fn leader_address(&self) -> Option<(NodeId, SocketAddr)> {
        let leader = self.agreement.leader().filter(|leader| *leader != self.me);
        if let Some(member) = leader.and_then(|leader| self.membership.get(leader)) {
            return Some((member.node, member.peer_address));
        }
        if self.is_voter() {
            return None;
        }
        let alive = |node: &NodeId| self.membership.get(*node).is_some_and(Member::takes_work);
        let voters = &self.config().voters.voters;
        let voter = voters.iter().find(|(node, _)| alive(node))?;
        Some((*voter.0, voter.1.address))
    }

    fn on_tick(&mut self, now: BootTime, actions: &mut Vec<ClusterAction>) {
        let mut out = Vec::new();
        self.membership.on_tick(now, &mut self.random, &mut out);
        self.do_membership(out, actions);

        let mut out = Vec::new();
        self.genesis.on_tick(now, &mut out);
        self.do_genesis(now, out, actions);

        let mut out = Vec::new();
        self.agreement.on_tick(now, &mut self.random, &mut out);
        self.do_agreement(out, actions);

        let others: Vec<(NodeId, SocketAddr)> =
            self.membership.others().map(|member| (member.node, member.peer_address)).collect();
        let mut out = Vec::new();
        self.views.on_tick(now, &others, &mut self.random, &mut out);
        self.do_views(out, actions);

        self.renew_lease(now, actions);
        self.look_after_voters(now, actions);
    }

    /// An id that was never used: a change once refused as not taken stays so under its id.
    fn fresh_change_id(&mut self) -> ChangeId {
        ChangeId(self.random.random())
    }

    fn look_after_voters(&mut self, now: BootTime, actions: &mut Vec<ClusterAction>) {
        if now < self.next_voter_look || !self.agreement.may_propose(now) {
            return;
        }
        self.next_voter_look = now + VOTERS_EVERY;
        let answers = |node: NodeId| self.agreement.hears(now, node);
        let wanted = next_voters(self.agreement.latest_voters(), self.membership.members(), self.me, answers);
        let Some(voters) = wanted else {
            return;
        };
        let id = self.fresh_change_id();
        let mut out = Vec::new();
        let change = Change { id, body: ChangeBody::Voters(voters) };
        self.agreement.propose(now, self.me, change, &mut out);
        // Nobody waits for the answer to the leader's own upkeep.
        out.retain(|action| !matches!(action, AgreementAction::Proposed { .. }));
        self.do_agreement(out, actions);
    }

    fn do_membership(&mut self, out: Vec<MembershipAction>, actions: &mut Vec<ClusterAction>) {
        for action in out {
            match action {
                MembershipAction::Send { to, address, message } => {
                    self.send(to, address, ClusterMessage::Membership(message), actions);
                }
                MembershipAction::Changed(node) => {
                    if let Some(member) = self.membership.get(node) {
                        self.agreement.note_address(node, member.peer_address);
                    }
                    self.ownership_is_stale = true;
                    actions.push(ClusterAction::MembersChanged);
                }
            }
        }
    }

    fn do_genesis(&mut self, now: BootTime, out: Vec<GenesisAction>, actions: &mut Vec<ClusterAction>) {
        for action in out {
            match action {
                GenesisAction::Send { address, message } => {
                    self.send(None, address, ClusterMessage::Genesis(message), actions);
                }
                GenesisAction::Found(state) => {
                    if self.agreement.commit_index() == 0 {
                        self.agreement.found(now, *state, &mut self.random);
                        self.take_committed(actions);
                    }
                }
            }
        }
    }

    fn do_agreement(&mut self, out: Vec<AgreementAction>, actions: &mut Vec<ClusterAction>) {
        for action in out {
            match action {
                AgreementAction::Send { to, address, message } => {
                    self.send(Some(to), address, ClusterMessage::Agreement(message), actions);
                }
                AgreementAction::Committed => self.take_committed(actions),
                AgreementAction::Proposed { to, reply } => self.answer_proposal(to, reply, actions),
            }
        }
    }

    fn answer_proposal(&mut self, to: NodeId, reply: ProposalReply, actions: &mut Vec<ClusterAction>) {
        if to == self.me {
            actions.push(ClusterAction::Proposed(reply));
            return;
        }
        if let Some(address) = self.membership.get(to).map(|member| member.peer_address) {
            self.send(Some(to), address, ClusterMessage::Proposed(reply), actions);
        }
    }

    fn do_views(&mut self, out: Vec<ViewAction>, actions: &mut Vec<ClusterAction>) {
        for action in out {
            match action {
                ViewAction::Send { to, address, message } => {
                    self.send(Some(to), address, ClusterMessage::Views(message), actions);
                }
                ViewAction::Changed(record) => actions.push(ClusterAction::ViewChanged(record)),
            }
        }
    }

    fn config_changed(&mut self, actions: &mut Vec<ClusterAction>) {
        self.genesis.end();
        self.ownership_is_stale = true;
        actions.push(ClusterAction::ConfigChanged(self.lease.state().clone()));
    }
}

/// Members told at once of a planned stop.
const LEAVE_FANOUT: usize = 8;
