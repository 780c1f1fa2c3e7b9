//! Table tests of the estimates that a node keeps of a searcher, without an engine: how slow it is, which fraction of
//! work it rejects, and until when it is avoided.

mod common;

use common::searcher;
use staircross_routing::state::rejection::RejectionRate;
use staircross_routing::state::searcher::Searcher;
use staircross_types::BootTime;
use std::time::Duration;

fn at(millis: u64) -> BootTime {
    BootTime::default() + Duration::from_millis(millis)
}

fn new_searcher() -> Searcher {
    Searcher::new(at(0), searcher("x-1", "x", "a"), 40)
}

fn assert_close(found: f64, expected: f64, row: &str) {
    assert!((found - expected).abs() < 1e-3, "{row}: {found}, not {expected}");
}

#[test]
fn one_slow_answer_says_little_and_one_sent_after_it_says_much() {
    // Inputs: answers as (time of sending in ms, work as a multiple of the usual one), all received at 100 ms.
    // Expected: slowness at 100 ms and 4 s later.
    let rows = [
        ("none", vec![], 1.0, 1.0),
        ("usual", vec![(0, 2.0)], 1.3, 1.15),
        ("one slow", vec![(0, 10.0)], 1.18, 1.09),
        ("two slow, sent together", vec![(0, 10.0), (0, 10.0)], 1.3564, 1.1782),
        ("two slow, one after the other", vec![(0, 10.0), (100, 10.0)], 6.472, 3.736),
        ("slower than 30 counts as 30", vec![(0, 1000.0)], 1.58, 1.29),
        ("quicker than 0.6 counts as 0.6", vec![(0, 0.1)], 0.88, 0.94),
    ];
    for (row, answers, expected, expected_later) in rows {
        let mut searcher = new_searcher();
        answers.iter().for_each(|(sent, ratio)| searcher.note_answer(at(100), at(*sent), *ratio));
        assert_close(searcher.slowness(at(100)), expected, row);
        assert_close(searcher.slowness(at(4100)), expected_later, row);
    }
}

#[test]
fn a_rejection_counts_more_than_an_answer_and_is_forgotten_within_fifteen_seconds() {
    // Inputs: whether each attempt was rejected, ms since then. Expected: rejection rate.
    let rows = [
        (vec![true], 0, 0.3),
        (vec![true, true], 0, 0.51),
        (vec![true, false], 0, 0.255),
        (vec![true], 4000, 0.15),
        (vec![true], 10_000, 0.053),
        (vec![true], 10_500, 0.0),
        (vec![false, false], 0, 0.0),
    ];
    for (rejections, later_ms, expected) in rows {
        let mut rate = RejectionRate::default();
        rejections
            .iter()
            .for_each(|is_rejected| if *is_rejected { rate.note_rejection(at(0)) } else { rate.note_answer(at(0)) });
        assert_close(rate.get(at(later_ms)), expected, &format!("{rejections:?} {later_ms}"));
    }
}

#[test]
fn failures_in_a_row_keep_work_away_ever_longer() {
    // Inputs: consecutive failures. Expected: ms for which the searcher is avoided.
    for (failures, expected) in [(1, 400), (2, 800), (3, 1600), (5, 6400), (9, 6400)] {
        let mut searcher = new_searcher();
        (0..failures).for_each(|_| searcher.note_unreachable(at(0)));
        assert_eq!(searcher.avoided_until(), at(expected), "{failures}");
    }
    let mut searcher = new_searcher();
    searcher.note_rejection(at(0));
    assert_eq!(searcher.avoided_until(), at(60), "the searcher rejected work");
    searcher.note_connection_rejected(at(0));
    assert_eq!(searcher.avoided_until(), at(120), "the searcher rejected a connection");
    searcher.note_answer(at(10), at(0), 1.0);
    assert_eq!(searcher.avoided_until(), BootTime::default(), "the searcher answered");
}
