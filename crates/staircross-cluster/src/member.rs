//! One node's record.
//!
//! Records of the same run merge: the higher version wins, and at equal versions the worse state.
//! Only the node itself raises its version, which is how it refutes a suspicion, or a death that
//! was declared while it was paused or cut off. A process that was restarted is a new incarnation with a
//! new [`NodeId`]; it can't refute anything about the one before it.

use serde::{Deserialize, Serialize};
use staircross_types::{NodeId, ZoneName};
use std::net::SocketAddr;

/// State of a member, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// In a planned stop: finishes its work, takes no new.
    Leaving,
    /// Didn't answer; may still refute.
    Suspect,
    /// Considered gone.
    Dead,
    /// Has stopped as planned.
    Left,
}

/// One node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The incarnation.
    #[serde(rename = "n")]
    pub node: NodeId,
    /// Where peers reach it.
    #[serde(rename = "p")]
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    #[serde(rename = "c")]
    pub caller_address: SocketAddr,
    /// Its region.
    #[serde(rename = "r")]
    pub region: String,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// State.
    #[serde(rename = "s")]
    pub state: MemberState,
    /// Raised by the node itself.
    #[serde(rename = "v")]
    pub version: u64,
    /// Whether callers may be sent to it; a node that knows no configuration yet is alive but not ready.
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
    /// Whether `other` says something newer or worse about the same run.
    pub fn is_superseded_by(&self, other: &Member) -> bool {
        if self.state == MemberState::Left {
            return false;
        }
        (other.version, other.state) > (self.version, self.state)
    }

    /// Whether the incarnation is considered over.
    pub fn is_gone(&self) -> bool {
        matches!(self.state, MemberState::Dead | MemberState::Left)
    }

    /// Whether the node takes new work.
    pub fn takes_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}
