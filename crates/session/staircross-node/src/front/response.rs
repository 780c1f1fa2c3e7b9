//! HTTP responses: the conversion of replies, and their bytes.

use crate::api::{ReplyBody, StatementReply, StatusReply};
use crate::caller::CallerReply;
use serde::Serialize;
use staircross_http::write;
use staircross_search::Refusal;

/// A response to a caller.
pub(super) struct Response {
    status: u16,
    content_type: Option<&'static str>,
    /// Value of the header `retry-after`, in seconds.
    retry_after_s: Option<u64>,
    body: Vec<u8>,
}

/// How a response is written.
#[derive(Clone, Copy)]
pub(super) struct Framing {
    /// Whether the response says that the connection closes after it.
    pub announces_close: bool,
    /// Whether the body is left out because the request's method is `HEAD`.
    pub is_head: bool,
}

impl Response {
    /// Creates a response with a text.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Response { status, content_type: None, retry_after_s: None, body: text.into().into_bytes() }
    }

    /// Creates a response that refuses a request.
    pub fn refusal(refusal: &Refusal) -> Self {
        Response::statement(&StatementReply::refused(refusal))
    }

    /// Creates the response to a readiness check.
    pub fn readiness(status: &StatusReply) -> Self {
        let (code, text) = match (status.ready, status.leaving, status.has_config) {
            (true, ..) => (200, "ready\n"),
            (false, true, _) => (503, "leaving\n"),
            (false, false, false) => (503, "no document of the platform yet\n"),
            (false, false, true) => (503, "listening to its peers\n"),
        };
        Response::text(code, text)
    }

    fn statement(reply: &StatementReply) -> Self {
        let retry_after_ms = match &reply.body {
            ReplyBody::Refusal(refusal) => refusal.retry_after_ms,
            _ => None,
        };
        // The header holds whole seconds, rounded up. The body holds the milliseconds.
        let retry_after_s = retry_after_ms.map(|delay| delay.div_ceil(1000));
        Response { retry_after_s, ..Response::json(reply.http_status(), reply) }
    }

    fn json(status: u16, value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Response { status, content_type: Some("application/json"), retry_after_s: None, body },
            Err(error) => Response::text(500, error.to_string()),
        }
    }

    /// Returns the bytes of the response.
    pub fn to_bytes(&self, framing: Framing) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.body.len() + 256);
        write::status_line(&mut bytes, self.status);
        if let Some(content_type) = self.content_type {
            write::field(&mut bytes, "content-type", content_type.as_bytes());
        }
        if let Some(seconds) = self.retry_after_s {
            write::field_display(&mut bytes, "retry-after", seconds);
        }
        if self.status != 204 {
            write::field_display(&mut bytes, "content-length", self.body.len());
        }
        if framing.announces_close {
            write::field(&mut bytes, "connection", b"close");
        }
        write::end_head(&mut bytes);
        if !framing.is_head {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

impl From<CallerReply> for Response {
    fn from(reply: CallerReply) -> Self {
        match reply {
            CallerReply::Session(session) => Response::json(201, &session),
            CallerReply::Ticket(ticket) => Response::json(201, &ticket),
            CallerReply::Closed => Response::text(204, ""),
            CallerReply::Status(status) => Response::json(200, &status),
            CallerReply::Statement(statement) => Response::statement(&statement),
            CallerReply::Refused(refusal) => Response::refusal(&refusal),
        }
    }
}
