//! The rule that decides whether what a node knows of the store is too old to handle requests by it.

use staircross_routing::decision::outdated_view::{OutdatedView, OutdatedViewSettings};
use staircross_routing::store_reader::Lane;
use staircross_types::BootTime;
use std::time::Duration;

const SETTINGS: OutdatedViewSettings = OutdatedViewSettings {
    max_gap: Duration::from_millis(1200),
    max_age: Duration::from_millis(2700),
    max_wait: Duration::from_millis(1200),
};

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

/// Returns the state of a process that stood still from 1 s to `continued_ms`, and asked the store then.
fn view_after_gap(continued_ms: u64) -> OutdatedView {
    let mut view = OutdatedView::new(at(0), SETTINGS);
    view.advance(at(1000));
    assert!(!view.take_due_question(at(1000)));
    view.advance(at(continued_ms));
    assert!(view.take_due_question(at(continued_ms)));
    view
}

fn confirm(view: &mut OutdatedView, now_ms: u64, asked_ms: u64) {
    view.record_confirmation(at(now_ms), Lane::Configuration, at(asked_ms));
    view.record_confirmation(at(now_ms), Lane::Searchers, at(asked_ms));
}

/// Guards against requests that are handled by what a process knew before it stood still.
#[test]
fn a_view_is_outdated_from_a_gap_until_both_lanes_are_confirmed() {
    let mut view = view_after_gap(6000);
    assert!(view.is_outdated(at(6000)));
    view.record_confirmation(at(6010), Lane::Configuration, at(6000));
    assert!(view.is_outdated(at(6010)), "the searchers' entries aren't confirmed");
    view.record_confirmation(at(6010), Lane::Searchers, at(6000));
    assert!(!view.is_outdated(at(6010)));
    assert!(!view.is_outdated(at(60_000)), "without another gap, updates are heard of");
    assert!(!view.take_due_question(at(6010)));
}

/// Guards against nodes that ask the store after each moment in which they had no processor.
#[test]
fn a_short_gap_leaves_the_view_current() {
    let mut view = OutdatedView::new(at(0), SETTINGS);
    view.advance(at(1199));
    assert!(!view.take_due_question(at(1199)));
    assert!(!view.is_outdated(at(1199)));
}

/// Guards against a node that serves nothing when its process runs for short moments only: it asks in one of them and
/// reads the answer in the next, so the call from before the gap must be waited for.
#[test]
fn an_answer_to_a_call_from_before_the_last_gap_counts_while_it_is_recent() {
    let mut view = view_after_gap(3000);
    view.advance(at(5000));
    assert!(!view.take_due_question(at(5000)), "the answer may wait in the socket");
    confirm(&mut view, 5000, 3000);
    assert!(!view.is_outdated(at(5700)));
    assert!(view.is_outdated(at(5701)));
    assert!(view.take_due_question(at(5010)), "the answer doesn't reach beyond the last gap");
    confirm(&mut view, 5020, 5010);
    assert!(!view.is_outdated(at(9000)));
}

/// Guards against a call that is waited for although its answer would be too old.
#[test]
fn a_call_from_long_before_the_last_gap_is_made_again() {
    let mut view = view_after_gap(3000);
    view.advance(at(5701));
    assert!(view.take_due_question(at(5701)));
    confirm(&mut view, 5702, 3000);
    assert!(view.is_outdated(at(5702)));
}

/// Guards against a node that serves nothing after it stood still because it can't reach the store.
#[test]
fn a_view_that_nothing_confirms_is_used_after_a_while() {
    let mut view = view_after_gap(6000);
    assert!(!view.give_up_if_due(at(7199)));
    assert!(view.is_outdated(at(7199)));
    assert!(view.give_up_if_due(at(7200)));
    assert!(!view.is_outdated(at(7200)));
    assert!(!view.give_up_if_due(at(7300)), "it is reported once");
}

/// Guards against a node that waits for a silent store after each of many gaps.
#[test]
fn a_store_that_was_silent_a_moment_ago_is_not_waited_for_again() {
    let mut view = view_after_gap(3000);
    let mut now = 3000;
    for _ in 0..10 {
        now += 1400;
        view.advance(at(now));
        view.take_due_question(at(now));
        assert!(view.give_up_if_due(at(now)), "at {now}");
        assert!(!view.is_outdated(at(now)));
    }
    now += 60_000;
    view.advance(at(now));
    assert!(view.take_due_question(at(now)));
    assert!(!view.give_up_if_due(at(now)), "the silence was long ago");
}

/// Guards against an old view that is used because the store hadn't answered before a long gap, though it answers.
#[test]
fn a_store_that_has_answered_since_is_waited_for_again() {
    let mut view = view_after_gap(6000);
    view.advance(at(12_000));
    confirm(&mut view, 12_000, 6000);
    assert!(!view.give_up_if_due(at(12_000)));
    assert!(view.is_outdated(at(12_000)), "the confirmation is too old");
    assert!(view.take_due_question(at(12_000)));
}
