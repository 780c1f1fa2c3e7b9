//! Snapshots of the encoded messages of the cluster protocol.

mod notation;
mod pinning;

use pinning::pin;
use staircross_cluster::document_relay::DocumentMessage;
use staircross_cluster::membership::{Fingerprints, IdSpan, MembershipMessage};
use staircross_cluster::session_copies::{SessionCopy, SessionCopyMessage};
use staircross_cluster::views::{GossipedReport, ViewMessage, ViewRecord, ViewVersion};
use staircross_cluster::{ClusterMessage, Envelope, Member, MemberState};
use staircross_config::PlatformDocument;
use staircross_types::{NodeId, SearcherId, SearcherIncarnation, SessionToken, Snapshot, ZoneName};
use staircross_wire::PeerMessage;
use staircross_wire::frame::{decode, encode};
use std::net::SocketAddr;
use std::sync::Arc;

const SENDER: NodeId = NodeId(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);
const RECEIVER: NodeId = NodeId(0x2122_2324_2526_2728_292a_2b2c_2d2e_2f30);
const TOKEN: SessionToken = SessionToken(0x4142_4344_4546_4748_494a_4b4c_4d4e_4f50);

fn address(text: &str) -> SocketAddr {
    text.parse().expect("is an address")
}

fn envelope_to(to: Option<NodeId>, message: ClusterMessage) -> PeerMessage {
    let envelope = Envelope {
        from: SENDER,
        from_address: address("10.0.0.1:7101"),
        to,
        // The address isn't encoded, and is decoded as this one.
        to_address: address("0.0.0.0:0"),
        message,
    };
    PeerMessage::Cluster(envelope)
}

fn membership(message: MembershipMessage) -> PeerMessage {
    envelope_to(Some(RECEIVER), ClusterMessage::Membership(message))
}

fn published(message: DocumentMessage) -> PeerMessage {
    envelope_to(Some(RECEIVER), ClusterMessage::Document(message))
}

fn views(message: ViewMessage) -> PeerMessage {
    envelope_to(Some(RECEIVER), ClusterMessage::Views(message))
}

fn session_copy(message: SessionCopyMessage) -> PeerMessage {
    envelope_to(Some(RECEIVER), ClusterMessage::SessionCopies(message))
}

fn member(state: MemberState, is_ready: bool) -> Member {
    Member {
        node: SENDER,
        peer_address: address("10.0.0.1:7101"),
        caller_address: address("[2001:db8::1]:7001"),
        region: "south".to_owned(),
        zone: ZoneName::new("hobart"),
        state,
        version: 300,
        is_ready,
    }
}

