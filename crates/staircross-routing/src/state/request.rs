//! The state of one request in flight: its arrival, its shards and attempts, and its outcome.

use crate::configuration::definition::{GatherTarget, RouteDefinition};
use crate::configuration::table::RouteTable;
use crate::configuration::tenants::{Credential, SentIdentity, TenantDefinition};
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::first_probe::FirstProbe;
use crate::keys::{ContentKey, RequestKey, SearcherKey, TenantKey};
use crate::state::report::SearcherReport;
use serde::{Deserialize, Serialize};
use staircross_http::HeaderBlock;
use staircross_types::{BootTime, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

/// A completely received request, with what this node knew when it arrived.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Arrival {
    /// Number of the request.
    pub key: RequestKey,
    /// Host that the request names.
    pub host: String,
    /// Path without the query string.
    pub path: String,
    /// Time for which the caller waits for the answer, if it sent one.
    #[serde(rename = "patience")]
    pub caller_timeout: Option<Duration>,
    /// Longest time for which the request may have waited to be read.
    pub waited: Duration,
    /// Whether this node is late with its work and accepts no more requests.
    pub is_overloaded: bool,
    /// Newest configuration version that any peer is known to have. It may hold a route that this node doesn't know.
    #[serde(default)]
    pub newest_version: u64,
    /// How recent this node's knowledge of the configuration is, by which API keys are accepted.
    #[serde(default, rename = "view")]
    pub configuration_view: ConfigurationView,
    /// Whether this node knows all live searchers: the platform's list was read completely, and no lapsed entries are
    /// being written anew.
    pub knows_searchers: bool,
    /// Properties of the caller's connection.
    pub link: CallerLink,
    /// Digest of what the request asks for.
    pub content: ContentKey,
    /// The credential that the request carries.
    #[serde(default)]
    pub credential: Credential,
}

impl Arrival {
    /// Returns whether a peer was known to have a newer configuration than `table` when the request arrived.
    pub fn knows_newer_configuration(&self, table: &RouteTable) -> bool {
        self.newest_version > table.version()
    }
}

/// How recent a node's knowledge of the configuration is, and thus how certain it is that no API key in it has been
/// revoked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationView {
    /// The knowledge is as certain as the settings require.
    #[default]
    Current,
    /// The node hasn't learned from the store for too long whether anything has changed, and knows of a newer version.
    /// It waits for that version before it decides about a key, but only for a limited time.
    Doubtful,
    /// The node hasn't learned from the store for so long that it must not accept any key.
    Expired,
}

/// Properties of a caller's connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLink {
    /// Round-trip time to the caller, if the operating system reports it.
    pub round_trip: Option<Duration>,
    /// Whether the connection was made for this request, which is the first on it.
    #[serde(rename = "is_fresh")]
    pub is_new_connection: bool,
}

/// A searcher's complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearcherAnswer {
    /// HTTP status code.
    pub status: u16,
    /// The searcher's signature, if the answer carries one.
    pub stamp: Option<Vec<u8>>,
    /// All header fields.
    pub headers: HeaderBlock,
    /// Body of the answer.
    pub body: Vec<u8>,
    /// The searcher's report of its load and cold time.
    pub report: SearcherReport,
}

/// Why it is certain that an attempt didn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRun {
    /// No connection was established, so nothing was sent.
    Unconnected,
    /// The connection was established and reset before anything was sent: the searcher accepts no more connections.
    #[serde(rename = "TurnedAway")]
    ConnectionRejected,
    /// The searcher had closed an idle kept-alive connection before the attempt was sent on it.
    Stale,
    /// The searcher replied that it didn't run the attempt because it has no room or no time, or is draining.
    Shed,
    /// The address belongs to another searcher now.
    OtherInstance,
}

/// Why it is unknown whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unknown {
    /// The connection ended before the answer was complete; the searcher may have crashed.
    Broken,
    /// The searcher sent something that isn't a valid answer.
    Malformed,
    /// The searcher sent bytes that are either an answer with a status line in a field, or the beginning of another
    /// answer, continued by the right one.
    Ambiguous,
    /// The answer was no longer wanted and took too long to arrive.
    Unanswered,
    /// The answer is longer than this node accepts.
    TooLong,
}

impl NotRun {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            NotRun::Unconnected => "unconnected",
            NotRun::ConnectionRejected => "turned_away",
            NotRun::Stale => "stale",
            NotRun::Shed => "shed",
            NotRun::OtherInstance => "other_instance",
        }
    }
}

impl Unknown {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Unknown::Broken => "broken",
            Unknown::Malformed => "malformed",
            Unknown::Ambiguous => "ambiguous",
            Unknown::Unanswered => "unanswered",
            Unknown::TooLong => "too_long",
        }
    }
}

