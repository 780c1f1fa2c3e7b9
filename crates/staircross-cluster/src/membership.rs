//! Membership of the fleet: failure detection and gossip in the manner of SWIM.
//!
//! Each node probes one member at a time. A member that doesn't answer is probed through other members, then
//! suspected, and declared dead if it doesn't refute the suspicion in time. Membership updates are piggybacked
//! on probes and their answers.
//!
//! A node that learns of another incarnation at its own address knows that it is gone, and tells the others at once.
//!
//! Invariants: only the suspected node itself clears a suspicion; a node that was paused doesn't suspect
//! members whose answers it may have missed during the pause.
//!
//! In this module, a *local* member is in the same region as this node and a *remote* member is in another one.

mod message;
mod probing;
mod reconcile;
mod regions;
mod suspicion;

pub use message::{IdSpan, MembershipAction, MembershipMessage, MembershipSettings, Retransmits};
pub use reconcile::Fingerprints;

use crate::member::{Member, MemberState};
use crate::ownership::rendezvous_weight;
use probing::{IndirectProbe, OutstandingProbe};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use regions::RELAY_PUSH_FANOUT;
use staircross_types::{BootTime, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use suspicion::Suspicion;

/// A member whose record this node still sends with its probes and answers.
struct PendingUpdate {
    node: NodeId,
    /// Number of times that the record was sent to local members.
    times_sent_locally: u32,
    /// Number of times that the record was sent to remote members.
    times_sent_remotely: u32,
}

impl PendingUpdate {
    fn new(node: NodeId) -> Self {
        PendingUpdate { node, times_sent_locally: 0, times_sent_remotely: 0 }
    }
}

/// The membership logic of one node.
pub struct Membership {
    settings: MembershipSettings,
    me: NodeId,
    members: BTreeMap<NodeId, Member>,
    suspicions: BTreeMap<NodeId, Suspicion>,
    /// Time at which each dead or left member became so, for as long as its record is kept.
    gone_at: BTreeMap<NodeId, BootTime>,
    pending_updates: Vec<PendingUpdate>,
    probe: Option<OutstandingProbe>,
    indirect_probes: Vec<IndirectProbe>,
    /// Members that are still to be probed in the current round; the last one is probed next.
    round: Vec<NodeId>,
    next_probe: BootTime,
    /// Number of the probe sent last.
    last_probe_number: u64,
    last_tick: Option<BootTime>,
    seeds: Vec<SocketAddr>,
    next_seed_contact: BootTime,
    /// Time of the next message to seeds if this node still knows no member by then.
    next_join: BootTime,
    join_interval: Duration,
    next_dead_probe: BootTime,
    next_compare: BootTime,
    /// Time at which this node last received a member list with a new record.
    last_learned_at: Option<BootTime>,
    /// Whether the pending updates are sent to several members with the next tick.
    has_urgent_update: bool,
    /// Number of members that this node itself declared dead, for metrics.
    pub declared_dead: u64,
}

/// Number of members to which the death of this node's predecessor is sent at once; gossip informs the others.
const URGENT_FANOUT: usize = 8;
/// Time between messages to seed addresses at which no member is known.
const SEED_CONTACT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between the first two messages to seeds of a node that knows no member at all. It may have started a moment
/// before its seeds, so that its first message was lost. The interval doubles with each message, up to
/// [`SEED_CONTACT_INTERVAL`].
const FIRST_JOIN_INTERVAL: Duration = Duration::from_millis(150);

impl Membership {
    /// Creates a membership that knows only this node.
    pub fn new(settings: MembershipSettings, me: Member, seeds: Vec<SocketAddr>) -> Self {
        let node = me.node;
        let own_update = PendingUpdate::new(node);
        Membership {
            settings,
            me: node,
            members: BTreeMap::from([(node, me)]),
            suspicions: BTreeMap::new(),
            gone_at: BTreeMap::new(),
            pending_updates: vec![own_update],
            probe: None,
            indirect_probes: Vec::new(),
            round: Vec::new(),
            next_probe: BootTime::default(),
            last_probe_number: 1,
            last_tick: None,
            seeds,
            next_seed_contact: BootTime::default(),
            next_join: BootTime::default(),
            join_interval: FIRST_JOIN_INTERVAL,
            next_dead_probe: BootTime::default(),
            next_compare: BootTime::default(),
            last_learned_at: None,
            has_urgent_update: false,
            declared_dead: 0,
        }
    }

    /// Returns all member records, including this node's own and those of gone members.
    pub fn members(&self) -> &BTreeMap<NodeId, Member> {
        &self.members
    }

    /// Returns the record of one member, gone or not.
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

    /// Returns all members that aren't gone, except this node.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.node != self.me && !member.is_gone())
    }

    /// Returns whether the incarnation is known to be gone.
    pub fn is_gone(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(Member::is_gone)
    }

    /// Sets this node's own state to a state of a planned stop, and queues the change for gossip.
    pub fn leave(&mut self, state: MemberState, actions: &mut Vec<MembershipAction>) {
        let Some(own) = self.members.get_mut(&self.me) else {
            return;
        };
        own.state = state;
        own.version += 1;
        self.queue_update(self.me);
        actions.push(MembershipAction::Changed(self.me));
    }

    /// Sets whether callers may be directed to this node. A change is queued for gossip.
    pub fn set_ready(&mut self, is_ready: bool, actions: &mut Vec<MembershipAction>) {
        let Some(own) = self.members.get_mut(&self.me).filter(|own| own.is_ready != is_ready) else {
            return;
        };
        own.is_ready = is_ready;
        own.version += 1;
        self.queue_update(self.me);
        actions.push(MembershipAction::Changed(self.me));
    }

    /// Sends the pending updates to up to `count` local members at once, without waiting for the next probe.
    ///
    /// A relay, or a node without local members, sends them to [`RELAY_PUSH_FANOUT`] remote members too.
    pub fn push_updates(&mut self, random: &mut ChaCha8Rng, count: usize, actions: &mut Vec<MembershipAction>) {
        let (local, _) = self.local_and_remote();
        let remote_count = if self.is_relay() || local.is_empty() { RELAY_PUSH_FANOUT } else { 0 };
        self.push_updates_to(random, count, remote_count, actions);
    }

    /// Sends the pending updates to up to [`URGENT_FANOUT`] members at once, and to members of other regions if there
    /// are fewer local ones.
    fn push_urgent_updates(&mut self, random: &mut ChaCha8Rng, actions: &mut Vec<MembershipAction>) {
        let (local, _) = self.local_and_remote();
        let remote_count = URGENT_FANOUT.saturating_sub(local.len());
        self.push_updates_to(random, URGENT_FANOUT, remote_count, actions);
    }

    fn push_updates_to(
        &mut self,
        random: &mut ChaCha8Rng,
        local_count: usize,
        remote_count: usize,
        actions: &mut Vec<MembershipAction>,
    ) {
        let (local, remote) = self.local_and_remote();
        let chosen = local.choose_multiple(random, local_count).chain(remote.choose_multiple(random, remote_count));
        let targets: Vec<(NodeId, SocketAddr)> = chosen.map(|member| (member.node, member.peer_address)).collect();
        for (node, address) in targets {
            let number = self.next_probe_number();
            let updates = self.choose_updates(node);
            let message = MembershipMessage::Probe { number, updates };
            actions.push(MembershipAction::Send { to: Some(node), address, message });
        }
    }

    /// Handles a message from a peer.
    pub fn on_message(
        &mut self,
        now: BootTime,
        from: NodeId,
        from_address: SocketAddr,
        message: MembershipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        match message {
            MembershipMessage::Probe { number, updates } => {
                let mentions_self = updates.iter().any(|record| record.node == self.me);
                let is_unknown_sender = !self.members.contains_key(&from);
                let known = self.merge_probe_updates(now, updates, actions);
                let mut updates = self.choose_updates(from);
                // A sender that this node considers suspect or dead must receive that record to refute it.
                let suspected = self.members.get(&from).filter(|member| member.state >= MemberState::Suspect);
                updates.extend(suspected.cloned());
                // A sender that sent a record of this node, or that knows only this node's address, needs this node's
                // current record.
                if (mentions_self || is_unknown_sender) && !updates.iter().any(|record| record.node == self.me) {
                    updates.push(self.own().clone());
                }
                let message = MembershipMessage::ProbeAnswer { number, updates, known };
                actions.push(MembershipAction::Send { to: Some(from), address: from_address, message });
            }
            MembershipMessage::ProbeAnswer { number, updates, known } => {
                for record in updates {
                    self.merge_and_gossip(now, record, actions);
                }
                self.on_probe_answer(number, known, actions);
            }
            MembershipMessage::ProbeFor { number, target, target_address } => {
                self.probe_on_behalf(now, number, from, from_address, target, target_address, actions);
            }
            MembershipMessage::Join { member } => {
                self.answer_joiner(now, member, from_address, actions);
            }
            MembershipMessage::MemberList { members, span } => self.merge_member_list(now, members, span, actions),
            MembershipMessage::Compare { fingerprints } => self.on_compare(from, from_address, &fingerprints, actions),
        }
    }

    /// Runs everything that is due at `now`: probes, suspicions, contacts to seeds and dead members, comparisons.
    pub fn on_tick(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<MembershipAction>) {
        let was_paused = self.last_tick.is_some_and(|last| now.since(last) > self.settings.pause_gap);
        self.last_tick = Some(now);
        if was_paused {
            self.reset_failure_detection(now);
        }
        self.check_probe(now, random, actions);
        self.notify_suspects(now, actions);
        self.expire_suspects(now, actions);
        self.drop_gone_members(now);
        self.contact_seeds(now, random, actions);
        self.probe_dead_member(now, random, actions);
        self.start_comparison(now, random, actions);
        self.indirect_probes.retain(|indirect| now.since(indirect.sent_at) < self.settings.probe_timeout);
        if std::mem::take(&mut self.has_urgent_update) {
            self.push_urgent_updates(random, actions);
        }
        if now >= self.next_probe && self.probe.is_none() {
            self.start_probe(now, random, actions);
        }
    }

    /// Drops the outstanding probe and restarts all suspicions. After a pause of this process, missing answers prove
    /// nothing.
    fn reset_failure_detection(&mut self, now: BootTime) {
        self.probe = None;
        self.suspicions.values_mut().for_each(|suspicion| suspicion.since = now);
    }

    /// Contacts seed addresses at which no live member is known, in order to join the fleet and to reach seeds that
    /// have restarted.
    fn contact_seeds(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<MembershipAction>) {
        let is_alone = self.others().next().is_none();
        if now < self.next_seed_contact && !(is_alone && now >= self.next_join) {
            return;
        }
        self.next_seed_contact = now + SEED_CONTACT_INTERVAL;
        self.next_join = now + self.join_interval;
        self.join_interval = (self.join_interval * 2).min(SEED_CONTACT_INTERVAL);
        let known =
            |seed: &SocketAddr| self.members.values().any(|member| !member.is_gone() && member.peer_address == *seed);
        let mut unknown: Vec<SocketAddr> = self.seeds.iter().copied().filter(|seed| !known(seed)).collect();
        if self.settings.asks_one_seed {
            shuffle(&mut unknown, random);
            unknown.truncate(1);
        }
        unknown.into_iter().for_each(|seed| self.announce_to(seed, actions));
    }

    /// Sends this node's record to an address at which no member is known.
    ///
    /// A node that knows no local member asks for a member list; a node that knows one learns the others
    /// from it, and only announces itself.
    fn announce_to(&mut self, address: SocketAddr, actions: &mut Vec<MembershipAction>) {
        let member = self.own().clone();
        let knows_local_members = !self.local_and_remote().0.is_empty();
        let message = match knows_local_members {
            true => MembershipMessage::Probe { number: self.next_probe_number(), updates: vec![member] },
            false => MembershipMessage::Join { member },
        };
        actions.push(MembershipAction::Send { to: None, address, message });
    }

    /// Handles a message that a peer sent to an earlier incarnation at this node's address.
    ///
    /// The content of the message is ignored, but its sender is alive and doesn't know this incarnation, so this
    /// node announces itself to the sender unless it knows the sender already. This message may be the only contact
    /// between the two nodes, because all seeds of a restarted node may be gone.
    pub fn on_misaddressed(&mut self, from: NodeId, address: SocketAddr, actions: &mut Vec<MembershipAction>) {
        let is_known = self.members.get(&from).is_some_and(|member| !member.is_gone());
        if !is_known {
            self.announce_to(address, actions);
        }
    }

    /// Merges one record and queues it for gossip if it was new. Returns whether it was new.
    fn merge_and_gossip(&mut self, now: BootTime, record: Member, actions: &mut Vec<MembershipAction>) -> bool {
        let node = record.node;
        let is_new = self.merge(now, record, actions);
        if is_new && node != self.me {
            self.queue_update(node);
            // Whoever learns of a death no longer contacts the address, and wouldn't meet the successor there.
            self.successor_of(node).into_iter().for_each(|successor| self.queue_update(successor));
        }
        is_new
    }

    /// Returns the live member at the address of a gone one. Returns `None` if there is none or `node` isn't gone.
    fn successor_of(&self, node: NodeId) -> Option<NodeId> {
        let gone = self.members.get(&node).filter(|member| member.is_gone())?;
        let is_successor = |member: &&Member| !member.is_gone() && member.peer_address == gone.peer_address;
        self.members.values().find(is_successor).map(|member| member.node)
    }

    /// Merges one record without gossiping it. Returns whether it was new.
    fn merge(&mut self, now: BootTime, mut record: Member, actions: &mut Vec<MembershipAction>) -> bool {
        let node = record.node;
        if node == self.me {
            return self.refute(record, actions);
        }
        let is_predecessor = record.peer_address == self.own().peer_address && !record.is_gone();
        if is_predecessor {
            record.state = MemberState::Dead;
        }
        let is_new = match self.members.get(&node) {
            Some(known) => known.is_superseded_by(&record),
            // The record of a gone incarnation isn't stored if this node never knew the incarnation or has dropped it.
            None => is_predecessor || !record.is_gone(),
        };
        if !is_new {
            return false;
        }
        if is_predecessor {
            self.declared_dead += 1;
            self.has_urgent_update = true;
            self.queue_update(node);
            self.queue_update(self.me);
        }
        match record.state {
            MemberState::Suspect => {
                let suspicion = Suspicion { since: now, is_first_hand: false, next_notification: now };
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
        actions.push(MembershipAction::Changed(node));
        true
    }

    /// Queues a member's current record for gossip, in place of an earlier update about that member.
    fn queue_update(&mut self, node: NodeId) {
        self.pending_updates.retain(|update| update.node != node);
        self.pending_updates.push(PendingUpdate::new(node));
    }

    fn next_probe_number(&mut self) -> u64 {
        self.last_probe_number += 1;
        self.last_probe_number
    }

    /// Returns the members that take work, ranked for a key by rendezvous hashing; those outside `zone` come first.
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
