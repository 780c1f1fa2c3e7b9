//! Tracks which nodes have confirmed a copy of each session that this node holds.
//!
//! When a session changes, a copy is sent to its keepers, the nodes that store its copies. Keepers may leave and
//! be replaced, messages may be lost, and another node may take a session over while this node is paused or
//! partitioned. Each session is therefore checked about once a second, and its copy is sent again while a
//! keeper hasn't confirmed it. A keeper that knows a newer holder of the session replies with that fact.

use hashbrown::HashMap;
use staircross_types::{BootTime, NodeId, SessionToken};
use std::time::Duration;

/// Shortest time between the starts of two rounds of checks. Each round checks all sessions once.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of sessions checked in one tick. It bounds how many copies are sent at once when many keepers
/// have changed.
const MAX_CHECKED_PER_TICK: usize = 256;

/// Replication state of a session that this node holds.
#[derive(Default)]
struct ReplicationState {
    /// Version of the session, which each change increments.
    version: u64,
    /// Nodes that have confirmed a copy of `version`.
    confirmed_by: Vec<NodeId>,
}

/// Replication state of all sessions that this node holds.
#[derive(Default)]
pub(super) struct SessionReplication {
    sessions: HashMap<SessionToken, ReplicationState>,
    /// Sessions still to be checked in the current round.
    unchecked: Vec<SessionToken>,
    next_round: BootTime,
}

impl SessionReplication {
    /// Records a change of a session and returns its new version.
    pub(super) fn record_change(&mut self, token: SessionToken) -> u64 {
        let session = self.sessions.entry(token).or_default();
        session.version += 1;
        session.confirmed_by.clear();
        session.version
    }

    /// Records a session that this node has taken over at version `continued`, and returns its new version.
    pub(super) fn record_adoption(&mut self, token: SessionToken, continued: u64) -> u64 {
        self.sessions.insert(token, ReplicationState { version: continued, confirmed_by: Vec::new() });
        self.record_change(token)
    }

    /// Records that `keeper` has confirmed a copy of `version`. Confirmations of other versions than the current
    /// one are ignored.
    pub(super) fn record_confirmation(&mut self, token: SessionToken, version: u64, keeper: NodeId) {
        let session = self.sessions.get_mut(&token).filter(|session| session.version == version);
        if let Some(session) = session.filter(|session| !session.confirmed_by.contains(&keeper)) {
            session.confirmed_by.push(keeper);
        }
    }

    /// Removes a session that is closed or that another node holds now.
    pub(super) fn remove(&mut self, token: SessionToken) {
        self.sessions.remove(&token);
    }

    /// Clears all confirmations, so that every copy is sent again. This is used after a pause of this process, during
    /// which another node may have taken sessions over.
    pub(super) fn clear_confirmations(&mut self) {
        self.sessions.values_mut().for_each(|session| session.confirmed_by.clear());
    }

    /// Returns the sessions to check in this tick.
    pub(super) fn take_due(&mut self, now: BootTime) -> Vec<SessionToken> {
        if self.unchecked.is_empty() && now >= self.next_round {
            self.next_round = now + CHECK_INTERVAL;
            self.unchecked = self.sessions.keys().copied().collect();
        }
        let rest = self.unchecked.len().saturating_sub(MAX_CHECKED_PER_TICK);
        self.unchecked.split_off(rest)
    }

    /// Returns the version of a session if some of `keepers` haven't confirmed it.
    ///
    /// Confirmations of nodes that aren't keepers are dropped, because such a node may no longer have the copy
    /// when it becomes a keeper again.
    pub(super) fn unconfirmed_version(&mut self, token: SessionToken, keepers: &[NodeId]) -> Option<u64> {
        let session = self.sessions.get_mut(&token)?;
        session.confirmed_by.retain(|keeper| keepers.contains(keeper));
        (session.confirmed_by.len() < keepers.len()).then_some(session.version)
    }
}
