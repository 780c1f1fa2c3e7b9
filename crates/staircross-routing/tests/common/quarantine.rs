//! A driver with ten shards and one service, and helpers for requests that crash the searchers that run them.

use super::{Driver, answer, definition, gather, records, route, searcher};
use staircross_routing::decision::quarantine::Quarantine;
use staircross_routing::engine::SendOrder;
use staircross_routing::state::request::Unknown;
use staircross_routing::{
    AttemptOutcome, CaseRecord, ContentKey, InstanceKey, LostAttempt, RequestKey, RouteDigest, RouteTarget,
    RoutingEvent, SearcherEntry,
};
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

/// Content of requests that crash the searchers that run them.
pub const CRASHING_CONTENT: ContentKey = ContentKey(0xdead);

/// Shards of the gather route.
pub const SHARDS: [&str; 10] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"];

/// Outcome of an attempt whose searcher crashed while it ran.
pub const BROKEN: AttemptOutcome = AttemptOutcome::Unknown(Unknown::Broken);

/// Returns a driver with ten shards of three searchers each and a service `single` of six. Its routes are `all` (a
/// gather of the shards), `one` (the service) and `once` (the service, not idempotent).
pub fn driver() -> Driver {
    let mut one = route("one", RouteTarget::Service(Arc::from("single")));
    one.max_attempts = 3;
    let mut all = route("all", gather(&SHARDS, 3, 0.8));
    all.max_attempts = 3;
    let mut once = route("once", RouteTarget::Service(Arc::from("single")));
    once.is_idempotent = false;
    let mut services = SHARDS.to_vec();
    services.push("single");
    let of_shards = SHARDS.iter().flat_map(|shard| (0..3).map(move |i| searcher(&format!("{shard}-{i}"), shard, "a")));
    let of_single = (0..6).map(|i| searcher(&format!("single-{i}"), "single", "a"));
    let searchers: Vec<SearcherEntry> = of_shards.chain(of_single).collect();
    Driver::with(definition(1, vec![one, all, once], &services), searchers)
}

/// Returns an attempt of the gather route whose searcher was lost.
pub fn lost_attempt(content: ContentKey, searcher: u64, sent_at: BootTime) -> LostAttempt {
    LostAttempt { content, route: RouteDigest::of("all"), searcher: InstanceKey(searcher), sent_at }
}

/// Lets a request with this content arrive at the engine, and returns its key.
pub fn ask(driver: &mut Driver, path: &str, content: ContentKey) -> RequestKey {
    let arrival = staircross_routing::Arrival { content, ..driver.arrival(path) };
    let key = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    key
}

/// Returns the orders of a request after the first `ended` ones, which the test has ended already.
pub fn sent_since(driver: &Driver, request: RequestKey, ended: usize) -> Vec<SendOrder> {
    driver.sent_for(request).into_iter().skip(ended).cloned().collect()
}

/// Crashes each searcher that runs a request, one after the other, until nothing more is sent. Returns the number of
/// crashed searchers.
pub fn crash_all(driver: &mut Driver, request: RequestKey) -> usize {
    let mut ended = 0;
    loop {
        let orders = sent_since(driver, request, ended);
        if orders.is_empty() {
            return ended;
        }
        for order in &orders {
            driver.advance_ms(2);
            driver.end(order.attempt, BROKEN);
        }
        ended += orders.len();
        driver.advance_ms(200);
    }
}

/// Returns a successful answer of the searcher that an attempt was sent to.
pub fn part_answer(order: &SendOrder) -> AttemptOutcome {
    answer(200, &format!("{}.{}", order.instance, order.attempt.number), records(&[1]))
}

/// Tells the engine of another instance of a service, which replaces a crashed one.
pub fn add_searcher(driver: &mut Driver, instance: &str, service: &str) {
    driver.event(RoutingEvent::Searchers(vec![searcher(instance, service, "a")]));
}

/// Returns the records that a peer publishes after three of its searchers were lost while running a content.
pub fn peer_case_records(now: BootTime, content: ContentKey) -> Vec<CaseRecord> {
    let mut peer = Quarantine::default();
    for number in 0..3 {
        peer.note_lost(now + Duration::from_millis(number), lost_attempt(content, number, now));
    }
    peer.next_records(now + Duration::from_millis(5))
}
