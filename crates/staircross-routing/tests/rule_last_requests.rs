//! Table test of the rule which requests a node that is about to stop still begins.

use staircross_routing::decision::last_requests::{LastRequest, may_begin};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_request_is_begun_if_it_ends_or_is_probably_answered_in_time() {
    let rows = [
        // Inputs: time until the request's deadline and a late answer of its route in ms, whether it is idempotent.
        // Expected: whether it is begun 2000 ms before the node stops.
        (2000, None, false, true),
        (2001, None, false, false),
        (2001, None, true, true),
        (2000, Some(5000), false, true),
        (2001, Some(5000), true, false),
        (15_000, Some(1000), false, true),
        (15_000, Some(1001), false, false),
        (15_000, Some(1001), true, false),
    ];
    for (until_deadline, late_answer, is_idempotent, expected) in rows {
        let request = LastRequest {
            until_stop: ms(2000),
            until_deadline: ms(until_deadline),
            late_answer: late_answer.map(ms),
            is_idempotent,
        };
        assert_eq!(may_begin(request), expected, "{request:?}");
    }
}
