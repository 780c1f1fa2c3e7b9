//! How nodes act as one system, without input or output of their own.
//!
//! | module | decides |
//! | --- | --- |
//! | [`engine`] | composes the parts below; the one entry point for node and simulator |
//! | [`membership`] | who is in the fleet: probes, suspicion, refutation, gossip |
//! | [`member`] | one node's record and how two records of it merge |
//! | [`ownership`] | which nodes own which searchers, and their share of slots |
//! | [`quorum`] | voter sets and majorities in every region |
//! | [`config_state`] | the replicated configuration and how a change applies to it |
//! | [`agreement`] | one log of changes, agreed by the voters |
//! | [`genesis`] | the first voter set of a new fleet |
//! | [`lease`] | whether this node may act under its configuration |
//! | [`views`] | what owners know of searchers, spread to all |
//! | [`replicas`] | copies of session state at other nodes |
//! | [`message`] | typed messages between nodes |

pub mod agreement;
pub mod config_state;
pub mod engine;
pub mod genesis;
pub mod lease;
pub mod member;
pub mod membership;
pub mod message;
pub mod ownership;
pub mod quorum;
mod recent_ids;
pub mod replicas;
pub mod views;

pub use config_state::{Change, ChangeBody, ChangeId, ChangeOutcome, ConfigState, ServiceEdit};
pub use engine::{ClusterAction, ClusterEngine, ClusterEvent, ClusterSettings};
pub use member::{Member, MemberState};
pub use message::{ClusterMessage, Envelope};
pub use quorum::VoterSet;
