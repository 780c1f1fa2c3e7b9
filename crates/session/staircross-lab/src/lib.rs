//! Trying staircross out: demo, simulator and fuzz model.
//!
//! | module | holds |
//! | --- | --- |
//! | [`fleet`] | a whole fleet over loopback in one process |
//! | [`demo`] | the guided tour |
//! | [`fuzz`] | the stateful fuzz model, as a test and from the command line |
//! | [`sim`] | a simulated fleet and the oracle |
//! | [`timed_queue`] | events by time |
//! | [`report`] | one line per request, for people or as JSON |

pub mod demo;
pub mod fleet;
pub mod fuzz;
pub mod report;
pub mod sim;
pub mod timed_queue;
