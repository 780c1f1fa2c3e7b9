//! First probes: while a route is on alarm because its requests recently crashed searchers, a content that hasn't been
//! answered is sent to one shard first.
//!
//! The tests use ten shards of three searchers each. They check how many searchers a crashing request costs, and how
//! long harmless requests are delayed.

mod common;

use common::{Driver, answer, definition, gather, records, route, searcher, settings};
use staircross_routing::decision::quarantine::Quarantine;
use staircross_routing::engine::{SendOrder, SendReason};
use staircross_routing::state::request::Unknown;
use staircross_routing::{
    Arrival, AttemptOutcome, ContentKey, InstanceKey, LostAttempt, NotRun, RequestKey, RequestOutcome, RouteDigest,
    RoutingEvent, RoutingPolicy, RoutingSettings,
};
use staircross_types::BootTime;
use std::time::Duration;

const SHARDS: [&str; 10] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"];
const BROKEN: AttemptOutcome = AttemptOutcome::Unknown(Unknown::Broken);
/// Time that a searcher works on a sub-request.
const WORK: Duration = Duration::from_millis(30);
/// Most searchers that a content may crash while its route is on alarm: the three whose losses quarantine it, and one
/// that was already asked by then.
const MAX_CRASHES: usize = 4;
/// Latency goal of the route.
const GOAL: Duration = Duration::from_millis(250);
/// Rejections of one request. They are so many that a delay which doubled with each of them would overflow any clock.
const REJECTIONS: usize = 80;
/// Time from a searcher's crash until another one replaces it.
const RESTART_TIME: Duration = Duration::from_secs(4);

fn driver_with(policy: RoutingPolicy) -> Driver {
    let mut all = route("all", gather(&SHARDS, 3, 0.8));
    all.max_attempts = 3;
    let other = route("other", gather(&SHARDS, 3, 0.8));
    let searchers = SHARDS.iter().flat_map(|shard| (0..3).map(move |i| searcher(&format!("{shard}-{i}"), shard, "a")));
    let settings = RoutingSettings { policy, ..settings() };
    let mut driver = Driver::with_settings(settings, definition(1, vec![all, other], &SHARDS), searchers.collect());
    // Lets the engine learn the usual work.
    for number in 0..40 {
        let request = ask(&mut driver, "/all/usual", ContentKey(1_000_000 + number));
        answer_all(&mut driver, request);
    }
    driver
}

fn driver() -> Driver {
    driver_with(RoutingPolicy::default())
}

fn ask(driver: &mut Driver, path: &str, content: ContentKey) -> RequestKey {
    let arrival = Arrival { content, ..driver.arrival(path) };
    let key = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    key
}

fn part_answer(order: &SendOrder) -> AttemptOutcome {
    answer(200, &format!("{}.{}", order.instance, order.attempt.number), records(&[1]))
}

/// Lets all searchers that are asked answer after the usual work until the request has ended. Returns the time it took.
fn answer_all(driver: &mut Driver, request: RequestKey) -> Duration {
    let began = driver.now;
    let mut answered = 0;
    while driver.outcome(request).is_none() {
        let orders: Vec<SendOrder> = driver.sent_for(request).into_iter().skip(answered).cloned().collect();
        assert!(!orders.is_empty(), "the request has no outcome, but no searcher is asked");
        driver.advance(WORK);
        orders.iter().for_each(|order| driver.end(order.attempt, part_answer(order)));
        answered += orders.len();
    }
    driver.now.since(began)
}

/// Crashes each searcher that runs a content, in two requests of a caller that tries again, and then replaces them.
/// Returns the number of crashed searchers.
fn crash_all(driver: &mut Driver, content: ContentKey) -> usize {
    let mut crashed = 0;
    for _ in 0..2 {
        let request = ask(driver, "/all/x", content);
        let mut ended = 0;
        loop {
            let orders: Vec<SendOrder> = driver.sent_for(request).into_iter().skip(ended).cloned().collect();
            if orders.is_empty() {
                break;
            }
            driver.advance(WORK);
            orders.iter().for_each(|order| driver.end(order.attempt, BROKEN));
            ended += orders.len();
            driver.advance_ms(50);
        }
        crashed += ended;
    }
    replace_all(driver);
    crashed
}

/// Advances the clock by the restart time and adds a new searcher to each shard.
fn replace_all(driver: &mut Driver) {
    driver.advance(RESTART_TIME);
    for shard in SHARDS {
        let again = searcher(&format!("{shard}-{}", driver.now.since(BootTime::default()).as_millis()), shard, "a");
        driver.event(RoutingEvent::Searchers(vec![again]));
    }
}

#[test]
fn of_several_requests_that_end_their_searchers_only_the_first_ends_one_of_each_shard() {
    let mut driver = driver();
    let first = crash_all(&mut driver, ContentKey(1));
    assert!((10..=12).contains(&first), "the first content crashed {first} searchers");
    for number in 2..6 {
        let crashed = crash_all(&mut driver, ContentKey(number));
        assert!(crashed <= 3, "content {number} crashed {crashed} searchers");
    }
}

