//! The client's side of one connection. It reads responses and matches them to the outstanding request.
//!
//! Invariants: where the protocol has request ids, a response counts only if it repeats the id of the outstanding
//! request; a response with another id is skipped. A connection on which bytes arrived that are no HTTP response, or
//! that ended within a response, is never used again. No request is sent twice. A response is never read as the
//! continuation of bytes that arrived before it: where this can't be excluded, the result is [`ClientFault::Ambiguous`].
//! It can be excluded on a connection on which nothing has arrived before the request was sent.

use crate::ambiguity;
use crate::expected::Expected;
use crate::framing::{BodyDecoder, Framing};
use crate::head::{MessageError, ResponseHead};

/// Maximum length of a response's head, in bytes; also that of all heads together that arrive between a request and the
/// response to it: of interim responses, and of responses to other requests.
const MAX_RESPONSE_HEAD: usize = 64 * 1024;
/// Maximum capacity of an input buffer that is kept for reuse once all its bytes are consumed, in bytes.
const MAX_KEPT_BUFFER: usize = 4096;

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status line and header fields.
    pub head: ResponseHead,
    /// Decoded body.
    pub body: Vec<u8>,
    /// Whether the connection may carry another request.
    pub is_reusable: bool,
    /// Whether a response like this one is unambiguous only on a connection on which nothing has arrived before it.
    pub needs_fresh_connection: bool,
}

/// Why a connection can't be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientFault {
    /// The peer sent bytes that are no valid response.
    Malformed,
    /// The bytes are either one response with a status line in a field, or the beginning of a response that was cut off,
    /// continued by the response to the outstanding request.
    Ambiguous,
    /// The head or the body of a response is longer than allowed.
    TooLong,
    /// The peer closed the connection before the response was complete.
    Truncated,
    /// The peer closed the connection without a response to the outstanding request.
    ClosedUnanswered,
    /// The connection was reset.
    Reset,
}

/// Result of looking for a response in the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
pub enum ClientProgress {
    /// More bytes are needed.
    NeedMore,
    /// The response to the outstanding request is complete.
    Answered(Box<Answer>),
    /// A response that doesn't belong to the outstanding request was skipped.
    Skipped,
    /// The connection can't be used any more.
    Broken(ClientFault),
}

/// A response whose head has been read and whose body is being read.
#[derive(Debug)]
struct PendingResponse {
    head: ResponseHead,
    decoder: BodyDecoder,
    body: Vec<u8>,
    is_expected: bool,
    is_close_delimited: bool,
}

/// Reads the responses of one connection.
#[derive(Debug)]
pub struct ClientConnection {
    input: Vec<u8>,
    pending: Option<Box<PendingResponse>>,
    expected: Option<Expected>,
    max_body: usize,
    peer_closed: bool,
    /// Whether any bytes have arrived on the connection.
    has_received: bool,
    /// Whether bytes that belong to another response may stand directly before the response to the outstanding request.
    may_follow_others: bool,
    /// Whether the outstanding request was answered by a head, final or interim, that can be read in two ways.
    has_ambiguous_head: bool,
    /// End of the body of the response that was skipped last, from its last status line on.
    skipped_end: Vec<u8>,
    /// Total length of the interim and skipped heads since the last request, in bytes.
    passed_heads: usize,
    /// Total length of the skipped bodies since the last request, in bytes; at most `max_body`.
    passed_bodies: usize,
}

impl ClientConnection {
    /// Creates the state of a new connection; response bodies of more than `max_body` bytes are refused.
    pub fn new(max_body: usize) -> Self {
        ClientConnection {
            input: Vec::new(),
            pending: None,
            expected: None,
            max_body,
            peer_closed: false,
            has_received: false,
            may_follow_others: false,
            has_ambiguous_head: false,
            skipped_end: Vec::new(),
            passed_heads: 0,
            passed_bodies: 0,
        }
    }

    /// Sets the outstanding request. The caller must do this when it sends a request.
    pub fn expect(&mut self, expected: Expected) {
        self.expected = Some(expected);
        self.may_follow_others = self.has_received;
        self.has_ambiguous_head = false;
        self.skipped_end.clear();
        self.passed_heads = 0;
        self.passed_bodies = 0;
    }

    /// Returns whether a request is outstanding.
    pub fn is_waiting(&self) -> bool {
        self.expected.is_some()
    }

    /// Returns whether bytes have arrived that no response has used yet, or part of a response.
    pub fn has_unread_bytes(&self) -> bool {
        !self.input.is_empty() || self.pending.is_some()
    }

