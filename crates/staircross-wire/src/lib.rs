//! Encoding and transport of the messages between nodes.
//!
//! | module | contents |
//! | --- | --- |
//! | [`message`] | all messages between nodes |
//! | [`frame`] | length-prefixed CBOR over a TCP stream |
//! | [`handshake`] | mutual authentication of two nodes on a new connection |
//! | [`datagram`] | small control messages over UDP, each authenticated on its own |

pub mod datagram;
pub mod frame;
pub mod handshake;
pub mod message;

pub use frame::{WireError, read_frame, write_frame};
pub use handshake::{Acceptor, ClusterKey, accept, connect};
pub use message::{PONG, PeerMessage};
