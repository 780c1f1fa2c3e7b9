//! Table tests of weighted round robin without an engine: the weights, and the services in the order in which they are
//! chosen.

use staircross_routing::configuration::definition::WeightedService;
use staircross_routing::decision::weighted_round_robin::WeightedRoundRobin;
use std::sync::Arc;

fn weighted_services(weights: &[(&str, u32)]) -> Vec<WeightedService> {
    let entry = |(service, weight): &(&str, u32)| WeightedService { service: Arc::from(*service), weight: *weight };
    weights.iter().map(entry).collect()
}

fn next_services(round_robin: &mut WeightedRoundRobin, set: &[WeightedService], count: usize) -> String {
    (0..count).map(|_| round_robin.next(set).map_or_else(|| "-".to_owned(), |service| service.to_string())).collect()
}

#[test]
fn services_take_turns_by_their_weights() {
    // Inputs: weighted services. Expected: the services in the order in which they are chosen, `-` for none.
    let rows = [
        (weighted_services(&[("a", 1)]), "aaaa"),
        (weighted_services(&[("a", 1), ("b", 1)]), "baba"),
        (weighted_services(&[("a", 3), ("b", 1)]), "abaaabaa"),
        (weighted_services(&[("a", 1), ("b", 0)]), "aaaa"),
        (weighted_services(&[("a", 0)]), "--"),
        (weighted_services(&[]), "--"),
    ];
    for (set, expected) in rows {
        assert_eq!(next_services(&mut WeightedRoundRobin::default(), &set, expected.len()), expected);
    }
}

#[test]
fn a_changed_set_starts_over() {
    let mut round_robin = WeightedRoundRobin::default();
    assert_eq!(next_services(&mut round_robin, &weighted_services(&[("a", 3), ("b", 1)]), 2), "ab");
    assert_eq!(next_services(&mut round_robin, &weighted_services(&[("a", 1), ("b", 3)]), 4), "bbab");
}