#[test]
fn without_first_probes_each_of_them_ends_one_of_each_shard() {
    let mut driver = driver_with(RoutingPolicy { first_probes: false, ..RoutingPolicy::default() });
    for number in 1..4 {
        assert!(crash_all(&mut driver, ContentKey(number)) >= 10, "content {number}");
    }
}

#[test]
fn a_harmless_request_during_an_alarm_takes_one_part_longer() {
    let mut driver = driver();
    crash_all(&mut driver, ContentKey(1));
    let request = ask(&mut driver, "/all/new", ContentKey(100));
    assert_eq!(driver.sent_for(request).len(), 1, "one shard is asked first");
    assert_eq!(answer_all(&mut driver, request), WORK * 2);
    assert_eq!(driver.sent_for(request).len(), 10);
    assert!(matches!(driver.outcome(request), Some(RequestOutcome::Merged(merged)) if merged.missing == 0));
    let known = ask(&mut driver, "/all/new", ContentKey(100));
    assert_eq!(driver.sent_for(known).len(), 10, "a content that was answered lately isn't delayed");
    let elsewhere = ask(&mut driver, "/other/new", ContentKey(101));
    assert_eq!(driver.sent_for(elsewhere).len(), 10, "a request of another route isn't delayed");
}

#[test]
fn the_shard_asked_first_is_not_always_the_same() {
    let mut driver = driver();
    crash_all(&mut driver, ContentKey(1));
    let mut first = Vec::new();
    for number in 0..20 {
        let request = ask(&mut driver, "/all/new", ContentKey(100 + number));
        first.push(driver.sent_for(request)[0].instance.split('-').next().map(str::to_owned));
        answer_all(&mut driver, request);
    }
    first.sort_unstable();
    first.dedup();
    assert!(first.len() >= 5, "{first:?}");
}

/// A missing answer is no evidence about a content, and a stalled searcher must not delay the request. So one more
/// shard is asked at growing intervals, and all others once any has answered.
#[test]
fn while_nobody_answers_one_more_shard_is_asked_each_time_later_and_later() {
    let mut driver = driver();
    crash_all(&mut driver, ContentKey(1));
    let request = ask(&mut driver, "/all/new", ContentKey(100));
    let begun = driver.now;
    driver.advance(Duration::from_secs(2));
    let of_request = |index: &usize| driver.sends[*index].attempt.request == request;
    let sent = (0..driver.sends.len()).filter(of_request).map(|index| driver.sent_at[index].since(begun).as_millis());
    let sent: Vec<u128> = sent.collect();
    let gaps: Vec<u128> = sent.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps[0].abs_diff(WORK.as_millis() * 3) <= WORK.as_millis() / 2, "{sent:?}");
    assert!(gaps.windows(2).all(|pair| pair[1].abs_diff(pair[0] * 2) <= 2), "{sent:?}");
    let orders: Vec<SendOrder> = driver.sent_for(request).into_iter().cloned().collect();
    let mut shards: Vec<&str> = orders.iter().filter_map(|order| order.instance.split('-').next()).collect();
    shards.sort_unstable();
    shards.dedup();
    assert_eq!(shards.len(), 5, "each probe goes to another shard, five in two seconds");
    driver.end(orders[2].attempt, part_answer(&orders[2]));
    let first = driver.sent_for(request).into_iter().filter(|order| order.reason == SendReason::First).count();
    assert_eq!(first, 10);
}

/// Sends a crashing request twice. Each searcher works for `delay` before it crashes, whatever becomes of the request
/// meanwhile. Replaces the searchers afterwards. Returns the number of crashed searchers.
fn crash_all_late(driver: &mut Driver, content: ContentKey, delay: Duration) -> usize {
    let begun = driver.sends.len();
    let mut next_send = begun;
    for _ in 0..2 {
        let request = ask(driver, "/all/x", content);
        while driver.outcome(request).is_none() || next_send < driver.sends.len() {
            driver.advance_ms(1);
            while driver.sent_at.get(next_send).is_some_and(|sent_at| driver.now.since(*sent_at) >= delay) {
                driver.end(driver.sends[next_send].attempt, BROKEN);
                next_send += 1;
            }
        }
    }
    replace_all(driver);
    next_send - begun
}

/// A request that crashes a searcher by exhausting its memory or by an endless loop takes long to do so. So a missing
/// answer is no evidence that the request is harmless.
#[test]
fn late_ends_cost_hardly_more_searchers_than_early_ones() {
    for delay_ms in [20, 100, 250, 600] {
        let mut driver = driver();
        let delay = Duration::from_millis(delay_ms);
        crash_all_late(&mut driver, ContentKey(1), delay);
        for number in 2..6 {
            let crashed = crash_all_late(&mut driver, ContentKey(number), delay);
            assert!(crashed <= MAX_CRASHES, "content {number} crashed {crashed} searchers, each after {delay_ms} ms");
        }
    }
}

