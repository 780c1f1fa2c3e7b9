//! Helper functions of the stand-ins' HTTP servers.

use oxhttp::model::{Body, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use staircross_types::body_digest;
use staircross_types::searcher_api::DIGEST_HEADER;
use std::io::Read;

/// Longest request body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Decodes a JSON request body. The error is the response to send.
// The large error type is accepted because it is only built for a bad request.
#[allow(clippy::result_large_err)]
pub fn read_json<T: DeserializeOwned>(request: &mut Request<Body>) -> Result<T, Response<Body>> {
    let mut bytes = Vec::new();
    let read = request.body_mut().take(MAX_BODY_BYTES).read_to_end(&mut bytes);
    if let Err(error) = read {
        return Err(text_response(StatusCode::BAD_REQUEST, &error.to_string()));
    }
    serde_json::from_slice(&bytes).map_err(|error| text_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Creates a JSON response with the digest of its body.
pub fn json_response(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => bytes_response(&body_digest(&bytes), bytes),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Creates a response with the body `bytes` and `digest` in its digest header, whether or not they match.
pub fn bytes_response(digest: &str, bytes: Vec<u8>) -> Response<Body> {
    let response = Response::builder()
        .header("content-type", "application/json")
        .header(DIGEST_HEADER, digest)
        .body(Body::from(bytes));
    response.unwrap_or_else(|error| text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()))
}

/// Creates a plain-text response.
pub fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(Body::from(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// Closes the connection of the request being handled without a response.
///
/// The server library has no function for this. Unwinding ends only the connection's own thread, and
/// `resume_unwind` prints no message.
pub fn close_without_reply() -> ! {
    std::panic::resume_unwind(Box::new("connection closed by an injected fault"))
}

/// Creates a response that ends half-way through `bytes`, because its connection closes in the middle of a chunk.
pub fn truncated_response(digest: &str, bytes: Vec<u8>) -> Response<Body> {
    let half = bytes[..bytes.len() / 2].to_vec();
    let mut response = bytes_response(digest, Vec::new());
    *response.body_mut() = Body::from_read(std::io::Cursor::new(half).chain_error());
    response
}

trait ChainError: std::io::Read + Sized {
    /// Returns a reader that fails at the end of `self` instead of reporting the end.
    fn chain_error(self) -> std::io::Chain<Self, FailingReader> {
        self.chain(FailingReader)
    }
}

impl<T: std::io::Read> ChainError for T {}

/// A reader that always fails.
struct FailingReader;

impl std::io::Read for FailingReader {
    fn read(&mut self, _: &mut [u8]) -> std::io::Result<usize> {
        Err(std::io::Error::new(std::io::ErrorKind::ConnectionAborted, "cut off by an injected fault"))
    }
}
