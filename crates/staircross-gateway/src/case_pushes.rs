//! When the requests under which searchers were lost are pushed to peers at once.
//!
//! When many searchers end at once, many requests are suspect for a moment, and each push goes to a dozen peers, so pushes are bounded. But until a
//! node knows, it may send the request that is to blame to one searcher of each shard, and the one to blame needn't be the first that is
//! suspected. So a few pushes may follow each other closely, each once per turn of the event loop with all that the turn brought.
//!
//! [`CasePushes`] owns the pace alone; what is pushed comes from the engine, and to whom from the fleet.

use staircross_types::BootTime;
use std::time::Duration;

/// Time between two pushes in the long run. So that ten datagrams a second to each peer are the most.
const PUSH_GAP: Duration = Duration::from_millis(100);
/// Pushes that may be made ahead of that. The searchers of a request's shards end within some 100 ms, and updates on them come in a few turns.
const BURST: u32 = 4;

/// Whether there are updates for peers, and when they may be pushed.
#[derive(Debug, Default)]
pub struct CasePushes {
    has_update: bool,
    /// The pushes made take up time until then.
    taken_until: BootTime,
}

impl CasePushes {
    /// There are updates that peers should know at once.
    pub fn note_update(&mut self) {
        self.has_update = true;
    }

    /// Whether to push now; if so, the push counts as made.
    pub fn take(&mut self, now: BootTime) -> bool {
        let may_push = self.has_update && self.taken_until <= now + PUSH_GAP * (BURST - 1);
        if may_push {
            self.has_update = false;
            self.taken_until = self.taken_until.max(now) + PUSH_GAP;
        }
        may_push
    }
}
