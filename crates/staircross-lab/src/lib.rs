//! Trying staircross out: demo, simulator, fuzz models, experiments, load.
//!
//! | module | holds |
//! | --- | --- |
//! | [`fleet`] | a whole fleet over loopback in one process |
//! | [`demo`] | the guided tour |
//! | [`experiment`] | simulated fleets at the users' sizes, measured |
//! | [`fuzz`] | stateful fuzz models, as tests and from the command line |
//! | [`sim`] | a simulated fleet and the oracle |
//! | [`timed_queue`] | events by time |
//! | [`report`] | one line per request, for people or as JSON |

pub mod demo;
pub mod experiment;
pub mod fleet;
pub mod fuzz;
pub mod report;
pub mod sim;
pub mod timed_queue;
