//! Typed messages between caller, root, leaf and searcher.
//!
//! A root splits a request into sub-requests. Each is sent to a leaf that owns the searcher, and the leaf passes it on
//! to the searcher.

use serde::{Deserialize, Serialize};
use staircross_types::query::PagePosition;
use staircross_types::{
    ActionCommand, AttemptId, Coverage, ErrorKind, Hit, MissingCause, SearchQuery, SearcherId, ShardHits, ShardId,
    Snapshot,
};
use std::time::Duration;

/// What a searcher is asked to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A search, which may be executed more than once.
    Search(SearchQuery),
    /// An action, which must be executed at most once.
    Act(ActionCommand),
}

impl Work {
    /// Returns where the page starts, for a page of a pull.
    pub fn page_start(&self) -> Option<&PagePosition> {
        match self {
            Work::Search(query) => query.after.as_ref(),
            Work::Act(_) => None,
        }
    }
}

/// One sub-request, from a root through a leaf to one searcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubRequest {
    /// Id of the attempt. The reply repeats it.
    pub attempt: AttemptId,
    /// The searcher that is asked.
    pub searcher: SearcherId,
    /// The only snapshot that the searcher may answer from.
    pub snapshot: Snapshot,
    /// Shards to search or, for an action, the shard that holds its target.
    pub shards: Vec<ShardId>,
    /// What the searcher is asked to do.
    pub work: Work,
    /// Time that was left until the request's deadline when the message was written.
    pub remaining: Duration,
}

/// Why a sub-request was certainly not executed and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The queue was full, or the deadline passed in the queue.
    Shed,
    /// The searcher no longer holds the snapshot.
    SnapshotGone,
    /// The searcher is leaving.
    Draining,
    /// The leaf that was asked doesn't own the searcher, or has not owned any for long enough to accept work.
    NotOwner,
    /// The leaf that was asked is stopping.
    LeafLeaving,
    /// No connection to the searcher could be made, so that no byte was sent.
    Unconnected,
}

impl NotRunReason {
    /// Returns the cause for which a shard is missing when no later attempt answered it.
    pub fn missing_cause(self) -> MissingCause {
        match self {
            NotRunReason::Shed => MissingCause::Shed,
            NotRunReason::SnapshotGone => MissingCause::SnapshotGone,
            NotRunReason::Draining => MissingCause::Draining,
            NotRunReason::NotOwner | NotRunReason::LeafLeaving | NotRunReason::Unconnected => MissingCause::Unreachable,
        }
    }
}

/// Why it is not known whether a sub-request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// No reply came before the deadline.
    Late,
    /// The connection broke, or the reply was truncated, damaged or for another sub-request.
    Broken,
}

impl UnknownReason {
    /// Returns the cause for which a shard is missing when no later attempt answered it.
    pub fn missing_cause(self) -> MissingCause {
        match self {
            UnknownReason::Late => MissingCause::Late,
            UnknownReason::Broken => MissingCause::Unreachable,
        }
    }
}

/// Confirmation by a searcher that an action was executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionReceipt {
    /// Number of the action's entry in the searcher's audit trail.
    pub entry: u64,
    /// The searcher's text about the action.
    pub message: String,
}

/// How a sub-request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubOutcome {
    /// The search was executed. There is one element for each shard that the searcher answered for.
    Found(Vec<ShardHits>),
    /// The action was executed.
    Acted(ActionReceipt),
    /// The sub-request was not executed and never will be.
    NotRun(NotRunReason),
    /// The sub-request may have been executed.
    Unknown(UnknownReason),
}

/// Reply to a sub-request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubReply {
    /// Id of the attempt that the reply is for.
    pub attempt: AttemptId,
    /// The searcher that was asked.
    pub searcher: SearcherId,
    /// The snapshot that the reply comes from.
    pub snapshot: Snapshot,
    /// How the sub-request ended.
    pub outcome: SubOutcome,
    /// Time that the leaf measured from sending the sub-request to the reply. It doesn't include the time in the leaf's
    /// queue.
    pub worked: Duration,
}

/// The answer to a search, merged from the replies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The one snapshot that every hit comes from.
    pub snapshot: Snapshot,
    /// Shards that are included and shards that are missing.
    pub coverage: Coverage,
    /// Number of matching documents in the included shards.
    pub matched: u64,
    /// The best hits, best first; for a pull, the page's hits in the order of shard and document.
    pub hits: Vec<Hit>,
    /// Where the next page of a pull starts; `None` after the last page and for searches.
    pub next: Option<PagePosition>,
    /// Number of sub-requests sent.
    pub sent: u32,
    /// Number of sub-requests of the first plan. Hedges, retries and later plans are extra work.
    pub needed: u32,
    /// Time from admission to answer.
    pub elapsed: Duration,
}

/// An error returned to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Kind of the error, one of a closed list.
    pub kind: ErrorKind,
    /// Description for people.
    pub detail: String,
}

impl Refusal {
    /// Builds a refusal.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Refusal { kind, detail: detail.into() }
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request was answered in whole or in part.
    Answer(Box<Answer>),
    /// The action was executed.
    Acted(ActionReceipt),
    /// The request was refused.
    Refusal(Refusal),
}
