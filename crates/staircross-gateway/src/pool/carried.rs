//! The request ids that a connection has carried.
//!
//! A searcher may send an answer twice, and the copy may come at any later time. The id in an answer tells which request
//! it belongs to, but not which attempt, so two attempts of one request on one connection can't be told apart: the copy
//! of a refusal of the first would pass for the answer to the second, which may be running. Therefore no connection
//! carries the same id twice. This holds for retries of this node as well as for callers that repeat an id.

use xxhash_rust::xxh3::xxh3_64;

/// Number of requests after which a connection isn't used any more. It bounds the memory of a connection to 4 kB, and
/// makes new connections rare.
const MAX_REQUESTS: usize = 1000;

/// Digests of the request ids that a connection has carried.
#[derive(Debug, Default)]
pub(super) struct CarriedIds {
    /// Two ids with the same digest only cause a new connection.
    digests: Vec<u32>,
}

impl CarriedIds {
    /// Returns whether the connection may have carried a request with this id.
    pub fn may_contain(&self, id: &[u8]) -> bool {
        self.digests.contains(&digest(id))
    }

    /// Adds the id of a request that is written on the connection.
    pub fn insert(&mut self, id: &[u8]) {
        self.digests.push(digest(id));
    }

    /// Returns whether the connection has carried as many requests as it may.
    pub fn is_full(&self) -> bool {
        self.digests.len() >= MAX_REQUESTS
    }
}

fn digest(id: &[u8]) -> u32 {
    xxh3_64(id) as u32
}
