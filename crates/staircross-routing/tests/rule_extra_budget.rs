//! Table tests of the budget for extra sends without an engine: which sends it pays for, how many it permits, and when
//! it recovers.

use staircross_routing::decision::extra_budget::{ExtraBound, ExtraWindow, is_paid};
use staircross_routing::state::request::SendReason;
use staircross_types::BootTime;
use std::time::Duration;

const NOW: BootTime = BootTime::from_millis(100_000);

fn bound(slack: f64) -> ExtraBound {
    ExtraBound { ratio: 0.2, window: Duration::from_secs(10), slack }
}

/// Returns a window that has counted this number of requests, all at `NOW`.
fn window_with_requests(requests: u32, bound: &ExtraBound) -> ExtraWindow {
    let mut window = ExtraWindow::default();
    (0..requests).for_each(|_| window.count_request(NOW, bound));
    window
}

#[test]
fn only_what_may_run_besides_another_attempt_is_paid() {
    // Inputs: reason of a send. Expected: whether the send is paid from the budget.
    let rows = [
        (SendReason::First, false),
        (SendReason::Reroute, false),
        (SendReason::Hedge, true),
        (SendReason::Retry, true),
    ];
    for (reason, expected) in rows {
        assert_eq!(is_paid(reason), expected, "{reason:?}");
    }
}

#[test]
fn a_node_spends_a_fraction_of_its_requests_and_its_share_of_the_slack() {
    let rows = [
        // Inputs: requests, slack, share of the slack of this node. Expected: extra sends that are permitted.
        (0, 0.0, 1.0, 0),
        (5, 0.0, 1.0, 0),
        (6, 0.0, 1.0, 1),
        (100, 0.0, 1.0, 17),
        (0, 50.0, 1.0, 20),
        (0, 50.0, 0.25, 5),
        (100, 50.0, 0.25, 22),
    ];
    for (requests, slack, share, permitted) in rows {
        let bound = bound(slack);
        let mut window = window_with_requests(requests, &bound);
        let sent = (0..200).filter(|_| window.try_spend(NOW, &bound, share)).count();
        assert_eq!(sent, permitted, "{requests} {slack} {share}");
    }
}

#[test]
fn what_was_spent_is_back_once_it_has_left_the_window() {
    let bound = bound(10.0);
    // Inputs: ms since the budget was used up. Expected: whether an extra send is permitted.
    for (after_ms, is_permitted) in [(0, false), (9_000, false), (10_000, false), (10_500, true)] {
        let mut window = window_with_requests(0, &bound);
        while window.try_spend(NOW, &bound, 1.0) {}
        let later = NOW + Duration::from_millis(after_ms);
        assert_eq!(window.try_spend(later, &bound, 1.0), is_permitted, "{after_ms}");
    }
}
