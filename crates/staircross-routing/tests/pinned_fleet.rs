//! The engine's decisions about quotas, API keys, restarts, and requests that arrive before the configuration or the
//! searchers are known. They are compared with snapshots, as in `pinned_decisions.rs`.

mod common;
mod pinned;

use common::{definition, gather, route, searcher, settings};
use pinned::world::{START, World};
use staircross_quota::QuotaBound;
use staircross_routing::{
    Arrival, ConfigurationView, Credential, KeyDigest, RoutingDefinition, RoutingEvent, RoutingSettings, SearcherEntry,
    TenantDefinition,
};
use staircross_types::{NodeId, Quota};
use std::sync::Arc;
use std::time::Duration;

const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];

/// Leaves an arrival unchanged, for traffic without special properties.
fn unchanged(_: &mut Arrival, _: usize) {}

/// Returns the entries of two searchers for each shard.
fn searcher_entries(slots: u32) -> Vec<SearcherEntry> {
    let searchers_of =
        |shard: &str| ["x", "y"].map(|copy| SearcherEntry { slots, ..searcher(&format!("{shard}{copy}"), shard, "a") });
    SHARDS.iter().flat_map(|shard| searchers_of(shard)).collect()
}

fn settings_for_many_requests() -> RoutingSettings {
    RoutingSettings { max_requests: 100_000, ..settings() }
}

fn key_of(tenant: &str) -> KeyDigest {
    KeyDigest::of(tenant.as_bytes()).expect("a key")
}

fn authenticate_as(arrival: &mut Arrival, tenant: &str) {
    arrival.credential = Credential::Key(key_of(tenant));
}

fn tenant(name: &str, quota: Option<Quota>) -> TenantDefinition {
    let allowed_regions = Vec::new();
    TenantDefinition { name: Arc::from(name), keys: vec![key_of(name)], priority: 1, quota, allowed_regions }
}

fn definition_with_tenants(version: u64, tenants: Vec<TenantDefinition>) -> RoutingDefinition {
    RoutingDefinition { tenants, ..definition(version, vec![route("q", gather(&SHARDS, 10, 0.75))], &SHARDS) }
}

fn assert_pinned(scenario: &str, world: &World) {
    insta::assert_snapshot!(scenario, world.journal.table(scenario));
}

const NODES: [NodeId; 3] = [NodeId(11), NodeId(12), NodeId(13)];

/// Returns the world of one node of a fleet of three. Two of its three tenants exceed their quotas from second 3 to
/// second 11.
fn world_of_quota_node(node: NodeId) -> World {
    let quota = QuotaBound { window: Duration::from_secs(5), over: 0.25, slack: 20.0 };
    let tenants = ["t1", "t2", "t3"].map(|name| tenant(name, Some(Quota { rate_per_s: 20.0, burst: 10.0 })));
    let settings = RoutingSettings { node, quota, ..settings_for_many_requests() };
    let mut world = World::new(settings, Some(definition_with_tenants(1, tenants.to_vec())), searcher_entries(5));
    let nodes_by_zone = [(Arc::from("a"), NODES.len())].into_iter().collect();
    let nodes = Some(NODES.to_vec());
    world.event(RoutingEvent::Fleet { nodes_by_zone, serving: NODES.len(), rank: Some(0), slack_share: 1.0, nodes });
    world.offer((0.0, 14_000.0), 12.0, "/q/1", |arrival, number| {
        authenticate_as(arrival, ["t1", "t2", "t3"][number % 3])
    });
    world.offer((3000.0, 11_000.0), 50.0, "/q/2", |arrival, number| {
        authenticate_as(arrival, ["t1", "t1", "t2"][number % 3])
    });
    world
}

#[test]
fn quotas_of_three_nodes_of_which_one_falls_silent() {
    let mut worlds = NODES.map(world_of_quota_node);
    for now in (10..=16_000).step_by(10) {
        let mut messages_sent = Vec::new();
        for (from, world) in NODES.into_iter().zip(&mut worlds) {
            world.run(now);
            messages_sent.extend(world.outbox.drain(..).map(|(to, messages)| (from, to, messages)));
        }
        for (from, to, messages) in messages_sent {
            // From second 6 to second 9, quota messages from and to the second node are lost.
            let is_silent = (6000..9000).contains(&now) && (from == NODES[1] || to == NODES[1]);
            let receiver = NODES.iter().position(|node| *node == to).expect("the receiver is a node of the fleet");
            if !is_silent {
                worlds[receiver].event(RoutingEvent::PeerQuota { from, messages });
            }
        }
    }
    for (scenario, world) in ["quotas_1", "quotas_2", "quotas_3"].into_iter().zip(&worlds) {
        assert_pinned(scenario, world);
    }
}

