//! Table tests of the placement rules without an engine: the expected time of a searcher, which searchers are left out,
//! and how connections are divided among nodes.

mod common;

use common::{route, searcher};
use hashbrown::HashMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use staircross_routing::decision::allowed_regions::AllowedRegions;
use staircross_routing::decision::cold::FleetRank;
use staircross_routing::decision::placement::connections::usable_connections;
use staircross_routing::decision::placement::{Choice, PlacementContext, choose, expected_time};
use staircross_routing::state::searcher::{PendingAttempt, Searcher};
use staircross_routing::{
    AttemptKey, ColdBound, ReportedLoad, RequestKey, RouteDefinition, RouteTarget, RoutingPolicy, SearcherKey,
    SearcherReport,
};
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

const WORK_MS: u64 = 20;
const GOAL_MS: u64 = 200;
const MAX_CONNECTIONS: u32 = 40;

/// Returns the placement context of a node in zone `a`. Zones `a` and `b` are in the region `north`, zone `c` is in
/// `south`. Two nodes serve in `a` and two in `b`.
fn context() -> PlacementContext {
    let zones = [("a", "north"), ("b", "north"), ("c", "south")];
    PlacementContext {
        zone: Arc::from("a"),
        regions: zones.iter().map(|(zone, region)| (Arc::from(*zone), Arc::from(*region))).collect(),
        nodes_by_zone: HashMap::from([(Arc::from("a"), 2), (Arc::from("b"), 2)]),
        fleet: FleetRank { rank: Some(0), serving: 4 },
        cold: ColdBound::default(),
        round_trips: HashMap::new(),
        restarted_at: None,
        policy: RoutingPolicy::default(),
    }
}

fn now() -> BootTime {
    BootTime::default() + Duration::from_secs(100)
}

fn searcher_in(zone: &str) -> Searcher {
    Searcher::new(now(), searcher(zone, "x", zone), MAX_CONNECTIONS)
}

fn changed(mut searcher: Searcher, change: impl FnOnce(&mut Searcher)) -> Searcher {
    change(&mut searcher);
    searcher
}

/// Returns the searcher with this number of open attempts, each of them due in `due_ms`. A negative `due_ms` means that
/// they are overdue.
fn with_open_attempts(searcher: Searcher, attempts: u16, due_ms: i64) -> Searcher {
    let due_at = if due_ms < 0 {
        now() - Duration::from_millis(due_ms.unsigned_abs())
    } else {
        now() + Duration::from_millis(due_ms.unsigned_abs())
    };
    let open =
        |number| PendingAttempt { attempt: AttemptKey { request: RequestKey(0), number }, sent_at: now(), due_at };
    changed(searcher, |searcher| (0..attempts).for_each(|number| searcher.note_sent(now(), open(number))))
}

/// Returns a searcher with one open attempt that has just rejected another connection.
fn at_capacity() -> Searcher {
    changed(with_open_attempts(searcher_in("a"), 1, 50), |searcher| searcher.note_connection_rejected(now()))
}

/// Returns a searcher that has reported that its host's work takes `percent` of the usual time.
fn with_reported_slowness(percent: u32) -> Searcher {
    let load = ReportedLoad { running: 0, waiting: 0, slots: 5, host_slowness: Some(percent) };
    changed(searcher_in("a"), |searcher| {
        searcher.note_report(now(), SearcherReport { load: Some(load), ..SearcherReport::default() })
    })
}

fn choice<'a>(route: &'a RouteDefinition, excluded: &'a [SearcherKey]) -> Choice<'a> {
    Choice {
        regions: AllowedRegions::new(route, None),
        excluded,
        usual_work: Duration::from_millis(WORK_MS),
        goal: Duration::from_millis(GOAL_MS),
    }
}

fn single_route() -> RouteDefinition {
    route("s", RouteTarget::Service(Arc::from("x")))
}

#[test]
fn expected_time_adds_up_times_and_prices() {
    let (context, route) = (context(), single_route());
    // Inputs: searcher. Expected: its expected time in ms.
    let rows = [
        ("idle in the zone: 1 round trip, 20 work", searcher_in("a"), 21),
        ("another zone: 2 round trip, 4 price", searcher_in("b"), 26),
        ("another region: 24 round trip, 25 price", searcher_in("c"), 69),
        (
            "two attempts count double for the zone's other node, and with the new one fill five slots",
            with_open_attempts(searcher_in("a"), 2, 50),
            21,
        ),
        (
            "five attempts count double, and with the new one exceed five slots by six: 24 queue",
            with_open_attempts(searcher_in("a"), 5, 50),
            45,
        ),
        (
            "five attempts in another zone count once, and with the new one exceed five slots by one: 4 queue",
            with_open_attempts(searcher_in("b"), 5, 50),
            30,
        ),
        ("one attempt overdue by 15: 30 pause", with_open_attempts(searcher_in("a"), 1, -15), 51),
        ("a host three times slower: 60 work", with_reported_slowness(300), 61),
        ("a faster host counts as usual", with_reported_slowness(50), 21),
        ("rejected once, rate 0.3: 60 of the goal", changed(searcher_in("a"), |it| it.note_rejection(now())), 81),
        ("a removed entry: last resort", changed(searcher_in("a"), |it| it.mark_lapsed(now())), 60_021),
    ];
    for (row, searcher, expected_ms) in rows {
        let found = expected_time(now(), &searcher, &context, &choice(&route, &[]));
        assert_eq!(found.as_millis(), expected_ms, "{row}");
    }
}

