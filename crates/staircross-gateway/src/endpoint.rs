//! What each of a node's listeners serves.

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Requests of callers.
    Callers,
    /// Readiness checks.
    Readiness,
    /// Callers' questions about which nodes to send requests to.
    Directory,
    /// Other nodes' pulls of updates.
    Peers,
    /// Requests for the metrics.
    Metrics,
}

impl Endpoint {
    /// The endpoints that callers use. In a planned stop they close before the node ends, so that no caller is cut off.
    pub const USED_BY_CALLERS: [Endpoint; 2] = [Endpoint::Callers, Endpoint::Directory];
}
