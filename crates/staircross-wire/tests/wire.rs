//! Tests of frames, handshakes and datagrams, valid and invalid.

use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use staircross_types::{AttemptId, NodeId, RequestId};
use staircross_wire::datagram::{open, seal};
use staircross_wire::frame::{decode, encode};
use staircross_wire::handshake::PROTOCOL_VERSION;
use staircross_wire::{ClusterKey, PeerMessage, accept, connect, read_frame, write_frame};
use std::io::Cursor;
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;

fn message() -> PeerMessage {
    let request = RequestId { node: NodeId(5), sequence: 6 };
    PeerMessage::Cancel { from: NodeId(3), attempt: AttemptId { request, attempt: 7 } }
}

#[test]
fn frame_survives_the_round_trip() {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &message()).expect("writes");
    let read: PeerMessage = read_frame(&mut Cursor::new(bytes), 1000).expect("reads");
    assert_eq!(read, message());
}

#[test]
fn bad_frames_are_errors() {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &message()).expect("writes");
    let read =
        |bytes: &[u8], limit| read_frame::<PeerMessage>(&mut Cursor::new(bytes), limit).map_err(|e| e.to_string());
    assert!(read(&bytes, 4).expect_err("limit").contains("allowed"));
    assert!(read(&bytes[..bytes.len() - 1], 1000).is_err(), "truncated");
    assert!(read(&[0xff, 0xff, 0xff, 0xff, 1], usize::MAX).is_err(), "absurd length");
    let mut extended = encode(&message()).expect("encodes");
    extended.push(0);
    assert!(decode::<PeerMessage>(&extended).expect_err("left over").to_string().contains("left over"));
}

fn handshake_result(connector: ClusterKey, acceptor: ClusterKey) -> (bool, Option<NodeId>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("has an address");
    let accepting = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepts");
        accept(&mut stream, &acceptor, 2).ok()
    });
    let mut stream = TcpStream::connect(address).expect("connects");
    let connected = connect(&mut stream, &connector, NodeId(42), 1).is_ok();
    drop(stream);
    (connected, accepting.join().expect("ends"))
}

#[test]
fn handshake_lets_only_the_fleet_in() {
    let key = ClusterKey::new("fleet", "a long shared secret");
    assert_eq!(handshake_result(key.clone(), key.clone()), (true, Some(NodeId(42))));
    let wrong_secret = ClusterKey::new("fleet", "another shared secret");
    assert_eq!(handshake_result(wrong_secret, key.clone()), (false, None));
    let wrong_fleet = ClusterKey::new("other", "a long shared secret");
    assert_eq!(handshake_result(wrong_fleet, key), (false, None));
}

/// Guards against a connection that a node of a release without pings can't open: it doesn't know the field of the
/// challenge that announces them.
#[test]
fn a_connector_without_pings_is_let_in() {
    #[derive(Serialize)]
    struct Hello<'a> {
        version: u32,
        cluster: &'a str,
        node: NodeId,
        nonce: u128,
    }
    #[derive(Deserialize)]
    struct Challenge {
        nonce: u128,
    }
    #[derive(Serialize)]
    struct Response {
        proof: [u8; 32],
    }
    let (mut near, mut far) = UnixStream::pair().expect("a pair");
    let key = ClusterKey::new("fleet", "a long shared secret");
    let accepted = key.clone();
    let accepting = std::thread::spawn(move || accept(&mut far, &accepted, 2));
    let hello = Hello { version: PROTOCOL_VERSION, cluster: "fleet", node: NodeId(42), nonce: 1 };
    write_frame(&mut near, &hello).expect("writes");
    let challenge: Challenge = read_frame(&mut near, 1024).expect("a challenge");
    let nonces = (challenge.nonce.to_be_bytes(), 1_u128.to_be_bytes());
    let proof = key.sign(&[b"connector", &nonces.0, &nonces.1, &NodeId(42).0.to_be_bytes()]);
    write_frame(&mut near, &Response { proof }).expect("writes");
    assert_eq!(accepting.join().expect("ends").expect("accepts"), NodeId(42));
}

#[test]
fn datagram_with_another_key_or_a_flipped_bit_is_dropped() {
    let key = ClusterKey::new("fleet", "a long shared secret");
    let sealed = seal(&key, &message()).expect("seals").expect("fits");
    assert_eq!(open(&key, &sealed).expect("opens"), message());
    let other_key = ClusterKey::new("fleet", "another shared secret");
    assert!(open(&other_key, &sealed).is_err());
    for index in 0..sealed.len() {
        let mut flipped = sealed.clone();
        flipped[index] ^= 1;
        assert!(open(&key, &flipped).is_err(), "byte {index}");
    }
    assert!(open(&key, &[]).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _any_result = decode::<PeerMessage>(&bytes);
        let _any_result = read_frame::<PeerMessage>(&mut Cursor::new(&bytes), 4096);
    }
}
