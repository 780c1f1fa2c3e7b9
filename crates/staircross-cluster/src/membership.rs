//! Who is in the fleet.
//!
//! Each node probes one other at a time; one that doesn't answer is probed through others, then
//! suspected, then, if it doesn't refute in time, declared dead. News rides on probes. Inputs:
//! probes and their answers, gossip, time. Invariants: only a node itself clears a suspicion of
//! it; a node that was paused doesn't judge others by answers it slept through.

mod reconcile;
mod suspicion;

use crate::member::{Member, MemberState};
use crate::ownership::rendezvous_weight;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use suspicion::Suspicion;

/// Times and sizes of the membership protocol.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Time between probes sent by one node.
    pub probe_every: Duration,
    /// Time after which an unanswered probe is tried through others.
    pub direct_timeout: Duration,
    /// Time after which a probe has failed.
    pub probe_timeout: Duration,
    /// Time a suspect has to refute.
    pub suspicion: Duration,
    /// A gap between ticks longer than this was a pause of this process.
    pub pause_gap: Duration,
    /// Others that are asked to probe on one's behalf.
    pub helpers: usize,
    /// News items on one message.
    pub news_per_message: usize,
    /// How often each item is told: so many times the logarithm of the fleet's size, and so many more.
    pub tellings: Tellings,
    /// Whether a joiner asks one seed at a time instead of all: each answers with the whole fleet.
    pub asks_one_seed: bool,
    /// Time after which a gone member is forgotten.
    pub forget_after: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            probe_every: Duration::from_millis(500),
            direct_timeout: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(600),
            // A pause of a second must never evict: the probe timeout and this are well above it.
            suspicion: Duration::from_millis(2500),
            pause_gap: Duration::from_millis(400),
            helpers: 3,
            news_per_message: 6,
            tellings: Tellings { per_doubling: 4, besides: 4 },
            asks_one_seed: false,
            forget_after: Duration::from_secs(120),
        }
    }
}

/// How often one node tells one item of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tellings {
    /// For each doubling of the fleet's size.
    pub per_doubling: u32,
    /// Besides.
    pub besides: u32,
}

impl Tellings {
    fn for_fleet(self, members: usize) -> u32 {
        self.per_doubling * (members as u32 + 1).ilog2() + self.besides
    }
}

/// Probes and gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Are you there? News besides.
    #[serde(rename = "p")]
    Probe {
        #[serde(rename = "n")]
        number: u64,
        #[serde(rename = "w")]
        news: Vec<Member>,
    },
    /// I am.
    #[serde(rename = "q")]
    ProbeAnswer {
        #[serde(rename = "n")]
        number: u64,
        #[serde(rename = "w")]
        news: Vec<Member>,
        /// Which of the probe's news were known already: a bit for each, the first one lowest.
        #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
        known: u32,
    },
    /// Please probe a third on my behalf.
    ProbeFor { number: u64, target: NodeId, target_address: SocketAddr },
    /// I have come up; tell me of everyone.
    Join { member: Member },
    /// Everyone I know of.
    Everyone { members: Vec<Member> },
    /// Tell me everyone if that isn't what I know.
    Compare { fingerprint: u64 },
}

/// What the membership wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message.
    Send { to: Option<NodeId>, address: SocketAddr, message: MembershipMessage },
    /// A member's record changed.
    Changed(NodeId),
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

struct OutstandingProbe {
    number: u64,
    target: NodeId,
    /// Whom its news was about.
    told: Vec<NodeId>,
    sent_at: BootTime,
    asked_helpers: bool,
}

struct HelpedProbe {
    number: u64,
    for_number: u64,
    for_node: NodeId,
    for_address: SocketAddr,
    sent_at: BootTime,
}

struct Rumor {
    node: NodeId,
    times_told: u32,
}

/// The membership logic of one node.
pub struct Membership {
    settings: MembershipSettings,
    me: NodeId,
    members: BTreeMap<NodeId, Member>,
    suspicions: BTreeMap<NodeId, Suspicion>,
    gone_at: BTreeMap<NodeId, BootTime>,
    rumors: Vec<Rumor>,
    probe: Option<OutstandingProbe>,
    helped: Vec<HelpedProbe>,
    round: Vec<NodeId>,
    next_probe: BootTime,
    next_number: u64,
    last_tick: Option<BootTime>,
    seeds: Vec<SocketAddr>,
    next_seed_contact: BootTime,
    next_dead_contact: BootTime,
    next_compare: BootTime,
    /// Deaths that this node itself declared, for metrics.
    pub declared_dead: u64,
}