/// A request doesn't wait for a stalled searcher longer than it takes to see that another one answers.
#[test]
fn a_harmless_request_whose_first_shard_stands_still_is_answered_within_its_goal() {
    let mut driver = driver();
    crash_all(&mut driver, ContentKey(1));
    let request = ask(&mut driver, "/all/new", ContentKey(100));
    let unanswered = driver.sent_for(request)[0].clone();
    let began = driver.now;
    let mut answered = vec![unanswered.attempt];
    while driver.outcome(request).is_none() && driver.now.since(began) < GOAL * 2 {
        driver.advance_ms(1);
        let is_due = |at: &BootTime| driver.now.since(*at) >= WORK;
        let due: Vec<SendOrder> = driver
            .sends
            .iter()
            .zip(&driver.sent_at)
            .filter(|(_, at)| is_due(at))
            .map(|(order, _)| order.clone())
            .collect();
        for order in due.into_iter().filter(|order| order.attempt.request == request) {
            if !answered.contains(&order.attempt) {
                answered.push(order.attempt);
                driver.end(order.attempt, part_answer(&order));
            }
        }
    }
    assert!(driver.now.since(began) <= GOAL, "{:?}", driver.now.since(began));
    assert!(matches!(driver.outcome(request), Some(RequestOutcome::Merged(merged)) if merged.missing == 0));
}

/// A searcher that rejects a request hasn't run it and causes no wait. So the time for which a missing answer is waited
/// for must not grow with the number of rejections.
#[test]
fn a_request_that_was_rejected_often_asks_another_shard_within_its_goal() {
    let mut driver = driver();
    crash_all(&mut driver, ContentKey(1));
    let caller_timeout = Some(Duration::from_secs(30));
    let arrival = Arrival { content: ContentKey(100), caller_timeout, ..driver.arrival("/all/new") };
    let request = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    for rejected in 0..REJECTIONS {
        let order = driver.sent_for(request).last().expect("a searcher is asked").attempt;
        driver.end(order, AttemptOutcome::NotRun(NotRun::Shed));
        while driver.sent_for(request).len() == rejected + 1 {
            driver.advance_ms(1);
        }
    }
    driver.advance(GOAL);
    assert_eq!(driver.sent_for(request).len(), REJECTIONS + 2, "one more shard is asked while one doesn't answer");
}

#[test]
fn after_a_loss_another_searcher_is_asked_alone() {
    let mut driver = driver();
    crash_all(&mut driver, ContentKey(1));
    let request = ask(&mut driver, "/all/new", ContentKey(100));
    let order = driver.sent_for(request)[0].clone();
    driver.advance(WORK);
    driver.end(order.attempt, BROKEN);
    assert_eq!(driver.sent_for(request).len(), 2);
    let again = driver.sent_for(request)[1].clone();
    driver.advance(WORK);
    driver.end(again.attempt, part_answer(&again));
    assert_eq!(
        driver.sent_for(request).len(),
        11,
        "the content was answered, so it is harmless and all shards are asked"
    );
}

#[test]
fn an_alarm_is_told_once_and_ends_sooner_where_only_one_content_is_quarantined() {
    let (after_one, after_several) = (Duration::from_secs(15), Duration::from_secs(120));
    for (contents, alarm_duration) in [(1, after_one), (2, after_several)] {
        let mut driver = driver();
        assert!(driver.alarms.is_empty(), "no alarm is raised before a loss");
        for number in 0..contents {
            crash_all(&mut driver, ContentKey(1 + number));
        }
        assert_eq!(driver.alarms, [("all".to_owned(), true)]);
        assert_alarm_lasts(&mut driver, alarm_duration);
    }
}

/// Checks that the alarm still holds a second before `alarm_duration` has passed since the newest loss, and has ended a
/// second after it.
fn assert_alarm_lasts(driver: &mut Driver, alarm_duration: Duration) {
    driver.advance(alarm_duration - RESTART_TIME - Duration::from_secs(1));
    let request = ask(driver, "/all/new", ContentKey(100));
    assert_eq!(driver.sent_for(request).len(), 1);
    answer_all(driver, request);
    driver.advance(Duration::from_secs(2));
    let request = ask(driver, "/all/new", ContentKey(101));
    assert_eq!(driver.sent_for(request).len(), 10);
    answer_all(driver, request);
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
    driver.event(RoutingEvent::PeerCases(peer.next_records(at)));
    let request = ask(&mut driver, "/all/new", ContentKey(100));
    assert_eq!(driver.sent_for(request).len(), 1);
    answer_all(&mut driver, request);
    peer.note_answered(at + WORK, ContentKey(1));
    driver.event(RoutingEvent::PeerCases(peer.next_records(at + WORK)));
    let request = ask(&mut driver, "/all/new", ContentKey(101));
    assert_eq!(driver.sent_for(request).len(), 10);
    assert_eq!(driver.alarms, [("all".to_owned(), true), ("all".to_owned(), false)]);
}
