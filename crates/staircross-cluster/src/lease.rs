//! Whether this node may act under its configuration.
//!
//! A lease says: until it lapses, no change newer than this revision is answered as accepted. It
//! needs the word of a majority of the voters of *one* region (any region will do: commits need a
//! majority in every one). A few nodes per region ask the voters, the others ask a parent in a
//! tree, which passes on what is left of its own lease. Inputs: grants, time on the boot clock.
//! Invariants: a lease is counted from when it was asked for; the revision held never falls;
//! a voter that knows it was removed grants nothing.

use crate::agreement::LogEntry;
use crate::config_state::ConfigState;
use crate::quorum::VoterSet;
use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Times and sizes of the lease tree.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// Life of a lease that a voter grants.
    pub life: Duration,
    /// Time between renewals.
    pub renew_every: Duration,
    /// Time after which a renewal that brought nothing is tried again.
    pub retry_after: Duration,
    /// Nodes per region that ask the voters directly, besides the voters themselves.
    pub direct: usize,
    /// Children of each node in the tree.
    pub degree: usize,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        LeaseSettings {
            life: Duration::from_millis(2000),
            renew_every: Duration::from_millis(400),
            retry_after: Duration::from_millis(150),
            direct: 6,
            degree: 8,
        }
    }
}

/// What brings a node from one revision to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// Nothing is missing.
    None,
    /// Committed entries that follow the receiver's revision.
    Entries(Vec<LogEntry>),
    /// The whole state.
    Full(Arc<ConfigState>),
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseWord {
    /// A voter's own word. Alone it is worth nothing: a majority of a region is needed.
    Vote,
    /// What is left of the asked node's own lease. Voter or not, it has no other to give.
    Lease,
}

/// Messages of the lease tree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Please give me your word; I hold this revision.
    #[serde(rename = "a")]
    Ask {
        #[serde(rename = "a")]
        ask: u64,
        #[serde(rename = "r")]
        revision: u64,
        #[serde(rename = "w")]
        wants: LeaseWord,
    },
    /// The revision that the sender holds, and how long its word is good for (zero: no word).
    #[serde(rename = "g")]
    Grant {
        #[serde(rename = "a")]
        ask: u64,
        #[serde(rename = "r")]
        revision: u64,
        #[serde(rename = "w")]
        word: LeaseWord,
        #[serde(rename = "l")]
        remaining: Duration,
        #[serde(rename = "u")]
        update: ConfigUpdate,
    },
}

/// Whom to ask for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseSource {
    /// The voters of a region.
    Voters(String),
    /// A parent in the tree.
    Parent(NodeId, SocketAddr),
}

struct OutstandingAsk {
    asked_at: BootTime,
    source: LeaseSource,
    grants: BTreeMap<NodeId, u64>,
}

/// The lease of one node and the configuration that it is for.
pub struct LeaseHolder {
    settings: LeaseSettings,
    state: Arc<ConfigState>,
    expires: BootTime,
    asks: BTreeMap<u64, OutstandingAsk>,
    next_ask: u64,
    next_renewal: BootTime,
    last_asked: BootTime,
    failures: u32,
    recent: Vec<LogEntry>,
}

/// Entries kept to pass on to children.
const KEPT_ENTRIES: usize = 64;
/// Asks remembered; older ones are overtaken.
const MAX_ASKS: usize = 4;

impl LeaseHolder {
    /// Holds nothing.
    pub fn new(settings: LeaseSettings) -> Self {
        LeaseHolder {
            settings,
            state: Arc::new(ConfigState::default()),
            expires: BootTime::default(),
            asks: BTreeMap::new(),
            next_ask: 1,
            next_renewal: BootTime::default(),
            last_asked: BootTime::default(),
            failures: 0,
            recent: Vec::new(),
        }
    }

    /// The configuration held.
    pub fn state(&self) -> &Arc<ConfigState> {
        &self.state
    }

    /// What is left of the lease; zero when it has lapsed.
    pub fn remaining(&self, now: BootTime) -> Duration {
        now.until(self.expires)
    }

    /// Whether the node may act.
    pub fn is_valid(&self, now: BootTime) -> bool {
        now < self.expires
    }

    /// Renewals in a row that brought nothing.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether a renewal is due.
    pub fn is_due(&self, now: BootTime) -> bool {
        let is_unanswered = self.failures > 0 && now.since(self.last_asked) >= self.settings.retry_after;
        now >= self.next_renewal || is_unanswered
    }

    /// Starts a renewal from `source`; returns the message to send there.
    pub fn ask(&mut self, now: BootTime, source: LeaseSource) -> LeaseMessage {
        let wants = match source {
            LeaseSource::Voters(_) => LeaseWord::Vote,
            LeaseSource::Parent(..) => LeaseWord::Lease,
        };
        let ask = self.next_ask;
        self.next_ask += 1;
        self.next_renewal = now + self.settings.renew_every;
        self.last_asked = now;
        // Counted as failed until something comes; a success resets it.
        self.failures = self.failures.saturating_add(1);
        self.asks.insert(ask, OutstandingAsk { asked_at: now, source, grants: BTreeMap::new() });
        while self.asks.len() > MAX_ASKS {
            self.asks.pop_first();
        }
        LeaseMessage::Ask { ask, revision: self.state.revision, wants }
    }

