//! State of one request in flight.

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

/// A request that has arrived whole.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Arrival {
    /// Its number.
    pub key: RequestKey,
    /// Host that it names.
    pub host: String,
    /// Path, without the query.
    pub path: String,
    /// Time that the caller will wait, if it says so.
    pub patience: Option<Duration>,
    /// Longest time that the request may have waited to be read.
    pub waited: Duration,
    /// Whether this node is too busy to take more.
    pub is_overloaded: bool,
    /// Newest configuration that a peer is known to have: what isn't known here may be there.
    #[serde(default)]
    pub newest_version: u64,
    /// How sure this node is of the keys that it knows.
    #[serde(default)]
    pub view: ConfigurationView,
    /// Whether all searchers that live are known here: the platform's list was read whole, and none are just coming back to it.
    pub knows_searchers: bool,
    /// What is known of the caller's connection.
    pub link: CallerLink,
    /// What it asks for.
    pub content: ContentKey,
    /// What it proves itself with.
    #[serde(default)]
    pub credential: Credential,
}

impl Arrival {
    /// Whether a configuration isn't the newest that was known when the request came.
    pub fn is_ahead_of(&self, table: &RouteTable) -> bool {
        self.newest_version > table.version()
    }
}

/// How sure a node is that no key which it knows has been revoked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationView {
    /// As sure as the settings ask.
    #[default]
    Current,
    /// It hasn't heard of the store for too long and knows that there is a newer version: it asks before it judges.
    Doubtful,
    /// It hasn't heard of the store for so long that it may let nobody in by a key.
    Expired,
}

/// What is known of a caller's connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLink {
    /// Time to the caller and back, if the system reports it.
    pub round_trip: Option<Duration>,
    /// Whether the connection was made for this request.
    pub is_fresh: bool,
}

/// A searcher's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearcherAnswer {
    /// Status.
    pub status: u16,
    /// The searcher's signature, if it gave one.
    pub stamp: Option<Vec<u8>>,
    /// All fields.
    pub headers: HeaderBlock,
    /// Body.
    pub body: Vec<u8>,
    /// What it says of its searcher.
    pub report: SearcherReport,
}

/// Why an attempt certainly didn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRun {
    /// No connection came up; nothing was sent.
    Unconnected,
    /// The connection came up and was reset before anything was sent: the searcher has enough of them.
    #[serde(rename = "TurnedAway")]
    ConnectionRejected,
    /// A kept connection had been closed by its searcher before anything was sent on it again.
    Stale,
    /// The searcher says that it didn't run it: no room, no time, or leaving.
    Shed,
    /// Another searcher has the address.
    OtherInstance,
}

/// Why it isn't known whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unknown {
    /// The connection ended without a whole answer: the searcher may have ended.
    Broken,
    /// What came was no answer.
    Malformed,
    /// Nobody waited for the answer any more, and it took too long to be read out.
    Unanswered,
    /// The answer is longer than this node takes.
    TooLong,
}

impl NotRun {
    /// Name in logs.
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
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Unknown::Broken => "broken",
            Unknown::Malformed => "malformed",
            Unknown::Unanswered => "unanswered",
            Unknown::TooLong => "too_long",
        }
    }
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendReason {
    /// The first for its shard.
    First,
    /// Besides one that is late.
    Hedge,
    /// After one that failed or was rejected.
    Retry,
    /// After a connection that didn't come up: nothing was sent.
    Reroute,
}

impl SendReason {
    /// Name in logs and metrics.
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
    /// Answered.
    Answered(Box<SearcherAnswer>),
    /// Ran nowhere.
    NotRun(NotRun),
    /// May have run.
    Unknown(Unknown),
    /// Nobody waited for it any more, and it was ended for that alone.
    Cancelled,
}

/// A merged answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergedAnswer {
    /// Signatures of the parts that are in.
    pub stamps: Vec<Vec<u8>>,
    /// Shards that are left out.
    pub missing: usize,
    /// The greatest records of these parts.
    pub body: Vec<u8>,
}

/// The final word on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Parts, merged.
    Merged(MergedAnswer),
    /// A searcher's answer as it is.
    Passed(Box<SearcherAnswer>),
    /// Refused or given up.
    Refused {
        /// One of the closed list.
        kind: ErrorKind,
        /// What exactly, for people.
        detail: &'static str,
        /// When asking again may help, where that isn't the same for all of the kind.
        retry_after: Option<Duration>,
    },
}

/// What is known about one shard of a request. A request to one service has one shard.
#[derive(Debug)]
pub(crate) struct Shard {
    pub service: Arc<str>,
    pub state: ShardState,
    /// Searchers that it was sent to, once for each sending.
    pub sent_to: Vec<SearcherKey>,
    /// Searchers that aren't to be asked again.
    pub tried: Vec<SearcherKey>,
    /// Attempts out for it.
    pub outstanding: u32,
    /// Set while it waits for somebody to be asked.
    pub waiting: Option<Waiting>,
    /// Whether it stands in the queue of its service.
    pub is_queued: bool,
}