    /// Returns the number of bytes that are held of incomplete responses.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len() + self.pending.as_ref().map_or(0, |pending| pending.body.len())
    }

    /// Returns whether any bytes have arrived on the connection.
    pub fn has_received(&self) -> bool {
        self.has_received
    }

    /// Appends received bytes to the input buffer.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.has_received |= !bytes.is_empty();
        self.input.extend_from_slice(bytes);
    }

    /// Reads the next response from the buffered bytes. The caller must repeat this until the result is
    /// [`ClientProgress::NeedMore`] or [`ClientProgress::Broken`].
    pub fn advance(&mut self) -> ClientProgress {
        if self.pending.is_none() {
            match self.read_head() {
                Ok(true) => {}
                Ok(false) => return ClientProgress::NeedMore,
                Err(fault) => return ClientProgress::Broken(fault),
            }
        }
        self.read_body()
    }

    /// Handles a clean close by the peer; it completes a response whose body ends with the connection.
    pub fn on_close(&mut self) -> ClientProgress {
        self.peer_closed = true;
        match self.pending.take() {
            Some(pending) if pending.decoder.ends_at_close() => self.finish(*pending),
            Some(_) => ClientProgress::Broken(ClientFault::Truncated),
            None if self.input.is_empty() => ClientProgress::Broken(ClientFault::ClosedUnanswered),
            None => ClientProgress::Broken(ClientFault::Truncated),
        }
    }

    fn read_head(&mut self) -> Result<bool, ClientFault> {
        loop {
            if self.input.is_empty() {
                return Ok(false);
            }
            let (head, length) = match ResponseHead::parse(&self.input) {
                Ok(Some(parsed)) => parsed,
                Ok(None) if self.input.len() > MAX_RESPONSE_HEAD => return Err(ClientFault::TooLong),
                Ok(None) => return Ok(false),
                Err(MessageError::TooLong) => return Err(ClientFault::TooLong),
                Err(_) => return Err(ClientFault::Malformed),
            };
            self.check_ambiguity(length)?;
            self.consume(length);
            let is_informational = head.status < 200 && head.status != 101;
            if is_informational {
                self.count_passed_head(length)?;
                continue;
            }
            let response = self.start_response(head)?;
            if !response.is_expected {
                self.count_passed_head(length)?;
            }
            self.pending = Some(Box::new(response));
            return Ok(true);
        }
    }

    /// Counts the head of a response that isn't the one to the outstanding request. Without a bound, a peer could keep
    /// its reader busy for as long as it likes.
    fn count_passed_head(&mut self, length: usize) -> Result<(), ClientFault> {
        self.passed_heads += length;
        if self.passed_heads > MAX_RESPONSE_HEAD { Err(ClientFault::TooLong) } else { Ok(()) }
    }

    /// Fails if the head, which is the first `length` bytes of the input, may be something else than the head of one
    /// response.
    fn check_ambiguity(&mut self, length: usize) -> Result<(), ClientFault> {
        let Some(expected) = &self.expected else {
            return Ok(());
        };
        let head = &self.input[..length];
        self.has_ambiguous_head |= ambiguity::may_contain_answer(head, expected);
        let may_begin_earlier = ambiguity::may_begin_in_body(&self.skipped_end, head, expected);
        if may_begin_earlier || (self.has_ambiguous_head && self.may_follow_others) {
            return Err(ClientFault::Ambiguous);
        }
        Ok(())
    }

    fn start_response(&self, head: ResponseHead) -> Result<PendingResponse, ClientFault> {
        let is_expected = self.expected.as_ref().is_some_and(|expected| expected.matches(&head));
        let method = match &self.expected {
            Some(expected) if is_expected => expected.method.as_str(),
            _ => "",
        };
        let framing = Framing::of_response(&head, method).map_err(|_| ClientFault::Malformed)?;
        let decoder = BodyDecoder::new(framing, self.max_body).map_err(|_| ClientFault::TooLong)?;
        let is_close_delimited = framing == Framing::UntilClose;
        Ok(PendingResponse { head, decoder, body: Vec::new(), is_expected, is_close_delimited })
    }

    fn read_body(&mut self) -> ClientProgress {
        let Some(mut pending) = self.pending.take() else {
            return ClientProgress::NeedMore;
        };
        let used = match pending.decoder.decode(&self.input, &mut pending.body) {
            Ok(used) => used,
            Err(MessageError::BodyTooLong | MessageError::TooLong) => {
                return ClientProgress::Broken(ClientFault::TooLong);
            }
            Err(_) => return ClientProgress::Broken(ClientFault::Malformed),
        };
        self.consume(used);
        if !pending.decoder.is_done() {
            self.pending = Some(pending);
            return ClientProgress::NeedMore;
        }
        self.finish(*pending)
    }

    fn finish(&mut self, pending: PendingResponse) -> ClientProgress {
        if !pending.is_expected {
            // A peer that closes after a response to another request leaves the outstanding request unanswered.
            if self.peer_closed || pending.is_close_delimited || !pending.head.keeps_alive() {
                return ClientProgress::Broken(ClientFault::ClosedUnanswered);
            }
            self.passed_bodies += pending.body.len();
            if self.passed_bodies > self.max_body {
                return ClientProgress::Broken(ClientFault::TooLong);
            }
            self.may_follow_others = true;
            self.skipped_end = ambiguity::from_last_status_line(&pending.body).to_vec();
            return ClientProgress::Skipped;
        }
        self.expected = None;
        let needs_fresh_connection = self.has_ambiguous_head;
        let is_reusable =
            pending.head.keeps_alive() && !pending.is_close_delimited && !self.peer_closed && !needs_fresh_connection;
        let (head, body) = (pending.head, pending.body);
        ClientProgress::Answered(Box::new(Answer { head, body, is_reusable, needs_fresh_connection }))
    }

    fn consume(&mut self, count: usize) {
        if count == self.input.len() {
            self.input.clear();
            // A buffer that has grown for one long response isn't kept for the short ones.
            if self.input.capacity() > MAX_KEPT_BUFFER {
                self.input = Vec::new();
            }
        } else {
            self.input.drain(..count);
        }
    }
}
