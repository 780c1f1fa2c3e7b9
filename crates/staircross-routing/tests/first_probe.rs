//! While a route's requests have ended searchers lately, what nobody has answered is tried on one shard first.
//!
//! Ten shards of three searchers each; what a request costs when it ends whoever runs it, and what the others wait for.

mod common;

use common::{Driver, answer, definition, gather, records, route, searcher, settings};
use staircross_routing::decision::quarantine::Quarantine;
use staircross_routing::engine::{SendOrder, SendReason};
use staircross_routing::state::request::Unknown;
use staircross_routing::{
    AttemptOutcome, ContentKey, InstanceKey, LostAttempt, RequestKey, RouteDigest, RoutingEvent, RoutingPolicy,
    RoutingSettings, Verdict,
};
use staircross_types::BootTime;
use std::time::Duration;

const SHARDS: [&str; 10] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"];
const BROKEN: AttemptOutcome = AttemptOutcome::Unknown(Unknown::Broken);
/// Time that a run of these tests takes.
const WORK: Duration = Duration::from_millis(30);
/// Time from a searcher's end until another is in its place.
const RESTART: Duration = Duration::from_secs(4);

fn driver_with(policy: RoutingPolicy) -> Driver {
    let mut all = route("all", gather(&SHARDS, 3, 0.8));
    all.max_attempts = 3;
    let other = route("other", gather(&SHARDS, 3, 0.8));
    let searchers = SHARDS.iter().flat_map(|shard| (0..3).map(move |i| searcher(&format!("{shard}-{i}"), shard, "a")));
    let settings = RoutingSettings { policy, ..settings() };
    let mut driver = Driver::with_settings(settings, definition(1, vec![all, other], &SHARDS), searchers.collect());
    // Usual work is known.
    for number in 0..40 {
        let request = ask(&mut driver, "/all/usual", ContentKey(1_000_000 + number));
        serve(&mut driver, request);
    }
    driver
}

fn driver() -> Driver {
    driver_with(RoutingPolicy::default())
}

fn ask(driver: &mut Driver, path: &str, content: ContentKey) -> RequestKey {
    let arrival = staircross_routing::Arrival { content, ..driver.arrival(path) };
    let key = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    key
}

fn part(order: &SendOrder) -> AttemptOutcome {
    answer(200, &format!("{}.{}", order.instance, order.attempt.number), records(&[1]))
}

/// Has all searchers that are asked answer after the usual work, until the request has ended; returns how long it took.
fn serve(driver: &mut Driver, request: RequestKey) -> Duration {
    let began = driver.now;
    let mut answered = 0;
    while driver.verdict(request).is_none() {
        let orders: Vec<SendOrder> = driver.sent_for(request).into_iter().skip(answered).cloned().collect();
        assert!(!orders.is_empty(), "nobody is asked, and nothing is said");
        driver.pass(WORK);
        orders.iter().for_each(|order| driver.end(order.attempt, part(order)));
        answered += orders.len();
    }
    driver.now.since(began)
}

/// Has each searcher that runs a content end, over two tries of its caller; others take their places. Returns how many ended.
fn end_all(driver: &mut Driver, content: ContentKey) -> usize {
    let mut ended = 0;
    for _ in 0..2 {
        let request = ask(driver, "/all/x", content);
        let mut seen = 0;
        loop {
            let orders: Vec<SendOrder> = driver.sent_for(request).into_iter().skip(seen).cloned().collect();
            if orders.is_empty() {
                break;
            }
            driver.pass(WORK);
            orders.iter().for_each(|order| driver.end(order.attempt, BROKEN));
            seen += orders.len();
            driver.pass_ms(50);
        }
        ended += seen;
    }
    driver.pass(RESTART);
    for shard in SHARDS {
        let again = searcher(&format!("{shard}-{}", driver.now.since(BootTime::default()).as_millis()), shard, "a");
        driver.event(RoutingEvent::Searchers(vec![again]));
    }
    ended
}

#[test]
fn of_several_requests_that_end_their_searchers_only_the_first_ends_one_of_each_shard() {
    let mut driver = driver();
    let first = end_all(&mut driver, ContentKey(1));
    assert!((10..=12).contains(&first), "{first} searchers ended under the first");
    for number in 2..6 {
        let ended = end_all(&mut driver, ContentKey(number));
        assert!(ended <= 3, "{ended} searchers ended under content {number}");
    }
}

#[test]
fn without_first_probes_each_of_them_ends_one_of_each_shard() {
    let mut driver = driver_with(RoutingPolicy { first_probes: false, ..RoutingPolicy::default() });
    for number in 1..4 {
        assert!(end_all(&mut driver, ContentKey(number)) >= 10, "content {number}");
    }
}

