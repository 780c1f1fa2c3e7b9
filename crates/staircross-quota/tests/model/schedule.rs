//! What is played, and what came of it.

use staircross_types::Quota;

/// How nodes decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code, reason = "each test file plays other ways")]
pub enum Scheme {
    /// As built.
    Owner,
    /// Each node has its part of rate and burst, by the largest fleet it saw lately.
    FixedShares,
    /// The same, and one request more at once: few requests come to each node.
    FixedSharesAndOne,
}

/// What goes wrong, from [`FAULT_S`] on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A third of the nodes is cut off, each on its own, for 8 s.
    ThirdCut,
    /// The fleet is two halves for 8 s.
    Halves,
    /// All nodes are killed and start again within 0.5 to 1.5 s.
    KillAll,
    /// Each node is stopped and started in turn, one each 0.4 s.
    Roll,
    /// The owner and as many others as make a fifth are killed for good.
    KillFifth,
    /// Each node misses a random fifth of the others for 3 s.
    WrongMembership,
    /// The quota falls to a third.
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

/// Which nodes the tenant's callers ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Callers {
    Spread,
    OneNode,
    /// One node, another each second.
    Moving,
}

#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub nodes: usize,
    pub quota: Quota,
    /// Demand, in times the rate.
    pub usual: f64,
    /// Demand from `hot_s` on, in times the usual.
    pub hot: f64,
    pub hot_s: f64,
    pub callers: Callers,
    pub fault: Fault,
    pub lost: f64,
    pub doubled: f64,
    /// Whether the tenant keeps to these parts of its rate and burst.
    pub keeps_to: Option<(f64, f64)>,
}

/// How a node came to admit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// As the tenant's owner.
    Owner,
    /// By the fraction that an owner granted, where that was below 1.
    Granted,
    /// With no limit granted.
    Unlimited,
    /// By what was granted last, of an owner that it can't reach; the node doesn't know that yet.
    Unheard,
    /// By a node that stands in for an owner that doesn't answer, or as it grants.
    Substitute,
    /// On its own, since the owner is silent.
    Alone,
}

/// Admissions of the worst window by how they came about.
#[derive(Clone, Copy, Debug, Default)]
#[allow(dead_code, reason = "printed")]
pub struct WorstWindow {
    /// Seconds.
    pub begin: f64,
    /// Seconds.
    pub end: f64,
    pub owner: usize,
    pub granted: usize,
    pub unlimited: usize,
    pub unheard: usize,
    pub substitute: usize,
    pub alone: usize,
    /// Nodes that admitted any as the owner.
    pub owners: usize,
}

/// What came of a schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Requests beyond quota in the worst window, in times what is permitted; 1 is the bound.
    pub worst: f64,
    /// That window.
    pub window: WorstWindow,
    /// Requests that a bucket of the quota's rate and burst would have admitted.
    pub owed: f64,
    /// By how much admissions fell behind that bucket's since the start, at most.
    pub lost: f64,
    pub refused: usize,
    pub requests: usize,
    pub datagrams: usize,
}
