//! Trying staircross out: demo, simulator, fuzz models, experiments, load.
//!
//! | module | holds |
//! | --- | --- |
//! | [`fleet`] | a whole fleet over loopback in one process |
//! | [`demo`] | the guided tour |
//! | [`report`] | one line per request, for people or as JSON |

pub mod demo;
pub mod fleet;
pub mod report;
