//! Checks the JSON messages exchanged with callers and operators against snapshots.

use serde::Serialize;
use serde::de::DeserializeOwned;
use staircross_config::{PlatformDocument, ServiceDefinition, ServicePolicy};
use staircross_node::api::{
    Cursor, Listing, MemberStatus, ReplyBody, SessionReply, StatementReply, StatementRequest, StatusReply, TicketReply,
    config_listing,
};
use staircross_search::{ActionReceipt, Answer, Outcome, Refusal};
use staircross_types::query::PagePosition;
use staircross_types::{
    Coverage, ErrorKind, Hit, MissingCause, MissingShard, NodeId, ServiceName, SessionToken, ShardId, Snapshot, Ticket,
};
use std::time::Duration;

const NODE: NodeId = NodeId(0x0102_0304);
const SNAPSHOT: Snapshot = Snapshot { version: 7, epoch: 300, build: 70_000 };

/// Returns a message's name and JSON, and checks that the JSON decodes to the same message.
fn pin<T: Serialize + DeserializeOwned + PartialEq>(name: &str, message: &T) -> String {
    let json = serde_json::to_string(message).expect("encodes");
    let back: T = serde_json::from_str(&json).expect("decodes");
    assert!(back == *message, "{name}: read back as another message");
    format!("{name}: {json}")
}

fn position() -> PagePosition {
    PagePosition { shard: ShardId(4), document: "doc-1".to_owned() }
}

fn answer(next: Option<PagePosition>) -> Outcome {
    let causes = [
        MissingCause::Late,
        MissingCause::Lost,
        MissingCause::Shed,
        MissingCause::SnapshotGone,
        MissingCause::Draining,
        MissingCause::Unreachable,
    ];
    let missing = causes.into_iter().zip(10..).map(|(cause, shard)| MissingShard { shard: ShardId(shard), cause });
    let hit = Hit { document: "doc-1".to_owned(), shard: ShardId(4), score: 1.5, title: "Clause é".to_owned() };
    Outcome::Answer(Box::new(Answer {
        snapshot: SNAPSHOT,
        coverage: Coverage { included: vec![ShardId(4), ShardId(5)], missing: missing.collect() },
        matched: 12,
        hits: vec![hit],
        next,
        sent: 5,
        needed: 2,
        elapsed: Duration::from_millis(17),
    }))
}

fn statement_reply(body: ReplyBody) -> StatementReply {
    StatementReply { request: "01020304-9".to_owned(), body, moved_to: None }
}

#[test]
fn sessions_and_tickets_are_pinned() {
    let pins = [
        pin("session", &SessionReply { session: SessionToken(5), node: NODE }),
        pin("ticket", &TicketReply::from(Ticket { node: NODE, serial: 77 })),
        pin("statement", &StatementRequest { statement: "SHOW SERVICES".to_owned() }),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}

#[test]
fn replies_to_statements_are_pinned() {
    let acted = Outcome::Acted(ActionReceipt { entry: 44, message: "confirmed".to_owned() });
    let mut moved = statement_reply(answer(None).into());
    moved.moved_to = Some("127.0.0.1:7001".parse().expect("is an address"));
    let document = Box::new(PlatformDocument::new(12, Vec::new()));
    let pins = [
        pin("page of a pull", &statement_reply(answer(Some(position())).into())),
        pin("moved", &moved),
        pin("acted", &statement_reply(acted.into())),
        pin("planned", &statement_reply(ReplyBody::Planned { document })),
        pin("refused", &StatementReply::refused(&Refusal::new(ErrorKind::BadTicket, "why"))),
        pin("refused for now", &StatementReply::refused(&Refusal::new(ErrorKind::Overloaded, "why"))),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}

#[test]
fn listing_of_services_is_pinned() {
    let service = ServiceDefinition {
        name: ServiceName::new("clauses"),
        policy: ServicePolicy::default(),
        searchers: Vec::new(),
        shard_maps: Vec::new(),
    };
    let mut listing: Listing = config_listing(&[service]);
    listing.rows.push(vec!["free".to_owned()]);
    insta::assert_snapshot!(pin("listing", &statement_reply(ReplyBody::Listing(listing))));
}

#[test]
fn status_is_pinned() {
    let member = |revision| MemberStatus {
        node: NODE,
        address: "127.0.0.1:7001".parse().expect("is an address"),
        region: "south".to_owned(),
        zone: "hobart".to_owned(),
        state: "alive".to_owned(),
        revision,
    };
    let status = StatusReply {
        node: NODE,
        leaving: false,
        has_config: true,
        ready: true,
        revision: 12,
        sessions: 1,
        requests_in_flight: 2,
        owned_searchers: 3,
        members: vec![member(Some(12)), member(None)],
    };
    insta::assert_snapshot!(pin("status", &status));
}

#[test]
fn cursor_is_pinned() {
    let text = Cursor::encode(SNAPSHOT, &position());
    assert_eq!(text, "7.300.70000:4:doc-1");
    assert_eq!(Cursor::decode(&text), Some(Cursor { snapshot: SNAPSHOT, position: position() }));
}
