//! Where an update comes from, for the log.

use staircross_routing::store_reader::Lane;
use std::net::SocketAddr;

/// The source of an update.
#[derive(Clone, Copy, Debug)]
pub(super) enum UpdateSource {
    /// A lane of the store.
    Store(Lane),
    /// The peer at this address, which was asked for it.
    Peer(SocketAddr),
    /// The end of the time for which another entry of a searcher has counted than the store's.
    Settled,
    /// The end of the time that searchers had to write again after the store's return from an older copy.
    Restored,
}

impl UpdateSource {
    /// Returns the name of the source in log lines.
    pub fn name(self) -> &'static str {
        match self {
            UpdateSource::Store(lane) => lane.name(),
            UpdateSource::Peer(_) => "peer",
            UpdateSource::Settled => "settled",
            UpdateSource::Restored => "restored",
        }
    }

    /// Returns the address of the peer that sent the update, if one did.
    pub fn peer(self) -> Option<SocketAddr> {
        match self {
            UpdateSource::Peer(address) => Some(address),
            UpdateSource::Store(_) | UpdateSource::Settled | UpdateSource::Restored => None,
        }
    }
}
