//! Small control messages over UDP.
//!
//! Probes, gossip and leases are small and go to changing peers: a connection to each peer would cost every node
//! hundreds of sockets. A datagram is a CBOR body followed by a truncated HMAC. Datagrams that don't verify are
//! dropped. The protocols that use datagrams tolerate their loss.

use crate::frame::{WireError, decode, encode};
use crate::handshake::ClusterKey;
use crate::message::PeerMessage;

/// Longest datagram, in bytes. It fits into the frame of a usual network, so that it is never fragmented.
pub const MAX_DATAGRAM: usize = 1200;
/// Number of bytes of the HMAC that are sent.
const DIGEST_LENGTH: usize = 16;
/// First signed part of a datagram. Handshakes sign other first parts.
const DATAGRAM_PURPOSE: &[u8] = b"datagram";

/// Encodes and signs a message. Returns `None` if it is too long for a datagram.
pub fn seal(key: &ClusterKey, message: &PeerMessage) -> Result<Option<Vec<u8>>, WireError> {
    let mut body = encode(message)?;
    if body.len() + DIGEST_LENGTH > MAX_DATAGRAM {
        return Ok(None);
    }
    let digest = key.sign(&[DATAGRAM_PURPOSE, &body]);
    body.extend_from_slice(&digest[..DIGEST_LENGTH]);
    Ok(Some(body))
}

/// Verifies and decodes a datagram.
pub fn open(key: &ClusterKey, datagram: &[u8]) -> Result<PeerMessage, WireError> {
    let split = datagram.len().checked_sub(DIGEST_LENGTH);
    let Some(split) = split else {
        return Err(WireError::Malformed { reason: "shorter than its digest".to_owned() });
    };
    let (body, digest) = datagram.split_at(split);
    if !key.verify(&[DATAGRAM_PURPOSE, body], digest) {
        return Err(WireError::Stranger { reason: "the digest doesn't match" });
    }
    decode(body)
}
