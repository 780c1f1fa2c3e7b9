//! Recorded decisions, and making them again.
//!
//! The engine takes its decisions from its events, their times, and a seed. A record of these is
//! enough to take them again, with the same code or another version of it, and to see where it decides otherwise.
//! Bodies and fields aren't recorded; no decision depends on them.

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
use crate::state::request::{Arrival, AttemptOutcome, NotRun, SearcherAnswer, Unknown, Verdict};
use serde::{Deserialize, Serialize};
use staircross_http::HeaderBlock;
use staircross_quota::{QuotaBound, QuotaMessage};
use staircross_types::{BootTime, ErrorKind, NodeId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// One entry of a recording. The first of a run is its beginning.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// An engine was made.
    Begin(RecordedSettings),
    /// It took something in.
    Turn(RecordedTurn),
}

/// What an engine was made with.
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

/// One event and what the engine wanted done.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedTurn {
    /// When.
    pub at: BootTime,
    /// What it took in.
    pub event: RecordedEvent,
    /// What it decided.
    pub decisions: Vec<Decision>,
}

/// What an engine takes in, without bodies.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum RecordedEvent {
    ExtraBound(ExtraBound),
    ColdBound(ColdBound),
    Configuration(Arc<RoutingDefinition>),
    Searchers(Vec<SearcherEntry>),
    SearchersGone(Vec<Arc<str>>),
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
    Tick,
}

/// How an attempt ended, without bodies.
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

/// A decision that others notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// A searcher is sent a request.
    Send {
        /// The sending.
        attempt: AttemptKey,
        /// The incarnation of the searcher.
        instance: Arc<str>,
        /// Why.
        reason: SendReason,
    },
    /// An answer is no longer wanted.
    Abandon {
        /// Of which sending.
        attempt: AttemptKey,
    },
    /// A request has its final word.
    Finish {
        /// Which request.
        request: RequestKey,
        /// The word.
        ending: Ending,
    },
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// Parts were merged.
    Merged {
        /// Parts that are in.
        parts: usize,
        /// Shards that are left out.
        missing: usize,
    },
    /// A searcher's answer was passed on.
    Passed {
        /// Its status.
        status: u16,
    },
    /// Refused or given up.
    Refused(ErrorKind),
}

impl RecordedSettings {
    /// What an engine of a node is made with.
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

    fn settings(&self) -> RoutingSettings {
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
    /// The decision in an action; `None` where others notice nothing.
    pub fn in_action(action: &RoutingAction) -> Option<Decision> {
        match action {
            RoutingAction::Send(order) => {
                Some(Decision::Send { attempt: order.attempt, instance: order.instance.clone(), reason: order.reason })
            }
            RoutingAction::Abandon { attempt, .. } => Some(Decision::Abandon { attempt: *attempt }),
            RoutingAction::Finish { request, verdict } => {
                Some(Decision::Finish { request: *request, ending: verdict.into() })
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
            | RoutingAction::Probe { .. }
            | RoutingAction::Quota(_) => None,
        }
    }

    /// The request that it concerns.
    pub fn request(&self) -> RequestKey {
        match self {
            Decision::Send { attempt, .. } | Decision::Abandon { attempt } => attempt.request,
            Decision::Finish { request, .. } => *request,
        }
    }
}

impl From<&Verdict> for Ending {
    fn from(verdict: &Verdict) -> Self {
        match verdict {
            Verdict::Merged(merged) => Ending::Merged { parts: merged.stamps.len(), missing: merged.missing },
            Verdict::Passed(answer) => Ending::Passed { status: answer.status },
            Verdict::Refused { kind, .. } => Ending::Refused(*kind),
        }
    }
}

/// A request on which a replay decided otherwise than the record says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// When.
    pub at: BootTime,
    /// The request.
    pub request: RequestKey,
    /// What was decided then.
    pub recorded: Vec<Decision>,
    /// What is decided now.
    pub replayed: Vec<Decision>,
}

/// Takes recorded decisions again.
pub struct Replay {
    engine: RoutingEngine,
    differing: BTreeSet<RequestKey>,
    /// Turns played.
    pub turns: u64,
    /// Decisions recorded.
    pub decisions: u64,
}

impl Replay {
    /// An engine as the recorded one was.
    pub fn new(settings: &RecordedSettings) -> Self {
        Replay { engine: RoutingEngine::new(settings.settings()), differing: BTreeSet::new(), turns: 0, decisions: 0 }
    }

    /// Plays one turn. A request on which the replay has differed once is not followed any further: what came
    /// of its sendings is not known.
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
        let replayed: Vec<Decision> = actions.iter().filter_map(Decision::in_action).collect();
        let requests: BTreeSet<RequestKey> = turn.decisions.iter().chain(&replayed).map(Decision::request).collect();
        let of = |request: RequestKey, decisions: &[Decision]| -> Vec<Decision> {
            decisions.iter().filter(|decision| decision.request() == request).cloned().collect()
        };
        let mut differences = Vec::new();
        for request in requests {
            let (then, now) = (of(request, &turn.decisions), of(request, &replayed));
            if then != now && self.differing.insert(request) {
                differences.push(Difference { at: turn.at, request, recorded: then, replayed: now });
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
            RecordedEvent::Evacuated(zones) => RoutingEvent::Evacuated(zones),
            RecordedEvent::Fleet { nodes_by_zone, serving, rank, slack_share, nodes } => {
                let nodes_by_zone = nodes_by_zone.into_iter().collect();
                RoutingEvent::Fleet { nodes_by_zone, serving, rank, slack_share, nodes }
            }
            RecordedEvent::Arrived(arrival) => RoutingEvent::Arrived(arrival),
            RecordedEvent::CallerGone(request) => RoutingEvent::CallerGone(request),
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
