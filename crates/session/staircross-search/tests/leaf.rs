//! Decisions of the leaf: when it sends work to a searcher, and what it keeps about leaving searchers.

use staircross_search::view::Evidence;
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
struct Bench {
    leaf: LeafEngine,
    now: BootTime,
    actions: Vec<LeafAction>,
}

impl Bench {
    /// Creates a leaf that has owned two slots of the searcher for long enough to take work.
    fn new() -> Self {
        let mut bench = Bench::newcomer();
        bench.wait(LeafSettings::default().newcomer_wait.as_millis() as u64);
        bench
    }

    /// Creates a leaf that has just come to own two slots of the searcher.
    fn newcomer() -> Self {
        let leaf = LeafEngine::new(LeafSettings::default());
        let mut bench = Bench { leaf, now: BootTime::from_millis(1000), actions: Vec::new() };
        bench.tell(LeafEvent::Owned(BTreeMap::from([(SEARCHER, 2)])));
        bench
    }

    fn tell(&mut self, event: LeafEvent) {
        self.leaf.on_event(self.now, event, &mut self.actions);
    }

    fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    fn serving(&mut self, run: SearcherIncarnation) {
        let evidence = Some(Evidence { incarnation: run, snapshots: vec![SNAPSHOT], draining: false });
        self.tell(LeafEvent::Probed { searcher: SEARCHER, asked_at: self.now, evidence });
    }

    fn ask(&mut self, attempt: u32) {
        self.tell(LeafEvent::Request { from: ROOT, request: request(attempt) });
    }

    fn refused(&mut self, attempt: u32, reason: NotRunReason, run: SearcherIncarnation) {
        let reply = reply(attempt, SubOutcome::NotRun(reason));
        self.tell(LeafEvent::Reply { reply, run: Some(run) });
    }

