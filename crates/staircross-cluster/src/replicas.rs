//! Copies of session state at other nodes, so that a session outlives the node that holds it.
//!
//! Copies go to the members that rank highest for the token, in other zones than the holder's.
//! Any node can find them again, because it ranks the members the same way. Inputs: copies, asks.
//! Invariants: an older copy never replaces a newer one; memory is bounded.

use serde::{Deserialize, Serialize};
use staircross_types::{NodeId, SessionToken};
use std::collections::{BTreeMap, HashMap};

/// Copies kept besides the holder's own state.
pub const COPIES: usize = 2;
/// Members asked when a session is resumed. More than hold copies, because views of the members differ.
pub const ASKED: usize = 8;

/// One copy of a session's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionCopy {
    /// Rises with each change by a holder, and when another node takes over.
    pub version: u64,
    /// The node that holds the session.
    pub holder: NodeId,
    /// The state, encoded by the holder.
    pub state: Vec<u8>,
}

/// Messages about copies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Keep this.
    Store { token: SessionToken, copy: SessionCopy },
    /// Kept; or not, because a newer copy by another holder is known.
    Stored { token: SessionToken, version: u64, is_overtaken: bool },
    /// What do you have?
    Fetch { token: SessionToken, ask: u64 },
    /// This.
    Fetched { token: SessionToken, ask: u64, copy: Option<SessionCopy> },
    /// The session was closed.
    Forget { token: SessionToken },
    /// Another node holds the session now.
    Moved { token: SessionToken },
}

/// Copies that this node keeps for others.
pub struct ReplicaStore {
    copies: HashMap<SessionToken, SessionCopy>,
    order: BTreeMap<u64, SessionToken>,
    next_order: u64,
    capacity: usize,
}

impl ReplicaStore {
    /// Keeps at most `capacity` copies; the one stored longest ago goes first.
    pub fn new(capacity: usize) -> Self {
        ReplicaStore { copies: HashMap::new(), order: BTreeMap::new(), next_order: 0, capacity }
    }

    /// Keeps a copy unless a newer one is known; returns whether it was overtaken.
    pub fn store(&mut self, token: SessionToken, copy: SessionCopy) -> bool {
        if let Some(known) = self.copies.get(&token) {
            let is_overtaken = known.version > copy.version && known.holder != copy.holder;
            if is_overtaken || known.version >= copy.version {
                return is_overtaken;
            }
        } else {
            self.next_order += 1;
            self.order.insert(self.next_order, token);
        }
        self.copies.insert(token, copy);
        while self.copies.len() > self.capacity {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.copies.remove(&oldest);
            }
        }
        false
    }

    /// The copy of a session.
    pub fn get(&self, token: SessionToken) -> Option<&SessionCopy> {
        self.copies.get(&token)
    }

    /// Drops a copy.
    pub fn forget(&mut self, token: SessionToken) {
        if self.copies.remove(&token).is_some() {
            self.order.retain(|_, known| *known != token);
        }
    }

    /// Number of copies.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Whether there is no copy.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }
}
