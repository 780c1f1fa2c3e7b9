//! The runtime of a gateway node: one thread with sockets and clocks around the sans-IO engines.
//!
//! A gateway node passes callers' requests on to searchers, the backend processes that run them, and merges or passes
//! on their answers. Several terms recur in all modules:
//!
//! | term | meaning |
//! | --- | --- |
//! | attempt | one transmission of a request, or of its part for one shard, to a searcher |
//! | incarnation | one run of a node's or searcher's process; each has an id of its own |
//! | store | the platform's store of the configuration, the searchers' entries and the evacuations |
//! | lane | a kind of call to the store, of which at most one is in flight |
//! | reader, follower, prober | the roles of a node toward the store, see [`store_role`] |
//! | heartbeat | an announcement in which a reader states how long ago the store last answered it |
//! | pull | an HTTP call by which a node gets missing updates from a peer that has them |
//! | case | the requests with one content during which searchers were lost; peers exchange records of cases |
//! | serving node, reserve | a ready node that the directory sends callers to, and one that it doesn't |
//! | pressed | so busy that callers should be sent to other nodes |
//! | proving | waiting on a fresh connection for a possible reset before a request is sent |
//!
//! | module | task |
//! | --- | --- |
//! | [`settings`] | a node's settings, validated when they are loaded |
//! | [`dialect`] | the interface to a platform's wire format: header names, paths, store calls |
//! | [`endpoint`] | what each listener serves |
//! | [`pool`] | connections to searchers |
//! | [`connection_reuse`] | whether connections to a server may carry more than one request |
//! | [`pull_request`] | the request by which a node asks a peer for what it lacks |
//! | [`peer_answers`] | sizes of the answers sent to peers within the last second |
//! | [`case_pushes`] | rate limit of pushes of case records to peers |
//! | [`http_call`] | one outgoing HTTP call at a time, to the store or a peer |
//! | [`outbound`] | the parts of a request that are sent on, and the format of answers |
//! | [`fleet`] | members, announcements, and this node's share of the fleet's common limits |
//! | [`directory`] | the choice of the nodes that callers are sent to |
//! | [`store_role`] | whether this node reads the store or follows a peer that does |
//! | [`store_version`] | whether this node's store holds the version of the configuration in force |
//! | [`load`] | the busy fraction of this process, and the delay with which it handles its work |
//! | [`node`] | the event loop that connects all of these |
//! | [`recorder`] | writes the engine's decisions to a file, if the settings ask for it |
//! | [`traffic`] | bytes sent and received, by purpose and distance |
//! | [`event_log`], [`metrics`], [`tenant_metrics`] | structured log lines and counters |
//! | [`unreadable_log`] | the unusable items of the store that have been logged |

pub mod case_pushes;
pub mod connection_reuse;
pub mod dialect;
pub mod directory;
pub mod endpoint;
pub mod event_log;
pub mod fleet;
pub mod http_call;
pub mod load;
pub mod metrics;
pub mod node;
pub mod outbound;
pub mod peer_answers;
pub mod pool;
pub mod pull_request;
pub mod recorder;
pub mod settings;
pub mod store_role;
pub mod store_version;
pub mod tenant_metrics;
pub mod traffic;
pub mod unreadable_log;

pub use dialect::{Dialect, DirectoryQuery, HeaderNames, RenderedBody};
pub use node::{GatewayError, GatewayNode};
pub use settings::GatewaySettings;
