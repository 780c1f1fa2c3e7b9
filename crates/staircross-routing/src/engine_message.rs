//! Inputs and outputs of the routing engine: the events that it handles and the actions that it asks for.

use crate::configuration::table::RouteTable;
use crate::configuration::tenants::{KeyRefusal, SentIdentity};
use crate::decision::admission::AdmissionChange;
use crate::decision::placement::Distance;
use crate::decision::quarantine::{CaseRecord, SuspicionChange};
use crate::keys::{AttemptKey, RequestKey, SearcherKey};
use crate::state::mirror::SearcherEntry;
use crate::state::report::ReportedLoad;
pub use crate::state::request::SendReason;
use crate::state::request::{Arrival, AttemptOutcome, RequestOutcome};
use hashbrown::HashMap;
use staircross_quota::{QuotaChange, QuotaMessage};
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An event that the engine handles.
#[derive(Clone, Debug)]
pub enum RoutingEvent {
    /// A newer configuration is in force.
    Configuration(Arc<RouteTable>),
    /// Searcher entries are new or have changed.
    Searchers(Vec<SearcherEntry>),
    /// The entries of these searchers, named by their ids, have gone from the store, and may have lapsed.
    SearchersGone(Vec<Arc<str>>),
    /// The entries of these searchers, named by their ids, have gone from the store, which answered all the time: the
    /// searchers are leaving.
    SearchersLeft(Vec<Arc<str>>),
    /// The set of evacuated zones has changed. It lists all zones whose searchers are to get no new work.
    Evacuated(Vec<Arc<str>>),
    /// The live nodes have changed.
    Fleet {
        /// Number of nodes that serve callers, by zone, this node included.
        nodes_by_zone: HashMap<Arc<str>, usize>,
        /// Largest number of nodes that served at the same time lately.
        serving: usize,
        /// Rank of this node among the nodes that serve, from 0; `None` for a reserve.
        rank: Option<usize>,
        /// Fraction of the slack for extra sends that this node may spend, 0 to 1.
        slack_share: f64,
        /// Live nodes that take callers' requests, including reserves; `None` when they are the same as in the last
        /// event.
        nodes: Option<Vec<NodeId>>,
    },
    /// A request has arrived.
    Arrived(Arrival),
    /// The caller of a request has disconnected.
    CallerGone(RequestKey),
    /// A connection to a searcher was established.
    Connected {
        /// The searcher.
        searcher: SearcherKey,
        /// Time that connecting took.
        took: Duration,
    },
    /// An attempt that had to wait for a connection has got one.
    Begun {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// An attempt has ended and no longer holds a connection.
    Ended {
        /// The attempt.
        attempt: AttemptKey,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// Peers report contents (digests of what requests ask for) and the searchers that were lost while running them.
    PeerCases(Vec<CaseRecord>),
    /// This node has received nothing from any peer for some time, or has received something again.
    Isolated {
        /// Whether nothing is received from any peer.
        is_isolated: bool,
    },
    /// A peer reports how much of tenants' quotas it has admitted, or how much this node may admit.
    PeerQuota {
        /// The peer.
        from: NodeId,
        /// The peer's messages.
        messages: Vec<QuotaMessage>,
    },
    /// This node stops: no request is in flight after this time.
    StopsAt(BootTime),
    /// What this node knows of the store has become too old to handle requests by it, or is current again.
    View {
        /// Whether it is too old.
        is_outdated: bool,
    },
    /// Time has passed. The engine handles the wakes that are due and its periodic work.
    Tick,
}

/// An action that the engine asks its owner to carry out.
#[derive(Clone, Debug)]
pub enum RoutingAction {
    /// Send the request to a searcher.
    Send(SendOrder),
    /// The attempt's answer is no longer wanted. Read and discard it, or close the connection if it isn't complete
    /// within `answer_timeout`.
    Abandon {
        /// The attempt.
        attempt: AttemptKey,
        /// Time after which the connection is closed.
        answer_timeout: Duration,
        /// Why the answer is no longer wanted.
        cause: AbandonCause,
    },
    /// Cancel an attempt if nothing of it has been sent; otherwise let it go on.
    Recall {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// An attempt was due but isn't sent; only for the log.
    Unsent {
        /// The request.
        request: RequestKey,
        /// The service of the shard.
        service: Arc<str>,
        /// Why the attempt was due.
        reason: SendReason,
        /// Why the attempt isn't sent.
        cause: UnsentCause,
    },
    /// A request ends without an answer from a shard; only for the log.
    LeftOut {
        /// The request.
        request: RequestKey,
        /// The service of the shard.
        service: Arc<str>,
        /// Ids of the searchers that were asked, in order.
        asked: Vec<Arc<str>>,
        /// Why there is no answer.
        cause: LeftOutCause,
    },
    /// A request is held until this node knows the configuration or the searchers that it needs; only for the log.
    Held {
        /// The request.
        request: RequestKey,
        /// What this node lacks.
        cause: HoldCause,
    },
    /// A request's key was refused; only for the log, to which the key itself is never written.
    KeyRefused {
        /// The request.
        request: RequestKey,
        /// Why the key was refused.
        cause: KeyRefusal,
    },
    /// A request is refused because requests wait too long at its services; only for the log.
    NotAdmitted {
        /// The request.
        request: RequestKey,
        /// First service of the group, which names it.
        group: Arc<str>,
        /// Fraction of the tenant's requests at this rank that is admitted now, 0 to 1.
        fraction: f64,
    },
    /// The admission level of a service group has changed; only for the log.
    Admission {
        /// First service of the group, which names it.
        group: Arc<str>,
        /// The new level, and the wait that led to it.
        change: AdmissionChange,
    },
    /// The suspicion that a content crashes searchers has changed; for the log and for peers.
    Suspicion {
        /// The change.
        change: SuspicionChange,
        /// Whether the change follows from peers' reports.
        is_from_peers: bool,
    },
    /// Send messages on tenants' quotas to a peer.
    SendQuotas {
        /// The peer.
        to: NodeId,
        /// The messages.
        messages: Vec<QuotaMessage>,
    },
    /// A tenant has become limited by its quota at this node, or is free again; only for the log.
    Quota(QuotaChange),
    /// The alarm of a route is raised, since its requests have crashed searchers lately, or is over; only for the
    /// log.
    Alarm {
        /// Name of the route.
        route: Arc<str>,
        /// Whether the alarm is raised rather than over.
        is_raised: bool,
    },
    /// The answers of a searcher that counts as serving say that it is leaving; only for the log and for metrics.
    SearcherClosing {
        /// Id of the searcher.
        instance: Arc<str>,
        /// Service of the searcher.
        service: Arc<str>,
    },
    /// A request has arrived while the alarm of its route is raised, or its first probe has advanced; only for the
    /// log.
    Probe {
        /// The request.
        request: RequestKey,
        /// The step.
        step: ProbeStep,
    },
    /// A request has its final result.
    Finish {
        /// The request.
        request: RequestKey,
        /// The result.
        outcome: RequestOutcome,
    },
}

/// A step of a request that arrived while the alarm of its route was raised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// One shard is sent first, as a probe.
    Begun {
        /// Time since the newest loss that raised the alarm.
        alarm_age: Duration,
    },
    /// All shards are sent at once, since a searcher has answered the same content recently.
    Needless {
        /// Time since the newest loss that raised the alarm.
        alarm_age: Duration,
    },
    /// A shard has answered, so the others are sent.
    Answered,
    /// One more shard is sent, since all attempts have ended or have been unanswered for longer than work usually
    /// takes.
    Widened,
}

impl ProbeStep {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            ProbeStep::Begun { .. } => "begun",
            ProbeStep::Needless { .. } => "needless",
            ProbeStep::Answered => "answered",
            ProbeStep::Widened => "widened",
        }
    }

