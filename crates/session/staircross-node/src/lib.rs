//! The runtime of a node: the threads, sockets and clocks that drive the sans-IO engines.
//!
//! | module | content |
//! | --- | --- |
//! | [`node`] | start and stop of a node |
//! | [`core`] | the thread that owns the engines and passes events and actions between them |
//! | [`event`] | events that the other threads send to the core thread |
//! | [`caller`] | commands of callers and operators, and the replies to them |
//! | [`front`] | HTTP server for callers and operators |
//! | [`front_message`] | messages that the core thread sends to the HTTP server |
//! | `http_status` | which replies are believed, by their status |
//! | [`searchers`] | connections to searchers |
//! | [`peers`] | connections to other nodes |
//! | [`platform`] | reader of the service document and the machine list |
//! | [`api`] | JSON messages exchanged with callers and operators |
//! | [`client`] | HTTP client for the command line and the lab |
//! | [`logs`], [`metrics`] | structured logs, Prometheus metrics |

pub mod api;
pub mod caller;
pub mod client;
pub mod core;
pub mod event;
pub mod front;
pub mod front_message;
mod http_status;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod platform;
pub mod searchers;

pub use client::{ClientError, NodeClient};
pub use node::{Node, NodeError};
