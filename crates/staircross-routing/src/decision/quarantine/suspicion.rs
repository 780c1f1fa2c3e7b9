//! Suspicion level of a content, and changes of it.

use crate::keys::ContentKey;

/// Suspicion level of a content, in rising order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// The content may be sent like any other.
    #[default]
    None,
    /// The content is sent to one searcher at a time.
    Suspect,
    /// The content is sent to no searcher.
    Quarantined,
}

impl Suspicion {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Suspicion::None => "none",
            Suspicion::Suspect => "suspect",
            Suspicion::Quarantined => "quarantined",
        }
    }
}

/// Change of a content's suspicion level, for the log and for peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionChange {
    /// The content.
    pub content: ContentKey,
    /// New level of the content.
    pub suspicion: Suspicion,
    /// Number of losses that count.
    pub losses: usize,
    /// Whether the level has risen.
    pub is_raised: bool,
}

impl SuspicionChange {
    /// Returns whether the change is sent to peers at once, rather than with the next datagrams. A raised level
    /// reported by a peer is passed on too: one push reaches only some nodes of a region, and a node that doesn't know
    /// of it may send the content to one searcher of each shard.
    pub fn is_urgent(&self, is_from_peers: bool) -> bool {
        !is_from_peers || self.is_raised
    }
}
