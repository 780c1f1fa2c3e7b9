//! The runtime of a node: threads, sockets and clocks around the sans-IO engines.
//!
//! | module | job |
//! | --- | --- |
//! | [`node`] | starts and stops all of it |
//! | [`core`] | one thread that owns the engines and carries events and actions between them |
//! | [`event`] | what its threads tell the one that decides |
//! | [`front`] | HTTP for callers and operators |
//! | [`searchers`] | connections to searchers |
//! | [`peers`] | connections to other nodes |
//! | [`platform`] | reads the platform |
//! | [`api`] | typed JSON answers |
//! | [`client`] | a caller's client, for the command line and the lab |
//! | [`logs`], [`metrics`] | structured logs, Prometheus metrics |

pub mod api;
pub mod client;
pub mod core;
pub mod event;
pub mod front;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod platform;
pub mod searchers;

pub use client::{ClientError, NodeClient};
pub use node::{Node, NodeError};
