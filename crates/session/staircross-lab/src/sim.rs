//! A simulated fleet: the real root and leaf engines, in simulated time and network.
//!
//! | module | holds |
//! | --- | --- |
//! | [`world`] | nodes, searchers, messages and the event queue |
//! | [`searcher`] | simulated searchers with slots, faults and a ledger |
//! | [`network`] | delays and cuts |
//! | [`records`] | what callers asked and got |
//! | [`oracle`] | the plain check of every answer against the ledger |

pub mod network;
pub mod oracle;
pub mod records;
pub mod searcher;
pub mod world;

pub use network::Place;
pub use oracle::{Violation, check_history};
pub use records::{History, RequestRecord};
pub use searcher::{ReplyFault, WorkTime};
pub use world::{World, WorldSettings};
