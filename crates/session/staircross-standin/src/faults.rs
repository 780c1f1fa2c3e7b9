//! Scripted faults of a searcher.

use serde::{Deserialize, Serialize};
use staircross_types::ShardId;

/// One way to misbehave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Calls that touch this shard take longer.
    SlowShard {
        /// The shard.
        shard: ShardId,
        /// Extra milliseconds.
        delay_ms: u64,
    },
    /// Every call takes longer.
    Slow {
        /// Extra milliseconds.
        delay_ms: u64,
    },
    /// Calls run and the connection closes without a reply.
    LoseReply,
    /// The reply is cut in the middle.
    TruncateReply,
    /// The reply's body is damaged but whole in length.
    DamageReply,
    /// The reply names another attempt and holds another's hits.
    CrossReply,
    /// The reply names another snapshot.
    WrongSnapshot,
    /// The reply leaves out its last shard.
    OmitShard,
    /// The reply holds a shard that wasn't asked for.
    AddShard,
    /// The state endpoint tells of no load and health whatever is true.
    MisleadingState,
    /// Every call is refused for lack of room.
    Shed,
    /// Every connection closes without a word, as if the machine were gone.
    Dead,
}

/// The faults in force; a fault may be limited to a number of calls.
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
    /// Adds a fault; with `calls`, for so many calls only.
    pub fn add(&mut self, fault: Fault, calls: Option<u32>) {
        self.active.push(ActiveFault { fault, calls_left: calls });
    }

    /// Removes all faults.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// The faults that apply to the next call, which is counted.
    pub fn take_for_call(&mut self) -> Vec<Fault> {
        let faults = self.active.iter().map(|active| active.fault.clone()).collect();
        for active in &mut self.active {
            active.calls_left = active.calls_left.map(|left| left.saturating_sub(1));
        }
        self.active.retain(|active| active.calls_left != Some(0));
        faults
    }

    /// Whether a fault is in force, without counting a call.
    pub fn contains(&self, fault: &Fault) -> bool {
        self.active.iter().any(|active| active.fault == *fault)
    }
}
