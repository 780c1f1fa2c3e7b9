//! The exchange of records of suspect and quarantined contents between nodes.

mod common;

use common::Driver;
use common::quarantine::{BROKEN, CRASHING_CONTENT, ask, driver, lost_attempt, part_answer, peer_case_records};
use proptest::prelude::*;
use staircross_routing::decision::quarantine::Quarantine;
use staircross_routing::engine::SendOrder;
use staircross_routing::{AttemptOutcome, CaseRecord, ContentKey, NotRun, RequestOutcome, RoutingEvent, Suspicion};
use staircross_types::{BootTime, ErrorKind};
use std::time::Duration;

#[test]
fn what_one_node_learned_holds_at_the_others_until_somebody_answers() {
    let now = BootTime::from_millis(1_000_000);
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    let mut lost_at = now;
    for number in 0..3 {
        let sent_at = lost_at + Duration::from_millis(10);
        lost_at = sent_at + Duration::from_millis(60);
        here.note_lost(lost_at, lost_attempt(CRASHING_CONTENT, number, sent_at));
    }
    // The boot clock of the other machine started at another time.
    let elsewhere = BootTime::from_millis(77_000_000);
    there.merge(elsewhere, &here.next_records(lost_at));
    assert_eq!(there.suspicion(elsewhere, CRASHING_CONTENT), Suspicion::Quarantined);
    let later = Duration::from_secs(5);
    there.note_answered(elsewhere + later, CRASHING_CONTENT);
    here.merge(lost_at + later, &there.next_records(elsewhere + later));
    assert_eq!(here.suspicion(lost_at + later, CRASHING_CONTENT), Suspicion::None);
    // A loss from before the answer arrives late and changes nothing.
    let mut stale = Quarantine::default();
    stale.note_lost(lost_at, lost_attempt(CRASHING_CONTENT, 9, now));
    here.merge(lost_at + later, &stale.next_records(lost_at + later));
    assert_eq!(here.suspicion(lost_at + later, CRASHING_CONTENT), Suspicion::None);
}

/// Sends a request that may not be repeated, then quarantines its content by a peer's records. Returns the order that
/// was sent before.
fn send_then_quarantine(driver: &mut Driver) -> SendOrder {
    let request = ask(driver, "/once/x", CRASHING_CONTENT);
    let order = driver.sent_for(request)[0].clone();
    driver.advance_ms(10);
    let records = peer_case_records(driver.now, CRASHING_CONTENT);
    driver.event(RoutingEvent::PeerCases(records));
    order
}

#[test]
fn an_attempt_that_may_not_be_repeated_is_left_to_its_end_when_its_content_is_quarantined() {
    let mut driver = driver();
    let order = send_then_quarantine(&mut driver);
    let request = order.attempt.request;
    assert!(driver.abandoned.is_empty(), "the searcher may be running the request, which may not be repeated");
    assert_eq!(driver.refusal(request), None);
    let refused = ask(&mut driver, "/once/x", CRASHING_CONTENT);
    assert_eq!(driver.refusal(refused), Some(ErrorKind::Quarantined), "other requests for the content aren't sent");
    driver.end(order.attempt, part_answer(&order));
    assert!(matches!(driver.outcome(request), Some(RequestOutcome::Passed(_))));
}

#[test]
fn an_attempt_that_may_not_be_repeated_and_fails_in_quarantine_is_told_truly_and_sent_to_nobody_else() {
    let refusals = [
        (BROKEN, ErrorKind::BackEndsFailed),
        (AttemptOutcome::NotRun(NotRun::Unconnected), ErrorKind::NotDelivered),
        (AttemptOutcome::NotRun(NotRun::Shed), ErrorKind::NotDelivered),
    ];
    for (outcome, expected) in refusals {
        let mut driver = driver();
        let order = send_then_quarantine(&mut driver);
        driver.end(order.attempt, outcome.clone());
        assert_eq!(driver.refusal(order.attempt.request), Some(expected), "{outcome:?}");
        assert_eq!(driver.sent_for(order.attempt.request).len(), 1, "{outcome:?}");
    }
}

#[test]
fn more_losses_do_not_lift_a_quarantine() {
    let now = BootTime::from_millis(1_000_000);
    let at = |ms| now + Duration::from_millis(ms);
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    here.note_lost(at(41), lost_attempt(CRASHING_CONTENT, 0, now));
    here.note_lost(at(45), lost_attempt(CRASHING_CONTENT, 1, now));
    here.note_lost(at(81), lost_attempt(CRASHING_CONTENT, 2, at(42)));
    assert_eq!(here.suspicion(at(81), CRASHING_CONTENT), Suspicion::Quarantined);
    // The searchers of the other shards were sent the content before any had crashed, and crash one after the other.
    for number in 3..10 {
        here.note_lost(at(81 + number), lost_attempt(CRASHING_CONTENT, number, now));
        assert_eq!(
            here.suspicion(at(100), CRASHING_CONTENT),
            Suspicion::Quarantined,
            "after the loss of searcher {number}"
        );
        there.merge(at(100), &here.next_records(at(100)));
        assert_eq!(
            there.suspicion(at(100), CRASHING_CONTENT),
            Suspicion::Quarantined,
            "at the peer, after the loss of searcher {number}"
        );
    }
}

#[test]
fn what_a_peer_suspects_is_passed_on_at_once_and_what_it_clears_is_not() {
    // A node pushes to peers of its region, and only some of those pass anything on to other regions.
    let now = BootTime::from_millis(1_000_000);
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    for number in 0..2 {
        here.note_lost(now, lost_attempt(CRASHING_CONTENT, number, now));
    }
    let suspect = there.merge(now, &here.next_records(now));
    assert_eq!(suspect.len(), 1);
    assert!(suspect[0].is_urgent(true), "any delay may cost one searcher of each shard");
    here.note_answered(now, CRASHING_CONTENT);
    let cleared = there.merge(now, &here.next_records(now));
    assert_eq!(cleared.len(), 1);
    assert!(!cleared[0].is_urgent(true));
}

