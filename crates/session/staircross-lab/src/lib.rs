//! Tools to try and test the query tier: a demo, a simulator and a stateful fuzz test.
//!
//! | module | holds |
//! | --- | --- |
//! | [`fleet`] | a platform, searchers and nodes that run in one process and talk over loopback TCP |
//! | [`demo`] | a scripted demo that injects faults into such a fleet |
//! | [`fuzz`] | the stateful fuzz test, which runs under `cargo test` and from the command line |
//! | [`sim`] | a simulated fleet, and the oracle that checks its history |
//! | [`timed_queue`] | the queue of events that the simulator runs on |
//! | [`report`] | the output of the demo, as text or JSON |

pub mod demo;
pub mod fleet;
pub mod fuzz;
pub mod report;
pub mod sim;
pub mod timed_queue;
