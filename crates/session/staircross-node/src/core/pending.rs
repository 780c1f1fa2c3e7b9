//! Requests that the root has.

use crate::event::CallerReply;
use crossbeam::channel::Sender;
use staircross_search::SessionState;
use staircross_types::{BootTime, ServiceName, SessionToken};

/// A request that the root has and a caller waits for.
pub(super) struct PendingRequest {
    pub session: SessionToken,
    pub session_tag: String,
    pub session_before: Option<SessionState>,
    pub service: ServiceName,
    pub started: BootTime,
    pub reply: Sender<CallerReply>,
}
