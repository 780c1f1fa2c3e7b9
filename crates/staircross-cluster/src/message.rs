//! Typed messages between nodes about the fleet itself.

use crate::agreement::AgreementMessage;
use crate::config_state::{Change, ChangeId, ChangeOutcome};
use crate::genesis::GenesisMessage;
use crate::lease::LeaseMessage;
use crate::membership::MembershipMessage;
use crate::replicas::ReplicaMessage;
use crate::views::ViewMessage;
use serde::{Deserialize, Serialize};
use staircross_types::NodeId;
use std::net::SocketAddr;

/// What one node tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClusterMessage {
    /// Probes and gossip.
    #[serde(rename = "m")]
    Membership(MembershipMessage),
    /// The configuration log.
    #[serde(rename = "a")]
    Agreement(AgreementMessage),
    /// The first voter set.
    Genesis(GenesisMessage),
    /// Configuration leases.
    #[serde(rename = "l")]
    Lease(LeaseMessage),
    /// Searcher views.
    #[serde(rename = "v")]
    Views(ViewMessage),
    /// Session copies.
    Replica(ReplicaMessage),
    /// A change to be proposed by the leader.
    Propose {
        /// The node that waits for the answer.
        origin: NodeId,
        /// Whether a voter that doesn't lead has passed it on already.
        is_passed_on: bool,
        /// The change.
        change: Change,
    },
    /// What became of a change that the receiver had proposed.
    Proposed(ProposalReply),
}

/// The answer to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalReply {
    /// In force everywhere, or refused when applied.
    Settled { id: ChangeId, outcome: ChangeOutcome },
    /// Certainly not taken: no leader, or the leader reaches no quorum.
    NotTaken { id: ChangeId },
    /// Not known yet; ask again by its id.
    Pending { id: ChangeId },
}

impl ProposalReply {
    /// The change that the reply is about.
    pub fn id(&self) -> ChangeId {
        match self {
            ProposalReply::Settled { id, .. } | ProposalReply::NotTaken { id } | ProposalReply::Pending { id } => *id,
        }
    }
}

/// A message on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The run that sends.
    #[serde(rename = "f")]
    pub from: NodeId,
    /// Where it can be answered.
    #[serde(rename = "a")]
    pub from_address: SocketAddr,
    /// The run it is for; `None` for whoever listens at the address.
    #[serde(rename = "t")]
    pub to: Option<NodeId>,
    /// Where it goes. Not sent: whoever receives it is there.
    #[serde(skip, default = "unspecified_address")]
    pub to_address: SocketAddr,
    /// What it says.
    #[serde(rename = "m")]
    pub message: ClusterMessage,
}

fn unspecified_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}
