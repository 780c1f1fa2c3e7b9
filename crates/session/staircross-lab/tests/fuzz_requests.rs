//! Stateful fuzz test of the request engines. The seeds are fixed, so every run has the same result.

use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use staircross_lab::fuzz::request_model::{Operation, RequestHarness, RequestModel};

struct RequestTest;

impl StateMachineTest for RequestTest {
    type SystemUnderTest = RequestHarness;
    type Reference = RequestModel;

    fn init_test(seed: &u64) -> RequestHarness {
        RequestHarness::new(*seed)
    }

    fn apply(mut harness: RequestHarness, _: &u64, operation: Operation) -> RequestHarness {
        harness.apply(&operation);
        harness
    }

    fn teardown(mut harness: RequestHarness, _: <RequestModel as ReferenceStateMachine>::State) {
        let violations = harness.finish();
        assert!(violations.is_empty(), "{violations:?}");
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 96, failure_persistence: None, rng_seed: RngSeed::Fixed(20_261_202), ..Config::default() })]

    #[test]
    fn promises_hold_under_any_faults(sequential 150..200 => RequestTest);
}

/// Guards against a planned stop that ends with a request unread. The node is paused while it stops, a request arrives
/// during the pause, and the least time of a stop is over when the node wakes. Found by fuzzing.
#[test]
fn stop_during_a_pause_reads_what_waits() {
    for seed in 0..20 {
        let mut harness = RequestHarness::new(seed);
        for operation in [
            Operation::Search { session: 2, latency_first: false },
            Operation::StopNode { node: 2 },
            Operation::PauseNode { node: 2, millis: 1500 },
            Operation::Wait { millis: 20 },
            Operation::Search { session: 2, latency_first: false },
        ] {
            harness.apply(&operation);
        }
        assert_eq!(harness.finish(), Vec::new(), "seed {seed}");
    }
}

/// A simulation is a function of its seed and its operations.
#[test]
fn same_seed_gives_the_same_history() {
    let history = || {
        let mut harness = RequestHarness::new(5);
        for step in 0..120_u8 {
            harness.apply(&Operation::Search { session: step, latency_first: step % 2 == 0 });
            harness.apply(&Operation::PauseNode { node: step, millis: u16::from(step) * 3 });
            harness.apply(&Operation::CrashSearcher { searcher: step / 20 });
            harness.apply(&Operation::Wait { millis: 9 });
        }
        harness.finish();
        format!("{:?}", harness.world.history)
    };
    assert_eq!(history(), history());
}
