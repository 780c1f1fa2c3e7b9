//! The time at which a hedge is sent, which depends on how much of the budget for extra sends is left.

mod common;

use common::{Driver, answer, definition, route, searcher};
use proptest::prelude::*;
use staircross_routing::decision::extra_budget::{ExtraBound, ExtraWindow};
use staircross_routing::state::request::Unknown;
use staircross_routing::{AttemptOutcome, RequestKey, RouteTarget};
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

/// Time that a searcher usually takes for a request, in milliseconds.
const WORK_MS: u64 = 10;

/// Returns a driver that has learned the usual work of its route from 200 answers. Every eighth of them took 60 ms, the
/// others 10 ms.
fn driver_with_known_work_time() -> Driver {
    let routes = vec![route("s", RouteTarget::Service(Arc::from("x")))];
    let searchers = vec![searcher("a1", "x", "a"), searcher("a2", "x", "a")];
    let mut driver = Driver::with(definition(1, routes, &["x"]), searchers);
    for number in 0..200 {
        let request = driver.request("/s/1");
        let attempt = driver.sent_for(request)[0].attempt;
        driver.advance_ms(if number % 8 == 0 { 6 * WORK_MS } else { WORK_MS });
        driver.end(attempt, answer(200, "p", Vec::new()));
        driver.advance_ms(40);
    }
    driver
}

/// Advances the clock until the request is hedged, and returns the time since the call in milliseconds.
fn advance_until_hedged(driver: &mut Driver, request: RequestKey) -> u64 {
    let began = driver.now;
    while driver.sent_for(request).len() < 2 {
        driver.advance_ms(1);
        assert!(driver.now < began + Duration::from_secs(2), "the request was never hedged");
    }
    driver.now.since(began).as_millis() as u64
}

/// Sends requests whose first answer is lost, so that their retries use up most of the budget.
fn spend_most_of_the_budget(driver: &mut Driver) {
    for _ in 0..20 {
        let request = driver.request("/s/1");
        let first = driver.sent_for(request)[0].attempt;
        driver.end(first, AttemptOutcome::Unknown(Unknown::Broken));
        let second = driver.sent_for(request)[1].attempt;
        driver.advance_ms(WORK_MS);
        driver.end(second, answer(200, "p", Vec::new()));
    }
}

#[test]
fn hedges_go_out_later_when_little_of_the_budget_is_left() {
    let mut full_budget = driver_with_known_work_time();
    let request = full_budget.request("/s/1");
    let early = advance_until_hedged(&mut full_budget, request);
    let mut spent_budget = driver_with_known_work_time();
    spend_most_of_the_budget(&mut spent_budget);
    let request = spent_budget.request("/s/1");
    let late = advance_until_hedged(&mut spent_budget, request);
    assert!(early < late, "hedged after {early} ms with all of the budget, after {late} ms with little");
}

proptest! {
    #[test]
    fn what_is_left_of_a_budget_falls_with_each_send_and_never_below_nothing(
        requests in 0_u32..400,
        sends in 0_u32..200,
        slack in 0.0_f64..50.0,
    ) {
        let bound = ExtraBound { ratio: 0.2, window: Duration::from_secs(10), slack };
        let now = BootTime::from_millis(1_000_000);
        let mut window = ExtraWindow::default();
        (0..requests).for_each(|_| window.count_request(now, &bound));
        let mut previous = window.spare_fraction(now, &bound, 1.0);
        for _ in 0..sends {
            window.try_spend(now, &bound, 1.0);
            let spare = window.spare_fraction(now, &bound, 1.0);
            prop_assert!((0.0..=1.0).contains(&spare) && spare <= previous);
            previous = spare;
        }
    }
}
