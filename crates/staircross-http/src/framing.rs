//! How the end of a message body is found, and decoding of bodies.

use crate::head::{MessageError, RequestHead, ResponseHead};
use crate::headers::HeaderBlock;

/// Maximum length of a chunk-size line or a trailer line, in bytes.
const MAX_CHUNK_LINE: usize = 4096;
/// Length of a chunk-size line without extensions, in bytes: at most 16 digits and the line's end.
const PLAIN_CHUNK_LINE: usize = 18;
/// Maximum total length of a body's chunk extensions and trailers, in bytes. Both are dropped, so it bounds what a peer
/// can make this process read for nothing. It is the length that a response's head may have.
const MAX_DROPPED: usize = 64 * 1024;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// The body ends after this number of bytes.
    Length(u64),
    /// The body is chunked and ends after the last chunk and its trailers.
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

impl Framing {
    /// Determines the framing of a request's body. Framing that two parsers could interpret differently is refused,
    /// because it would allow request smuggling.
    pub fn of_request(head: &RequestHead) -> Result<Framing, MessageError> {
        let has_encoding = head.headers.first("transfer-encoding").is_some();
        let length = content_length(&head.headers)?;
        if has_encoding {
            if length.is_some() || head.minor_version == 0 || !is_exactly_chunked(&head.headers) {
                return Err(MessageError::AmbiguousFraming);
            }
            return Ok(Framing::Chunked);
        }
        Ok(match length {
            None | Some(0) => Framing::Empty,
            Some(length) => Framing::Length(length),
        })
    }

    /// Determines the framing of the body of a response to a request with `method`.
    pub fn of_response(head: &ResponseHead, method: &str) -> Result<Framing, MessageError> {
        let is_bodiless = method == "HEAD" || head.status < 200 || head.status == 204 || head.status == 304;
        if is_bodiless {
            return Ok(Framing::Empty);
        }
        if head.headers.first("transfer-encoding").is_some() {
            if !is_exactly_chunked(&head.headers) {
                return Err(MessageError::AmbiguousFraming);
            }
            return Ok(Framing::Chunked);
        }
        Ok(match content_length(&head.headers)? {
            Some(0) => Framing::Empty,
            Some(length) => Framing::Length(length),
            None => Framing::UntilClose,
        })
    }
}

fn is_exactly_chunked(headers: &HeaderBlock) -> bool {
    let mut values = headers.values("transfer-encoding");
    let first = values.next();
    first.is_some_and(|value| value.trim_ascii().eq_ignore_ascii_case(b"chunked")) && values.next().is_none()
}

/// Returns the length that all `Content-Length` fields state, or `None` if there is no such field. Fields that state
/// different lengths are an error.
fn content_length(headers: &HeaderBlock) -> Result<Option<u64>, MessageError> {
    let mut length = None;
    for value in headers.values("content-length") {
        let text = value.trim_ascii();
        let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
        let number = std::str::from_utf8(text).ok().filter(|_| is_number).and_then(|text| text.parse::<u64>().ok());
        let Some(number) = number else {
            return Err(MessageError::AmbiguousFraming);
        };
        if length.is_some_and(|known| known != number) {
            return Err(MessageError::AmbiguousFraming);
        }
        length = Some(number);
    }
    Ok(length)
}

/// What a [`BodyDecoder`] expects next. The number is the count of bytes that remain of the body or of the chunk.
#[derive(Clone, Debug)]
enum DecoderState {
    Done,
    Remaining(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
}

/// Decodes one body from pieces of any size.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecoderState,
    max_length: usize,
    /// Total length of the chunk extensions and trailers so far, in bytes.
    dropped: usize,
}

impl BodyDecoder {
    /// Creates a decoder for `framing` that refuses bodies longer than `max_length` bytes.
    pub fn new(framing: Framing, max_length: usize) -> Result<Self, MessageError> {
        let state = match framing {
            Framing::Empty => DecoderState::Done,
            Framing::Length(length) if length > max_length as u64 => return Err(MessageError::BodyTooLong),
            Framing::Length(length) => DecoderState::Remaining(length),
            Framing::Chunked => DecoderState::ChunkSize,
            Framing::UntilClose => DecoderState::UntilClose,
        };
        Ok(BodyDecoder { state, max_length, dropped: 0 })
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        matches!(self.state, DecoderState::Done)
    }

