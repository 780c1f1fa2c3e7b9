//! What the engine takes in, and what it wants done.

use crate::configuration::table::RouteTable;
use crate::configuration::tenants::{KeyRefusal, SentIdentity};
use crate::decision::admission::AdmissionChange;
use crate::decision::placement::Distance;
use crate::decision::quarantine::{CaseRecord, SuspicionChange};
use crate::keys::{AttemptKey, RequestKey, SearcherKey};
use crate::state::mirror::SearcherEntry;
use crate::state::report::ReportedLoad;
pub use crate::state::request::SendReason;
use crate::state::request::{Arrival, AttemptOutcome, Verdict};
use hashbrown::HashMap;
use staircross_quota::{QuotaChange, QuotaMessage};
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What the engine takes in.
#[derive(Clone, Debug)]
pub enum RoutingEvent {
    /// A newer configuration is in force.
    Configuration(Arc<RouteTable>),
    /// New or changed entries.
    Searchers(Vec<SearcherEntry>),
    /// Incarnations whose entries have gone.
    SearchersGone(Vec<Arc<str>>),
    /// All zones whose searchers are to get no new work.
    Evacuated(Vec<Arc<str>>),
    /// The live nodes have changed.
    Fleet {
        /// Nodes that serve callers, by zone; this one counts.
        nodes_by_zone: HashMap<Arc<str>, usize>,
        /// Most nodes that served lately.
        serving: usize,
        /// This node's number among those that serve, from 0; `None` for a reserve.
        rank: Option<usize>,
        /// This node's part of the slack for extra sends, 0 to 1.
        slack_share: f64,
        /// Live nodes that take callers' requests, reserves too; `None` where they are those of the last event.
        nodes: Option<Vec<NodeId>>,
    },
    /// A request has arrived.
    Arrived(Arrival),
    /// Its caller has left.
    CallerGone(RequestKey),
    /// A connection came up.
    Connected {
        /// To whom.
        searcher: SearcherKey,
        /// How long it took.
        took: Duration,
    },
    /// An attempt that had to wait for a connection has one now.
    Begun {
        /// Which.
        attempt: AttemptKey,
    },
    /// An attempt has ended and holds no connection any more.
    Ended {
        /// Which.
        attempt: AttemptKey,
        /// How.
        outcome: AttemptOutcome,
    },
    /// Peers have lost searchers under requests.
    PeerCases(Vec<CaseRecord>),
    /// No peer has been heard for some time, or one is heard again.
    Isolated {
        /// Whether none is.
        is_isolated: bool,
    },
    /// A peer reports what it has admitted, or what this node may admit, of tenants' quotas.
    PeerQuota {
        /// The peer.
        from: NodeId,
        /// What it reports.
        messages: Vec<QuotaMessage>,
    },
    /// Time has passed.
    Tick,
}

/// What the engine wants done.
#[derive(Clone, Debug)]
pub enum RoutingAction {
    /// Send the request to a searcher.
    Send(SendOrder),
    /// The attempt's answer is no longer wanted: read it out, or close the connection when it takes
    /// longer than `patience`.
    Abandon {
        /// Which.
        attempt: AttemptKey,
        /// How long to wait for its end.
        patience: Duration,
        /// Why.
        cause: AbandonCause,
    },
    /// Take an attempt back if nothing of it was sent; what was sent goes on.
    Recall {
        /// Which.
        attempt: AttemptKey,
    },
    /// An attempt that was wanted isn't made; for the log alone.
    Unsent {
        /// For which request.
        request: RequestKey,
        /// For which service.
        service: Arc<str>,
        /// Why it was wanted.
        reason: SendReason,
        /// Why it isn't made.
        cause: UnsentCause,
    },
    /// A request ends without a part of this shard; for the log alone.
    LeftOut {
        /// Which request.
        request: RequestKey,
        /// The shard.
        service: Arc<str>,
        /// Searchers that were asked, in order.
        asked: Vec<Arc<str>>,
        /// Why there is no part.
        cause: LeftOutCause,
    },
    /// A request waits until this node knows what it needs; for the log alone.
    Held {
        /// Which request.
        request: RequestKey,
        /// What is lacking.
        cause: HoldCause,
    },
    /// A request's key lets nobody in; for the log alone, which never gets a key.
    KeyRefused {
        /// Which request.
        request: RequestKey,
        /// Why.
        cause: KeyRefusal,
    },
    /// A request is refused because too much waits at its services; for the log alone.
    NotAdmitted {
        /// Which request.
        request: RequestKey,
        /// The first service of the group.
        group: Arc<str>,
        /// Part of its route's requests that is taken now, 0 to 1.
        fraction: f64,
    },
    /// What is taken of the work offered to a group of services has changed; for the log alone.
    Admission {
        /// The first service of the group.
        group: Arc<str>,
        /// The change, and what it follows from.
        change: AdmissionChange,
    },
    /// What is believed of a content has changed: for the log, and for peers.
    Suspicion {
        /// The change.
        change: SuspicionChange,
        /// Whether it follows from what peers reported.
        is_by_peers: bool,
    },
    /// Send a peer messages on tenants' quotas.
    SendQuotas {
        /// The peer.
        to: NodeId,
        /// What.
        messages: Vec<QuotaMessage>,
    },
    /// A tenant has become limited at this node, or is free again; for the log alone.
    Quota(QuotaChange),
    /// Requests of a route have ended searchers lately, or do so no more; for the log alone.
    Alarm {
        /// The route's name.
        route: Arc<str>,
        /// Whether the alarm begins.
        is_raised: bool,
    },
    /// A request came while its route was on alarm, or its first probe has moved on; for the log alone.
    Probe {
        /// Which request.
        request: RequestKey,
        /// What happened.
        step: ProbeStep,
    },
    /// The final word on a request.
    Finish {
        /// Which.
        request: RequestKey,
        /// The word.
        verdict: Verdict,
    },
}

