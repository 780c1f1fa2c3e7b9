//! Table tests of the admission rules without an engine: the tolerable wait for a goal, when a limit begins and how
//! it changes, the fraction that is admitted by rank, the usual work, and the wait that is evaluated.

use staircross_routing::decision::admission::{Admission, UsualWork, Wait, tolerable_wait};
use staircross_types::BootTime;
use std::time::Duration;

/// Time between two evaluations, in milliseconds.
const SPACING_MS: u64 = 250;
/// Tolerable wait in all evaluations.
const TOLERABLE: Duration = Duration::from_millis(100);

fn at(millis: u64) -> BootTime {
    BootTime::default() + Duration::from_millis(millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn assert_close(found: f64, expected: f64, row: &str) {
    assert!((found - expected).abs() < 1e-3, "{row}: {found}, not {expected}");
}

/// Returns an admission that evaluated a wait of `ratio` times the tolerable one at each spacing from 0 to `until_ms`.
fn admission_after_evaluations(ratio: f64, until_ms: u64) -> Admission {
    let mut admission = Admission::default();
    for step in 0..=until_ms / SPACING_MS {
        admission.evaluate(at(step * SPACING_MS), TOLERABLE.mul_f64(ratio), TOLERABLE);
    }
    admission
}

#[test]
fn the_tolerable_wait_leaves_the_last_sub_request_in_time() {
    // Inputs: goal and usual work in ms, fan-out. Expected: tolerable wait in ms.
    let rows = [
        (200, 20, 1, 160.0),
        (200, 20, 10, 38.473),
        (200, 20, 100, 21.389),
        (200, 60, 100, 60.0), // It is at least the usual work.
        (50, 25, 1, 25.0),    // The goal leaves no time for a wait.
    ];
    for (goal, usual, fan_out, expected) in rows {
        let found = tolerable_wait(ms(goal), ms(usual), fan_out).as_secs_f64() * 1000.0;
        assert_close(found, expected, &format!("{goal} {usual} {fan_out}"));
    }
}

#[test]
fn a_limit_begins_after_the_warm_up_with_a_wait_that_has_stood() {
    // Inputs: wait as a multiple of the tolerable one, time of the last evaluation in ms. Expected: level.
    let rows = [
        (1.0, 10_000, 1.0), // The wait is just tolerable.
        (4.0, 3500, 1.0),   // After the warm-up of 3 s, the wait must be too long for 0.6 s.
        (4.0, 3750, 0.75),  // This is the largest decrease.
        (1.2, 3750, 0.85),  // The decrease is a quarter of the deviation from the target of 0.6.
        (4.0, 60_000, 0.05),
    ];
    for (ratio, until_ms, expected) in rows {
        assert_close(admission_after_evaluations(ratio, until_ms).level(), expected, &format!("{ratio} {until_ms}"));
    }
}

#[test]
fn a_level_of_0_75_moves_by_the_wait_and_the_time_since_the_last_judgement() {
    // Inputs: wait as a multiple of the tolerable one, ms since the last evaluation. Expected: level afterwards.
    let rows = [
        (4.0, 250, 0.5625),
        (0.7, 250, 0.731_25),
        (0.6, 250, 0.75), // The wait is at the target.
        (0.5, 250, 0.768_75),
        (0.3, 250, 0.7875),    // This is the largest increase while sub-requests queue.
        (0.1, 250, 0.84),      // No sub-requests queue.
        (0.3, 1000, 0.911_63), // An increase counts all four spacings.
        (0.7, 1000, 0.731_25), // A decrease counts one spacing only.
        (0.1, 1000, 1.0),
    ];
    for (ratio, after_ms, expected) in rows {
        let mut admission = admission_after_evaluations(4.0, 3750);
        admission.evaluate(at(3750 + after_ms), TOLERABLE.mul_f64(ratio), TOLERABLE);
        assert_close(admission.level(), expected, &format!("{ratio} {after_ms}"));
    }
}

#[test]
fn a_decrease_waits_for_its_effect_twice_the_wait_and_a_second_at_most() {
    // Inputs: wait in ms. Expected: ms from the decrease until the next evaluation is due.
    for (wait_ms, expected_ms) in [(150, 550), (400, 1050), (900, 1250)] {
        let mut admission = admission_after_evaluations(4.0, 3750);
        admission.evaluate(at(4000), ms(wait_ms), TOLERABLE);
        assert!(!admission.is_due(at(4000 + expected_ms - 1)), "{wait_ms}: early");
        assert!(admission.is_due(at(4000 + expected_ms)), "{wait_ms}: late");
    }
}

#[test]
fn less_urgent_routes_are_taken_a_little_less() {
    let admission = admission_after_evaluations(4.0, 3750);
    // Inputs: number of ranks below the most urgent one. Expected: admitted fraction.
    for (ranks, expected) in [(0, 0.75), (1, 0.708_06), (2, 0.668_46)] {
        assert_close(admission.admitted_fraction(ranks), expected, &format!("{ranks}"));
    }
}

#[test]
fn usual_work_is_the_least_median_and_rises_with_what_is_refused() {
    // Samples of 10 ms are recorded for 0.5 s, and the later samples for 10 s.
    // Inputs: work of the later samples in ms, admission level. Expected: usual work at the end in ms.
    for (later_ms, level, expected) in [(10, 1.0, 10.0), (5, 1.0, 5.0), (40, 1.0, 10.2), (40, 0.5, 11.573)] {
        let mut usual = UsualWork::default();
        (0..50).for_each(|step| usual.record(at(step * 10), ms(10), 1.0));
        (50..1050).for_each(|step| usual.record(at(step * 10), ms(later_ms), level));
        let found = usual.get().map_or(0.0, |usual| usual.as_secs_f64() * 1000.0);
        assert!((found - expected).abs() < 0.02, "{later_ms} {level}: {found}, not {expected}");
    }
}

#[test]
fn a_wait_that_is_too_old_counts_as_none_unless_the_next_is_still_gathered() {
    // Inputs: time between the 24 samples and age of the last one, in ms. Expected: wait to evaluate, in ms.
    let rows = [
        (10, 1500, Some(30)),
        (10, 1501, Some(0)), // The samples took 0.23 s, so no requests were sent since.
        (100, 1501, None),   // The samples took 2.3 s, so the next ones are still being collected.
        (100, 3450, None),   // The age is just 1.5 times the time of collection.
        (100, 3451, Some(0)),
    ];
    for (apart_ms, age_ms, expected) in rows {
        let mut wait = Wait::at_group(1);
        (0..24).for_each(|step| wait.record(at(step * apart_ms), ms(30)));
        let found = wait.for_admission(at(23 * apart_ms + age_ms)).map(|wait| wait.as_secs_f64() * 1000.0);
        assert_eq!(found.map(|wait_ms| wait_ms.round() as u64), expected, "{apart_ms} {age_ms}");
    }
}
