//! Decisions of the root about actions: they are sent once, and their tickets keep the outcome.

mod common;

use common::root::Bench;
use staircross_search::{ActionReceipt, NotRunReason, Outcome, SubOutcome, UnknownReason};
use staircross_types::{ErrorKind, NodeId, Ticket};

#[test]
fn action_is_sent_once_and_unknown_is_said_so() {
    let mut bench = Bench::new();
    let ticket = bench.ticket();
    bench.act(ticket);
    assert_eq!(bench.sent.len(), 1);
    bench.pass(200);
    assert_eq!(bench.sent.len(), 1, "no hedge");
    bench.answer(0, SubOutcome::Unknown(UnknownReason::Broken));
    assert_eq!(bench.sent.len(), 1, "no retry");
    assert_eq!(bench.last_refusal(), ErrorKind::OutcomeUnknown);
    bench.act(ticket);
    assert_eq!(bench.sent.len(), 1, "the ticket is used");
    assert_eq!(bench.last_refusal(), ErrorKind::OutcomeUnknown);
}

#[test]
fn repeated_ticket_returns_the_recorded_outcome() {
    let mut bench = Bench::new();
    let ticket = bench.ticket();
    bench.act(ticket);
    bench.answer(0, SubOutcome::Acted(ActionReceipt { entry: 5, message: String::new() }));
    bench.act(ticket);
    assert_eq!(bench.sent.len(), 1);
    assert!(matches!(bench.finished.last(), Some((_, Outcome::Acted(receipt))) if receipt.entry == 5));
}

#[test]
fn late_receipt_settles_an_unknown_outcome() {
    let mut bench = Bench::new();
    let ticket = bench.ticket();
    bench.act(ticket);
    bench.pass(300);
    assert_eq!(bench.last_refusal(), ErrorKind::OutcomeUnknown);
    bench.answer(0, SubOutcome::Acted(ActionReceipt { entry: 6, message: String::new() }));
    bench.act(ticket);
    assert!(matches!(bench.finished.last(), Some((_, Outcome::Acted(receipt))) if receipt.entry == 6));
}

#[test]
fn action_refused_as_not_run_goes_to_another_replica_and_gives_its_ticket_back() {
    let mut bench = Bench::new();
    let ticket = bench.ticket();
    bench.act(ticket);
    bench.answer(0, SubOutcome::NotRun(NotRunReason::Draining));
    assert_eq!(bench.sent.len(), 2);
    assert_ne!(bench.sent[0].searcher, bench.sent[1].searcher);
    bench.answer(1, SubOutcome::NotRun(NotRunReason::Draining));
    assert_eq!(bench.last_refusal(), ErrorKind::NotDelivered);
    bench.act(ticket);
    assert_eq!(bench.sent.len(), 3, "the ticket may be used again");
}

#[test]
fn ticket_of_another_run_is_unknown_and_not_run() {
    let mut bench = Bench::new();
    bench.act(Ticket { node: NodeId(4321), serial: 1 });
    assert!(bench.sent.is_empty());
    assert_eq!(bench.last_refusal(), ErrorKind::OutcomeUnknown);
}
