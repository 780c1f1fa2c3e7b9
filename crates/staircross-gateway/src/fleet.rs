//! Members, announcements, and which nodes callers are sent to.
//!
//! Every datagram carries the sender's configuration version and newest store revision. So a node
//! that the store doesn't serve sees that it is behind, and asks a peer for what it lacks.

use crate::dialect::DirectoryQuery;
use crate::directory::{Candidate, Directory};
use crate::load::is_pressed;
use crate::store_role::{READERS_PER_ZONE, StoreRole};
use hashbrown::HashMap;
use mio::net::UdpSocket;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};
use staircross_cluster::membership::{Membership, MembershipAction, MembershipMessage, MembershipSettings, Tellings};
use staircross_cluster::{Member, MemberState};
use staircross_types::{BootTime, NodeId, ZoneName};
use staircross_wire::frame::{decode, encode};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Members told in one datagram, so that it is never cut on its way.
const MEMBERS_PER_DATAGRAM: usize = 6;
/// Longest datagram that is read.
const MAX_DATAGRAM: usize = 2048;
/// How long the largest fleet seen counts.
const PEAK_LIFE: Duration = Duration::from_secs(30);
/// Fleet assumed at the start, until it has been seen.
const ASSUMED_FLEET: usize = 8;
/// Age at which the directory is made anew even if no member has changed: loads have.
const DIRECTORY_LIFE: Duration = Duration::from_secs(1);
/// Part of the slack for extra sends that serving nodes share; reserves share the rest.
const SERVING_SLACK: f64 = 0.8;
/// How long this node lets its own watch tell what a peer knows already.
const BEHIND_PATIENCE: Duration = Duration::from_millis(400);
/// Peers that are told news at once.
const PUSH_COUNT: usize = 12;

/// What one node knows, told with every datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Version of its configuration.
    #[serde(rename = "v")]
    pub version: u64,
    /// Newest revision of a searcher's entry.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Busy share of the process, in percent.
    #[serde(rename = "l", default)]
    pub load: u8,
    /// Time since the store last answered the sender, in milliseconds, if it reads the store.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub store_age_ms: Option<u32>,
}

impl Announcement {
    /// Whether `other` knows something that this one doesn't.
    pub fn is_behind(&self, other: &Announcement) -> bool {
        other.version > self.version || other.revision > self.revision
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct PeerDatagram {
    #[serde(rename = "f")]
    from: NodeId,
    #[serde(rename = "t")]
    to: Option<NodeId>,
    #[serde(rename = "a")]
    announcement: Announcement,
    /// None when only the announcement is told.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    message: Option<MembershipMessage>,
}

/// What changed in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// A member's record changed.
    Member {
        /// The member.
        member: Box<Member>,
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

/// A count's largest value seen lately.
#[derive(Clone, Copy, Debug)]
struct Peak {
    count: usize,
    at: BootTime,
}

impl Peak {
    fn new(count: usize, now: BootTime) -> Self {
        Peak { count, at: now }
    }

    fn note(&mut self, now: BootTime, count: usize) {
        if count >= self.count || now.since(self.at) >= PEAK_LIFE {
            *self = Peak::new(count, now);
        }
    }
}

/// How many nodes there are, and what this one may spend of what they share.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetShape {
    /// Nodes that serve callers, by zone; this node counts.
    pub nodes_by_zone: HashMap<Arc<str>, usize>,
    /// Most nodes that served lately.
    pub serving: usize,
    /// This node's part of the slack for extra sends, 0 to 1.
    pub slack_part: f64,
}

/// The fleet as this node sees it.
pub struct Fleet {
    node: NodeId,
    membership: Membership,
    socket: UdpSocket,
    random: ChaCha8Rng,
    own: Announcement,
    announced: HashMap<NodeId, Announcement>,
    behind_since: Option<BootTime>,
    directory: Directory,
    /// When the directory was made; `None` when it must be made anew.
    directory_at: Option<BootTime>,
    /// What the searcher of a shard with the lowest bound accepts from all nodes.
    connections: Option<u32>,
    live_peak: Peak,
    serving_peak: Peak,
    /// When the store last answered this node, and a reader of the zone as far as it was heard.
    store_contact: Option<BootTime>,
    sign: Option<BootTime>,
    /// Counters for metrics.
    pub counters: FleetCounters,
}

/// Who this node is and where it is reached.
#[derive(Clone, Debug)]
pub struct FleetIdentity {
    /// This run.
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
            socket,
            random: ChaCha8Rng::seed_from_u64(rand::rng().random()),
            own: Announcement::default(),
            announced: HashMap::new(),
            behind_since: None,
            directory: Directory::default(),
            directory_at: None,
            connections: None,
            live_peak: Peak::new(ASSUMED_FLEET, now),
            serving_peak: Peak::new(ASSUMED_FLEET, now),
            store_contact: None,
            sign: None,
            counters: FleetCounters::default(),
        }
    }

