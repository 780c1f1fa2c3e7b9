//! One log of configuration changes, agreed by the voters of all regions.
//!
//! Leader-based replication with terms, as in Raft, with these differences: a majority is needed
//! in *every* region ([`crate::quorum`]); nothing is kept on disk, so a restarted voter is a new
//! run and never votes under its old identity; and a change counts as accepted only once a
//! majority of every region has learned that it is committed and every lease granted before has
//! lapsed ([`crate::lease`]).
//!
//! Inputs: messages, proposals, time. Invariants: at most one leader per term; a committed entry
//! never changes; revisions only rise; a voter set follows another by one step, and only after a
//! majority of the one before has learned of it.

mod election;
mod proposals;
mod replication;
pub mod voters;

use crate::config_state::{Change, ChangeId, ConfigState};
use crate::message::ProposalReply;
use crate::quorum::VoterSet;
use crate::recent_ids::RecentIds;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, NodeId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Times of the agreement.
#[derive(Clone, Debug)]
pub struct AgreementSettings {
    /// Time between a leader's messages to each voter.
    pub heartbeat_every: Duration,
    /// Shortest silence of the leader before an election; the longest is twice this.
    pub election_timeout: Duration,
    /// Longest life of a lease, which an accepted change waits out.
    pub lease: Duration,
    /// Entries kept for those who lag a little; whoever lags more gets the whole state.
    pub kept_entries: usize,
}

impl Default for AgreementSettings {
    fn default() -> Self {
        AgreementSettings {
            heartbeat_every: Duration::from_millis(400),
            election_timeout: Duration::from_millis(1200),
            lease: Duration::from_millis(2000),
            kept_entries: 128,
        }
    }
}

/// Boot clocks of two machines run at rates that differ by no more than one part in this many.
const CLOCK_DRIFT: u32 = 100;

/// Election timeouts that a leaving voter waits longer than others.
const RELUCTANCE: u32 = 3;
/// Time after which a leaving voter that had to lead gives others another chance.
const STOPGAP_LEAD: Duration = Duration::from_secs(6);

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that made it.
    #[serde(rename = "t")]
    pub term: u64,
    /// Its position: the revision it makes.
    #[serde(rename = "i")]
    pub index: u64,
    /// The change.
    #[serde(rename = "c")]
    pub change: Change,
}

/// Messages of the agreement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgreementMessage {
    /// Would you vote, or do you vote, for me?
    VoteRequest { term: u64, last_index: u64, last_term: u64, is_poll: bool },
    /// Yes or no.
    VoteReply { term: u64, granted: bool, is_poll: bool },
    /// Entries after a position, and how far the log is committed and settled.
    #[serde(rename = "a")]
    Append {
        #[serde(rename = "t")]
        term: u64,
        #[serde(rename = "i")]
        previous_index: u64,
        #[serde(rename = "p")]
        previous_term: u64,
        #[serde(rename = "e")]
        entries: Vec<LogEntry>,
        #[serde(rename = "c")]
        commit: u64,
        #[serde(rename = "s")]
        settled: u64,
    },
    /// How far the receiver's log matches and what it has learned to be committed.
    #[serde(rename = "r")]
    AppendReply {
        #[serde(rename = "t")]
        term: u64,
        #[serde(rename = "m")]
        matches: bool,
        #[serde(rename = "i")]
        last_match: u64,
        #[serde(rename = "l")]
        learned: u64,
    },
    /// The whole state, for a voter that lags too far.
    Install { term: u64, last_term: u64, state: Box<ConfigState>, settled: u64 },
}

/// What the agreement wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum AgreementAction {
    /// Send to a voter.
    Send { to: NodeId, address: SocketAddr, message: AgreementMessage },
    /// Entries were committed; the state has changed.
    Committed,
    /// Tell whoever proposed a change what became of it.
    Proposed { to: NodeId, reply: ProposalReply },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    /// Asks whether an election would be won, without disturbing anyone.
    Polling,
    Candidate,
    Leader,
}

