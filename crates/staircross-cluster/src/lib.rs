//! How nodes act as one system, without input or output of their own.
//!
//! | module | decides |
//! | --- | --- |
//! | [`engine`] | composes the parts below; the one entry point for a node |
//! | [`membership`] | who is in the fleet: probes, suspicion, refutation, gossip |
//! | [`member`] | one node's record and how two records of it merge |
//! | [`ownership`] | which nodes own which searchers, and their share of slots |
//! | [`published`] | the platform's document: newest wins, relayed between nodes |
//! | [`views`] | what owners know of searchers, spread to all |
//! | [`replicas`] | copies of session state at other nodes |
//! | [`message`] | typed messages between nodes |

pub mod engine;
pub mod member;
pub mod membership;
pub mod message;
pub mod ownership;
pub mod published;
pub mod replicas;
pub mod views;

pub use engine::{ClusterAction, ClusterEngine, ClusterEvent, ClusterSettings};
pub use member::{Member, MemberState};
pub use message::{ClusterMessage, Envelope};