    fn sent(&self) -> usize {
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
    let evidence = Some(Evidence { incarnation: run, snapshots: vec![SNAPSHOT], draining: leaving });
    SearcherView { searcher: SEARCHER, evidence, leaving }
}

#[test]
fn sends_only_with_fresh_evidence() {
    let mut bench = Bench::new();
    bench.ask(1);
    assert_eq!(bench.sent(), 0, "the searcher has not answered a probe");
    bench.serving(FIRST_RUN);
    assert_eq!(bench.sent(), 1);
    bench.wait(2001);
    bench.ask(2);
    assert_eq!(bench.sent(), 1, "the last probe reply is older than the bound, as after a pause");
    bench.serving(FIRST_RUN);
    assert_eq!(bench.sent(), 2);
}

#[test]
fn evidence_counts_from_when_it_was_asked_for() {
    let mut bench = Bench::new();
    let asked_at = bench.now;
    bench.wait(2500);
    let evidence = Some(Evidence { incarnation: FIRST_RUN, snapshots: vec![SNAPSHOT], draining: false });
    bench.tell(LeafEvent::Probed { searcher: SEARCHER, asked_at, evidence });
    bench.ask(1);
    assert_eq!(bench.sent(), 0);
}

#[test]
fn share_bounds_what_is_in_flight_and_the_queue_sheds() {
    let mut bench = Bench::new();
    bench.serving(FIRST_RUN);
    for attempt in 1..=10 {
        bench.ask(attempt);
    }
    assert_eq!(bench.sent(), 2);
    bench.ask(11);
    assert_eq!(bench.last_refusal(), Some(NotRunReason::Shed));
    bench.tell(LeafEvent::Reply { reply: reply(1, SubOutcome::Found(Vec::new())), run: Some(FIRST_RUN) });
    assert_eq!(bench.sent(), 3);
}

#[test]
fn queued_work_whose_time_has_passed_is_never_sent() {
    let mut bench = Bench::new();
    bench.ask(1);
    bench.wait(301);
    bench.serving(FIRST_RUN);
    assert_eq!(bench.sent(), 0);
    assert_eq!(bench.last_refusal(), Some(NotRunReason::Shed));
}

#[test]
fn leaving_is_sticky_for_a_run_and_ends_with_it() {
    let mut bench = Bench::new();
    let draining = Some(Evidence { incarnation: FIRST_RUN, snapshots: vec![SNAPSHOT], draining: true });
    bench.tell(LeafEvent::Probed { searcher: SEARCHER, asked_at: bench.now, evidence: draining });
    bench.serving(FIRST_RUN);
    bench.ask(1);
    assert_eq!(bench.last_refusal(), Some(NotRunReason::Draining));
    bench.serving(SECOND_RUN);
    bench.ask(2);
    assert_eq!(bench.sent(), 1);
}

/// Guards against recording a refusal for the run that was probed last instead of the run that refused. The leaf then
/// sent work to the leaving run once it had probed it.
#[test]
fn refusal_by_a_run_not_probed_yet_is_remembered_for_that_run() {
    let mut bench = Bench::new();
    bench.serving(FIRST_RUN);
    bench.ask(1);
    bench.refused(1, NotRunReason::Draining, SECOND_RUN);
    bench.serving(SECOND_RUN);
    bench.ask(2);
    assert_eq!(bench.sent(), 1);
    assert_eq!(bench.last_refusal(), Some(NotRunReason::Draining));
}

/// Guards against dropping a peer's report about a searcher that the leaf doesn't own or hasn't probed. A later owner
/// then sent work to a run that its peers knew to be leaving.
#[test]
fn peers_word_of_leaving_counts_before_the_searcher_is_owned_or_met() {
    let mut bench = Bench::new();
    bench.tell(LeafEvent::Owned(BTreeMap::new()));
    bench.tell(LeafEvent::PeerView(peer_view(SECOND_RUN, true)));
    bench.tell(LeafEvent::Owned(BTreeMap::from([(SEARCHER, 2)])));
    bench.serving(SECOND_RUN);
    bench.ask(1);
    assert_eq!(bench.sent(), 0);
}

/// Guards against the view of a node that has just started replacing, at its peers, what they know of a leaving run.
#[test]
fn outdated_view_of_a_peer_is_contradicted() {
    let mut bench = Bench::new();
    bench.tell(LeafEvent::PeerView(peer_view(FIRST_RUN, true)));
    bench.actions.clear();
    bench.tell(LeafEvent::PeerView(peer_view(FIRST_RUN, false)));
    let contradicts = |action: &LeafAction| matches!(action, LeafAction::Spread(view) if view.leaving);
    assert!(bench.actions.iter().any(contradicts));
}

/// Guards against a node that has just started sending work to a searcher before its peers have reported which ones are
/// leaving.
#[test]
fn newcomer_takes_no_work_until_it_has_listened() {
    let mut bench = Bench::newcomer();
    bench.serving(FIRST_RUN);
    bench.ask(1);
    assert_eq!(bench.last_refusal(), Some(NotRunReason::NotOwner));
    bench.wait(1000);
    bench.serving(FIRST_RUN);
    bench.ask(2);
    assert_eq!(bench.sent(), 1);
}

/// Guards against dropping a call before it has ended: a planned stop finished two seconds after the deadline of a call
/// that was still in flight.
#[test]
fn call_is_in_flight_until_it_ends() {
    let mut bench = Bench::new();
    bench.serving(FIRST_RUN);
    bench.ask(1);
    bench.wait(5000);
    bench.tell(LeafEvent::Tick);
    assert_eq!(bench.leaf.in_flight(), 1);
    bench.tell(LeafEvent::Reply { reply: reply(1, SubOutcome::Unknown(UnknownReason::Late)), run: None });
    assert_eq!(bench.leaf.in_flight(), 0);
}

#[test]
fn listed_as_leaving_by_platform_or_operator_takes_no_work_even_if_the_list_flickers() {
    let mut bench = Bench::new();
    bench.serving(FIRST_RUN);
    bench.tell(LeafEvent::Listed([SEARCHER].into()));
    bench.tell(LeafEvent::Listed([].into()));
    bench.serving(FIRST_RUN);
    bench.ask(1);
    assert_eq!(bench.last_refusal(), Some(NotRunReason::Draining));
}

#[test]
fn restarted_searcher_is_ramped_up() {
    let mut bench = Bench::new();
    bench.serving(FIRST_RUN);
    bench.serving(SECOND_RUN);
    bench.ask(1);
    bench.ask(2);
    assert_eq!(bench.sent(), 1, "one slot at first");
    bench.wait(3000);
    bench.serving(SECOND_RUN);
    bench.ask(3);
    assert_eq!(bench.sent(), 2, "the whole share later");
}

#[test]
fn stopping_leaf_refuses_new_work_and_finishes_old() {
    let mut bench = Bench::new();
    bench.serving(FIRST_RUN);
    bench.ask(1);
    bench.tell(LeafEvent::Stop);
    bench.ask(2);
    assert_eq!(bench.last_refusal(), Some(NotRunReason::LeafLeaving));
    assert_eq!(bench.leaf.in_flight(), 1);
}
