//! Experiments: simulated fleets at the users' sizes, measured.
//!
//! | module | measures |
//! | --- | --- |
//! | [`tail`] | latency, coverage and extra load of policies side by side |
//! | [`overload`] | goodput under twice the capacity, and recovery |
//! | [`slopes`], [`http_cost`] | what capacity is planned from |
//! | [`statistics`] | histograms that they share |
//! | [`process`] | memory and processor time of this process |

pub mod http_cost;
pub mod overload;
pub mod process;
pub mod slopes;
pub mod statistics;
pub mod tail;
