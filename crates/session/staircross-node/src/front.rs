//! HTTP server for callers and operators.
//!
//! The server library runs one thread per connection. The thread converts each request into a typed command for the
//! core thread and waits for the reply. The number of connections, the length of a request and the time spent waiting
//! for a caller are bounded.

use crate::api::{StatementReply, StatementRequest};
use crate::event::{CallerCommand, CallerReply, CoreEvent};
use crate::metrics::Metrics;
use crossbeam::channel::{Sender, bounded};
use oxhttp::Server;
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use serde::Serialize;
use staircross_config::{LimitSettings, Settings};
use staircross_language::parse_statement;
use staircross_search::Refusal;
use staircross_types::{ErrorKind, SessionToken};
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Longest wait for a reply of the core. It exceeds every wait bound that a service may declare, so the wait times out
/// only if the core doesn't respond.
const CORE_REPLY_TIMEOUT: Duration = Duration::from_secs(620);

/// State shared by all connections of the HTTP server.
struct Front {
    events: Sender<CoreEvent>,
    limits: LimitSettings,
    metrics: Metrics,
    active_http_requests: Arc<AtomicUsize>,
    leaving: Arc<AtomicBool>,
}

/// Starts the HTTP server. It runs until the process ends because the server library can't stop a server.
pub fn start(
    settings: &Settings,
    events: Sender<CoreEvent>,
    metrics: Metrics,
    active_http_requests: Arc<AtomicUsize>,
    leaving: Arc<AtomicBool>,
) -> std::io::Result<()> {
    let front = Front { events, limits: settings.limits.clone(), metrics, active_http_requests, leaving };
    let server = Server::new(move |request| front.handle(request))
        .bind(settings.node.listen)
        .with_max_concurrent_connections(settings.limits.caller_connections)
        .with_global_timeout(Duration::from_millis(settings.limits.caller_timeout_ms));
    server.spawn().map(|_| ())
}

/// Endpoint that a method and a path select.
enum Route {
    OpenSession,
    CloseSession(SessionToken),
    Tickets(SessionToken),
    Query(SessionToken),
    Command,
    Status,
    Metrics,
    Alive,
    Ready,
}

fn find_route(method: &Method, path: &str) -> Result<Route, Refusal> {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let token = |text: &str| {
        let parsed = text.parse::<SessionToken>();
        parsed.map_err(|error| Refusal::new(ErrorKind::BadRequest, format!("session token: {error}")))
    };
    match (method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "sessions"]) => Ok(Route::OpenSession),
        ("DELETE", ["v1", "sessions", text]) => Ok(Route::CloseSession(token(text)?)),
        ("POST", ["v1", "sessions", text, "tickets"]) => Ok(Route::Tickets(token(text)?)),
        ("POST", ["v1", "sessions", text, "query"]) => Ok(Route::Query(token(text)?)),
        ("POST", ["v1", "command"]) => Ok(Route::Command),
        ("GET", ["v1", "status"]) => Ok(Route::Status),
        ("GET", ["metrics"]) => Ok(Route::Metrics),
        ("GET", ["livez"]) => Ok(Route::Alive),
        ("GET", ["readyz"]) => Ok(Route::Ready),
        _ => Err(Refusal::new(ErrorKind::NotFound, format!("{method} {path} is not served"))),
    }
}

/// Counts a request as being served until the guard is dropped.
struct ActiveRequestGuard<'a>(&'a AtomicUsize);

impl Drop for ActiveRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Front {
    fn handle(&self, request: &mut Request<Body>) -> Response<Body> {
        self.active_http_requests.fetch_add(1, Ordering::AcqRel);
        let _guard = ActiveRequestGuard(&self.active_http_requests);
        let route = find_route(request.method(), request.uri().path());
        let mut response = match route.and_then(|route| self.serve(route, request)) {
            Ok(response) => response,
            Err(refusal) => refusal_response(&refusal),
        };
        if self.leaving.load(Ordering::Acquire) {
            // Callers should not reuse a connection to a node that is about to exit.
            response.headers_mut().insert("connection", oxhttp::model::HeaderValue::from_static("close"));
        }
        response
    }

