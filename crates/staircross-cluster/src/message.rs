//! Messages of the cluster protocol.

use crate::document_relay::DocumentMessage;
use crate::membership::MembershipMessage;
use crate::session_copies::SessionCopyMessage;
use crate::views::ViewMessage;
use serde::{Deserialize, Serialize};
use staircross_types::NodeId;
use std::net::SocketAddr;

/// A message of one of the modules of the cluster logic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClusterMessage {
    /// A message of the membership protocol.
    #[serde(rename = "m")]
    Membership(MembershipMessage),
    /// A message about the platform's document.
    #[serde(rename = "d")]
    Document(DocumentMessage),
    /// A message about searcher views.
    #[serde(rename = "v")]
    Views(ViewMessage),
    /// A message about session copies.
    #[serde(rename = "Replica")]
    SessionCopies(SessionCopyMessage),
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Incarnation of the sender.
    #[serde(rename = "f")]
    pub from: NodeId,
    /// Address to which an answer is sent.
    #[serde(rename = "a")]
    pub from_address: SocketAddr,
    /// Incarnation that the message is for; `None` for the node that listens at the address, whichever it is.
    #[serde(rename = "t")]
    pub to: Option<NodeId>,
    /// Address of the receiver. It isn't encoded, because the receiver doesn't need it.
    #[serde(skip, default = "unspecified_address")]
    pub to_address: SocketAddr,
    /// The message itself.
    #[serde(rename = "m")]
    pub message: ClusterMessage,
}

fn unspecified_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}
