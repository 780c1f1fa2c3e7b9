//! Paths of the HTTP interface.

use staircross_http::RequestHead;
use staircross_search::Refusal;
use staircross_types::{ErrorKind, SessionToken};

/// Endpoint that a method and a path select.
pub(super) enum Route {
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

/// Finds the endpoint of a request.
pub(super) fn find_route(head: &RequestHead) -> Result<Route, Refusal> {
    let path = origin_path(head.path());
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let token = |text: &str| {
        let parsed = text.parse::<SessionToken>();
        parsed.map_err(|error| Refusal::new(ErrorKind::BadRequest, format!("session token: {error}")))
    };
    match (head.method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "sessions"]) => Ok(Route::OpenSession),
        ("DELETE", ["v1", "sessions", text]) => Ok(Route::CloseSession(token(text)?)),
        ("POST", ["v1", "sessions", text, "tickets"]) => Ok(Route::Tickets(token(text)?)),
        ("POST", ["v1", "sessions", text, "query"]) => Ok(Route::Query(token(text)?)),
        ("POST", ["v1", "command"]) => Ok(Route::Command),
        ("GET", ["v1", "status"]) => Ok(Route::Status),
        ("GET", ["metrics"]) => Ok(Route::Metrics),
        ("GET", ["livez"]) => Ok(Route::Alive),
        ("GET", ["readyz"]) => Ok(Route::Ready),
        (method, _) => Err(Refusal::new(ErrorKind::NotFound, format!("{method} {path} is not served"))),
    }
}

/// Returns the path of a target that may be in absolute form, `http://host/path`, which servers must accept.
fn origin_path(target: &str) -> &str {
    let Some((_, rest)) = target.split_once("://").filter(|_| !target.starts_with('/')) else {
        return target;
    };
    rest.find('/').map_or("/", |start| &rest[start..])
}
