//! The state of this node: its copy of the store's content, statistics of the searchers, and the requests in flight.
//!
//! The node learns the state from the store, from peers and from answers. The state isn't kept in shared memory and
//! doesn't outlive the process. The rules in [`crate::decision`] read it; [`crate::engine`] updates it.
//!
//! | module | holds |
//! | --- | --- |
//! | [`searcher_entry`] | the entry with which a searcher registers itself in the store |
//! | `known_entries` | the entries known under one searcher's id |
//! | `timed_ids` | the searchers of which something has held for some time |
//! | [`known_configuration`] | the newest known configuration, and which part of it a peer is sent |
//! | [`mirror`] | this node's copy of the platform's store, merged by revision |
//! | [`store_revision`] | points in the store's history, across its returns from older copies |
//! | [`mirror_update`] | updates of the mirror, what a peer knows already, and the net effect of a merge |
//! | `update_encoding` | how an update is encoded for a peer |
//! | `known_revisions` | the revision up to which all changes are known, and the newest known change |
//! | [`evacuations`] | the zones whose searchers must get no new work |
//! | [`unreadable`] | items of the store that can't be used, and the reasons |
//! | [`searcher`] | one searcher: entry, load, speed, failures |
//! | [`rejection`] | an estimate of the fraction of its work that a searcher rejects |
//! | [`report`] | the load and cold time that a searcher reports with its answers |
//! | [`decay`] | the weight that an estimate keeps as it ages |
//! | [`request`] | one request in flight |

pub mod decay;
pub mod evacuations;
pub mod known_configuration;
mod known_entries;
mod known_revisions;
pub mod mirror;
pub mod mirror_update;
pub mod rejection;
pub mod report;
pub mod request;
pub mod searcher;
pub mod searcher_entry;
pub mod store_revision;
mod timed_ids;
pub mod unreadable;
mod update_encoding;
