//! Tracks which nodes have confirmed a copy of each session that this node sees to.
//!
//! A node sees to the copies of the sessions that it holds, and of those of which it keeps a copy whose holder is gone:
//! nobody else would replace a copy that is lost with its keeper. A copy is sent to the session's keepers, the nodes
//! that store its copies, when the session changes. Keepers may leave and be replaced, messages may be lost, and
//! another node may take a session over while this node is paused or partitioned. Each session is therefore checked
//! as soon as the members have changed, and about once a second until all keepers have confirmed it; its copy is sent
//! again with each check. A keeper that knows a newer holder of the session replies with that fact.

use hashbrown::HashMap;
use staircross_types::{BootTime, NodeId, SessionToken};
use std::time::Duration;

/// Time between the starts of two rounds of checks while the members stay the same. A round checks each session once
/// that isn't confirmed by all keepers.
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
    /// Keepers that hadn't confirmed it when they were last looked up.
    awaited: Vec<NodeId>,
    /// The members, by [`SessionReplication::members_version`], for which all keepers have confirmed it.
    settled_for: Option<u64>,
}

impl ReplicationState {
    fn new(version: u64) -> Self {
        ReplicationState { version, ..ReplicationState::default() }
    }

    fn clear_confirmations(&mut self) {
        self.confirmed_by.clear();
        self.settled_for = None;
    }

    /// Records that `keeper` has confirmed a copy of `version`. Confirmations of other versions than the current
    /// one are ignored.
    fn record_confirmation(&mut self, version: u64, keeper: NodeId) {
        if version == self.version && !self.confirmed_by.contains(&keeper) {
            self.confirmed_by.push(keeper);
            self.awaited.retain(|awaited| *awaited != keeper);
        }
    }

    /// Looks up which of `keepers` haven't confirmed the session. Returns whether there are any.
    ///
    /// Confirmations of nodes that aren't keepers are dropped, because such a node may no longer have the copy
    /// when it becomes a keeper again.
    fn is_unconfirmed(&mut self, keepers: &[NodeId], members_version: u64) -> bool {
        self.confirmed_by.retain(|keeper| keepers.contains(keeper));
        self.awaited = keepers.iter().copied().filter(|keeper| !self.confirmed_by.contains(keeper)).collect();
        self.settled_for = self.awaited.is_empty().then_some(members_version);
        !self.awaited.is_empty()
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
    /// Number of changes of the members. Each may change the keepers of any session.
    members_version: u64,
    /// The members for which the current round was begun.
    round_for: u64,
    /// The members for which the last complete round was begun.
    checked_for: Option<u64>,
}

impl SessionReplication {
    /// Records that the members have changed, so that all sessions are checked at once.
    pub(super) fn record_member_change(&mut self) {
        self.members_version += 1;
    }

    /// Records a change of a session whose copies are sent to `keepers`. Returns its new version.
    pub(super) fn record_change(&mut self, token: SessionToken, keepers: Vec<NodeId>) -> u64 {
        let session = self.held.entry(token).or_default();
        session.version += 1;
        session.clear_confirmations();
        session.awaited = keepers;
        session.version
    }

    /// Records a session that this node has taken over at version `continued`, and whose copies are sent to `keepers`.
    /// Returns its new version.
    pub(super) fn record_adoption(&mut self, token: SessionToken, continued: u64, keepers: Vec<NodeId>) -> u64 {
        self.orphaned.remove(&token);
        self.held.insert(token, ReplicationState::new(continued));
        self.record_change(token, keepers)
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
        self.held.values_mut().for_each(ReplicationState::clear_confirmations);
    }

    /// Returns whether a round of checks is due.
    pub(super) fn is_round_due(&self, now: BootTime) -> bool {
        let have_members_changed = self.checked_for != Some(self.members_version);
        self.unchecked.is_empty() && (have_members_changed || now >= self.next_round)
    }

    /// Begins a round of checks. `orphans` are the sessions of which this node keeps a copy and whose holder is gone, with
    /// the versions of the copies.
    pub(super) fn begin_round(&mut self, now: BootTime, orphans: impl Iterator<Item = (SessionToken, u64)>) {
        self.next_round = now + CHECK_INTERVAL;
        self.round_for = self.members_version;
        let mut earlier = std::mem::take(&mut self.orphaned);
        for (token, version) in orphans.filter(|(token, _)| !self.held.contains_key(token)) {
            let known = earlier.remove(&token).filter(|session| session.version == version);
            self.orphaned.insert(token, known.unwrap_or_else(|| ReplicationState::new(version)));
        }
        let sessions = self.held.iter().chain(&self.orphaned);
        let unsettled = sessions.filter(|(_, session)| session.settled_for != Some(self.members_version));
        self.unchecked = unsettled.map(|(token, _)| *token).collect();
    }

    /// Returns the sessions to check in this tick. The caller checks all of them before it uses anything else of this
    /// value.
    pub(super) fn take_due(&mut self) -> Vec<SessionToken> {
        let rest = self.unchecked.len().saturating_sub(MAX_CHECKED_PER_TICK);
        let due = self.unchecked.split_off(rest);
        if self.unchecked.is_empty() {
            self.checked_for = Some(self.round_for);
        }
        due
    }

    /// Returns whether all sessions have been checked since the members last changed, and all their keepers have
    /// confirmed them.
    pub(super) fn is_complete(&self) -> bool {
        let mut sessions = self.held.values().chain(self.orphaned.values());
        self.checked_for == Some(self.members_version) && sessions.all(|session| session.awaited.is_empty())
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
        let members_version = self.members_version;
        let session = self.get_mut(token)?;
        session.is_unconfirmed(keepers, members_version).then_some(session.version)
    }

    fn get_mut(&mut self, token: SessionToken) -> Option<&mut ReplicationState> {
        self.held.get_mut(&token).or_else(|| self.orphaned.get_mut(&token))
    }
}
