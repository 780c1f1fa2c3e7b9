//! Stateful fuzz models.
//!
//! | module | holds |
//! | --- | --- |
//! | [`request_model`] | the request engine: promises 1 to 7 |
//! | [`reference`] | what the model is generated from |
//! | [`runner`] | runs a model from the command line, in parallel, and shrinks what it finds |
//! | [`summary`] | what was tried and found |

pub mod reference;
pub mod request_model;
pub mod runner;
pub mod summary;
