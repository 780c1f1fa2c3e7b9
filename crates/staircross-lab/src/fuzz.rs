//! Stateful fuzz models.
//!
//! | module | holds |
//! | --- | --- |
//! | [`request_model`] | the request engine: promises 1 to 7 |
//! | [`cluster_model`] | the cluster logic: promise 8 |
//! | [`reference`] | the reference that both models share |
//! | [`runner`] | runs a model from the command line, in parallel, and shrinks what it finds |
//! | [`summary`] | what was tried and found |

pub mod cluster_model;
pub mod reference;
pub mod request_model;
pub mod runner;
pub mod summary;
