//! Capacity: from measured slopes and a size to state, messages, processor time and memory.
//!
//! | module | holds |
//! | --- | --- |
//! | [`sizes`] | the size of a fleet, from a file |
//! | [`slopes`] | what was measured, from the one data file |
//! | [`plan`] | the table and the limit that breaks first |

pub mod plan;
pub mod sizes;
pub mod slopes;

pub use plan::{Plan, PlanRow, plan};
pub use sizes::Sizes;
pub use slopes::{Slope, Slopes};
