//! Typed statements.

use staircross_config::ServiceEdit;
use staircross_types::ServiceName;

/// One statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Ranked search.
    Search(SearchStatement),
    /// One page of a paged pull.
    Pull(PullStatement),
    /// A non-repeatable action.
    Run(RunStatement),
    /// Looking at state.
    Show(ShowStatement),
    /// Changing configuration.
    Config(ConfigStatement),
}

/// `SEARCH 'terms' IN SERVICE name [WAIT n MS] [COVERAGE p%] [LIMIT n]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchStatement {
    /// Terms that must all occur.
    pub terms: Vec<String>,
    /// The service asked.
    pub service: ServiceName,
    /// Own wait bound in milliseconds; never longer than the service's.
    pub wait_ms: Option<u64>,
    /// Own least coverage per thousand; never below the service's.
    pub coverage_per_mille: Option<u32>,
    /// Most hits.
    pub limit: u32,
}

/// `PULL 'terms' IN SERVICE name [AFTER 'cursor'] [LIMIT n]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PullStatement {
    /// Terms that must all occur; none pulls everything.
    pub terms: Vec<String>,
    /// The service asked.
    pub service: ServiceName,
    /// Cursor of the page before; `None` starts the pull.
    pub after: Option<String>,
    /// Own wait bound in milliseconds.
    pub wait_ms: Option<u64>,
    /// Documents per page.
    pub limit: u32,
}

/// `RUN verb ON 'target' IN SERVICE name [NOTE 'text'] [WAIT n MS] TICKET 'ticket'`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStatement {
    /// What to do.
    pub verb: String,
    /// The document acted on.
    pub target: String,
    /// The service asked.
    pub service: ServiceName,
    /// Text for the audit trail.
    pub note: String,
    /// Own wait bound in milliseconds.
    pub wait_ms: Option<u64>,
    /// The ticket, as text; absent when the caller forgot it.
    pub ticket: Option<String>,
}

/// `SHOW …`
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShowStatement {
    /// Services and their policies.
    Services,
    /// Searchers as the node sees them.
    Searchers,
    /// Nodes of the fleet.
    Members,
    /// Configuration in force.
    Config,
    /// The document in force.
    ConfigExport,
    /// Shard map that a service is served from.
    Shards(ServiceName),
}

/// An edit of the configuration, with the revision it is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigStatement {
    /// What to change.
    pub change: ServiceEdit,
    /// Refuse unless this revision is in force.
    pub based_on: Option<u64>,
}

/// Hits returned when a statement names no limit.
pub const DEFAULT_LIMIT: u32 = 10;
/// Most hits a statement may ask for.
pub const MAX_LIMIT: u32 = 1000;
