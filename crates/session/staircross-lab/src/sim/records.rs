//! The history of a simulation: the requests of callers, their outcomes, and the work that searchers executed.
//!
//! The oracle decides from these records alone.

use staircross_search::{Outcome, Work};
use staircross_types::{
    AttemptId, BootTime, RequestId, SearcherId, ServiceName, SessionToken, ShardId, ShardMap, Snapshot, Ticket,
};
use std::collections::BTreeMap;

/// One request of a caller, with its outcomes.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Id of the request.
    pub request: RequestId,
    /// Session in which the request was made.
    pub session: SessionToken,
    /// Service that the request addresses.
    pub service: ServiceName,
    /// Requested work. The first term of a search is unique to the request. The note of an action is unique to the
    /// caller's intent, and each repetition of the action has the same note.
    pub work: Work,
    /// Ticket of an action; `None` for a search.
    pub ticket: Option<Ticket>,
    /// Time at which the caller sent the request.
    pub submitted_at: BootTime,
    /// All outcomes that the root reported, in order, with their times. More than one is a violation.
    pub outcomes: Vec<(BootTime, Outcome)>,
    /// Whether the node that held the request crashed before it reported an outcome.
    pub node_crashed: bool,
    /// Time after which a request without an outcome is a violation. Pauses of the node that holds the request extend
    /// it.
    pub outcome_due: BootTime,
}

/// One sub-request that a searcher executed.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutionRecord {
    /// Attempt that the sub-request belongs to.
    pub attempt: AttemptId,
    /// Searcher that executed the sub-request.
    pub searcher: SearcherId,
    /// Snapshot that the sub-request read.
    pub snapshot: Snapshot,
    /// Shards that the sub-request covered.
    pub shards: Vec<ShardId>,
    /// Note of an action, which is unique to the caller's intent; `None` for a search.
    pub note: Option<String>,
}

/// A sub-request that reached a searcher after it had begun to leave.
#[derive(Clone, Debug, PartialEq)]
pub struct LeavingArrival {
    /// Searcher that the sub-request reached.
    pub searcher: SearcherId,
    /// Time since the searcher began to leave, in milliseconds.
    pub after_ms: u64,
}

/// A planned stop that ended the node while work was in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct UncleanStop {
    /// Number of requests that had no outcome when the node ended.
    pub requests: usize,
    /// Number of calls to searchers without a reply when the node ended.
    pub sub_requests: usize,
}

/// History of one simulation, which the oracle checks.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All requests of callers, by id.
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// All sub-requests that searchers executed, in the order in which they started.
    pub executions: Vec<ExecutionRecord>,
    /// All shard maps that were published at any time, by service and snapshot.
    pub maps: BTreeMap<(ServiceName, Snapshot), ShardMap>,
    /// Sub-requests that reached searchers after they had begun to leave, early and late ones.
    pub leaving_arrivals: Vec<LeavingArrival>,
    /// Planned stops that ended a node while work was in flight.
    pub unclean_stops: Vec<UncleanStop>,
    /// Number of outcomes for requests that no caller made.
    pub unmatched_outcomes: usize,
    /// Time up to which the simulation has run.
    pub ended_at: BootTime,
}
