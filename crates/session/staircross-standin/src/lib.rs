//! Stand-ins for the session tier's searchers and platform, which speak the project's own interface (`staircross-node`).
//!
//! | module | holds |
//! | --- | --- |
//! | [`corpus`] | documents from JSON lines |
//! | [`index`] | a real inverted index per shard |
//! | [`faults`] | scripted faults |
//! | [`ledger`] | what truly ran |
//! | [`searcher`] | the searcher stand-in (HTTP) |
//! | [`platform`] | the platform stand-in (HTTP) |
//! | [`loopback`] | free addresses |
//! | [`http`] | helpers for both servers |

pub mod corpus;
pub mod faults;
pub mod http;
pub mod index;
pub mod ledger;
pub mod loopback;
pub mod platform;
pub mod searcher;

pub use corpus::{Corpus, Document};
pub use faults::{Fault, FaultScript};
pub use ledger::{Ledger, LedgerEntry};
pub use platform::{PlatformMode, PlatformStandin};
pub use searcher::{SearcherSettings, SearcherStandin};
