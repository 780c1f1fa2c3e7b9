//! Detects that this node is isolated: no datagram of any peer arrives.
//!
//! Members probe each other all the time, so a node that receives no datagrams is cut off. The node notices this long
//! before the membership declares the other nodes dead, and before one of the node's own requests times out.

use staircross_types::BootTime;
use std::time::Duration;

/// Silence of all peers after which the node counts as isolated: four intervals between its own probes.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Time of the last datagram from any peer, and whether the node is isolated.
#[derive(Clone, Copy, Debug)]
pub(super) struct IsolationDetector {
    last_heard_at: BootTime,
    is_isolated: bool,
}

impl IsolationDetector {
    /// Returns the state of a node that has just started; its silence is counted from `now`.
    pub fn new(now: BootTime) -> Self {
        IsolationDetector { last_heard_at: now, is_isolated: false }
    }

    /// Records that a peer's datagram arrived, and returns whether the node was isolated until now.
    pub fn record_datagram(&mut self, now: BootTime) -> bool {
        self.last_heard_at = now;
        std::mem::take(&mut self.is_isolated)
    }

    /// Returns whether the node has become isolated since the previous call. A node without peers never does.
    pub fn detect_isolation(&mut self, now: BootTime, has_peers: bool) -> bool {
        let is_isolated = has_peers && now.since(self.last_heard_at) >= ISOLATION_TIMEOUT;
        is_isolated && !std::mem::replace(&mut self.is_isolated, is_isolated)
    }
}
