//! Table tests of weighted round robin without an engine: the weights, and the services in the order in which they are
//! chosen.

use staircross_routing::configuration::definition::WeightedService;
use staircross_routing::decision::weighted_round_robin::WeightedRoundRobin;
use std::sync::Arc;

fn set(weights: &[(&str, u32)]) -> Vec<WeightedService> {
    let entry = |(service, weight): &(&str, u32)| WeightedService { service: Arc::from(*service), weight: *weight };
    weights.iter().map(entry).collect()
}

fn next_services(turns: &mut WeightedRoundRobin, set: &[WeightedService], count: usize) -> String {
    (0..count).map(|_| turns.next(set).map_or_else(|| "-".to_owned(), |service| service.to_string())).collect()
}

#[test]
fn services_take_turns_by_their_weights() {
    // Inputs: weighted services. Expected: the services in the order in which they are chosen, `-` for none.
    let rows = [
        (set(&[("a", 1)]), "aaaa"),
        (set(&[("a", 1), ("b", 1)]), "baba"),
        (set(&[("a", 3), ("b", 1)]), "abaaabaa"),
        (set(&[("a", 1), ("b", 0)]), "aaaa"),
        (set(&[("a", 0)]), "--"),
        (set(&[]), "--"),
    ];
    for (set, expected) in rows {
        assert_eq!(next_services(&mut WeightedRoundRobin::default(), &set, expected.len()), expected);
    }
}

#[test]
fn a_changed_set_starts_over() {
    let mut turns = WeightedRoundRobin::default();
    assert_eq!(next_services(&mut turns, &set(&[("a", 3), ("b", 1)]), 2), "ab");
    assert_eq!(next_services(&mut turns, &set(&[("a", 1), ("b", 3)]), 4), "bbab");
}
