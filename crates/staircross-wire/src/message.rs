//! All messages between nodes.

use serde::{Deserialize, Serialize};
use staircross_cluster::Envelope;
use staircross_search::{SubReply, SubRequest};
use staircross_types::{AttemptId, NodeId};

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the cluster protocol.
    Cluster(Envelope),
    /// A sub-request, sent by the root of a request to a leaf.
    Request {
        /// Incarnation of the root.
        from: NodeId,
        /// Incarnation of the leaf. Another incarnation at its address drops the message.
        to: NodeId,
        /// Sub-request to execute.
        request: SubRequest,
    },
    /// The reply to a sub-request, sent by a leaf to the root.
    Reply {
        /// Incarnation of the root.
        to: NodeId,
        /// Reply of the leaf.
        reply: SubReply,
    },
    /// Cancels an attempt: the root no longer needs the reply to it.
    Cancel {
        /// Incarnation of the root.
        from: NodeId,
        /// Attempt that is cancelled.
        attempt: AttemptId,
    },
    /// Asks the peer to write [`PONG`] on the connection on which this message arrives. It is sent only to peers that
    /// announce in the handshake that they answer it.
    Ping,
}

/// Byte that answers a [`PeerMessage::Ping`]. Nothing else is written on a connection by the node that accepted it.
pub const PONG: u8 = 1;
