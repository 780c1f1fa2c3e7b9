//! The entry with which a searcher registers itself in the store.
//!
//! The serialized form of the entry is the one that nodes send each other. An adapter reads entries from the store's
//! items.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time within which live searchers have written their entries anew after an outage of the store, or its return from an
/// older copy. The platform states about two seconds; a quarter is added for the time in which a node hears of it.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2500);

/// The entry of one incarnation of a searcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherEntry {
    /// The searcher's id.
    pub instance: Arc<str>,
    /// Service to which the searcher belongs.
    pub service: Arc<str>,
    /// Address on which the searcher listens.
    pub address: SocketAddr,
    /// Zone of the searcher.
    pub zone: Arc<str>,
    /// Number of requests that the searcher works on at once.
    pub slots: u32,
    /// Whether the searcher is draining: it finishes its requests and must get no new ones.
    pub is_draining: bool,
    /// Time for which the searcher stays cold after it wrote the entry, in milliseconds.
    pub cold_ms: u64,
    /// Start time of the incarnation in Unix milliseconds, which distinguishes incarnations under one id; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub born_ms: u64,
}

/// Leaves `born_ms` out of the serialized form if it is unknown, since many searchers don't write their start time.
fn is_unknown(born_ms: &u64) -> bool {
    *born_ms == 0
}
