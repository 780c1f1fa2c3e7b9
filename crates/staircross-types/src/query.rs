//! Search requests and results as they travel between caller, root, leaf and searcher.

use crate::ids::ShardId;
use serde::{Deserialize, Serialize};

/// What to look for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchQuery {
    /// Terms that a document must all contain; empty matches every document.
    pub terms: Vec<String>,
    /// Most hits to return.
    pub limit: u32,
    /// For a paged pull: only documents after this position in (shard, document) order.
    pub after: Option<PagePosition>,
}

/// A position in the (shard, document) order of a paged pull.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PagePosition {
    /// The shard of the last document seen.
    pub shard: ShardId,
    /// The last document seen.
    pub document: String,
}

/// One matching document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// Document id, unique within a snapshot.
    pub document: String,
    /// Shard that holds it.
    pub shard: ShardId,
    /// Relevance; higher is better.
    pub score: f32,
    /// Text to show.
    pub title: String,
}

/// One shard's part of a reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardHits {
    /// The shard.
    pub shard: ShardId,
    /// Documents that match, beyond those listed too.
    pub matched: u64,
    /// Best hits, best first.
    pub hits: Vec<Hit>,
}

/// A non-repeatable request to one shard's searcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionCommand {
    /// What to do, e.g. `confirm`.
    pub verb: String,
    /// The document acted on; it selects the shard.
    pub target: String,
    /// Free text kept in the audit trail.
    pub note: String,
}

/// Shard that holds `document`, of `shard_count` shards.
///
/// Searchers place documents by this rule and roots send actions by it, so it must never change.
pub fn shard_of(document: &str, shard_count: usize) -> ShardId {
    ShardId((xxhash_rust::xxh3::xxh3_64(document.as_bytes()) % shard_count.max(1) as u64) as u32)
}
