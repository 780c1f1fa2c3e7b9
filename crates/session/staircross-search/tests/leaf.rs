//! Decisions of the leaf: when it sends work to a searcher, and what it keeps about leaving searchers.

use staircross_search::view::ProbeReport;
use staircross_search::{
    LeafAction, LeafEngine, LeafEvent, LeafSettings, NotRunReason, SearcherView, SubOutcome, SubReply, SubRequest,
    UnknownReason, Work,
};
use staircross_types::{
    AttemptId, BootTime, NodeId, RequestId, SearchQuery, SearcherId, SearcherIncarnation, ShardId, Snapshot,
};
use std::collections::BTreeMap;
use std::time::Duration;

const SEARCHER: SearcherId = SearcherId(7);
const ROOT: NodeId = NodeId(1);
const SNAPSHOT: Snapshot = Snapshot { version: 1, epoch: 1, build: 1 };
const FIRST_RUN: SearcherIncarnation = SearcherIncarnation(1);
const SECOND_RUN: SearcherIncarnation = SearcherIncarnation(2);

/// A leaf with a clock, and all actions that it has asked for so far.
struct LeafFixture {
    leaf: LeafEngine,
    now: BootTime,
    actions: Vec<LeafAction>,
}

impl LeafFixture {
    /// Creates a leaf that has owned two slots of the searcher for long enough to take work.
    fn new() -> Self {
        let mut fixture = LeafFixture::newcomer();
        fixture.advance(LeafSettings::default().settling_time.as_millis() as u64);
        fixture
    }

    /// Creates a leaf that has just come to own two slots of the searcher.
    fn newcomer() -> Self {
        let leaf = LeafEngine::new(LeafSettings::default());
        let mut fixture = LeafFixture { leaf, now: BootTime::from_millis(1000), actions: Vec::new() };
        fixture.send_event(LeafEvent::Owned(BTreeMap::from([(SEARCHER, 2)])));
        fixture
    }

