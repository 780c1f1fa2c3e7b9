//! Everything that one node says to another.

use serde::{Deserialize, Serialize};
use staircross_cluster::Envelope;
use staircross_search::{SubReply, SubRequest};
use staircross_types::{AttemptId, NodeId};

/// One message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// About the fleet itself.
    Cluster(Envelope),
    /// From a root to a leaf.
    Request {
        /// The root.
        from: NodeId,
        /// The leaf's run; another run at the address drops it.
        to: NodeId,
        /// The work.
        request: SubRequest,
    },
    /// From a leaf to a root.
    Reply {
        /// The root's run.
        to: NodeId,
        /// The reply.
        reply: SubReply,
    },
    /// From a root to a leaf: no longer wanted.
    Cancel {
        /// The root.
        from: NodeId,
        /// The attempt.
        attempt: AttemptId,
    },
}
