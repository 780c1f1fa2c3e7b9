//! What an answer includes and what it lacks.

use crate::ids::ShardId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingCause {
    /// Work was sent and no whole reply came in time.
    Late,
    /// No replica of the shard is known to be alive.
    Lost,
    /// Every replica asked refused for lack of room.
    Shed,
    /// Every replica asked no longer holds the snapshot.
    SnapshotGone,
    /// The replicas left are leaving and take no new work.
    Draining,
    /// A reply broke off, was damaged, or the connection failed.
    Unreachable,
}

impl MissingCause {
    /// The name used in answers, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            MissingCause::Late => "late",
            MissingCause::Lost => "lost",
            MissingCause::Shed => "shed",
            MissingCause::SnapshotGone => "snapshot_gone",
            MissingCause::Draining => "draining",
            MissingCause::Unreachable => "unreachable",
        }
    }
}

impl fmt::Display for MissingCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// One shard that an answer lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub cause: MissingCause,
}

/// Shards included and lacking, counted against the snapshot's own shard map.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards whose whole reply was merged, in rising order.
    pub included: Vec<ShardId>,
    /// Shards that are lacking, in rising order.
    pub missing: Vec<MissingShard>,
}

impl Coverage {
    /// Number of shards in the snapshot's map.
    pub fn total(&self) -> usize {
        self.included.len() + self.missing.len()
    }

    /// Included shards per thousand, rounded down; an index without shards is wholly covered.
    pub fn per_mille(&self) -> u32 {
        match self.total() {
            0 => 1000,
            total => (self.included.len() * 1000 / total) as u32,
        }
    }
}
