//! The recording of the engine's events and decisions, and their replay.
//!
//! The engine's decisions depend only on its settings, its events with their times, and a seed. A recording of these is
//! enough to replay the decisions, with the same or another version of the code, and to find where they differ. Bodies
//! and header fields aren't recorded, because no decision depends on them.

use crate::RoutingDefinition;
use crate::configuration::table::RouteTable;
use crate::decision::cold::ColdBound;
use crate::decision::extra_budget::ExtraBound;
use crate::decision::quarantine::CaseRecord;
use crate::engine::{RoutingAction, RoutingEngine, RoutingEvent, RoutingSettings, SendReason};
use crate::keys::{AttemptKey, RequestKey, SearcherKey};
use crate::policy::RoutingPolicy;
use crate::state::mirror::SearcherEntry;
use crate::state::report::SearcherReport;
use crate::state::request::{Arrival, AttemptOutcome, NotRun, RequestOutcome, SearcherAnswer, Unknown};
use serde::{Deserialize, Serialize};
use staircross_http::HeaderBlock;
use staircross_quota::{QuotaBound, QuotaMessage};
use staircross_types::{BootTime, ErrorKind, NodeId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// One entry of a recording. The first entry of each run of the engine is [`Record::Begin`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// An engine was created with these settings.
    Begin(RecordedSettings),
    /// The engine handled an event.
    Turn(RecordedTurn),
}

/// The settings with which an engine was created.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedSettings {
    /// Name of the node.
    pub node: String,
    extra: ExtraBound,
    zone: Arc<str>,
    regions: BTreeMap<Arc<str>, Arc<str>>,
    lapse_grace: Duration,
    cold: ColdBound,
    max_requests: usize,
    restarted_at: Option<BootTime>,
    policy: RoutingPolicy,
    seed: u64,
    #[serde(default)]
    node_id: NodeId,
    #[serde(default)]
    quota: QuotaBound,
    #[serde(default)]
    started_at: BootTime,
}

/// One event and the decisions that the engine made on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedTurn {
    /// Time at which the engine handled the event.
    pub at: BootTime,
    /// The event.
    pub event: RecordedEvent,
    /// The engine's decisions.
    pub decisions: Vec<Decision>,
}

/// An event of the engine, or a change of one of its bounds, without bodies.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum RecordedEvent {
    ExtraBound(ExtraBound),
    ColdBound(ColdBound),
    Configuration(Arc<RoutingDefinition>),
    Searchers(Vec<SearcherEntry>),
    SearchersGone(Vec<Arc<str>>),
    SearchersLeft(Vec<Arc<str>>),
    Evacuated(Vec<Arc<str>>),
    Fleet {
        nodes_by_zone: BTreeMap<Arc<str>, usize>,
        serving: usize,
        rank: Option<usize>,
        #[serde(rename = "slack_part")]
        slack_share: f64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        nodes: Option<Vec<NodeId>>,
    },
    Arrived(Arrival),
    CallerGone(RequestKey),
    Connected {
        searcher: SearcherKey,
        took: Duration,
    },
    Begun {
        attempt: AttemptKey,
    },
    Ended {
        attempt: AttemptKey,
        outcome: RecordedOutcome,
    },
    PeerCases(Vec<CaseRecord>),
    Isolated {
        is_isolated: bool,
    },
    PeerQuota {
        from: NodeId,
        messages: Vec<QuotaMessage>,
    },
    QuotaBound(QuotaBound),
    StopsAt(BootTime),
    View {
        is_outdated: bool,
    },
    Tick,
}

/// The outcome of an attempt, without body and header fields.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum RecordedOutcome {
    Answered {
        status: u16,
        is_stamped: bool,
        report: SearcherReport,
    },
    NotRun(NotRun),
    Unknown(Unknown),
    #[serde(rename = "Withdrawn")]
    Cancelled,
}

