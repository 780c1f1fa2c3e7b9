//! JSON messages exchanged with callers and operators. `docs/PROTOCOLS.md` describes the protocol.

use serde::{Deserialize, Serialize};
use staircross_config::{PlatformDocument, ServiceDefinition};
use staircross_search::{Answer, Outcome, Refusal};
use staircross_types::{ErrorKind, Executed, Hit, MissingShard, NodeId, SessionToken, Ticket};
use std::net::SocketAddr;

/// Reply to the opening of a session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionReply {
    /// Token of the session.
    pub session: SessionToken,
    /// The node that holds the session.
    pub node: NodeId,
}

/// Reply to a request for a ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TicketReply {
    /// Text of the ticket, for use in `RUN … TICKET '…'`.
    pub ticket: String,
}

impl From<Ticket> for TicketReply {
    fn from(ticket: Ticket) -> Self {
        TicketReply { ticket: ticket.to_string() }
    }
}

/// Body of a request to execute a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatementRequest {
    /// Text of the statement.
    pub statement: String,
}

/// The reply to a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementReply {
    /// Id of the request as logs show it, or empty if the statement didn't become a request.
    pub request: String,
    /// Kind and content of the reply.
    #[serde(flatten)]
    pub body: ReplyBody,
    /// Address of the node to which the caller should send the next request of the session. It is set only while the
    /// node that replies is stopping.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub moved_to: Option<SocketAddr>,
}

/// Content of a reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ReplyBody {
    /// Answer to a search, or one page of a pull.
    Answer(AnswerBody),
    /// The action was executed.
    Acted {
        /// Number of the action's entry in the searcher's audit trail.
        entry: u64,
        /// Message of the searcher about the action.
        message: String,
    },
    /// The statement was refused.
    Refusal(RefusalBody),
    /// Rows of a `SHOW` statement.
    Listing(Listing),
    /// Result of an edit of the document in force. The edit takes effect once the platform publishes the new document.
    Planned {
        /// The edited document.
        document: Box<PlatformDocument>,
    },
}

/// Answer to a search or a pull.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// The snapshot from which all hits come, as `version.epoch.build`.
    pub snapshot: String,
    /// Number of shards of the snapshot.
    pub shards_total: usize,
    /// Number of shards that the answer includes.
    pub shards_included: usize,
    /// Shards that the answer lacks, each with the cause.
    pub shards_missing: Vec<MissingShard>,
    /// Number of matching documents in the included shards.
    pub matched: u64,
    /// Time from the request to the answer, in milliseconds.
    pub elapsed_ms: f64,
    /// Number of sub-requests sent.
    pub sub_requests: u32,
    /// Number of sub-requests of the first plan. Hedges, retries and later plans are extra.
    pub sub_requests_needed: u32,
    /// Cursor of the next page, for use in `PULL … AFTER`.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub next: Option<String>,
    /// The hits.
    pub hits: Vec<Hit>,
}

/// Refusal of a statement or a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Kind of the error, from a closed list.
    pub error: ErrorKind,
    /// Whether the request may have been executed.
    pub executed: Executed,
    /// Details of the error for people to read.
    pub detail: String,
    /// Time after which to try again, in milliseconds. It is absent if trying again won't help.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

/// Rows of a listing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows, each with one text per column.
    pub rows: Vec<Vec<String>>,
}

impl Listing {
    /// Creates a listing with these columns and no rows.
    pub fn new(columns: &[&str]) -> Self {
        Listing { columns: columns.iter().map(|name| (*name).to_owned()).collect(), rows: Vec::new() }
    }
}

/// State of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Id of this incarnation of the node.
    pub node: NodeId,
    /// Whether the node is stopping.
    pub leaving: bool,
    /// Whether the node has a document of the platform.
    pub has_config: bool,
    /// Whether the node should get traffic: it has a document, isn't stopping and accepts work for its searchers.
    pub ready: bool,
    /// Revision of the document in force at this node, or 0 if it has none.
    pub revision: u64,
    /// Number of sessions that the node holds.
    pub sessions: usize,
    /// Number of requests in flight.
    pub requests_in_flight: usize,
    /// Number of searchers that the node owns.
    pub owned_searchers: usize,
    /// All members of the cluster as this node knows them.
    pub members: Vec<MemberStatus>,
}

/// State of one member of the cluster as the replying node knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id of the member's incarnation.
    pub node: NodeId,
    /// Address at which callers reach the member.
    pub address: SocketAddr,
    /// Region of the member.
    pub region: String,
    /// Zone of the member.
    pub zone: String,
    /// Membership state of the member, in lower case.
    pub state: String,
    /// Revision of the document that the member holds, if this node has received it.
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
    /// Creates the reply to a statement that was refused before it became a request.
    pub fn refused(refusal: &Refusal) -> Self {
        StatementReply { request: String::new(), body: ReplyBody::Refusal(refusal.into()), moved_to: None }
    }

    /// Returns whether the statement was refused.
    pub fn is_refusal(&self) -> bool {
        matches!(self.body, ReplyBody::Refusal(_))
    }

    /// Returns the HTTP status of the reply.
    pub fn http_status(&self) -> u16 {
        match &self.body {
            ReplyBody::Refusal(refusal) => refusal.error.http_status(),
            _ => 200,
        }
    }
}

/// Position after which the next page of a pull starts. It names the snapshot from which all pages of the pull come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// Snapshot from which all pages of the pull come.
    pub snapshot: staircross_types::Snapshot,
    /// Position of the last document of the previous page.
    pub position: staircross_types::query::PagePosition,
}

impl Cursor {
    /// Formats a cursor as text.
    pub fn encode(snapshot: staircross_types::Snapshot, position: &staircross_types::query::PagePosition) -> String {
        format!("{snapshot}:{}:{}", position.shard, position.document)
    }

    /// Parses a cursor. Returns `None` if the text is malformed.
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

/// Formats service definitions as a listing with one row per service.
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