    /// Takes a grant; returns whether the configuration changed.
    pub fn on_grant(&mut self, from: NodeId, grant: LeaseMessage) -> bool {
        let LeaseMessage::Grant { ask, revision, word, remaining, update } = grant else {
            return false;
        };
        let changed = self.take_update(update);
        let Some(outstanding) = self.asks.get_mut(&ask) else {
            return changed;
        };
        let asked_at = outstanding.asked_at;
        match &outstanding.source {
            LeaseSource::Parent(parent, _) => {
                let is_current = *parent == from && revision == self.state.revision;
                if is_current && word == LeaseWord::Lease && !remaining.is_zero() {
                    self.extend(asked_at + remaining);
                }
            }
            LeaseSource::Voters(region) => {
                if word != LeaseWord::Vote || remaining.is_zero() {
                    return changed;
                }
                let region = region.clone();
                outstanding.grants.insert(from, revision);
                let grants = outstanding.grants.clone();
                if self.is_majority(&region, &grants) {
                    self.extend(asked_at + self.settings.life);
                }
            }
        }
        changed
    }

    /// Whether the grants are by a majority of the region's voters *as of the newest revision told*.
    fn is_majority(&self, region: &str, grants: &BTreeMap<NodeId, u64>) -> bool {
        let newest = grants.values().copied().max().unwrap_or(0);
        // Told of a revision that hasn't arrived: the node must not act under the one it has.
        if newest > self.state.revision {
            return false;
        }
        self.state.voters.has_region_majority(region, |node| grants.contains_key(&node))
    }

    fn extend(&mut self, until: BootTime) {
        if until > self.expires {
            self.expires = until;
            self.failures = 0;
        }
    }

    fn take_update(&mut self, update: ConfigUpdate) -> bool {
        match update {
            ConfigUpdate::None => false,
            ConfigUpdate::Entries(entries) => self.apply_entries(entries),
            ConfigUpdate::Full(state) => self.adopt(state),
        }
    }

    /// Takes a newer state as a whole.
    pub fn adopt(&mut self, state: Arc<ConfigState>) -> bool {
        if state.revision <= self.state.revision {
            return false;
        }
        self.state = state;
        self.recent.clear();
        true
    }

    /// Takes entries that follow on; those known already are skipped.
    pub fn apply_entries(&mut self, entries: Vec<LogEntry>) -> bool {
        let mut changed = false;
        for entry in entries {
            if entry.index != self.state.revision + 1 {
                continue;
            }
            Arc::make_mut(&mut self.state).apply(entry.index, &entry.change);
            self.recent.push(entry);
            changed = true;
        }
        let surplus = self.recent.len().saturating_sub(KEPT_ENTRIES);
        self.recent.drain(..surplus);
        changed
    }

    /// What brings somebody at `revision` up to the configuration held.
    pub fn update_for(&self, revision: u64) -> ConfigUpdate {
        if revision >= self.state.revision {
            return ConfigUpdate::None;
        }
        let follows_on = self.recent.first().is_some_and(|entry| entry.index <= revision + 1);
        if !follows_on {
            return ConfigUpdate::Full(self.state.clone());
        }
        let missing = self.recent.iter().filter(|entry| entry.index > revision);
        ConfigUpdate::Entries(missing.cloned().collect())
    }
}

/// Whom the node at `position` of its region's `ordered` members asks.
///
/// Every few failures the choice moves on, so one dead parent strands nobody, and in the end the
/// voters of other regions are asked: their word is as good.
pub fn choose_source(
    settings: &LeaseSettings,
    ordered: &[(NodeId, SocketAddr)],
    me: NodeId,
    own_region: &str,
    voters: &VoterSet,
    failures: u32,
) -> LeaseSource {
    let regions = voters.regions();
    let is_voter = voters.contains(me);
    let has_own_voters = regions.contains(&own_region);
    let position = ordered.iter().position(|(node, _)| *node == me);
    let is_direct = is_voter || position.is_none_or(|position| position < settings.direct);
    let escalation = failures / FAILURES_PER_STEP;
    if !is_direct
        && escalation < PARENT_STEPS
        && let Some((node, address)) = parent_of(settings, ordered, position.unwrap_or(0), escalation as usize)
    {
        return LeaseSource::Parent(node, address);
    }
    let own_region_first = is_direct && escalation < PARENT_STEPS || escalation.is_multiple_of(2);
    if has_own_voters && own_region_first {
        return LeaseSource::Voters(own_region.to_owned());
    }
    let others: Vec<&str> = regions.into_iter().filter(|region| *region != own_region).collect();
    match others.get(escalation as usize / 2 % others.len().max(1)) {
        Some(region) => LeaseSource::Voters((*region).to_owned()),
        None => LeaseSource::Voters(own_region.to_owned()),
    }
}

/// Renewals without success before another source is tried.
const FAILURES_PER_STEP: u32 = 2;
/// Parents tried before the voters are asked directly.
const PARENT_STEPS: u32 = 2;

/// Parent in a tree laid over the ordered members: the first `direct` are roots, each has `degree` children.
fn parent_of(
    settings: &LeaseSettings,
    ordered: &[(NodeId, SocketAddr)],
    position: usize,
    step: usize,
) -> Option<(NodeId, SocketAddr)> {
    let below_roots = position.checked_sub(settings.direct)?;
    let parent = (below_roots / settings.degree + step) % position.max(1);
    ordered.get(parent).copied()
}