fn members() -> Vec<Member> {
    let states = [MemberState::Alive, MemberState::Leaving, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    let mut members: Vec<Member> = states.into_iter().map(|state| member(state, true)).collect();
    members.push(member(MemberState::Alive, false));
    members
}

fn fingerprints() -> Box<Fingerprints> {
    let buckets: Vec<u64> = (1..=16).map(|bucket| bucket << 40).collect();
    Box::new(decode(&encode(&buckets).expect("encodes")).expect("is of this form"))
}

#[test]
fn probes_are_pinned() {
    let target_address = address("10.0.0.3:7101");
    let pins = [
        pin("probe", &membership(MembershipMessage::Probe { number: 5, updates: members() })),
        pin("probe answer", &membership(MembershipMessage::ProbeAnswer { number: 5, updates: vec![], known: 0 })),
        pin(
            "probe answer of known",
            &membership(MembershipMessage::ProbeAnswer { number: 5, updates: vec![], known: 6 }),
        ),
        pin("probe for", &membership(MembershipMessage::ProbeFor { number: 5, target: RECEIVER, target_address })),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}

#[test]
fn member_lists_are_pinned() {
    let join = MembershipMessage::Join { member: member(MemberState::Alive, false) };
    let span = IdSpan { first: NodeId(1 << 124), last: NodeId((1 << 125) - 1) };
    let pins = [
        pin("join", &envelope_to(None, ClusterMessage::Membership(join))),
        pin("everyone", &membership(MembershipMessage::MemberList { members: members(), span: None })),
        pin("everyone of a span", &membership(MembershipMessage::MemberList { members: vec![], span: Some(span) })),
        pin("compare", &membership(MembershipMessage::Compare { fingerprints: fingerprints() })),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}

/// A document that sets every key.
const DOCUMENT: &str = r#"{
    "revision": 12,
    "services": [{
        "name": "clauses",
        "policy": {
            "wait_ms": 300, "least_coverage_per_mille": 990, "priority": "coverage", "repeatable": true,
            "hedge_per_mille": 20, "retry_per_mille": 30
        },
        "searchers": [
            {"id": 1, "address": "10.0.0.9:7801", "zone": "hobart", "group": 2, "slots": 5, "connections": 70}
        ],
        "shard_maps": [
            {"snapshot": {"version": 7, "epoch": 300, "build": 70000}, "shards": [{"shard": 0, "replicas": [1]}]}
        ]
    }, {
        "name": "acts",
        "policy": {
            "wait_ms": 500, "least_coverage_per_mille": 1000, "priority": "latency", "repeatable": false,
            "hedge_per_mille": 0, "retry_per_mille": 0
        },
        "searchers": [],
        "shard_maps": []
    }],
    "drained": [1]
}"#;

#[test]
fn published_document_is_pinned() {
    let mut document = PlatformDocument::from_json("pinned", DOCUMENT).expect("is valid");
    let whole = DocumentMessage::Document(Arc::new(document.clone()));
    document.services.clear();
    document.drained.clear();
    let least = DocumentMessage::Document(Arc::new(document));
    let pins = [
        pin("holds", &published(DocumentMessage::Holds { revision: 12 })),
        pin("document", &published(whole)),
        pin("document without services", &published(least)),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}

fn record(report: Option<GossipedReport>) -> ViewRecord {
    ViewRecord { searcher: SearcherId(9), report, leaving: true, version: 300, origin: SENDER }
}

#[test]
fn searcher_views_are_pinned() {
    let snapshots = vec![Snapshot { version: 7, epoch: 300, build: 70_000 }];
    let report = GossipedReport { incarnation: SearcherIncarnation(77), snapshots };
    let records = vec![record(Some(report)), record(None)];
    let versions = vec![ViewVersion { searcher: SearcherId(9), version: 300 }];
    let pins = [
        pin("views", &views(ViewMessage::Updates { records })),
        pin("views compare", &views(ViewMessage::Compare { fingerprints: vec![1, 1 << 40] })),
        pin("views versions", &views(ViewMessage::Versions { buckets: vec![3, 63], versions })),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}

#[test]
fn session_copy_messages_are_pinned() {
    let token = TOKEN;
    let copy = SessionCopy { version: 4, holder: SENDER, state: vec![1, 2, 255] };
    let pins = [
        pin("store", &session_copy(SessionCopyMessage::Store { token, copy: copy.clone() })),
        pin("stored", &session_copy(SessionCopyMessage::Stored { token, version: 4, is_overtaken: true })),
        pin("fetch", &session_copy(SessionCopyMessage::Fetch { token, ask: 8 })),
        pin("fetched", &session_copy(SessionCopyMessage::Fetched { token, ask: 8, copy: Some(copy) })),
        pin("fetched nothing", &session_copy(SessionCopyMessage::Fetched { token, ask: 8, copy: None })),
        pin("forget", &session_copy(SessionCopyMessage::Forget { token })),
        pin("moved", &session_copy(SessionCopyMessage::Moved { token })),
        pin("await replication", &session_copy(SessionCopyMessage::AwaitReplication)),
        pin("replicated", &session_copy(SessionCopyMessage::Replicated)),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}