/// A step of a request that came while its route was on alarm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// One shard is sent first.
    Begun {
        /// Time since the newest loss that raised the alarm.
        alarm_age: Duration,
    },
    /// All shards are sent at once, since a searcher has answered the same content lately.
    Needless {
        /// Time since the newest loss that raised the alarm.
        alarm_age: Duration,
    },
    /// A shard has answered: the others are sent.
    Answered,
    /// Those that were sent have ended, or are silent for longer than usual work takes: one more is sent.
    Widened,
}

impl ProbeStep {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            ProbeStep::Begun { .. } => "begun",
            ProbeStep::Needless { .. } => "needless",
            ProbeStep::Answered => "answered",
            ProbeStep::Widened => "widened",
        }
    }

    /// Time since the newest loss that raised the alarm, where a request has just come.
    pub fn alarm_age(self) -> Option<Duration> {
        match self {
            ProbeStep::Begun { alarm_age } | ProbeStep::Needless { alarm_age } => Some(alarm_age),
            ProbeStep::Answered | ProbeStep::Widened => None,
        }
    }
}

/// Why an attempt's answer is no longer wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonCause {
    /// The request has its answer, or was given up.
    Superseded,
    /// The caller left.
    CallerGone,
    /// Every searcher that ran what is asked for has ended; a searcher that hasn't begun it yet shouldn't.
    Quarantined,
}

/// Why a shard has no part in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeftOutCause {
    /// The searcher that was asked hadn't answered when the request ended.
    Late,
    /// Nobody had room to be asked.
    NoRoom,
    /// The searcher that was asked failed, and no other could be asked.
    Failed,
    /// There was nobody to ask.
    Nobody,
}

impl LeftOutCause {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            LeftOutCause::Late => "late",
            LeftOutCause::NoRoom => "no_room",
            LeftOutCause::Failed => "failed",
            LeftOutCause::Nobody => "nobody",
        }
    }
}

/// What this node must learn before it can begin a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldCause {
    /// No configuration is known yet.
    NoConfiguration,
    /// A peer knows a newer configuration, which may have the route.
    OldConfiguration,
    /// Not all searchers are known yet, and too few of those that are can be asked.
    NoSearchers,
}

impl HoldCause {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            HoldCause::NoConfiguration => "no_configuration",
            HoldCause::OldConfiguration => "old_configuration",
            HoldCause::NoSearchers => "no_searchers",
        }
    }
}

/// Why an attempt isn't made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsentCause {
    /// The budget for extra sends is spent.
    OverBudget,
    /// Every searcher that could be asked holds as many attempts as it may; the shard waits.
    NoRoom,
    /// Every searcher that could be asked failed or rejected connections a moment ago; the shard waits.
    Avoided,
    /// No searcher is left that could be asked.
    NobodyLeft,
    /// Too much waits at all searchers of the service: asking a second one would only add to it.
    Pressed,
    /// Searchers were lost under what is asked for, and another is at work on it: the shard waits for its word.
    Suspect,
    /// The request may have run, and its route says that it may not run twice.
    NotRepeatable,
    /// As many searchers were sent the request as its route allows.
    MostAttempts,
    /// The configuration in force holds the request's key no more.
    KeyRevoked,
    /// What is asked for is sent to nobody any more.
    Quarantined,
    /// Another shard was asked first, since requests of its route have ended searchers lately: the shard waits for its word.
    Probing,
}

impl UnsentCause {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            UnsentCause::OverBudget => "over_budget",
            UnsentCause::NoRoom => "no_room",
            UnsentCause::Avoided => "avoided",
            UnsentCause::NobodyLeft => "nobody_left",
            UnsentCause::Pressed => "pressed",
            UnsentCause::Suspect => "suspect",
            UnsentCause::NotRepeatable => "not_repeatable",
            UnsentCause::MostAttempts => "most_attempts",
            UnsentCause::KeyRevoked => "key_withdrawn",
            UnsentCause::Quarantined => "quarantined",
            UnsentCause::Probing => "probing",
        }
    }
}

/// One sending.
#[derive(Clone, Debug)]
pub struct SendOrder {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The searcher.
    pub searcher: SearcherKey,
    /// Its incarnation.
    pub instance: Arc<str>,
    /// Whom the request is for, as it is sent to the searcher.
    pub identity: SentIdentity,
    /// Where it listens.
    pub address: SocketAddr,
    /// How far it is.
    pub distance: Distance,
    /// When the request must have its final answer; what is left is sent to the searcher.
    pub deadline: BootTime,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Longest wait for a connection.
    pub connect_patience: Duration,
    /// Why.
    pub reason: SendReason,
    /// What its searcher reported last, if it ever did.
    pub reported: Option<ReportedAt>,
}

/// A searcher's report of its load, and how old it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedAt {
    /// The report.
    pub load: ReportedLoad,
    /// Time since it came.
    pub age: Duration,
}
