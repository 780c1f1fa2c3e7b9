//! Root decisions for single requests: refusal honesty, coverage, identity, tickets, re-planning.

use staircross_config::{Priority, SearcherDefinition, ServiceDefinition, ServicePolicy};
use staircross_search::view::Evidence;
use staircross_search::{
    ActionReceipt, Answer, NotRunReason, Outcome, RootAction, RootEngine, RootEvent, RootSettings, SearcherView,
    SubOutcome, SubReply, SubRequest, Submission, UnknownReason, Work,
};
use staircross_types::{
    ActionCommand, BootTime, ErrorKind, Executed, GroupId, Hit, MissingCause, NodeId, RequestId, SearchQuery,
    SearcherId, SearcherIncarnation, ServiceName, SessionToken, ShardHits, ShardId, ShardMap, ShardPlacement, Snapshot,
    Ticket, ZoneName,
};
use std::sync::Arc;
use std::time::Duration;

const NODE: NodeId = NodeId(9);
const SESSION: SessionToken = SessionToken(77);
const OLD: Snapshot = Snapshot { version: 1, epoch: 1, build: 1 };
const NEW: Snapshot = Snapshot { version: 2, epoch: 1, build: 1 };

/// A root over two searchers that each hold both shards of both snapshots.
struct Bench {
    root: RootEngine,
    now: BootTime,
    sent: Vec<SubRequest>,
    finished: Vec<(RequestId, Outcome)>,
    next: u64,
}

fn policy() -> ServicePolicy {
    ServicePolicy {
        wait_ms: 300,
        least_coverage_per_mille: 500,
        priority: Priority::Coverage,
        repeatable: true,
        hedge_per_mille: 1000,
        retry_per_mille: 1000,
    }
}

fn action_policy() -> ServicePolicy {
    ServicePolicy { repeatable: false, hedge_per_mille: 0, retry_per_mille: 0, ..policy() }
}

fn definition(name: &str, policy: ServicePolicy, snapshots: &[Snapshot]) -> Arc<ServiceDefinition> {
    let searcher = |id: u32| SearcherDefinition {
        id: SearcherId(id),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: ZoneName::new("z"),
        group: GroupId(1),
        slots: 5,
        connections: 65,
    };
    let map = |snapshot: &Snapshot| ShardMap {
        snapshot: *snapshot,
        shards: (0..2)
            .map(|shard| ShardPlacement { shard: ShardId(shard), replicas: vec![SearcherId(1), SearcherId(2)] })
            .collect(),
    };
    Arc::new(ServiceDefinition {
        name: ServiceName::new(name),
        policy,
        searchers: vec![searcher(1), searcher(2)],
        shard_maps: snapshots.iter().map(map).collect(),
    })
}

impl Bench {
    fn new() -> Self {
        let root = RootEngine::new(NODE, RootSettings::default(), 1);
        let now = BootTime::from_millis(1000);
        let mut bench = Bench { root, now, sent: Vec::new(), finished: Vec::new(), next: 1 };
        bench.serve(&[OLD]);
        bench.root.sessions.open(now, SESSION);
        bench.view(1, &[OLD]);
        bench.view(2, &[OLD]);
        bench
    }

    fn serve(&mut self, snapshots: &[Snapshot]) {
        let services = vec![definition("s", policy(), snapshots), definition("a", action_policy(), snapshots)];
        self.tell(RootEvent::Services(services));
    }

    fn view(&mut self, searcher: u32, snapshots: &[Snapshot]) {
        let incarnation = SearcherIncarnation(u128::from(searcher));
        let evidence = Some(Evidence { incarnation, snapshots: snapshots.to_vec(), draining: false });
        self.tell(RootEvent::View(SearcherView { searcher: SearcherId(searcher), evidence, leaving: false }));
    }