/// Why an attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendReason {
    /// It is the first attempt for its shard.
    First,
    /// An earlier attempt is late and still open.
    Hedge,
    /// An earlier attempt failed or was rejected.
    Retry,
    /// The connection of an earlier attempt wasn't established, so nothing was sent.
    Reroute,
}

impl SendReason {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            SendReason::First => "first",
            SendReason::Hedge => "hedge",
            SendReason::Retry => "retry",
            SendReason::Reroute => "reroute",
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The searcher answered.
    Answered(Box<SearcherAnswer>),
    /// The attempt didn't run.
    NotRun(NotRun),
    /// The attempt may have run.
    Unknown(Unknown),
    /// This node ended the attempt only because its answer was no longer wanted.
    Cancelled,
}

/// An answer merged from the parts of several shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergedAnswer {
    /// Signatures of the merged parts.
    pub stamps: Vec<Vec<u8>>,
    /// Number of shards without a part in the answer.
    pub missing: usize,
    /// The greatest records of the merged parts.
    pub body: Vec<u8>,
}

/// The final result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An answer merged from the parts of several shards.
    Merged(MergedAnswer),
    /// One searcher's answer, passed on unchanged.
    Passed(Box<SearcherAnswer>),
    /// The request was refused or given up.
    Refused {
        /// Kind of the error.
        kind: ErrorKind,
        /// Exact cause, for people.
        detail: &'static str,
        /// Time after which a retry may succeed, if it differs from the usual time of the error's kind.
        retry_after: Option<Duration>,
    },
}

/// State of one shard of a request. A request to one service has one shard.
#[derive(Debug)]
pub(crate) struct Shard {
    pub service: Arc<str>,
    pub state: ShardState,
    /// Searchers to which the shard was sent, one element for each attempt.
    pub sent_to: Vec<SearcherKey>,
    /// Searchers that must not be asked again for this shard, whatever `max_attempts` permits.
    pub excluded: Vec<SearcherKey>,
    /// Number of open attempts, for whose answers the shard still waits.
    pub open_attempts: u32,
    /// This is set while the shard waits for a searcher that can be asked.
    pub waiting: Option<Waiting>,
    /// Whether the shard is in the queue of its service.
    pub is_queued: bool,
}

/// The wait of a shard for a searcher that can be asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    /// Why the shard is sent. An attempt that counts as an extra send still does so after the wait.
    pub reason: SendReason,
    /// Time at which a searcher may be asked again. [`BootTime::FAR_FUTURE`] if all searchers that could be asked lack
    /// room; the wait then ends when an attempt ends.
    pub retry_at: BootTime,
}

impl Shard {
    pub fn new(service: Arc<str>) -> Self {
        Shard {
            service,
            state: ShardState::Open,
            sent_to: Vec::new(),
            excluded: Vec::new(),
            open_attempts: 0,
            waiting: None,
            is_queued: false,
        }
    }

    /// Returns whether the searcher must not be asked: it is in `excluded`, or the shard was already sent to
    /// `max_searchers` other searchers.
    pub fn is_excluded(&self, searcher: SearcherKey, max_searchers: u32) -> bool {
        let is_new = !self.sent_to.contains(&searcher);
        self.excluded.contains(&searcher) || (is_new && self.distinct_searchers() >= max_searchers)
    }

    /// Returns whether the shard may still be sent to any searcher, when it may be sent to at most `max_searchers`
    /// searchers.
    pub fn may_be_sent(&self, max_searchers: u32) -> bool {
        self.distinct_searchers() < max_searchers
            || self.sent_to.iter().any(|searcher| !self.excluded.contains(searcher))
    }

    /// Returns the number of different searchers to which the shard was sent.
    fn distinct_searchers(&self) -> u32 {
        let is_first = |index: &usize| !self.sent_to[..*index].contains(&self.sent_to[*index]);
        (0..self.sent_to.len()).filter(is_first).count() as u32
    }

    /// Removes the last attempt at the searcher from `sent_to`, because nothing of it reached the searcher.
    pub fn remove_sent(&mut self, searcher: SearcherKey) {
        if let Some(index) = self.sent_to.iter().rposition(|known| *known == searcher) {
            self.sent_to.remove(index);
        }
    }

    pub fn is_open(&self) -> bool {
        matches!(self.state, ShardState::Open)
    }

    /// Returns whether the shard may still be answered before `time`: an attempt is open, or a searcher may be asked by
    /// then.
    pub fn may_be_answered_by(&self, time: BootTime) -> bool {
        let may_get_answer = self.open_attempts > 0
            || self.waiting.is_none_or(|waiting| waiting.waits_for_room() || waiting.retry_at < time);
        self.is_open() && may_get_answer
    }
}

