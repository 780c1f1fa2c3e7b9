//! Table tests of the rules of a request's lifecycle without an engine: when a request is begun, held, answered or
//! refused.

mod common;

use common::{answer, route};
use staircross_routing::decision::allowed_regions::AllowedRegions;
use staircross_routing::decision::request_lifecycle::{
    EndDecision, FailedRequest, NodeLoad, Progress, ReachableShards, StartDecision, TimeBounds, deadline, decide_end,
    decide_start, hold_until, is_passed_on, is_too_late, may_hold, refuse, refuse_if_overloaded,
};
use staircross_routing::{AttemptOutcome, RouteDefinition, RouteTarget, RoutingPolicy, TenantDefinition};
use staircross_types::{BootTime, ErrorKind, Executed};
use std::sync::Arc;
use std::time::Duration;

const NOW: BootTime = BootTime::from_millis(10_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_node_without_room_refuses_at_once() {
    let rows = [
        // Inputs: whether the node is late with its work, requests in flight (of at most 100).
        // Expected: kind of the refusal.
        (false, 99, None),
        (false, 100, Some(ErrorKind::Overloaded)),
        (true, 0, Some(ErrorKind::Overloaded)),
    ];
    for (is_overloaded, requests, kind) in rows {
        let load = NodeLoad { is_overloaded, requests, max_requests: 100 };
        assert_eq!(refuse_if_overloaded(load).map(|refusal| refusal.kind), kind, "{load:?}");
    }
}

#[test]
fn the_deadline_is_ten_milliseconds_before_the_callers_patience_or_the_routes_timeout_ends() {
    let rows = [
        // Inputs: timeout of the caller, time that the request waited to be read.
        // Expected: time until the deadline. All times are in ms.
        (None, 0, Some(3990)),
        (Some(9000), 0, Some(3990)),
        (Some(1000), 0, Some(990)),
        (Some(1000), 400, Some(590)),
        (Some(1000), 989, Some(1)),
        (Some(1000), 990, None),
        (Some(1000), 2000, None),
    ];
    for (caller_timeout, waited, after) in rows {
        let bounds = TimeBounds { timeout: ms(4000), caller_timeout: caller_timeout.map(ms), waited: ms(waited) };
        let verdict = deadline(NOW, bounds);
        assert_eq!(verdict.ok(), after.map(|after| NOW + ms(after)), "{bounds:?}");
        assert!(verdict.is_ok() || verdict.is_err_and(|refusal| refusal.kind == ErrorKind::Overloaded));
    }
}

fn regions(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn route_restricted_to(allowed: &[&str]) -> RouteDefinition {
    RouteDefinition { allowed_regions: regions(allowed), ..route("r", RouteTarget::Service(Arc::from("x"))) }
}

#[test]
fn nothing_is_begun_that_too_few_shards_can_answer() {
    let (anywhere, north) = (route_restricted_to(&[]), route_restricted_to(&["north"]));
    let south = TenantDefinition {
        name: Arc::from("t"),
        keys: Vec::new(),
        priority: 0,
        quota: None,
        allowed_regions: regions(&["south"]),
    };
    let (all, some) = (AllowedRegions::new(&anywhere, None), AllowedRegions::new(&north, None));
    let none = AllowedRegions::new(&north, Some(&south));
    let rows = [
        // At least 3 shards must answer. Inputs: shards that can be asked, whether all searchers are known, allowed
        // regions. Expected: whether the request is begun, held or refused, and with which kind.
        (3, true, all, "begin"),
        (3, false, some, "begin"),
        (2, true, all, "refuse no_replica"),
        (2, true, some, "refuse no_allowed_replica"),
        (2, false, all, "hold no_replica_yet"),
        (2, false, some, "hold no_replica_yet"),
        (0, true, none, "refuse no_allowed_replica"),
        (0, false, none, "refuse no_allowed_replica"),
    ];
    for (reachable, knows_searchers, regions, expected) in rows {
        let verdict = match decide_start(ReachableShards { reachable, min_shards: 3, knows_searchers, regions }) {
            StartDecision::Begin => "begin".to_owned(),
            StartDecision::Refuse(refusal) => format!("refuse {}", refusal.kind),
            StartDecision::Hold(refusal) => format!("hold {}", refusal.kind),
        };
        assert_eq!(verdict, expected, "{reachable} {knows_searchers} {regions:?}");
    }
}

#[test]
fn a_hold_takes_a_quarter_of_the_callers_patience_and_half_a_second_at_most() {
    // Inputs: timeout of the caller. Expected: time until the hold ends. All times are in ms.
    for (caller_timeout, after) in [(None, 500), (Some(400), 100), (Some(2000), 500), (Some(60_000), 500)] {
        assert_eq!(hold_until(NOW, caller_timeout.map(ms)), NOW + ms(after), "{caller_timeout:?}");
    }
    let on = RoutingPolicy::default();
    let off = RoutingPolicy { holds: false, ..on };
    // Inputs: number of requests that are held already, policy. Expected: whether another one may be held.
    for (held, policy, expected) in [(0, on, true), (511, on, true), (512, on, false), (0, off, false)] {
        assert_eq!(may_hold(held, &policy), expected, "{held}");
    }
}

#[test]
fn a_shard_waits_only_for_what_comes_before_the_deadline() {
    // Inputs: time of the retry. `NOW` is the deadline. Expected: whether the retry is too late.
    for (retry_at, expected) in [(NOW - ms(1), false), (NOW, true), (NOW + ms(1), true)] {
        assert_eq!(is_too_late(retry_at, NOW), expected);
    }
}

#[test]
fn a_request_ends_when_nothing_more_can_come_too_little_can_or_it_is_time() {
    // The request has four shards, and parts of at least three make an answer.
    // Inputs: progress of the request. Expected: whether it continues, is answered or fails.
    let waiting = Progress {
        parts: 0,
        open: 4,
        min_shards: 3,
        may_grow_in_time: true,
        is_past_goal: false,
        is_past_deadline: false,
        awaits_outcome: false,
    };
    let rows = [
        (waiting, EndDecision::Continue),
        (Progress { parts: 3, open: 1, ..waiting }, EndDecision::Continue),
        (Progress { parts: 4, open: 0, ..waiting }, EndDecision::Answer),
        (Progress { parts: 3, open: 0, ..waiting }, EndDecision::Answer),
        (Progress { parts: 3, open: 1, is_past_goal: true, ..waiting }, EndDecision::Answer),
        (Progress { parts: 3, open: 1, may_grow_in_time: false, ..waiting }, EndDecision::Answer),
        // There are too few parts for an answer. The request continues, as a late answer is better than none.
        (Progress { parts: 2, open: 2, is_past_goal: true, ..waiting }, EndDecision::Continue),
        (Progress { parts: 2, open: 2, may_grow_in_time: false, ..waiting }, EndDecision::Continue),
        (Progress { parts: 2, open: 2, is_past_goal: true, is_past_deadline: true, ..waiting }, EndDecision::Fail),
        (Progress { parts: 3, open: 1, is_past_goal: true, is_past_deadline: true, ..waiting }, EndDecision::Answer),
        // Two of four shards are lost, so three parts can't be reached.
        (Progress { parts: 1, open: 1, ..waiting }, EndDecision::Fail),
        (Progress { parts: 0, open: 1, awaits_outcome: true, ..waiting }, EndDecision::Continue),
        (Progress { parts: 0, open: 0, awaits_outcome: true, ..waiting }, EndDecision::Fail),
        (Progress { parts: 0, open: 1, awaits_outcome: true, is_past_deadline: true, ..waiting }, EndDecision::Fail),
    ];
    for (progress, expected) in rows {
        assert_eq!(decide_end(progress), expected, "{progress:?}");
    }
}

#[test]
fn a_searchers_own_failure_is_passed_on_unless_it_is_one_part_of_several_or_promises_not_run() {
    // Inputs: status of the failure, whether the request is a gather. Expected: whether the failure is passed on.
    for (status, is_gather, expected) in
        [(500, false, true), (502, false, true), (503, false, false), (500, true, false)]
    {
        let AttemptOutcome::Answered(failure) = answer(status, "", Vec::new()) else {
            panic!("an answer");
        };
        assert_eq!(is_passed_on(&failure, is_gather), expected, "{status}");
    }
}

#[test]
fn a_request_that_may_have_run_is_never_refused_as_not_run() {
    let rows = [
        // Inputs: whether the request may have run, the deadline has passed, the key is revoked, the node stops then.
        // Expected: kind of the refusal.
        (false, false, false, false, ErrorKind::NotDelivered),
        (false, true, false, false, ErrorKind::Overloaded),
        (true, false, false, false, ErrorKind::BackEndsFailed),
        (true, true, false, false, ErrorKind::TimedOut),
        (false, false, true, false, ErrorKind::Unauthorized),
        (false, true, true, false, ErrorKind::Unauthorized),
        (true, false, true, false, ErrorKind::BackEndsFailed),
        (true, true, true, false, ErrorKind::TimedOut),
        (false, false, false, true, ErrorKind::NotDelivered),
        (false, true, false, true, ErrorKind::Leaving),
        (true, false, false, true, ErrorKind::BackEndsFailed),
        (true, true, false, true, ErrorKind::TimedOut),
        (false, true, true, true, ErrorKind::Unauthorized),
        (true, true, true, true, ErrorKind::TimedOut),
    ];
    for (may_have_run, is_past_deadline, is_key_revoked, ends_with_node, kind) in rows {
        let refusal = refuse(FailedRequest { may_have_run, is_past_deadline, is_key_revoked, ends_with_node });
        assert_eq!(refusal.kind, kind);
        assert_eq!(kind.executed() == Executed::Maybe, may_have_run, "{kind}");
    }
}
