//! A caller's request while it is worked on, and what was decided for it.

use crate::outbound::OutboundRequest;
use crate::socket::SocketId;
use staircross_routing::ContentKey;
use staircross_types::BootTime;
use std::sync::Arc;

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

/// Decisions kept for one request.
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
