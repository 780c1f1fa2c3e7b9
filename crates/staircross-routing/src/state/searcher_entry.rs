//! What a searcher says of itself in the store.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// One entry, of one start of a searcher.
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
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Milliseconds that it stays slow after it wrote the entry.
    pub cold_ms: u64,
    /// Unix milliseconds of its start, which tells its runs under one id apart; 0 where it isn't known.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub born_ms: u64,
}

/// Many searchers don't tell their start.
fn is_unknown(born_ms: &u64) -> bool {
    *born_ms == 0
}
