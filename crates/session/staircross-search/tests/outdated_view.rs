//! When what a node knows counts as outdated after its process stood still.

use staircross_search::outdated_view::{MAX_AGE, MAX_GAP, MAX_WAIT, MAX_WAIT_OVER_GAPS};
use staircross_search::{Confirmation, OutdatedView, Recovery};
use staircross_types::BootTime;
use std::time::Duration;

const START: BootTime = BootTime::from_millis(100_000);
const MILLISECOND: Duration = Duration::from_millis(1);

fn stalled_until(now: BootTime) -> OutdatedView {
    let mut view = OutdatedView::new(START);
    assert!(view.advance(now).is_some());
    view
}

fn confirm_both(view: &mut OutdatedView, asked_at: BootTime) {
    view.record_confirmation(Confirmation::Document, asked_at);
    view.record_confirmation(Confirmation::Machines, asked_at);
}

#[test]
fn short_gaps_leave_the_view_current() {
    let mut view = OutdatedView::new(START);
    let mut now = START;
    for _ in 0..100 {
        now = now + (MAX_GAP - MILLISECOND);
        assert_eq!(view.advance(now), None);
        assert!(!view.is_outdated());
    }
}

/// Guards against requests handled by what was known before a gap.
#[test]
fn a_long_gap_makes_the_view_outdated_until_both_parts_are_confirmed() {
    let now = START + MAX_GAP;
    let mut view = stalled_until(now);
    assert!(view.is_outdated());
    view.record_confirmation(Confirmation::Document, now);
    assert_eq!(view.recover(now), None);
    view.record_confirmation(Confirmation::Machines, now);
    assert_eq!(view.recover(now), Some(Recovery::Confirmed));
    assert!(!view.is_outdated());
}

/// Guards against an answer to an old question that passes for a confirmation.
#[test]
fn an_answer_to_a_question_from_long_before_the_gap_confirms_nothing() {
    let now = START + 2 * MAX_AGE;
    let mut view = stalled_until(now);
    confirm_both(&mut view, START);
    assert_eq!(view.recover(now), None);
    confirm_both(&mut view, now - MAX_AGE);
    assert_eq!(view.recover(now), Some(Recovery::Confirmed));
}

/// Guards against a node that refuses to serve because it can't reach the platform.
#[test]
fn the_view_counts_as_current_after_a_while_without_an_answer() {
    let now = START + MAX_GAP;
    let mut view = stalled_until(now);
    assert_eq!(view.recover(now + (MAX_WAIT - MILLISECOND)), None);
    assert_eq!(view.recover(now + MAX_WAIT), Some(Recovery::GivenUp));
    assert!(!view.is_outdated());
}

/// Guards against requests that are held for good at a process that stands still again and again.
#[test]
fn the_view_counts_as_current_after_several_gaps_without_an_answer() {
    let mut now = START + MAX_GAP;
    let first_ended = now;
    let mut view = stalled_until(now);
    while now.since(first_ended) + MAX_GAP < MAX_WAIT_OVER_GAPS {
        now = now + MAX_GAP;
        assert!(view.advance(now).is_some());
        assert_eq!(view.recover(now), None);
    }
    now = now + MAX_GAP;
    assert!(view.advance(now).is_some());
    assert_eq!(view.recover(now), Some(Recovery::GivenUp));
}
