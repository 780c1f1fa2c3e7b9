//! Tests that what a searcher sends is taken for the reply to the attempt that it belongs to, and to no other.

#[path = "common/endless.rs"]
mod endless;
#[path = "common/faulty_server.rs"]
mod faulty_server;

use crossbeam::channel::{Receiver, unbounded};
use faulty_server::{Fault, Reply};
use serde::Serialize;
use staircross_config::LimitSettings;
use staircross_node::event::CoreEvent;
use staircross_node::logs::Logs;
use staircross_node::searchers::{SearcherConnections, SearcherEndpoint};
use staircross_search::{SubOutcome, SubRequest, UnknownReason, Work};
use staircross_types::searcher_api::{CallReply, CallStatus, DIGEST_HEADER, STATE_PATH, SearchCall, StateReply};
use staircross_types::{
    AttemptId, NodeId, RequestId, SearchQuery, SearcherId, SearcherIncarnation, ShardId, Snapshot, body_digest,
    boot_clock,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Maximum time for which a test waits for the end of an attempt or a probe.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of attempts or probes of a test.
const ATTEMPTS: u32 = 8;
const SEARCHER: SearcherId = SearcherId(1);
const SNAPSHOT: Snapshot = Snapshot { version: 1, epoch: 1, build: 1 };

/// Starts a searcher. It finds nothing, and its incarnation is the number of probes that have come.
fn start_searcher(fault: Fault) -> SocketAddr {
    let probes = AtomicU32::new(0);
    faulty_server::start(fault, move |target, body| match target {
        STATE_PATH => state_reply(probes.fetch_add(1, Ordering::SeqCst) + 1),
        _ => search_reply(&serde_json::from_slice(body).expect("a search")),
    })
}

fn search_reply(call: &SearchCall) -> Reply {
    let status = CallStatus::Found { shards: Vec::new() };
    render(&CallReply { attempt: call.attempt, snapshot: SNAPSHOT, incarnation: SearcherIncarnation(1), status })
}

fn state_reply(number: u32) -> Reply {
    let incarnation = SearcherIncarnation(u128::from(number));
    render(&StateReply { searcher: SEARCHER, incarnation, snapshots: vec![SNAPSHOT], draining: false, load: 0.0 })
}

fn render(reply: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(reply).expect("JSON");
    Reply { fields: format!("{DIGEST_HEADER}: {}\r\n", body_digest(&body)), body }
}

/// Returns the connections of a node to a searcher, and the events that they cause.
fn connect(fault: Fault) -> (SearcherConnections, Receiver<CoreEvent>) {
    let (sender, events) = unbounded();
    let logs = Logs::from_filter("off").expect("a filter");
    let mut searchers =
        SearcherConnections::new(sender, logs, &LimitSettings { reply_bytes: 1 << 20, ..LimitSettings::default() });
    searchers.set_owned(&[SearcherEndpoint { searcher: SEARCHER, address: start_searcher(fault), connections: 1 }]);
    (searchers, events)
}

/// Sends [`ATTEMPTS`] searches one after the other and returns how each ended.
fn search(fault: Fault) -> Vec<SubOutcome> {
    search_times(fault, ATTEMPTS, Duration::from_secs(2))
}

/// Sends searches that may take `remaining` each, one after the other, and returns how each ended.
fn search_times(fault: Fault, attempts: u32, remaining: Duration) -> Vec<SubOutcome> {
    let (searchers, events) = connect(fault);
    let request = |attempt| SubRequest {
        attempt: AttemptId { request: RequestId { node: NodeId(1), sequence: 1 }, attempt },
        searcher: SEARCHER,
        snapshot: SNAPSHOT,
        shards: vec![ShardId(0)],
        work: Work::Search(SearchQuery { terms: Vec::new(), limit: 1, after: None }),
        remaining,
    };
    let run = |attempt| {
        searchers.send(request(attempt), boot_clock::now() + WAIT_TIMEOUT);
        match events.recv_timeout(WAIT_TIMEOUT).expect("the end of the attempt") {
            CoreEvent::SearcherReplied { reply, .. } => {
                assert_eq!(reply.attempt.attempt, attempt);
                reply.outcome
            }
            _ => panic!("another event"),
        }
    };
    (1..=attempts).map(run).collect()
}

fn is_found(outcome: &SubOutcome) -> bool {
    matches!(outcome, SubOutcome::Found(_))
}

/// Guards against searchers that can't be used because a proxy before them repeats a status line in a field.
#[test]
fn a_status_line_in_a_field_is_no_obstacle() {
    let outcomes = search(Fault::StatusLineInField);
    assert!(outcomes.iter().all(is_found), "{outcomes:?}");
}

/// Guards against replies to other attempts, sent together with the reply before.
#[test]
fn a_copy_behind_a_reply_is_not_read_as_the_next_one() {
    let outcomes = search(Fault::CopyBehindReply);
    assert!(outcomes.iter().all(is_found), "{outcomes:?}");
}

/// Guards against replies to other attempts that come when the next call was sent. Such a call may have run. The
/// connection is not used any more, so that the next reply isn't taken for another one again.
#[test]
fn a_late_copy_of_a_reply_costs_only_the_call_that_it_meets() {
    let outcomes = search(Fault::LateCopy);
    let is_true =
        |outcome: &SubOutcome| is_found(outcome) || matches!(outcome, SubOutcome::Unknown(UnknownReason::Broken));
    assert!(outcomes.iter().all(is_true), "{outcomes:?}");
    let met_in_a_row = outcomes.windows(2).any(|pair| !is_found(&pair[0]) && !is_found(&pair[1]));
    assert!(!met_in_a_row, "{outcomes:?}");
}

/// Guards against a searcher's state that is always the one before: a searcher that leaves would get new work.
#[test]
fn a_late_copy_of_a_state_is_not_read_as_the_next_one() {
    let (searchers, events) = connect(Fault::LateCopy);
    for number in 1..=ATTEMPTS {
        searchers.probe(SEARCHER);
        let event = events.recv_timeout(WAIT_TIMEOUT).expect("the end of the probe");
        let CoreEvent::Probed { report: Some(report), .. } = event else {
            panic!("probe {number}: no state");
        };
        assert_eq!(report.incarnation, SearcherIncarnation(u128::from(number)));
    }
}

/// Guards against replies that are read as the continuation of bytes before them.
#[test]
fn the_beginning_of_another_reply_is_never_believed() {
    for text in ["HTTP/1.1 503 Busy\r\nX-Upstream: ", "HTTP/1.1 200 OK\r\nx-content-digest: 1\r\nA: b"] {
        let outcomes = search(Fault::LateBeginning(text));
        let is_true = |outcome: &SubOutcome| is_found(outcome) || matches!(outcome, SubOutcome::Unknown(_));
        assert!(outcomes.iter().all(is_true), "{text:?}: {outcomes:?}");
    }
}

/// Guards against a worker, and its connection, that a searcher holds for longer than the attempt may take.
#[test]
fn a_reply_without_end_in_any_part_ends_with_its_attempt() {
    let remaining = Duration::from_millis(500);
    for (what, fault) in endless::endless_replies() {
        let began = Instant::now();
        let outcomes = search_times(fault, 2, remaining);
        let took = began.elapsed();
        assert!(outcomes.iter().all(|outcome| matches!(outcome, SubOutcome::Unknown(_))), "{what}: {outcomes:?}");
        assert!(took < remaining * 4, "{what}: two attempts took {took:?}");
    }
}

/// Guards against results of a searcher in trouble: its reply has a status that isn't a success, or that HTTP doesn't have.
#[test]
fn a_reply_whose_status_is_no_success_is_not_believed() {
    for status in ["000", "099", "199", "204", "302", "404", "500", "600", "999"] {
        let outcomes = search_times(Fault::Status(status), 1, Duration::from_secs(2));
        assert!(!outcomes.iter().any(is_found), "{status}: {outcomes:?}");
        let (searchers, events) = connect(Fault::Status(status));
        searchers.probe(SEARCHER);
        let event = events.recv_timeout(WAIT_TIMEOUT).expect("the end of the probe");
        assert!(matches!(event, CoreEvent::Probed { report: None, .. }), "{status}: a state");
    }
}

/// Guards against an empty or short result that is believed: a searcher stops in the middle of its head or its body and
/// closes the connection cleanly.
#[test]
fn a_reply_that_stops_at_any_byte_is_not_believed() {
    for length in 0..250 {
        let outcomes = search_times(Fault::CutOff(length), 1, Duration::from_secs(2));
        let is_unbelieved = matches!(outcomes.as_slice(), [SubOutcome::Unknown(UnknownReason::Broken)]);
        assert!(is_unbelieved, "after {length} bytes: {outcomes:?}");
    }
}
