//! Limits the rate at which case records are pushed to peers.
//!
//! A case consists of the requests with one content during which searchers were lost; a record of it lists the losses.
//! To push records means to send them to some peers at once, instead of with the next periodic datagrams.
//!
//! When many searchers end at the same time, many requests are suspected for a moment, and each push goes to a dozen
//! peers, so the rate of pushes is limited. But a node that doesn't know the suspects yet may send the request that
//! crashes searchers to one searcher of each shard, and that request needn't be the first suspect. So a short burst of
//! pushes is allowed. There is at most one push per turn of the event loop, with all updates of the turn.
//!
//! [`CasePushLimiter`] owns only the timing. The engine supplies the records, and the fleet chooses the peers.

use staircross_types::BootTime;
use std::time::Duration;

/// Minimum interval between pushes on average, so that each peer gets at most ten pushed datagrams per second.
const PUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Number of pushes that may be made in a burst. The searchers of a request's shards end within about 100 ms, and the
/// updates about them arrive in a few turns of the event loop.
const MAX_BURST: u32 = 4;

/// Rate limiter for pushes of case records to peers.
#[derive(Debug, Default)]
pub struct CasePushLimiter {
    has_update: bool,
    /// Time until which the earlier pushes use up the allowed rate.
    used_until: BootTime,
}

impl CasePushLimiter {
    /// Records that there are updates to push.
    pub fn record_update(&mut self) {
        self.has_update = true;
    }

    /// Returns whether to push now. If so, the push is counted as made.
    pub fn take_due_push(&mut self, now: BootTime) -> bool {
        let may_push = self.has_update && self.used_until <= now + PUSH_INTERVAL * (MAX_BURST - 1);
        if may_push {
            self.has_update = false;
            self.used_until = self.used_until.max(now) + PUSH_INTERVAL;
        }
        may_push
    }
}