/// What a leader knows of one voter.
#[derive(Clone, Debug)]
struct Progress {
    next_index: u64,
    matched: u64,
    learned: u64,
    last_heard: BootTime,
    last_sent: BootTime,
}

/// A change that somebody waits for.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: ChangeId,
    from: NodeId,
    index: u64,
}

/// The agreement logic of one node. Nodes that aren't voters hold one too, idle.
pub struct Agreement {
    settings: AgreementSettings,
    me: NodeId,
    term: u64,
    voted_for: Option<NodeId>,
    role: Role,
    leader: Option<NodeId>,
    leader_heard: BootTime,
    election_due: BootTime,
    votes: BTreeSet<NodeId>,
    /// Entries after `base_index`, which the state has swallowed.
    log: Vec<LogEntry>,
    base_index: u64,
    base_term: u64,
    commit: u64,
    state: ConfigState,
    progress: BTreeMap<NodeId, Progress>,
    waiting: Vec<Waiting>,
    /// When every index up to the key was learned by a majority of every region.
    learned_at: BTreeMap<u64, BootTime>,
    settled: u64,
    /// Changes answered as not taken. A repeated message must not bring one in after all.
    refused: RecentIds,
    /// Changes that this node appended as a leader. Whatever became of them, they were taken.
    taken: RecentIds,
    is_active: bool,
    is_resigned: bool,
    addresses: HashMap<NodeId, SocketAddr>,
    last_tick: Option<BootTime>,
}

impl Agreement {
    /// A node that knows no configuration yet.
    pub fn new(settings: AgreementSettings, me: NodeId) -> Self {
        Agreement {
            settings,
            me,
            term: 0,
            voted_for: None,
            role: Role::Follower,
            leader: None,
            leader_heard: BootTime::default(),
            election_due: BootTime::FAR_FUTURE,
            votes: BTreeSet::new(),
            log: Vec::new(),
            base_index: 0,
            base_term: 0,
            commit: 0,
            state: ConfigState::default(),
            progress: BTreeMap::new(),
            waiting: Vec::new(),
            learned_at: BTreeMap::new(),
            settled: 0,
            refused: RecentIds::default(),
            taken: RecentIds::default(),
            is_active: false,
            is_resigned: false,
            addresses: HashMap::new(),
            last_tick: None,
        }
    }

    /// Starts as a voter of a new fleet whose first state is `state`.
    pub fn found(&mut self, now: BootTime, state: ConfigState, random: &mut ChaCha8Rng) {
        self.base_index = state.revision;
        self.commit = state.revision;
        self.state = state;
        self.activate(now, random);
    }

    /// Becomes a voter without knowing anything; the leader brings the state.
    pub fn activate(&mut self, now: BootTime, random: &mut ChaCha8Rng) {
        if !self.is_active {
            self.is_active = true;
            self.leader_heard = now;
            self.reset_election(now, random);
        }
    }

    /// The state as far as it is known to be committed.
    pub fn committed_state(&self) -> &ConfigState {
        &self.state
    }

    /// Position up to which the log is known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Position up to which every change is in force on every node able to act.
    pub fn settled_index(&self) -> u64 {
        self.settled
    }

    /// The leader, as far as known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Whether this node leads.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The present term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The newest voter set in the log, committed or not: the one that elections and commits count.
    pub fn latest_voters(&self) -> &VoterSet {
        let in_log = self.log.iter().rev().find_map(|entry| match &entry.change.body {
            crate::config_state::ChangeBody::Voters(voters) => Some(voters),
            _ => None,
        });
        in_log.unwrap_or(&self.state.voters)
    }

    /// Whether this node votes, as far as it knows.
    pub fn is_voter(&self) -> bool {
        self.is_active && self.latest_voters().contains(self.me)
    }

