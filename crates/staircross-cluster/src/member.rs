//! The membership record of one node.
//!
//! Of two records of the same incarnation the one with the higher version wins; at equal versions the one
//! with the worse state wins. Only the node itself raises its version. By raising it, the node refutes that it is
//! suspect or dead; other nodes may have declared it dead while it was paused or cut off. A restarted process is a new
//! incarnation with a new [`NodeId`]; it can't refute the death of its predecessor.

use serde::{Deserialize, Serialize};
use staircross_types::{NodeId, ZoneName};
use std::net::SocketAddr;

/// State of a member, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The node answers probes.
    Alive,
    /// The node is in a planned stop: it finishes the work that it has and accepts no new work.
    Leaving,
    /// The node didn't answer a probe; it may still refute the suspicion.
    Suspect,
    /// The node didn't refute a suspicion in time and is considered gone.
    Dead,
    /// The node has ended its planned stop.
    Left,
}

/// Membership record of one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the incarnation.
    #[serde(rename = "n")]
    pub node: NodeId,
    /// Address at which peers reach the node.
    #[serde(rename = "p")]
    pub peer_address: SocketAddr,
    /// Address at which callers reach the node.
    #[serde(rename = "c")]
    pub caller_address: SocketAddr,
    /// Region that the node runs in.
    #[serde(rename = "r")]
    pub region: String,
    /// Zone that the node runs in.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// State of the node as known to the sender of the record.
    #[serde(rename = "s")]
    pub state: MemberState,
    /// Version of the record; only the node itself raises it.
    #[serde(rename = "v")]
    pub version: u64,
    /// Whether callers may be directed to the node. A node that knows no configuration yet is alive but not ready.
    #[serde(rename = "k", default = "ready_by_default", skip_serializing_if = "is_true")]
    pub is_ready: bool,
}

fn ready_by_default() -> bool {
    true
}

fn is_true(value: &bool) -> bool {
    *value
}

impl Member {
    /// Returns whether `other` is a newer record of the same incarnation, or one of the same version with a worse
    /// state.
    ///
    /// `Left` is final: no record supersedes it.
    pub fn is_superseded_by(&self, other: &Member) -> bool {
        if self.state == MemberState::Left {
            return false;
        }
        (other.version, other.state) > (self.version, self.state)
    }

    /// Returns whether the incarnation is dead or has left.
    pub fn is_gone(&self) -> bool {
        matches!(self.state, MemberState::Dead | MemberState::Left)
    }

    /// Returns whether the node accepts new work. Live nodes and suspects do.
    pub fn takes_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}