    fn send_event(&mut self, event: LeafEvent) {
        self.leaf.on_event(self.now, event, &mut self.actions);
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    fn report_serving(&mut self, run: SearcherIncarnation) {
        let report = Some(ProbeReport { incarnation: run, snapshots: vec![SNAPSHOT], draining: false });
        self.send_event(LeafEvent::Probed { searcher: SEARCHER, asked_at: self.now, report });
    }

    fn send_request(&mut self, attempt: u32) {
        self.send_event(LeafEvent::Request { from: ROOT, request: request(attempt) });
    }

    fn refuse_attempt(&mut self, attempt: u32, reason: NotRunReason, run: SearcherIncarnation) {
        let reply = reply(attempt, SubOutcome::NotRun(reason));
        self.send_event(LeafEvent::Reply { reply, incarnation: Some(run) });
    }

    fn sent_count(&self) -> usize {
        self.actions.iter().filter(|action| matches!(action, LeafAction::Send { .. })).count()
    }

    fn last_refusal(&self) -> Option<NotRunReason> {
        self.actions.iter().rev().find_map(|action| match action {
            LeafAction::Reply { reply: SubReply { outcome: SubOutcome::NotRun(reason), .. }, .. } => Some(*reason),
            _ => None,
        })
    }
}

fn attempt_id(attempt: u32) -> AttemptId {
    AttemptId { request: RequestId { node: ROOT, sequence: 1 }, attempt }
}

fn request(attempt: u32) -> SubRequest {
    SubRequest {
        attempt: attempt_id(attempt),
        searcher: SEARCHER,
        snapshot: SNAPSHOT,
        shards: vec![ShardId(0)],
        work: Work::Search(SearchQuery { terms: Vec::new(), limit: 1, after: None }),
        remaining: Duration::from_millis(300),
    }
}

fn reply(attempt: u32, outcome: SubOutcome) -> SubReply {
    SubReply {
        attempt: attempt_id(attempt),
        searcher: SEARCHER,
        snapshot: SNAPSHOT,
        outcome,
        worked: Default::default(),
    }
}

fn peer_view(run: SearcherIncarnation, leaving: bool) -> SearcherView {
    let report = Some(ProbeReport { incarnation: run, snapshots: vec![SNAPSHOT], draining: leaving });
    SearcherView { searcher: SEARCHER, report, leaving }
}

#[test]
fn sends_only_with_fresh_evidence() {
    let mut fixture = LeafFixture::new();
    fixture.send_request(1);
    assert_eq!(fixture.sent_count(), 0, "the searcher has not answered a probe");
    fixture.report_serving(FIRST_RUN);
    assert_eq!(fixture.sent_count(), 1);
    fixture.advance(2001);
    fixture.send_request(2);
    assert_eq!(fixture.sent_count(), 1, "the last probe reply is older than the bound, as after a pause");
    fixture.report_serving(FIRST_RUN);
    assert_eq!(fixture.sent_count(), 2);
}

#[test]
fn evidence_counts_from_when_it_was_asked_for() {
    let mut fixture = LeafFixture::new();
    let asked_at = fixture.now;
    fixture.advance(2500);
    let report = Some(ProbeReport { incarnation: FIRST_RUN, snapshots: vec![SNAPSHOT], draining: false });
    fixture.send_event(LeafEvent::Probed { searcher: SEARCHER, asked_at, report });
    fixture.send_request(1);
    assert_eq!(fixture.sent_count(), 0);
}

#[test]
fn share_bounds_what_is_in_flight_and_the_queue_sheds() {
    let mut fixture = LeafFixture::new();
    fixture.report_serving(FIRST_RUN);
    for attempt in 1..=10 {
        fixture.send_request(attempt);
    }
    assert_eq!(fixture.sent_count(), 2);
    fixture.send_request(11);
    assert_eq!(fixture.last_refusal(), Some(NotRunReason::Shed));
    fixture
        .send_event(LeafEvent::Reply { reply: reply(1, SubOutcome::Found(Vec::new())), incarnation: Some(FIRST_RUN) });
    assert_eq!(fixture.sent_count(), 3);
}

#[test]
fn queued_work_whose_time_has_passed_is_never_sent() {
    let mut fixture = LeafFixture::new();
    fixture.send_request(1);
    fixture.advance(301);
    fixture.report_serving(FIRST_RUN);
    assert_eq!(fixture.sent_count(), 0);
    assert_eq!(fixture.last_refusal(), Some(NotRunReason::Shed));
}

#[test]
fn leaving_is_sticky_for_a_run_and_ends_with_it() {
    let mut fixture = LeafFixture::new();
    let draining = Some(ProbeReport { incarnation: FIRST_RUN, snapshots: vec![SNAPSHOT], draining: true });
    fixture.send_event(LeafEvent::Probed { searcher: SEARCHER, asked_at: fixture.now, report: draining });
    fixture.report_serving(FIRST_RUN);
    fixture.send_request(1);
    assert_eq!(fixture.last_refusal(), Some(NotRunReason::Draining));
    fixture.report_serving(SECOND_RUN);
    fixture.send_request(2);
    assert_eq!(fixture.sent_count(), 1);
}

/// Guards against recording a refusal for the run that was probed last instead of the run that refused. The leaf then
/// sent work to the leaving run once it had probed it.
#[test]
fn refusal_by_a_run_not_probed_yet_is_remembered_for_that_run() {
    let mut fixture = LeafFixture::new();
    fixture.report_serving(FIRST_RUN);
    fixture.send_request(1);
    fixture.refuse_attempt(1, NotRunReason::Draining, SECOND_RUN);
    fixture.report_serving(SECOND_RUN);
    fixture.send_request(2);
    assert_eq!(fixture.sent_count(), 1);
    assert_eq!(fixture.last_refusal(), Some(NotRunReason::Draining));
}

/// Guards against dropping a peer's report about a searcher that the leaf doesn't own or hasn't probed. A later owner
/// then sent work to a run that its peers knew to be leaving.
#[test]
fn peers_word_of_leaving_counts_before_the_searcher_is_owned_or_met() {
    let mut fixture = LeafFixture::new();
    fixture.send_event(LeafEvent::Owned(BTreeMap::new()));
    fixture.send_event(LeafEvent::PeerView(peer_view(SECOND_RUN, true)));
    fixture.send_event(LeafEvent::Owned(BTreeMap::from([(SEARCHER, 2)])));
    fixture.report_serving(SECOND_RUN);
    fixture.send_request(1);
    assert_eq!(fixture.sent_count(), 0);
}

/// Guards against the view of a node that has just started replacing, at its peers, what they know of a leaving run.
#[test]
fn outdated_view_of_a_peer_is_contradicted() {
    let mut fixture = LeafFixture::new();
    fixture.send_event(LeafEvent::PeerView(peer_view(FIRST_RUN, true)));
    fixture.actions.clear();
    fixture.send_event(LeafEvent::PeerView(peer_view(FIRST_RUN, false)));
    let contradicts = |action: &LeafAction| matches!(action, LeafAction::PublishView(view) if view.leaving);
    assert!(fixture.actions.iter().any(contradicts));
}

/// Guards against a node that has just started sending work to a searcher before its peers have reported which ones are
/// leaving.
#[test]
fn newcomer_takes_no_work_until_it_has_listened() {
    let mut fixture = LeafFixture::newcomer();
    fixture.report_serving(FIRST_RUN);
    fixture.send_request(1);
    assert_eq!(fixture.last_refusal(), Some(NotRunReason::NotOwner));
    fixture.advance(1000);
    fixture.report_serving(FIRST_RUN);
    fixture.send_request(2);
    assert_eq!(fixture.sent_count(), 1);
}

/// Guards against dropping a call before it has ended: a planned stop finished two seconds after the deadline of a call
/// that was still in flight.
#[test]
fn call_is_in_flight_until_it_ends() {
    let mut fixture = LeafFixture::new();
    fixture.report_serving(FIRST_RUN);
    fixture.send_request(1);
    fixture.advance(5000);
    fixture.send_event(LeafEvent::Tick);
    assert_eq!(fixture.leaf.in_flight(), 1);
    fixture
        .send_event(LeafEvent::Reply { reply: reply(1, SubOutcome::Unknown(UnknownReason::Late)), incarnation: None });
    assert_eq!(fixture.leaf.in_flight(), 0);
}

#[test]
fn listed_as_leaving_by_platform_or_operator_takes_no_work_even_if_the_list_flickers() {
    let mut fixture = LeafFixture::new();
    fixture.report_serving(FIRST_RUN);
    fixture.send_event(LeafEvent::ListedAsLeaving([SEARCHER].into()));
    fixture.send_event(LeafEvent::ListedAsLeaving([].into()));
    fixture.report_serving(FIRST_RUN);
    fixture.send_request(1);
    assert_eq!(fixture.last_refusal(), Some(NotRunReason::Draining));
}

#[test]
fn restarted_searcher_is_ramped_up() {
    let mut fixture = LeafFixture::new();
    fixture.report_serving(FIRST_RUN);
    fixture.report_serving(SECOND_RUN);
    fixture.send_request(1);
    fixture.send_request(2);
    assert_eq!(fixture.sent_count(), 1, "one slot at first");
    fixture.advance(3000);
    fixture.report_serving(SECOND_RUN);
    fixture.send_request(3);
    assert_eq!(fixture.sent_count(), 2, "the whole share later");
}

#[test]
fn stopping_leaf_refuses_new_work_and_finishes_old() {
    let mut fixture = LeafFixture::new();
    fixture.report_serving(FIRST_RUN);
    fixture.send_request(1);
    fixture.send_event(LeafEvent::Stop);
    fixture.send_request(2);
    assert_eq!(fixture.last_refusal(), Some(NotRunReason::LeafLeaving));
    assert_eq!(fixture.leaf.in_flight(), 1);
}

/// Guards against new work for a searcher that was drained while the process of its owner stood still: the leaf sent it
/// as soon as the searcher had answered a probe.
#[test]
fn a_leaf_sends_nothing_while_what_the_node_knows_of_the_platform_is_outdated() {
    let mut fixture = LeafFixture::new();
    fixture.report_serving(FIRST_RUN);
    fixture.send_event(LeafEvent::View { is_outdated: true });
    fixture.send_request(1);
    fixture.report_serving(FIRST_RUN);
    fixture.send_event(LeafEvent::Tick);
    assert_eq!(fixture.sent_count(), 0);
    fixture.send_event(LeafEvent::View { is_outdated: false });
    assert_eq!(fixture.sent_count(), 1);
}

/// Guards against the same where the searcher turns out to be drained: its queue is refused.
#[test]
fn a_leaf_refuses_what_it_queued_for_a_searcher_that_turns_out_to_be_drained() {
    let mut fixture = LeafFixture::new();
    fixture.report_serving(FIRST_RUN);
    fixture.send_event(LeafEvent::View { is_outdated: true });
    fixture.send_request(1);
    fixture.send_event(LeafEvent::ListedAsLeaving([SEARCHER].into()));
    fixture.send_event(LeafEvent::View { is_outdated: false });
    assert_eq!(fixture.sent_count(), 0);
    assert_eq!(fixture.last_refusal(), Some(NotRunReason::Draining));
}
