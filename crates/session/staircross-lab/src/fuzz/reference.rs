//! The reference of the model: it knows nothing but the seed, because the oracle judges
//! what happened and every operation is valid at any moment.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use std::fmt::Debug;
use std::marker::PhantomData;

/// An operation that can be generated.
pub trait Generated: Clone + Debug + 'static {
    /// Generates one operation.
    fn generate() -> BoxedStrategy<Self>;
}

/// A seed, then any operations.
pub struct SeedAnd<O>(PhantomData<O>);

impl<O: Generated> ReferenceStateMachine for SeedAnd<O> {
    type State = u64;
    type Transition = O;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_seed: &u64) -> BoxedStrategy<O> {
        O::generate()
    }

    fn apply(seed: u64, _operation: &O) -> u64 {
        seed
    }
}
