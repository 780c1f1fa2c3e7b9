//! The shards that an answer includes and those that it lacks.

use crate::ids::ShardId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingCause {
    /// A sub-request was sent, and no complete reply arrived in time.
    Late,
    /// No searcher that holds the shard is known to be alive.
    Lost,
    /// Every searcher that was asked refused for lack of capacity.
    Shed,
    /// None of the searchers that were asked holds the snapshot any longer.
    SnapshotGone,
    /// The remaining searchers that hold the shard are draining and accept no new work.
    Draining,
    /// A reply was truncated or damaged, or the connection failed.
    Unreachable,
}

impl MissingCause {
    /// Returns the name of the cause in answers, metrics and logs.
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

/// A shard that an answer lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why the shard is missing.
    pub cause: MissingCause,
}

/// The included and the missing shards of an answer. Together they are the shards of the snapshot's own shard map.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards whose complete reply was merged into the answer, in ascending order.
    pub included: Vec<ShardId>,
    /// Shards that the answer lacks, in ascending order.
    pub missing: Vec<MissingShard>,
}

impl Coverage {
    /// Returns the number of shards in the snapshot's shard map.
    pub fn total(&self) -> usize {
        self.included.len() + self.missing.len()
    }

    /// Returns the share of included shards in thousandths, rounded down. An index without shards counts as fully
    /// covered.
    pub fn per_mille(&self) -> u32 {
        match self.total() {
            0 => 1000,
            total => (self.included.len() * 1000 / total) as u32,
        }
    }
}
