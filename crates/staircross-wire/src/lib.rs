//! How messages travel between nodes.
//!
//! | module | holds |
//! | --- | --- |
//! | [`message`] | everything that one node says to another |
//! | [`frame`] | length-prefixed CBOR over a TCP stream |
//! | [`handshake`] | versioned hello with a keyed proof, so that no stranger joins |
//! | [`datagram`] | small control messages over UDP, each with its own keyed proof |

pub mod datagram;
pub mod frame;
pub mod handshake;
pub mod message;

pub use frame::{WireError, read_frame, write_frame};
pub use handshake::{ClusterKey, accept, connect};
pub use message::PeerMessage;
