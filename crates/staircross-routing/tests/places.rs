//! Limits on which searchers requests may be sent to: allowed regions, evacuated zones, and the load of cold searchers.

mod common;

use common::{Driver, answer, definition, gather, records, route, searcher, settings};
use proptest::prelude::*;
use staircross_routing::decision::cold::{FleetRank, cold_share};
use staircross_routing::engine::{LeftOutCause, SendReason};
use staircross_routing::state::request::Unknown;
use staircross_routing::{
    AttemptOutcome, ColdBound, ColdStart, NotRun, RequestOutcome, RouteDefinition, RouteTable, RouteTarget,
    RoutingDefinition, RoutingEvent, RoutingSettings, SearcherEntry,
};
use staircross_types::{ErrorKind, Executed};
use std::sync::Arc;

/// Region of the zones `a` and `b`; the node is in zone `a`.
const NORTH: &str = "north";
/// Region of the zone `c`.
const SOUTH: &str = "south";

fn restricted_to(mut route: RouteDefinition, regions: &[&str]) -> RouteDefinition {
    route.allowed_regions = regions.iter().map(|region| Arc::from(*region)).collect();
    route
}

fn service_target(service: &str) -> RouteTarget {
    RouteTarget::Service(Arc::from(service))
}

fn driver_with_southern_route(searchers: Vec<SearcherEntry>) -> Driver {
    let routes = vec![restricted_to(route("s", service_target("x")), &[SOUTH])];
    Driver::with(definition(1, routes, &["x"]), searchers)
}

fn evacuate(driver: &mut Driver, zones: &[&str]) {
    driver.event(RoutingEvent::Evacuated(zones.iter().map(|zone| Arc::from(*zone)).collect()));
}

#[test]
fn a_request_goes_to_an_allowed_region_however_near_others_are() {
    let mut driver = driver_with_southern_route(vec![searcher("near", "x", "a"), searcher("far", "x", "c")]);
    let key = driver.request("/s/1");
    assert_eq!(driver.instances(key), ["far"]);
}

#[test]
fn retries_reroutes_and_hedges_stay_in_the_allowed_regions() {
    let searchers = || vec![searcher("near", "x", "a"), searcher("far1", "x", "c"), searcher("far2", "x", "c")];
    let outcomes = [
        AttemptOutcome::NotRun(NotRun::Unconnected),
        AttemptOutcome::NotRun(NotRun::Shed),
        AttemptOutcome::Unknown(Unknown::Broken),
    ];
    for outcome in outcomes {
        let mut driver = driver_with_southern_route(searchers());
        let key = driver.request("/s/1");
        let first = driver.sends[0].attempt;
        driver.end(first, outcome);
        assert_eq!(driver.sent_for(key).len(), 2);
        assert!(!driver.instances(key).contains(&"near".to_owned()));
    }
    let mut driver = driver_with_southern_route(searchers());
    let key = driver.request("/s/1");
    driver.advance_ms(3000);
    assert_eq!(driver.reasons(key), [SendReason::First, SendReason::Hedge]);
    assert!(!driver.instances(key).contains(&"near".to_owned()));
}

#[test]
fn without_a_searcher_in_an_allowed_region_a_request_is_refused_at_once_as_not_run() {
    let mut driver = driver_with_southern_route(vec![searcher("near", "x", "a"), searcher("nowhere", "x", "unlisted")]);
    let key = driver.request("/s/1");
    assert_eq!(driver.refusal(key), Some(ErrorKind::NoAllowedReplica));
    assert_eq!(ErrorKind::NoAllowedReplica.executed(), Executed::Never);
    assert!(driver.sends.is_empty());
}

#[test]
fn a_gather_leaves_out_shards_that_nobody_serves_in_an_allowed_region_and_says_so() {
    let routes = vec![restricted_to(route("g", gather(&["x", "y"], 2, 0.5)), &[NORTH])];
    let searchers = vec![searcher("x1", "x", "b"), searcher("y1", "y", "c")];
    let mut driver = Driver::with(definition(1, routes, &["x", "y"]), searchers);
    let key = driver.request("/g/1");
    assert_eq!(driver.instances(key), ["x1"]);
    let attempt = driver.sends[0].attempt;
    driver.end(attempt, answer(200, "p", records(&[7])));
    let Some(RequestOutcome::Merged(merged)) = driver.outcome(key) else {
        panic!("the outcome is no merged answer");
    };
    assert_eq!(merged.missing, 1);
    assert_eq!(driver.left_out, [("y".to_owned(), LeftOutCause::NoSearcher)]);
}

