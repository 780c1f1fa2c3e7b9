//! HTTP/1.1 messages over byte buffers, without input or output of their own.
//!
//! | module | job |
//! | --- | --- |
//! | [`headers`] | a block of header fields, and which of them concern one connection only |
//! | [`head`] | first line and header fields of requests and responses |
//! | [`framing`] | where a body ends, and decoding it |
//! | [`server`] | one connection that requests come in on |
//! | [`client`] | one connection that requests go out on |
//! | [`write`] | serialising messages |
//!
//! Parsing of heads and chunk sizes is `httparse`'s. What this crate adds is control that HTTP
//! libraries keep to themselves: an answer to another request is skipped and told, an early answer
//! is seen while the request is still being written, and nothing is ever repeated behind one's back.

pub mod client;
pub mod framing;
pub mod head;
pub mod headers;
pub mod server;
pub mod write;

pub use client::{Answer, ClientConnection, ClientFault, ClientProgress};
pub use framing::{BodyDecoder, Framing};
pub use head::{HeadError, RequestHead, ResponseHead};
pub use headers::HeaderBlock;
pub use server::{Request, ServerConnection, ServerFault, ServerLimits, ServerProgress};
