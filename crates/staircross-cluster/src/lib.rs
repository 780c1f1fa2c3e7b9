//! Cluster protocol of the gateway nodes: membership, ownership, configuration and session copies.
//!
//! The crate does no input or output and reads no clock: events and the current time go in, actions come out.
//!
//! | module | decides |
//! | --- | --- |
//! | [`engine`] | composes the other modules; the only entry point for a node |
//! | [`membership`] | which nodes are in the fleet: probes, suspicion, refutation, gossip |
//! | [`member`] | the record of one node and which of two records of it wins |
//! | [`ownership`] | which nodes own which searchers, and their share of slots |
//! | [`document_relay`] | which revision of the platform's document is in force, and its relay between nodes |
//! | [`views`] | gossip of the searcher states that owners observe |
//! | [`session_copies`] | copies of session state on other nodes |
//! | [`message`] | typed messages between nodes |

pub mod document_relay;
pub mod engine;
pub mod member;
pub mod membership;
pub mod message;
pub mod ownership;
pub mod session_copies;
pub mod views;

pub use engine::{ClusterAction, ClusterEngine, ClusterEvent, ClusterSettings};
pub use member::{Member, MemberState};
pub use message::{ClusterMessage, Envelope};