    fn tell(&mut self, event: RootEvent) {
        let mut actions = Vec::new();
        self.root.on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                RootAction::Send(request) => self.sent.push(request),
                RootAction::Finish { request, outcome } => self.finished.push((request, outcome)),
                RootAction::Cancel { .. } => {}
            }
        }
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.tell(RootEvent::Tick);
    }

    fn submit(&mut self, service: &str, work: Work, ticket: Option<Ticket>) {
        let request = RequestId { node: NODE, sequence: self.next };
        self.next += 1;
        self.tell(RootEvent::Submit(Submission {
            request,
            session: SESSION,
            service: ServiceName::new(service),
            work,
            wait: None,
            least_per_mille: None,
            pinned: None,
            ticket,
        }));
    }

    fn search(&mut self) {
        self.submit("s", Work::Search(SearchQuery { terms: vec!["x".into()], limit: 10, after: None }), None);
    }

    fn ticket(&mut self) -> Ticket {
        let ticket = Ticket { node: NODE, serial: self.next };
        if let Some(session) = self.root.sessions.touch(self.now, SESSION) {
            session.add_ticket(ticket);
        }
        ticket
    }

    fn act(&mut self, ticket: Ticket) {
        let command = ActionCommand { verb: "confirm".into(), target: "pitch".into(), note: "n".into() };
        self.submit("a", Work::Act(command), Some(ticket));
    }

    fn answer(&mut self, index: usize, outcome: SubOutcome) {
        let request = self.sent[index].clone();
        let reply = SubReply {
            attempt: request.attempt,
            searcher: request.searcher,
            snapshot: request.snapshot,
            outcome,
            worked: Default::default(),
        };
        self.tell(RootEvent::Reply(reply));
    }

    fn found(&mut self, index: usize) {
        let outcome = SubOutcome::Found(self.sent[index].shards.iter().map(|shard| hits(*shard)).collect());
        self.answer(index, outcome);
    }

    fn last_answer(&self) -> &Answer {
        match self.finished.last() {
            Some((_, Outcome::Answer(answer))) => answer,
            other => panic!("expected an answer, got {other:?}"),
        }
    }

    fn last_refusal(&self) -> ErrorKind {
        match self.finished.last() {
            Some((_, Outcome::Refusal(refusal))) => refusal.kind,
            other => panic!("expected a refusal, got {other:?}"),
        }
    }
}

fn hits(shard: ShardId) -> ShardHits {
    let hit = Hit { document: format!("d{shard}"), shard, score: 1.0, title: String::new() };
    ShardHits { shard, matched: 1, hits: vec![hit] }
}

#[test]
fn whole_answer_counts_every_shard_once() {
    let mut bench = Bench::new();
    bench.search();
    for index in 0..bench.sent.len() {
        bench.found(index);
    }
    let answer = bench.last_answer();
    assert_eq!(answer.coverage.included, vec![ShardId(0), ShardId(1)]);
    assert_eq!(answer.matched, 2);
    assert_eq!(answer.snapshot, OLD);
}

#[test]
fn late_shard_is_listed_as_late() {
    let mut bench = Bench::new();
    bench.search();
    let whole = bench.sent[0].clone();
    if whole.shards.len() == 2 {
        bench.answer(0, SubOutcome::Found(vec![hits(ShardId(0))]));
    } else {
        bench.found(0);
    }
    bench.pass(300);
    let answer = bench.last_answer();
    assert_eq!(answer.coverage.included.len(), 1);
    assert_eq!(answer.coverage.missing[0].cause, MissingCause::Late);
}

#[test]
fn omitted_and_foreign_shards_are_not_counted() {
    let mut bench = Bench::new();
    bench.search();
    let asked = bench.sent[0].shards.clone();
    let mut found = vec![hits(asked[0]), hits(ShardId(99))];
    found.push(ShardHits { shard: asked[0], matched: 50, hits: vec![hits(ShardId(98)).hits[0].clone()] });
    bench.answer(0, SubOutcome::Found(found));
    bench.pass(300);
    let answer = bench.last_answer();
    assert!(answer.hits.iter().all(|hit| hit.shard.0 < 2), "{:?}", answer.hits);
    assert_eq!(answer.matched, answer.coverage.included.len() as u64);
}

#[test]
fn reply_from_another_snapshot_is_dropped_and_asked_elsewhere() {
    let mut bench = Bench::new();
    bench.search();
    let first = bench.sent[0].clone();
    let outcome = SubOutcome::Found(first.shards.iter().map(|shard| hits(*shard)).collect());
    let reply = SubReply {
        attempt: first.attempt,
        searcher: first.searcher,
        snapshot: NEW,
        outcome,
        worked: Default::default(),
    };
    let before = bench.sent.len();
    bench.tell(RootEvent::Reply(reply));
    assert!(bench.sent.len() > before, "the other replica is asked");
    assert_eq!(bench.root.counters.foreign_replies, 1);
    for index in 1..bench.sent.len() {
        bench.found(index);
    }
    assert_eq!(bench.last_answer().snapshot, OLD);
}

