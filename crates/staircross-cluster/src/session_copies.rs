//! Copies of session state on other nodes, so that a session survives the loss of the node that holds it.
//!
//! The members that rank highest for the session token keep the copies, preferably members in other zones than the
//! holder's. Any node can find them, because all nodes rank the members in the same way. When the holder is gone, the
//! members that keep copies see to it that there are enough of them, until a caller's request makes a node the holder.
//!
//! Invariants: an older copy never replaces a newer one; the number of copies is bounded.

use serde::{Deserialize, Serialize};
use staircross_types::{NodeId, SessionToken};
use std::collections::{BTreeMap, HashMap};

/// Number of copies of a session, in addition to the holder's own state.
pub const COPIES_PER_SESSION: usize = 2;
/// Number of copies of a session whose holder is gone, which the holder's own state then no longer adds to.
pub const COPIES_WITHOUT_HOLDER: usize = COPIES_PER_SESSION + 1;
/// Number of members that are asked for a copy when a session is resumed. It is higher than [`COPIES_PER_SESSION`],
/// because nodes may know different members and therefore rank them differently.
pub const FETCH_FANOUT: usize = 8;

/// A copy of a session's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionCopy {
    /// Version of the state; it rises with each change by the holder, and when another node takes the session over.
    pub version: u64,
    /// Node that holds the session.
    pub holder: NodeId,
    /// State of the session, as encoded by the holder.
    pub state: Vec<u8>,
}

/// Messages about session copies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SessionCopyMessage {
    /// Asks the receiver to store a copy.
    Store { token: SessionToken, copy: SessionCopy },
    /// Answers `Store`; if `is_overtaken`, the receiver kept a newer copy of another holder instead.
    Stored { token: SessionToken, version: u64, is_overtaken: bool },
    /// Asks the receiver for its copy; the answer carries the same number `ask`.
    Fetch { token: SessionToken, ask: u64 },
    /// Answers `Fetch` with the copy, if there is one.
    Fetched { token: SessionToken, ask: u64, copy: Option<SessionCopy> },
    /// Asks the receiver to drop its copy, because the session was closed.
    Forget { token: SessionToken },
    /// Notifies the previous holder that the sender has taken the session over.
    Moved { token: SessionToken },
    /// Asks the receiver whether the copies of all sessions that it sees to are complete. A node that has just started
    /// asks until all members have answered.
    AwaitReplication,
    /// Answers `AwaitReplication` when the copies are complete; until then there is no answer.
    Replicated,
}

/// Session copies that this node keeps for others.
pub struct SessionCopyStore {
    copies: HashMap<SessionToken, SessionCopy>,
    /// Tokens in the order in which their sessions were first stored.
    insertion_order: BTreeMap<u64, SessionToken>,
    next_order: u64,
    capacity: usize,
}

impl SessionCopyStore {
    /// Creates a store of at most `capacity` copies; when it is full, the session that was stored first is dropped.
    pub fn new(capacity: usize) -> Self {
        SessionCopyStore { copies: HashMap::new(), insertion_order: BTreeMap::new(), next_order: 0, capacity }
    }

    /// Stores a copy unless one of the same or a newer version is stored. Returns whether a newer copy of another
    /// holder is stored.
    pub fn store(&mut self, token: SessionToken, copy: SessionCopy) -> bool {
        if let Some(known) = self.copies.get(&token) {
            let is_overtaken = known.version > copy.version && known.holder != copy.holder;
            if is_overtaken || known.version >= copy.version {
                return is_overtaken;
            }
        } else {
            self.next_order += 1;
            self.insertion_order.insert(self.next_order, token);
        }
        self.copies.insert(token, copy);
        while self.copies.len() > self.capacity {
            if let Some((_, oldest)) = self.insertion_order.pop_first() {
                self.copies.remove(&oldest);
            }
        }
        false
    }

    /// Returns the copy of a session, if one is stored.
    pub fn get(&self, token: SessionToken) -> Option<&SessionCopy> {
        self.copies.get(&token)
    }

    /// Returns all copies with the tokens of their sessions.
    pub fn iter(&self) -> impl Iterator<Item = (SessionToken, &SessionCopy)> {
        self.copies.iter().map(|(token, copy)| (*token, copy))
    }

    /// Drops the copy of a session.
    pub fn forget(&mut self, token: SessionToken) {
        if self.copies.remove(&token).is_some() {
            self.insertion_order.retain(|_, known| *known != token);
        }
    }

    /// Returns the number of copies stored.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Returns whether no copy is stored.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }
}
