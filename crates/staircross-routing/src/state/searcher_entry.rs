//! What a searcher writes of itself in the store.
//!
//! Owns the entry's form on the wire between nodes. Relies on an adapter for reading it from the store's items.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// One entry, of one incarnation of a searcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherEntry {
    /// The searcher's id.
    pub instance: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is draining: it finishes its requests and is to get no new ones.
    pub is_draining: bool,
    /// Milliseconds that it stays slow after it wrote the entry.
    pub cold_ms: u64,
    /// Unix milliseconds of its start, by which incarnations under one id are told apart; 0 where it isn't known.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub born_ms: u64,
}

/// Many searchers don't write when they started.
fn is_unknown(born_ms: &u64) -> bool {
    *born_ms == 0
}
