//! Stateful fuzz test of the request engines. It checks promises 0 to 7 of [`crate::sim::oracle`].
//!
//! | module | holds |
//! | --- | --- |
//! | [`request_model`] | the operations, how they are generated, and the system under test |
//! | [`reference`] | the reference state machine, which generates the seed and the operations |
//! | [`runner`] | the parallel run from the command line, which shrinks failing cases |
//! | [`summary`] | counts of the operations and outcomes, and the violations found |

pub mod reference;
pub mod request_model;
pub mod runner;
pub mod summary;
