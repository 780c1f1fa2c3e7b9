//! The reference state machine of the fuzz test.
//!
//! Its state is only the seed: the oracle checks the history without a model of the state, and every operation is valid
//! in any state.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use std::fmt::Debug;
use std::marker::PhantomData;

/// An operation that the fuzz test can generate.
pub trait GeneratedOperation: Clone + Debug + 'static {
    /// Returns the strategy that generates one operation.
    fn strategy() -> BoxedStrategy<Self>;
}

/// A reference state machine whose state is a random seed and which allows any operation at any time.
pub struct SeedOnlyReference<O>(PhantomData<O>);

impl<O: GeneratedOperation> ReferenceStateMachine for SeedOnlyReference<O> {
    type State = u64;
    type Transition = O;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_seed: &u64) -> BoxedStrategy<O> {
        O::strategy()
    }

    fn apply(seed: u64, _operation: &O) -> u64 {
        seed
    }
}
