//! Messages between leaf and searcher, and the names of errors, as JSON.

use serde::Serialize;
use serde::de::DeserializeOwned;
use staircross_types::query::PagePosition;
use staircross_types::searcher_api::{
    ACT_PATH, ActCall, CANCEL_PATH, CallReply, CallStatus, CancelCall, DIGEST_HEADER, SEARCH_PATH, STATE_PATH,
    SearchCall, StateReply,
};
use staircross_types::{
    ActionCommand, AttemptId, ErrorKind, Executed, Hit, NodeId, RequestId, SearchQuery, SearcherId,
    SearcherIncarnation, ShardHits, ShardId, Snapshot,
};

const SNAPSHOT: Snapshot = Snapshot { version: 7, epoch: 300, build: 70_000 };
const INCARNATION: SearcherIncarnation = SearcherIncarnation(0x99);

/// A message's name and its JSON; checks that the JSON is read back as the same message.
fn pin<T: Serialize + DeserializeOwned + PartialEq>(name: &str, message: &T) -> String {
    let json = serde_json::to_string(message).expect("encodes");
    let back: T = serde_json::from_str(&json).expect("decodes");
    assert!(back == *message, "{name}: read back as another message");
    format!("{name}: {json}")
}

fn attempt() -> AttemptId {
    let request = RequestId { node: NodeId(0x0102_0304), sequence: 1_000 };
    AttemptId { request, attempt: 3 }
}

fn search(after: Option<PagePosition>) -> SearchCall {
    let query = SearchQuery { terms: vec!["red".to_owned(), "boat".to_owned()], limit: 10, after };
    let shards = vec![ShardId(4), ShardId(5)];
    SearchCall { attempt: attempt(), snapshot: SNAPSHOT, shards, query, remaining_ms: 250 }
}

fn act() -> ActCall {
    let command = ActionCommand { verb: "confirm".to_owned(), target: "doc-1".to_owned(), note: "seen".to_owned() };
    ActCall { attempt: attempt(), snapshot: SNAPSHOT, shard: ShardId(4), command, remaining_ms: 250 }
}

#[test]
fn calls_are_pinned() {
    let position = PagePosition { shard: ShardId(4), document: "doc-1".to_owned() };
    let paths = [SEARCH_PATH, ACT_PATH, CANCEL_PATH, STATE_PATH, DIGEST_HEADER].join(" ");
    let pins = [
        paths,
        pin("search", &search(None)),
        pin("page of a pull", &search(Some(position))),
        pin("act", &act()),
        pin("cancel", &CancelCall { attempt: attempt() }),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}

fn reply(status: CallStatus) -> String {
    pin("reply", &CallReply { attempt: attempt(), snapshot: SNAPSHOT, incarnation: INCARNATION, status })
}

#[test]
fn replies_are_pinned() {
    let hit = Hit { document: "doc-1".to_owned(), shard: ShardId(4), score: 1.5, title: "Clause é".to_owned() };
    let shards = vec![ShardHits { shard: ShardId(4), matched: 12, hits: vec![hit] }];
    let state = StateReply {
        searcher: SearcherId(9),
        incarnation: INCARNATION,
        snapshots: vec![SNAPSHOT],
        draining: true,
        load: 0.25,
    };
    let pins = [
        reply(CallStatus::Found { shards }),
        reply(CallStatus::Acted { entry: 44, message: "confirmed".to_owned() }),
        reply(CallStatus::Shed),
        reply(CallStatus::SnapshotGone),
        reply(CallStatus::Draining),
        reply(CallStatus::Stopped),
        pin("state", &state),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}

#[test]
fn names_of_errors_are_pinned() {
    let mut pins: Vec<String> = ErrorKind::ALL.iter().map(|kind| pin(kind.name(), kind)).collect();
    pins.extend([Executed::Never, Executed::Maybe].map(|executed| pin("executed", &executed)));
    insta::assert_snapshot!(pins.join("\n"));
}
