//! Request decisions of the query tier, without input or output of their own.
//!
//! | module | decides |
//! | --- | --- |
//! | [`root`] | for one request: snapshot, plan, hedges, retries, when to answer or refuse |
//! | [`leaf`] | for one searcher: whether work may be sent to it now |
//! | [`session`] | which sessions exist, what they have seen, which tickets are used |
//! | [`snapshot_choice`] | which snapshot of a service is served |
//! | [`replica`] | which replica of a shard is asked |
//! | [`copies`] | which copies of shards are slow and avoided |
//! | [`budget`], [`limiter`] | how much extra work, how many requests |
//! | [`request`] | state of one request in flight |
//! | [`message`] | typed sub-requests, replies and outcomes |
//!
//! Everything is driven by `on_event(now, event, &mut actions)`. The node, the simulator and the
//! fuzz tests run the same code.

pub mod budget;
pub mod copies;
pub mod leaf;
pub mod limiter;
pub mod message;
pub mod replica;
pub mod request;
pub mod root;
pub mod session;
pub mod snapshot_choice;
pub mod view;

pub use leaf::{LeafAction, LeafEngine, LeafEvent, LeafSettings};
pub use message::{
    ActionReceipt, Answer, NotRunReason, Outcome, Refusal, SubOutcome, SubReply, SubRequest, UnknownReason, Work,
};
pub use root::{RootAction, RootEngine, RootEvent, RootSettings, Submission};
pub use session::{SessionState, SessionTable, TicketState};
pub use view::{Evidence, SearcherView};