#[test]
fn crossed_reply_of_another_node_or_request_is_dropped() {
    let mut bench = Bench::new();
    bench.search();
    let mut reply = SubReply {
        attempt: bench.sent[0].attempt,
        searcher: bench.sent[0].searcher,
        snapshot: OLD,
        outcome: SubOutcome::Found(vec![hits(ShardId(0)), hits(ShardId(1))]),
        worked: Default::default(),
    };
    reply.attempt.request.node = NodeId(1234);
    bench.tell(RootEvent::Reply(reply.clone()));
    reply.attempt.request = RequestId { node: NODE, sequence: 4711 };
    bench.tell(RootEvent::Reply(reply));
    assert!(bench.finished.is_empty());
}

#[test]
fn doubled_reply_counts_once() {
    let mut bench = Bench::new();
    bench.search();
    for index in 0..bench.sent.len() {
        bench.found(index);
        bench.found(index);
    }
    assert_eq!(bench.finished.len(), 1);
    assert_eq!(bench.last_answer().matched, 2);
}

#[test]
fn refused_everywhere_is_never_run() {
    let mut bench = Bench::new();
    bench.search();
    let mut index = 0;
    while index < bench.sent.len() {
        bench.answer(index, SubOutcome::NotRun(NotRunReason::Draining));
        index += 1;
    }
    assert_eq!(bench.last_refusal().executed(), Executed::Never);
}

#[test]
fn unknown_outcome_is_never_called_not_run() {
    let mut bench = Bench::new();
    bench.search();
    let mut index = 0;
    while index < bench.sent.len() {
        bench.answer(index, SubOutcome::Unknown(UnknownReason::Broken));
        index += 1;
    }
    assert_eq!(bench.last_refusal().executed(), Executed::Maybe);
}

#[test]
fn hopeless_request_is_refused_before_anything_is_sent() {
    let mut bench = Bench::new();
    bench.view(1, &[]);
    bench.view(2, &[]);
    bench.search();
    assert!(bench.sent.is_empty());
    assert_eq!(bench.last_refusal(), ErrorKind::NoSnapshot);
}

#[test]
fn snapshot_that_vanishes_is_replaced_as_a_whole() {
    let mut bench = Bench::new();
    bench.serve(&[OLD, NEW]);
    bench.search();
    assert!(bench.sent.iter().all(|request| request.snapshot == OLD));
    let first_plan = bench.sent.len();
    bench.view(1, &[NEW]);
    bench.view(2, &[NEW]);
    let mut index = 0;
    while index < bench.sent.len() && bench.sent[index].snapshot == OLD {
        bench.answer(index, SubOutcome::NotRun(NotRunReason::SnapshotGone));
        index += 1;
    }
    assert!(bench.sent[first_plan..].iter().any(|request| request.snapshot == NEW));
    for index in index..bench.sent.len() {
        bench.found(index);
    }
    let answer = bench.last_answer();
    assert_eq!((answer.snapshot, answer.coverage.included.len()), (NEW, 2));
    assert!(answer.sent > answer.needed, "the second plan counts as extra load");
}

/// Found by fuzzing: sub-requests of an abandoned plan were still out when the request was refused
/// as never run.
#[test]
fn abandoned_plan_counts_as_may_have_run() {
    let mut bench = Bench::new();
    let mut split =
        (*definition("split", ServicePolicy { least_coverage_per_mille: 1000, ..policy() }, &[OLD, NEW])).clone();
    for map in &mut split.shard_maps {
        map.shards[0].replicas = vec![SearcherId(1)];
        map.shards[1].replicas = vec![SearcherId(2)];
    }
    bench.tell(RootEvent::Services(vec![Arc::new(split)]));
    bench.submit("split", Work::Search(SearchQuery { terms: Vec::new(), limit: 1, after: None }), None);
    assert_eq!(bench.sent.len(), 2, "one for each searcher");
    bench.view(2, &[OLD, NEW]);
    bench.answer(0, SubOutcome::NotRun(NotRunReason::SnapshotGone));
    assert_eq!(bench.sent.len(), 2, "the new snapshot can't be covered");
    assert_eq!(bench.last_refusal().executed(), Executed::Maybe, "the second sub-request was still out");
}

