//! A tenant's quota limits all nodes together: the messages between the engines make requests that one node admits
//! count at the others.

mod common;

use common::{Driver, definition, settings};
use staircross_quota::QuotaBound;
use staircross_routing::configuration::tenants::TenantDefinition;
use staircross_routing::engine::RoutingEvent;
use staircross_routing::recording::{RecordedSettings, Replay};
use staircross_routing::{RoutingDefinition, RoutingSettings};
use staircross_types::{BootTime, NodeId, Quota};
use std::collections::HashMap as StdHashMap;
use std::sync::Arc;
use std::time::Duration;

const NODES: [NodeId; 2] = [NodeId(11), NodeId(12)];
const STEP: Duration = Duration::from_millis(10);
const RATE: f64 = 10.0;

fn with_tenant() -> RoutingDefinition {
    let quota = Some(Quota { rate_per_s: RATE, burst: 5.0 });
    let name = Arc::from("t");
    let tenant = TenantDefinition { name, keys: Vec::new(), priority: 0, quota, allowed_regions: Vec::new() };
    RoutingDefinition { tenants: vec![tenant], ..definition(1, Vec::new(), &[]) }
}

fn node_settings(node: NodeId) -> RoutingSettings {
    let quota = QuotaBound { window: Duration::from_secs(5), over: 0.25, slack: 20.0 };
    RoutingSettings { node, quota, ..settings() }
}

/// Returns two engines that share the quota of one tenant.
fn two_nodes() -> Vec<Driver> {
    let driver = |node| {
        let mut driver = Driver::with_settings(node_settings(node), with_tenant(), Vec::new());
        driver.set_fleet_nodes(&NODES);
        driver
    };
    NODES.map(driver).into_iter().collect()
}

/// Advances the clock by one step and delivers the engines' messages to each other, unless the nodes are cut off.
fn step(nodes: &mut [Driver], is_cut: bool) {
    let mut in_transit = Vec::new();
    for (index, driver) in nodes.iter_mut().enumerate() {
        driver.advance(STEP);
        let envelopes = std::mem::take(&mut driver.quota_messages);
        in_transit.extend(envelopes.into_iter().map(|(to, messages)| (NODES[index], to, messages)));
    }
    for (from, to, messages) in in_transit.into_iter().filter(|_| !is_cut) {
        let receiver = NODES.iter().position(|node| *node == to).expect("the receiver is a node of the fleet");
        nodes[receiver].event(RoutingEvent::PeerQuota { from, messages });
    }
}

/// Offers one request of the tenant in each step, to both nodes in turn. Returns the number admitted in each second.
fn offer(nodes: &mut [Driver], seconds: usize, is_cut: bool) -> Vec<usize> {
    let tenant: Arc<str> = Arc::from("t");
    let mut admitted = vec![0; seconds];
    for count in 0..seconds * 100 {
        step(nodes, is_cut);
        let driver = &mut nodes[count % 2];
        let taken = driver.engine.take_quota_token(driver.now, &tenant);
        admitted[count / 100] += usize::from(taken.is_ok());
    }
    admitted
}

#[test]
fn a_tenant_that_asks_ten_times_its_rate_of_two_nodes_gets_its_rate() {
    let mut nodes = two_nodes();
    let admitted = offer(&mut nodes, 8, false);
    let settled: usize = admitted[3..].iter().sum();
    // In five seconds, the rate, half of the burst and a tenth of the permitted excess add up to 56.
    assert!((51..=61).contains(&settled), "{admitted:?}");
    assert!(nodes.iter().any(|driver| driver.quota_changes.iter().any(|change| change.is_limited)));
    assert!(nodes.iter().all(|driver| driver.engine.counters.over_quota > 0));
}

#[test]
fn nodes_that_are_cut_off_from_each_other_keep_the_bound_together() {
    let mut nodes = two_nodes();
    offer(&mut nodes, 2, false);
    let admitted = offer(&mut nodes, 5, true);
    let most = (RATE * 5.0 + 5.0) * 1.25 + 20.0;
    assert!((admitted.iter().sum::<usize>() as f64) < most, "{admitted:?}");
    assert!(admitted.iter().all(|count| *count > 0), "{admitted:?}");
}

#[test]
fn refused_requests_are_told_other_times_to_come_back() {
    let mut nodes = two_nodes();
    offer(&mut nodes, 3, false);
    let tenant: Arc<str> = Arc::from("t");
    let driver = &mut nodes[0];
    let refused = (0..50).filter_map(|_| driver.engine.take_quota_token(driver.now, &tenant).err());
    let times: StdHashMap<u128, usize> = refused.fold(StdHashMap::new(), |mut times, delay| {
        *times.entry(delay.as_millis() / 100).or_default() += 1;
        times
    });
    assert!(times.len() > 10 && times.keys().all(|tenths| (2..=100).contains(tenths)), "{times:?}");
}

#[test]
fn what_peers_tell_of_quotas_is_recorded_and_plays_again() {
    let mut nodes = two_nodes();
    offer(&mut nodes, 2, false);
    let driver = &mut nodes[1];
    let recorded = RecordedSettings::new("n", &node_settings(NODES[1]));
    let mut replay = Replay::new(&recorded);
    let differences: Vec<_> = driver.turns.iter().cloned().flat_map(|turn| replay.play(turn)).collect();
    assert_eq!(differences, Vec::new());
    assert!(driver.now > BootTime(0) && replay.turns > 100);
}
