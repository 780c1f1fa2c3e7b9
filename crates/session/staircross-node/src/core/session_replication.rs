//! Tracks which nodes have confirmed a copy of each session that this node sees to.
//!
//! A node sees to the copies of the sessions that it holds, and of those of which it keeps a copy whose holder is gone:
//! nobody else would replace a copy that is lost with its keeper. A copy is sent to the session's keepers, the nodes
//! that store its copies, when the session changes. Keepers may leave and be replaced, messages may be lost, and
//! another node may take a session over while this node is paused or partitioned. Each session is therefore checked
//! about once a second, and its copy is sent again while a keeper hasn't confirmed it. A keeper that knows a newer
//! holder of the session replies with that fact.

use hashbrown::HashMap;
use staircross_types::{BootTime, NodeId, SessionToken};
use std::time::Duration;

/// Shortest time between the starts of two rounds of checks. Each round checks all sessions once.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of sessions checked in one tick. It bounds how many copies are sent at once when many keepers
/// have changed.
const MAX_CHECKED_PER_TICK: usize = 256;

/// Why this node sees to the copies of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Responsibility {
    /// It holds the session.
    Holder,
    /// It keeps a copy, and the session's holder is gone.
    OrphanKeeper,
}

/// Replication state of a session that this node sees to.
#[derive(Default)]
struct ReplicationState {
    /// Version of the session, which each change by its holder increments.
    version: u64,
    /// Nodes that have confirmed a copy of `version`.
    confirmed_by: Vec<NodeId>,
}

impl ReplicationState {
    fn new(version: u64) -> Self {
        ReplicationState { version, confirmed_by: Vec::new() }
    }

    /// Records that `keeper` has confirmed a copy of `version`. Confirmations of other versions than the current
    /// one are ignored.
    fn record_confirmation(&mut self, version: u64, keeper: NodeId) {
        if version == self.version && !self.confirmed_by.contains(&keeper) {
            self.confirmed_by.push(keeper);
        }
    }

    /// Returns whether some of `keepers` haven't confirmed the session.
    ///
    /// Confirmations of nodes that aren't keepers are dropped, because such a node may no longer have the copy
    /// when it becomes a keeper again.
    fn is_unconfirmed(&mut self, keepers: &[NodeId]) -> bool {
        self.confirmed_by.retain(|keeper| keepers.contains(keeper));
        self.confirmed_by.len() < keepers.len()
    }
}

/// Replication state of all sessions that this node sees to.
#[derive(Default)]
pub(super) struct SessionReplication {
    held: HashMap<SessionToken, ReplicationState>,
    orphaned: HashMap<SessionToken, ReplicationState>,
    /// Sessions still to be checked in the current round.
    unchecked: Vec<SessionToken>,
    next_round: BootTime,
}

impl SessionReplication {
    /// Records a change of a session and returns its new version.
    pub(super) fn record_change(&mut self, token: SessionToken) -> u64 {
        let session = self.held.entry(token).or_default();
        session.version += 1;
        session.confirmed_by.clear();
        session.version
    }

    /// Records a session that this node has taken over at version `continued`, and returns its new version.
    pub(super) fn record_adoption(&mut self, token: SessionToken, continued: u64) -> u64 {
        self.orphaned.remove(&token);
        self.held.insert(token, ReplicationState::new(continued));
        self.record_change(token)
    }

    /// Records that `keeper` has confirmed a copy of `version`.
    pub(super) fn record_confirmation(&mut self, token: SessionToken, version: u64, keeper: NodeId) {
        if let Some(session) = self.get_mut(token) {
            session.record_confirmation(version, keeper);
        }
    }

    /// Removes a session that is closed or that another node holds now.
    pub(super) fn remove(&mut self, token: SessionToken) {
        self.held.remove(&token);
    }

    /// Clears all confirmations, so that every copy is sent again. This is used after a pause of this process, during
    /// which another node may have taken sessions over.
    pub(super) fn clear_confirmations(&mut self) {
        self.held.values_mut().for_each(|session| session.confirmed_by.clear());
    }

    /// Returns whether a round of checks is due.
    pub(super) fn is_round_due(&self, now: BootTime) -> bool {
        self.unchecked.is_empty() && now >= self.next_round
    }

    /// Begins a round of checks. `orphans` are the sessions of which this node keeps a copy and whose holder is gone, with
    /// the versions of the copies.
    pub(super) fn begin_round(&mut self, now: BootTime, orphans: impl Iterator<Item = (SessionToken, u64)>) {
        self.next_round = now + CHECK_INTERVAL;
        let mut earlier = std::mem::take(&mut self.orphaned);
        for (token, version) in orphans.filter(|(token, _)| !self.held.contains_key(token)) {
            let known = earlier.remove(&token).filter(|session| session.version == version);
            self.orphaned.insert(token, known.unwrap_or_else(|| ReplicationState::new(version)));
        }
        self.unchecked = self.held.keys().chain(self.orphaned.keys()).copied().collect();
    }

    /// Returns the sessions to check in this tick.
    pub(super) fn take_due(&mut self) -> Vec<SessionToken> {
        let rest = self.unchecked.len().saturating_sub(MAX_CHECKED_PER_TICK);
        self.unchecked.split_off(rest)
    }

    /// Returns why this node sees to a session's copies, or `None` if it no longer does.
    pub(super) fn responsibility(&self, token: SessionToken) -> Option<Responsibility> {
        if self.held.contains_key(&token) {
            return Some(Responsibility::Holder);
        }
        self.orphaned.contains_key(&token).then_some(Responsibility::OrphanKeeper)
    }

    /// Returns the version of a session if some of `keepers` haven't confirmed it.
    pub(super) fn unconfirmed_version(&mut self, token: SessionToken, keepers: &[NodeId]) -> Option<u64> {
        let session = self.get_mut(token)?;
        session.is_unconfirmed(keepers).then_some(session.version)
    }

    fn get_mut(&mut self, token: SessionToken) -> Option<&mut ReplicationState> {
        self.held.get_mut(&token).or_else(|| self.orphaned.get_mut(&token))
    }
}
