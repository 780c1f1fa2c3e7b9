//! Ten shards and one service, and requests that end the searchers that run them.

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

/// Content of requests that end the searchers that run them.
pub const DEADLY: ContentKey = ContentKey(0xdead);

/// Services that the gathered route asks.
pub const SHARDS: [&str; 10] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"];

/// How an attempt ends whose searcher ended under it.
pub const BROKEN: AttemptOutcome = AttemptOutcome::Unknown(Unknown::Broken);

/// Ten shards of three searchers each, and a service of six.
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

/// An attempt of the gathered route that lost its searcher.
pub fn lost(content: ContentKey, searcher: u64, sent_at: BootTime) -> LostAttempt {
    LostAttempt { content, route: RouteDigest::of("all"), searcher: InstanceKey(searcher), sent_at }
}

/// Sends a request with a content to the engine.
pub fn ask(driver: &mut Driver, path: &str, content: ContentKey) -> RequestKey {
    let arrival = staircross_routing::Arrival { content, ..driver.arrival(path) };
    let key = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    key
}

/// Attempts of a request that nobody has ended yet; `ended` counts those that were.
pub fn sent_since(driver: &Driver, request: RequestKey, ended: usize) -> Vec<SendOrder> {
    driver.sent_for(request).into_iter().skip(ended).cloned().collect()
}

/// Has each searcher that runs a request end, one after the other, until nothing more is sent; returns how many did.
pub fn end_all(driver: &mut Driver, request: RequestKey) -> usize {
    let mut ended = 0;
    loop {
        let orders = sent_since(driver, request, ended);
        if orders.is_empty() {
            return ended;
        }
        for order in &orders {
            driver.pass_ms(2);
            driver.end(order.attempt, BROKEN);
        }
        ended += orders.len();
        driver.pass_ms(200);
    }
}

/// A good answer of the searcher that an attempt was sent to.
pub fn part(order: &SendOrder) -> AttemptOutcome {
    answer(200, &format!("{}.{}", order.instance, order.attempt.number), records(&[1]))
}

/// A searcher that is back after it ended, as another incarnation.
pub fn restart(driver: &mut Driver, instance: &str, service: &str) {
    driver.event(RoutingEvent::Searchers(vec![searcher(instance, service, "a")]));
}

/// What a peer publishes that has lost three searchers under a content.
pub fn told_by_peer(now: BootTime, content: ContentKey) -> Vec<CaseRecord> {
    let mut peer = Quarantine::default();
    for number in 0..3 {
        peer.note_lost(now + Duration::from_millis(number), lost(content, number, now));
    }
    peer.next_records(now + Duration::from_millis(5))
}