/// Members of each other region that are probed in a round: a part of those of the own region, but some.
const FAR_PART: usize = 8;
const LEAST_FAR: usize = 3;
/// Time between contacts to seed addresses at which no member is known.
const SEED_CONTACT_EVERY: Duration = Duration::from_secs(1);

impl Membership {
    /// A fleet of one.
    pub fn new(settings: MembershipSettings, me: Member, seeds: Vec<SocketAddr>) -> Self {
        let node = me.node;
        let own_start = Rumor { node, times_told: 0 };
        Membership {
            settings,
            me: node,
            members: BTreeMap::from([(node, me)]),
            suspicions: BTreeMap::new(),
            gone_at: BTreeMap::new(),
            rumors: vec![own_start],
            probe: None,
            helped: Vec::new(),
            round: Vec::new(),
            next_probe: BootTime::default(),
            next_number: 1,
            last_tick: None,
            seeds,
            next_seed_contact: BootTime::default(),
            next_dead_contact: BootTime::default(),
            next_compare: BootTime::default(),
            declared_dead: 0,
        }
    }

    /// All records, gone ones included.
    pub fn members(&self) -> &BTreeMap<NodeId, Member> {
        &self.members
    }

    /// One record.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// This node's own record.
    pub fn own(&self) -> &Member {
        match self.members.get(&self.me) {
            Some(own) => own,
            None => unreachable!("a node always knows itself"),
        }
    }