#[test]
fn what_is_suspected_last_is_told_before_what_peers_were_told_already() {
    let now = BootTime::from_millis(1_000_000);
    let mut here = Quarantine::default();
    for number in 0..20 {
        here.note_lost(now, lost_attempt(ContentKey(number), 1, now));
        here.note_lost(now, lost_attempt(ContentKey(number), 2, now));
    }
    (0..8).for_each(|_| drop(here.next_records(now)));
    here.note_lost(now, lost_attempt(CRASHING_CONTENT, 1, now));
    here.note_lost(now, lost_attempt(CRASHING_CONTENT, 2, now));
    let records = here.next_records(now);
    assert!(records.iter().any(|record| record.content == CRASHING_CONTENT), "{records:?}");
    assert!(records.len() <= 5, "a datagram holds at most five records");
}

#[test]
fn word_of_losses_that_was_long_on_its_way_does_not_undo_an_answer() {
    for is_known_before in [false, true] {
        let now = BootTime::from_millis(1_000_000);
        let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
        let mut lost_at = now;
        for number in 0..4 {
            let sent_at = lost_at + Duration::from_millis(10);
            lost_at = sent_at + Duration::from_millis(30);
            here.note_lost(lost_at, lost_attempt(CRASHING_CONTENT, number, sent_at));
        }
        let losses = here.next_records(lost_at);
        if is_known_before {
            there.merge(lost_at, &losses);
        }
        let answered = lost_at + Duration::from_millis(20);
        here.note_answered(answered, CRASHING_CONTENT);
        there.merge(answered + Duration::from_millis(1), &here.next_records(answered));
        // The losses were reported before the answer but arrive after it, by another route or from a busy node.
        there.merge(answered + Duration::from_millis(120), &losses);
        here.merge(answered + Duration::from_millis(150), &losses);
        let later = answered + Duration::from_millis(200);
        let suspicions = [here.suspicion(later, CRASHING_CONTENT), there.suspicion(later, CRASHING_CONTENT)];
        assert_eq!(suspicions, [Suspicion::None; 2], "known before: {is_known_before}");
    }
}

#[test]
fn many_suspects_do_not_push_out_what_is_quarantined() {
    let mut quarantine = Quarantine::default();
    let mut now = BootTime::from_millis(1_000_000);
    for number in 0..3 {
        now = now + Duration::from_millis(50);
        quarantine.note_lost(now, lost_attempt(CRASHING_CONTENT, number, now - Duration::from_millis(10)));
    }
    for number in 0..2000 {
        now = now + Duration::from_millis(1);
        quarantine.note_lost(now, lost_attempt(ContentKey(number), number, now));
        quarantine.note_lost(now, lost_attempt(ContentKey(number), number + 1, now));
    }
    assert_eq!(quarantine.suspicion(now, CRASHING_CONTENT), Suspicion::Quarantined);
    let (suspects, quarantined) = quarantine.counts(now);
    assert!(suspects < 256 && quarantined == 1, "{suspects} {quarantined}");
    assert!(
        quarantine.next_records(now).iter().any(|record| record.content == CRASHING_CONTENT),
        "the quarantined content is among the records sent"
    );
}

/// Generates the loss of a searcher: the node out of three that observes it, the searcher, and the time since the
/// previous loss in units of 10 ms.
fn any_loss() -> impl Strategy<Value = (usize, u64, u64)> {
    (0..3_usize, 0..4_u64, 1..40_u64)
}

proptest! {
    /// Nodes that exchange all records, in any order, agree on the suspicion of a content. An answer at one of them
    /// clears it at all.
    #[test]
    fn nodes_that_tell_each_other_agree(
        losses in proptest::collection::vec(any_loss(), 1..12),
        exchanges in proptest::collection::vec((0..3_usize, 0..3_usize), 0..20),
        answering in 0..3_usize,
    ) {
        let mut nodes = [(); 3].map(|()| Quarantine::default());
        let mut now = BootTime::from_millis(1_000_000);
        let send_records = |nodes: &mut [Quarantine; 3], now, from: usize, to: usize| {
            let records: Vec<CaseRecord> = nodes[from].next_records(now);
            nodes[to].merge(now, &records);
        };
        let exchange_all = |nodes: &mut [Quarantine; 3], now| {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 1), (1, 2), (2, 0)] {
                send_records(nodes, now, from, to);
            }
        };
        let mut exchanges = exchanges.into_iter();
        for (node, searcher, gap) in losses {
            let sent_at = now;
            now = now + Duration::from_millis(gap * 10);
            nodes[node].note_lost(now, lost_attempt(CRASHING_CONTENT, searcher, sent_at));
            if let Some((from, to)) = exchanges.next() {
                send_records(&mut nodes, now, from, to);
            }
        }
        now = now + Duration::from_millis(500);
        exchange_all(&mut nodes, now);
        let suspicions = nodes.each_ref().map(|node| node.suspicion(now, CRASHING_CONTENT));
        prop_assert!(suspicions.iter().all(|suspicion| *suspicion == suspicions[0]), "{suspicions:?}");
        nodes[answering].note_answered(now, CRASHING_CONTENT);
        exchange_all(&mut nodes, now);
        let suspicions = nodes.each_ref().map(|node| node.suspicion(now, CRASHING_CONTENT));
        prop_assert!(suspicions.iter().all(|suspicion| *suspicion == Suspicion::None), "{suspicions:?}");
    }
}