#[test]
fn a_harmless_request_during_an_alarm_takes_one_part_longer() {
    let mut driver = driver();
    end_all(&mut driver, ContentKey(1));
    let request = ask(&mut driver, "/all/new", ContentKey(100));
    assert_eq!(driver.sent_for(request).len(), 1, "one shard is asked first");
    assert_eq!(serve(&mut driver, request), WORK * 2);
    assert_eq!(driver.sent_for(request).len(), 10);
    assert!(matches!(driver.verdict(request), Some(Verdict::Merged(merged)) if merged.missing == 0));
    let known = ask(&mut driver, "/all/new", ContentKey(100));
    assert_eq!(driver.sent_for(known).len(), 10, "what was answered lately isn't held up");
    let elsewhere = ask(&mut driver, "/other/new", ContentKey(101));
    assert_eq!(driver.sent_for(elsewhere).len(), 10, "nor is another route");
}

#[test]
fn the_shard_asked_first_is_not_always_the_same() {
    let mut driver = driver();
    end_all(&mut driver, ContentKey(1));
    let mut first = Vec::new();
    for number in 0..20 {
        let request = ask(&mut driver, "/all/new", ContentKey(100 + number));
        first.push(driver.sent_for(request)[0].instance.split('-').next().map(str::to_owned));
        serve(&mut driver, request);
    }
    first.sort_unstable();
    first.dedup();
    assert!(first.len() >= 5, "{first:?}");
}

#[test]
fn the_others_are_asked_when_the_first_outlives_what_usual_runs_take() {
    let mut driver = driver();
    end_all(&mut driver, ContentKey(1));
    let request = ask(&mut driver, "/all/new", ContentKey(100));
    driver.pass(WORK * 2);
    assert_eq!(driver.sent_for(request).len(), 1);
    driver.pass(WORK * 2);
    let first = driver.sent_for(request).into_iter().filter(|order| order.reason == SendReason::First).count();
    assert_eq!(first, 10);
}

#[test]
fn after_a_loss_another_searcher_is_asked_alone() {
    let mut driver = driver();
    end_all(&mut driver, ContentKey(1));
    let request = ask(&mut driver, "/all/new", ContentKey(100));
    let order = driver.sent_for(request)[0].clone();
    driver.pass(WORK);
    driver.end(order.attempt, BROKEN);
    assert_eq!(driver.sent_for(request).len(), 2);
    let again = driver.sent_for(request)[1].clone();
    driver.pass(WORK);
    driver.end(again.attempt, part(&again));
    assert_eq!(driver.sent_for(request).len(), 11, "one has answered: it is harmless, and was lost by chance");
}

#[test]
fn an_alarm_is_told_once_and_ends_sooner_where_only_one_content_is_quarantined() {
    let (after_one, after_several) = (Duration::from_secs(15), Duration::from_secs(120));
    for (contents, lasts) in [(1, after_one), (2, after_several)] {
        let mut driver = driver();
        assert!(driver.alarms.is_empty(), "nothing is held up on quiet days");
        for number in 0..contents {
            end_all(&mut driver, ContentKey(1 + number));
        }
        assert_eq!(driver.alarms, [("all".to_owned(), true)]);
        ends_after(&mut driver, lasts);
    }
}

/// The alarm holds until shortly before a time after the newest loss, and no longer.
fn ends_after(driver: &mut Driver, lasts: Duration) {
    driver.pass(lasts - RESTART - Duration::from_secs(1));
    let request = ask(driver, "/all/new", ContentKey(100));
    assert_eq!(driver.sent_for(request).len(), 1);
    serve(driver, request);
    driver.pass(Duration::from_secs(2));
    let request = ask(driver, "/all/new", ContentKey(101));
    assert_eq!(driver.sent_for(request).len(), 10);
    serve(driver, request);
    assert_eq!(driver.alarms, [("all".to_owned(), true), ("all".to_owned(), false)]);
}

#[test]
fn nodes_take_an_alarm_from_their_peers_and_drop_it_when_the_content_is_answered() {
    let mut peer = Quarantine::default();
    let mut at = BootTime::from_millis(5_000_000);
    for number in 0..3 {
        let sent_at = at;
        at = at + WORK;
        let lost = LostAttempt {
            content: ContentKey(1),
            route: RouteDigest::of("all"),
            searcher: InstanceKey(number),
            sent_at,
        };
        peer.note_lost(at, lost);
    }
    let mut driver = driver();
    driver.event(RoutingEvent::PeerCases(peer.records(at)));
    let request = ask(&mut driver, "/all/new", ContentKey(100));
    assert_eq!(driver.sent_for(request).len(), 1);
    serve(&mut driver, request);
    peer.note_answered(at + WORK, ContentKey(1));
    driver.event(RoutingEvent::PeerCases(peer.records(at + WORK)));
    let request = ask(&mut driver, "/all/new", ContentKey(101));
    assert_eq!(driver.sent_for(request).len(), 10);
    assert_eq!(driver.alarms, [("all".to_owned(), true), ("all".to_owned(), false)]);
}
