//! A simulated fleet. It runs the real root and leaf engines on simulated time and a simulated network.
//!
//! | module | holds |
//! | --- | --- |
//! | [`world`] | nodes, callers, messages and the event queue |
//! | [`searcher`] | simulated searchers with slots, a queue and faults |
//! | [`network`] | message delays and network cuts |
//! | [`records`] | the history: requests, their outcomes and the work that searchers executed |
//! | [`oracle`] | the check of every outcome against the history |

pub mod network;
pub mod oracle;
pub mod records;
pub mod searcher;
pub mod world;

pub use network::Endpoint;
pub use oracle::{Violation, check_history};
pub use records::{History, RequestRecord};
pub use searcher::{ReplyFault, WorkTime};
pub use world::{World, WorldSettings};