#[test]
fn the_directory_learns_which_regions_a_host_allows() {
    let table = |sets: &[&[&str]]| {
        let numbered =
            |(number, set): (usize, &&[&str])| restricted_to(route(&format!("r{number}"), service_target("x")), set);
        let routes = sets.iter().enumerate().map(numbered).collect();
        RouteTable::new(Arc::new(definition(1, routes, &["x"])))
    };
    let allowed = |sets: &[&[&str]]| {
        let regions = table(sets).allowed_regions(common::HOST);
        regions.iter().map(|region| region.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(allowed(&[&[], &[]]), Vec::<String>::new());
    assert_eq!(allowed(&[&[NORTH], &[]]), [NORTH]);
    assert_eq!(allowed(&[&[NORTH, SOUTH], &[SOUTH]]), [SOUTH]);
    assert_eq!(allowed(&[&[NORTH], &[SOUTH]]), [NORTH, SOUTH]);
    assert!(table(&[&[NORTH]]).allowed_regions("other.example").is_empty());
}

#[test]
fn an_evacuated_zone_gets_no_new_work_and_finishes_what_it_has() {
    let routes = vec![route("s", service_target("x"))];
    let mut driver =
        Driver::with(definition(1, routes, &["x"]), vec![searcher("here", "x", "a"), searcher("b1", "x", "b")]);
    let running = driver.request("/s/1");
    assert_eq!(driver.instances(running), ["here"]);
    evacuate(&mut driver, &["a"]);
    let next = driver.request("/s/2");
    assert_eq!(driver.instances(next), ["b1"]);
    assert!(driver.abandoned.is_empty(), "running attempts continue");
    let attempt = driver.sends[0].attempt;
    driver.end(attempt, answer(200, "p", Vec::new()));
    assert!(matches!(driver.outcome(running), Some(RequestOutcome::Passed(_))));
}

#[test]
fn retries_do_not_enter_a_zone_that_was_evacuated_meanwhile() {
    let routes = vec![route("s", service_target("x"))];
    let mut driver =
        Driver::with(definition(1, routes, &["x"]), vec![searcher("b1", "x", "b"), searcher("c1", "x", "c")]);
    let key = driver.request("/s/1");
    assert_eq!(driver.instances(key), ["b1"]);
    evacuate(&mut driver, &["c"]);
    let attempt = driver.sends[0].attempt;
    driver.end(attempt, AttemptOutcome::Unknown(Unknown::Broken));
    assert_eq!(driver.instances(key), ["b1"]);
    assert_eq!(driver.refusal(key), Some(ErrorKind::BackEndsFailed));
}

#[test]
fn searchers_learned_of_during_an_evacuation_wait_for_its_end_and_then_serve() {
    let routes = vec![route("s", service_target("x"))];
    let mut driver = Driver::with(definition(1, routes, &["x"]), Vec::new());
    evacuate(&mut driver, &["a"]);
    driver.event(RoutingEvent::Searchers(vec![searcher("a1", "x", "a")]));
    let refused = driver.request("/s/1");
    assert_eq!(driver.refusal(refused), Some(ErrorKind::NoReplica));
    // An update of another searcher of the service must not make the engine forget the first one.
    driver.event(RoutingEvent::Searchers(vec![searcher("a2", "x", "a")]));
    evacuate(&mut driver, &[]);
    let served = driver.request("/s/2");
    assert_eq!(driver.sent_for(served).len(), 1);
}

/// Returns a driver with a searcher that takes ten requests per second while it is cold, and a warm one in another
/// region. `fleet` nodes serve in zone `a`.
fn driver_with_cold_searcher(fleet: usize) -> Driver {
    let mut configuration: RoutingDefinition = definition(1, vec![route("s", service_target("x"))], &["x"]);
    configuration.services[0].cold_start = ColdStart { duration_ms: 3000, requests_per_s: Some(10.0) };
    let cold = SearcherEntry { cold_ms: 3000, ..searcher("cold", "x", "a") };
    let settings = RoutingSettings { cold: ColdBound { factor: 1.5, slack: 5.0 }, ..settings() };
    let mut driver = Driver::with_settings(settings, configuration, vec![cold, searcher("warm", "x", "c")]);
    driver.set_fleet(&[("a", fleet)], fleet);
    driver
}

fn sends_to(driver: &Driver, instance: &str) -> usize {
    driver.sends.iter().filter(|order| &*order.instance == instance).count()
}

/// Sends one request every 10 ms, each of which is answered after 2 ms.
fn send_and_answer(driver: &mut Driver, requests: usize) {
    for number in 0..requests {
        driver.request(&format!("/s/{number}"));
        let attempt = driver.sends[driver.sends.len() - 1].attempt;
        driver.advance_ms(2);
        driver.end(attempt, answer(200, "p", Vec::new()));
        driver.advance_ms(8);
    }
}

#[test]
fn a_cold_searcher_gets_a_nodes_share_of_what_it_bears_until_it_is_warm() {
    let mut driver = driver_with_cold_searcher(2);
    send_and_answer(&mut driver, 100);
    // The bound is 20 requests per second for both nodes together, of which 12 are planned: 6 for each node.
    assert_eq!(sends_to(&driver, "cold"), 6);
    driver.advance_ms(3000);
    send_and_answer(&mut driver, 100);
    assert!(sends_to(&driver, "cold") > 100);
}

#[test]
fn a_changed_bound_on_cold_searchers_holds_at_once() {
    let mut driver = driver_with_cold_searcher(2);
    driver.engine.set_cold_bound(ColdBound { factor: 1.0, slack: 0.0 });
    send_and_answer(&mut driver, 100);
    assert_eq!(sends_to(&driver, "cold"), 3, "one of two nodes gets half of six tenths of ten");
}

#[test]
fn a_searcher_whose_zone_is_taken_back_is_cold_even_if_its_entry_does_not_say_so_yet() {
    let mut driver = driver_with_cold_searcher(2);
    driver.advance_ms(4000);
    evacuate(&mut driver, &["a"]);
    driver.advance_ms(1000);
    evacuate(&mut driver, &[]);
    send_and_answer(&mut driver, 100);
    assert_eq!(sends_to(&driver, "cold"), 6);
}

#[test]
fn a_shard_with_only_cold_searchers_waits_for_its_share() {
    let mut driver = driver_with_cold_searcher(2);
    evacuate(&mut driver, &["c"]);
    let keys: Vec<_> = (0..8).map(|number| driver.request(&format!("/s/{number}"))).collect();
    assert_eq!(sends_to(&driver, "cold"), 6);
    driver.advance_ms(2000);
    assert!(
        keys.iter().all(|key| !driver.sent_for(*key).is_empty()),
        "the waiting requests are sent once the share permits"
    );
}

proptest! {
    #[test]
    fn all_nodes_together_stay_below_what_a_cold_searcher_bears(
        nodes in 1_usize..600,
        per_s in 0.5_f64..200.0,
        slack in 0.0_f64..20.0,
        instance in "[a-z0-9]{4,12}",
    ) {
        let cold = ColdStart { duration_ms: 3000, requests_per_s: Some(per_s) };
        let bound = ColdBound { factor: 1.5, slack };
        let share = |rank| cold_share(cold, bound, &instance, FleetRank { rank: Some(rank), serving: nodes });
        let sum: usize = (0..nodes).filter_map(share).sum();
        prop_assert!(sum as f64 <= per_s * 1.5 + slack);
        let reserve = cold_share(cold, bound, &instance, FleetRank { rank: None, serving: nodes });
        prop_assert_eq!(reserve, Some(0));
    }
}

#[test]
fn a_searcher_without_a_bound_is_asked_while_it_is_cold() {
    let fleet = FleetRank { rank: None, serving: 4 };
    assert_eq!(cold_share(ColdStart::default(), ColdBound::default(), "i", fleet), None);
}
