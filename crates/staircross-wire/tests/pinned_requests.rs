//! Snapshots of the encoded messages between roots and leaves, and of the encoded state of a session.

mod notation;
mod pinning;

use pinning::pin;
use staircross_search::message::{NotRunReason, UnknownReason};
use staircross_search::{
    ActionReceipt, Answer, Outcome, Refusal, SessionState, SessionTable, SubOutcome, SubReply, SubRequest, Work,
};
use staircross_types::query::PagePosition;
use staircross_types::{
    ActionCommand, AttemptId, BootTime, Coverage, ErrorKind, Hit, MissingCause, MissingShard, NodeId, RequestId,
    SearchQuery, SearcherId, ServiceName, SessionToken, ShardHits, ShardId, Snapshot, Ticket,
};
use staircross_wire::PeerMessage;
use std::time::Duration;

const ROOT: NodeId = NodeId(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);
const LEAF: NodeId = NodeId(0x2122_2324_2526_2728_292a_2b2c_2d2e_2f30);
const SNAPSHOT: Snapshot = Snapshot { version: 7, epoch: 300, build: 70_000 };

fn attempt() -> AttemptId {
    AttemptId { request: RequestId { node: ROOT, sequence: 1_000 }, attempt: 3 }
}

fn hit() -> Hit {
    Hit { document: "doc-1".to_owned(), shard: ShardId(4), score: 1.5, title: "Clause é".to_owned() }
}

fn found() -> Vec<ShardHits> {
    vec![ShardHits { shard: ShardId(4), matched: 12, hits: vec![hit()] }]
}

fn receipt() -> ActionReceipt {
    ActionReceipt { entry: 44, message: "confirmed".to_owned() }
}

fn request(work: Work) -> PeerMessage {
    let remaining = Duration::new(1, 250_000_000);
    let shards = vec![ShardId(4), ShardId(5)];
    let request =
        SubRequest { attempt: attempt(), searcher: SearcherId(9), snapshot: SNAPSHOT, shards, work, remaining };
    PeerMessage::Request { from: ROOT, to: LEAF, request }
}

fn reply(outcome: SubOutcome) -> PeerMessage {
    let worked = Duration::from_micros(1234);
    let reply = SubReply { attempt: attempt(), searcher: SearcherId(9), snapshot: SNAPSHOT, outcome, worked };
    PeerMessage::Reply { to: ROOT, reply }
}

fn query(after: Option<PagePosition>) -> Work {
    Work::Search(SearchQuery { terms: vec!["red".to_owned(), "boat".to_owned()], limit: 10, after })
}

#[test]
fn requests_are_pinned() {
    let position = PagePosition { shard: ShardId(4), document: "doc-1".to_owned() };
    let (verb, target, note) = ("confirm".to_owned(), "doc-1".to_owned(), "seen".to_owned());
    let pins = [
        pin("search", &request(query(None))),
        pin("page of a pull", &request(query(Some(position)))),
        pin("action", &request(Work::Act(ActionCommand { verb, target, note }))),
        pin("cancel", &PeerMessage::Cancel { from: ROOT, attempt: attempt() }),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}

#[test]
fn replies_are_pinned() {
    let mut pins =
        vec![pin("found", &reply(SubOutcome::Found(found()))), pin("acted", &reply(SubOutcome::Acted(receipt())))];
    let not_run = [
        NotRunReason::Shed,
        NotRunReason::SnapshotGone,
        NotRunReason::Draining,
        NotRunReason::NotOwner,
        NotRunReason::LeafLeaving,
        NotRunReason::Unconnected,
    ];
    pins.extend(not_run.map(|reason| pin("not run", &reply(SubOutcome::NotRun(reason)))));
    let unknown = [UnknownReason::Late, UnknownReason::Broken];
    pins.extend(unknown.map(|reason| pin("unknown", &reply(SubOutcome::Unknown(reason)))));
    insta::assert_snapshot!(pins.join("\n"));
}

fn answer() -> Answer {
    let causes = [
        MissingCause::Late,
        MissingCause::Lost,
        MissingCause::Shed,
        MissingCause::SnapshotGone,
        MissingCause::Draining,
        MissingCause::Unreachable,
    ];
    let missing = causes.into_iter().zip(10..).map(|(cause, shard)| MissingShard { shard: ShardId(shard), cause });
    Answer {
        snapshot: SNAPSHOT,
        coverage: Coverage { included: vec![ShardId(4), ShardId(5)], missing: missing.collect() },
        matched: 12,
        hits: vec![hit()],
        next: Some(PagePosition { shard: ShardId(4), document: "doc-1".to_owned() }),
        sent: 5,
        needed: 2,
        elapsed: Duration::from_millis(17),
    }
}

fn ended_ticket(serial: u64, outcome: Outcome) -> (Ticket, Outcome) {
    (Ticket { node: ROOT, serial }, outcome)
}

/// A session with a minimum snapshot and a ticket in each state.
fn session() -> SessionState {
    let token = SessionToken(5);
    let mut table = SessionTable::new(1);
    assert!(table.open(BootTime::default(), token));
    let state = table.touch(BootTime::default(), token).expect("is open");
    state.raise_floor(&ServiceName::new("clauses"), SNAPSHOT);
    state.add_ticket(Ticket { node: ROOT, serial: 1 });
    let ended = [
        ended_ticket(2, Outcome::Answer(Box::new(answer()))),
        ended_ticket(3, Outcome::Acted(receipt())),
        ended_ticket(4, Outcome::Refusal(Refusal::new(ErrorKind::Internal, "why"))),
    ];
    for (ticket, outcome) in ended {
        state.add_ticket(ticket);
        state.use_ticket(ticket, ROOT).expect("is unused");
        state.end_ticket(ticket, &outcome);
    }
    let running = Ticket { node: ROOT, serial: 5 };
    state.add_ticket(running);
    state.use_ticket(running, ROOT).expect("is unused");
    state.clone()
}

#[test]
fn session_copy_is_pinned() {
    insta::assert_snapshot!(pin("session", &session()));
}
