//! Stand-ins for the session tier's searchers and platform, which implement the interfaces that
//! `staircross-node` uses.
//!
//! | module | content |
//! | --- | --- |
//! | [`background`] | a thread that runs until its owner is dropped |
//! | [`corpus`] | documents read from JSON lines |
//! | [`crowd`] | clients that send without reading |
//! | [`index`] | inverted index of each shard |
//! | [`faults`] | faults that can be injected |
//! | [`ledger`] | record of executed calls |
//! | [`searcher`] | HTTP server of the searcher stand-in |
//! | [`platform`] | HTTP server of the platform stand-in |
//! | [`loopback`] | choice of free loopback addresses |
//! | [`process_cost`] | memory, socket queues and descriptors of a process |
//! | [`http`] | helper functions of both servers |

pub mod background;
pub mod corpus;
pub mod crowd;
pub mod faults;
pub mod http;
pub mod index;
pub mod ledger;
pub mod loopback;
pub mod platform;
pub mod process_cost;
pub mod searcher;

pub use corpus::{Corpus, Document};
pub use faults::{Fault, FaultScript};
pub use ledger::{Ledger, LedgerEntry};
pub use platform::{PlatformMode, PlatformStandin};
pub use searcher::{SearcherSettings, SearcherStandin};
