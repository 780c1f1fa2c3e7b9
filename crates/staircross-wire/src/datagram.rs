//! Small control messages over UDP.
//!
//! Probes, gossip and leases go to ever changing peers and each is small: a connection to each
//! peer would cost every node hundreds of sockets. A datagram is the CBOR body followed by a
//! shortened keyed digest; what doesn't verify is dropped. Loss is expected by these protocols.

use crate::frame::{WireError, decode, encode};
use crate::handshake::ClusterKey;
use crate::message::PeerMessage;

/// Longest datagram: stays under a usual network's frame, so it is never cut.
pub const MAX_DATAGRAM: usize = 1200;
/// Bytes of the keyed digest that are sent.
const DIGEST_LENGTH: usize = 16;
const PURPOSE: &[u8] = b"datagram";

/// Encodes a message, or `None` when it is too long for a datagram.
pub fn seal(key: &ClusterKey, message: &PeerMessage) -> Result<Option<Vec<u8>>, WireError> {
    let mut body = encode(message)?;
    if body.len() + DIGEST_LENGTH > MAX_DATAGRAM {
        return Ok(None);
    }
    let digest = key.sign(&[PURPOSE, &body]);
    body.extend_from_slice(&digest[..DIGEST_LENGTH]);
    Ok(Some(body))
}

/// Checks and decodes a datagram.
pub fn open(key: &ClusterKey, datagram: &[u8]) -> Result<PeerMessage, WireError> {
    let split = datagram.len().checked_sub(DIGEST_LENGTH);
    let Some(split) = split else {
        return Err(WireError::Malformed { reason: "shorter than its digest".to_owned() });
    };
    let (body, digest) = datagram.split_at(split);
    if !key.verify(&[PURPOSE, body], digest) {
        return Err(WireError::Stranger { reason: "the digest doesn't match" });
    }
    decode(body)
}
