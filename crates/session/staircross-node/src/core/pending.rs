//! Requests in progress at the root engine.

use crate::front_message::ReplySender;
use staircross_search::SessionState;
use staircross_types::{BootTime, ServiceName, SessionToken};

/// A request in progress at the root engine, with the channel on which its caller waits for the reply.
pub(super) struct PendingRequest {
    pub session: SessionToken,
    /// Name of the session in logs.
    pub session_tag: String,
    /// State of the session before the request. Only a changed state is copied to other nodes.
    pub session_before: Option<SessionState>,
    pub service: ServiceName,
    pub started: BootTime,
    pub reply: ReplySender,
}
