//! Search requests and results.
//!
//! Callers, roots, leaves and searchers exchange them. A root is the node that divides a caller's request among the
//! shards and merges their results. A leaf is a node that owns searchers and sends them calls.

use crate::ids::ShardId;
use serde::{Deserialize, Serialize};

/// A search request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchQuery {
    /// Terms that a document must all contain; empty matches every document.
    pub terms: Vec<String>,
    /// Maximum number of hits to return.
    pub limit: u32,
    /// In a paged query, restricts the result to documents after this position in (shard, document) order.
    pub after: Option<PagePosition>,
}

/// A position in the (shard, document) order of a paged query.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PagePosition {
    /// The shard of the last document returned.
    pub shard: ShardId,
    /// The id of the last document returned.
    pub document: String,
}

/// One matching document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// Document id, unique within a snapshot.
    pub document: String,
    /// The shard that holds the document.
    pub shard: ShardId,
    /// Relevance; a higher score is better.
    pub score: f32,
    /// Title of the document, for people.
    pub title: String,
}

/// The hits of one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardHits {
    /// The shard.
    pub shard: ShardId,
    /// Number of documents that match, including those that aren't listed in `hits`.
    pub matched: u64,
    /// The best hits, in descending order of relevance.
    pub hits: Vec<Hit>,
}

/// A non-repeatable request, which a searcher of one shard runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionCommand {
    /// Name of the action, e.g. `confirm`.
    pub verb: String,
    /// Id of the document on which to act; it determines the shard.
    pub target: String,
    /// Free text that is kept in the audit trail.
    pub note: String,
}

/// Returns which of `shard_count` shards holds `document`.
///
/// Searchers place documents by this function and roots route actions by it, so its results must never change.
pub fn shard_of(document: &str, shard_count: usize) -> ShardId {
    ShardId((xxhash_rust::xxh3::xxh3_64(document.as_bytes()) % shard_count.max(1) as u64) as u32)
}