/// A shard that nobody could be asked for yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    /// Why it is to be sent; what counts as extra goes on counting so.
    pub reason: SendReason,
    /// When a searcher may be asked again; far in the future where all that could be asked lack room, which
    /// the end of an attempt shows.
    pub retry_at: BootTime,
}

impl Shard {
    pub fn new(service: Arc<str>) -> Self {
        Shard {
            service,
            state: ShardState::Open,
            sent_to: Vec::new(),
            tried: Vec::new(),
            outstanding: 0,
            waiting: None,
            is_queued: false,
        }
    }

    /// Whether a searcher may not be asked: it was asked already, or `most` others were sent the request.
    pub fn is_excluded(&self, searcher: SearcherKey, most: u32) -> bool {
        let is_new = !self.sent_to.contains(&searcher);
        self.tried.contains(&searcher) || (is_new && self.searchers_reached() >= most)
    }

    /// Whether any searcher may still be sent the request.
    pub fn may_be_sent(&self, most: u32) -> bool {
        self.searchers_reached() < most || self.sent_to.iter().any(|searcher| !self.tried.contains(searcher))
    }

    /// Searchers that the request was sent to.
    fn searchers_reached(&self) -> u32 {
        let is_first = |index: &usize| !self.sent_to[..*index].contains(&self.sent_to[*index]);
        (0..self.sent_to.len()).filter(is_first).count() as u32
    }

    /// Notes that a sending reached nobody.
    pub fn forget_sending(&mut self, searcher: SearcherKey) {
        if let Some(index) = self.sent_to.iter().rposition(|known| *known == searcher) {
            self.sent_to.remove(index);
        }
    }

    pub fn is_open(&self) -> bool {
        matches!(self.state, ShardState::Open)
    }

    /// Whether its part may still be in before a time: somebody is at work on it, or may be asked until then.
    pub fn may_come_by(&self, time: BootTime) -> bool {
        let has_chance = self.outstanding > 0
            || self.waiting.is_none_or(|waiting| waiting.waits_for_room() || waiting.retry_at < time);
        self.is_open() && has_chance
    }
}

impl Waiting {
    /// Whether it waits for room rather than for a time.
    pub fn waits_for_room(&self) -> bool {
        self.retry_at == BootTime::FAR_FUTURE
    }
}

#[derive(Debug)]
pub(crate) enum ShardState {
    /// Asked, or waiting for a searcher with room.
    Open,
    /// Its part is in.
    In(Box<SearcherAnswer>),
    /// Given up, with the searcher's own failure if there was one.
    Failed(Option<Box<SearcherAnswer>>),
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub shard: u32,
    /// When another searcher may be asked besides.
    pub hedge_at: BootTime,
    pub is_open: bool,
    /// Whether its end is known; one that was abandoned may have run.
    pub is_resolved: bool,
}

/// One request.
#[derive(Debug)]
pub(crate) struct Request {
    /// The configuration that the request began with; all its parts come from there.
    pub table: Arc<RouteTable>,
    pub route_index: usize,
    /// Whose it is by that configuration, for all its attempts.
    pub tenant: Option<TenantKey>,
    /// What it proved itself with; a newer configuration may hold it no more.
    pub credential: Credential,
    /// Whether that has happened: nothing more is sent for it.
    pub is_key_revoked: bool,
    pub shards: Vec<Shard>,
    pub attempts: Vec<Attempt>,
    /// When a partial answer goes out rather than none in time.
    pub answer_by: BootTime,
    pub deadline: BootTime,
    /// The group of services that it asks.
    pub group: Arc<str>,
    /// What it asks for.
    pub content: ContentKey,
    /// Whether any attempt ran or may have run.
    pub may_have_run: bool,
    /// Whether any searcher has run it to its end.
    pub is_answered: bool,
    /// Whether the time for the best answer is over.
    pub is_past_goal: bool,
    /// The next time at which it is looked at; looks that were scheduled for later are void.
    pub wake_at: Option<BootTime>,
    /// Set while none of its shards has answered, where others of its route have ended searchers lately.
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

    /// Shards that make an answer.
    pub fn least_shards(&self) -> usize {
        self.route().least_shards()
    }

    pub fn parts_in(&self) -> usize {
        self.shards.iter().filter(|shard| matches!(shard.state, ShardState::In(_))).count()
    }

    pub fn open_shards(&self) -> usize {
        self.shards.iter().filter(|shard| shard.is_open()).count()
    }

    /// Attempts whose answers are waited for.
    pub fn attempts_at_work(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_open).count()
    }

    /// Whether its key was revoked while it isn't known yet whether anything of it runs: the next end of an attempt shows.
    pub fn is_unclear(&self) -> bool {
        let is_anything_out = || self.attempts.iter().any(|attempt| attempt.is_open);
        self.is_key_revoked && !self.may_have_run && is_anything_out()
    }

    /// Whether any shard that is open may have its part in time for the best answer.
    pub fn may_grow_in_time(&self) -> bool {
        self.shards.iter().any(|shard| shard.may_come_by(self.answer_by))
    }
}
