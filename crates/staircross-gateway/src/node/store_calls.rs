//! The calls to the store that are in flight, at most one in each lane.
//!
//! This module owns the connections and the pending call of each lane.
//! [`StoreReader`](staircross_routing::store_reader::StoreReader) decides which calls are made and when, and the
//! dialect interprets the replies; `knowledge` connects the two. Arrays are indexed in the order of [`Lane::ALL`].

use crate::http_call::HttpCaller;
use crate::socket::SocketKind;
use staircross_routing::store_reader::{Lane, StoreCall};
use staircross_types::BootTime;
use std::net::SocketAddr;

const LANES: usize = Lane::ALL.len();

/// Connections and pending calls to the store, by lane.
pub(super) struct StoreCalls {
    pub callers: [HttpCaller; LANES],
    /// The call in flight in each lane.
    pub pending: [Option<StoreCall>; LANES],
    /// Time of the last call in each lane.
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

    /// Changes the store's address; calls in flight are cancelled.
    pub fn set_address(&mut self, address: SocketAddr) {
        for caller in &mut self.callers {
            caller.set_address(address);
        }
        self.pending = [const { None }; LANES];
    }

    /// Returns when the first of the calls in flight times out.
    pub fn next_wake(&self) -> Option<BootTime> {
        self.callers.iter().filter_map(HttpCaller::next_wake).min()
    }
}
