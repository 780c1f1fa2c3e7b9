//! Index snapshots and shard maps.
//!
//! A [`Snapshot`] identifies exactly one state of one service's index. An answer is built from replies of one snapshot
//! only, and its coverage is counted against that snapshot's own [`ShardMap`].

use crate::ids::{SearcherId, ShardId};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies one state of an index: its version, its partitioning into shards, and the build that produced it.
///
/// Snapshots are ordered by version, then epoch, then build. Two builds of one version are different snapshots: their
/// documents may differ, so replies from both must never be merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Version of the index, which increases each time the index is published.
    pub version: u64,
    /// Number of the partitioning, which increases when documents move between shards.
    pub epoch: u64,
    /// Number of the build that produced the index files.
    pub build: u64,
}

impl fmt::Display for Snapshot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.version, self.epoch, self.build)
    }
}

/// The searchers that hold one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardPlacement {
    /// The shard.
    pub shard: ShardId,
    /// Searchers that hold a replica of the shard.
    pub replicas: Vec<SearcherId>,
}

/// All shards of one snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMap {
    /// The snapshot that this map describes.
    pub snapshot: Snapshot,
    /// All shards, in ascending order of their ids.
    pub shards: Vec<ShardPlacement>,
}