/// A decision that searchers or callers can observe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// A request is sent to a searcher.
    Send {
        /// The attempt.
        attempt: AttemptKey,
        /// Id of the searcher.
        instance: Arc<str>,
        /// Why the attempt is sent.
        reason: SendReason,
    },
    /// The answer to an attempt is no longer wanted.
    Abandon {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// A request has its final result.
    Finish {
        /// The request.
        request: RequestKey,
        /// How the request ended.
        ending: Ending,
    },
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The parts of several shards were merged.
    Merged {
        /// Number of merged parts.
        parts: usize,
        /// Number of shards without a part in the answer.
        missing: usize,
    },
    /// One searcher's answer was passed on.
    Passed {
        /// HTTP status code of the answer.
        status: u16,
    },
    /// The request was refused or given up.
    Refused(ErrorKind),
}

impl RecordedSettings {
    /// Creates the record of the settings of a node's engine.
    pub fn new(node: &str, settings: &RoutingSettings) -> Self {
        RecordedSettings {
            node: node.to_owned(),
            extra: settings.extra,
            zone: settings.zone.clone(),
            regions: settings.regions.iter().map(|(zone, region)| (zone.clone(), region.clone())).collect(),
            lapse_grace: settings.lapse_grace,
            cold: settings.cold,
            max_requests: settings.max_requests,
            restarted_at: settings.restarted_at,
            policy: settings.policy,
            seed: settings.seed,
            node_id: settings.node,
            quota: settings.quota,
            started_at: settings.started_at,
        }
    }

    fn engine_settings(&self) -> RoutingSettings {
        RoutingSettings {
            extra: self.extra,
            zone: self.zone.clone(),
            regions: self.regions.iter().map(|(zone, region)| (zone.clone(), region.clone())).collect(),
            lapse_grace: self.lapse_grace,
            cold: self.cold,
            max_requests: self.max_requests,
            restarted_at: self.restarted_at,
            policy: self.policy,
            seed: self.seed,
            node: self.node_id,
            quota: self.quota,
            started_at: self.started_at,
        }
    }
}

impl From<&RoutingEvent> for RecordedEvent {
    fn from(event: &RoutingEvent) -> Self {
        match event {
            RoutingEvent::Configuration(table) => RecordedEvent::Configuration(table.definition().clone()),
            RoutingEvent::Searchers(entries) => RecordedEvent::Searchers(entries.clone()),
            RoutingEvent::SearchersGone(instances) => RecordedEvent::SearchersGone(instances.clone()),
            RoutingEvent::SearchersLeft(instances) => RecordedEvent::SearchersLeft(instances.clone()),
            RoutingEvent::Evacuated(zones) => RecordedEvent::Evacuated(zones.clone()),
            RoutingEvent::Fleet { nodes_by_zone, serving, rank, slack_share, nodes } => RecordedEvent::Fleet {
                nodes_by_zone: nodes_by_zone.iter().map(|(zone, count)| (zone.clone(), *count)).collect(),
                serving: *serving,
                rank: *rank,
                slack_share: *slack_share,
                nodes: nodes.clone(),
            },
            RoutingEvent::Arrived(arrival) => RecordedEvent::Arrived(arrival.clone()),
            RoutingEvent::CallerGone(request) => RecordedEvent::CallerGone(*request),
            RoutingEvent::StopsAt(stops_at) => RecordedEvent::StopsAt(*stops_at),
            RoutingEvent::View { is_outdated } => RecordedEvent::View { is_outdated: *is_outdated },
            RoutingEvent::Connected { searcher, took } => RecordedEvent::Connected { searcher: *searcher, took: *took },
            RoutingEvent::Begun { attempt } => RecordedEvent::Begun { attempt: *attempt },
            RoutingEvent::Ended { attempt, outcome } => {
                RecordedEvent::Ended { attempt: *attempt, outcome: outcome.into() }
            }
            RoutingEvent::PeerCases(records) => RecordedEvent::PeerCases(records.clone()),
            RoutingEvent::Isolated { is_isolated } => RecordedEvent::Isolated { is_isolated: *is_isolated },
            RoutingEvent::PeerQuota { from, messages } => {
                RecordedEvent::PeerQuota { from: *from, messages: messages.clone() }
            }
            RoutingEvent::Tick => RecordedEvent::Tick,
        }
    }
}

