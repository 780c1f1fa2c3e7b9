//! Overload of the searchers: a part of the requests is refused at once, so that the rest is answered in time.

mod common;

use common::backends::{Backends, Tally};
use common::{Driver, definition, gather, route, searcher, settings};
use staircross_routing::decision::admission::{Admission, Wait};
use staircross_routing::engine::SendReason;
use staircross_routing::{RouteDefinition, RoutingSettings};
use staircross_types::BootTime;
use std::time::Duration;

const GOAL: Duration = Duration::from_millis(250);
const WORK: Duration = Duration::from_millis(20);
const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];
/// Requests per second that the searchers can process: each shard has two searchers with two slots.
const CAPACITY: f64 = 200.0;

fn shard_searchers() -> Vec<staircross_routing::SearcherEntry> {
    let searchers_of = |shard: &&'static str| ["x", "y"].map(|copy| searcher(&format!("{shard}{copy}"), shard, "a"));
    SHARDS.iter().flat_map(searchers_of).collect()
}

fn query(name: &str, priority: u32) -> RouteDefinition {
    let mut query = route(name, gather(&SHARDS, 10, 0.75));
    query.priority = priority;
    query
}

fn backends(routes: Vec<RouteDefinition>) -> Backends {
    let settings = RoutingSettings { max_requests: 100_000, ..settings() };
    let driver = Driver::with_settings(settings, definition(1, routes, &SHARDS), shard_searchers());
    Backends::new(driver, 2, WORK)
}

/// Returns back ends after four seconds of low load, in which the engine learns the usual work.
fn warmed_up(routes: Vec<RouteDefinition>, paths: &[&str]) -> Backends {
    let mut backends = backends(routes);
    backends.offer(paths, CAPACITY * 0.4, Duration::from_secs(4));
    let calm = backends.tally(GOAL);
    assert_eq!(calm.refused, 0, "no request is refused at low load: {calm:?}");
    assert!(calm.fraction(calm.in_time) > 0.98, "{calm:?}");
    backends
}

fn offer_load(backends: &mut Backends, paths: &[&str], load: f64, seconds: u64) -> Tally {
    backends.offer(paths, CAPACITY * load, Duration::from_secs(seconds));
    backends.tally(GOAL)
}

#[test]
fn half_as_much_again_as_can_be_done_is_refused_in_part_and_the_rest_is_in_time() {
    let mut backends = warmed_up(vec![query("q", 1)], &["/q/1"]);
    offer_load(&mut backends, &["/q/1"], 1.5, 3);
    let settled = offer_load(&mut backends, &["/q/1"], 1.5, 8);
    assert!(settled.fraction(settled.in_time) > 0.4, "0.67 is possible: {settled:?}");
    assert!(settled.fraction(settled.late) < 0.2, "{settled:?}");
    assert!(settled.fraction(settled.failed) < 0.01, "requests that aren't admitted are refused at once: {settled:?}");
    let not_admitted = &backends.driver.not_admitted;
    assert_eq!(
        not_admitted.len() as u64,
        backends.driver.engine.counters.not_admitted,
        "each refusal is reported with the fraction that led to it"
    );
    assert!(not_admitted.iter().all(|(_, fraction)| (0.0..1.0).contains(fraction)), "{not_admitted:?}");
}

#[test]
fn when_the_load_falls_everything_is_taken_again_within_seconds() {
    let mut backends = warmed_up(vec![query("q", 1)], &["/q/1"]);
    offer_load(&mut backends, &["/q/1"], 1.8, 5);
    offer_load(&mut backends, &["/q/1"], 0.5, 5);
    let after = offer_load(&mut backends, &["/q/1"], 0.5, 4);
    assert_eq!(after.refused, 0, "{after:?}");
    assert!(after.fraction(after.in_time) > 0.97, "{after:?}");
}

#[test]
fn a_storm_of_configurations_does_not_lift_a_limit() {
    let mut backends = warmed_up(vec![query("q", 1)], &["/q/1"]);
    offer_load(&mut backends, &["/q/1"], 1.6, 4);
    for version in 2..60 {
        backends.offer(&["/q/1"], CAPACITY * 1.6, Duration::from_millis(60));
        backends.driver.configure(definition(version, vec![query("q", 1)], &SHARDS));
    }
    let tally = backends.tally(GOAL);
    assert!(tally.fraction(tally.refused) > 0.2, "{tally:?}");
    assert!(tally.fraction(tally.late) < 0.2, "{tally:?}");
}

