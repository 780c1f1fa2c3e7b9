//! Typed JSON answers to callers and operators; see `docs/PROTOCOLS.md`.

use serde::{Deserialize, Serialize};
use staircross_config::{PlatformDocument, ServiceDefinition};
use staircross_search::{Answer, Outcome, Refusal};
use staircross_types::{ErrorKind, Executed, Hit, MissingShard, NodeId, SessionToken, Ticket};
use std::net::SocketAddr;

/// A new session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionReply {
    /// Its token.
    pub session: SessionToken,
    /// The node that holds it.
    pub node: NodeId,
}

/// A fresh ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TicketReply {
    /// The ticket, as text for `RUN … TICKET '…'`.
    pub ticket: String,
}

impl From<Ticket> for TicketReply {
    fn from(ticket: Ticket) -> Self {
        TicketReply { ticket: ticket.to_string() }
    }
}

/// A statement to execute.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatementCall {
    /// The statement.
    pub statement: String,
}

/// The reply to a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementReply {
    /// Id of the request, as in logs; empty when none was made.
    pub request: String,
    /// What it is, and its content.
    #[serde(flatten)]
    pub body: ReplyBody,
    /// Set while the node is stopping: send the next request of the session here.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub moved_to: Option<SocketAddr>,
}

/// Content of a reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ReplyBody {
    /// An answer to a search or a page of a pull.
    Answer(AnswerBody),
    /// The action ran.
    Acted {
        /// The searcher's entry number.
        entry: u64,
        /// What it says.
        message: String,
    },
    /// Refused.
    Refusal(RefusalBody),
    /// Rows of a `SHOW` statement.
    Listing(Listing),
    /// What an edit makes of the document in force. It is in force once the platform publishes it.
    Planned {
        /// The new document.
        document: Box<PlatformDocument>,
    },
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// The snapshot that all of it comes from, as `version.epoch.build`.
    pub snapshot: String,
    /// Shards of the snapshot.
    pub shards_total: usize,
    /// Shards included.
    pub shards_included: usize,
    /// Shards lacking, each with its cause.
    pub shards_missing: Vec<MissingShard>,
    /// Matching documents in the included shards.
    pub matched: u64,
    /// Time to the answer, in milliseconds.
    pub elapsed_ms: f64,
    /// Sub-requests sent.
    pub sub_requests: u32,
    /// Sub-requests that were strictly needed.
    pub sub_requests_needed: u32,
    /// Cursor for `PULL … AFTER`.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub next: Option<String>,
    /// Best hits.
    pub hits: Vec<Hit>,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Kind of the closed list.
    pub error: ErrorKind,
    /// Whether it may have run.
    pub executed: Executed,
    /// What exactly.
    pub detail: String,
    /// When to come back; absent when coming back won't help.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

/// Rows of a listing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// One vector per row, a text per column.
    pub rows: Vec<Vec<String>>,
}

impl Listing {
    /// A listing with these columns and no row.
    pub fn new(columns: &[&str]) -> Self {
        Listing { columns: columns.iter().map(|name| (*name).to_owned()).collect(), rows: Vec::new() }
    }
}

/// State of a node, at a glance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// This run.
    pub node: NodeId,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Whether it knows a document of the platform.
    pub has_config: bool,
    /// Whether it should get traffic: it knows a document, isn't leaving and takes work for its searchers.
    pub ready: bool,
    /// Revision of the document in force here; 0 when none is known.
    pub revision: u64,
    /// Sessions held.
    pub sessions: usize,
    /// Requests in flight.
    pub requests_in_flight: usize,
    /// Searchers owned.
    pub owned_searchers: usize,
    /// All members as this node sees them.
    pub members: Vec<MemberStatus>,
}

/// One member in a status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its run.
    pub node: NodeId,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Its region.
    pub region: String,
    /// Its zone.
    pub zone: String,
    /// Its state.
    pub state: String,
    /// Revision that it holds, as far as it said so.
    pub revision: Option<u64>,
}

impl From<&Refusal> for RefusalBody {
    fn from(refusal: &Refusal) -> Self {
        RefusalBody {
            error: refusal.kind,
            executed: refusal.kind.executed(),
            detail: refusal.detail.clone(),
            retry_after_ms: refusal.kind.retry_after_ms(),
        }
    }
}

impl From<Answer> for AnswerBody {
    fn from(answer: Answer) -> Self {
        let next = answer.next.as_ref().map(|position| Cursor::encode(answer.snapshot, position));
        AnswerBody {
            snapshot: answer.snapshot.to_string(),
            shards_total: answer.coverage.total(),
            shards_included: answer.coverage.included.len(),
            shards_missing: answer.coverage.missing,
            matched: answer.matched,
            elapsed_ms: answer.elapsed.as_secs_f64() * 1000.0,
            sub_requests: answer.sent,
            sub_requests_needed: answer.needed,
            next,
            hits: answer.hits,
        }
    }
}

impl From<Outcome> for ReplyBody {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answer(answer) => ReplyBody::Answer((*answer).into()),
            Outcome::Acted(receipt) => ReplyBody::Acted { entry: receipt.entry, message: receipt.message },
            Outcome::Refusal(refusal) => ReplyBody::Refusal((&refusal).into()),
        }
    }
}

impl StatementReply {
    /// A refusal without a request.
    pub fn refused(refusal: &Refusal) -> Self {
        StatementReply { request: String::new(), body: ReplyBody::Refusal(refusal.into()), moved_to: None }
    }

    /// HTTP status of the reply.
    pub fn http_status(&self) -> u16 {
        match &self.body {
            ReplyBody::Refusal(refusal) => refusal.error.http_status(),
            _ => 200,
        }
    }
}

/// Where a paged pull goes on; names its snapshot, from which all pages come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// The snapshot.
    pub snapshot: staircross_types::Snapshot,
    /// The last document of the page before.
    pub position: staircross_types::query::PagePosition,
}

impl Cursor {
    /// Writes a cursor as text.
    pub fn encode(snapshot: staircross_types::Snapshot, position: &staircross_types::query::PagePosition) -> String {
        format!("{snapshot}:{}:{}", position.shard, position.document)
    }

    /// Reads a cursor; `None` when it is malformed.
    pub fn decode(text: &str) -> Option<Cursor> {
        let mut parts = text.splitn(3, ':');
        let snapshot = parts.next()?;
        let shard = parts.next()?.parse().ok()?;
        let document = parts.next()?.to_owned();
        let mut numbers = snapshot.split('.').map(str::parse);
        let mut number = || numbers.next()?.ok();
        let snapshot = staircross_types::Snapshot { version: number()?, epoch: number()?, build: number()? };
        let position = staircross_types::query::PagePosition { shard: staircross_types::ShardId(shard), document };
        Some(Cursor { snapshot, position })
    }
}

/// The configuration in force as a listing.
pub fn config_listing(services: &[ServiceDefinition]) -> Listing {
    let mut listing =
        Listing::new(&["service", "wait_ms", "coverage", "priority", "repeatable", "hedge", "retry", "searchers"]);
    for service in services {
        let policy = &service.policy;
        let percent = |per_mille: u32| format!("{}.{}%", per_mille / 10, per_mille % 10);
        listing.rows.push(vec![
            service.name.to_string(),
            policy.wait_ms.to_string(),
            percent(policy.least_coverage_per_mille),
            format!("{:?}", policy.priority).to_lowercase(),
            if policy.repeatable { "yes" } else { "no" }.to_owned(),
            percent(policy.hedge_per_mille),
            percent(policy.retry_per_mille),
            service.searchers.len().to_string(),
        ]);
    }
    listing
}