    /// Entries after `index` that are committed, if they are still kept.
    pub fn committed_entries_after(&self, index: u64) -> Option<Vec<LogEntry>> {
        if index < self.base_index {
            return None;
        }
        let entries = self.log.iter().filter(|entry| entry.index > index && entry.index <= self.commit);
        Some(entries.cloned().collect())
    }

    /// Term of the last committed entry.
    pub fn commit_term(&self) -> u64 {
        self.term_at(self.commit).unwrap_or(self.base_term)
    }

    /// Remembers where a node can be reached.
    pub fn note_address(&mut self, node: NodeId, address: SocketAddr) {
        self.addresses.insert(node, address);
    }

    fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        let voter = self.latest_voters().voters.get(&node);
        voter.map(|voter| voter.address).or_else(|| self.addresses.get(&node).copied())
    }

    fn last_index(&self) -> u64 {
        self.base_index + self.log.len() as u64
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        let offset = index.checked_sub(self.base_index + 1)?;
        self.log.get(offset as usize).map(|entry| entry.term)
    }

    fn reset_election(&mut self, now: BootTime, random: &mut ChaCha8Rng) {
        let shortest = self.settings.election_timeout;
        let jitter = shortest.mul_f64(random.random::<f64>());
        let reluctance = if self.is_resigned { shortest * RELUCTANCE } else { Duration::ZERO };
        self.election_due = now + shortest + jitter + reluctance;
    }

    fn send(&self, to: NodeId, message: AgreementMessage, actions: &mut Vec<AgreementAction>) {
        if let Some(address) = self.address_of(to) {
            actions.push(AgreementAction::Send { to, address, message });
        }
    }

    fn other_voters(&self) -> Vec<NodeId> {
        self.latest_voters().voters.keys().copied().filter(|node| *node != self.me).collect()
    }

    /// Gives up the lead and leaves elections to others: the node is about to stop. It still votes,
    /// and stands when nobody else does: if all voters were leaving, none could be replaced otherwise.
    pub fn resign(&mut self) {
        self.is_resigned = true;
        if self.role != Role::Follower {
            self.step_down(self.term);
        }
    }

    /// Takes a message from a peer.
    pub fn on_message(
        &mut self,
        now: BootTime,
        from: NodeId,
        message: AgreementMessage,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<AgreementAction>,
    ) {
        match message {
            AgreementMessage::VoteRequest { term, last_index, last_term, is_poll } => {
                self.on_vote_request(now, from, term, last_index, last_term, is_poll, random, actions);
            }
            AgreementMessage::VoteReply { term, granted, is_poll } => {
                self.on_vote_reply(now, from, term, granted, is_poll, random, actions);
            }
            AgreementMessage::Append { term, previous_index, previous_term, entries, commit, settled } => {
                if self.follow(now, from, term, random) {
                    self.on_append(from, previous_index, previous_term, entries, commit, settled, actions);
                } else {
                    self.reject_append(from, actions);
                }
            }
            AgreementMessage::AppendReply { term, matches, last_match, learned } => {
                self.on_append_reply(now, from, term, matches, last_match, learned, actions);
            }
            AgreementMessage::Install { term, last_term, state, settled } => {
                if self.follow(now, from, term, random) {
                    self.on_install(from, last_term, *state, settled, actions);
                } else {
                    self.reject_append(from, actions);
                }
            }
        }
    }

    /// Lets time pass.
    pub fn on_tick(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<AgreementAction>) {
        if !self.is_active {
            return;
        }
        let gap = self.last_tick.map_or(Duration::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if gap >= self.settings.election_timeout {
            // This process was paused: the leader's messages may be waiting in its inbox.
            self.reset_election(now, random);
        }
        let is_stopgap = self.is_resigned && now.since(self.leader_heard) >= STOPGAP_LEAD;
        if self.role == Role::Leader && is_stopgap {
            self.step_down(self.term);
            self.reset_election(now, random);
        } else if self.role == Role::Leader {
            self.lead(now, actions);
        } else if now >= self.election_due && self.is_voter() {
            self.start_poll(now, random, actions);
        }
    }
}
