//! Messages between a leaf and a searcher (JSON over HTTP/1.1); see `docs/PROTOCOLS.md`.

use crate::ids::{AttemptId, SearcherId, SearcherIncarnation, ShardId};
use crate::query::{ActionCommand, SearchQuery, ShardHits};
use crate::snapshot::Snapshot;
use serde::{Deserialize, Serialize};

/// Header that carries [`crate::body_digest`] of a body.
pub const DIGEST_HEADER: &str = "x-content-digest";
/// Path of [`SearchCall`].
pub const SEARCH_PATH: &str = "/v1/search";
/// Path of [`ActCall`].
pub const ACT_PATH: &str = "/v1/act";
/// Path of [`CancelCall`].
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path that answers [`StateReply`].
pub const STATE_PATH: &str = "/v1/state";

/// Asks a searcher to search some shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchCall {
    /// Identity, echoed in the reply.
    pub attempt: AttemptId,
    /// The snapshot to search, never another.
    pub snapshot: Snapshot,
    /// Shards to search.
    pub shards: Vec<ShardId>,
    /// What to look for.
    pub query: SearchQuery,
    /// Milliseconds after which the reply is of no use.
    pub remaining_ms: u64,
}

/// Asks a searcher to act.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActCall {
    /// Identity, echoed in the reply.
    pub attempt: AttemptId,
    /// The snapshot that the action is based on.
    pub snapshot: Snapshot,
    /// The shard that holds the target.
    pub shard: ShardId,
    /// What to do.
    pub command: ActionCommand,
    /// Milliseconds after which the action must not be started.
    pub remaining_ms: u64,
}

/// Tells a searcher that an attempt is no longer wanted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelCall {
    /// The attempt.
    pub attempt: AttemptId,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum CallStatus {
    /// Searched.
    Found {
        /// One element per shard searched.
        shards: Vec<ShardHits>,
    },
    /// Acted.
    Acted {
        /// Entry number in the audit trail.
        entry: u64,
        /// Words for people.
        message: String,
    },
    /// Not run: no free slot.
    Shed,
    /// Not run: the snapshot isn't held.
    SnapshotGone,
    /// Not run: the searcher is leaving.
    Draining,
    /// Stopped part-way by cancellation or its deadline.
    Stopped,
}

/// Reply to [`SearchCall`] and [`ActCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallReply {
    /// The call's identity.
    pub attempt: AttemptId,
    /// The snapshot that the reply comes from.
    pub snapshot: Snapshot,
    /// The run of the searcher that replies.
    pub incarnation: SearcherIncarnation,
    /// How it ended.
    #[serde(flatten)]
    pub status: CallStatus,
}

/// A searcher's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StateReply {
    /// The searcher's number.
    pub searcher: SearcherId,
    /// This run of it.
    pub incarnation: SearcherIncarnation,
    /// Snapshots held.
    pub snapshots: Vec<Snapshot>,
    /// Whether it is leaving.
    pub draining: bool,
    /// Its own idea of its load, 0 to 1. It lags and misleads; decisions don't use it.
    pub load: f64,
}
