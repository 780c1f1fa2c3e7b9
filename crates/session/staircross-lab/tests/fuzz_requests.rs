//! Stateful fuzz test of the request engines. The seeds are fixed, so every run has the same result.

use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use staircross_lab::fuzz::request_model::{Operation, RequestModel, RequestRun};

struct RequestTest;

impl StateMachineTest for RequestTest {
    type SystemUnderTest = RequestRun;
    type Reference = RequestModel;

    fn init_test(seed: &u64) -> RequestRun {
        RequestRun::new(*seed)
    }

    fn apply(mut run: RequestRun, _: &u64, operation: Operation) -> RequestRun {
        run.apply(&operation);
        run
    }

    fn teardown(mut run: RequestRun, _: <RequestModel as ReferenceStateMachine>::State) {
        let violations = run.finish();
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
        let mut run = RequestRun::new(seed);
        for operation in [
            Operation::Search { session: 2, latency_first: false },
            Operation::StopNode { node: 2 },
            Operation::PauseNode { node: 2, millis: 1500 },
            Operation::Wait { millis: 20 },
            Operation::Search { session: 2, latency_first: false },
        ] {
            run.apply(&operation);
        }
        assert_eq!(run.finish(), Vec::new(), "seed {seed}");
    }
}

/// A simulation is a function of its seed and its operations.
#[test]
fn same_seed_gives_the_same_history() {
    let history = || {
        let mut run = RequestRun::new(5);
        for step in 0..120_u8 {
            run.apply(&Operation::Search { session: step, latency_first: step % 2 == 0 });
            run.apply(&Operation::PauseNode { node: step, millis: u16::from(step) * 3 });
            run.apply(&Operation::CrashSearcher { searcher: step / 20 });
            run.apply(&Operation::Wait { millis: 9 });
        }
        run.finish();
        format!("{:?}", run.world.history)
    };
    assert_eq!(history(), history());
}
