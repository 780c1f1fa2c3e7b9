//! A simulated fleet of the cluster logic alone: hollow nodes with the real engine in one process,
//! simulated time, real encoded message sizes.
//!
//! | module | holds |
//! | --- | --- |
//! | [`fleet`] | nodes, messages, cuts, pauses, drifting clocks |
//! | [`oracle`] | promise 8 and what goes with it |

pub mod fleet;
pub mod oracle;

pub use fleet::{ClusterFleet, FleetSettings};
pub use oracle::{ClusterOracle, ClusterViolation};
