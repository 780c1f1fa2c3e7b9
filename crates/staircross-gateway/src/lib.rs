//! The runtime for routed requests: one thread, sockets and clocks around the sans-IO engines.
//!
//! | module | job |
//! | --- | --- |
//! | [`settings`] | a node's settings, checked at load |
//! | [`dialect`] | what the surroundings call things: header names, paths, store calls |
//! | [`socket`] | one non-blocking stream with its outgoing bytes, and the tokens of events |
//! | [`round_trip`] | how far a peer is, as the kernel has measured it |
//! | [`server`] | connections that requests come in on |
//! | [`pool`] | connections to searchers |
//! | [`peer_answers`] | answers sent to peers within the last second |
//! | [`case_pushes`] | when requests that end searchers are pushed to peers at once |
//! | [`http_call`] | one outgoing call at a time, to the store or a peer |
//! | [`outbound`] | what of a request is sent on, and how answers are written |
//! | [`fleet`] | members, announcements, what this node may spend of what they share |
//! | [`directory`] | which nodes callers are sent to |
//! | [`store_role`] | whether this node reads the store or follows a peer that does |
//! | [`load`] | how busy this process is, and how late it comes to its work |
//! | [`node`] | the event loop that carries events and actions between all of these |
//! | [`recorder`] | records decisions, if asked to |
//! | [`traffic`] | bytes sent and received, by purpose and distance |
//! | [`event_log`], [`metrics`], [`tenant_metrics`] | structured lines, counters |
//! | [`unreadable_log`] | which items of the store that can't be used have been logged |

pub mod case_pushes;
pub mod dialect;
pub mod directory;
pub mod event_log;
pub mod fleet;
pub mod http_call;
pub mod load;
pub mod metrics;
pub mod node;
pub mod outbound;
pub mod peer_answers;
pub mod pool;
pub mod recorder;
pub mod round_trip;
pub mod server;
pub mod settings;
pub mod socket;
pub mod store_role;
pub mod tenant_metrics;
pub mod traffic;
pub mod unreadable_log;

pub use dialect::{Dialect, DirectoryQuery, HeaderNames, RenderedBody};
pub use node::{GatewayError, GatewayNode};
pub use settings::GatewaySettings;
