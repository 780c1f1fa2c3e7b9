//! The typed statements of the language.

use staircross_config::ServiceEdit;
use staircross_types::ServiceName;

/// One statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// A ranked search.
    Search(SearchStatement),
    /// One page of a pull, which returns all matching documents page by page.
    Pull(PullStatement),
    /// An action, which must not be executed more than once.
    Run(RunStatement),
    /// A request to show a part of the node's state.
    Show(ShowStatement),
    /// A change of the configuration.
    Config(ConfigStatement),
}

/// A search: `SEARCH 'terms' IN SERVICE name [WAIT n MS] [COVERAGE p%] [LIMIT n]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchStatement {
    /// Terms, all of which must occur in a hit.
    pub terms: Vec<String>,
    /// The service that is asked.
    pub service: ServiceName,
    /// Wait bound of the request in milliseconds. The service's bound applies too.
    pub wait_ms: Option<u64>,
    /// Least coverage of the request, in shards per thousand. The service's least coverage applies too.
    pub coverage_per_mille: Option<u32>,
    /// Largest number of hits to return.
    pub limit: u32,
}

/// A request for one page of a pull: `PULL 'terms' IN SERVICE name [AFTER 'cursor'] [WAIT n MS] [LIMIT n]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PullStatement {
    /// Terms, all of which must occur in a document. Without terms, all documents are returned.
    pub terms: Vec<String>,
    /// The service that is asked.
    pub service: ServiceName,
    /// Cursor that the previous page returned; `None` for the first page.
    pub after: Option<String>,
    /// Wait bound of the page in milliseconds. The service's bound applies too.
    pub wait_ms: Option<u64>,
    /// Largest number of documents of the page.
    pub limit: u32,
}

/// An action: `RUN verb ON 'target' IN SERVICE name [NOTE 'text'] [WAIT n MS] TICKET 'ticket'`
///
/// The grammar accepts the statement without a ticket; the node refuses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStatement {
    /// Name of the action.
    pub verb: String,
    /// Document that the action changes.
    pub target: String,
    /// The service that is asked.
    pub service: ServiceName,
    /// Text for the searcher's audit trail.
    pub note: String,
    /// Wait bound of the action in milliseconds. The service's bound applies too.
    pub wait_ms: Option<u64>,
    /// The ticket as text; `None` if the statement has none.
    pub ticket: Option<String>,
}

/// A request to show state: `SHOW …`
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShowStatement {
    /// The services and their policies.
    Services,
    /// The searchers, with their states as this node knows them.
    Searchers,
    /// The nodes of the cluster.
    Members,
    /// The configuration that is in force.
    Config,
    /// The service document that is in force.
    ConfigExport,
    /// The shard map that a service is served from.
    Shards(ServiceName),
}

/// An edit of the configuration, with the revision it is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigStatement {
    /// The edit.
    pub change: ServiceEdit,
    /// Revision that must be in force for the edit to be accepted.
    pub based_on: Option<u64>,
}

/// Limit that applies to a statement without `LIMIT`.
pub const DEFAULT_LIMIT: u32 = 10;
/// Highest limit that a statement may name.
pub const MAX_LIMIT: u32 = 1000;
