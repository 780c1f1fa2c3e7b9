//! Calls to the store, one at a time in each lane.
//!
//! Owns the connections and what was asked on them. What is asked and when is decided by
//! [`StoreReader`](staircross_routing::store_reader::StoreReader), what an answer means by the dialect; both are brought
//! together in `knowledge`. Lanes stand in the order of [`Lane::ALL`].

use crate::http_call::HttpCaller;
use crate::socket::SocketKind;
use staircross_routing::store_reader::{Lane, StoreCall};
use staircross_types::BootTime;
use std::net::SocketAddr;

/// Number of lanes.
const LANES: usize = Lane::ALL.len();

/// Calls to the store, by lane.
pub(super) struct StoreCalls {
    pub callers: [HttpCaller; LANES],
    /// The call of each lane that waits for its answer.
    pub pending: [Option<StoreCall>; LANES],
    /// When the last call of each lane was made.
    pub called_at: [BootTime; LANES],
}

impl StoreCalls {
    pub fn new(address: SocketAddr) -> Self {
        StoreCalls {
            callers: Lane::ALL.map(|lane| HttpCaller::new(SocketKind::Store, lane as u32, address)),
            pending: [const { None }; LANES],
            called_at: [BootTime::default(); LANES],
        }
    }

    /// Calls the store at another address from now on; calls under way are cancelled.
    pub fn set_address(&mut self, address: SocketAddr) {
        for caller in &mut self.callers {
            caller.set_address(address);
        }
        self.pending = [const { None }; LANES];
    }

    /// When the first of the calls under way is over.
    pub fn next_wake(&self) -> Option<BootTime> {
        self.callers.iter().filter_map(HttpCaller::next_wake).min()
    }
}