    /// Returns whether a clean close by the peer completes the body.
    pub fn ends_at_close(&self) -> bool {
        matches!(self.state, DecoderState::UntilClose | DecoderState::Done)
    }

    /// Decodes `input` and appends the result to `body`. Returns the number of bytes of `input` that were used.
    pub fn decode(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<usize, MessageError> {
        let mut used = 0;
        while !self.is_done() {
            let rest = &input[used..];
            let step = self.decode_step(rest, body)?;
            if step == 0 {
                break;
            }
            used += step;
        }
        Ok(used)
    }

    /// Decodes one element of the framing and returns its length; zero means that more input is needed.
    fn decode_step(&mut self, rest: &[u8], body: &mut Vec<u8>) -> Result<usize, MessageError> {
        match self.state {
            DecoderState::Done => Ok(0),
            DecoderState::Remaining(left) => {
                let taken = self.copy_body(rest, left, body)?;
                let left = left - taken as u64;
                self.state = if left == 0 { DecoderState::Done } else { DecoderState::Remaining(left) };
                Ok(taken)
            }
            DecoderState::UntilClose => self.copy_body(rest, u64::MAX, body),
            DecoderState::ChunkSize => self.read_chunk_size(rest),
            DecoderState::ChunkData(left) => {
                let taken = self.copy_body(rest, left, body)?;
                let left = left - taken as u64;
                self.state = if left == 0 { DecoderState::ChunkEnd } else { DecoderState::ChunkData(left) };
                Ok(taken)
            }
            DecoderState::ChunkEnd => self.read_chunk_end(rest),
            DecoderState::Trailer => self.read_trailer_line(rest),
        }
    }

    fn copy_body(&self, rest: &[u8], max_count: u64, body: &mut Vec<u8>) -> Result<usize, MessageError> {
        let count = (rest.len() as u64).min(max_count) as usize;
        if body.len() + count > self.max_length {
            return Err(MessageError::BodyTooLong);
        }
        body.extend_from_slice(&rest[..count]);
        Ok(count)
    }

    fn read_chunk_size(&mut self, rest: &[u8]) -> Result<usize, MessageError> {
        match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((length, size))) => {
                self.count_dropped(length.saturating_sub(PLAIN_CHUNK_LINE))?;
                self.state = if size == 0 { DecoderState::Trailer } else { DecoderState::ChunkData(size) };
                Ok(length)
            }
            Ok(httparse::Status::Partial) if rest.len() <= MAX_CHUNK_LINE => Ok(0),
            Ok(httparse::Status::Partial) => Err(MessageError::TooLong),
            Err(_) => Err(MessageError::Malformed),
        }
    }

    fn read_chunk_end(&mut self, rest: &[u8]) -> Result<usize, MessageError> {
        if rest.len() < 2 {
            return Ok(0);
        }
        if &rest[..2] != b"\r\n" {
            return Err(MessageError::Malformed);
        }
        self.state = DecoderState::ChunkSize;
        Ok(2)
    }

    /// Reads one trailer line and drops it, because trailers aren't forwarded.
    fn read_trailer_line(&mut self, rest: &[u8]) -> Result<usize, MessageError> {
        let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") else {
            return if rest.len() > MAX_CHUNK_LINE { Err(MessageError::TooLong) } else { Ok(0) };
        };
        if end == 0 {
            self.state = DecoderState::Done;
        }
        self.count_dropped(end)?;
        Ok(end + 2)
    }

    /// Counts bytes that are dropped; fails if there are too many of them.
    fn count_dropped(&mut self, count: usize) -> Result<(), MessageError> {
        self.dropped += count;
        if self.dropped > MAX_DROPPED { Err(MessageError::TooLong) } else { Ok(()) }
    }
}
