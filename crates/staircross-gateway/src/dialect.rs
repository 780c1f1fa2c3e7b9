//! The interface to a platform's wire: what the node needs spelled or read, and no spelling.
//!
//! Owns the types that pass to an adapter and back. Relies on the adapter to be a pure translation: it keeps no state and decides nothing.
//!
//! The node's decisions know routes, searchers, revisions and answers. How these are spelled on a
//! given platform is behind this interface, which an adapter implements.

use staircross_http::HeaderBlock;
use staircross_routing::SearcherReport;
use staircross_routing::store_reader::{StoreCall, StoreReply};
use std::net::SocketAddr;
use std::time::Duration;

/// Names of the header fields that callers and searchers use, and how those are read that hold several values.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a request, repeated in answers.
    pub request_id: &'static str,
    /// Milliseconds that the caller waits, or that a searcher may take, from the message on.
    pub deadline_ms: &'static str,
    /// A searcher's signature of an answer.
    pub stamp: &'static str,
    /// Id of the searcher that alone may take the request.
    pub expect_instance: &'static str,
    /// A caller's key; not passed on while there are tenants.
    pub api_key: &'static str,
    /// The tenant that a request is for, sent to searchers; what a caller writes there isn't passed on while there are tenants.
    pub tenant: &'static str,
    /// Set by a searcher that did not run the request.
    pub not_executed: &'static str,
    /// Seconds after which the caller may retry.
    pub retry_after: &'static str,
    /// Signatures of the parts of a merged answer.
    pub part_stamps: &'static str,
    /// Number of shards that a merged answer lacks.
    pub missing_parts: &'static str,
    /// Reads what a searcher's answer reports of the searcher itself.
    pub report: fn(&HeaderBlock) -> SearcherReport,
}

/// A caller's question to the directory: which nodes to send requests to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Host that the caller wants, if it says.
    pub host: Option<String>,
    /// Zone of the caller, if it says.
    pub zone: Option<String>,
    /// Region of the caller, if it says.
    pub region: Option<String>,
}

/// A body with its media type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenderedBody {
    /// Media type.
    pub content_type: &'static str,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// The spelling of one platform.
pub trait Dialect {
    /// Header names.
    fn headers(&self) -> &HeaderNames;

    /// Path at which readiness is asked for.
    fn readiness_path(&self) -> &'static str;

    /// Reads a question to the directory from a request target; `None` when the target is another.
    fn directory_query(&self, target: &str) -> Option<DirectoryQuery>;

    /// Writes the directory's answer.
    fn directory_answer(&self, addresses: &[SocketAddr], time_to_live: Duration) -> RenderedBody;

    /// Request target of a call to the store (always `GET`).
    fn store_target(&self, call: &StoreCall) -> String;

    /// Reads the store's answer to a call.
    fn store_reply(&self, call: &StoreCall, status: u16, body: &[u8]) -> StoreReply;
}
