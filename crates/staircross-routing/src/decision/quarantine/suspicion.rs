//! What is believed of a content, and changes of it.

use crate::keys::ContentKey;

/// What is believed of a content, in rising order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// It may be sent like any other.
    #[default]
    None,
    /// It is sent to one searcher at a time.
    Suspect,
    /// It is sent to nobody.
    Quarantined,
}

impl Suspicion {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Suspicion::None => "none",
            Suspicion::Suspect => "suspect",
            Suspicion::Quarantined => "quarantined",
        }
    }
}

/// A change of what is believed of a content, for the log and for peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionChange {
    /// The content.
    pub content: ContentKey,
    /// What is believed of it now.
    pub suspicion: Suspicion,
    /// Searchers lost under it that count.
    pub losses: usize,
    /// Whether it is more suspect than before.
    pub is_raised: bool,
}

impl SuspicionChange {
    /// Whether it is sent to peers at once, rather than with the next datagrams. What a peer sent is passed on: a push reaches some nodes of its
    /// region, and until a node knows it may send the content to one searcher of each shard.
    pub fn is_urgent(&self, is_from_peers: bool) -> bool {
        !is_from_peers || self.is_raised
    }
}
