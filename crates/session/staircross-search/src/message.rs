//! Typed messages between root, leaf and caller.

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
    /// Search; may be repeated.
    Search(SearchQuery),
    /// Act; must run at most once.
    Act(ActionCommand),
}

impl Work {
    /// For a page of a pull, where it starts.
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
    /// Identity; echoed by every hop.
    pub attempt: AttemptId,
    /// The searcher asked.
    pub searcher: SearcherId,
    /// The snapshot asked for, never another.
    pub snapshot: Snapshot,
    /// Shards asked for.
    pub shards: Vec<ShardId>,
    /// What to do.
    pub work: Work,
    /// Time left when the message was written.
    pub remaining: Duration,
}

/// Why a sub-request certainly didn't run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// No room, or no time left in the queue.
    Shed,
    /// The searcher no longer holds the snapshot.
    SnapshotGone,
    /// The searcher is leaving.
    Draining,
    /// The leaf asked doesn't own the searcher.
    NotOwner,
    /// The leaf asked is stopping.
    LeafLeaving,
    /// No connection could be made, so no byte left.
    Unconnected,
}

impl NotRunReason {
    /// The cause that a shard gets when this was the last word on it.
    pub fn missing_cause(self) -> MissingCause {
        match self {
            NotRunReason::Shed => MissingCause::Shed,
            NotRunReason::SnapshotGone => MissingCause::SnapshotGone,
            NotRunReason::Draining => MissingCause::Draining,
            NotRunReason::NotOwner | NotRunReason::LeafLeaving | NotRunReason::Unconnected => MissingCause::Unreachable,
        }
    }
}

/// Why it is not known whether a sub-request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// Its time passed.
    Late,
    /// The connection broke, or the reply was truncated, damaged or for something else.
    Broken,
}

impl UnknownReason {
    /// The cause that a shard gets when this was the last word on it.
    pub fn missing_cause(self) -> MissingCause {
        match self {
            UnknownReason::Late => MissingCause::Late,
            UnknownReason::Broken => MissingCause::Unreachable,
        }
    }
}

/// Proof that an action ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionReceipt {
    /// The searcher's entry number in its audit trail.
    pub entry: u64,
    /// What the searcher says about it.
    pub message: String,
}

/// What became of a sub-request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubOutcome {
    /// Searched; one element for each shard that the searcher answered for.
    Found(Vec<ShardHits>),
    /// Acted.
    Acted(ActionReceipt),
    /// Ran nowhere.
    NotRun(NotRunReason),
    /// May have run.
    Unknown(UnknownReason),
}

/// Reply to a sub-request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubReply {
    /// Identity of the sub-request.
    pub attempt: AttemptId,
    /// The searcher that was asked.
    pub searcher: SearcherId,
    /// The snapshot that the reply comes from.
    pub snapshot: Snapshot,
    /// What became of it.
    pub outcome: SubOutcome,
    /// Time from sending to reply as the leaf measured it, without the wait for a slot.
    pub worked: Duration,
}

/// A merged answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The one snapshot that every hit comes from.
    pub snapshot: Snapshot,
    /// Shards included and lacking.
    pub coverage: Coverage,
    /// Matching documents in the included shards.
    pub matched: u64,
    /// Best hits, best first (a pull: in document order).
    pub hits: Vec<Hit>,
    /// Where the next page of a pull starts; `None` at its end and for searches.
    pub next: Option<PagePosition>,
    /// Sub-requests sent.
    pub sent: u32,
    /// Sub-requests that one answer strictly needed.
    pub needed: u32,
    /// Time from admission to answer.
    pub elapsed: Duration,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// One of the closed list.
    pub kind: ErrorKind,
    /// What exactly, for people.
    pub detail: String,
}

impl Refusal {
    /// Builds a refusal.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Refusal { kind, detail: detail.into() }
    }
}

/// The final word on a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// An answer, whole or partial.
    Answer(Box<Answer>),
    /// The action ran.
    Acted(ActionReceipt),
    /// Refused.
    Refusal(Refusal),
}
