//! What this node believes: the store's content as far as it is known, searchers with their statistics, requests in flight.
//!
//! Beliefs come from the store, from peers and from answers; none is shared in memory and none outlives the process. Rules in
//! [`crate::decision`] read it; [`crate::engine`] writes it.
//!
//! | module | holds |
//! | --- | --- |
//! | [`searcher_entry`] | what a searcher says of itself in the store |
//! | `known_entries` | what is known of the entries under one searcher's id |
//! | [`known_configuration`] | the configuration known here, and how much of it a peer is sent |
//! | [`mirror`] | what this node knows of the platform's store, by revision |
//! | `reach` | up to which revision all is known, and which change is the newest |
//! | [`evacuations`] | which zones' searchers are to get no new work |
//! | [`unreadable`] | items of the store that can't be used, and why |
//! | [`searcher`] | what is known of one searcher: entry, load, speed, failures |
//! | [`rejection`] | how much of its work a searcher rejects |
//! | [`report`] | what a searcher says of itself with its answers |
//! | [`decay`] | how much of an estimate is still believed after a while |
//! | [`request`] | one request in flight |

pub mod decay;
pub mod evacuations;
pub mod known_configuration;
mod known_entries;
pub mod mirror;
mod reach;
pub mod rejection;
pub mod report;
pub mod request;
pub mod searcher;
pub mod searcher_entry;
pub mod unreadable;
