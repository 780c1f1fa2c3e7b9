//! The fleet as one node sees it: its members, their announcements, and what the node derives from both.
//!
//! [`Fleet`] owns the membership, the last announcement of each peer and this node's own announcement. It relies on
//! the cluster crate for which members are alive, and on these modules:
//!
//! | module | content |
//! | --- | --- |
//! | `announcement` | the state that each datagram announces of its sender |
//! | `datagrams` | the socket, and incoming and outgoing datagrams |
//! | `readers` | the designated readers of the store, their heartbeats, and the choice of the peer to pull from |
//! | `contact` | whether datagrams of any peer arrive |
//! | `incarnation` | the ids of incarnations, by which an incarnation recognizes earlier ones of its node |
//! | `confirmation` | the latest time at which the configuration is known to have been the newest |
//! | `shape` | the nodes that serve callers, and this node's share of the limits that all nodes share |
//!
//! Every datagram carries the sender's configuration version and newest store revision. So a node that can't reach
//! the store, or that follows another node instead of reading the store, detects that it is behind, and pulls the
//! missing updates from a peer by an HTTP call.

mod announcement;
mod confirmation;
mod contact;
mod datagrams;
mod incarnation;
mod readers;
mod shape;

pub use announcement::Announcement;
pub use confirmation::{Confirmation, ConfirmedVersion};
pub use incarnation::new_incarnation_id;
pub use readers::PullPeer;
pub use shape::FleetShape;

use crate::directory::Directory;
use crate::load::is_pressed;
use crate::settings::NodePolicy;
use crate::traffic::{Reach, Traffic};
use contact::IsolationDetector;
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

/// Maximum number of members in one datagram, which keeps it below the 1,500 bytes that a link carries unfragmented.
const MEMBERS_PER_DATAGRAM: usize = 6;
/// Number of live nodes and of serving nodes that a starting node assumes until it has seen more, so that it takes at
/// most an eighth of the limits that all nodes share. The number is that of a small fleet.
const ASSUMED_FLEET_SIZE: usize = 8;
/// Number of peers that a push is sent to; these peers pass the updates on.
const PUSH_FANOUT: usize = 12;

/// A change in the fleet, or a report from a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// A member's record changed.
    Member {
        /// The member.
        member: Box<Member>,
    },
    /// A peer sent case records, which describe requests during which searchers were lost.
    CaseRecords(Vec<CaseRecord>),
    /// No datagram of any peer has arrived for some time, or one has arrived again.
    Isolated {
        /// Whether no datagrams arrive.
        is_isolated: bool,
    },
    /// A peer sent messages about tenants' quotas.
    Quotas {
        /// The peer.
        from: NodeId,
        /// The peer's messages.
        messages: Vec<QuotaMessage>,
    },
}

/// Counters of datagrams, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounters {
    /// Number of datagrams sent.
    pub datagrams: u64,
    /// Number of bytes in the datagrams sent.
    pub bytes: u64,
    /// Number of datagrams that couldn't be decoded, or couldn't be encoded.
    pub unreadable: u64,
}

/// The state that this node has of the fleet.
pub struct Fleet {
    node: NodeId,
    membership: Membership,
    socket: PeerSocket,
    rng: ChaCha8Rng,
    own_announcement: Announcement,
    /// Case records, which describe requests during which searchers were lost; datagrams of the membership carry them.
    case_records: Vec<CaseRecord>,
    /// The last announcement of each peer.
    peer_announcements: HashMap<NodeId, Announcement>,
    /// Time since which some peer has been ahead of this node, or time of the last pull if that is later.
    behind_since: Option<BootTime>,
    /// Time since which some peer is known to have a newer configuration.
    version_behind_since: Option<BootTime>,
    directory: Directory,
    /// Time at which the directory was built; `None` if it must be rebuilt.
    directory_built_at: Option<BootTime>,
    /// The nodes that share tenants' quotas, as last passed to the engine.
    quota_nodes: Vec<NodeId>,
    /// Smallest number of connections that any searcher accepts from all nodes together, if there is such a limit.
    searcher_connections: Option<u32>,
    /// Recent maximum of the number of live nodes.
    live_peak: Peak,
    /// Recent maximum of the number of serving nodes.
    serving_peak: Peak,
    /// Time of the store's last answer to this node; `None` if the node doesn't read the store.
    store_contact: Option<BootTime>,
    /// Time of the store's last answer to a reader of the region, according to the readers' heartbeats.
    reader_heartbeat: Option<BootTime>,
    confirmation: Confirmation,
    isolation_detector: IsolationDetector,
    /// Whether announcements contain the age of the configuration's confirmation.
    announces_confirmation: bool,
    policy: NodePolicy,
    /// Counters of datagrams, for metrics.
    pub counters: FleetCounters,
    /// Bytes of the datagrams sent, by purpose and distance.
    pub traffic: Traffic,
}

