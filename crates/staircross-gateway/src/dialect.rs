//! The interface between the node and the wire format of a platform.
//!
//! The node's decisions use routes, searchers, revisions and answers. An adapter that implements [`Dialect`] translates
//! these to and from the headers, paths and bodies of one platform.
//!
//! This module owns the types that are passed to an adapter and back. It relies on adapters being pure translations,
//! without state and without decisions.

use staircross_http::HeaderBlock;
use staircross_routing::store_reader::{StoreCall, StoreReply};
use staircross_routing::{SearcherReport, StoreEpoch};
use std::net::SocketAddr;
use std::time::Duration;

/// Names of the header fields that callers and searchers use, and how the fields that describe a searcher are read.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a request, which is repeated in the answer.
    pub request_id: &'static str,
    /// Time that a caller waits for its answer, or that a searcher has to answer, in milliseconds from the message on.
    pub deadline_ms: &'static str,
    /// A searcher's signature of its answer.
    pub stamp: &'static str,
    /// Id of the only searcher instance that may run the request.
    pub expect_instance: &'static str,
    /// A caller's API key. It isn't forwarded to searchers if the configuration has tenants.
    pub api_key: &'static str,
    /// The tenant of a request, which is sent to searchers. If the configuration has tenants, the value that a caller
    /// sends isn't forwarded.
    pub tenant: &'static str,
    /// Field that a searcher sets if it didn't run the request.
    pub not_executed: &'static str,
    /// Seconds after which the caller may retry.
    pub retry_after: &'static str,
    /// Signatures of the parts of a merged answer.
    pub part_stamps: &'static str,
    /// Number of shards that are missing from a merged answer.
    pub missing_parts: &'static str,
    /// Reads what a searcher's answer reports about the searcher itself.
    pub report: fn(&HeaderBlock) -> SearcherReport,
}

/// A caller's question to the directory: which nodes should it send requests to?
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Host that the caller will send requests for, if the caller names one.
    pub host: Option<String>,
    /// Zone of the caller, if the caller names one.
    pub zone: Option<String>,
    /// Region of the caller, if the caller names one.
    pub region: Option<String>,
}

/// A body with its media type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenderedBody {
    /// Media type.
    pub content_type: &'static str,
    /// Content.
    pub bytes: Vec<u8>,
}

/// Why an answer of the store doesn't tell its epoch. It then counts as of the epoch that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochFault {
    /// The answer has no such field.
    Missing,
    /// The answer has the field more than once.
    Repeated,
    /// The field is no whole number of at most 64 bits.
    Malformed,
}

impl EpochFault {
    /// All faults.
    pub const ALL: [EpochFault; 3] = [EpochFault::Missing, EpochFault::Repeated, EpochFault::Malformed];

    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            EpochFault::Missing => "missing",
            EpochFault::Repeated => "repeated",
            EpochFault::Malformed => "malformed",
        }
    }
}

/// Translation to and from the wire format of one platform.
pub trait Dialect {
    /// Returns the names of the header fields.
    fn headers(&self) -> &HeaderNames;

    /// Returns the path of the readiness check.
    fn readiness_path(&self) -> &'static str;

    /// Parses a question to the directory. Returns `None` if `target` isn't the directory's.
    fn directory_query(&self, target: &str) -> Option<DirectoryQuery>;

    /// Renders the directory's answer.
    fn directory_answer(&self, addresses: &[SocketAddr], time_to_live: Duration) -> RenderedBody;

    /// Returns the request target of a call to the store, which is always a `GET`.
    fn store_target(&self, call: &StoreCall) -> String;

    /// Reads the epoch in which the store gave an answer, whatever the answer's status.
    fn store_epoch(&self, headers: &HeaderBlock) -> Result<StoreEpoch, EpochFault>;

    /// Interprets the store's answer to a call, which it gave in `epoch`.
    fn store_reply(&self, call: &StoreCall, epoch: StoreEpoch, status: u16, body: &[u8]) -> StoreReply;
}
