//! HTTP/1.1 for servers and clients over byte buffers. The crate itself does no input or output.
//!
//! | module | contents |
//! | --- | --- |
//! | [`headers`] | a block of header fields, and which of them are hop-by-hop |
//! | [`head`] | first line and header fields of requests and responses |
//! | [`framing`] | how the end of a body is found, and decoding of bodies |
//! | [`server`] | reading requests from one connection |
//! | [`client`] | reading responses from one connection |
//! | [`expected`] | what a client knows of the response that it waits for |
//! | `ambiguity` | recognition of response heads that can be read in two ways |
//! | [`write`] | serialization of requests and responses |
//!
//! Heads and chunk sizes are parsed by `httparse`. This crate adds control that HTTP libraries don't offer: a response
//! to another request is skipped and reported, a response that arrives while the request is still being written is
//! recognized, and no request is ever retried without the caller's knowledge.

mod ambiguity;
pub mod client;
pub mod expected;
pub mod framing;
pub mod head;
pub mod headers;
pub mod server;
pub mod write;

pub use client::{Answer, ClientConnection, ClientFault, ClientProgress};
pub use framing::{BodyDecoder, Framing};
pub use head::{MessageError, RequestHead, ResponseHead, STATUSES};
pub use headers::HeaderBlock;
pub use server::{Request, ServerConnection, ServerFault, ServerLimits, ServerProgress};
