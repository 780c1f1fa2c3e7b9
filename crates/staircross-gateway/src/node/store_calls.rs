//! The calls to the store that are in flight, at most one in each lane.
//!
//! A lane is a kind of call: for the configuration, for the searchers' entries, for further pages of these, or a probe of
//! whether the store answers.
//!
//! This module owns the connections and the pending call of each lane, and the version that the store has shown.
//! [`StoreReader`](staircross_routing::store_reader::StoreReader) decides which calls are made and when, and the
//! dialect interprets the replies; `updates` connects the two. Arrays are indexed in the order of [`Lane::ALL`].

use crate::http_call::HttpClient;
use crate::store_version::StoreVersion;
use staircross_routing::store_reader::{Lane, StoreCall};
use staircross_transport::socket::SocketKind;
use staircross_types::BootTime;
use std::net::SocketAddr;

/// Number of lanes, which is the length of the arrays that are indexed by lane.
const LANE_COUNT: usize = Lane::ALL.len();

/// Connections and pending calls to the store, by lane.
pub(super) struct StoreCalls {
    pub clients: [HttpClient; LANE_COUNT],
    /// The call in flight in each lane.
    pub pending: [Option<StoreCall>; LANE_COUNT],
    /// The version of the configuration that the store has shown.
    pub version: StoreVersion,
}

impl StoreCalls {
    /// Creates the connections to the store at `address`. Answers of more than `max_answer` bytes fail their calls.
    pub fn new(address: SocketAddr, max_answer: usize) -> Self {
        StoreCalls {
            clients: Lane::ALL.map(|lane| HttpClient::new(SocketKind::Store, lane as u32, address, max_answer)),
            pending: [const { None }; LANE_COUNT],
            version: StoreVersion::default(),
        }
    }

    /// Changes the store's address; calls in flight are cancelled, and what the store has shown is forgotten.
    pub fn set_address(&mut self, address: SocketAddr) {
        for client in &mut self.clients {
            client.set_address(address);
        }
        self.pending = [const { None }; LANE_COUNT];
        self.version.forget_shown();
    }

    /// Returns when the first of the calls in flight times out.
    pub fn next_wake(&self) -> Option<BootTime> {
        self.clients.iter().filter_map(HttpClient::next_wake).min()
    }
}
