//! Decisions of the root about actions: they are sent once, and their tickets keep the outcome.

mod common;

use common::root::RootFixture;
use staircross_search::{ActionReceipt, NotRunReason, Outcome, SubOutcome, UnknownReason};
use staircross_types::{ErrorKind, NodeId, Ticket};

#[test]
fn action_is_sent_once_and_unknown_is_said_so() {
    let mut fixture = RootFixture::new();
    let ticket = fixture.add_ticket();
    fixture.submit_action(ticket);
    assert_eq!(fixture.sent.len(), 1);
    fixture.advance(200);
    assert_eq!(fixture.sent.len(), 1, "no hedge");
    fixture.answer(0, SubOutcome::Unknown(UnknownReason::Broken));
    assert_eq!(fixture.sent.len(), 1, "no retry");
    assert_eq!(fixture.last_refusal(), ErrorKind::OutcomeUnknown);
    fixture.submit_action(ticket);
    assert_eq!(fixture.sent.len(), 1, "the ticket is used");
    assert_eq!(fixture.last_refusal(), ErrorKind::OutcomeUnknown);
}

#[test]
fn repeated_ticket_returns_the_recorded_outcome() {
    let mut fixture = RootFixture::new();
    let ticket = fixture.add_ticket();
    fixture.submit_action(ticket);
    fixture.answer(0, SubOutcome::Acted(ActionReceipt { entry: 5, message: String::new() }));
    fixture.submit_action(ticket);
    assert_eq!(fixture.sent.len(), 1);
    assert!(matches!(fixture.finished.last(), Some((_, Outcome::Acted(receipt))) if receipt.entry == 5));
}

#[test]
fn late_receipt_settles_an_unknown_outcome() {
    let mut fixture = RootFixture::new();
    let ticket = fixture.add_ticket();
    fixture.submit_action(ticket);
    fixture.advance(300);
    assert_eq!(fixture.last_refusal(), ErrorKind::OutcomeUnknown);
    fixture.answer(0, SubOutcome::Acted(ActionReceipt { entry: 6, message: String::new() }));
    fixture.submit_action(ticket);
    assert!(matches!(fixture.finished.last(), Some((_, Outcome::Acted(receipt))) if receipt.entry == 6));
}

#[test]
fn action_refused_as_not_run_goes_to_another_replica_and_gives_its_ticket_back() {
    let mut fixture = RootFixture::new();
    let ticket = fixture.add_ticket();
    fixture.submit_action(ticket);
    fixture.answer(0, SubOutcome::NotRun(NotRunReason::Draining));
    assert_eq!(fixture.sent.len(), 2);
    assert_ne!(fixture.sent[0].searcher, fixture.sent[1].searcher);
    fixture.answer(1, SubOutcome::NotRun(NotRunReason::Draining));
    assert_eq!(fixture.last_refusal(), ErrorKind::NotDelivered);
    fixture.submit_action(ticket);
    assert_eq!(fixture.sent.len(), 3, "the ticket may be used again");
}

#[test]
fn ticket_of_another_run_is_unknown_and_not_run() {
    let mut fixture = RootFixture::new();
    fixture.submit_action(Ticket { node: NodeId(4321), serial: 1 });
    assert!(fixture.sent.is_empty());
    assert_eq!(fixture.last_refusal(), ErrorKind::OutcomeUnknown);
}
