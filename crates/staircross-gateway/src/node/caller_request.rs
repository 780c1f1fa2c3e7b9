//! Callers' requests while they are worked on, and what was decided for each.
//!
//! [`CallerRequests`] owns them, by the key under which the engine knows them and by the connection that waits. A
//! connection has one request at a time: the server reads on only when it has written the answer.

use crate::outbound::OutboundRequest;
use crate::socket::SocketId;
use hashbrown::HashMap;
use staircross_routing::{ContentKey, RequestKey};
use staircross_types::BootTime;
use std::sync::Arc;

/// All requests whose callers wait.
pub(super) struct CallerRequests {
    by_key: HashMap<RequestKey, CallerRequest>,
    by_connection: HashMap<SocketId, RequestKey>,
    next_key: u64,
}

impl CallerRequests {
    pub fn new() -> Self {
        CallerRequests { by_key: HashMap::new(), by_connection: HashMap::new(), next_key: 1 }
    }

    /// A key that no request of this process has had.
    pub fn next_key(&mut self) -> RequestKey {
        let key = RequestKey(self.next_key);
        self.next_key += 1;
        key
    }

    pub fn insert(&mut self, key: RequestKey, request: CallerRequest) {
        self.by_connection.insert(request.connection, key);
        self.by_key.insert(key, request);
    }

    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut CallerRequest> {
        self.by_key.get_mut(&key)
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// All of them, in the order in which they came.
    pub fn keys(&self) -> Vec<RequestKey> {
        let mut keys: Vec<RequestKey> = self.by_key.keys().copied().collect();
        keys.sort_unstable();
        keys
    }

    /// The request whose answer a connection waits for.
    pub fn key_of(&self, connection: SocketId) -> Option<RequestKey> {
        self.by_connection.get(&connection).copied()
    }

    /// Ends a request: nobody waits for it any more.
    pub fn take(&mut self, key: RequestKey) -> Option<CallerRequest> {
        let request = self.by_key.remove(&key)?;
        self.by_connection.remove(&request.connection);
        Some(request)
    }
}

/// A request whose caller waits.
pub(super) struct CallerRequest {
    pub connection: SocketId,
    pub outbound: OutboundRequest,
    pub route: Option<Arc<str>>,
    /// Whose it is.
    pub tenant: Option<Arc<str>>,
    /// What was asked for, where no route or no tenant was known when the request came.
    pub unrouted: Option<Target>,
    pub version: u64,
    pub arrived: BootTime,
    pub keeps_alive: bool,
    /// Attempts besides the first of each shard.
    pub extras: u32,
    pub trace: Trace,
}

/// What a route is found by.
pub(super) struct Target {
    pub host: String,
    pub path: String,
}

impl CallerRequest {
    pub fn id(&self) -> &str {
        self.outbound.id.as_deref().and_then(|id| std::str::from_utf8(id).ok()).unwrap_or("-")
    }

    /// Its tenant's name, for logs.
    pub fn tenant_name(&self) -> &str {
        self.tenant.as_deref().unwrap_or("-")
    }

    /// What it asks for, as quarantine counts it.
    pub fn content(&self) -> ContentKey {
        self.outbound.content.of_tenant(self.tenant.as_deref())
    }

    pub fn route_name(&self) -> &str {
        self.route.as_deref().unwrap_or("-")
    }
}

/// Decisions within a request, kept until it ends.
#[derive(Default)]
pub(super) struct Trace {
    lines: Vec<(BootTime, String)>,
}

/// Decisions kept for one request; further ones are not logged. So that the hedges and retries of a request to many shards fit.
const MAX_TRACE: usize = 96;

impl Trace {
    pub fn add(&mut self, now: BootTime, text: String) {
        if self.lines.len() < MAX_TRACE {
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