/// Identity, addresses and location of this node.
#[derive(Clone, Debug)]
pub struct FleetIdentity {
    /// Id of this incarnation.
    pub node: NodeId,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Region of the node.
    pub region: String,
    /// Zone of the node.
    pub zone: String,
}

impl Fleet {
    /// Creates a fleet that consists of this node alone and joins others through `seeds`.
    pub fn new(identity: FleetIdentity, seeds: Vec<SocketAddr>, socket: UdpSocket, now: BootTime) -> Self {
        let own = Member {
            node: identity.node,
            peer_address: identity.peer_address,
            caller_address: identity.caller_address,
            region: identity.region,
            zone: ZoneName::new(identity.zone),
            state: MemberState::Alive,
            version: 1,
            is_ready: false,
        };
        let seeds = seeds.into_iter().filter(|seed| *seed != identity.peer_address).collect();
        Fleet {
            node: identity.node,
            membership: Membership::new(membership_settings(), own, seeds),
            socket: PeerSocket::new(socket, now),
            rng: ChaCha8Rng::seed_from_u64(rand::rng().random()),
            own_announcement: Announcement::default(),
            case_records: Vec::new(),
            peer_announcements: HashMap::new(),
            behind_since: None,
            version_behind_since: None,
            directory: Directory::default(),
            directory_built_at: None,
            quota_nodes: Vec::new(),
            searcher_connections: None,
            live_peak: Peak::new(ASSUMED_FLEET_SIZE, now),
            serving_peak: Peak::new(ASSUMED_FLEET_SIZE, now),
            store_contact: None,
            reader_heartbeat: None,
            confirmation: Confirmation::default(),
            isolation_detector: IsolationDetector::new(now),
            announces_confirmation: false,
            policy: NodePolicy::default(),
            counters: FleetCounters::default(),
            traffic: Traffic::default(),
        }
    }

    /// Sets which optional mechanisms are turned on.
    pub fn with_policy(self, policy: NodePolicy) -> Self {
        Fleet { policy, ..self }
    }

    /// Runs the periodic work: reads the waiting datagrams, then advances the membership, removes the announcements of
    /// members that are gone, and detects isolation.
    pub fn on_tick(&mut self, now: BootTime, events: &mut Vec<FleetEvent>) {
        // Datagrams that arrived while the process was paused are read first, since decisions from older state might be
        // wrong.
        self.on_readable(now, events);
        self.refresh_own_ages(now);
        let mut actions = Vec::new();
        self.membership.on_tick(now, &mut self.rng, &mut actions);
        // Changes are pushed at once, since callers lose requests for as long as a dead node stays in any directory.
        if actions.iter().any(|action| matches!(action, MembershipAction::Changed(_))) {
            self.apply_and_push(actions, events);
        } else {
            self.apply_actions(actions, events);
        }
        self.peer_announcements.retain(|node, _| !self.membership.is_gone(*node));
        let live = self.live_members().count();
        self.live_peak.record(now, live);
        if self.isolation_detector.detect_isolation(now, live > 1) {
            events.push(FleetEvent::Isolated { is_isolated: true });
        }
    }

    /// Sets whether callers may be sent to this node. A change is pushed to peers at once.
    pub fn set_ready(&mut self, is_ready: bool, events: &mut Vec<FleetEvent>) {
        let mut actions = Vec::new();
        self.membership.set_ready(is_ready, &mut actions);
        if !actions.is_empty() {
            self.apply_and_push(actions, events);
        }
    }

