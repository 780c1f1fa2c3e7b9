//! Small keys: what is referred to stands in tables of its own.

use serde::{Deserialize, Serialize};

/// Number of a request, unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u64);

/// One sending of a request to one searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestKey,
    /// Counts up within the request.
    pub number: u16,
}

/// Index of a searcher in the engine's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SearcherKey(pub u32);
