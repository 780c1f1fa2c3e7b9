//! Table tests of the rule by which a searcher is suspected of leaving.

use staircross_routing::decision::departure::Departure;
use staircross_types::BootTime;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

#[test]
fn a_searcher_is_suspected_after_two_closing_answers_in_a_row() {
    // Inputs: answers as (sent at, arrived at, whether it closes). Expected: whether it is suspected after the last.
    let rows = [
        ("none", vec![], false),
        ("kept", vec![(0, 10, false)], false),
        ("one that closes", vec![(0, 10, false), (20, 30, true)], false),
        ("two that close", vec![(0, 10, false), (20, 30, true), (40, 50, true)], true),
        ("a kept one between", vec![(0, 10, false), (20, 30, true), (40, 50, false), (60, 70, true)], false),
        (
            "kept, but sent before the first that closes",
            vec![(0, 10, false), (20, 30, true), (25, 40, false), (41, 50, true)],
            true,
        ),
        ("never kept any", vec![(0, 10, true), (20, 30, true), (40, 50, true)], false),
        (
            "kept after the suspicion began",
            vec![(0, 10, false), (20, 30, true), (40, 50, true), (60, 70, false)],
            false,
        ),
    ];
    for (row, answers, expected) in rows {
        let mut departure = Departure::default();
        let mut now = at(0);
        for (sent, arrived, closes) in answers {
            now = at(arrived);
            departure.note_answer(now, at(sent), closes);
        }
        assert_eq!(departure.is_suspected(now), expected, "{row}");
    }
}

#[test]
fn a_suspicion_begins_once_and_ends_ten_seconds_after_the_last_closing_answer() {
    let mut departure = Departure::default();
    departure.note_answer(at(0), at(0), false);
    assert!(!departure.note_answer(at(100), at(90), true));
    assert!(departure.note_answer(at(200), at(190), true), "the second answer begins it");
    assert!(!departure.note_answer(at(300), at(290), true), "the third only extends it");
    assert!(departure.is_suspected(at(10_299)));
    assert!(!departure.is_suspected(at(10_300)));
}

#[test]
fn an_entry_that_came_back_is_doubted_for_five_seconds_or_until_an_answer_is_kept() {
    let mut departure = Departure::default();
    departure.note_return(at(1000));
    assert!(departure.is_suspected(at(5999)));
    assert!(!departure.is_suspected(at(6000)));
    departure.note_answer(at(2000), at(999), false);
    assert!(departure.is_suspected(at(2000)), "its request was sent before the entry came back");
    departure.note_answer(at(2000), at(1500), false);
    assert!(!departure.is_suspected(at(2000)));
}

#[test]
fn entries_are_checked_once_a_second_and_a_half_after_the_first_closing_answer() {
    let mut departure = Departure::default();
    departure.note_answer(at(0), at(0), false);
    departure.note_answer(at(100), at(90), true);
    assert_eq!(departure.check_due_at(), None, "a single closing answer is no evidence");
    departure.note_answer(at(700), at(690), true);
    assert_eq!(departure.check_due_at(), Some(at(1600)));
    departure.note_checked();
    departure.note_answer(at(1700), at(1690), true);
    assert_eq!(departure.check_due_at(), None);
}
