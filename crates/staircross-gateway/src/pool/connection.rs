//! The state of one connection to a searcher, and which attempts it may carry.

use super::carried::CarriedIds;
use crate::outbound::OutboundRequest;
use crate::traffic::{Purpose, Reach};
use staircross_http::ClientConnection;
use staircross_routing::SearcherKey;
use staircross_routing::engine::{AbandonCause, SendOrder};
use staircross_transport::socket::Socket;
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

/// Maximum idle time of a connection that is reused for a request that must not run twice. If the searcher ended while
/// the connection was idle, it would be unknown whether the request ran. The maximum is below one second, the shortest
/// keep-alive timeout that a searcher can state.
const MAX_IDLE_IF_NOT_IDEMPOTENT: Duration = Duration::from_millis(800);

/// An attempt assigned to a connection.
pub(super) struct Assignment {
    pub order: SendOrder,
    pub request: OutboundRequest,
    /// Time until which the pool still reads the answer, and the cause, once the answer is no longer wanted.
    pub abandoned: Option<(BootTime, AbandonCause)>,
}

/// State of a connection. The assignment is `None` if the attempt that the connection was opened for was recalled.
pub(super) enum ConnectionState {
    /// The connection isn't known to be established.
    Connecting { assignment: Option<Box<Assignment>> },
    /// The connection is established, but nothing is sent before it has stayed open for a moment.
    Proving { assignment: Option<Box<Assignment>> },
    /// The pool has begun to write an attempt, and the answer isn't complete.
    Busy(Box<Assignment>),
    /// The connection is available to attempts.
    Idle,
}

/// A connection to a searcher, or an attempt to connect.
pub(super) struct Connection {
    pub socket: Socket,
    pub http: ClientConnection,
    pub searcher: SearcherKey,
    /// Service of the searcher.
    pub service: Arc<str>,
    /// Number that distinguishes the connection from earlier ones in the same slot.
    pub generation: u32,
    /// Time at which the present state began.
    pub state_since: BootTime,
    /// Time after which the idle connection is closed.
    pub idle_timeout: Duration,
    pub state: ConnectionState,
    /// Whether the connection hasn't delivered an answer yet.
    pub is_fresh: bool,
    /// Ids of the requests that were written on the connection.
    pub carried: CarriedIds,
    /// Purpose of the last attempt, for the count of bytes.
    pub purpose: Purpose,
    /// Distance of the searcher, for the count of bytes.
    pub reach: Reach,
}

impl Connection {
    /// Returns whether an attempt may be written on the connection, which is idle. Nothing follows bytes that could be
    /// the beginning of an answer, since the next answer would be read as their continuation. Unless reuse is allowed,
    /// nothing follows an answer either.
    pub fn suits(&self, assignment: &Assignment, is_reuse_allowed: bool, now: BootTime) -> bool {
        if self.http.has_unread_bytes() || (self.http.has_received() && !is_reuse_allowed) {
            return false;
        }
        let is_recently_used = now.since(self.state_since) < MAX_IDLE_IF_NOT_IDEMPOTENT;
        (assignment.order.is_idempotent || is_recently_used) && !self.has_carried(&assignment.request)
    }

    /// Returns whether the connection may have carried an attempt of a request.
    pub fn has_carried(&self, request: &OutboundRequest) -> bool {
        request.id.as_ref().is_some_and(|id| self.carried.may_contain(id))
    }
}
