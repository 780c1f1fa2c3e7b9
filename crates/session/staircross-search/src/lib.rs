//! Decisions of the query tier about requests. The modules do no input or output themselves.
//!
//! Each node has a root and a leaf. The root accepts the requests of callers, splits each into sub-requests for the
//! shards of a snapshot, and merges the replies. Searchers are the back ends that hold the shards. A leaf owns some of
//! the searchers, or a share of their slots, and passes the sub-requests of all roots on to them. Each start of a
//! searcher's process is a new incarnation of the searcher: one incarnation can be leaving while the next one serves.
//!
//! | module | decides or holds |
//! | --- | --- |
//! | [`root`] | the snapshot, plan, hedges and retries of each request, and when it is answered or refused |
//! | [`leaf`] | whether work may be sent to a searcher now |
//! | [`session`] | which sessions exist, which snapshots they have seen and which of their tickets are used |
//! | [`snapshot_choice`] | which snapshot a service is served from |
//! | [`replica`] | which replica of a shard is asked |
//! | [`replica_health`] | which replicas of shards are slow and are avoided |
//! | [`budget`] | how many hedges and retries may be sent |
//! | [`limiter`] | how many requests of a service may be in flight |
//! | [`request`] | what is recorded of one request in flight |
//! | [`message`] | the typed sub-requests, replies and outcomes |
//! | [`view`] | what is known about a searcher |
//! | [`outdated_view`] | whether the process has stood still for so long that the platform must be read first |
//!
//! [`RootEngine`] and [`LeafEngine`] take events through `on_event(now, event, &mut actions)` and append the actions
//! to carry out. The node, the simulator and the fuzz tests run the same code.

pub mod budget;
pub mod leaf;
pub mod limiter;
pub mod message;
pub mod outdated_view;
pub mod replica;
pub mod replica_health;
pub mod request;
pub mod root;
pub mod session;
pub mod snapshot_choice;
pub mod view;

pub use leaf::{LeafAction, LeafEngine, LeafEvent, LeafSettings};
pub use message::{
    ActionReceipt, Answer, NotRunReason, Outcome, Refusal, SubOutcome, SubReply, SubRequest, UnknownReason, Work,
};
pub use outdated_view::{Confirmation, OutdatedView, Recovery};
pub use root::{RootAction, RootEngine, RootEvent, RootSettings, Submission};
pub use session::{SessionState, SessionTable, TicketState};
pub use view::{ProbeReport, SearcherView};
