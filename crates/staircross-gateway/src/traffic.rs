//! Counts the bytes sent and received, by purpose and distance.
//!
//! Links between zones and regions are slow and billed by the byte, so an operator must see what fills them. Only
//! socket payloads are counted: those of connections by the side that opened the connection, those of datagrams by the
//! sender.
//!
//! [`Traffic`] owns the counters of one component. The component that sends or reads bytes counts them, and the node
//! sums the counters of all components.

use staircross_routing::decision::placement::Distance;
use staircross_routing::engine::SendReason;
use std::ops::AddAssign;

/// Purpose for which bytes were sent or received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// First attempts, and their answers.
    FirstAttempts,
    /// Hedged attempts, and their answers.
    Hedges,
    /// Retried and rerouted attempts, and their answers.
    Repeats,
    /// Datagrams of the membership protocol.
    Membership,
    /// Datagrams about tenants' quotas.
    Quotas,
    /// Configurations and searchers' entries pulled from peers.
    Pulls,
    /// Calls to the store, and their answers.
    Store,
}

impl Purpose {
    /// All purposes, in the order of their declaration.
    pub const ALL: [Purpose; 7] = [
        Purpose::FirstAttempts,
        Purpose::Hedges,
        Purpose::Repeats,
        Purpose::Membership,
        Purpose::Quotas,
        Purpose::Pulls,
        Purpose::Store,
    ];

    /// Returns the purpose of an attempt that was sent for `reason`.
    pub fn of_attempt(reason: SendReason) -> Self {
        match reason {
            SendReason::First => Purpose::FirstAttempts,
            SendReason::Hedge => Purpose::Hedges,
            SendReason::Retry | SendReason::Reroute => Purpose::Repeats,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::FirstAttempts => "firsts",
            Purpose::Hedges => "hedges",
            Purpose::Repeats => "repeats",
            Purpose::Membership => "membership",
            Purpose::Quotas => "quotas",
            Purpose::Pulls => "pulls",
            Purpose::Store => "store",
        }
    }
}

/// Distance over which bytes were sent or received, if it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// The zone of the other side is known.
    Known(Distance),
    /// The zone of the other side isn't known.
    Unknown,
}

impl Reach {
    /// All values, in the order of their indices.
    pub const ALL: [Reach; 4] = [
        Reach::Known(Distance::OwnZone),
        Reach::Known(Distance::SameRegion),
        Reach::Known(Distance::OtherRegion),
        Reach::Unknown,
    ];

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reach::Known(Distance::OwnZone) => "own_zone",
            Reach::Known(Distance::SameRegion) => "own_region",
            Reach::Known(Distance::OtherRegion) => "other_region",
            Reach::Unknown => "unknown",
        }
    }

    /// Returns the index of the counters in [`Traffic`].
    fn index(self) -> usize {
        match self {
            Reach::Known(Distance::OwnZone) => 0,
            Reach::Known(Distance::SameRegion) => 1,
            Reach::Known(Distance::OtherRegion) => 2,
            Reach::Unknown => 3,
        }
    }
}

/// Numbers of bytes since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    bytes: [[u64; Reach::ALL.len()]; Purpose::ALL.len()],
}

impl Traffic {
    /// Adds `bytes` to the counter of a purpose and distance.
    pub fn count(&mut self, purpose: Purpose, reach: Reach, bytes: usize) {
        self.bytes[purpose as usize][reach.index()] += bytes as u64;
    }

    /// Returns the number of bytes of a purpose and distance.
    pub fn bytes(&self, purpose: Purpose, reach: Reach) -> u64 {
        self.bytes[purpose as usize][reach.index()]
    }

    /// Returns all counters that aren't zero.
    pub fn nonzero_counts(&self) -> impl Iterator<Item = (Purpose, Reach, u64)> {
        let all = Purpose::ALL.into_iter().flat_map(|purpose| Reach::ALL.map(|reach| (purpose, reach)));
        all.map(|(purpose, reach)| (purpose, reach, self.bytes(purpose, reach))).filter(|(_, _, bytes)| *bytes > 0)
    }
}

impl AddAssign for Traffic {
    fn add_assign(&mut self, other: Traffic) {
        for (ours, theirs) in self.bytes.iter_mut().flatten().zip(other.bytes.iter().flatten()) {
            *ours += theirs;
        }
    }
}