#[test]
fn service_moves_to_a_new_snapshot_only_when_it_is_covered_as_well() {
    let mut bench = Bench::new();
    bench.serve(&[OLD, NEW]);
    let name = ServiceName::new("s");
    assert_eq!(bench.root.current_snapshot(&name), Some(OLD));
    bench.view(1, &[OLD, NEW]);
    assert_eq!(bench.root.current_snapshot(&name), Some(NEW), "one replica covers all shards");
}

#[test]
fn session_never_sees_an_older_snapshot() {
    let mut bench = Bench::new();
    bench.serve(&[OLD, NEW]);
    bench.view(1, &[OLD, NEW]);
    bench.search();
    let count = bench.sent.len();
    (0..count).for_each(|index| bench.found(index));
    assert_eq!(bench.last_answer().snapshot, NEW);
    bench.view(1, &[OLD]);
    bench.search();
    assert_eq!(bench.last_refusal(), ErrorKind::NoSnapshot);
}

#[test]
fn action_is_sent_once_and_unknown_is_said_so() {
    let mut bench = Bench::new();
    let ticket = bench.ticket();
    bench.act(ticket);
    assert_eq!(bench.sent.len(), 1);
    bench.pass(200);
    assert_eq!(bench.sent.len(), 1, "no hedge");
    bench.answer(0, SubOutcome::Unknown(UnknownReason::Broken));
    assert_eq!(bench.sent.len(), 1, "no retry");
    assert_eq!(bench.last_refusal(), ErrorKind::OutcomeUnknown);
    bench.act(ticket);
    assert_eq!(bench.sent.len(), 1, "the ticket is used");
    assert_eq!(bench.last_refusal(), ErrorKind::OutcomeUnknown);
}

#[test]
fn repeated_ticket_returns_the_recorded_outcome() {
    let mut bench = Bench::new();
    let ticket = bench.ticket();
    bench.act(ticket);
    bench.answer(0, SubOutcome::Acted(ActionReceipt { entry: 5, message: String::new() }));
    bench.act(ticket);
    assert_eq!(bench.sent.len(), 1);
    assert!(matches!(bench.finished.last(), Some((_, Outcome::Acted(receipt))) if receipt.entry == 5));
}

#[test]
fn late_receipt_settles_an_unknown_outcome() {
    let mut bench = Bench::new();
    let ticket = bench.ticket();
    bench.act(ticket);
    bench.pass(300);
    assert_eq!(bench.last_refusal(), ErrorKind::OutcomeUnknown);
    bench.answer(0, SubOutcome::Acted(ActionReceipt { entry: 6, message: String::new() }));
    bench.act(ticket);
    assert!(matches!(bench.finished.last(), Some((_, Outcome::Acted(receipt))) if receipt.entry == 6));
}

#[test]
fn action_refused_as_not_run_goes_to_another_replica_and_gives_its_ticket_back() {
    let mut bench = Bench::new();
    let ticket = bench.ticket();
    bench.act(ticket);
    bench.answer(0, SubOutcome::NotRun(NotRunReason::Draining));
    assert_eq!(bench.sent.len(), 2);
    assert_ne!(bench.sent[0].searcher, bench.sent[1].searcher);
    bench.answer(1, SubOutcome::NotRun(NotRunReason::Draining));
    assert_eq!(bench.last_refusal(), ErrorKind::NotDelivered);
    bench.act(ticket);
    assert_eq!(bench.sent.len(), 3, "the ticket may be used again");
}

#[test]
fn ticket_of_another_run_is_unknown_and_not_run() {
    let mut bench = Bench::new();
    bench.act(Ticket { node: NodeId(4321), serial: 1 });
    assert!(bench.sent.is_empty());
    assert_eq!(bench.last_refusal(), ErrorKind::OutcomeUnknown);
}

#[test]
fn shed_replies_are_not_answered_by_retries() {
    let mut bench = Bench::new();
    bench.search();
    let first = bench.sent.len();
    for index in 0..first {
        bench.answer(index, SubOutcome::NotRun(NotRunReason::Shed));
    }
    assert_eq!(bench.sent.len(), first);
    assert_eq!(bench.last_refusal(), ErrorKind::NotDelivered);
}

#[test]
fn admission_refuses_early_when_sheds_have_shrunk_the_limit() {
    let mut bench = Bench::new();
    let mut refused = false;
    for _ in 0..400 {
        bench.search();
        refused |= matches!(bench.finished.last(), Some((_, Outcome::Refusal(r))) if r.kind == ErrorKind::Overloaded);
        if refused {
            break;
        }
    }
    assert!(refused, "requests in flight are bounded");
}