#[test]
fn a_switch_that_is_off_leaves_its_term_out() {
    let all_on = RoutingPolicy::default();
    // Inputs: policy, searcher. Expected: its expected time in ms.
    let rows = [
        ("near_first", RoutingPolicy { near_first: false, ..all_on }, searcher_in("c"), 44),
        (
            "avoid_overdue",
            RoutingPolicy { avoid_overdue: false, ..all_on },
            with_open_attempts(searcher_in("a"), 1, -15),
            21,
        ),
        ("reported_host", RoutingPolicy { reported_host: false, ..all_on }, with_reported_slowness(300), 21),
        (
            "avoid_rejecting",
            RoutingPolicy { avoid_rejecting: false, ..all_on },
            changed(searcher_in("a"), |it| it.note_rejection(now())),
            21,
        ),
    ];
    for (row, policy, searcher, expected_ms) in rows {
        let context = PlacementContext { policy, ..context() };
        let found = expected_time(now(), &searcher, &context, &choice(&single_route(), &[]));
        assert_eq!(found.as_millis(), expected_ms, "{row}");
    }
}

#[test]
fn the_best_that_may_be_asked_is_chosen() {
    let (near, far, south) = (SearcherKey(0), SearcherKey(1), SearcherKey(2));
    let southern = RouteDefinition { allowed_regions: vec![Arc::from("south")], ..single_route() };
    let none = Vec::new;
    // Inputs: route, excluded searchers, searcher in the zone of this node. Expected: searcher that is asked.
    let rows = [
        ("the least expected time", single_route(), none(), searcher_in("a"), Some(near)),
        ("excluded", single_route(), vec![near], searcher_in("a"), Some(far)),
        ("all excluded", single_route(), vec![near, far, south], searcher_in("a"), None),
        ("allowed regions", southern, none(), searcher_in("a"), Some(south)),
        (
            "at capacity: nine of this node's share of nine connections",
            single_route(),
            none(),
            with_open_attempts(searcher_in("a"), 9, 50),
            Some(far),
        ),
        (
            "unreachable a moment ago",
            single_route(),
            none(),
            changed(searcher_in("a"), |it| it.note_unreachable(now())),
            Some(far),
        ),
        ("evacuated", single_route(), none(), changed(searcher_in("a"), |it| it.set_evacuated(now(), true)), Some(far)),
        ("marked as gone", single_route(), none(), changed(searcher_in("a"), Searcher::mark_gone), Some(far)),
        ("accepts no further connection", single_route(), none(), at_capacity(), Some(far)),
    ];
    for (row, route, excluded, first, expected) in rows {
        let table = [first, searcher_in("b"), searcher_in("c")];
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let found = choose(now(), &choice(&route, &excluded), &[near, far, south], &table, &context(), &mut random);
        assert_eq!(found, expected, "{row}");
    }
}

#[test]
fn searchers_within_a_tenth_of_the_best_share_the_work() {
    let (mut context, route) = (context(), single_route());
    context.policy.near_first = false;
    // The best searcher has an expected time of 21 ms. Inputs: measured round trip to zone `b` in ms. Expected:
    // whether the searcher in `b` is asked too.
    for (round_trip_ms, expected) in [(1, true), (3, true), (4, false)] {
        context.round_trips.insert(Arc::from("b"), Duration::from_millis(round_trip_ms));
        assert_eq!(times_second_chosen(&context, &route, searcher_in("b")) > 0, expected, "{round_trip_ms}");
    }
    let share = times_second_chosen(&context, &route, searcher_in("a"));
    assert!((400..600).contains(&share), "{share} of 1000");
}

/// Returns how often in 1000 choices the second of two searchers is chosen. The first is idle in the node's own zone.
fn times_second_chosen(context: &PlacementContext, route: &RouteDefinition, second: Searcher) -> usize {
    let table = [searcher_in("a"), second];
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let keys = [SearcherKey(0), SearcherKey(1)];
    let mut choose = || choose(now(), &choice(route, &[]), &keys, &table, context, &mut random);
    (0..1000).filter(|_| choose() == Some(keys[1])).count()
}

#[test]
fn connections_are_divided_by_zone_and_a_restarted_node_takes_its_share_in_steps() {
    // Inputs: zone of the searcher, nodes in zones `a` and `b`, seconds since this node restarted. Expected:
    // connections of 40 that this node may use.
    let rows = [
        ("a", 2, 2, None, 9), // Two nodes share 0.45 of 40.
        ("a", 1, 3, None, 18),
        ("b", 2, 2, None, 9), // The two nodes outside `b` share 0.45 of 40.
        ("b", 3, 1, None, 6),
        ("c", 2, 2, None, 9),    // No node is in `c`, so all four share 0.9 of 40.
        ("a", 4, 0, None, 9),    // All nodes are in `a`.
        ("a", 60, 60, None, 1),  // A node may use at least one.
        ("a", 1, 3, Some(0), 4), // Just after a restart it is a quarter of 18.
        ("a", 1, 3, Some(1), 9),
        ("a", 1, 3, Some(3), 18),
    ];
    for (zone, nodes_in_a, nodes_in_b, restarted_s, expected) in rows {
        let nodes_by_zone = HashMap::from([(Arc::from("a"), nodes_in_a), (Arc::from("b"), nodes_in_b)]);
        let fleet = FleetRank { rank: Some(0), serving: nodes_in_a + nodes_in_b };
        let restarted_at = restarted_s.map(|seconds| now() - Duration::from_secs(seconds));
        let context = PlacementContext { nodes_by_zone, fleet, restarted_at, ..context() };
        assert_eq!(
            usable_connections(now(), &searcher_in(zone), &context),
            expected,
            "{zone} {nodes_in_a} {nodes_in_b} {restarted_s:?}"
        );
    }
}
