//! The server's side of one connection. It reads requests.
//!
//! The next request is read only when the caller asks for it. The caller must have answered the previous one by then,
//! so that no response is ever written without an outstanding request.

use crate::framing::{BodyDecoder, Framing};
use crate::head::{MessageError, RequestHead};

/// Limits on the size of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum length of the head, in bytes.
    pub head_bytes: usize,
    /// Maximum length of the body, in bytes.
    pub body_bytes: usize,
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Request line and header fields.
    pub head: RequestHead,
    /// Decoded body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the number of bytes that the request takes in memory.
    pub fn held_bytes(&self) -> usize {
        self.head.held_bytes() + self.body.len()
    }
}

/// Why a request is refused. The connection must be closed after the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    /// The request is malformed or its framing is ambiguous; the response is 400.
    BadRequest,
    /// The body is longer than allowed; the response is 413.
    BodyTooLong,
    /// The head, or chunk extensions and trailers, are longer than allowed; the response is 431.
    HeadTooLong,
}

/// Result of looking for a request in the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
pub enum ServerProgress {
    /// More bytes are needed. `continue_expected` is true once if the client waits for `100 Continue` before it sends
    /// the body.
    NeedMore { continue_expected: bool },
    /// A request is complete.
    Ready(Box<Request>),
    /// The bytes are no acceptable request, which must be refused.
    Fault(ServerFault),
}

/// A request whose head has been read and whose body is being read.
#[derive(Debug)]
struct PendingRequest {
    head: RequestHead,
    decoder: BodyDecoder,
    body: Vec<u8>,
}

/// Reads the requests of one connection.
#[derive(Debug, Default)]
pub struct ServerConnection {
    input: Vec<u8>,
    pending: Option<Box<PendingRequest>>,
    /// Number of bytes in blank lines before the next request. They count as part of its head.
    leading_blanks: usize,
}

impl ServerConnection {
    /// Appends received bytes to the input buffer.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Returns whether part of a request has arrived that isn't complete yet.
    pub fn has_partial_request(&self) -> bool {
        !self.input.is_empty() || self.pending.is_some()
    }

    /// Returns whether the head of a request has begun to arrive and isn't complete yet.
    pub fn has_partial_head(&self) -> bool {
        !self.input.is_empty() && self.pending.is_none()
    }

    /// Returns the number of bytes that are held of incomplete requests and of those not yet asked for.
    pub fn buffered_bytes(&self) -> usize {
        let held = |pending: &PendingRequest| pending.head.held_bytes() + pending.body.len();
        self.input.capacity() + self.pending.as_deref().map_or(0, held)
    }

    /// Reads the next request from the buffered bytes.
    pub fn advance(&mut self, limits: ServerLimits) -> ServerProgress {
        let mut continue_expected = false;
        if self.pending.is_none() {
            match self.read_head(limits) {
                Ok(true) => continue_expected = self.expects_continue(),
                Ok(false) => return ServerProgress::NeedMore { continue_expected: false },
                Err(fault) => return ServerProgress::Fault(fault),
            }
        }
        self.read_body(continue_expected)
    }

    fn read_head(&mut self, limits: ServerLimits) -> Result<bool, ServerFault> {
        let leading_blanks = self.input.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        self.consume(leading_blanks);
        self.leading_blanks += leading_blanks;
        if self.leading_blanks > limits.head_bytes {
            return Err(ServerFault::HeadTooLong);
        }
        let (head, length) = match RequestHead::parse(&self.input) {
            Ok(Some(parsed)) => parsed,
            Ok(None) if self.input.len() > limits.head_bytes => return Err(ServerFault::HeadTooLong),
            Ok(None) => return Ok(false),
            Err(MessageError::TooLong) => return Err(ServerFault::HeadTooLong),
            Err(_) => return Err(ServerFault::BadRequest),
        };
        if length > limits.head_bytes {
            return Err(ServerFault::HeadTooLong);
        }
        let framing = Framing::of_request(&head).map_err(|_| ServerFault::BadRequest)?;
        let decoder = BodyDecoder::new(framing, limits.body_bytes).map_err(|_| ServerFault::BodyTooLong)?;
        self.consume(length);
        self.leading_blanks = 0;
        self.pending = Some(Box::new(PendingRequest { head, decoder, body: Vec::new() }));
        Ok(true)
    }

    fn expects_continue(&self) -> bool {
        let waits = |pending: &PendingRequest| {
            !pending.decoder.is_done() && pending.head.headers.has_token("expect", "100-continue")
        };
        self.input.is_empty() && self.pending.as_deref().is_some_and(waits)
    }

    fn read_body(&mut self, continue_expected: bool) -> ServerProgress {
        let Some(mut pending) = self.pending.take() else {
            return ServerProgress::NeedMore { continue_expected };
        };
        let used = match pending.decoder.decode(&self.input, &mut pending.body) {
            Ok(used) => used,
            Err(MessageError::BodyTooLong) => return ServerProgress::Fault(ServerFault::BodyTooLong),
            Err(MessageError::TooLong) => return ServerProgress::Fault(ServerFault::HeadTooLong),
            Err(_) => return ServerProgress::Fault(ServerFault::BadRequest),
        };
        self.consume(used);
        if !pending.decoder.is_done() {
            self.pending = Some(pending);
            return ServerProgress::NeedMore { continue_expected };
        }
        ServerProgress::Ready(Box::new(Request { head: pending.head, body: pending.body }))
    }

    fn consume(&mut self, count: usize) {
        if count == self.input.len() {
            // An idle connection keeps no buffer.
            self.input = Vec::new();
        } else {
            self.input.drain(..count);
        }
    }
}
