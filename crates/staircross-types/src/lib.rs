//! Shared vocabulary of staircross.
//!
//! | module | holds |
//! | --- | --- |
//! | [`ids`] | identities of nodes, sessions, requests, searchers and shards |
//! | [`time`] | [`BootTime`], the only clock that decisions may use |
//! | [`snapshot`] | [`Snapshot`] and [`ShardMap`] |
//! | [`boot_clock`] | reading the boot clock |
//! | [`coverage`] | [`Coverage`] and the causes of missing shards |
//! | [`errors`] | the closed list of error kinds and the table from kind to answer |
//! | [`quota`] | how many requests a tenant may send |
//! | [`query`] | search requests, hits and per-shard results |
//! | [`searcher_api`] | messages between leaf and searcher |
//! | [`digest`] | content digests for bodies |

pub mod boot_clock;
pub mod coverage;
pub mod digest;
pub mod errors;
pub mod ids;
pub mod query;
pub mod quota;
pub mod searcher_api;
pub mod snapshot;
pub mod time;

pub use coverage::{Coverage, MissingCause, MissingShard};
pub use digest::body_digest;
pub use errors::{ErrorKind, Executed};
pub use ids::{
    AttemptId, GroupId, NodeId, RequestId, SearcherId, SearcherIncarnation, ServiceName, SessionToken, ShardId, Ticket,
    ZoneName,
};
pub use query::{ActionCommand, Hit, SearchQuery, ShardHits};
pub use quota::Quota;
pub use snapshot::{ShardMap, ShardPlacement, Snapshot};
pub use time::BootTime;
