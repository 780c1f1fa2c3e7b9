//! The fleet as one node sees it: members, what they announce, and what follows from both.
//!
//! Owns membership, the peers' last announcements and this node's own. Relies on the cluster crate for who is alive, and on its parts:
//!
//! | part | for |
//! | --- | --- |
//! | `announcement` | what each datagram says of its sender |
//! | `datagrams` | the socket, and datagrams in both directions |
//! | `readers` | designated readers of the store, heartbeats, the peer that is asked |
//! | `contact` | whether any peer is heard |
//! | `incarnation` | ids of incarnations, by which one knows those before it |
//! | `confirmation` | until when the configuration is known to have been the newest |
//! | `shape` | which nodes serve callers, and this node's share of what all spend |
//!
//! Every datagram carries the sender's configuration version and newest store revision. So a node
//! that the store doesn't serve sees that it is behind, and asks a peer for what it lacks.

mod announcement;
mod confirmation;
mod contact;
mod datagrams;
mod incarnation;
mod readers;
mod shape;

pub use announcement::Announcement;
pub use confirmation::{Confirmation, ConfirmedVersion};
pub use incarnation::new_id;
pub use shape::FleetShape;

use crate::directory::Directory;
use crate::load::is_pressed;
use crate::settings::NodePolicy;
use crate::traffic::{Reach, Traffic};
use contact::Contact;
use datagrams::PeerSocket;
use hashbrown::HashMap;
use mio::net::UdpSocket;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use shape::Peak;
use staircross_cluster::membership::{Membership, MembershipAction, MembershipSettings, Retransmits};
use staircross_cluster::{Member, MemberState};
use staircross_quota::QuotaMessage;
use staircross_routing::CaseRecord;
use staircross_routing::decision::placement::Distance;
use staircross_types::{BootTime, NodeId, ZoneName};
use std::net::SocketAddr;
use std::time::Duration;

/// Members sent in one datagram, so that it stays below the 1,500 bytes that a link carries whole.
const MEMBERS_PER_DATAGRAM: usize = 6;
/// Nodes assumed to live and serve at the start, until more have been seen: a starting node takes no more than an eighth of what all share. For a
/// small fleet.
const ASSUMED_FLEET: usize = 8;
/// Peers that are sent updates at once; they pass them on.
const PUSH_COUNT: usize = 12;

/// What changed in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// A member's record changed.
    Member {
        /// The member.
        member: Box<Member>,
    },
    /// A peer has lost searchers under requests.
    Cases(Vec<CaseRecord>),
    /// No peer has been heard for some time, or one is heard again.
    Isolated {
        /// Whether none is.
        is_isolated: bool,
    },
    /// A peer reports on tenants' quotas.
    Quotas {
        /// The peer.
        from: NodeId,
        /// What it reports.
        messages: Vec<QuotaMessage>,
    },
}

/// Counters, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounters {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Datagrams that couldn't be read.
    pub unreadable: u64,
}

/// The fleet as this node sees it.
pub struct Fleet {
    node: NodeId,
    membership: Membership,
    socket: PeerSocket,
    random: ChaCha8Rng,
    own: Announcement,
    /// Sent with each datagram: requests under which searchers were lost.
    cases: Vec<CaseRecord>,
    /// What each peer announced last.
    announced: HashMap<NodeId, Announcement>,
    /// Since when a peer has been ahead in anything, or since the last question to one.
    behind_since: Option<BootTime>,
    /// Since when a live peer has been known to have a newer configuration.
    version_behind_since: Option<BootTime>,
    directory: Directory,
    /// When the directory was made; `None` when it must be made anew.
    directory_at: Option<BootTime>,
    /// The nodes that share tenants' quotas, as the engine last got them.
    quota_nodes: Vec<NodeId>,
    /// What the searcher of a shard with the lowest bound accepts from all nodes.
    connections: Option<u32>,
    /// Most live nodes of late.
    live_peak: Peak,
    /// Most serving nodes of late.
    serving_peak: Peak,
    /// When the store last answered this node; `None` when it doesn't read.
    store_contact: Option<BootTime>,
    /// When the store last answered a reader of the region, as far as it was heard here.
    reader_heartbeat: Option<BootTime>,
    confirmation: Confirmation,
    contact: Contact,
    /// Whether peers are sent until when the configuration is confirmed.
    sends_confirmation: bool,
    policy: NodePolicy,
    /// Counters for metrics.
    pub counters: FleetCounters,
    /// Bytes of datagrams sent.
    pub traffic: Traffic,
}

/// Who this node is and where it is reached.
#[derive(Clone, Debug)]
pub struct FleetIdentity {
    /// This incarnation.
    pub node: NodeId,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Region.
    pub region: String,
    /// Zone.
    pub zone: String,
}

impl Fleet {
    /// A fleet of one that will join through `seeds`.
    pub fn new(identity: FleetIdentity, seeds: Vec<SocketAddr>, socket: UdpSocket, now: BootTime) -> Self {
        let own = Member {
            node: identity.node,
            peer_address: identity.peers,
            caller_address: identity.callers,
            region: identity.region,
            zone: ZoneName::new(identity.zone),
            state: MemberState::Alive,
            version: 1,
            is_ready: false,
        };
        let seeds = seeds.into_iter().filter(|seed| *seed != identity.peers).collect();
        Fleet {
            node: identity.node,
            membership: Membership::new(membership_settings(), own, seeds),
            socket: PeerSocket::new(socket, now),
            random: ChaCha8Rng::seed_from_u64(rand::rng().random()),
            own: Announcement::default(),
            cases: Vec::new(),
            announced: HashMap::new(),
            behind_since: None,
            version_behind_since: None,
            directory: Directory::default(),
            directory_at: None,
            quota_nodes: Vec::new(),
            connections: None,
            live_peak: Peak::new(ASSUMED_FLEET, now),
            serving_peak: Peak::new(ASSUMED_FLEET, now),
            store_contact: None,
            reader_heartbeat: None,
            confirmation: Confirmation::default(),
            contact: Contact::new(now),
            sends_confirmation: false,
            policy: NodePolicy::default(),
            counters: FleetCounters::default(),
            traffic: Traffic::default(),
        }
    }

