//! Measures the slopes that capacity is planned from. Each figure comes from several runs.

use super::process::{allocated_bytes, cpu_time};
use crate::sim::oracle::simulated_hit;
use staircross_capacity::{Slope, Slopes};
use staircross_config::{SearcherDefinition, ServiceDefinition, ServicePolicy};
use staircross_search::view::Evidence;
use staircross_search::{
    LeafAction, LeafEngine, LeafEvent, LeafSettings, RootAction, RootEngine, RootEvent, RootSettings, SearcherView,
    SessionTable, SubOutcome, SubReply, SubRequest, Submission, Work,
};
use staircross_types::{
    BootTime, GroupId, NodeId, RequestId, SearchQuery, SearcherId, SearcherIncarnation, ServiceName, SessionToken,
    ShardHits, ShardId, ShardMap, ShardPlacement, Snapshot, Ticket, ZoneName,
};
use staircross_wire::PeerMessage;
use staircross_wire::frame::{decode, encode};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

const RUNS: u32 = 3;
const SNAPSHOT: Snapshot = Snapshot { version: 1, epoch: 1, build: 1 };
const NODE: NodeId = NodeId(1);
/// Fan-out of the users' aim.
pub const FAN_OUT: u32 = 940;
/// Requests per run of the engine measurements.
const REQUESTS: u64 = 300;

/// Measures everything.
pub fn run() -> Slopes {
    let runs = |measure: &dyn Fn(u32) -> f64| Slope::of((0..RUNS).map(measure).collect());
    Slopes {
        runs: RUNS,
        root_ns_per_sub_query: runs(&|_| root_ns_per_sub_query()),
        leaf_ns_per_sub_query: runs(&|_| leaf_ns_per_sub_query()),
        peer_bytes_per_sub_query: runs(&|_| peer_bytes() as f64),
        peer_ns_per_sub_query: runs(&|_| peer_ns()),
        http_us_per_call: runs(&|_| super::http_cost::http_us_per_call()),
        session_copy_bytes: runs(&|_| session_copy_bytes() as f64),
        session_bytes: runs(&|_| session_bytes()),
    }
}

fn service(shards: u32) -> Arc<ServiceDefinition> {
    let searchers = (0..shards * 2).map(|id| SearcherDefinition {
        id: SearcherId(id),
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::new("z"),
        group: GroupId(id / 4),
        slots: 5,
        connections: 65,
    });
    let place = |shard: u32| ShardPlacement {
        shard: ShardId(shard),
        replicas: vec![SearcherId(shard * 2), SearcherId(shard * 2 + 1)],
    };
    Arc::new(ServiceDefinition {
        name: ServiceName::new("s"),
        policy: ServicePolicy::default(),
        searchers: searchers.collect(),
        shard_maps: vec![ShardMap { snapshot: SNAPSHOT, shards: (0..shards).map(place).collect() }],
    })
}

fn evidence(id: u32) -> Evidence {
    Evidence { incarnation: SearcherIncarnation(u128::from(id)), snapshots: vec![SNAPSHOT], draining: false }
}

fn reply_to(request: &SubRequest) -> SubReply {
    let hits =
        |shard: &ShardId| ShardHits { shard: *shard, matched: 1, hits: vec![simulated_hit("1.1.1", *shard, "term")] };
    let outcome = SubOutcome::Found(request.shards.iter().map(hits).collect());
    SubReply {
        attempt: request.attempt,
        searcher: request.searcher,
        snapshot: request.snapshot,
        outcome,
        worked: Default::default(),
    }
}

/// A root over `shards` shards, each on two searchers of its own, with a session.
pub fn prepared_root(shards: u32) -> (RootEngine, SessionToken) {
    let mut root = RootEngine::new(NODE, RootSettings::default(), 1);
    let now = BootTime::from_millis(1000);
    let mut actions = Vec::new();
    root.on_event(now, RootEvent::Services(vec![service(shards)]), &mut actions);
    for id in 0..shards * 2 {
        let view = SearcherView { searcher: SearcherId(id), evidence: Some(evidence(id)), leaving: false };
        root.on_event(now, RootEvent::View(view), &mut actions);
    }
    let session = SessionToken(7);
    root.sessions.open(now, session);
    (root, session)
}

/// Runs one request through a root and returns the time that its decisions took.
pub fn time_one_request(root: &mut RootEngine, session: SessionToken, sequence: u64) -> Duration {
    let mut now = BootTime::from_millis(2000 + sequence * 50);
    let mut actions = Vec::new();
    let submission = Submission {
        request: RequestId { node: NODE, sequence },
        session,
        service: ServiceName::new("s"),
        work: Work::Search(SearchQuery { terms: vec!["term".into()], limit: 10, after: None }),
        wait: None,
        least_per_mille: None,
        pinned: None,
        ticket: None,
    };
    let started = Instant::now();
    root.on_event(now, RootEvent::Submit(submission), &mut actions);
    let mut spent = started.elapsed();
    let replies: Vec<SubReply> = actions
        .drain(..)
        .filter_map(|action| match action {
            RootAction::Send(request) => Some(reply_to(&request)),
            _ => None,
        })
        .collect();
    now = now + Duration::from_millis(10);
    let started = Instant::now();
    for reply in replies {
        root.on_event(now, RootEvent::Reply(reply), &mut actions);
    }
    root.on_event(now, RootEvent::Tick, &mut actions);
    spent += started.elapsed();
    let finished = actions.iter().filter(|action| matches!(action, RootAction::Finish { .. })).count();
    assert_eq!(finished, 1, "the request is answered");
    spent
}

