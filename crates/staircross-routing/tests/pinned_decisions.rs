//! The engine's decisions in scenarios of several seconds, one for each kind of trouble, pinned as digests of all its
//! actions by kind.
//!
//! Any change of a rule, a constant or the order of random draws changes a digest. To find the first line that differs,
//! run a scenario before and after the change with `PINNED_LINES` set to two different directories, and compare the
//! files.

mod common;
mod pinned;

use common::{definition, gather, route, searcher, settings, weighted};
use pinned::journal::Journal;
use pinned::world::{START, World};
use staircross_routing::decision::admission::Admission;
use staircross_routing::{
    Arrival, CallerLink, CaseRecord, ColdStart, ContentKey, Credential, KeyDigest, LostAttempt, RouteDefinition,
    RouteDigest, RouteTarget, RoutingDefinition, RoutingEvent, RoutingSettings, SearcherEntry, TenantDefinition,
};
use staircross_routing::{InstanceKey, decision::quarantine::Quarantine};
use staircross_types::Quota;
use std::sync::Arc;
use std::time::Duration;

const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];
/// Searchers of each shard: the suffix of the searcher's id, and its zone.
const COPIES: [(&str, &str); 3] = [("x", "a"), ("y", "b"), ("z", "c")];

/// Leaves an arrival as it is.
fn unchanged(_: &mut Arrival, _: usize) {}

fn entries(shards: &[&str], copies: &[(&str, &str)], slots: u32) -> Vec<SearcherEntry> {
    let of = |shard: &str| {
        let one =
            |(copy, zone): &(&str, &str)| SearcherEntry { slots, ..searcher(&format!("{shard}{copy}"), shard, zone) };
        copies.iter().map(one).collect::<Vec<_>>()
    };
    shards.iter().flat_map(|shard| of(shard)).collect()
}

fn settings_for_many_requests() -> RoutingSettings {
    RoutingSettings { max_requests: 100_000, ..settings() }
}

fn gather_with_priority(name: &str, priority: u32) -> RouteDefinition {
    RouteDefinition { priority, ..route(name, gather(&SHARDS, 10, 0.75)) }
}

fn single_service_route(name: &str, service: &str) -> RouteDefinition {
    route(name, RouteTarget::Service(Arc::from(service)))
}

fn restricted_to(regions: &[&str], route: RouteDefinition) -> RouteDefinition {
    RouteDefinition { allowed_regions: regions.iter().map(|region| Arc::from(*region)).collect(), ..route }
}

fn key_of(tenant: &str) -> KeyDigest {
    KeyDigest::of(tenant.as_bytes()).expect("a key")
}

fn tenant(name: &str, quota: Option<Quota>) -> TenantDefinition {
    let allowed_regions = Vec::new();
    TenantDefinition { name: Arc::from(name), keys: vec![key_of(name)], priority: 1, quota, allowed_regions }
}

fn authenticate_as(arrival: &mut Arrival, tenant: &str) {
    arrival.credential = Credential::Key(key_of(tenant));
}

fn assert_pinned(scenario: &str, world: &World) {
    insta::assert_snapshot!(scenario, world.journal.table(scenario));
}

#[test]
fn admission_under_overload_of_routes_of_several_ranks() {
    let routes =
        vec![gather_with_priority("high", 0), gather_with_priority("usual", 1), gather_with_priority("low", 3)];
    let mut world = World::new(
        settings_for_many_requests(),
        Some(definition(1, routes, &SHARDS)),
        entries(&SHARDS, &COPIES[..2], 2),
    );
    world.offer((0.0, 26_000.0), 15.0, "/high/1", unchanged);
    world.offer((0.0, 26_000.0), 30.0, "/usual/1", unchanged);
    world.offer((0.0, 26_000.0), 15.0, "/low/1", unchanged);
    world.offer((4000.0, 10_000.0), 230.0, "/usual/1", unchanged);
    world.offer((14_000.0, 17_000.0), 500.0, "/low/1", unchanged);
    world.offer((18_000.0, 19_000.0), 20.0, "/usual/1", |arrival, _| arrival.is_overloaded = true);
    world.run(30_000);
    assert_pinned("admission", &world);
}

