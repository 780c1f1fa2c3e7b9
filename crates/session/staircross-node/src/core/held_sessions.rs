//! Which nodes have confirmed a copy of each session that this node holds.
//!
//! A copy is sent when a session changes, to the nodes that are to keep it then. These leave and others come in their place, messages are lost, and another node may take a
//! session over while this one is paused or cut off. So each session is looked at about once a second, and what a keeper hasn't confirmed is sent to it; one that knows of a newer holder says so.

use hashbrown::HashMap;
use staircross_types::{BootTime, NodeId, SessionToken};
use std::time::Duration;

/// Time between two looks at a session.
const LOOK: Duration = Duration::from_secs(1);
/// Sessions looked at in one tick; bounds what is sent at once when many keepers have changed.
const LOOKED_AT_PER_TICK: usize = 256;

/// A session that this node holds.
#[derive(Default)]
struct HeldSession {
    /// Rises with each change.
    version: u64,
    /// Nodes that have confirmed a copy of this version.
    kept_by: Vec<NodeId>,
}

/// The sessions that this node holds.
#[derive(Default)]
pub(super) struct HeldSessions {
    sessions: HashMap<SessionToken, HeldSession>,
    /// Those still to be looked at in this round.
    to_look_at: Vec<SessionToken>,
    next_round: BootTime,
}

impl HeldSessions {
    /// Notes a change; returns the version that it made.
    pub(super) fn change(&mut self, token: SessionToken) -> u64 {
        let session = self.sessions.entry(token).or_default();
        session.version += 1;
        session.kept_by.clear();
        session.version
    }

    /// Notes a session that this node has taken over, with the version that it continues.
    pub(super) fn adopt(&mut self, token: SessionToken, continued: u64) -> u64 {
        self.sessions.insert(token, HeldSession { version: continued, kept_by: Vec::new() });
        self.change(token)
    }

    /// Notes that a node keeps a copy of a version.
    pub(super) fn note_kept(&mut self, token: SessionToken, version: u64, keeper: NodeId) {
        let session = self.sessions.get_mut(&token).filter(|session| session.version == version);
        if let Some(session) = session.filter(|session| !session.kept_by.contains(&keeper)) {
            session.kept_by.push(keeper);
        }
    }

    /// Forgets a session that is closed or held by another node.
    pub(super) fn remove(&mut self, token: SessionToken) {
        self.sessions.remove(&token);
    }

    /// Forgets all confirmations: another node may have taken sessions over meanwhile.
    pub(super) fn doubt_all(&mut self) {
        self.sessions.values_mut().for_each(|session| session.kept_by.clear());
    }

    /// The sessions to look at in this tick.
    pub(super) fn due(&mut self, now: BootTime) -> Vec<SessionToken> {
        if self.to_look_at.is_empty() && now >= self.next_round {
            self.next_round = now + LOOK;
            self.to_look_at = self.sessions.keys().copied().collect();
        }
        let rest = self.to_look_at.len().saturating_sub(LOOKED_AT_PER_TICK);
        self.to_look_at.split_off(rest)
    }

    /// The version that some of `keepers` haven't confirmed. Confirmations of other nodes are dropped: they may be gone when they are to keep it again.
    pub(super) fn unconfirmed(&mut self, token: SessionToken, keepers: &[NodeId]) -> Option<u64> {
        let session = self.sessions.get_mut(&token)?;
        session.kept_by.retain(|keeper| keepers.contains(keeper));
        (session.kept_by.len() < keepers.len()).then_some(session.version)
    }
}