    /// Sets this node's own state when a planned stop begins or ends, and pushes it to peers at once.
    pub fn leave(&mut self, state: MemberState, events: &mut Vec<FleetEvent>) {
        let mut actions = Vec::new();
        self.membership.leave(state, &mut actions);
        self.apply_and_push(actions, events);
    }

    /// Sets the busy fraction of this node's process, in percent. If the node becomes pressed, that is, too busy for
    /// more callers, or is no longer pressed, the change is pushed to peers at once, since it decides where callers are
    /// sent.
    pub fn set_load(&mut self, percent: u8, events: &mut Vec<FleetEvent>) {
        let is_pressed_changed = is_pressed(percent) != is_pressed(self.own_announcement.load);
        self.own_announcement.load = percent;
        if is_pressed_changed {
            self.apply_and_push(Vec::new(), events);
        }
    }

    /// Sets the case records that the next datagrams carry.
    pub fn set_case_records(&mut self, cases: Vec<CaseRecord>) {
        self.case_records = cases;
    }

    /// Sends the current announcement, records and membership updates to some peers at once.
    pub fn push(&mut self, events: &mut Vec<FleetEvent>) {
        self.apply_and_push(Vec::new(), events);
    }

    /// Applies `actions`, then pushes the current state to some peers.
    fn apply_and_push(&mut self, mut actions: Vec<MembershipAction>, events: &mut Vec<FleetEvent>) {
        self.membership.push_updates(&mut self.rng, PUSH_FANOUT, &mut actions);
        self.apply_actions(actions, events);
    }

    /// Sends the messages that the membership requests, and reports the members that changed.
    fn apply_actions(&mut self, actions: Vec<MembershipAction>, events: &mut Vec<FleetEvent>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, address, message } => self.send_message(to, address, message),
                MembershipAction::Changed(node) => {
                    self.directory_built_at = None;
                    if let Some(member) = self.membership.get(node) {
                        events.push(FleetEvent::Member { member: Box::new(member.clone()) });
                    }
                }
            }
        }
    }

    /// Returns the distance from this node to a member.
    fn reach_of(&self, node: NodeId) -> Reach {
        let own = self.membership.own();
        let Some(member) = self.membership.get(node) else {
            return Reach::Unknown;
        };
        Reach::Known(match (member.zone == own.zone, member.region == own.region) {
            (true, _) => Distance::OwnZone,
            (false, true) => Distance::SameRegion,
            (false, false) => Distance::OtherRegion,
        })
    }

    /// Returns the distance from this node to the live member with this peer address.
    pub fn reach_of_address(&self, address: SocketAddr) -> Reach {
        let node = self.live_members().find(|member| member.peer_address == address).map(|member| member.node);
        node.map_or(Reach::Unknown, |node| self.reach_of(node))
    }

    /// Returns the members that aren't gone, this node and suspects included.
    fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members().values().filter(|member| !member.is_gone())
    }

    /// Returns the number of members that aren't gone, this node included.
    pub fn live_count(&self) -> usize {
        self.live_members().count()
    }

    /// Returns the announced busy fraction of a node, in percent; 0 if none was announced.
    fn load_of(&self, node: NodeId) -> u8 {
        if node == self.node {
            return self.own_announcement.load;
        }
        self.peer_announcements.get(&node).map_or(0, |announced| announced.load)
    }
}

/// Returns the settings of the membership protocol.
///
/// Callers lose requests for as long as a dead node stays in the directory, whereas a wrong suspicion only removes a
/// node for a moment. So probes are more frequent and time out sooner than with the defaults of the cluster crate. A
/// suspect is left out of the directory at once, but has as long to refute the suspicion as with the defaults. Fewer
/// retransmits and one seed at a time save bandwidth on the link of the busiest node in fleets of hundreds of nodes.
fn membership_settings() -> MembershipSettings {
    MembershipSettings {
        probe_interval: Duration::from_millis(200),
        direct_timeout: Duration::from_millis(100),
        probe_timeout: Duration::from_millis(250),
        suspicion_timeout: Duration::from_millis(2500),
        pause_gap: Duration::from_millis(400),
        helper_count: 2,
        updates_per_message: 5,
        retransmits: Retransmits { per_doubling: 1, additional: 3 },
        asks_one_seed: true,
        members_per_message: MEMBERS_PER_DATAGRAM,
        forget_after: Duration::from_secs(60),
    }
}
