//! Settings, messages and actions of the membership protocol.

use super::reconcile::Fingerprints;
use crate::member::Member;
use serde::{Deserialize, Serialize};
use staircross_types::NodeId;
use std::net::SocketAddr;
use std::time::Duration;

/// Times and sizes of the membership protocol.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Time between probes sent by one node.
    pub probe_interval: Duration,
    /// Time after which other members are asked to probe a member that hasn't answered a direct probe.
    pub direct_timeout: Duration,
    /// Time after which an unanswered probe has failed and its target becomes suspect.
    pub probe_timeout: Duration,
    /// Time that a suspect has to refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Gap between two ticks above which this process is assumed to have been paused.
    pub pause_gap: Duration,
    /// Number of members (helpers) that are asked to probe a member that hasn't answered.
    pub helper_count: usize,
    /// Maximum number of updates piggybacked on one message.
    pub updates_per_message: usize,
    /// Number of times that this node sends each update to local members.
    pub retransmits: Retransmits,
    /// Whether a joining node asks one seed at a time instead of all of them. Each seed may answer with the
    /// whole fleet.
    pub asks_one_seed: bool,
    /// Maximum number of member records in one message of a member list.
    pub members_per_message: usize,
    /// Time after which the record of a gone member is dropped.
    pub forget_after: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            probe_interval: Duration::from_millis(500),
            direct_timeout: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(600),
            // A node that pauses for one second must never be declared dead. The probe timeout and this time together
            // are well above one second.
            suspicion_timeout: Duration::from_millis(2500),
            pause_gap: Duration::from_millis(400),
            helper_count: 3,
            updates_per_message: 6,
            retransmits: Retransmits { per_doubling: 4, additional: 4 },
            asks_one_seed: false,
            members_per_message: 1000,
            forget_after: Duration::from_secs(120),
        }
    }
}

/// Number of times that one node sends one update, as a function of the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retransmits {
    /// Number of sends for each doubling of the fleet's size.
    pub per_doubling: u32,
    /// Number of sends added to that for a fleet of any size.
    pub additional: u32,
}

impl Retransmits {
    pub(super) fn for_fleet(self, members: usize) -> u32 {
        self.per_doubling * (members as u32 + 1).ilog2() + self.additional
    }
}

/// An inclusive range of node ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdSpan {
    /// Lowest id of the range.
    #[serde(rename = "f")]
    pub first: NodeId,
    /// Highest id of the range.
    #[serde(rename = "l")]
    pub last: NodeId,
}

impl IdSpan {
    /// The range of all ids.
    pub const ALL: IdSpan = IdSpan { first: NodeId(0), last: NodeId(u128::MAX) };

    /// Returns whether the range contains `node`.
    pub fn contains(&self, node: NodeId) -> bool {
        self.first <= node && node <= self.last
    }
}

/// Messages of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Checks that the receiver is alive, and carries membership updates.
    #[serde(rename = "p")]
    Probe {
        #[serde(rename = "n")]
        number: u64,
        #[serde(rename = "w")]
        updates: Vec<Member>,
    },
    /// Answers the probe with the same number, and carries membership updates.
    #[serde(rename = "q")]
    ProbeAnswer {
        #[serde(rename = "n")]
        number: u64,
        #[serde(rename = "w")]
        updates: Vec<Member>,
        /// Bit set of the probe's updates that the receiver knew already; the lowest bit is the first update.
        #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
        known: u32,
    },
    /// Asks the receiver to probe `target` on the sender's behalf.
    ProbeFor { number: u64, target: NodeId, target_address: SocketAddr },
    /// Announces a node that has just started and asks for a member list.
    Join { member: Member },
    /// Lists members whose ids lie in `span`, including every live one that the sender knows.
    ///
    /// Without a span, the list is partial: a member that isn't listed may still be known to the sender. Older
    /// versions send no span.
    #[serde(rename = "Everyone")]
    MemberList {
        members: Vec<Member>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        span: Option<IdSpan>,
    },
    /// Asks for the live members of each id bucket whose fingerprint differs from the sender's.
    Compare { fingerprints: Box<Fingerprints> },
}

/// What the caller of the membership logic must do.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message; `to` is `None` if it isn't known which node listens at the address.
    Send { to: Option<NodeId>, address: SocketAddr, message: MembershipMessage },
    /// Take note that a member's record has changed.
    Changed(NodeId),
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}