#[test]
fn shares_of_tenants_of_which_one_asks_for_much() {
    let names = ["greedy", "t1", "t2", "t3", "t4"];
    let tenants = names.map(|name| tenant(name, None)).to_vec();
    let definition = RoutingDefinition { tenants, ..definition(1, vec![gather_with_priority("q", 1)], &SHARDS) };
    let mut world = World::new(settings_for_many_requests(), Some(definition), entries(&SHARDS, &COPIES[..2], 2));
    world.offer((0.0, 16_000.0), 70.0, "/q/1", |arrival, number| {
        authenticate_as(arrival, ["t1", "t2", "t3", "t4", "t4"][number % 5])
    });
    world.offer((4000.0, 14_000.0), 260.0, "/q/2", |arrival, _| authenticate_as(arrival, "greedy"));
    world.run(20_000);
    assert_pinned("fair_shares", &world);
}

#[test]
fn requests_to_searchers_that_have_just_started() {
    let mut definition = definition(1, vec![gather_with_priority("q", 1)], &SHARDS);
    for service in &mut definition.services {
        service.cold_start = ColdStart { duration_ms: 4000, requests_per_s: Some(40.0) };
    }
    let settings = RoutingSettings {
        cold: staircross_routing::ColdBound { factor: 1.2, slack: 3.0 },
        ..settings_for_many_requests()
    };
    let mut world = World::new(settings, Some(definition), entries(&SHARDS, &COPIES[..1], 5));
    set_fleet(&mut world, 1, Some(0));
    for (at, copy, nodes) in [(1500.0, "k", 3), (4000.0, "l", 5), (6500.0, "m", 40)] {
        world.at(at, move |world| {
            set_fleet(world, nodes, Some(nodes / 2));
            let cold = entries(&SHARDS, &[(copy, "a")], 5).into_iter();
            world.start(cold.map(|entry| SearcherEntry { cold_ms: 4000, ..entry }).collect());
        });
    }
    world.at(9000.0, |world| set_fleet(world, 40, None));
    world.offer((0.0, 12_000.0), 90.0, "/q/1", unchanged);
    world.run(15_000);
    assert_pinned("cold_starts", &world);
}

fn set_fleet(world: &mut World, serving: usize, rank: Option<usize>) {
    let nodes_by_zone = [("a", serving.div_ceil(3)), ("b", serving / 3)];
    let nodes_by_zone = nodes_by_zone.into_iter().map(|(zone, count)| (Arc::from(zone), count)).collect();
    let slack_share = 1.0 / serving as f64;
    world.event(RoutingEvent::Fleet { nodes_by_zone, serving, rank, slack_share, nodes: None });
}

/// Shards of the scenario of quarantine.
const TEN_SHARDS: [&str; 10] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"];

#[test]
fn suspicion_trials_quarantine_and_first_probes() {
    let all = RouteDefinition { max_attempts: 3, ..route("all", gather(&TEN_SHARDS, 3, 0.8)) };
    let one = RouteDefinition { max_attempts: 3, ..single_service_route("one", "s0") };
    let copies_in_two_zones = [("x", "a"), ("y", "a"), ("z", "b")];
    let mut world = World::new(
        settings_for_many_requests(),
        Some(definition(1, vec![all, one], &TEN_SHARDS)),
        entries(&TEN_SHARDS, &copies_in_two_zones, 5),
    );
    world.crashing_contents.extend([1, 2, 3]);
    world.offer((0.0, 45_000.0), 15.0, "/all/1", |arrival, number| {
        arrival.content = ContentKey(1000 + number as u64 / 2)
    });
    world.offer((0.0, 45_000.0), 8.0, "/one/1", unchanged);
    for (at, content) in [(2000.0, 1), (2010.0, 1), (2700.0, 1), (8000.0, 2), (8600.0, 2), (9000.0, 2)] {
        world.at(at, move |world| send_crashing_content(world, "/all/2", content));
    }
    for at in [30_000.0, 30_200.0, 30_900.0] {
        world.at(at, |world| send_crashing_content(world, "/one/2", 3));
    }
    for (at, instance) in [(14_000.0, "s4x"), (14_200.0, "s5y"), (14_400.0, "s4y")] {
        world.at(at, |world| world.crash(instance));
    }
    world.at(25_000.0, |world| world.event(RoutingEvent::PeerCases(peer_case_records(world, 1500))));
    world.at(25_600.0, |world| world.event(RoutingEvent::PeerCases(peer_case_records(world, 1501))));
    world.run(50_000);
    assert_pinned("quarantine", &world);
}

fn send_crashing_content(world: &mut World, path: &str, content: u64) {
    let arrival = world.arrival(path);
    world.arrive(Arrival { content: ContentKey(content), ..arrival });
}