impl From<&AttemptOutcome> for RecordedOutcome {
    fn from(outcome: &AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Answered(answer) => {
                let (status, is_stamped) = (answer.status, answer.stamp.is_some());
                RecordedOutcome::Answered { status, is_stamped, report: answer.report }
            }
            AttemptOutcome::NotRun(reason) => RecordedOutcome::NotRun(*reason),
            AttemptOutcome::Unknown(reason) => RecordedOutcome::Unknown(*reason),
            AttemptOutcome::Cancelled => RecordedOutcome::Cancelled,
        }
    }
}

impl From<RecordedOutcome> for AttemptOutcome {
    fn from(outcome: RecordedOutcome) -> Self {
        match outcome {
            RecordedOutcome::Answered { status, is_stamped, report } => {
                AttemptOutcome::Answered(Box::new(SearcherAnswer {
                    status,
                    stamp: is_stamped.then(Vec::new),
                    headers: HeaderBlock::default(),
                    body: Vec::new(),
                    report,
                }))
            }
            RecordedOutcome::NotRun(reason) => AttemptOutcome::NotRun(reason),
            RecordedOutcome::Unknown(reason) => AttemptOutcome::Unknown(reason),
            RecordedOutcome::Cancelled => AttemptOutcome::Cancelled,
        }
    }
}

impl Decision {
    /// Returns the decision of an action; `None` if neither searchers nor callers can observe it.
    pub fn from_action(action: &RoutingAction) -> Option<Decision> {
        match action {
            RoutingAction::Send(order) => {
                Some(Decision::Send { attempt: order.attempt, instance: order.instance.clone(), reason: order.reason })
            }
            RoutingAction::Abandon { attempt, .. } => Some(Decision::Abandon { attempt: *attempt }),
            RoutingAction::Finish { request, outcome } => {
                Some(Decision::Finish { request: *request, ending: outcome.into() })
            }
            RoutingAction::Unsent { .. }
            | RoutingAction::Recall { .. }
            | RoutingAction::KeyRefused { .. }
            | RoutingAction::Held { .. }
            | RoutingAction::LeftOut { .. }
            | RoutingAction::NotAdmitted { .. }
            | RoutingAction::Admission { .. }
            | RoutingAction::Suspicion { .. }
            | RoutingAction::SendQuotas { .. }
            | RoutingAction::Alarm { .. }
            | RoutingAction::SearcherClosing { .. }
            | RoutingAction::Probe { .. }
            | RoutingAction::Quota(_) => None,
        }
    }

    /// Returns the request to which the decision belongs.
    pub fn request(&self) -> RequestKey {
        match self {
            Decision::Send { attempt, .. } | Decision::Abandon { attempt } => attempt.request,
            Decision::Finish { request, .. } => *request,
        }
    }
}

impl From<&RequestOutcome> for Ending {
    fn from(outcome: &RequestOutcome) -> Self {
        match outcome {
            RequestOutcome::Merged(merged) => Ending::Merged { parts: merged.stamps.len(), missing: merged.missing },
            RequestOutcome::Passed(answer) => Ending::Passed { status: answer.status },
            RequestOutcome::Refused { kind, .. } => Ending::Refused(*kind),
        }
    }
}

/// A request for which the replayed decisions differ from the recorded ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Time of the event on which the decisions differ.
    pub at: BootTime,
    /// The request.
    pub request: RequestKey,
    /// Decisions of the recording.
    pub recorded: Vec<Decision>,
    /// Decisions of the replay.
    pub replayed: Vec<Decision>,
}

/// Replays a recording and compares the decisions.
pub struct Replay {
    engine: RoutingEngine,
    differing_requests: BTreeSet<RequestKey>,
    /// Number of replayed events.
    pub turns: u64,
    /// Number of decisions in the replayed part of the recording.
    pub decisions: u64,
}

impl Replay {
    /// Creates a replay with an engine that has the recorded settings.
    pub fn new(settings: &RecordedSettings) -> Self {
        Replay {
            engine: RoutingEngine::new(settings.engine_settings()),
            differing_requests: BTreeSet::new(),
            turns: 0,
            decisions: 0,
        }
    }

