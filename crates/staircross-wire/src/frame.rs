//! Length-prefixed CBOR frames over a TCP stream.

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{Read, Write};

/// Maximum length of a frame's body, in bytes.
pub const MAX_FRAME: usize = 16 * 1024 * 1024;

quick_error! {
    /// Why a message couldn't be read or written. On a connection, such an error ends only that connection.
    #[derive(Debug)]
    pub enum WireError {
        /// Reading from or writing to the connection failed.
        Io(error: std::io::Error) {
            from()
            display("connection: {error}")
        }
        /// The body of a frame is longer than allowed.
        TooLong { length: usize } {
            display("frame of {length} bytes, allowed are {MAX_FRAME}")
        }
        /// The body of a frame or datagram isn't the expected message.
        Malformed { reason: String } {
            display("malformed frame: {reason}")
        }
        /// The peer isn't authenticated as a node of this cluster with the same protocol version.
        Stranger { reason: &'static str } {
            display("unauthenticated peer: {reason}")
        }
    }
}

/// Encodes a message as CBOR.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, WireError> {
    let mut body = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut body).map_err(|error| WireError::Malformed { reason: error.to_string() })?;
    if body.len() > MAX_FRAME {
        return Err(WireError::TooLong { length: body.len() });
    }
    Ok(body)
}

/// Decodes a message from CBOR. Bytes after the message are an error.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, WireError> {
    let mut rest = body;
    let message =
        ciborium::from_reader(&mut rest).map_err(|error| WireError::Malformed { reason: error.to_string() })?;
    if !rest.is_empty() {
        return Err(WireError::Malformed { reason: format!("{} bytes left over", rest.len()) });
    }
    Ok(message)
}

/// Writes one frame, which is the length of the body as four big-endian bytes and the body. Returns the number of
/// bytes written.
pub fn write_frame(stream: &mut impl Write, message: &impl Serialize) -> Result<usize, WireError> {
    let body = encode(message)?;
    let length = u32::try_from(body.len()).map_err(|_| WireError::TooLong { length: body.len() })?;
    stream.write_all(&length.to_be_bytes())?;
    stream.write_all(&body)?;
    Ok(body.len() + 4)
}

/// Reads one frame whose body has at most `limit` bytes.
pub fn read_frame<T: DeserializeOwned>(stream: &mut impl Read, limit: usize) -> Result<T, WireError> {
    let mut prefix = [0_u8; 4];
    stream.read_exact(&mut prefix)?;
    let length = u32::from_be_bytes(prefix) as usize;
    if length > limit.min(MAX_FRAME) {
        return Err(WireError::TooLong { length });
    }
    // The buffer grows with the bytes received: a length prefix alone must not make this process allocate that length.
    let mut body = Vec::new();
    stream.take(length as u64).read_to_end(&mut body)?;
    if body.len() < length {
        return Err(WireError::Io(std::io::ErrorKind::UnexpectedEof.into()));
    }
    decode(&body)
}
