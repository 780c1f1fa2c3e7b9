//! Searchers that are healthy but reject requests: work moves to others, and returns after the searchers recover.

mod common;

use common::{Driver, answer, definition, route, searcher};
use staircross_routing::{AttemptOutcome, NotRun, RequestKey, RouteTarget, SearcherEntry};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time between requests, in milliseconds.
const SPACING_MS: u64 = 20;

/// A node and the searchers of one service. Those listed as `rejecting` reject all requests.
struct Site {
    driver: Driver,
    rejecting: Vec<&'static str>,
    /// Number of attempts that each searcher received and that have ended.
    attempts_received: BTreeMap<String, usize>,
    requests: Vec<RequestKey>,
    /// Number of sends, counted from the first, whose attempts have ended.
    ended_sends: usize,
}

impl Site {
    fn new(searchers: Vec<SearcherEntry>) -> Self {
        let mut route = route("s", RouteTarget::Service(Arc::from("x")));
        route.max_attempts = searchers.len() as u32;
        let driver = Driver::with(definition(1, vec![route], &["x"]), searchers);
        Site { driver, rejecting: Vec::new(), attempts_received: BTreeMap::new(), requests: Vec::new(), ended_sends: 0 }
    }

    /// Sends this number of requests. Rejecting searchers reject at once; the others answer after 5 ms.
    fn send_requests(&mut self, requests: usize) {
        for _ in 0..requests {
            let key = self.driver.request("/s/1");
            self.requests.push(key);
            self.end_rejected();
            self.driver.advance_ms(5);
            self.end_rejected();
            while self.ended_sends < self.driver.sends.len() {
                self.end_next(answer(200, "p", Vec::new()));
                self.end_rejected();
            }
            self.driver.advance_ms(SPACING_MS - 5);
        }
    }

    /// Ends the next attempts as rejected, up to the first one whose searcher doesn't reject.
    fn end_rejected(&mut self) {
        while self.driver.sends.get(self.ended_sends).is_some_and(|order| self.rejecting.contains(&&*order.instance)) {
            self.end_next(AttemptOutcome::NotRun(NotRun::Shed));
        }
    }

    /// Ends the earliest attempt that is still open.
    fn end_next(&mut self, outcome: AttemptOutcome) {
        let order = self.driver.sends[self.ended_sends].clone();
        self.ended_sends += 1;
        *self.attempts_received.entry(order.instance.to_string()).or_default() += 1;
        self.driver.end(order.attempt, outcome);
    }

    /// Returns the number of attempts that a searcher received, and resets it.
    fn take_attempts_received(&mut self, instance: &str) -> usize {
        self.attempts_received.remove(instance).unwrap_or_default()
    }

    /// Returns the number of requests that were refused.
    fn count_refused(&self) -> usize {
        self.requests.iter().filter(|key| self.driver.refusal(**key).is_some()).count()
    }
}

fn site_with_three_searchers() -> Site {
    Site::new(vec![searcher("a1", "x", "a"), searcher("a2", "x", "a"), searcher("b1", "x", "b")])
}

#[test]
fn a_searcher_that_rejects_is_soon_asked_little_and_others_serve() {
    let mut site = site_with_three_searchers();
    site.rejecting = vec!["a1", "a2"];
    site.send_requests(20);
    site.attempts_received.clear();
    site.send_requests(200);
    let rejected = site.take_attempts_received("a1") + site.take_attempts_received("a2");
    assert!(rejected < 20, "{rejected} attempts for 200 requests were rejected");
    assert_eq!(site.count_refused(), 0);
}

#[test]
fn a_searcher_that_has_recovered_gets_work_again_within_seconds() {
    let mut site = Site::new(vec![searcher("a1", "x", "a"), searcher("a2", "x", "a")]);
    site.rejecting = vec!["a1"];
    site.send_requests(100);
    site.rejecting.clear();
    // In these 18 s, the estimated rejection rate halves more than four times, as the searcher rejects nothing more.
    site.send_requests(900);
    site.attempts_received.clear();
    site.send_requests(100);
    assert!(site.take_attempts_received("a1") > 20);
}

#[test]
fn where_all_reject_alike_all_are_still_asked() {
    let mut site = site_with_three_searchers();
    site.rejecting = vec!["a1", "a2", "b1"];
    site.send_requests(300);
    for instance in ["a1", "a2", "b1"] {
        assert!(site.take_attempts_received(instance) > 15, "{instance} isn't asked any more");
    }
}