#[test]
fn one_slow_searcher_is_no_overload() {
    let mut backends = warmed_up(vec![query("q", 1)], &["/q/1"]);
    backends.set_slowness("s1x", 12.0);
    let slow = offer_load(&mut backends, &["/q/1"], 0.4, 8);
    assert_eq!(slow.refused, 0, "{slow:?}");
}

#[test]
fn a_shard_that_is_slow_as_a_whole_is_no_overload_and_all_of_them_are() {
    let mut backends = warmed_up(vec![query("q", 1)], &["/q/1"]);
    let slow_down = |shards: &[&str], backends: &mut Backends| {
        for shard in shards {
            backends.set_slowness(&format!("{shard}x"), 4.0);
            backends.set_slowness(&format!("{shard}y"), 4.0);
        }
    };
    slow_down(&SHARDS[..1], &mut backends);
    let one = offer_load(&mut backends, &["/q/1"], 0.5, 6);
    assert_eq!(one.refused, 0, "three of four shards are enough for an answer: {one:?}");
    slow_down(&SHARDS[1..], &mut backends);
    let all = offer_load(&mut backends, &["/q/1"], 0.5, 6);
    assert!(all.refused > 0, "the searchers can process half of the offered load: {all:?}");
}

#[test]
fn one_request_whose_parts_are_all_late_is_no_overload() {
    let names: Vec<String> = (0..30).map(|index| format!("w{index}")).collect();
    let shards: Vec<&str> = names.iter().map(String::as_str).collect();
    let searchers_of = |shard: &&str| ["x", "y"].map(|copy| searcher(&format!("{shard}{copy}"), shard, "a"));
    let searchers = shards.iter().flat_map(searchers_of).collect();
    let wide = route("q", gather(&shards, 10, 0.9));
    let settings = RoutingSettings { max_requests: 100_000, ..settings() };
    let driver = Driver::with_settings(settings, definition(1, vec![wide], &shards), searchers);
    let mut backends = Backends::new(driver, 2, WORK);
    offer_load(&mut backends, &["/q/1"], 0.1, 4);
    for _ in 0..20 {
        // A pause of all searchers affects one request, whose parts are then all late.
        backends.work_time = WORK * 8;
        offer_load(&mut backends, &["/q/1"], 0.005, 1);
        backends.work_time = WORK;
        let calm = offer_load(&mut backends, &["/q/1"], 0.05, 1);
        assert_eq!(calm.refused, 0, "{calm:?}");
    }
}

#[test]
fn time_to_connect_is_no_wait() {
    let mut backends = warmed_up(vec![query("q", 1)], &["/q/1"]);
    // Each attempt needs a new connection first, as after a replacement of all searchers.
    backends.connect_time = Duration::from_millis(120);
    let fresh = offer_load(&mut backends, &["/q/1"], 0.1, 5);
    assert_eq!(fresh.refused, 0, "{fresh:?}");
}

#[test]
fn work_that_has_grown_for_good_is_not_taken_for_a_queue_for_long() {
    let mut backends = warmed_up(vec![query("q", 1)], &["/q/1"]);
    backends.work_time = WORK * 5;
    offer_load(&mut backends, &["/q/1"], 0.08, 60);
    let after = offer_load(&mut backends, &["/q/1"], 0.08, 10);
    assert!(after.fraction(after.refused) < 0.1, "{after:?}");
}

#[test]
fn the_more_urgent_route_is_refused_less_often() {
    let routes = vec![query("urgent", 0), query("casual", 3)];
    let paths = ["/urgent/1", "/casual/1"];
    let mut backends = warmed_up(routes, &paths);
    offer_load(&mut backends, &paths, 1.6, 10);
    let refused = |path: &str, backends: &Backends| {
        let prefix = format!("/{path}/");
        let finished = backends.driver.finished.iter();
        finished.filter(|(key, _)| backends.driver.path_of(*key).starts_with(&prefix)).fold((0, 0), |sum, (key, _)| {
            let is_refused = backends.driver.refusal(*key).is_some();
            (sum.0 + usize::from(is_refused), sum.1 + 1)
        })
    };
    let (urgent, casual) = (refused("urgent", &backends), refused("casual", &backends));
    assert!(urgent.0 > 0, "the load must be an overload: {urgent:?} {casual:?}");
    assert!(urgent.0 * casual.1 < casual.0 * urgent.1, "{urgent:?} {casual:?}");
}

