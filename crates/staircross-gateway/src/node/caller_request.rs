//! Callers' requests in flight, and the trace of the decisions for each.
//!
//! [`CallerRequests`] owns them and finds them by the engine's request key and by the connection that waits for the
//! answer. A connection has one request at a time: the server reads the next one only after it has written the
//! answer.

use crate::outbound::OutboundRequest;
use hashbrown::HashMap;
use staircross_routing::{ContentKey, RequestKey};
use staircross_transport::socket::SocketId;
use staircross_types::BootTime;
use std::sync::Arc;

/// All requests whose callers wait for an answer.
pub(super) struct CallerRequests {
    by_key: HashMap<RequestKey, CallerRequest>,
    by_connection: HashMap<SocketId, RequestKey>,
    next_key: u64,
    /// Total length of the requests' bodies, in bytes.
    body_bytes: usize,
}

impl CallerRequests {
    pub fn new() -> Self {
        CallerRequests { by_key: HashMap::new(), by_connection: HashMap::new(), next_key: 1, body_bytes: 0 }
    }

    /// Returns a key that no earlier request of this process has had.
    pub fn next_key(&mut self) -> RequestKey {
        let key = RequestKey(self.next_key);
        self.next_key += 1;
        key
    }

    pub fn insert(&mut self, key: RequestKey, request: CallerRequest) {
        self.by_connection.insert(request.connection, key);
        self.body_bytes += request.outbound.body_length();
        self.by_key.insert(key, request);
    }

    /// Returns the total length of the requests' bodies, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut CallerRequest> {
        self.by_key.get_mut(&key)
    }

    /// Returns whether no caller waits for an answer.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns the keys of all requests in order of arrival.
    pub fn keys(&self) -> Vec<RequestKey> {
        let mut keys: Vec<RequestKey> = self.by_key.keys().copied().collect();
        keys.sort_unstable();
        keys
    }

    /// Returns the key of the request whose answer a connection waits for.
    pub fn key_of(&self, connection: SocketId) -> Option<RequestKey> {
        self.by_connection.get(&connection).copied()
    }

    /// Removes a request and returns it; its caller no longer waits for an answer from here on.
    pub fn remove(&mut self, key: RequestKey) -> Option<CallerRequest> {
        let request = self.by_key.remove(&key)?;
        self.by_connection.remove(&request.connection);
        self.body_bytes -= request.outbound.body_length();
        Some(request)
    }
}

/// A request whose caller waits for the answer.
pub(super) struct CallerRequest {
    pub connection: SocketId,
    pub outbound: OutboundRequest,
    pub route: Option<Arc<str>>,
    /// Name of the tenant to which the request's key belongs.
    pub tenant: Option<Arc<str>>,
    /// Host and path of the request, kept if its route or tenant was unknown at its arrival.
    pub unresolved_target: Option<RouteTarget>,
    /// Version of the configuration in which the route and the tenant were found.
    pub version: u64,
    pub arrived: BootTime,
    pub keeps_alive: bool,
    /// Number of attempts beyond the first one of each shard.
    pub extra_attempts: u32,
    pub trace: Trace,
}

/// Host and path, by which a route is found.
pub(super) struct RouteTarget {
    pub host: String,
    pub path: String,
}

impl CallerRequest {
    pub fn id(&self) -> &str {
        self.outbound.id.as_deref().and_then(|id| std::str::from_utf8(id).ok()).unwrap_or("-")
    }

    /// Returns the tenant's name for logs, or `-`.
    pub fn tenant_name(&self) -> &str {
        self.tenant.as_deref().unwrap_or("-")
    }

    /// Returns the content key under which quarantine counts this request.
    pub fn content(&self) -> ContentKey {
        self.outbound.content.of_tenant(self.tenant.as_deref())
    }

    pub fn route_name(&self) -> &str {
        self.route.as_deref().unwrap_or("-")
    }
}

/// Log lines of the decisions for one request, kept until it ends.
#[derive(Default)]
pub(super) struct Trace {
    lines: Vec<(BootTime, String)>,
}

/// Maximum number of decisions kept for one request; further ones are not logged. The number is enough for the hedges
/// and retries of a request to many shards.
const MAX_TRACE_LINES: usize = 96;

impl Trace {
    pub fn add(&mut self, now: BootTime, text: String) {
        if self.lines.len() < MAX_TRACE_LINES {
            self.lines.push((now, text));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    pub fn lines(&self) -> impl Iterator<Item = (BootTime, &str)> {
        self.lines.iter().map(|(time, text)| (*time, text.as_str()))
    }
}
