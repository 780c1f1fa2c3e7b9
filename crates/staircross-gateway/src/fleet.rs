//! Members, announcements, and which nodes callers are sent to.
//!
//! Every datagram carries the sender's configuration version and newest store revision. So a node
//! that the store doesn't serve sees that it is behind, and asks a peer for what it lacks.

use crate::dialect::DirectoryQuery;
use crate::load::is_pressed;
use hashbrown::HashMap;
use mio::net::UdpSocket;
use rand::Rng;
use rand::seq::SliceRandom;
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
/// Addresses in one answer of the directory.
const MAX_ADDRESSES: usize = 64;
/// How long this node lets its own watch tell what a peer knows already.
const BEHIND_PATIENCE: Duration = Duration::from_millis(400);
/// Farther nodes that stand in for each near one that is pressed.
const FARTHER_PER_PRESSED: usize = 2;
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
    #[serde(rename = "m")]
    message: MembershipMessage,
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

/// The fleet as this node sees it.
pub struct Fleet {
    node: NodeId,
    membership: Membership,
    socket: UdpSocket,
    random: ChaCha8Rng,
    own: Announcement,
    announced: HashMap<NodeId, Announcement>,
    behind_since: Option<BootTime>,
    peak: usize,
    peak_at: BootTime,
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
            peak: ASSUMED_FLEET,
            peak_at: now,
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
        self.announced.insert(datagram.from, datagram.announcement);
        let mut actions = Vec::new();
        self.membership.on_message(now, datagram.from, from, datagram.message, &mut actions);
        self.carry_out(actions, events);
    }

    /// Lets time pass.
    pub fn on_tick(&mut self, now: BootTime, events: &mut Vec<FleetEvent>) {
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
        if live >= self.peak || now.since(self.peak_at) >= PEAK_LIFE {
            self.peak = live;
            self.peak_at = now;
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

    /// Notes what this node knows now.
    pub fn set_knowledge(&mut self, version: u64, revision: u64) {
        self.own.version = version;
        self.own.revision = revision;
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
    pub fn better_informed(&mut self, now: BootTime) -> Option<SocketAddr> {
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
        (knows_nothing || now.since(since) >= BEHIND_PATIENCE).then_some(address)
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

    /// Live nodes by zone, and the largest fleet seen lately.
    pub fn sizes(&self) -> (HashMap<Arc<str>, usize>, usize) {
        let mut by_zone: HashMap<Arc<str>, usize> = HashMap::new();
        for member in self.live().filter(|member| member.takes_work()) {
            *by_zone.entry(Arc::from(member.zone.0.as_str())).or_default() += 1;
        }
        (by_zone, self.peak)
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

    /// Addresses for a caller: ready nodes of its zone, else of its region, else all. Suspects only if
    /// there is nobody else.
    pub fn addresses_for(&mut self, query: &DirectoryQuery) -> Vec<SocketAddr> {
        let own_zone = self.membership.own().zone.0.clone();
        let zone = query.zone.clone().unwrap_or(own_zone);
        let rank = |member: &Member| match () {
            () if member.zone.0 == zone => 0_u8,
            () if query.region.as_ref().is_some_and(|region| *region == member.region) => 1,
            () => 2,
        };
        let choose = |state: MemberState| {
            let ready = self.live().filter(|member| member.state == state && member.is_ready);
            let candidate = |member: &Member| Candidate {
                address: member.caller_address,
                rank: rank(member),
                is_pressed: is_pressed(self.load_of(member.node)),
            };
            ready.map(candidate).collect::<Vec<_>>()
        };
        let mut candidates = choose(MemberState::Alive);
        if candidates.is_empty() {
            candidates = choose(MemberState::Suspect);
        }
        let mut addresses = nearest_with_room(&candidates, &mut self.random);
        addresses.sort_unstable();
        addresses.dedup();
        if addresses.len() > MAX_ADDRESSES {
            addresses.shuffle(&mut self.random);
            addresses.truncate(MAX_ADDRESSES);
        }
        addresses
    }
}

/// A node that callers may be sent to.
struct Candidate {
    address: SocketAddr,
    /// Lower is nearer.
    rank: u8,
    is_pressed: bool,
}

/// The nearest nodes. Pressed ones are left out where others are as near; where all are pressed, as
/// many of the farther ones with room take a part of their callers.
fn nearest_with_room(candidates: &[Candidate], random: &mut ChaCha8Rng) -> Vec<SocketAddr> {
    let Some(nearest) = candidates.iter().map(|candidate| candidate.rank).min() else {
        return Vec::new();
    };
    let near: Vec<&Candidate> = candidates.iter().filter(|candidate| candidate.rank == nearest).collect();
    let with_room: Vec<SocketAddr> =
        near.iter().filter(|candidate| !candidate.is_pressed).map(|candidate| candidate.address).collect();
    if !with_room.is_empty() {
        return with_room;
    }
    let mut addresses: Vec<SocketAddr> = near.iter().map(|candidate| candidate.address).collect();
    let mut farther: Vec<SocketAddr> = candidates
        .iter()
        .filter(|candidate| candidate.rank != nearest && !candidate.is_pressed)
        .map(|candidate| candidate.address)
        .collect();
    farther.shuffle(random);
    farther.truncate(addresses.len() * FARTHER_PER_PRESSED);
    addresses.extend(farther);
    addresses
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
