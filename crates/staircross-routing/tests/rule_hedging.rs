//! Table tests of the hedging rule without an engine: when a hedge is sent, and whether.

use staircross_routing::RoutingPolicy;
use staircross_routing::decision::hedging::{
    HedgeDecision, HedgeTimes, LateAttempt, decide_hedge, hedge_delay_factor, hedges_paused_until,
};
use staircross_types::BootTime;
use std::time::Duration;

const NOW: BootTime = BootTime::from_millis(10_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn the_more_of_the_budget_is_left_the_earlier_a_hedge_goes_out() {
    // Inputs: unspent fraction of the budget, `None` if hedges disregard it. Expected: delay factor of the hedge.
    let rows = [(None, 1.0), (Some(1.0), 0.5), (Some(0.5), 0.9), (Some(0.0), 1.3)];
    for (spare_fraction, expected) in rows {
        assert!((hedge_delay_factor(spare_fraction) - expected).abs() < 1e-9, "{spare_fraction:?}");
    }
}

#[test]
fn a_hedge_goes_out_when_it_is_unusually_late_or_the_goal_is_near_but_not_before_usual_work_is_done() {
    // The round trip to the searcher is 2 ms and to the farthest other one 10 ms. Usual work takes 20 ms, unusually
    // long work 80 ms.
    let rows = [
        // Inputs: delay factor, time left to answer in ms. Expected: time until the hedge in ms.
        (1.0, 500, 82),
        (0.5, 500, 42),
        (1.3, 500, 106),
        // Another searcher needs its round trip of 10 ms and twice the usual work, so the hedge goes out 50 ms before
        // the answer is due.
        (1.0, 100, 50),
        (1.0, 90, 40),
        // A hedge never goes out before the round trip and 1.5 times the usual work have passed.
        (1.0, 60, 32),
        (0.1, 500, 32),
        (1.0, 0, 32),
    ];
    for (delay_factor, left, after) in rows {
        let (round_trip, other_round_trip) = (ms(2), ms(10));
        let times = HedgeTimes { round_trip, other_round_trip, usual: ms(20), late: ms(80), delay_factor };
        assert_eq!(times.hedge_at(NOW, NOW + ms(left)), NOW + ms(after), "{delay_factor} {left}");
    }
}

#[test]
fn only_a_restarted_process_rests_and_for_two_seconds() {
    let on = RoutingPolicy::default();
    let off = RoutingPolicy { start_rest: false, ..on };
    // Inputs: time of the restart (`None` for the first process on its machine), policy. Expected: time until which
    // hedges are paused.
    let rows =
        [(None, on, BootTime::default()), (Some(NOW), on, NOW + ms(2000)), (Some(NOW), off, BootTime::default())];
    for (restarted_at, policy, expected) in rows {
        assert_eq!(hedges_paused_until(restarted_at, &policy), expected);
    }
}

#[test]
fn a_late_attempt_is_hedged_once_and_only_where_its_route_may_run_twice() {
    let late = LateAttempt { is_idempotent: true, is_key_revoked: false, is_alone: true, may_be_sent: true };
    let on = RoutingPolicy::default();
    let off = RoutingPolicy { hedges: false, ..on };
    let (no_pause, pause_end) = (BootTime::default(), NOW + ms(700));
    let hedge = HedgeDecision::Hedge { again_at: NOW + ms(25) };
    // Inputs: late attempt, time until which hedges are paused, policy. Expected: decision.
    let rows = [
        (late, no_pause, on, hedge),
        (late, NOW, on, hedge),
        (late, pause_end, on, HedgeDecision::NotBefore(pause_end)),
        (late, no_pause, off, HedgeDecision::Never),
        (LateAttempt { is_idempotent: false, ..late }, no_pause, on, HedgeDecision::Never),
        (LateAttempt { is_idempotent: false, ..late }, pause_end, on, HedgeDecision::Never),
        (LateAttempt { is_key_revoked: true, ..late }, no_pause, on, HedgeDecision::Never),
        (LateAttempt { is_alone: false, ..late }, no_pause, on, HedgeDecision::Never),
        (LateAttempt { is_alone: false, ..late }, pause_end, on, HedgeDecision::NotBefore(pause_end)),
        (LateAttempt { may_be_sent: false, ..late }, no_pause, on, HedgeDecision::Never),
    ];
    for (late, paused_until, policy, expected) in rows {
        assert_eq!(decide_hedge(NOW, late, paused_until, &policy), expected, "{late:?} {paused_until:?}");
    }
}