#[test]
fn nothing_is_refused_while_callers_come_back_after_a_start() {
    let mut backends = backends(vec![query("q", 1)]);
    let began = backends.driver.now;
    let surge = offer_load(&mut backends, &["/q/1"], 2.0, 2);
    assert_eq!(surge.refused, 0, "requests of a burst just after the start are late, but not refused: {surge:?}");
    let calmed = backends.driver.now;
    let settled = offer_load(&mut backends, &["/q/1"], 0.4, 4);
    assert_eq!(settled.refused, 0, "{settled:?}");
    offer_load(&mut backends, &["/q/1"], 0.01, 4);
    let of_surge = backends.tally_of_arrivals(GOAL, began, calmed);
    assert!(of_surge.fraction(of_surge.in_time + of_surge.late) > 0.5, "{of_surge:?}");
    let of_calm = backends.tally_of_arrivals(GOAL, calmed, BootTime::FAR_FUTURE);
    assert!(of_calm.fraction(of_calm.in_time) > 0.9, "{of_calm:?}");
}

#[test]
fn a_shard_with_more_to_do_than_it_can_gets_few_hedges_though_nothing_is_refused() {
    let mut backends = warmed_up(vec![query("q", 1)], &["/q/1"]);
    for copy in ["s0x", "s0y"] {
        backends.set_slowness(copy, 4.0);
    }
    offer_load(&mut backends, &["/q/1"], 0.5, 3);
    let before = backends.driver.sends.len();
    let later = offer_load(&mut backends, &["/q/1"], 0.5, 4);
    assert_eq!(later.refused, 0, "{later:?}");
    let to_shard = backends.driver.sends[before..].iter().filter(|order| order.instance.starts_with("s0"));
    let (hedges, firsts): (Vec<_>, Vec<_>) = to_shard.partition(|order| order.reason == SendReason::Hedge);
    assert!(hedges.len() * 50 < firsts.len(), "{} hedges for {} first attempts", hedges.len(), firsts.len());
}

#[test]
fn a_short_burst_is_late_in_part_and_not_refused() {
    let mut backends = warmed_up(vec![query("q", 1)], &["/q/1"]);
    backends.offer(&["/q/1"], CAPACITY * 1.6, Duration::from_millis(300));
    let burst = offer_load(&mut backends, &["/q/1"], 0.3, 3);
    assert_eq!(burst.refused, 0, "{burst:?}");
    assert!(burst.fraction(burst.in_time + burst.late) > 0.9, "{burst:?}");
}

#[test]
fn a_node_that_judges_seldom_takes_everything_again_as_soon_as_one_that_judges_often() {
    let tolerable = Duration::from_millis(30);
    let recovery = |spacing: Duration| {
        let mut admission = Admission::default();
        let mut now = BootTime::from_millis(1000);
        let mut level_after = |now: BootTime, wait: Duration| {
            admission.evaluate(now, wait, tolerable);
            admission.level()
        };
        // After the warm-up of a group, an excessive wait lowers the level.
        while level_after(now, tolerable * 4) > 0.3 {
            now = now + Duration::from_millis(250);
        }
        let began = now;
        while level_after(now, Duration::ZERO) < 1.0 {
            now = now + spacing;
        }
        now.since(began)
    };
    let (often, seldom) = (recovery(Duration::from_millis(250)), recovery(Duration::from_millis(1000)));
    assert!(often < Duration::from_millis(3500), "{often:?}");
    assert!(seldom <= often + Duration::from_millis(1000), "{seldom:?}, against {often:?} with frequent evaluations");
}

/// On a large site with some seventy nodes, each node receives one or two requests per second, with a sub-request to
/// each of 36 shards.
#[test]
fn a_node_with_few_requests_goes_on_taking_less_while_they_wait_too_long() {
    const FAN_OUT: usize = 36;
    let (mut admission, mut wait) = (Admission::default(), Wait::at_group(FAN_OUT));
    let began = BootTime::from_millis(1000);
    for request in 0..100 {
        let now = began + Duration::from_millis(600) * request;
        (0..FAN_OUT).for_each(|_| wait.record(now, Duration::from_millis(900)));
        if let Some(waited) = wait.for_admission(now).filter(|_| admission.is_due(now)) {
            admission.evaluate(now, waited, Duration::from_millis(57));
        }
        let level = admission.level();
        assert!(
            now.since(began) < Duration::from_secs(15) || level < 0.5,
            "the level is {level} after {request} requests"
        );
    }
}
