//! Messages between a leaf and a searcher (JSON over HTTP/1.1); see `docs/PROTOCOLS.md`.

use crate::ids::{AttemptId, SearcherId, SearcherIncarnation, ShardId};
use crate::query::{ActionCommand, SearchQuery, ShardHits};
use crate::snapshot::Snapshot;
use serde::{Deserialize, Serialize};

/// Header field with the [`crate::body_digest`] of the body.
pub const DIGEST_HEADER: &str = "x-content-digest";
/// Path to which a [`SearchCall`] is sent.
pub const SEARCH_PATH: &str = "/v1/search";
/// Path to which an [`ActCall`] is sent.
pub const ACT_PATH: &str = "/v1/act";
/// Path to which a [`CancelCall`] is sent.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path at which a searcher answers with its [`StateReply`].
pub const STATE_PATH: &str = "/v1/state";

/// Asks a searcher to search some shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchCall {
    /// Id of the attempt, repeated in the reply.
    pub attempt: AttemptId,
    /// The snapshot to search; the searcher must not use another one.
    pub snapshot: Snapshot,
    /// Shards to search.
    pub shards: Vec<ShardId>,
    /// The search request.
    pub query: SearchQuery,
    /// Milliseconds from the receipt of the call after which the reply is no longer useful.
    pub remaining_ms: u64,
}

/// Asks a searcher to run an action.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActCall {
    /// Id of the attempt, repeated in the reply.
    pub attempt: AttemptId,
    /// The snapshot on which the action is based.
    pub snapshot: Snapshot,
    /// The shard that holds the target document.
    pub shard: ShardId,
    /// The action to run.
    pub command: ActionCommand,
    /// Milliseconds from the receipt of the call after which the action must not be started.
    pub remaining_ms: u64,
}

/// Notifies a searcher that the reply to an attempt is no longer needed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelCall {
    /// Id of the attempt to cancel.
    pub attempt: AttemptId,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum CallStatus {
    /// The search was run.
    Found {
        /// The result, with one element per searched shard.
        shards: Vec<ShardHits>,
    },
    /// The action was run.
    Acted {
        /// Number of the action's entry in the audit trail.
        entry: u64,
        /// Result of the action, for people.
        message: String,
    },
    /// The call wasn't run because the searcher had no free slot.
    Shed,
    /// The call wasn't run because the searcher doesn't hold the snapshot.
    SnapshotGone,
    /// The call wasn't run because the searcher is draining.
    Draining,
    /// The call was stopped before it was done, by a cancellation or because its time had passed.
    Stopped,
}

/// Reply to [`SearchCall`] and [`ActCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallReply {
    /// Id of the call's attempt.
    pub attempt: AttemptId,
    /// The snapshot that the searcher used.
    pub snapshot: Snapshot,
    /// The incarnation of the searcher that replies.
    pub incarnation: SearcherIncarnation,
    /// How the call ended.
    #[serde(flatten)]
    pub status: CallStatus,
}

/// A searcher's answer at [`STATE_PATH`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StateReply {
    /// The searcher's number.
    pub searcher: SearcherId,
    /// The searcher's current incarnation.
    pub incarnation: SearcherIncarnation,
    /// Snapshots that the searcher holds.
    pub snapshots: Vec<Snapshot>,
    /// Whether the searcher is draining: it accepts no new calls.
    pub draining: bool,
    /// The searcher's own estimate of its load, from 0 to 1. The estimate is late and misleading, so no decision uses
    /// it.
    pub load: f64,
}
