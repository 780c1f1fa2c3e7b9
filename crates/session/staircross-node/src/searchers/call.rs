//! HTTP calls to a searcher, and the outcome that each way of failing implies.

use super::reply_memory::{ReadReplyError, ReplyBuffer, ReplyMemory};
use crate::http_status::require_success;
use crate::logs::Logs;
use spdlog::{debug, warn};
use staircross_search::leaf::not_run;
use staircross_search::{
    ActionReceipt, NotRunReason, ProbeReport, SubOutcome, SubReply, SubRequest, UnknownReason, Work,
};
use staircross_types::searcher_api::{
    ACT_PATH, ActCall, CANCEL_PATH, CallReply, CallStatus, CancelCall, DIGEST_HEADER, SEARCH_PATH, STATE_PATH,
    SearchCall, StateReply,
};
use staircross_types::{AttemptId, SearcherId, SearcherIncarnation, ShardId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the reply to a probe or a cancellation.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time by which the wait for a reply exceeds the time until the deadline, so that a reply sent at the deadline still
/// arrives.
const REPLY_GRACE: Duration = Duration::from_millis(50);
/// Longest reply to a probe or a cancellation, in bytes.
const MAX_CONTROL_REPLY_BYTES: u64 = 256 * 1024;

/// HTTP client of one searcher, with one keep-alive connection for searches.
///
/// Replies to probes carry no ids, so on a kept connection a copy of an earlier one would pass for the next. Probes,
/// cancellations and actions have a connection of their own.
pub(super) struct SearcherClient {
    searcher: SearcherId,
    base_url: String,
    keep_alive_agent: ureq::Agent,
    unpooled_agent: ureq::Agent,
    limits: ReplyLimits,
    logs: Logs,
}

/// Limits on the replies of searchers.
#[derive(Clone, Debug)]
pub(super) struct ReplyLimits {
    /// Longest reply to a search or an action, in bytes.
    pub reply_bytes: u64,
    /// Memory of all replies that are being read.
    pub memory: Arc<ReplyMemory>,
}

/// Result of a call.
pub(super) struct CallResult {
    /// The searcher's reply, or one made by this node that says how the call failed.
    pub reply: SubReply,
    /// Incarnation of the searcher that replied, if one did.
    pub incarnation: Option<SearcherIncarnation>,
}

impl CallResult {
    /// Creates the result of a call without a reply of the searcher.
    pub fn without_reply(reply: SubReply) -> Self {
        CallResult { reply, incarnation: None }
    }
}

/// Reason why a call failed.
#[derive(Debug)]
enum CallFailure {
    /// No connection was made, so no byte was sent.
    NotConnected,
    /// The call failed after a connection may have been made.
    Broken(String),
    /// The wait for the reply ended after a connection may have been made.
    TimedOut,
}

impl SearcherClient {
    pub fn new(searcher: SearcherId, address: SocketAddr, limits: ReplyLimits, logs: Logs) -> Self {
        SearcherClient {
            searcher,
            base_url: format!("http://{address}"),
            keep_alive_agent: new_agent(1),
            unpooled_agent: new_agent(0),
            limits,
            logs,
        }
    }

    pub fn searcher(&self) -> SearcherId {
        self.searcher
    }

    /// Sends a sub-request to the searcher and waits for its reply.
    pub fn call(&mut self, request: &SubRequest) -> CallResult {
        let result = self.call_once(request);
        if matches!(result.reply.outcome, SubOutcome::Unknown(_)) {
            // The right reply may still come on the connection, and would be read as the reply to the next call.
            self.keep_alive_agent = new_agent(1);
        }
        result
    }

    fn call_once(&self, request: &SubRequest) -> CallResult {
        let reply = match &request.work {
            Work::Search(query) => {
                let call = SearchCall {
                    attempt: request.attempt,
                    snapshot: request.snapshot,
                    shards: request.shards.clone(),
                    query: query.clone(),
                    remaining_ms: request.remaining.as_millis() as u64,
                };
                self.post(&self.keep_alive_agent, SEARCH_PATH, &call, request.remaining + REPLY_GRACE)
            }
            Work::Act(command) => {
                let call = ActCall {
                    attempt: request.attempt,
                    snapshot: request.snapshot,
                    shard: request.shards.first().copied().unwrap_or(ShardId(u32::MAX)),
                    command: command.clone(),
                    remaining_ms: request.remaining.as_millis() as u64,
                };
                self.post(&self.unpooled_agent, ACT_PATH, &call, request.remaining + REPLY_GRACE)
            }
        };
        match reply {
            Ok(reply) => {
                let incarnation = Some(reply.incarnation);
                CallResult { reply: self.check_reply(request, reply), incarnation }
            }
            Err(CallFailure::NotConnected) => CallResult::without_reply(not_run(request, NotRunReason::Unconnected)),
            Err(CallFailure::TimedOut) => CallResult::without_reply(unknown_outcome(request, UnknownReason::Late)),
            Err(CallFailure::Broken(reason)) => {
                debug!(logger: self.logs.searchers,
                    "event=broken_reply searcher={} attempt={} reason={reason:?}", self.searcher, request.attempt);
                CallResult::without_reply(unknown_outcome(request, UnknownReason::Broken))
            }
        }
    }

    /// Checks that a reply is for this request, and converts it for the leaf engine.
    fn check_reply(&self, request: &SubRequest, reply: CallReply) -> SubReply {
        if reply.attempt != request.attempt {
            warn!(logger: self.logs.searchers,
                "event=foreign_reply searcher={} asked={} got={}", self.searcher, request.attempt, reply.attempt);
            return unknown_outcome(request, UnknownReason::Broken);
        }
        let outcome = match reply.status {
            CallStatus::Found { shards } => SubOutcome::Found(shards),
            CallStatus::Acted { entry, message } => SubOutcome::Acted(ActionReceipt { entry, message }),
            CallStatus::Shed => SubOutcome::NotRun(NotRunReason::Shed),
            CallStatus::SnapshotGone => SubOutcome::NotRun(NotRunReason::SnapshotGone),
            CallStatus::Draining => SubOutcome::NotRun(NotRunReason::Draining),
            CallStatus::Stopped => SubOutcome::Unknown(UnknownReason::Late),
        };
        SubReply {
            attempt: request.attempt,
            searcher: request.searcher,
            snapshot: reply.snapshot,
            outcome,
            worked: Default::default(),
        }
    }

    fn post(
        &self,
        agent: &ureq::Agent,
        path: &str,
        call: &impl serde::Serialize,
        timeout: Duration,
    ) -> Result<CallReply, CallFailure> {
        let body = serde_json::to_vec(call).map_err(|error| CallFailure::Broken(error.to_string()))?;
        let request = agent.post(format!("{}{path}", self.base_url)).config().timeout_global(Some(timeout)).build();
        let response = request.header("content-type", "application/json").send(&body[..]).map_err(classify_error)?;
        let reply = self.read_verified_body(response, self.limits.reply_bytes)?;
        reply.parse().map_err(|error| CallFailure::Broken(error.to_string()))
    }

    fn read_verified_body(
        &self,
        response: ureq::http::Response<ureq::Body>,
        max_bytes: u64,
    ) -> Result<ReplyBuffer, CallFailure> {
        let response = require_success(response).map_err(classify_after_connecting)?;
        let digest = response.headers().get(DIGEST_HEADER).and_then(|value| value.to_str().ok()).map(str::to_owned);
        // The searcher has begun to reply, so it may have executed the call whatever fails from here on.
        let reply = self.read_body(response, max_bytes)?;
        match digest {
            Some(digest) if digest == reply.digest() => Ok(reply),
            Some(_) => Err(CallFailure::Broken("the body doesn't match its digest".to_owned())),
            None => Err(CallFailure::Broken("the reply has no digest".to_owned())),
        }
    }

    fn read_body(
        &self,
        response: ureq::http::Response<ureq::Body>,
        max_bytes: u64,
    ) -> Result<ReplyBuffer, CallFailure> {
        let mut reply = ReplyBuffer::new(&self.limits.memory);
        let mut reader = response.into_body().into_with_config().limit(max_bytes).reader();
        match reply.read_to_end(&mut reader) {
            Ok(()) => Ok(reply),
            Err(ReadReplyError::Io(error)) => Err(classify_after_connecting(error.into())),
            Err(error @ ReadReplyError::OutOfMemory { .. }) => {
                warn!(logger: self.logs.searchers, "event=reply_too_long searcher={} error=\"{error}\"", self.searcher);
                Err(CallFailure::Broken(error.to_string()))
            }
        }
    }

    /// Requests the searcher's state. Returns `None` if the request fails or another searcher answers.
    pub fn probe(&self) -> Option<ProbeReport> {
        let request = self.unpooled_agent.get(format!("{}{STATE_PATH}", self.base_url));
        let response = request.config().timeout_global(Some(CONTROL_TIMEOUT)).build().call().ok()?;
        let reply = self.read_verified_body(response, MAX_CONTROL_REPLY_BYTES).ok()?;
        let state: StateReply = reply.parse().ok()?;
        if state.searcher != self.searcher {
            warn!(logger: self.logs.searchers,
                "event=wrong_searcher expected={} got={}", self.searcher, state.searcher);
            return None;
        }
        Some(ProbeReport { incarnation: state.incarnation, snapshots: state.snapshots, draining: state.draining })
    }

    /// Notifies the searcher that the result of an attempt is no longer needed. This is only a hint, so a failure is
    /// only logged.
    pub fn cancel(&self, attempt: AttemptId) {
        let Ok(body) = serde_json::to_vec(&CancelCall { attempt }) else {
            return;
        };
        let request = self.unpooled_agent.post(format!("{}{CANCEL_PATH}", self.base_url));
        let sent = request.config().timeout_global(Some(CONTROL_TIMEOUT)).build().send(&body[..]);
        let received = sent.and_then(require_success).map_err(classify_after_connecting);
        match received.and_then(|response| self.read_body(response, MAX_CONTROL_REPLY_BYTES)) {
            Ok(_) => {}
            Err(error) => debug!(logger: self.logs.searchers, "event=cancel_failed attempt={attempt} error={error:?}"),
        }
    }
}

fn new_agent(max_idle_connections: usize) -> ureq::Agent {
    ureq::Agent::config_builder()
        .proxy(None)
        .max_redirects(0)
        .max_idle_connections(max_idle_connections)
        .max_idle_connections_per_host(max_idle_connections)
        .max_idle_age(Duration::from_secs(30))
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .build()
        .into()
}

/// Converts an error of the HTTP client. Only errors that certainly occurred before the first byte was sent count
/// as [`CallFailure::NotConnected`].
fn classify_error(error: ureq::Error) -> CallFailure {
    match &error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => CallFailure::NotConnected,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => CallFailure::NotConnected,
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => CallFailure::NotConnected,
        _ => classify_after_connecting(error),
    }
}

fn classify_after_connecting(error: ureq::Error) -> CallFailure {
    match error {
        ureq::Error::Timeout(_) => CallFailure::TimedOut,
        other => CallFailure::Broken(other.to_string()),
    }
}

fn unknown_outcome(request: &SubRequest, reason: UnknownReason) -> SubReply {
    SubReply {
        attempt: request.attempt,
        searcher: request.searcher,
        snapshot: request.snapshot,
        outcome: SubOutcome::Unknown(reason),
        worked: Default::default(),
    }
}
