//! Types shared by the crates of staircross.
//!
//! | module | contents |
//! | --- | --- |
//! | [`ids`] | identifiers of nodes, sessions, requests, searchers and shards |
//! | [`time`] | [`BootTime`], the only kind of time that decisions may use |
//! | [`snapshot`] | [`Snapshot`] and [`ShardMap`] |
//! | [`boot_clock`] | reading the boot clock |
//! | [`coverage`] | [`Coverage`] and the causes of missing shards |
//! | [`errors`] | all error kinds, with the HTTP status and other properties of each |
//! | [`quota`] | limits on how many requests a tenant may send |
//! | [`query`] | search requests, hits and per-shard results |
//! | [`searcher_api`] | messages between a leaf (a node that owns searchers and calls them) and a searcher |
//! | [`digest`] | content digests of bodies |

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
pub use digest::{body_digest, digest_of_parts};
pub use errors::{ErrorKind, Executed};
pub use ids::{
    AttemptId, GroupId, NodeId, RequestId, SearcherId, SearcherIncarnation, ServiceName, SessionToken, ShardId, Ticket,
    ZoneName,
};
pub use query::{ActionCommand, Hit, SearchQuery, ShardHits};
pub use quota::Quota;
pub use snapshot::{ShardMap, ShardPlacement, Snapshot};
pub use time::BootTime;