    /// The socket, to be registered.
    pub fn socket_mut(&mut self) -> &mut UdpSocket {
        &mut self.socket
    }

    /// Reads all datagrams that wait.
    pub fn on_readable(&mut self, now: BootTime, events: &mut Vec<FleetEvent>) {
        let mut buffer = [0_u8; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => self.take(now, &buffer[..length], from, events),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // A peer that refused an earlier datagram; the next may be another's.
                Err(_) => {}
            }
        }
    }

    fn take(&mut self, now: BootTime, bytes: &[u8], from: SocketAddr, events: &mut Vec<FleetEvent>) {
        let Ok(datagram) = decode::<PeerDatagram>(bytes) else {
            self.counters.unreadable += 1;
            return;
        };
        if datagram.to.is_some_and(|to| to != self.node) || datagram.from == self.node {
            return;
        }
        let before = self.announced.insert(datagram.from, datagram.announcement);
        let was_pressed = before.is_some_and(|known| is_pressed(known.load));
        if was_pressed != is_pressed(datagram.announcement.load) {
            self.directory_at = None;
        }
        self.take_sign(now, datagram.from, &datagram.announcement);
        let Some(message) = datagram.message else {
            return;
        };
        let mut actions = Vec::new();
        self.membership.on_message(now, datagram.from, from, message, &mut actions);
        self.carry_out(actions, events);
    }

    /// A reader of the zone says when the store last answered it.
    fn take_sign(&mut self, now: BootTime, from: NodeId, announcement: &Announcement) {
        let own_zone = &self.membership.own().zone;
        let is_near = self.membership.get(from).is_some_and(|member| member.zone == *own_zone);
        let Some(age) = announcement.store_age_ms.filter(|_| is_near) else {
            return;
        };
        let at = now - Duration::from_millis(u64::from(age));
        self.sign = Some(self.sign.map_or(at, |known| known.max(at)));
    }

    /// When the store last answered a reader of the zone, as far as it was heard here.
    pub fn newest_sign(&self) -> Option<BootTime> {
        self.sign
    }

    /// Whether this node is one of the readers of its zone.
    pub fn is_designated_reader(&self) -> bool {
        self.zone_mates().take(READERS_PER_ZONE).any(|member| member.node == self.node)
    }

    /// Live members of the zone that aren't its readers.
    fn followers(&self) -> impl Iterator<Item = &Member> {
        self.zone_mates().skip(READERS_PER_ZONE)
    }

    /// Whether the zone has members that follow its readers.
    pub fn has_followers(&self) -> bool {
        self.followers().next().is_some()
    }

    /// Live members of the zone in the order of their ids, this node included.
    fn zone_mates(&self) -> impl Iterator<Item = &Member> {
        let own = self.membership.own();
        self.membership
            .members()
            .values()
            .filter(|member| member.state == MemberState::Alive && member.zone == own.zone)
    }

    /// Notes when the store last answered this node; `None` when it doesn't read.
    pub fn set_store_contact(&mut self, at: Option<BootTime>) {
        self.store_contact = at;
    }

    /// Tells the zone's followers at once what this node, a reader, knows.
    pub fn tell_followers(&mut self, now: BootTime) {
        self.refresh_own_sign(now);
        let followers: Vec<(NodeId, SocketAddr)> =
            self.followers().map(|member| (member.node, member.peer_address)).collect();
        for (node, address) in followers {
            self.send_datagram(Some(node), address, None);
        }
    }

    fn refresh_own_sign(&mut self, now: BootTime) {
        let age = self.store_contact.map(|at| now.since(at).as_millis());
        self.own.store_age_ms = age.and_then(|millis| u32::try_from(millis).ok());
    }

    /// Lets time pass.
    pub fn on_tick(&mut self, now: BootTime, events: &mut Vec<FleetEvent>) {
        self.refresh_own_sign(now);
        let mut actions = Vec::new();
        self.membership.on_tick(now, &mut self.random, &mut actions);
        // Each moment that a dead node stays in somebody's directory costs callers.
        if actions.iter().any(|action| matches!(action, MembershipAction::Changed(_))) {
            self.push_and_carry_out(actions, events);
        } else {
            self.carry_out(actions, events);
        }
        self.announced.retain(|node, _| !self.membership.is_gone(*node));
        self.live_peak.note(now, self.live().count());
    }

    /// Notes what the searcher of a shard with the lowest bound accepts from all nodes.
    pub fn set_connections(&mut self, connections: Option<u32>) {
        if self.connections != connections {
            self.connections = connections;
            self.directory_at = None;
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

    /// Notes what this node knows now. Returns whether that is more than before.
    pub fn set_knowledge(&mut self, version: u64, revision: u64) -> bool {
        let before = (self.own.version, self.own.revision);
        (self.own.version, self.own.revision) = (version, revision);
        before != (version, revision)
    }

    /// Notes how busy this node is, in percent. A change that matters to callers is told at once.
    pub fn set_load(&mut self, percent: u8, events: &mut Vec<FleetEvent>) {
        let matters = is_pressed(percent) != is_pressed(self.own.load);
        self.own.load = percent;
        if matters {
            self.push_and_carry_out(Vec::new(), events);
        }
    }

    /// A peer that knows more, once this node has been behind for a while.
    /// A follower doesn't wait.
    pub fn better_informed(&mut self, now: BootTime, role: StoreRole) -> Option<SocketAddr> {
        let own_zone = self.membership.own().zone.clone();
        let ahead = self
            .live()
            .filter(|member| self.announced.get(&member.node).is_some_and(|known| self.own.is_behind(known)));
        let nearest = ahead.min_by_key(|member| member.zone != own_zone).map(|member| member.peer_address);
        let Some(address) = nearest else {
            self.behind_since = None;
            return None;
        };
        let knows_nothing = self.own.version == 0;
        let since = *self.behind_since.get_or_insert(now);
        let patience = match role {
            StoreRole::Reader => BEHIND_PATIENCE,
            StoreRole::Follower => Duration::ZERO,
        };
        (knows_nothing || now.since(since) >= patience).then_some(address)
    }

    /// Whether a live peer has a newer configuration than this node.
    pub fn is_version_behind(&self) -> bool {
        self.announced.values().any(|known| known.version > self.own.version)
    }

    /// A question to a peer was answered or failed; wait again before the next.
    pub fn note_asked(&mut self, now: BootTime) {
        self.behind_since = Some(now);
    }

    /// Tells peers the present news at once, after what `actions` ask for.
    fn push_and_carry_out(&mut self, mut actions: Vec<MembershipAction>, events: &mut Vec<FleetEvent>) {
        self.membership.push_news(&mut self.random, PUSH_COUNT, &mut actions);
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

    fn send(&mut self, to: Option<NodeId>, address: SocketAddr, message: MembershipMessage) {
        match message {
            MembershipMessage::Everyone { members } => {
                for members in members.chunks(MEMBERS_PER_DATAGRAM) {
                    self.send_one(to, address, MembershipMessage::Everyone { members: members.to_vec() });
                }
            }
            other => self.send_one(to, address, other),
        }
    }

    fn send_one(&mut self, to: Option<NodeId>, address: SocketAddr, message: MembershipMessage) {
        self.send_datagram(to, address, Some(message));
    }

    fn send_datagram(&mut self, to: Option<NodeId>, address: SocketAddr, message: Option<MembershipMessage>) {
        let datagram = PeerDatagram { from: self.node, to, announcement: self.own, message };
        let Ok(bytes) = encode(&datagram) else {
            self.counters.unreadable += 1;
            return;
        };
        self.counters.datagrams += 1;
        self.counters.bytes += bytes.len() as u64;
        // Datagrams may be lost anywhere; the protocol repeats what matters.
        let _may_be_lost = self.socket.send_to(&bytes, address);
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

    /// Addresses for a caller. Suspects only if there is nobody else.
    pub fn addresses_for(&mut self, now: BootTime, query: &DirectoryQuery) -> Vec<SocketAddr> {
        let own_zone = || self.membership.own().zone.0.clone();
        let query = DirectoryQuery { zone: query.zone.clone().or_else(|| Some(own_zone())), ..query.clone() };
        self.refresh_directory(now);
        self.directory.addresses_for(&query, &mut self.random)
    }

    /// How many nodes there are, and what this one may spend of what they share.
    pub fn shape(&mut self, now: BootTime) -> FleetShape {
        self.refresh_directory(now);
        let counts = self.directory.serving_by_zone();
        let mut nodes_by_zone: HashMap<Arc<str>, usize> =
            counts.map(|(zone, count)| (Arc::from(zone), count)).collect();
        let is_serving = self.is_serving();
        if !is_serving {
            let own_zone = self.membership.own().zone.0.as_str();
            *nodes_by_zone.entry(Arc::from(own_zone)).or_default() += 1;
        }
        self.serving_peak.note(now, nodes_by_zone.values().sum());
        let slack_part = match (self.directory.reserve_count() > 0, is_serving) {
            (false, _) => 1.0 / self.live_peak.count.max(1) as f64,
            (true, true) => SERVING_SLACK / self.serving_peak.count.max(1) as f64,
            (true, false) => (1.0 - SERVING_SLACK) / self.live_peak.count.max(1) as f64,
        };
        FleetShape { nodes_by_zone, serving: self.serving_peak.count, slack_part }
    }

    /// Whether callers are sent to this node.
    pub fn is_serving(&self) -> bool {
        self.directory.is_serving(self.node)
    }

    /// Whether members or their loads may have changed since the directory was made.
    pub fn is_directory_stale(&self, now: BootTime) -> bool {
        self.directory_at.is_none_or(|made| now.since(made) >= DIRECTORY_LIFE)
    }

    fn refresh_directory(&mut self, now: BootTime) {
        if !self.is_directory_stale(now) {
            return;
        }
        let mut candidates = self.candidates(MemberState::Alive);
        if candidates.is_empty() {
            candidates = self.candidates(MemberState::Suspect);
        }
        self.directory = Directory::new(candidates, self.connections);
        self.directory_at = Some(now);
    }

    fn candidates(&self, state: MemberState) -> Vec<Candidate> {
        let ready = self.live().filter(|member| member.state == state && member.is_ready);
        let candidate = |member: &Member| Candidate {
            node: member.node,
            addr: member.caller_address,
            zone: member.zone.0.clone(),
            region: member.region.clone(),
            load: self.load_of(member.node),
        };
        ready.map(candidate).collect()
    }
}

/// Callers lose a request with each second that a dead node stays in the directory, and only lose a
/// node for a moment when it is suspected wrongly.
fn membership_settings() -> MembershipSettings {
    MembershipSettings {
        probe_every: Duration::from_millis(200),
        direct_timeout: Duration::from_millis(100),
        probe_timeout: Duration::from_millis(250),
        suspicion: Duration::from_millis(2500),
        pause_gap: Duration::from_millis(400),
        helpers: 2,
        news_per_message: 5,
        tellings: Tellings { per_doubling: 1, besides: 3 },
        asks_one_seed: true,
        forget_after: Duration::from_secs(60),
    }
}
