//! What the engine counts.

/// Counters, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoutingCounters {
    /// First attempts.
    pub firsts: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries.
    pub retries: u64,
    /// Attempts made elsewhere because no connection came up.
    pub reroutes: u64,
    /// Hedges and retries that the budget refused.
    pub over_budget: u64,
    /// Answers with fewer than all parts.
    pub partial_answers: u64,
    /// Requests refused because too much waits at the searchers.
    pub not_admitted: u64,
    /// Requests beyond their tenant's quota.
    pub over_quota: u64,
    /// Messages to peers of tenants' quotas.
    pub quota_messages: u64,
}