    /// Members that aren't gone, besides this node.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.node != self.me && !member.is_gone())
    }

    /// Whether the run is known to be gone.
    pub fn is_gone(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(Member::is_gone)
    }

    /// Announces that this node is in a planned stop.
    pub fn leave(&mut self, state: MemberState, actions: &mut Vec<MembershipAction>) {
        let Some(own) = self.members.get_mut(&self.me) else {
            return;
        };
        own.state = state;
        own.version += 1;
        self.spread(self.me);
        actions.push(MembershipAction::Changed(self.me));
    }

    /// Says whether callers may be sent to this node.
    pub fn set_ready(&mut self, is_ready: bool, actions: &mut Vec<MembershipAction>) {
        let Some(own) = self.members.get_mut(&self.me).filter(|own| own.is_ready != is_ready) else {
            return;
        };
        own.is_ready = is_ready;
        own.version += 1;
        self.spread(self.me);
        actions.push(MembershipAction::Changed(self.me));
    }

    /// Tells some members the present news at once, without waiting for the next probe.
    pub fn push_news(&mut self, random: &mut ChaCha8Rng, count: usize, actions: &mut Vec<MembershipAction>) {
        let others: Vec<(NodeId, SocketAddr)> =
            self.others().map(|member| (member.node, member.peer_address)).collect();
        for (node, address) in others.choose_multiple(random, count) {
            let number = self.take_number();
            let news = self.take_news();
            let message = MembershipMessage::Probe { number, news };
            actions.push(MembershipAction::Send { to: Some(*node), address: *address, message });
        }
    }

    /// Takes a message from a peer.
    pub fn on_message(
        &mut self,
        now: BootTime,
        from: NodeId,
        from_address: SocketAddr,
        message: MembershipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        match message {
            MembershipMessage::Probe { number, news } => {
                let known = self.take_news_of_probe(now, news, actions);
                let mut news = self.take_news();
                // Whoever is wrongly thought gone must hear of it to refute it.
                let slandered = self.members.get(&from).filter(|member| member.state >= MemberState::Suspect);
                news.extend(slandered.cloned());
                let message = MembershipMessage::ProbeAnswer { number, news, known };
                actions.push(MembershipAction::Send { to: Some(from), address: from_address, message });
            }
            MembershipMessage::ProbeAnswer { number, news, known } => {
                for record in news {
                    self.take(now, record, actions);
                }
                self.on_answer(number, known, actions);
            }
            MembershipMessage::ProbeFor { number, target, target_address } => {
                self.help(now, number, from, from_address, target, target_address, actions);
            }
            MembershipMessage::Join { member } => {
                self.take(now, member, actions);
                let members = self.members.values().cloned().collect();
                let message = MembershipMessage::Everyone { members };
                actions.push(MembershipAction::Send { to: Some(from), address: from_address, message });
            }
            MembershipMessage::Everyone { members } => self.take_listing(now, members, actions),
            MembershipMessage::Compare { fingerprint } => self.compare(from, from_address, fingerprint, actions),
        }
    }

    /// Lets time pass.
    pub fn on_tick(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<MembershipAction>) {
        let was_paused = self.last_tick.is_some_and(|last| now.since(last) > self.settings.pause_gap);
        self.last_tick = Some(now);
        if was_paused {
            self.excuse_all(now);
        }
        self.check_probe(now, random, actions);
        self.remind_suspects(now, actions);
        self.expire_suspects(now, actions);
        self.forget_gone(now);
        self.contact_seeds(now, random, actions);
        self.contact_dead(now, random, actions);
        self.ask_to_compare(now, random, actions);
        self.helped.retain(|helped| now.since(helped.sent_at) < self.settings.probe_timeout);
        if now >= self.next_probe && self.probe.is_none() {
            self.start_probe(now, random, actions);
        }
    }

    /// After a pause of this process, silence of others proves nothing.
    fn excuse_all(&mut self, now: BootTime) {
        self.probe = None;
        self.suspicions.values_mut().for_each(|suspicion| suspicion.since = now);
    }

    fn start_probe(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<MembershipAction>) {
        self.next_probe = now + self.settings.probe_every;
        let Some(target) = self.next_target(random) else {
            return;
        };
        let number = self.take_number();
        let news = self.take_news();
        let told = news.iter().map(|member| member.node).collect();
        let message = MembershipMessage::Probe { number, news };
        actions.push(MembershipAction::Send { to: Some(target.node), address: target.peer_address, message });
        self.probe = Some(OutstandingProbe { number, target: target.node, told, sent_at: now, asked_helpers: false });
    }

    /// Goes through a round in random order before beginning the next, so each is probed in bounded time.
    fn next_target(&mut self, random: &mut ChaCha8Rng) -> Option<Member> {
        loop {
            if self.round.is_empty() {
                self.round = self.new_round(random);
                if self.round.is_empty() {
                    return None;
                }
            }
            let node = self.round.pop()?;
            if let Some(member) = self.members.get(&node).filter(|member| !member.is_gone()) {
                return Some(member.clone());
            }
        }
    }

    /// All others of the region, and some of each other region: bytes between regions are dear, and a
    /// member is watched well by those around it. Of a small region all are in every round.
    fn new_round(&self, random: &mut ChaCha8Rng) -> Vec<NodeId> {
        let mut by_region: BTreeMap<&str, Vec<NodeId>> = BTreeMap::new();
        for member in self.others() {
            by_region.entry(&member.region).or_default().push(member.node);
        }
        let mut round = by_region.remove(self.own().region.as_str()).unwrap_or_default();
        let far_count = LEAST_FAR.max(round.len() / FAR_PART);
        for far in by_region.values() {
            round.extend(far.choose_multiple(random, far_count));
        }
        shuffle(&mut round, random);
        round
    }

    fn check_probe(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<MembershipAction>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let age = now.since(probe.sent_at);
        let target = probe.target;
        if age >= self.settings.probe_timeout {
            self.probe = None;
            self.suspect(now, target, actions);
            return;
        }
        if age >= self.settings.direct_timeout && !probe.asked_helpers {
            probe.asked_helpers = true;
            let number = probe.number;
            self.ask_helpers(target, number, random, actions);
        }
    }

    fn ask_helpers(
        &mut self,
        target: NodeId,
        number: u64,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(target_address) = self.members.get(&target).map(|member| member.peer_address) else {
            return;
        };
        let candidates: Vec<(NodeId, SocketAddr)> = self
            .others()
            .filter(|member| member.node != target)
            .map(|member| (member.node, member.peer_address))
            .collect();
        for (node, address) in candidates.choose_multiple(random, self.settings.helpers) {
            let message = MembershipMessage::ProbeFor { number, target, target_address };
            actions.push(MembershipAction::Send { to: Some(*node), address: *address, message });
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn help(
        &mut self,
        now: BootTime,
        for_number: u64,
        for_node: NodeId,
        for_address: SocketAddr,
        target: NodeId,
        target_address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        let number = self.take_number();
        self.helped.push(HelpedProbe { number, for_number, for_node, for_address, sent_at: now });
        let news = self.take_news();
        let message = MembershipMessage::Probe { number, news };
        actions.push(MembershipAction::Send { to: Some(target), address: target_address, message });
    }

    fn on_answer(&mut self, number: u64, known: u32, actions: &mut Vec<MembershipAction>) {
        if let Some(probe) = self.probe.take_if(|probe| probe.number == number) {
            self.note_told_in_vain(&probe.told, known);
            return;
        }
        let Some(index) = self.helped.iter().position(|helped| helped.number == number) else {
            return;
        };
        let helped = self.helped.swap_remove(index);
        let news = self.take_news();
        let message = MembershipMessage::ProbeAnswer { number: helped.for_number, news, known: 0 };
        actions.push(MembershipAction::Send { to: Some(helped.for_node), address: helped.for_address, message });
    }

    /// Joins through seeds, and keeps telling seeds that have restarted that there is a fleet.
    fn contact_seeds(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<MembershipAction>) {
        if now < self.next_seed_contact {
            return;
        }
        self.next_seed_contact = now + SEED_CONTACT_EVERY;
        let known =
            |seed: &SocketAddr| self.members.values().any(|member| !member.is_gone() && member.peer_address == *seed);
        let own_record = self.own().clone();
        let mut unknown: Vec<SocketAddr> = self.seeds.iter().copied().filter(|seed| !known(seed)).collect();
        if self.settings.asks_one_seed {
            shuffle(&mut unknown, random);
            unknown.truncate(1);
        }
        for seed in unknown {
            let message = MembershipMessage::Join { member: own_record.clone() };
            actions.push(MembershipAction::Send { to: None, address: seed, message });
        }
    }

    /// Merges one record and passes it on if it was news. Returns whether it was.
    fn take(&mut self, now: BootTime, record: Member, actions: &mut Vec<MembershipAction>) -> bool {
        let node = record.node;
        if node == self.me {
            return self.refute(record, actions);
        }
        let is_news = match self.members.get(&node) {
            Some(known) => known.is_superseded_by(&record),
            // The end of a run never met, or forgotten, is no news.
            None => !record.is_gone(),
        };
        if !is_news {
            return false;
        }
        match record.state {
            MemberState::Suspect => {
                let suspicion = Suspicion { since: now, is_first_hand: false, next_reminder: now };
                self.suspicions.insert(node, suspicion);
            }
            MemberState::Dead | MemberState::Left => {
                self.suspicions.remove(&node);
                self.gone_at.insert(node, now);
            }
            MemberState::Alive | MemberState::Leaving => {
                self.suspicions.remove(&node);
                self.gone_at.remove(&node);
            }
        }
        self.members.insert(node, record);
        self.spread(node);
        actions.push(MembershipAction::Changed(node));
        true
    }

    fn spread(&mut self, node: NodeId) {
        self.rumors.retain(|rumor| rumor.node != node);
        self.rumors.push(Rumor { node, times_told: 0 });
    }

    /// The news told least often; each is told a few times the logarithm of the fleet's size.
    fn take_news(&mut self) -> Vec<Member> {
        let most_tellings = self.settings.tellings.for_fleet(self.members.len());
        self.rumors.sort_by_key(|rumor| rumor.times_told);
        let mut news = Vec::new();
        for rumor in self.rumors.iter_mut().take(self.settings.news_per_message) {
            rumor.times_told += 1;
            if let Some(member) = self.members.get(&rumor.node) {
                news.push(member.clone());
            }
        }
        self.rumors.retain(|rumor| rumor.times_told < most_tellings);
        news
    }

    fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Live members ranked for a key by rendezvous hashing, those of other zones than `zone` first.
    pub fn ranked_for(&self, key: &[u8], zone: Option<&staircross_types::ZoneName>) -> Vec<&Member> {
        let mut ranked: Vec<&Member> = self.members.values().filter(|member| member.takes_work()).collect();
        ranked.sort_by_cached_key(|member| {
            let same_zone = zone == Some(&member.zone);
            (same_zone, u64::MAX - rendezvous_weight(key, 0, member.node))
        });
        ranked
    }
}

fn shuffle<T>(items: &mut [T], random: &mut ChaCha8Rng) {
    for end in (1..items.len()).rev() {
        items.swap(end, random.random_range(0..=end));
    }
}
