//! Faults that tests can inject into a searcher stand-in.

use serde::{Deserialize, Serialize};
use staircross_types::ShardId;

/// A fault of a searcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Calls that read this shard take longer.
    SlowShard {
        /// The slow shard.
        shard: ShardId,
        /// Extra milliseconds.
        delay_ms: u64,
    },
    /// Every call takes longer.
    Slow {
        /// Extra milliseconds.
        delay_ms: u64,
    },
    /// Calls are executed, then the connection closes without a reply.
    LoseReply,
    /// The reply is cut off in the middle of its body.
    TruncateReply,
    /// The reply's body is corrupted but has its full length.
    DamageReply,
    /// The reply names another attempt.
    CrossReply,
    /// The reply names another snapshot.
    WrongSnapshot,
    /// The reply leaves out its last shard.
    OmitShard,
    /// The reply includes a shard that wasn't requested.
    AddShard,
    /// The state endpoint always reports no load and no drain.
    MisleadingState,
    /// Every call is refused as if all slots and the queue were full.
    Shed,
    /// Every connection closes without a reply, as if the machine had failed.
    Dead,
}

/// The active faults. Each may be limited to a number of calls.
#[derive(Clone, Debug, Default)]
pub struct FaultScript {
    active: Vec<ActiveFault>,
}

#[derive(Clone, Debug)]
struct ActiveFault {
    fault: Fault,
    calls_left: Option<u32>,
}

impl FaultScript {
    /// Adds a fault. If `calls` is given, the fault ends after that number of calls.
    pub fn add(&mut self, fault: Fault, calls: Option<u32>) {
        self.active.push(ActiveFault { fault, calls_left: calls });
    }

    /// Removes all faults.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Returns the faults that apply to the next call, and counts this call.
    pub fn take_for_call(&mut self) -> Vec<Fault> {
        let faults = self.active.iter().map(|active| active.fault.clone()).collect();
        for active in &mut self.active {
            active.calls_left = active.calls_left.map(|left| left.saturating_sub(1));
        }
        self.active.retain(|active| active.calls_left != Some(0));
        faults
    }

    /// Returns whether a fault is active, without counting a call.
    pub fn contains(&self, fault: &Fault) -> bool {
        self.active.iter().any(|active| active.fault == *fault)
    }
}