    /// Returns the time since the newest loss that raised the alarm; `None` for steps after a request's arrival.
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
    /// The request or the shard has its answer, or the request was given up.
    Superseded,
    /// The caller has disconnected.
    CallerGone,
    /// The content was quarantined: every searcher that ran it was lost, so that searchers which haven't begun it
    /// shouldn't.
    Quarantined,
}

/// Why a request ended without an answer from a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeftOutCause {
    /// An attempt was still open when the request ended.
    Late,
    /// The shard still waited for a searcher that could be asked.
    NoRoom,
    /// Every attempt failed, and no other searcher could be asked.
    Failed,
    /// No searcher could be asked, or none of those asked could be reached.
    NoSearcher,
}

impl LeftOutCause {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            LeftOutCause::Late => "late",
            LeftOutCause::NoRoom => "no_room",
            LeftOutCause::Failed => "failed",
            LeftOutCause::NoSearcher => "nobody",
        }
    }
}

/// What this node must learn before it can start a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldCause {
    /// No configuration is known yet.
    NoConfiguration,
    /// A peer has a newer configuration, which may hold the route or the key.
    OldConfiguration,
    /// The list of searchers isn't complete yet, and too few of the known searchers can be asked.
    NoSearchers,
    /// What this node knows of the store is too old, since its process stood still.
    OutdatedView,
}