fn root_ns_per_sub_query() -> f64 {
    let (mut root, session) = prepared_root(FAN_OUT);
    (1..=20).for_each(|sequence| {
        time_one_request(&mut root, session, sequence);
    });
    let total: Duration = (21..=20 + REQUESTS).map(|sequence| time_one_request(&mut root, session, sequence)).sum();
    total.as_nanos() as f64 / (REQUESTS * u64::from(FAN_OUT)) as f64
}

fn leaf_ns_per_sub_query() -> f64 {
    let owned: BTreeMap<SearcherId, u32> = (0..9).map(|id| (SearcherId(id), 3)).collect();
    let mut leaf = LeafEngine::new(LeafSettings::default());
    let mut actions = Vec::new();
    let mut now = BootTime::from_millis(1000);
    leaf.on_event(now, LeafEvent::Owned(owned), &mut actions);
    now = now + Duration::from_secs(2);
    for id in 0..9 {
        let probed = LeafEvent::Probed { searcher: SearcherId(id), asked_at: now, evidence: Some(evidence(id)) };
        leaf.on_event(now, probed, &mut actions);
    }
    let count = 100_000_u64;
    let requests: Vec<SubRequest> =
        (0..count).map(|sequence| sample_request(sequence, (sequence % 9) as u32)).collect();
    let mut spent = Duration::ZERO;
    for request in requests {
        actions.clear();
        let started = Instant::now();
        leaf.on_event(now, LeafEvent::Request { from: NODE, request }, &mut actions);
        spent += started.elapsed();
        let sent = actions.iter().find_map(|action| match action {
            LeafAction::Send { request, .. } => Some(reply_to(request)),
            _ => None,
        });
        let Some(reply) = sent else {
            continue;
        };
        let started = Instant::now();
        leaf.on_event(now, LeafEvent::Reply { reply, run: None }, &mut actions);
        spent += started.elapsed();
    }
    spent.as_nanos() as f64 / count as f64
}

fn sample_request(sequence: u64, searcher: u32) -> SubRequest {
    SubRequest {
        attempt: staircross_types::AttemptId { request: RequestId { node: NODE, sequence }, attempt: 1 },
        searcher: SearcherId(searcher),
        snapshot: SNAPSHOT,
        shards: vec![ShardId(searcher)],
        work: Work::Search(SearchQuery { terms: vec!["audit".into(), "notice".into()], limit: 10, after: None }),
        remaining: Duration::from_millis(300),
    }
}

fn sample_messages() -> [PeerMessage; 2] {
    let request = sample_request(12345, 17);
    let mut reply = reply_to(&request);
    if let SubOutcome::Found(found) = &mut reply.outcome {
        let hit = found[0].hits[0].clone();
        found[0].hits = vec![hit; 3];
    }
    [PeerMessage::Request { from: NODE, to: NodeId(2), request }, PeerMessage::Reply { to: NODE, reply }]
}

fn peer_bytes() -> usize {
    let frame_prefix = 4;
    sample_messages().iter().map(|message| encode(message).map_or(0, |bytes| bytes.len()) + frame_prefix).sum()
}

fn peer_ns() -> f64 {
    let messages = sample_messages();
    let count = 20_000;
    let started = Instant::now();
    for _ in 0..count {
        for message in &messages {
            let bytes = encode(black_box(message)).unwrap_or_default();
            black_box(decode::<PeerMessage>(&bytes).is_ok());
        }
    }
    started.elapsed().as_nanos() as f64 / f64::from(count)
}

fn filled_session(table: &mut SessionTable, token: SessionToken) {
    let now = BootTime::from_millis(1);
    table.open(now, token);
    if let Some(session) = table.touch(now, token) {
        session.raise_floor(&ServiceName::new("clauses"), SNAPSHOT);
        session.raise_floor(&ServiceName::new("pitches"), SNAPSHOT);
        session.add_ticket(Ticket { node: NODE, serial: 1 });
    }
}

fn session_copy_bytes() -> usize {
    let mut table = SessionTable::new(1);
    let token = SessionToken(1);
    filled_session(&mut table, token);
    table.get(token).map_or(0, |session| encode(session).map_or(0, |bytes| bytes.len()))
}

fn session_bytes() -> f64 {
    let count = 200_000;
    let before = allocated_bytes();
    let mut table = SessionTable::new(count);
    (0..count as u128).for_each(|token| filled_session(&mut table, SessionToken(token)));
    let after = allocated_bytes();
    black_box(&table);
    after.saturating_sub(before) as f64 / count as f64
}

/// Processor time that `work` takes, over all threads of this process.
pub fn cpu_of(work: impl FnOnce()) -> Duration {
    let before = cpu_time();
    work();
    cpu_time() - before
}
