//! Tests which nodes callers are sent to, whichever node answers them.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_gateway::DirectoryQuery;
use staircross_gateway::directory::{Candidate, Directory};
use staircross_types::NodeId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 80))
}

fn candidate(number: u16, zone: &str, region: &str) -> Candidate {
    // Node ids are random in production. Here their order differs from the order of the numbers.
    let node = NodeId(u128::from(number.wrapping_mul(40_503)));
    Candidate { node, addr: addr(number), zone: zone.to_owned(), region: region.to_owned(), load: 1 }
}

/// Returns `per_zone` nodes in each of six zones, which lie in three regions.
fn fleet(per_zone: u16) -> Vec<Candidate> {
    let zones = [("a", "n"), ("b", "m"), ("c", "s"), ("d", "n"), ("e", "m"), ("f", "s")];
    let node = |i: u16| {
        let (zone, region) = zones[usize::from(i % 6)];
        candidate(i, zone, region)
    };
    (0..per_zone * 6).map(node).collect()
}

fn query(zone: &str, region: &str) -> DirectoryQuery {
    DirectoryQuery { host: None, zone: Some(zone.to_owned()), region: Some(region.to_owned()) }
}

fn addresses(directory: &Directory, zone: &str, region: &str) -> BTreeSet<SocketAddr> {
    addresses_within(directory, zone, region, &[])
}

/// Returns the addresses in an answer on requests that may be served only in the allowed regions.
fn addresses_within(directory: &Directory, zone: &str, region: &str, allowed: &[&str]) -> BTreeSet<SocketAddr> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let allowed: Vec<Arc<str>> = allowed.iter().map(|region| Arc::from(*region)).collect();
    directory.addresses_for(&query(zone, region), &allowed, &mut rng).into_iter().collect()
}

fn addresses_of_region(nodes: &[Candidate], region: &str) -> BTreeSet<SocketAddr> {
    nodes.iter().filter(|node| node.region == region).map(|node| node.addr).collect()
}

#[test]
fn callers_whose_region_is_gone_are_sent_to_an_allowed_one() {
    let nodes: Vec<Candidate> = fleet(2).into_iter().filter(|node| node.region != "n").collect();
    let directory = Directory::new(nodes.clone(), None);
    assert_eq!(addresses_within(&directory, "a", "n", &["s"]), addresses_of_region(&nodes, "s"));
    assert_eq!(
        addresses_within(&directory, "a", "n", &["n"]).len(),
        nodes.len(),
        "all nodes, if no allowed region has any"
    );
}

#[test]
fn callers_stay_in_their_own_region_if_others_are_allowed() {
    let nodes = fleet(2);
    let directory = Directory::new(nodes.clone(), None);
    let own: BTreeSet<SocketAddr> = nodes_of_zone(&nodes, "a").map(|node| node.addr).collect();
    assert_eq!(addresses_within(&directory, "a", "n", &["s"]), own);
}

#[test]
fn nodes_outside_the_allowed_regions_do_not_stand_in_for_pressed_ones() {
    let mut nodes = fleet(2);
    nodes.iter_mut().filter(|node| node.zone == "a").for_each(|node| node.load = 100);
    let directory = Directory::new(nodes.clone(), None);
    let answer = addresses_within(&directory, "a", "n", &["s"]);
    assert!(answer.is_disjoint(&addresses_of_region(&nodes, "m")));
    assert!(!answer.is_disjoint(&addresses_of_region(&nodes, "s")));
}

#[test]
fn serving_nodes_are_numbered_alike_everywhere_and_reserves_are_not() {
    let nodes = fleet(50);
    let directory = Directory::new(nodes.clone(), Some(40));
    let ranks: BTreeSet<usize> = nodes.iter().filter_map(|node| directory.serving_rank(node.node)).collect();
    let serving = nodes.len() - directory.reserve_count();
    assert_eq!(ranks, (0..serving).collect());
}

fn nodes_of_zone<'a>(nodes: &'a [Candidate], zone: &'a str) -> impl Iterator<Item = &'a Candidate> {
    nodes.iter().filter(move |node| node.zone == zone)
}

#[test]
fn a_small_fleet_serves_with_all_its_nodes() {
    let nodes = fleet(2);
    let directory = Directory::new(nodes.clone(), Some(40));
    assert_eq!(addresses(&directory, "a", "n"), nodes_of_zone(&nodes, "a").map(|node| node.addr).collect());
    assert_eq!(directory.reserve_count(), 0);
}

