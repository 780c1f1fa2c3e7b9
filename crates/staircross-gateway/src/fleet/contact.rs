//! Whether this node hears any of its peers.
//!
//! Members probe each other all the time, so a node that nobody is heard by is cut off. It knows that long before membership takes the others for dead, and
//! before any of its own questions has gone unanswered.

use staircross_types::BootTime;
use std::time::Duration;

/// Silence of all peers after which a node is isolated: four of its own probes.
const ISOLATED_AFTER: Duration = Duration::from_millis(800);

/// When a peer was heard last, and what follows.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contact {
    heard_at: BootTime,
    is_isolated: bool,
}

impl Contact {
    /// A node that has just started, and counts as heard.
    pub fn new(now: BootTime) -> Self {
        Contact { heard_at: now, is_isolated: false }
    }

    /// A peer's datagram has come. Says whether the node was isolated until now.
    pub fn note_heard(&mut self, now: BootTime) -> bool {
        self.heard_at = now;
        std::mem::take(&mut self.is_isolated)
    }

    /// Says whether the node has become isolated since the last look; one without any peers never is.
    pub fn look(&mut self, now: BootTime, has_peers: bool) -> bool {
        let is_isolated = has_peers && now.since(self.heard_at) >= ISOLATED_AFTER;
        is_isolated && !std::mem::replace(&mut self.is_isolated, is_isolated)
    }
}