    fn serve(&self, route: Route, request: &mut Request<Body>) -> Result<Response<Body>, Refusal> {
        let command = match route {
            Route::Metrics => return Ok(text_response(StatusCode::OK, self.metrics.render())),
            Route::Alive => return Ok(text_response(StatusCode::OK, "alive\n".to_owned())),
            Route::Ready => return self.readiness_response(),
            Route::OpenSession => CallerCommand::OpenSession,
            Route::CloseSession(token) => CallerCommand::CloseSession(token),
            Route::Tickets(token) => CallerCommand::MintTicket(token),
            Route::Status => CallerCommand::Status,
            Route::Query(token) => CallerCommand::Execute { token, statement: self.read_statement(request)? },
            Route::Command => CallerCommand::ExecuteOperatorStatement(self.read_statement(request)?),
        };
        self.ask_core(command).map(reply_response)
    }

    fn readiness_response(&self) -> Result<Response<Body>, Refusal> {
        let CallerReply::Status(status) = self.ask_core(CallerCommand::Status)? else {
            return Err(Refusal::new(ErrorKind::Internal, "unexpected reply"));
        };
        let (code, text) = match (status.ready, status.leaving, status.has_config) {
            (true, ..) => (StatusCode::OK, "ready\n"),
            (false, true, _) => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
            (false, false, false) => (StatusCode::SERVICE_UNAVAILABLE, "no document of the platform yet\n"),
            (false, false, true) => (StatusCode::SERVICE_UNAVAILABLE, "listening to its peers\n"),
        };
        Ok(text_response(code, text.to_owned()))
    }

    fn ask_core(&self, command: CallerCommand) -> Result<CallerReply, Refusal> {
        let (reply, answer) = bounded(1);
        let unreachable = || Refusal::new(ErrorKind::Leaving, "the node is about to exit; nothing was run");
        self.events.send(CoreEvent::Caller { command, reply }).map_err(|_| unreachable())?;
        answer
            .recv_timeout(CORE_REPLY_TIMEOUT)
            .map_err(|_| Refusal::new(ErrorKind::Internal, "no reply from the node's core; it may have run"))
    }

    fn read_statement(&self, request: &mut Request<Body>) -> Result<staircross_language::Statement, Refusal> {
        let text = self.read_text(request)?;
        let statement = match text.trim_start().starts_with('{') {
            true => {
                let call: StatementRequest = serde_json::from_str(&text)
                    .map_err(|error| Refusal::new(ErrorKind::BadRequest, format!("body: {error}")))?;
                call.statement
            }
            false => text,
        };
        parse_statement(&statement).map_err(|error| Refusal::new(ErrorKind::BadSyntax, error.to_string()))
    }

    fn read_text(&self, request: &mut Request<Body>) -> Result<String, Refusal> {
        let limit = self.limits.request_bytes;
        let mut bytes = Vec::new();
        let read = request.body_mut().take(limit as u64 + 1).read_to_end(&mut bytes);
        read.map_err(|error| Refusal::new(ErrorKind::BadRequest, format!("body: {error}")))?;
        if bytes.len() > limit {
            return Err(Refusal::new(ErrorKind::TooLarge, format!("body: more than {limit} bytes")));
        }
        String::from_utf8(bytes).map_err(|_| Refusal::new(ErrorKind::BadRequest, "body: not UTF-8"))
    }
}

fn reply_response(reply: CallerReply) -> Response<Body> {
    match reply {
        CallerReply::Session(session) => json_response(201, &session, None),
        CallerReply::Ticket(ticket) => json_response(201, &ticket, None),
        CallerReply::Closed => text_response(StatusCode::NO_CONTENT, String::new()),
        CallerReply::Status(status) => json_response(200, &status, None),
        CallerReply::Statement(statement) => statement_response(&statement),
        CallerReply::Refused(refusal) => refusal_response(&refusal),
    }
}

fn refusal_response(refusal: &Refusal) -> Response<Body> {
    statement_response(&StatementReply::refused(refusal))
}

fn statement_response(reply: &StatementReply) -> Response<Body> {
    let retry_after_ms = match &reply.body {
        crate::api::ReplyBody::Refusal(refusal) => refusal.retry_after_ms,
        _ => None,
    };
    json_response(reply.http_status(), reply, retry_after_ms)
}

fn json_response(status: u16, value: &impl Serialize, retry_after_ms: Option<u64>) -> Response<Body> {
    let bytes = match serde_json::to_vec(value) {
        Ok(bytes) => bytes,
        Err(error) => return text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    };
    let mut builder = Response::builder().status(status).header("content-type", "application/json");
    if let Some(delay) = retry_after_ms {
        // The header holds whole seconds, rounded up. The body holds the milliseconds.
        builder = builder.header("retry-after", delay.div_ceil(1000).to_string());
    }
    let response = builder.body(Body::from(bytes));
    response.unwrap_or_else(|error| text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
}

fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}
