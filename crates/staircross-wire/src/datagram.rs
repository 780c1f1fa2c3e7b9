//! Small control messages over UDP.
//!
//! Probes, gossip and leases are small and their receivers change often. A connection to each peer would cost every
//! node hundreds of sockets. A datagram consists of a CBOR body and a truncated HMAC. A datagram whose HMAC is wrong is
//! dropped. The protocols that use datagrams tolerate their loss.

use crate::frame::{WireError, decode, encode};
use crate::handshake::ClusterKey;
use crate::message::PeerMessage;

/// Maximum length of a datagram, in bytes. Such a datagram fits into the frame of a usual network, so it isn't
/// fragmented.
pub const MAX_DATAGRAM: usize = 1200;
/// Number of bytes of the HMAC that are sent.
const DIGEST_LENGTH: usize = 16;
/// First part of the signed data of a datagram. Handshakes sign other first parts, so that no HMAC is valid for both.
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

/// Verifies the HMAC of a datagram and decodes its body.
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
