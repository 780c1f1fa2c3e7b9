//! One connection that requests go out on.
//!
//! Invariants: an answer counts only if it repeats the id of the request that waits; one with
//! another id is skipped whole. A connection that has said anything that is no answer, or that
//! ended within one, is never used again. Nothing is ever sent twice.

use crate::framing::{BodyDecoder, Framing};
use crate::head::{HeadError, ResponseHead};

/// Longest head of an answer, in bytes.
const MAX_ANSWER_HEAD: usize = 64 * 1024;
/// Largest buffer that is kept between answers, in bytes.
const KEPT_BUFFER: usize = 4096;

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Head.
    pub head: ResponseHead,
    /// Body, decoded.
    pub body: Vec<u8>,
    /// Whether the connection may carry another request.
    pub is_reusable: bool,
}

/// Why a connection is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientFault {
    /// Bytes that are no answer.
    Malformed,
    /// The answer is longer than allowed.
    TooLong,
    /// Closed before the answer was whole.
    Truncated,
    /// Closed before any byte of an answer came.
    ClosedUnanswered,
    /// Reset.
    Reset,
}

/// What the bytes so far amount to.
#[derive(Debug, PartialEq, Eq)]
pub enum ClientProgress {
    /// More bytes are needed.
    NeedMore,
    /// The answer to the waiting request.
    Answered(Box<Answer>),
    /// An answer to something else was skipped.
    Skipped,
    /// The connection can't be used any more.
    Broken(ClientFault),
}

/// The request that waits for an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Its method: answers to `HEAD` have no body.
    pub method: String,
    /// Its id, and the field in which answers repeat it; `None` where the protocol has no ids.
    pub id: Option<ExpectedId>,
}

/// How an answer shows which request it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedId {
    /// Name of the field.
    pub field: &'static str,
    /// Value that the answer must repeat.
    pub value: Vec<u8>,
}

#[derive(Debug)]
struct PendingAnswer {
    head: ResponseHead,
    decoder: BodyDecoder,
    body: Vec<u8>,
    is_expected: bool,
    is_close_delimited: bool,
}

/// Reads answers from one connection.
#[derive(Debug)]
pub struct ClientConnection {
    input: Vec<u8>,
    pending: Option<Box<PendingAnswer>>,
    expected: Option<Expected>,
    max_body: usize,
    seen_close: bool,
}

impl ClientConnection {
    /// A connection whose answers have bodies of at most `max_body` bytes.
    pub fn new(max_body: usize) -> Self {
        ClientConnection { input: Vec::new(), pending: None, expected: None, max_body, seen_close: false }
    }

    /// Notes that a request was sent.
    pub fn expect(&mut self, expected: Expected) {
        self.expected = Some(expected);
    }

    /// Whether a request waits for its answer.
    pub fn is_waiting(&self) -> bool {
        self.expected.is_some()
    }

    /// Adds received bytes.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Looks for the next whole answer. Call until it needs more.
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

    /// The peer closed its side cleanly.
    pub fn on_close(&mut self) -> ClientProgress {
        self.seen_close = true;
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
                Ok(None) if self.input.len() > MAX_ANSWER_HEAD => return Err(ClientFault::TooLong),
                Ok(None) => return Ok(false),
                Err(_) => return Err(ClientFault::Malformed),
            };
            self.consume(length);
            let is_interim = head.status < 200 && head.status != 101;
            if is_interim {
                continue;
            }
            self.pending = Some(Box::new(self.begin(head)?));
            return Ok(true);
        }
    }

    fn begin(&self, head: ResponseHead) -> Result<PendingAnswer, ClientFault> {
        let is_expected = self.expected.as_ref().is_some_and(|expected| expected.matches(&head));
        let method = match &self.expected {
            Some(expected) if is_expected => expected.method.as_str(),
            _ => "",
        };
        let framing = Framing::of_response(&head, method).map_err(|_| ClientFault::Malformed)?;
        let decoder = BodyDecoder::new(framing, self.max_body).map_err(|_| ClientFault::TooLong)?;
        let is_close_delimited = framing == Framing::UntilClose;
        Ok(PendingAnswer { head, decoder, body: Vec::new(), is_expected, is_close_delimited })
    }

    fn read_body(&mut self) -> ClientProgress {
        let Some(mut pending) = self.pending.take() else {
            return ClientProgress::NeedMore;
        };
        let used = match pending.decoder.decode(&self.input, &mut pending.body) {
            Ok(used) => used,
            Err(HeadError::BodyTooLong) => return ClientProgress::Broken(ClientFault::TooLong),
            Err(_) => return ClientProgress::Broken(ClientFault::Malformed),
        };
        self.consume(used);
        if !pending.decoder.is_done() {
            self.pending = Some(pending);
            return ClientProgress::NeedMore;
        }
        self.finish(*pending)
    }

    fn finish(&mut self, pending: PendingAnswer) -> ClientProgress {
        if !pending.is_expected {
            // Whoever closes after an unasked answer leaves the waiting request unanswered.
            if self.seen_close || pending.is_close_delimited || !pending.head.keeps_alive() {
                return ClientProgress::Broken(ClientFault::ClosedUnanswered);
            }
            return ClientProgress::Skipped;
        }
        self.expected = None;
        let is_reusable = pending.head.keeps_alive() && !pending.is_close_delimited && !self.seen_close;
        ClientProgress::Answered(Box::new(Answer { head: pending.head, body: pending.body, is_reusable }))
    }

    fn consume(&mut self, count: usize) {
        if count == self.input.len() {
            self.input.clear();
            // A buffer that one long answer made large isn't kept for the short ones.
            if self.input.capacity() > KEPT_BUFFER {
                self.input = Vec::new();
            }
        } else {
            self.input.drain(..count);
        }
    }
}

impl Expected {
    /// Whether an answer belongs to this request. Where ids are used, one without an id is nobody's.
    fn matches(&self, head: &ResponseHead) -> bool {
        match &self.id {
            Some(id) => head.headers.first(id.field).is_some_and(|value| value.trim_ascii() == id.value),
            None => true,
        }
    }
}
