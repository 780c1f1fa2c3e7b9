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
