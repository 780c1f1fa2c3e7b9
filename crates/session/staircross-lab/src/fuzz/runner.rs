//! Runs many cases of the fuzz test on all cores and shrinks the operations of failing cases.

use super::request_model::{Operation, RequestHarness, RequestModel};
use super::summary::{FoundViolation, FuzzSummary, violation_texts};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use proptest_state_machine::ReferenceStateMachine;
use staircross_types::body_digest;
use std::cell::RefCell;
use std::sync::atomic::Ordering;

/// Options of a fuzz run.
#[derive(Clone, Copy, Debug)]
pub struct FuzzOptions {
    /// Seed from which all cases are generated.
    pub seed: u64,
    /// Number of cases.
    pub cases: u32,
    /// Number of operations per case.
    pub steps: usize,
}

/// Runs one case and returns its counts and the violations as text.
fn run_case(seed: u64, operations: &[Operation]) -> (FuzzSummary, Vec<String>) {
    let mut harness = RequestHarness::new(seed);
    for operation in operations {
        harness.apply(operation);
    }
    let violations = harness.finish();
    (harness.summary, violation_texts(&violations))
}

/// Runs the cases on all cores. Each thread has its own seed, so the result does not depend on timing.
pub fn run(options: FuzzOptions) -> FuzzSummary {
    let parts = std::thread::available_parallelism().map_or(1, |count| count.get() as u32).min(options.cases.max(1));
    let mut total = FuzzSummary::default();
    let results: Vec<FuzzSummary> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..parts)
            .map(|part| {
                let cases = options.cases / parts + u32::from(part < options.cases % parts);
                scope.spawn(move || run_part(options, part, cases))
            })
            .collect();
        handles.into_iter().filter_map(|handle| handle.join().ok()).collect()
    });
    let finished = results.len() as u32;
    results.into_iter().for_each(|summary| total.merge(summary));
    if finished < parts {
        let what = vec![format!("{} of {parts} workers ended in a panic", parts - finished)];
        total.violations.push(FoundViolation { what, world_seed: 0, operations: Vec::new() });
    }
    total
}

/// Runs the cases of one thread. The summary has the first failing case, with its operations shrunk.
fn run_part(options: FuzzOptions, part: u32, cases: u32) -> FuzzSummary {
    let summary = RefCell::new(FuzzSummary::default());
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 4000, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed_bytes(options.seed, part));
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = RequestModel::sequential_strategy(options.steps..options.steps + 1);
    let result = runner.run(&strategy, |(seed, operations, seen)| {
        // Shrinking first drops the operations that were not reached. Each case applies all its operations, so all are
        // marked as reached.
        if let Some(seen) = seen {
            seen.store(operations.len(), Ordering::SeqCst);
        }
        let (counts, violations) = run_case(seed, &operations);
        summary.borrow_mut().merge(counts);
        if violations.is_empty() { Ok(()) } else { Err(TestCaseError::fail(violations.join("; "))) }
    });
    let mut summary = summary.into_inner();
    match result {
        Ok(()) => {}
        Err(TestError::Fail(_, (world_seed, operations, _))) => {
            let (_, what) = run_case(world_seed, &operations);
            let operations = operations.iter().map(|operation| format!("{operation:?}")).collect();
            summary.violations.push(FoundViolation { what, world_seed, operations });
        }
        Err(TestError::Abort(reason)) => {
            let what = vec![format!("aborted: {reason}")];
            summary.violations.push(FoundViolation { what, world_seed: 0, operations: Vec::new() });
        }
    }
    summary
}

/// Returns the seed of the random generator of one thread.
fn seed_bytes(seed: u64, part: u32) -> [u8; 32] {
    let mut bytes = [0_u8; 32];
    bytes[..8].copy_from_slice(&seed.to_be_bytes());
    bytes[8..12].copy_from_slice(&part.to_be_bytes());
    let digest = body_digest(&bytes[..12]);
    bytes[16..32].copy_from_slice(digest.as_bytes());
    bytes
}
