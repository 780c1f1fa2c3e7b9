//! Settings of the membership protocol, its messages and what it wants done.

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
    pub probe_every: Duration,
    /// Time after which an unanswered probe is tried through others.
    pub direct_timeout: Duration,
    /// Time after which a probe has failed.
    pub probe_timeout: Duration,
    /// Time a suspect has to refute.
    pub suspicion: Duration,
    /// A gap between ticks longer than this was a pause of this process.
    pub pause_gap: Duration,
    /// Others that are asked to probe on one's behalf.
    pub helpers: usize,
    /// Updates on one message.
    pub updates_per_message: usize,
    /// How often each update is sent: so many times the logarithm of the fleet's size, and so many more.
    pub retransmits: Retransmits,
    /// Whether a joiner asks one seed at a time instead of all: each answers with the whole fleet.
    pub asks_one_seed: bool,
    /// Members listed in one message.
    pub members_per_message: usize,
    /// Time after which a gone member is forgotten.
    pub forget_after: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            probe_every: Duration::from_millis(500),
            direct_timeout: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(600),
            // A pause of a second must never evict: the probe timeout and this are well above it.
            suspicion: Duration::from_millis(2500),
            pause_gap: Duration::from_millis(400),
            helpers: 3,
            updates_per_message: 6,
            retransmits: Retransmits { per_doubling: 4, besides: 4 },
            asks_one_seed: false,
            members_per_message: 1000,
            forget_after: Duration::from_secs(120),
        }
    }
}

/// How often one node sends one update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retransmits {
    /// For each doubling of the fleet's size.
    pub per_doubling: u32,
    /// Besides.
    pub besides: u32,
}

impl Retransmits {
    pub(super) fn for_fleet(self, members: usize) -> u32 {
        self.per_doubling * (members as u32 + 1).ilog2() + self.besides
    }
}

/// Ids from the first to the last, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdSpan {
    /// The first.
    #[serde(rename = "f")]
    pub first: NodeId,
    /// The last.
    #[serde(rename = "l")]
    pub last: NodeId,
}

impl IdSpan {
    /// All ids.
    pub const ALL: IdSpan = IdSpan { first: NodeId(0), last: NodeId(u128::MAX) };

    /// Whether an id lies in it.
    pub fn contains(&self, node: NodeId) -> bool {
        self.first <= node && node <= self.last
    }
}

/// Probes and gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Are you there? Updates besides.
    #[serde(rename = "p")]
    Probe {
        #[serde(rename = "n")]
        number: u64,
        #[serde(rename = "w")]
        updates: Vec<Member>,
    },
    /// I am.
    #[serde(rename = "q")]
    ProbeAnswer {
        #[serde(rename = "n")]
        number: u64,
        #[serde(rename = "w")]
        updates: Vec<Member>,
        /// Which of the probe's updates were known already: a bit for each, the first one lowest.
        #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
        known: u32,
    },
    /// Please probe a third on my behalf.
    ProbeFor { number: u64, target: NodeId, target_address: SocketAddr },
    /// I have come up; tell me of everyone.
    Join { member: Member },
    /// Everyone I know of whose id lies in a span. Of older versions without one nothing follows for who isn't listed.
    Everyone {
        members: Vec<Member>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        span: Option<IdSpan>,
    },
    /// Tell me who is there in those parts of the ids where that isn't what I know.
    Compare { fingerprints: Box<Fingerprints> },
}

/// What the membership wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message.
    Send { to: Option<NodeId>, address: SocketAddr, message: MembershipMessage },
    /// A member's record changed.
    Changed(NodeId),
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}
