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

/// Returns the state of a process that stood still from 1 s to `continued_ms`.
fn view_after_gap(continued_ms: u64) -> OutdatedView {
    let mut view = OutdatedView::new(at(0), SETTINGS);
    assert_eq!(view.advance(at(1000)), None);
    assert_eq!(view.advance(at(continued_ms)), Some(Duration::from_millis(continued_ms - 1000)));
    view
}

fn confirm(view: &mut OutdatedView, asked_ms: u64) {
    view.record_confirmation(Lane::Configuration, at(asked_ms));
    view.record_confirmation(Lane::Searchers, at(asked_ms));
}

/// Guards against requests that are handled by what a process knew before it stood still.
#[test]
fn a_view_is_outdated_from_a_gap_until_both_lanes_are_confirmed() {
    let mut view = view_after_gap(6000);
    assert!(view.is_outdated(at(6000)));
    view.record_confirmation(Lane::Configuration, at(6000));
    assert!(view.is_outdated(at(6010)), "the searchers' entries aren't confirmed");
    view.record_confirmation(Lane::Searchers, at(6000));
    assert!(!view.is_outdated(at(6010)));
    assert!(!view.is_outdated(at(60_000)), "without another gap, updates are heard of");
}

#[test]
fn a_short_gap_leaves_the_view_current() {
    let mut view = OutdatedView::new(at(0), SETTINGS);
    assert_eq!(view.advance(at(1199)), None);
    assert!(!view.is_outdated(at(1199)));
}

/// Guards against a node that gives up its view, or uses one that is too old, when its process runs for short moments
/// only: it asks in one of them and reads the answer in the next.
#[test]
fn a_confirmation_from_before_the_last_gap_counts_while_it_is_recent() {
    let mut view = view_after_gap(3000);
    assert!(view.advance(at(5000)).is_some());
    confirm(&mut view, 3000);
    assert!(!view.is_outdated(at(5700)));
    assert!(view.is_outdated(at(5701)));
    confirm(&mut view, 5000);
    assert!(!view.is_outdated(at(5701)));
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

#[test]
fn a_second_gap_makes_a_confirmed_view_outdated_again() {
    let mut view = view_after_gap(6000);
    confirm(&mut view, 6000);
    assert!(view.advance(at(12_000)).is_some());
    assert!(view.is_outdated(at(12_000)));
    confirm(&mut view, 6000);
    assert!(view.is_outdated(at(12_000)), "the confirmation is older than the gap");
}