    /// The same with mechanisms turned off.
    pub fn with_policy(self, policy: NodePolicy) -> Self {
        Fleet { policy, ..self }
    }

    /// Lets time pass.
    pub fn on_tick(&mut self, now: BootTime, events: &mut Vec<FleetEvent>) {
        // What came while the process stood still is read before anything is judged by what was known before.
        self.on_readable(now, events);
        self.refresh_own_heartbeat(now);
        let mut actions = Vec::new();
        self.membership.on_tick(now, &mut self.random, &mut actions);
        // Each moment that a dead node stays in somebody's directory costs callers.
        if actions.iter().any(|action| matches!(action, MembershipAction::Changed(_))) {
            self.push_and_carry_out(actions, events);
        } else {
            self.carry_out(actions, events);
        }
        self.announced.retain(|node, _| !self.membership.is_gone(*node));
        let live = self.live().count();
        self.live_peak.note(now, live);
        if self.contact.look(now, live > 1) {
            events.push(FleetEvent::Isolated { is_isolated: true });
        }
    }

    /// Says whether callers may be sent to this node.
    pub fn set_ready(&mut self, is_ready: bool, events: &mut Vec<FleetEvent>) {
        let mut actions = Vec::new();
        self.membership.set_ready(is_ready, &mut actions);
        if !actions.is_empty() {
            self.push_and_carry_out(actions, events);
        }
    }

    /// Announces a planned stop, or its end.
    pub fn leave(&mut self, state: MemberState, events: &mut Vec<FleetEvent>) {
        let mut actions = Vec::new();
        self.membership.leave(state, &mut actions);
        self.push_and_carry_out(actions, events);
    }

    /// Notes how busy this node is, in percent. A change that matters to callers is sent at once.
    pub fn set_load(&mut self, percent: u8, events: &mut Vec<FleetEvent>) {
        let matters = is_pressed(percent) != is_pressed(self.own.load);
        self.own.load = percent;
        if matters {
            self.push_and_carry_out(Vec::new(), events);
        }
    }

    /// Sets what is sent to peers of requests under which searchers were lost.
    pub fn set_cases(&mut self, cases: Vec<CaseRecord>) {
        self.cases = cases;
    }

    /// Pushes what each datagram carries to some peers at once. They pass it on.
    pub fn push(&mut self, events: &mut Vec<FleetEvent>) {
        self.push_and_carry_out(Vec::new(), events);
    }

    /// Pushes the present updates to peers at once, after what `actions` ask for.
    fn push_and_carry_out(&mut self, mut actions: Vec<MembershipAction>, events: &mut Vec<FleetEvent>) {
        self.membership.push_updates(&mut self.random, PUSH_COUNT, &mut actions);
        self.carry_out(actions, events);
    }

    fn carry_out(&mut self, actions: Vec<MembershipAction>, events: &mut Vec<FleetEvent>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, address, message } => self.send(to, address, message),
                MembershipAction::Changed(node) => {
                    self.directory_at = None;
                    if let Some(member) = self.membership.get(node) {
                        events.push(FleetEvent::Member { member: Box::new(member.clone()) });
                    }
                }
            }
        }
    }

    fn reach_of(&self, node: NodeId) -> Reach {
        let own = self.membership.own();
        let Some(member) = self.membership.get(node) else {
            return Reach::Unknown;
        };
        Reach::Known(match (member.zone == own.zone, member.region == own.region) {
            (true, _) => Distance::OwnZone,
            (false, true) => Distance::OwnRegion,
            (false, false) => Distance::Far,
        })
    }

    /// How far the live member with an address for peers is.
    pub fn reach_of_address(&self, address: SocketAddr) -> Reach {
        let node = self.live().find(|member| member.peer_address == address).map(|member| member.node);
        node.map_or(Reach::Unknown, |node| self.reach_of(node))
    }

    /// Members that aren't gone, this node included.
    fn live(&self) -> impl Iterator<Item = &Member> {
        self.membership.members().values().filter(|member| !member.is_gone())
    }

    /// Live nodes known, this one included.
    pub fn live_count(&self) -> usize {
        self.live().count()
    }

    fn load_of(&self, node: NodeId) -> u8 {
        if node == self.node {
            return self.own.load;
        }
        self.announced.get(&node).map_or(0, |announced| announced.load)
    }
}

/// Callers lose a request with each second that a dead node stays in the directory, and only lose a node for a moment when it is suspected wrongly.
/// So probes are more frequent than the cluster crate's usual ones and fail sooner; a suspect leaves the directory at once, and has as long to
/// refute. Fewer retransmits and one seed at a time spare the busiest node's link in fleets of hundreds.
fn membership_settings() -> MembershipSettings {
    MembershipSettings {
        probe_every: Duration::from_millis(200),
        direct_timeout: Duration::from_millis(100),
        probe_timeout: Duration::from_millis(250),
        suspicion: Duration::from_millis(2500),
        pause_gap: Duration::from_millis(400),
        helpers: 2,
        updates_per_message: 5,
        retransmits: Retransmits { per_doubling: 1, besides: 3 },
        asks_one_seed: true,
        members_per_message: MEMBERS_PER_DATAGRAM,
        forget_after: Duration::from_secs(60),
    }
}
