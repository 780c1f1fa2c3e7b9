//! Parsing of message heads: the first line and the header fields of requests and responses.

use crate::headers::HeaderBlock;
use quick_error::quick_error;
use std::ops::RangeInclusive;

/// Maximum number of header fields of one message.
pub const MAX_FIELDS: usize = 96;

/// Status codes that HTTP has. Others are three digits as well, but a response with one means nothing.
pub const STATUSES: RangeInclusive<u16> = 100..=599;

quick_error! {
    /// Why a message is refused.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum MessageError {
        /// The bytes are no HTTP/1.0 or HTTP/1.1 message, or a response with a status that HTTP doesn't have.
        Malformed {
            display("the bytes are no HTTP/1.1 message")
        }
        /// The head has more fields than [`MAX_FIELDS`], or a line, or all lines that are dropped together, are longer
        /// than allowed.
        TooLong {
            display("the message head, the chunk extensions or the trailers are too long")
        }
        /// The framing fields contradict each other or are unknown, which could hide a second message.
        AmbiguousFraming {
            display("the length of the body is ambiguous")
        }
        /// The body is longer than allowed.
        BodyTooLong {
            display("the body is too long")
        }
    }
}

/// Request line and header fields of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, exactly as received.
    pub method: String,
    /// Request target, exactly as received: path and query.
    pub target: String,
    /// Minor version: 0 or 1.
    pub minor_version: u8,
    /// Fields.
    pub headers: HeaderBlock,
}

/// Status line and header fields of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Minor version: 0 or 1.
    pub minor_version: u8,
    /// Fields.
    pub headers: HeaderBlock,
}

/// A parsed head and its length in bytes, or `None` while the head is incomplete.
pub type Parsed<T> = Result<Option<(T, usize)>, MessageError>;

impl RequestHead {
    /// Parses a head at the start of `bytes`.
    pub fn parse(bytes: &[u8]) -> Parsed<RequestHead> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        let length = match request.parse(bytes).map_err(to_message_error)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(length) => length,
        };
        let head = RequestHead {
            method: request.method.unwrap_or_default().to_owned(),
            target: request.path.unwrap_or_default().to_owned(),
            minor_version: request.version.unwrap_or(1),
            headers: HeaderBlock::from_parsed(request.headers),
        };
        Ok(Some((head, length)))
    }

    /// Returns whether the connection stays open after this request.
    pub fn keeps_alive(&self) -> bool {
        if self.minor_version == 0 {
            return self.headers.has_token("connection", "keep-alive");
        }
        !self.headers.asks_to_close()
    }

    /// Returns the number of bytes that the head takes in memory.
    pub fn held_bytes(&self) -> usize {
        self.method.len() + self.target.len() + self.headers.held_bytes()
    }

    /// Returns the path of the target, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

impl ResponseHead {
    /// Parses a head at the start of `bytes`.
    pub fn parse(bytes: &[u8]) -> Parsed<ResponseHead> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let length = match response.parse(bytes).map_err(to_message_error)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(length) => length,
        };
        let status = response.code.unwrap_or_default();
        if !STATUSES.contains(&status) {
            return Err(MessageError::Malformed);
        }
        let head = ResponseHead {
            status,
            minor_version: response.version.unwrap_or(1),
            headers: HeaderBlock::from_parsed(response.headers),
        };
        Ok(Some((head, length)))
    }

    /// Returns whether the connection stays open after this response.
    pub fn keeps_alive(&self) -> bool {
        self.minor_version == 1 && !self.headers.asks_to_close()
    }
}

fn to_message_error(error: httparse::Error) -> MessageError {
    match error {
        httparse::Error::TooManyHeaders => MessageError::TooLong,
        _ => MessageError::Malformed,
    }
}
