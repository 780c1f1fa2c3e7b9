//! What callers asked and got, and what searchers truly ran: all that the oracle looks at.

use staircross_search::{Outcome, Work};
use staircross_types::{
    AttemptId, BootTime, RequestId, SearcherId, ServiceName, SessionToken, ShardId, ShardMap, Snapshot, Ticket,
};
use std::collections::BTreeMap;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub request: RequestId,
    /// The session.
    pub session: SessionToken,
    /// The service asked.
    pub service: ServiceName,
    /// What was asked; its first term or note is unique to the request.
    pub work: Work,
    /// The ticket of an action.
    pub ticket: Option<Ticket>,
    /// When it was submitted.
    pub submitted: BootTime,
    /// Every final word, in order. There must be one at the most.
    pub outcomes: Vec<(BootTime, Outcome)>,
    /// Whether the node that held it crashed before the final word.
    pub holder_crashed: bool,
    /// Latest time for the final word, pauses of the holder included.
    pub due: BootTime,
}

/// One piece of work that truly ran.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// Its identity.
    pub attempt: AttemptId,
    /// Where.
    pub searcher: SearcherId,
    /// On which snapshot.
    pub snapshot: Snapshot,
    /// On which shards.
    pub shards: Vec<ShardId>,
    /// For an action: its note, unique to the caller's intention.
    pub note: Option<String>,
}

/// New work that reached a leaving searcher.
#[derive(Clone, Debug, PartialEq)]
pub struct LateArrival {
    /// Where.
    pub searcher: SearcherId,
    /// How long it had been leaving, in milliseconds.
    pub after_ms: u64,
}

/// Work cut off by a planned stop.
#[derive(Clone, Debug, PartialEq)]
pub struct CutOff {
    /// Requests without a final word when the node ended.
    pub requests: usize,
    /// Sub-requests that its leaf had not answered when the node ended.
    pub sub_requests: usize,
}

/// The whole history of one simulated run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All requests.
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// All that ran, in order.
    pub runs: Vec<RunRecord>,
    /// All shard maps that were ever published, by service and snapshot.
    pub maps: BTreeMap<(ServiceName, Snapshot), ShardMap>,
    /// New work that reached leaving searchers.
    pub late_arrivals: Vec<LateArrival>,
    /// Planned stops that cut something off.
    pub cut_offs: Vec<CutOff>,
    /// Final words to requests that nobody made.
    pub unknown_outcomes: usize,
    /// When the run ended.
    pub ended: BootTime,
}
