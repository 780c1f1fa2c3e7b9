//! Typed messages between nodes about the fleet itself.

use crate::membership::MembershipMessage;
use crate::published::PublishedMessage;
use crate::replicas::ReplicaMessage;
use crate::views::ViewMessage;
use serde::{Deserialize, Serialize};
use staircross_types::NodeId;
use std::net::SocketAddr;

/// What one node sends another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClusterMessage {
    /// Probes and gossip.
    #[serde(rename = "m")]
    Membership(MembershipMessage),
    /// The platform's document.
    #[serde(rename = "d")]
    Published(PublishedMessage),
    /// Searcher views.
    #[serde(rename = "v")]
    Views(ViewMessage),
    /// Session copies.
    Replica(ReplicaMessage),
}

/// A message on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The incarnation that sends.
    #[serde(rename = "f")]
    pub from: NodeId,
    /// Where it can be answered.
    #[serde(rename = "a")]
    pub from_address: SocketAddr,
    /// The incarnation it is for; `None` for any that listens at the address.
    #[serde(rename = "t")]
    pub to: Option<NodeId>,
    /// Where it goes. Not sent: the receiver is there.
    #[serde(skip, default = "unspecified_address")]
    pub to_address: SocketAddr,
    /// What it says.
    #[serde(rename = "m")]
    pub message: ClusterMessage,
}

fn unspecified_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}
