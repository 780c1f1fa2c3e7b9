//! Costs of the engine and of the whole path.

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use staircross_config::Priority;
use staircross_lab::demo::CLAUSES;
use staircross_lab::experiment::slopes::{FAN_OUT, prepared_root, time_one_request};
use staircross_lab::fleet::{Fleet, FleetPlan, ServicePlan, search_policy};
use staircross_node::api::ReplyBody;
use staircross_standin::Corpus;
use std::time::Duration;

/// Decisions of a root for one request to 940 shards, each on searchers of its own.
fn root_request(criterion: &mut Criterion) {
    let (mut root, session) = prepared_root(FAN_OUT);
    let mut sequence = 0;
    criterion.bench_function("root_request_940_shards", |bencher| {
        bencher.iter_custom(|count| {
            (0..count)
                .map(|_| {
                    sequence += 1;
                    time_one_request(&mut root, session, sequence)
                })
                .sum()
        });
    });
}

/// One search through caller, node, four searchers and back, over real loopback connections.
fn whole_path(criterion: &mut Criterion) {
    let corpus = Corpus::parse("clauses", CLAUSES).expect("the shipped corpus is well-formed");
    let plan = FleetPlan {
        services: vec![ServicePlan {
            name: "clauses",
            policy: search_policy(2000, 1000, Priority::Coverage),
            searchers: 4,
            shards: 64,
            replicas: 2,
            corpus,
            work: Duration::ZERO,
        }],
        zones: vec!["z0"],
        nodes: 1,
        log: "off".to_owned(),
    };
    let fleet = Fleet::start(plan).expect("the fleet starts");
    let client = fleet.client(0);
    let session = client.open_session().expect("a session opens");
    criterion.bench_function("whole_path_64_shards", |bencher| {
        bencher.iter_batched(
            || (),
            |()| {
                let reply = client.query(session, "SEARCH 'audit notice' IN SERVICE clauses LIMIT 10");
                let reply = reply.expect("the node replies");
                assert!(matches!(&reply.body, ReplyBody::Answer(answer) if answer.shards_included == 64));
            },
            BatchSize::PerIteration,
        );
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(30).measurement_time(Duration::from_secs(5));
    targets = root_request, whole_path
}
criterion_main!(benches);
