//! Counters of the engine.

/// Counters that the node exports as metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoutingCounters {
    /// First attempts of shards that were sent.
    pub first_attempts: u64,
    /// Hedges that were sent.
    pub hedges: u64,
    /// Retries that were sent.
    pub retries: u64,
    /// Reroutes that were sent: attempts after one whose connection failed before anything was sent on it.
    pub reroutes: u64,
    /// Hedges and retries that the budget for extra sends didn't permit.
    pub over_budget: u64,
    /// Merged answers in which at least one shard is missing.
    pub partial_answers: u64,
    /// Requests refused because requests wait too long at the searchers.
    pub not_admitted: u64,
    /// Requests refused because their tenant's quota was used up.
    pub over_quota: u64,
    /// Searchers whose answers have begun to say that they are leaving while their entries said that they serve.
    pub closing_searchers: u64,
    /// Messages on tenants' quotas that were sent to peers.
    pub quota_messages: u64,
}
