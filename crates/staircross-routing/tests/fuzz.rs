//! Random histories of the routing engine, checked against simple rules.
//!
//! The oracle in `history` keeps its own ledger of where each attempt was sent and how it ended, and checks every
//! action against it. It doesn't depend on how the engine decides.

mod common;
mod history;

use history::{any_step, run_history};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_histories_break_no_rule(steps in prop::collection::vec(any_step(), 1..160)) {
        run_history(&steps)?;
    }
}