/// Returns the records of a peer that has just lost three searchers while they ran a content.
fn peer_case_records(world: &World, content: u64) -> Vec<CaseRecord> {
    let mut peer = Quarantine::default();
    let mut at = world.now;
    for number in 0..3 {
        let (content, route) = (ContentKey(content), RouteDigest::of("all"));
        let lost = LostAttempt { content, route, searcher: InstanceKey(number), sent_at: at };
        at = at + Duration::from_millis(30);
        peer.note_lost(at, lost);
    }
    peer.next_records(at)
}

#[test]
fn gathers_over_forty_eight_shards_with_slow_and_failing_searchers() {
    let names: Vec<String> = (0..48).map(|number| format!("g{number:02}")).collect();
    let shards: Vec<&str> = names.iter().map(String::as_str).collect();
    let wide = route("wide", gather(&shards, 10, 0.9));
    let mut world = World::new(
        settings_for_many_requests(),
        Some(definition(1, vec![wide], &shards)),
        entries(&shards, &COPIES, 5),
    );
    for (number, shard) in names.iter().enumerate() {
        world.searchers.get_mut(&format!("{shard}y")).expect("started").failure_fraction =
            if number % 9 == 0 { 0.2 } else { 0.0 };
        world.searchers.get_mut(&format!("{shard}x")).expect("started").slowness = 1.0 + (number % 5) as f64 / 10.0;
    }
    for (at, instance, slowness) in [(1000.0, "g03x", 12.0), (2000.0, "g17x", 30.0), (2500.0, "g17y", 30.0)] {
        world.at(at, move |world| world.searchers.get_mut(instance).expect("started").slowness = slowness);
    }
    world.at(2600.0, |world| world.searchers.get_mut("g17z").expect("started").slowness = 30.0);
    world.offer((0.0, 5000.0), 30.0, "/wide/1", |arrival, number| {
        let round_trip = [None, Some(Duration::from_millis(20)), Some(Duration::from_millis(70))][number % 3];
        arrival.link = CallerLink { round_trip, is_new_connection: number % 2 == 0 };
        arrival.waited = Duration::from_millis(number as u64 % 7);
        arrival.caller_timeout = (number % 10 == 9).then_some(Duration::from_millis(300));
    });
    world.run(8000);
    assert_pinned("wide_gathers", &world);
}

#[test]
fn searchers_that_reject_part_of_their_work_or_answer_with_failures() {
    let once = RouteDefinition { is_idempotent: false, ..single_service_route("once", "s1") };
    let routes = vec![single_service_route("one", "s0"), once, gather_with_priority("q", 1)];
    let mut world =
        World::new(settings_for_many_requests(), Some(definition(1, routes, &SHARDS)), entries(&SHARDS, &COPIES, 3));
    world.searchers.get_mut("s0x").expect("started").slowness = 25.0;
    world.searchers.get_mut("s0y").expect("started").failure_fraction = 0.3;
    world.searchers.get_mut("s1x").expect("started").failure_fraction = 0.2;
    world.at(3000.0, |world| world.searchers.get_mut("s1y").expect("started").slowness = 25.0);
    world.at(6000.0, |world| world.searchers.get_mut("s0x").expect("started").slowness = 1.0);
    world.offer((0.0, 10_000.0), 120.0, "/one/1", unchanged);
    world.offer((0.0, 10_000.0), 100.0, "/once/1", unchanged);
    world.offer((0.0, 10_000.0), 40.0, "/q/1", unchanged);
    (0..60).for_each(|count| world.at(1000.0 + 130.0 * f64::from(count), |world| world.disconnect_newest_callers(3)));
    world.run(14_000);
    assert_pinned("rejections", &world);
}

#[test]
fn shards_that_wait_for_connections_room_or_budget() {
    let mut settings = settings_for_many_requests();
    settings.extra.slack = 4.0;
    let routes = vec![gather_with_priority("q", 1), single_service_route("one", "s0")];
    let mut definition = definition(1, routes, &SHARDS);
    definition.services[2].max_connections = 6;
    let mut world = World::new(settings, Some(definition), entries(&SHARDS, &COPIES[..2], 3));
    for searcher in world.searchers.values_mut() {
        searcher.connect_ms = 4;
        searcher.max_connections = 9;
    }
    world.offer((0.0, 12_000.0), 70.0, "/q/1", unchanged);
    world.offer((0.0, 12_000.0), 30.0, "/one/1", unchanged);
    world.offer((7000.0, 7400.0), 400.0, "/one/1", unchanged);
    for (from, until, instance) in [(2000.0, 2600.0, "s0x"), (2100.0, 2500.0, "s0y"), (4000.0, 5500.0, "s1y")] {
        world.at(from, move |world| world.searchers.get_mut(instance).expect("started").is_reachable = false);
        world.at(until, move |world| world.searchers.get_mut(instance).expect("started").is_reachable = true);
    }
    for (at, connect_ms) in [(8000.0, 130), (8600.0, 4)] {
        world.at(at, move |world| world.searchers.get_mut("s3x").expect("started").connect_ms = connect_ms);
    }
    for (at, connections) in [(9000.0, 0), (10_000.0, 2), (11_000.0, 9)] {
        for instance in ["s2x", "s2y"] {
            world
                .at(at, move |world| world.searchers.get_mut(instance).expect("started").max_connections = connections);
        }
    }
    world.run(16_000);
    assert_pinned("waiting", &world);
}

