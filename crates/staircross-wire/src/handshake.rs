//! Mutual authentication on a new connection: the acceptor checks the protocol version and the cluster name, and both
//! sides prove that they know the cluster's shared secret.

use crate::frame::{WireError, read_frame, write_frame};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use staircross_types::NodeId;
use std::io::{Read, Write};

/// Version of the protocol between nodes. A node with another version is rejected.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum length of a handshake frame's body, in bytes.
const MAX_HANDSHAKE: usize = 1024;

/// Name and shared secret of a cluster.
#[derive(Clone)]
pub struct ClusterKey {
    cluster: String,
    secret: Vec<u8>,
}

impl ClusterKey {
    /// Creates the key of a cluster from its name and secret.
    pub fn new(cluster: &str, secret: &str) -> Self {
        ClusterKey { cluster: cluster.to_owned(), secret: secret.as_bytes().to_vec() }
    }

    /// Computes an HMAC over the cluster's name and `parts`. The length of each part is included, so that the same
    /// bytes split differently give another digest.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        let mut mac = match Hmac::<Sha256>::new_from_slice(&self.secret) {
            Ok(mac) => mac,
            Err(_) => unreachable!("HMAC takes keys of any length"),
        };
        for part in std::iter::once(&self.cluster.as_bytes()).chain(parts) {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }

    /// Returns whether `digest` is the HMAC of `parts`, or a prefix of it. The comparison takes constant time.
    pub fn verify(&self, parts: &[&[u8]], digest: &[u8]) -> bool {
        let expected = self.sign(parts);
        if digest.is_empty() || digest.len() > expected.len() {
            return false;
        }
        let difference = expected.iter().zip(digest).fold(0, |difference, (left, right)| difference | (left ^ right));
        difference == 0
    }
}

/// First frame of the handshake, sent by the connecting node.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    version: u32,
    cluster: String,
    node: NodeId,
    nonce: u128,
}

/// Second frame of the handshake, sent by the accepting node.
#[derive(Debug, Serialize, Deserialize)]
struct Challenge {
    nonce: u128,
    proof: [u8; 32],
    /// Whether the accepting node answers [`PeerMessage::Ping`](crate::PeerMessage::Ping). Nodes of releases without
    /// pings don't send the field.
    #[serde(default)]
    answers_pings: bool,
}

/// Third frame of the handshake, sent by the connecting node.
#[derive(Debug, Serialize, Deserialize)]
struct Response {
    proof: [u8; 32],
}

/// What the connecting node learns about the accepting one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acceptor {
    /// Whether it answers pings on this connection.
    pub answers_pings: bool,
}

/// First part of the data that the accepting node signs.
const ACCEPTOR: &[u8] = b"acceptor";
/// First part of the data that the connecting node signs.
const CONNECTOR: &[u8] = b"connector";

/// Performs the handshake as the connecting node `node`. `nonce` must be fresh and random.
pub fn connect(
    stream: &mut (impl Read + Write),
    key: &ClusterKey,
    node: NodeId,
    nonce: u128,
) -> Result<Acceptor, WireError> {
    let hello = Hello { version: PROTOCOL_VERSION, cluster: key.cluster.clone(), node, nonce };
    write_frame(stream, &hello)?;
    stream.flush()?;
    let challenge: Challenge = read_frame(stream, MAX_HANDSHAKE)?;
    let node_bytes = node.0.to_be_bytes();
    let own_nonce = nonce.to_be_bytes();
    let peer_nonce = challenge.nonce.to_be_bytes();
    if !key.verify(&[ACCEPTOR, &own_nonce, &peer_nonce, &node_bytes], &challenge.proof) {
        return Err(WireError::Stranger { reason: "the acceptor doesn't know the key" });
    }
    let proof = key.sign(&[CONNECTOR, &peer_nonce, &own_nonce, &node_bytes]);
    write_frame(stream, &Response { proof })?;
    stream.flush()?;
    Ok(Acceptor { answers_pings: challenge.answers_pings })
}

/// Performs the handshake as the accepting node. Returns the connecting node's id. `nonce` must be fresh and random.
pub fn accept(stream: &mut (impl Read + Write), key: &ClusterKey, nonce: u128) -> Result<NodeId, WireError> {
    let hello: Hello = read_frame(stream, MAX_HANDSHAKE)?;
    if hello.version != PROTOCOL_VERSION {
        return Err(WireError::Stranger { reason: "another protocol version" });
    }
    if hello.cluster != key.cluster {
        return Err(WireError::Stranger { reason: "another cluster" });
    }
    let node_bytes = hello.node.0.to_be_bytes();
    let peer_nonce = hello.nonce.to_be_bytes();
    let own_nonce = nonce.to_be_bytes();
    let proof = key.sign(&[ACCEPTOR, &peer_nonce, &own_nonce, &node_bytes]);
    write_frame(stream, &Challenge { nonce, proof, answers_pings: true })?;
    stream.flush()?;
    let response: Response = read_frame(stream, MAX_HANDSHAKE)?;
    if !key.verify(&[CONNECTOR, &own_nonce, &peer_nonce, &node_bytes], &response.proof) {
        return Err(WireError::Stranger { reason: "the connector doesn't know the key" });
    }
    Ok(hello.node)
}
