//! Table tests of the rule for cold searchers without an engine: how many requests a node may send to one, and
//! when.

use staircross_routing::decision::cold::{ColdSends, FleetRank, cold_share};
use staircross_routing::{ColdBound, ColdStart};
use staircross_types::BootTime;
use std::time::Duration;

fn at(millis: u64) -> BootTime {
    BootTime::default() + Duration::from_millis(millis)
}

fn cold_start_of(requests_per_s: Option<f64>) -> ColdStart {
    ColdStart { requests_per_s, ..ColdStart::default() }
}

#[test]
fn nodes_divide_six_tenths_of_the_bound() {
    // Inputs: requests per second that the searcher can take, factor and slack of the bound, rank of this node, number
    // of serving nodes. Expected: share of this node.
    let rows = [
        (None, 1.0, 0.0, Some(0), 2, None),
        (Some(10.0), 1.0, 0.0, Some(0), 2, Some(3)),
        (Some(10.0), 1.0, 0.0, Some(1), 4, Some(1)),
        (Some(10.0), 1.5, 5.0, Some(1), 4, Some(3)),
        (Some(10.0), 1.0, 0.0, None, 2, Some(0)), // A reserve node has no rank and sends nothing.
        (Some(10.0), 1.0, 0.0, Some(0), 0, Some(6)),
        (Some(1.0), 1.0, 0.0, Some(0), 1, Some(0)), // Six tenths of a request is less than one.
    ];
    for (requests_per_s, factor, slack, rank, serving, expected) in rows {
        let found =
            cold_share(cold_start_of(requests_per_s), ColdBound { factor, slack }, "x", FleetRank { rank, serving });
        assert_eq!(found, expected, "{requests_per_s:?} {factor} {slack} {rank:?} {serving}");
    }
}

#[test]
fn where_the_bound_is_less_than_one_each_some_nodes_send_one_and_others_for_the_next_searcher() {
    // Ten nodes serve, and the searcher takes five requests per second, of which three are divided among the nodes.
    // Inputs: id of the searcher. Expected: ranks of the nodes that may send it one request.
    for (instance, expected) in [("a", vec![3, 4, 5]), ("b", vec![2, 3, 4]), ("c", vec![1, 2, 3])] {
        let share = |rank| {
            let fleet = FleetRank { rank: Some(rank), serving: 10 };
            cold_share(cold_start_of(Some(5.0)), ColdBound::default(), instance, fleet)
        };
        let sending: Vec<usize> = (0..10).filter(|rank| share(*rank) == Some(1)).collect();
        assert_eq!(sending, expected, "{instance}");
    }
}

#[test]
fn a_used_share_comes_back_after_the_counted_time() {
    // Inputs: times of sends in ms, share. Expected: earliest time of one more send, as computed at 500 ms.
    let rows = [
        (vec![], 1, Some(500)),
        (vec![], 0, None),
        (vec![0], 1, Some(1250)),
        (vec![0], 2, Some(500)),
        (vec![0, 400], 2, Some(1250)),
        (vec![0, 400], 1, Some(1650)),
    ];
    for (sends, share, expected) in rows {
        let mut cold = ColdSends::default();
        sends.iter().for_each(|millis| cold.record(at(*millis)));
        assert_eq!(cold.next(at(500), share), expected.map(at), "{sends:?} {share}");
    }
}