impl HoldCause {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            HoldCause::NoConfiguration => "no_configuration",
            HoldCause::OldConfiguration => "old_configuration",
            HoldCause::NoSearchers => "no_searchers",
            HoldCause::OutdatedView => "outdated_view",
        }
    }
}

/// Why an attempt isn't sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsentCause {
    /// The budget for extra sends is spent.
    OverBudget,
    /// Every eligible searcher has as many attempts as it may have; the shard waits.
    NoRoom,
    /// Every eligible searcher is avoided for a while, after a failure or rejection or because it is cold; the shard
    /// waits.
    Avoided,
    /// No eligible searcher is left.
    NoSearcherLeft,
    /// Sub-requests wait too long at the searchers of the service, and a hedge would only add to their load.
    QueueTooLong,
    /// The content is suspected of crashing searchers, and one is at work on it; the shard waits for that attempt's
    /// end.
    Suspect,
    /// The request may have run, and its route isn't idempotent.
    NotRepeatable,
    /// The shard was sent to as many searchers as its route's `max_attempts` allows.
    MaxAttempts,
    /// The configuration in force no longer holds the request's key.
    KeyRevoked,
    /// The content is quarantined and sent to no searcher.
    Quarantined,
    /// The request is probed on another shard first, since requests of its route have crashed searchers lately; the
    /// shard waits for an answer.
    Probing,
    /// What this node knows of the store is too old, since its process stood still; the shard waits until it is current.
    OutdatedView,
}

impl UnsentCause {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            UnsentCause::OverBudget => "over_budget",
            UnsentCause::NoRoom => "no_room",
            UnsentCause::Avoided => "avoided",
            UnsentCause::NoSearcherLeft => "nobody_left",
            UnsentCause::QueueTooLong => "pressed",
            UnsentCause::Suspect => "suspect",
            UnsentCause::NotRepeatable => "not_repeatable",
            UnsentCause::MaxAttempts => "most_attempts",
            UnsentCause::KeyRevoked => "key_withdrawn",
            UnsentCause::Quarantined => "quarantined",
            UnsentCause::Probing => "probing",
            UnsentCause::OutdatedView => "outdated_view",
        }
    }
}

/// An order to send one attempt to a searcher.
#[derive(Clone, Debug)]
pub struct SendOrder {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The searcher.
    pub searcher: SearcherKey,
    /// Id of the searcher.
    pub instance: Arc<str>,
    /// Service of the searcher.
    pub service: Arc<str>,
    /// Identity of the caller, as it is sent to the searcher.
    pub identity: SentIdentity,
    /// Address of the searcher.
    pub address: SocketAddr,
    /// Distance to the searcher's zone.
    pub distance: Distance,
    /// Deadline of the request; the time left is sent to the searcher.
    pub deadline: BootTime,
    /// Whether the route is idempotent, so that the request may run more than once.
    pub is_idempotent: bool,
    /// Maximum wait for a connection.
    pub connect_timeout: Duration,
    /// Why the attempt is sent.
    pub reason: SendReason,
    /// Last load report of the searcher, if there was one.
    pub reported: Option<LastLoadReport>,
}

/// A searcher's last report of its load, and the age of the report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LastLoadReport {
    /// The report.
    pub load: ReportedLoad,
    /// Time since the report was received.
    pub age: Duration,
}