#[test]
fn requests_that_come_before_configuration_or_searchers_are_known() {
    let mut world = World::new(settings_for_many_requests(), None, Vec::new());
    world.offer((0.0, 700.0), 200.0, "/q/1", unchanged);
    world.offer((900.0, 1500.0), 200.0, "/q/1", |arrival, _| arrival.knows_searchers = false);
    world.offer((1600.0, 3000.0), 200.0, "/new/1", |arrival, number| {
        arrival.newest_version = 2 + number as u64 % 2;
        arrival.caller_timeout = (number % 4 == 0).then_some(Duration::from_millis(400));
    });
    world.offer((1600.0, 6000.0), 200.0, "/q/1", |arrival, number| {
        let views = [ConfigurationView::Current, ConfigurationView::Doubtful, ConfigurationView::Expired];
        arrival.configuration_view = views[number % 3];
        authenticate_as(arrival, ["t1", "t2"][number % 2]);
        arrival.newest_version = number as u64 % 4;
    });
    world.at(600.0, |world| world.configure(definition(1, vec![route("q", gather(&SHARDS, 10, 0.75))], &SHARDS)));
    world.at(1200.0, |world| world.start(searcher_entries(5)[..4].to_vec()));
    world.at(1300.0, |world| world.start(searcher_entries(5)[4..].to_vec()));
    world.at(2200.0, |world| {
        let mut newer = definition_with_tenants(2, vec![tenant("t1", None)]);
        newer.routes.push(route("new", gather(&SHARDS[..2], 10, 0.5)));
        world.configure(newer);
    });
    world.at(4000.0, |world| world.configure(definition_with_tenants(3, vec![tenant("t1", None), tenant("t2", None)])));
    world.run(9000);
    assert_pinned("holds", &world);
}

#[test]
fn keys_revoked_while_their_requests_wait() {
    let tenants = |names: &[&str]| names.iter().map(|name| tenant(name, None)).collect::<Vec<_>>();
    let mut world = World::new(
        settings_for_many_requests(),
        Some(definition_with_tenants(1, tenants(&["t1", "t2", "t3"]))),
        searcher_entries(2),
    );
    for searcher in world.searchers.values_mut() {
        searcher.connect_ms = 15;
        searcher.slowness = 3.0;
    }
    world
        .offer((0.0, 6000.0), 60.0, "/q/1", |arrival, number| authenticate_as(arrival, ["t1", "t2", "t3"][number % 3]));
    for (at, version, names) in [(1500.0, 2, &["t1", "t3"][..]), (2500.0, 3, &["t3"]), (4000.0, 4, &["t1", "t2", "t3"])]
    {
        let tenants = tenants(names);
        world.at(at, move |world| world.configure(definition_with_tenants(version, tenants)));
    }
    world.run(9000);
    assert_pinned("revoked_keys", &world);
}

#[test]
fn connections_and_hedges_of_a_restarted_node() {
    let settings = RoutingSettings { restarted_at: Some(START), ..settings_for_many_requests() };
    let mut definition = definition(1, vec![route("q", gather(&SHARDS, 10, 0.75))], &SHARDS);
    definition.services.iter_mut().for_each(|service| service.max_connections = 40);
    let mut world = World::new(settings, Some(definition), searcher_entries(5));
    let nodes_by_zone = [(Arc::from("a"), 4)].into_iter().collect();
    world.event(RoutingEvent::Fleet { nodes_by_zone, serving: 4, rank: Some(2), slack_share: 0.25, nodes: None });
    for instance in ["s0x", "s2y"] {
        world.searchers.get_mut(instance).expect("started").slowness = 9.0;
    }
    world.offer((0.0, 7000.0), 110.0, "/q/1", unchanged);
    world.run(10_000);
    assert_pinned("restarted", &world);
}
