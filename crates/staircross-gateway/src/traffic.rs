//! Bytes sent and received, by purpose and distance.
//!
//! Links between zones and regions are slow and paid for by the byte, so an operator must see what fills them. Only
//! payloads of sockets are counted, at the side that opens the connection; datagrams where they are sent.
//!
//! [`Traffic`] owns the counters of one component; the component that sends or reads bytes counts them, and the node sums them up.

use staircross_routing::decision::placement::Distance;
use staircross_routing::engine::SendReason;
use std::ops::AddAssign;

/// What bytes were sent or received for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// First attempts at searchers and their answers.
    Firsts,
    /// Hedges.
    Hedges,
    /// Retries and reroutes.
    Repeats,
    /// Datagrams of the membership.
    Membership,
    /// Datagrams about tenants' quotas.
    Quotas,
    /// Configurations and searchers' entries pulled from peers.
    Pulls,
    /// Calls to the store.
    Store,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Purpose; 7] = [
        Purpose::Firsts,
        Purpose::Hedges,
        Purpose::Repeats,
        Purpose::Membership,
        Purpose::Quotas,
        Purpose::Pulls,
        Purpose::Store,
    ];

    /// What an attempt made for `reason` is counted as.
    pub fn of_attempt(reason: SendReason) -> Self {
        match reason {
            SendReason::First => Purpose::Firsts,
            SendReason::Hedge => Purpose::Hedges,
            SendReason::Retry | SendReason::Reroute => Purpose::Repeats,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Firsts => "firsts",
            Purpose::Hedges => "hedges",
            Purpose::Repeats => "repeats",
            Purpose::Membership => "membership",
            Purpose::Quotas => "quotas",
            Purpose::Pulls => "pulls",
            Purpose::Store => "store",
        }
    }
}

/// How far bytes went, as far as that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// To a zone that is known.
    Known(Distance),
    /// To an address whose zone isn't known.
    Unknown,
}

impl Reach {
    /// All reaches.
    pub const ALL: [Reach; 4] = [
        Reach::Known(Distance::OwnZone),
        Reach::Known(Distance::OwnRegion),
        Reach::Known(Distance::Far),
        Reach::Unknown,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reach::Known(Distance::OwnZone) => "own_zone",
            Reach::Known(Distance::OwnRegion) => "own_region",
            Reach::Known(Distance::Far) => "other_region",
            Reach::Unknown => "unknown",
        }
    }

    fn index(self) -> usize {
        match self {
            Reach::Known(Distance::OwnZone) => 0,
            Reach::Known(Distance::OwnRegion) => 1,
            Reach::Known(Distance::Far) => 2,
            Reach::Unknown => 3,
        }
    }
}

/// Bytes since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    bytes: [[u64; Reach::ALL.len()]; Purpose::ALL.len()],
}

impl Traffic {
    /// Counts bytes.
    pub fn count(&mut self, purpose: Purpose, reach: Reach, bytes: usize) {
        self.bytes[purpose as usize][reach.index()] += bytes as u64;
    }

    /// Bytes of one kind.
    pub fn bytes(&self, purpose: Purpose, reach: Reach) -> u64 {
        self.bytes[purpose as usize][reach.index()]
    }

    /// Every kind that has any bytes.
    pub fn counted(&self) -> impl Iterator<Item = (Purpose, Reach, u64)> {
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