#[test]
fn evacuated_zones_and_regions_that_routes_and_tenants_allow() {
    let public = RouteDefinition { is_public: true, ..gather_with_priority("p", 1) };
    let routes = vec![
        restricted_to(&["north"], gather_with_priority("n", 1)),
        restricted_to(&["south"], gather_with_priority("s", 1)),
        gather_with_priority("q", 1),
        public,
    ];
    let southern = TenantDefinition { allowed_regions: vec![Arc::from("south")], ..tenant("southern", None) };
    let tenants = vec![southern, tenant("t1", None)];
    let definition = RoutingDefinition { tenants, ..definition(1, routes, &SHARDS) };
    let mut world = World::new(settings_for_many_requests(), Some(definition), entries(&SHARDS, &COPIES, 4));
    for path in ["/n/1", "/s/1", "/q/1"] {
        world.offer((0.0, 9000.0), 30.0, path, |arrival, number| {
            authenticate_as(arrival, ["southern", "t1"][number % 2])
        });
    }
    world.offer((0.0, 9000.0), 5.0, "/q/1", |arrival, number| {
        arrival.credential = [Credential::Missing, Credential::Malformed, Credential::Key(key_of("none"))][number % 3];
    });
    world.offer((0.0, 9000.0), 5.0, "/p/1", unchanged);
    for (at, zones) in [(2000.0, &["a"][..]), (4000.0, &["a", "b"]), (5500.0, &["c"]), (7000.0, &[])] {
        let zones: Vec<Arc<str>> = zones.iter().map(|zone| Arc::from(*zone)).collect();
        world.at(at, move |world| world.event(RoutingEvent::Evacuated(zones)));
    }
    world.at(6000.0, |world| {
        let entry = SearcherEntry { is_draining: true, ..world.searchers["s1x"].entry.clone() };
        world.event(RoutingEvent::Searchers(vec![entry]));
        world.event(RoutingEvent::SearchersGone(vec![Arc::from("s2x"), Arc::from("s2y")]));
    });
    world.run(12_000);
    assert_pinned("places", &world);
}

#[test]
fn weighted_sets_whose_weights_change() {
    let set = |weights: [u32; 3]| weighted(&[("s0", weights[0]), ("s1", weights[1]), ("s2", weights[2])]);
    let definition = move |version, weights| definition(version, vec![route("w", set(weights))], &SHARDS);
    let mut world =
        World::new(settings_for_many_requests(), Some(definition(1, [5, 3, 0])), entries(&SHARDS, &COPIES, 3));
    for (at, version, weights) in
        [(2000.0, 2, [1, 8, 4]), (4000.0, 3, [0, 0, 7]), (5000.0, 4, [0, 0, 0]), (5500.0, 5, [2, 2, 2])]
    {
        world.at(at, move |world| world.configure(definition(version, weights)));
    }
    world.searchers.get_mut("s1x").expect("started").slowness = 10.0;
    world.offer((0.0, 8000.0), 200.0, "/w/1", unchanged);
    world.run(11_000);
    assert_pinned("weighted", &world);
}

#[test]
fn levels_that_follow_from_waits_alone() {
    let (mut journal, mut admission) = (Journal::default(), Admission::default());
    let tolerable = Duration::from_millis(40);
    for step in 0..400_u32 {
        let now = START + Duration::from_millis(250) * step;
        let wait = tolerable.mul_f64([0.1, 9.0, 0.5, 2.0, 0.0][step as usize / 80]);
        admission.evaluate(now, wait, tolerable);
        journal.record(now, "level", &admission.level().to_string());
    }
    insta::assert_snapshot!("admission_levels", journal.table("admission_levels"));
}
