//! Index snapshots and shard maps.
//!
//! A [`Snapshot`] names exactly one state of one service's index. An answer is built from replies
//! of one snapshot only, and its coverage is counted against that snapshot's own [`ShardMap`].

use crate::ids::{SearcherId, ShardId};
use serde::{Deserialize, Serialize};
use std::fmt;

/// One state of an index: its version, the partition it is cut by, and the build that made it.
///
/// Ordered by version, then epoch, then build. Two builds of one version are two snapshots:
/// their documents may differ, so they must never be merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Index version; rises with each publish.
    pub version: u64,
    /// Partition epoch; rises when documents move between shards.
    pub epoch: u64,
    /// Build that produced the files.
    pub build: u64,
}

impl fmt::Display for Snapshot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.version, self.epoch, self.build)
    }
}

/// Where one shard's replicas are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardPlacement {
    /// The shard.
    pub shard: ShardId,
    /// Searchers that hold it.
    pub replicas: Vec<SearcherId>,
}

/// All shards of one snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMap {
    /// The snapshot that this map describes.
    pub snapshot: Snapshot,
    /// Every shard, in rising order of shard id.
    pub shards: Vec<ShardPlacement>,
}