impl Waiting {
    /// Returns whether the shard waits for a searcher to have room rather than for a time.
    pub fn waits_for_room(&self) -> bool {
        self.retry_at == BootTime::FAR_FUTURE
    }
}

#[derive(Debug)]
pub(crate) enum ShardState {
    /// An attempt is open, or the shard waits for a searcher that can be asked.
    Open,
    /// A searcher answered the shard.
    Answered(Box<SearcherAnswer>),
    /// The shard was given up. This holds the searcher's error answer if there was one.
    Failed(Option<Box<SearcherAnswer>>),
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub shard: u32,
    /// Time at which a hedge to another searcher may be sent.
    pub hedge_at: BootTime,
    /// Whether the request still waits for the attempt's answer.
    pub is_open: bool,
    /// Whether the outcome of the attempt is known. An abandoned attempt without an outcome may have run.
    pub is_resolved: bool,
}

/// State of one request from its arrival to its final result.
#[derive(Debug)]
pub(crate) struct Request {
    /// The configuration that was in force when the request arrived; it applies to the whole request.
    pub table: Arc<RouteTable>,
    pub route_index: usize,
    /// The request's tenant in that configuration, for all attempts.
    pub tenant: Option<TenantKey>,
    /// The credential that the request carries; a newer configuration may no longer hold its key.
    pub credential: Credential,
    /// Whether a newer configuration no longer holds the key, so that no further attempts are sent.
    pub is_key_revoked: bool,
    pub shards: Vec<Shard>,
    pub attempts: Vec<Attempt>,
    /// Time by which the answer must be sent to meet the route's latency goal. From then on a partial answer is sent
    /// rather than a late one.
    pub answer_by: BootTime,
    /// Time by which the request must have its final result.
    pub deadline: BootTime,
    /// The group of services that the request asks.
    pub group: Arc<str>,
    /// Digest of what the request asks for.
    pub content: ContentKey,
    /// Whether any attempt ran or may have run.
    pub may_have_run: bool,
    /// Whether any searcher ran an attempt to its end.
    pub is_answered: bool,
    /// Whether [`Self::answer_by`] has passed.
    pub is_past_goal: bool,
    /// Time of the next scheduled check of the request; checks scheduled for other times are ignored.
    pub wake_at: Option<BootTime>,
    /// The first probe, set until one of the shards has answered, if requests of the route have crashed searchers
    /// lately.
    pub probe: Option<FirstProbe>,
}

impl Request {
    pub fn route(&self) -> &RouteDefinition {
        &self.table.definition().routes[self.route_index]
    }

    pub fn tenant(&self) -> Option<&TenantDefinition> {
        self.table.tenant(self.tenant?)
    }

    pub fn allowed_regions(&self) -> AllowedRegions<'_> {
        AllowedRegions::new(self.route(), self.tenant())
    }

    pub fn identity(&self) -> SentIdentity {
        match self.tenant() {
            Some(tenant) => SentIdentity::Tenant(tenant.name.clone()),
            None if self.table.definition().tenants.is_empty() => SentIdentity::Unmanaged,
            None => SentIdentity::Anonymous,
        }
    }

    pub fn gather(&self) -> Option<&GatherTarget> {
        match &self.route().target {
            crate::configuration::definition::RouteTarget::Gather(gather) => Some(gather),
            _ => None,
        }
    }

    /// Returns the least number of answered shards that make an answer.
    pub fn min_shards(&self) -> usize {
        self.route().min_shards()
    }

    pub fn answered_shards(&self) -> usize {
        self.shards.iter().filter(|shard| matches!(shard.state, ShardState::Answered(_))).count()
    }

    pub fn open_shards(&self) -> usize {
        self.shards.iter().filter(|shard| shard.is_open()).count()
    }

    /// Returns the number of attempts for whose answers the request still waits.
    pub fn open_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_open).count()
    }

    /// Returns whether the key was revoked while it is unknown whether the open attempts run. The end of the next
    /// attempt shows it.
    pub fn awaits_outcome_after_revocation(&self) -> bool {
        let has_open_attempt = || self.attempts.iter().any(|attempt| attempt.is_open);
        self.is_key_revoked && !self.may_have_run && has_open_attempt()
    }

    /// Returns whether any open shard may still be answered before [`Self::answer_by`].
    pub fn may_gain_parts(&self) -> bool {
        self.shards.iter().any(|shard| shard.may_be_answered_by(self.answer_by))
    }
}
