//! Inputs and outcomes of a simulation.

use staircross_types::Quota;

/// Scheme by which the nodes decide about requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code, reason = "each test file plays other ways")]
pub enum Scheme {
    /// The rate limiter of this package, in which each tenant has an owner.
    Owner,
    /// Each node has a fixed share of rate and burst, divided by the size of the largest fleet that it has seen
    /// lately.
    FixedShares,
    /// Like `FixedShares`, with one more request at once, because each node receives few requests.
    FixedSharesAndOne,
}

/// Fault that begins at [`FAULT_S`](super::FAULT_S).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A third of the nodes is cut off for 8 s, each of them separately.
    ThirdCut,
    /// The fleet is partitioned into two halves for 8 s.
    Halves,
    /// All nodes are killed, and each starts again after 0.5 to 1.5 s.
    KillAll,
    /// The nodes are stopped and started in turn, one every 0.4 s.
    Roll,
    /// A fifth of the nodes and the owner are killed for good.
    KillFifth,
    /// Each node misses a random fifth of the other nodes for 3 s.
    WrongMembership,
    /// The quota is reduced to a third.
    QuotaDown,
    /// The quota is doubled.
    QuotaUp,
}

impl Fault {
    pub const ALL: &'static [Fault] = &[
        Fault::None,
        Fault::ThirdCut,
        Fault::Halves,
        Fault::KillAll,
        Fault::Roll,
        Fault::KillFifth,
        Fault::WrongMembership,
        Fault::QuotaDown,
        Fault::QuotaUp,
    ];
}

/// Nodes that receive the tenant's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Callers {
    Spread,
    OneNode,
    /// One node at a time, a different one each second.
    Moving,
}

#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub nodes: usize,
    pub quota: Quota,
    /// Demand before `hot_start_s`, as a multiple of the rate.
    pub base_demand: f64,
    /// Demand from `hot_start_s` on, as a multiple of `base_demand`.
    pub hot_factor: f64,
    /// Time at which demand rises.
    pub hot_start_s: f64,
    pub callers: Callers,
    pub fault: Fault,
    /// Fraction of datagrams that are lost.
    pub loss_rate: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplication_rate: f64,
    /// Fractions of its rate and burst to which the tenant limits itself.
    pub self_limit: Option<(f64, f64)>,
}

/// How a node decided to admit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionKind {
    /// The node is the tenant's owner.
    Owner,
    /// The node admits a fraction below 1 that an owner granted.
    Granted,
    /// No fraction below 1 has been granted to the node.
    Unlimited,
    /// The node uses the last grant of an owner that it can't reach, and doesn't know that yet.
    UnreachableOwner,
    /// The node substitutes for an owner that doesn't answer, or follows a grant of a substitute.
    Substitute,
    /// The node decides on its own, because the owner is silent.
    Local,
}

/// Number of admissions in the worst window, by kind.
#[derive(Clone, Copy, Debug, Default)]
#[allow(dead_code, reason = "printed")]
pub struct WorstWindow {
    /// Time of the first admission, in seconds.
    pub begin: f64,
    /// Time of the last admission, in seconds.
    pub end: f64,
    pub owner: usize,
    pub granted: usize,
    pub unlimited: usize,
    pub unreachable_owner: usize,
    pub substitute: usize,
    pub local: usize,
    /// Number of nodes that admitted requests as the owner.
    pub owners: usize,
}

/// Outcome of a schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Requests beyond the quota in the worst window, as a multiple of the permitted excess; the bound is 1.
    pub worst: f64,
    /// The worst window.
    pub window: WorstWindow,
    /// Requests that one bucket with the quota's rate and burst would have admitted.
    pub reference_admissions: f64,
    /// Largest number of admissions by which the nodes fell behind that bucket since the start.
    pub shortfall: f64,
    pub refused: usize,
    pub requests: usize,
    pub datagrams: usize,
}