    /// Replays one event and returns the requests for which the decisions differ. A request that has differed once is
    /// no longer compared, because the outcomes of its replayed attempts aren't in the recording.
    pub fn play(&mut self, turn: RecordedTurn) -> Vec<Difference> {
        self.turns += 1;
        self.decisions += turn.decisions.len() as u64;
        let mut actions = Vec::new();
        match turn.event.into_event() {
            ReplayedEvent::Extra(bound) => self.engine.set_extra_bound(bound),
            ReplayedEvent::Cold(bound) => self.engine.set_cold_bound(bound),
            ReplayedEvent::Quota(bound) => self.engine.set_quota_bound(turn.at, bound),
            ReplayedEvent::Event(event) => self.engine.on_event(turn.at, event, &mut actions),
        }
        let decisions: Vec<Decision> = actions.iter().filter_map(Decision::from_action).collect();
        let requests: BTreeSet<RequestKey> = turn.decisions.iter().chain(&decisions).map(Decision::request).collect();
        let decisions_of = |request: RequestKey, decisions: &[Decision]| -> Vec<Decision> {
            decisions.iter().filter(|decision| decision.request() == request).cloned().collect()
        };
        let mut differences = Vec::new();
        for request in requests {
            let (recorded, replayed) = (decisions_of(request, &turn.decisions), decisions_of(request, &decisions));
            if recorded != replayed && self.differing_requests.insert(request) {
                differences.push(Difference { at: turn.at, request, recorded, replayed });
            }
        }
        differences
    }
}

enum ReplayedEvent {
    Extra(ExtraBound),
    Cold(ColdBound),
    Quota(QuotaBound),
    Event(RoutingEvent),
}

impl RecordedEvent {
    fn into_event(self) -> ReplayedEvent {
        ReplayedEvent::Event(match self {
            RecordedEvent::ExtraBound(bound) => return ReplayedEvent::Extra(bound),
            RecordedEvent::ColdBound(bound) => return ReplayedEvent::Cold(bound),
            RecordedEvent::QuotaBound(bound) => return ReplayedEvent::Quota(bound),
            RecordedEvent::Configuration(definition) => {
                RoutingEvent::Configuration(Arc::new(RouteTable::new(definition)))
            }
            RecordedEvent::Searchers(entries) => RoutingEvent::Searchers(entries),
            RecordedEvent::SearchersGone(instances) => RoutingEvent::SearchersGone(instances),
            RecordedEvent::SearchersLeft(instances) => RoutingEvent::SearchersLeft(instances),
            RecordedEvent::Evacuated(zones) => RoutingEvent::Evacuated(zones),
            RecordedEvent::Fleet { nodes_by_zone, serving, rank, slack_share, nodes } => {
                let nodes_by_zone = nodes_by_zone.into_iter().collect();
                RoutingEvent::Fleet { nodes_by_zone, serving, rank, slack_share, nodes }
            }
            RecordedEvent::Arrived(arrival) => RoutingEvent::Arrived(arrival),
            RecordedEvent::CallerGone(request) => RoutingEvent::CallerGone(request),
            RecordedEvent::StopsAt(stops_at) => RoutingEvent::StopsAt(stops_at),
            RecordedEvent::View { is_outdated } => RoutingEvent::View { is_outdated },
            RecordedEvent::Connected { searcher, took } => RoutingEvent::Connected { searcher, took },
            RecordedEvent::Begun { attempt } => RoutingEvent::Begun { attempt },
            RecordedEvent::Ended { attempt, outcome } => RoutingEvent::Ended { attempt, outcome: outcome.into() },
            RecordedEvent::PeerCases(records) => RoutingEvent::PeerCases(records),
            RecordedEvent::Isolated { is_isolated } => RoutingEvent::Isolated { is_isolated },
            RecordedEvent::PeerQuota { from, messages } => RoutingEvent::PeerQuota { from, messages },
            RecordedEvent::Tick => RoutingEvent::Tick,
        })
    }
}