#[test]
fn a_fleet_without_shards_serves_with_all_its_nodes() {
    let directory = Directory::new(fleet(50), None);
    assert_eq!(directory.reserve_count(), 0);
    assert_eq!(addresses(&directory, "a", "n").len(), 50);
}

#[test]
fn a_large_fleet_serves_with_as_many_as_the_searchers_connections_allow() {
    for per_zone in [12, 50, 120] {
        let directory = Directory::new(fleet(per_zone), Some(67));
        let serving: usize = directory.serving_by_zone().map(|(_, count)| count).sum();
        assert!((12..=26).contains(&serving), "{serving} of {}", per_zone * 6);
    }
}

#[test]
fn all_nodes_send_callers_to_the_same_ones_in_whatever_order_they_learned_of_them() {
    let nodes = fleet(12);
    let mut reversed = nodes.clone();
    reversed.reverse();
    let (one, other) = (Directory::new(nodes, Some(67)), Directory::new(reversed, Some(67)));
    assert_eq!(addresses(&one, "c", "s"), addresses(&other, "c", "s"));
}

#[test]
fn a_serving_node_that_goes_is_replaced_and_the_others_stay() {
    let nodes = fleet(12);
    let before = addresses(&Directory::new(nodes.clone(), Some(67)), "b", "m");
    let gone = *before.first().expect("some node serves");
    let left: Vec<Candidate> = nodes.into_iter().filter(|node| node.addr != gone).collect();
    let after = addresses(&Directory::new(left, Some(67)), "b", "m");
    assert_eq!(after.len(), before.len());
    assert!(!after.contains(&gone));
    assert_eq!(before.intersection(&after).count(), before.len() - 1);
}

#[test]
fn a_zone_with_a_serving_node_may_lose_it() {
    let mut nodes = fleet(60);
    nodes.push(candidate(900, "small", "n"));
    nodes.push(candidate(901, "small", "n"));
    assert_eq!(addresses(&Directory::new(nodes, Some(10)), "small", "n").len(), 2);
}

#[test]
fn a_load_that_few_can_not_carry_is_spread_over_more() {
    let mut nodes = fleet(12);
    nodes.iter_mut().for_each(|node| node.load = 30);
    let directory = Directory::new(nodes, Some(67));
    assert_eq!(
        addresses(&directory, "a", "n").len(),
        9,
        "12 nodes with a load of 30 % are as much as 9 nodes with 40 %"
    );
}

#[test]
fn a_pressed_node_gets_no_callers_while_others_are_as_near() {
    let mut nodes = fleet(2);
    nodes[0].load = 90;
    let pressed = nodes[0].addr;
    let directory = Directory::new(nodes, Some(40));
    assert!(!addresses(&directory, "a", "n").contains(&pressed));
}

#[test]
fn reserves_join_where_all_serving_nodes_are_pressed() {
    let mut nodes = fleet(12);
    let serving = addresses(&Directory::new(nodes.clone(), Some(67)), "a", "n");
    nodes.iter_mut().filter(|node| serving.contains(&node.addr)).for_each(|node| node.load = 80);
    let directory = Directory::new(nodes.clone(), Some(67));
    let answer = addresses(&directory, "a", "n");
    assert!(!answer.is_empty() && answer.is_disjoint(&serving), "{answer:?}");
    assert!(answer.iter().all(|addr| nodes_of_zone(&nodes, "a").any(|node| node.addr == *addr)));
}

#[test]
fn farther_nodes_with_room_share_the_callers_of_a_zone_that_is_pressed_as_a_whole() {
    let mut nodes = fleet(1);
    nodes[0].load = 90;
    let answer = addresses(&Directory::new(nodes.clone(), Some(40)), "a", "n");
    assert!(answer.contains(&nodes[0].addr));
    assert_eq!(answer.len(), 3);
}

#[test]
fn callers_of_a_zone_without_nodes_are_sent_to_their_region() {
    let nodes: Vec<Candidate> = fleet(12).into_iter().filter(|node| node.zone != "a").collect();
    let directory = Directory::new(nodes.clone(), Some(67));
    let answer = addresses(&directory, "a", "n");
    assert!(!answer.is_empty());
    assert!(answer.iter().all(|addr| nodes_of_zone(&nodes, "d").any(|node| node.addr == *addr)));
}

#[test]
fn an_answer_never_has_more_addresses_than_callers_take() {
    let directory = Directory::new((0..200).map(|i| candidate(i, "a", "n")).collect(), None);
    assert_eq!(addresses(&directory, "a", "n").len(), 64);
}

#[test]
fn nobody_ready_is_no_address() {
    assert!(addresses(&Directory::new(Vec::new(), Some(40)), "a", "n").is_empty());
}
